/// \file
/// Tests that inject failures under load and check the invariants over the recorded
/// history.
#include "unittests/instance/cell.hpp"

#include <array>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An injected failure and how it is removed after its duration.
struct failure
{
    const char* name;
    void (*begin)(test_cluster&);
    void (*end)(test_cluster&);
    int duration_ms;
};

void no_action(test_cluster&) {}

void restart_first(test_cluster& cluster)
{
    cluster.start_instance(0);
}

const std::array<failure, 14> failures{{
    {"instance_killed", [](test_cluster& c) { c.kill(0); }, restart_first, 8000},
    {"instance_killed_and_restarted_at_once", [](test_cluster& c) { c.kill(0); },
     restart_first, 100},
    {"instance_pauses_briefly", [](test_cluster& c) { c.pause(0); },
     [](test_cluster& c) { c.resume(0); }, 1000},
    {"instance_pauses_beyond_suspicion", [](test_cluster& c) { c.pause(0); },
     [](test_cluster& c) { c.resume(0); }, 3500},
    {"instance_pauses_beyond_its_leases", [](test_cluster& c) { c.pause(0); },
     [](test_cluster& c) { c.resume(0); }, 20000},
    {"instance_cut_from_others", [](test_cluster& c) { c.isolate(0, false, false); },
     [](test_cluster& c) { c.heal(); }, 15000},
    {"instance_cut_from_everything", [](test_cluster& c) { c.isolate(0, true, true); },
     [](test_cluster& c) { c.heal(); }, 15000},
    {"kv_down", [](test_cluster& c) { c.store().is_down = true; },
     [](test_cluster& c) { c.store().is_down = false; }, 20000},
    {"kv_responses_lost",
     [](test_cluster& c) {
         c.set_kv_faults([](standins::fake_kv_faults& faults)
                         { faults.lost_answers = 5; });
     },
     no_action, 1000},
    {"kv_slow",
     [](test_cluster& c)
     {
         c.set_kv_faults([](standins::fake_kv_faults& faults)
                         { faults.latency = milliseconds(1500); });
     },
     [](test_cluster& c)
     {
         c.set_kv_faults([](standins::fake_kv_faults& faults)
                         { faults.latency = duration(); });
     },
     10000},
    {"worker_killed", [](test_cluster& c) { c.kill_worker(0); }, no_action, 1000},
    {"worker_responses_lost",
     [](test_cluster& c)
     { c.workers().faults(test_cluster::address(0)).lose_answers = 3; },
     no_action, 1000},
    {"lease_lapses",
     [](test_cluster& c)
     {
         for (std::size_t worker = 0; worker < 6; ++worker)
             c.workers().worker(test_cluster::address(worker)).state().lapse_lease();
     },
     no_action, 1000},
    {"connection_goes_silent",
     [](test_cluster& c)
     {
         for (std::size_t other = 1; other < 3; ++other)
         {
             c.network().silence(test_cluster::name(0), test_cluster::name(other));
             c.network().silence(test_cluster::name(other), test_cluster::name(0));
         }
     },
     no_action, 1000},
}};

/// Submits batch jobs, a gang and synchronous requests through instances 1 and 2; the
/// instance failures affect instance 0.
class mixed_load
{
public:
    explicit mixed_load(test_cluster& cluster) : cluster_(cluster) {}

    void submit_queued()
    {
        queued_.push_back(
            &cluster_.submit(1, cluster_.job("p/batch", "batch", 150, 400, true)));
        queued_.push_back(
            &cluster_.submit(2, cluster_.job("p/batch", "once", 40, 700, false)));
        queued_.push_back(
            &cluster_.submit(1, cluster_.job("h/gang", "gang", 10, 900, true)));
    }
    void submit_request()
    {
        const std::size_t through = 1 + next_ % 2;
        requests_.push_back(&cluster_.submit(
            through, cluster_.request(fmt::format("request-{}", next_++), 50, 9000)));
    }
    const std::vector<call_record*>& queued() const { return queued_; }
    const std::vector<call_record*>& requests() const { return requests_; }

private:
    test_cluster& cluster_;
    std::vector<call_record*> queued_;
    std::vector<call_record*> requests_;
    std::size_t next_ = 0;
};

void run_for(test_cluster& cluster, mixed_load& load, duration time)
{
    const boot_time end = cluster.now() + time;
    while (cluster.now() < end)
    {
        load.submit_request();
        cluster.advance(milliseconds(100));
    }
}

/// Expects that every accepted job ends and every caller receives its response.
void expect_jobs_ended_and_callers_answered(test_cluster& cluster, const mixed_load& load)
{
    EXPECT_TRUE(cluster.advance_until(seconds(120),
                                      [&]
                                      {
                                          for (const call_record* call : load.requests())
                                              if (!call->answered)
                                                  return false;
                                          return true;
                                      }))
        << "a caller has received no response";
    for (const call_record* call : load.queued())
    {
        ASSERT_TRUE(call->answered) << call->job.request.value();
        const bool accepted =
            call->has_status && call->status.verdict == wire::job_verdict::accepted;
        if (!accepted)
            continue;
        EXPECT_TRUE(cluster.advance_until(
            seconds(180),
            [&]
            {
                const result<wire::job_status> status = cluster.query(1, call->job.id);
                return status && status.value().verdict != wire::job_verdict::accepted;
            }))
            << "an accepted job has not ended: " << call->job.request.value();
    }
}

class failure_test : public testing::TestWithParam<failure>
{
};

// Guards against a single failure that causes lost tasks, duplicate runs or wrong
// refusals.
TEST_P(failure_test, invariants_hold_after_a_single_failure)
{
    const failure& given = GetParam();
    test_cluster cluster;
    cluster.start();
    mixed_load load(cluster);
    load.submit_queued();
    run_for(cluster, load, milliseconds(600));
    given.begin(cluster);
    run_for(cluster, load, milliseconds(given.duration_ms));
    given.end(cluster);
    run_for(cluster, load, seconds(2));
    expect_jobs_ended_and_callers_answered(cluster, load);
    EXPECT_EQ(cluster.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(single, failure_test, testing::ValuesIn(failures),
                         [](const testing::TestParamInfo<failure>& info)
                         { return std::string(info.param.name); });

class failure_pair_test : public testing::TestWithParam<std::uint64_t>
{
};

// Guards against pairs of overlapping failures that violate the invariants although each
// failure alone does not.
TEST_P(failure_pair_test, keeps_the_invariants)
{
    random_source random(GetParam());
    const failure& first = failures[random.below(failures.size())];
    const failure& second = failures[random.below(failures.size())];
    const milliseconds gap(static_cast<std::int64_t>(random.below(5000)));
    SCOPED_TRACE(
        fmt::format("{} then {} after {} ms", first.name, second.name, gap.count()));
    cell_options options;
    options.seed = GetParam();
    test_cluster cluster(options);
    cluster.start();
    mixed_load load(cluster);
    load.submit_queued();
    run_for(cluster, load, milliseconds(600));
    const bool same_instance = std::string(first.name).starts_with("instance") &&
                               std::string(second.name).starts_with("instance");
    first.begin(cluster);
    run_for(cluster, load, gap);
    if (same_instance)
        first.end(cluster);
    second.begin(cluster);
    run_for(cluster, load, milliseconds(second.duration_ms));
    second.end(cluster);
    if (!same_instance)
        first.end(cluster);
    run_for(cluster, load, seconds(2));
    expect_jobs_ended_and_callers_answered(cluster, load);
    EXPECT_EQ(cluster.violations(), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(seeds, failure_pair_test, testing::Range<std::uint64_t>(1, 201));

} // namespace
} // namespace hawthornbeam
