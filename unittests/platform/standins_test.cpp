/// \file
/// Tests the in-process stand-ins for the platform, which the tests of other packages
/// rely on.
#include "test/standins/fake_platform.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::standins
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const instance_id first_owner("entry-1");
const instance_id second_owner("entry-2");

worker_options small_worker()
{
    worker_options options;
    options.id = worker_id("worker-0");
    options.capacity = resources{millicores(4000), byte_count(1000), {}};
    return options;
}

task_start make_task(std::uint32_t index, std::string payload,
                     std::int64_t processors = 1000)
{
    task_start new_task;
    new_task.id = task_id{job_id(1, 2), index, 0};
    new_task.size = resources{millicores(processors), byte_count(10), {}};
    new_task.declared_run_time = seconds(2);
    new_task.payload = std::move(payload);
    return new_task;
}

class worker_state_test : public testing::Test
{
protected:
    bool start(generation lease_generation, const task_start& task)
    {
        const result<std::vector<start_outcome>> outcome =
            worker.start(lease_generation, {task});
        return outcome && outcome.value().front().accepted;
    }
    /// Advances the clock, renewing the lease in steps short enough to keep it.
    void run_for(generation lease_generation, duration length)
    {
        for (duration passed{}; passed < length; passed += seconds(1))
        {
            ASSERT_TRUE(worker.renew(lease_generation));
            clock.advance(std::min<duration>(seconds(1), length - passed));
            worker.advance();
        }
    }
    std::size_t count(const std::string& event) const
    {
        std::size_t found = 0;
        for (const history_entry& entry : worker.history())
            found += entry.event == event ? 1U : 0U;
        return found;
    }

    manual_clock clock;
    worker_state worker{clock, small_worker()};
};

// Guards against a lease that stays valid after its expiry or lets a former owner start
// tasks.
TEST_F(worker_state_test, expired_lease_fences_former_owner)
{
    const generation first = worker.acquire(first_owner).value().granted;
    clock.advance(seconds(3));
    EXPECT_FALSE(worker.acquire(second_owner));
    clock.advance(seconds(1));
    EXPECT_FALSE(start(first, make_task(1, "")));
    EXPECT_FALSE(worker.renew(first));
    const generation second = worker.acquire(second_owner).value().granted;
    EXPECT_GT(second, first);
    EXPECT_FALSE(start(first, make_task(1, "")));
    EXPECT_FALSE(worker.release(first));
    EXPECT_TRUE(start(second, make_task(1, "")));
    EXPECT_EQ(count("fenced"), 2U);
    EXPECT_EQ(count("start"), 1U);
}

// Guards against a restarted owner whose previous incarnation can still start tasks.
TEST_F(worker_state_test, acquiring_again_increases_generation)
{
    const generation first = worker.acquire(first_owner).value().granted;
    const generation reacquired = worker.acquire(first_owner).value().granted;
    EXPECT_GT(reacquired, first);
    EXPECT_FALSE(start(first, make_task(1, "")));
}

// Guards against a task that runs twice because a duplicate of its start arrives after
// the task was acknowledged.
TEST_F(worker_state_test, worker_remembers_acknowledged_ids_for_ten_minutes)
{
    const generation lease_generation = worker.acquire(first_owner).value().granted;
    const task_start task = make_task(1, "sleep=0;");
    EXPECT_TRUE(start(lease_generation, task));
    EXPECT_TRUE(start(lease_generation, task));
    ASSERT_TRUE(worker.acknowledge(lease_generation, {task.id}));
    EXPECT_TRUE(worker.list().empty());
    run_for(lease_generation, minutes(10) - seconds(1));
    EXPECT_TRUE(start(lease_generation, task));
    EXPECT_EQ(worker.task(task.id)->state, task_state::finished);
    EXPECT_EQ(count("start"), 1U);
    run_for(lease_generation, seconds(1));
    EXPECT_FALSE(worker.task(task.id).has_value());
}

// Guards against a worker that accepts more than its capacity, including by integer
// overflow.
TEST_F(worker_state_test, worker_rejects_starts_beyond_capacity)
{
    const generation lease_generation = worker.acquire(first_owner).value().granted;
    EXPECT_FALSE(start(lease_generation, make_task(1, "service;", 4001)));
    EXPECT_FALSE(start(lease_generation, make_task(2, "service;", -1)));
    EXPECT_TRUE(start(lease_generation, make_task(3, "service;", 3000)));
    EXPECT_FALSE(start(lease_generation, make_task(4, "service;", 1001)));
    EXPECT_FALSE(
        start(lease_generation,
              make_task(5, "service;", std::numeric_limits<std::int64_t>::max())));
    EXPECT_TRUE(start(lease_generation, make_task(6, "service;", 1000)));
    EXPECT_EQ(count("reject"), 4U);
    ASSERT_TRUE(
        worker.control(lease_generation, make_task(3, "").id, task_action::stop).value());
    EXPECT_TRUE(start(lease_generation, make_task(7, "service;", 3000)));
}

// Guards against tasks that keep running after no owner has renewed the lease for the
// length of the task lease.
TEST_F(worker_state_test, worker_stops_tasks_when_task_lease_expires)
{
    const generation lease_generation = worker.acquire(first_owner).value().granted;
    ASSERT_TRUE(start(lease_generation, make_task(1, "service;")));
    clock.advance(seconds(60) - milliseconds(1));
    worker.advance();
    EXPECT_EQ(worker.list().front().state, task_state::running);
    clock.advance(milliseconds(1));
    worker.advance();
    EXPECT_EQ(worker.list().front().state, task_state::stopped);
}

struct payload_outcome
{
    const char* payload;
    duration run_time;
    task_state state;
};

class payload_test : public worker_state_test,
                     public testing::WithParamInterface<payload_outcome>
{
};

// Guards against misread payload directives, which other tests rely on.
TEST_P(payload_test, worker_obeys_and_echoes_payload)
{
    const generation lease_generation = worker.acquire(first_owner).value().granted;
    const task_start task = make_task(1, GetParam().payload);
    ASSERT_TRUE(start(lease_generation, task));
    if (GetParam().run_time > duration::zero())
    {
        run_for(lease_generation, GetParam().run_time - milliseconds(1));
        ASSERT_EQ(worker.task(task.id)->state, task_state::running);
        run_for(lease_generation, milliseconds(1));
    }
    EXPECT_EQ(worker.task(task.id)->state, GetParam().state);
    EXPECT_EQ(worker.task(task.id)->output, GetParam().payload);
}

INSTANTIATE_TEST_SUITE_P(
    payloads, payload_test,
    testing::Values(
        payload_outcome{"", seconds(2), task_state::finished},
        payload_outcome{"fail", seconds(2), task_state::finished},
        payload_outcome{"fail;", seconds(2), task_state::failed},
        payload_outcome{"sleep=70;text;fail;", milliseconds(70), task_state::finished},
        payload_outcome{"sleep=0;fail;x", duration::zero(), task_state::failed}));

class fake_gateway_test : public testing::Test
{
protected:
    fake_gateway_test()
    {
        gateway.add(address, small_worker());
        gateway.acquire(address, first_owner,
                        [this](result<lease_grant> grant)
                        { lease_generation = grant.value().granted; });
        loop.run_ready();
    }
    /// Starts a task; the error code of the outcome is appended to codes.
    void start()
    {
        gateway.start(address, lease_generation, {make_task(1, "service;")},
                      [this](const result<std::vector<start_outcome>>& outcome)
                      {
                          codes.push_back(
                              outcome ? std::nullopt
                                      : std::optional<error_code>(outcome.error().code));
                      });
    }
    bool task_runs() { return gateway.worker(address).state().list().size() == 1; }

    const worker_address address{"10.0.0.1:1"};
    manual_event_loop loop;
    fake_worker_gateway gateway{loop, seconds(1)};
    generation lease_generation;
    std::vector<std::optional<error_code>> codes;
};

struct fault_outcome
{
    fault_settings faults;
    std::optional<error_code> code;
    bool applied_at_callback;
    bool applied_later;
};

class gateway_fault_test : public fake_gateway_test,
                           public testing::WithParamInterface<fault_outcome>
{
};

// Guards against a fake gateway that runs a callback twice, or whose response contradicts
// whether the start was applied.
TEST_P(gateway_fault_test, callback_runs_once_and_matches_effect)
{
    gateway.faults(address) = GetParam().faults;
    start();
    EXPECT_TRUE(codes.empty());
    loop.advance(seconds(1));
    EXPECT_EQ(codes, std::vector<std::optional<error_code>>{GetParam().code});
    EXPECT_EQ(task_runs(), GetParam().applied_at_callback);
    loop.advance(seconds(2));
    EXPECT_EQ(codes.size(), 1U);
    EXPECT_EQ(task_runs(), GetParam().applied_later);
}

INSTANTIATE_TEST_SUITE_P(
    faults, gateway_fault_test,
    testing::Values(
        fault_outcome{{}, std::nullopt, true, true},
        fault_outcome{{true}, error_code::unavailable, false, false},
        fault_outcome{{false, true}, error_code::outcome_unknown, false, false},
        fault_outcome{{false, false, milliseconds(900)}, std::nullopt, true, true},
        fault_outcome{
            {false, false, milliseconds(1100)}, error_code::outcome_unknown, false, true},
        fault_outcome{{false, false, {}, 1}, error_code::outcome_unknown, true, true}));

// Guards against a pending events() call that misses the end of a task or a new owner.
TEST_F(fake_gateway_test, pending_events_call_returns_on_task_end_and_new_owner)
{
    std::vector<std::size_t> event_counts;
    std::optional<error_code> failure;
    const auto wait_for_events = [&]
    {
        gateway.events(address, lease_generation, event_counts.size(), seconds(10),
                       [&](const result<worker_events>& found)
                       {
                           if (found)
                               event_counts.push_back(found.value().tasks.size());
                           else
                               failure = found.error().code;
                       });
    };
    wait_for_events();
    gateway.start(address, lease_generation, {make_task(1, "sleep=500;")},
                  [](const auto&) {});
    loop.advance(milliseconds(499));
    EXPECT_TRUE(event_counts.empty());
    loop.advance(milliseconds(1));
    EXPECT_EQ(event_counts, std::vector<std::size_t>{1});
    wait_for_events();
    loop.run_ready();
    gateway.worker(address).state().lapse_lease();
    gateway.acquire(address, second_owner, [](const auto&) {});
    loop.run_ready();
    EXPECT_EQ(failure, error_code::conflict);
}

// Guards against an unknown address that terminates the test program or leaves the call
// without a callback.
TEST_F(fake_gateway_test, call_to_unknown_address_is_unavailable)
{
    std::optional<error_code> failure;
    gateway.list(worker_address("10.0.0.9:9"),
                 [&](const result<std::vector<task_report>>& found)
                 { failure = found.error().code; });
    loop.run_ready();
    EXPECT_EQ(failure, error_code::unavailable);
}

// Guards against a fake host list that applies no lag, which would hide delayed reactions
// of the code under test.
TEST(fake_host_list_test, changes_appear_after_the_lag)
{
    manual_event_loop loop;
    fake_host_list hosts(loop, seconds(2));
    host_entry host;
    host.id = worker_id("worker-0");
    hosts.state().set(host);
    hosts.state().show_all();
    hosts.state().set_leaving(host.id, true);
    std::vector<host_entry> shown;
    const auto list = [&]
    {
        hosts.list([&](result<std::vector<host_entry>> found) { shown = found.value(); });
        loop.run_ready();
    };
    loop.advance(milliseconds(1999));
    list();
    ASSERT_EQ(shown.size(), 1U);
    EXPECT_FALSE(shown.front().leaving);
    loop.advance(milliseconds(1));
    list();
    EXPECT_TRUE(shown.front().leaving);
    hosts.state().remove(host.id);
    loop.advance(seconds(2));
    list();
    EXPECT_TRUE(shown.empty());
}

} // namespace
} // namespace hawthornbeam::standins
