/// \file
/// Tests of preemption, gangs under contention and quarantine.
#include "fixture.hpp"

namespace hawthornbeam::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const resources one_core = cores_and_gib(1, 1);

/// Fills one worker of four cores with tasks of "b/batch" that started a second apart.
void fill(cluster_fixture& cluster)
{
    cluster.add_workers(1, cores_and_gib(4, 16));
    for (int i = 0; i < 4; ++i)
    {
        cluster.add_many("b/batch", one_core, 1);
        cluster.decide();
        cluster.now += seconds(1);
    }
}

// Guards against preemption that skips the gentle steps, takes more victims than needed
// or not the cheapest, and against a freed place that someone else gets. Seeded faults
// that it catches: the sort in preemptor::plan_worker() is reversed; create() does not
// add to worker.held.
TEST(preemption_test, throttles_then_checkpoints_then_stops_the_cheapest)
{
    cluster_fixture cluster({make_row("a/urgent", workload::request, 0),
                             make_row("b/batch", workload::batch, 9)});
    fill(cluster);
    const task_id youngest = cluster.running.rbegin()->first;
    cluster.add_many("b/batch", one_core, 3);
    cluster.add_many("a/urgent", one_core, 1);
    std::vector<preemption_action> actions;
    for (int i = 0; i < 30; ++i)
    {
        for (const preemption& entry : cluster.decide().preemptions)
        {
            EXPECT_EQ(entry.task, youngest);
            actions.push_back(entry.action);
        }
        cluster.now += milliseconds(50);
    }
    EXPECT_EQ(actions, (std::vector<preemption_action>{preemption_action::throttle,
                                                       preemption_action::checkpoint,
                                                       preemption_action::stop}));
    cluster.end(youngest, task_outcome::preempted);
    cluster.decide();
    EXPECT_EQ(cluster.running_in("a/urgent"), 1U);
    EXPECT_EQ(cluster.running_in("b/batch"), 3U);
}

// Guards against a preempted task that is refused, and so lost, because a flood has
// filled the queue of its row meanwhile. Seeded fault that it catches: task_ended() does
// not count the returning task.
TEST(preemption_test, a_preempted_task_returns_to_a_full_queue)
{
    table_row batch = make_row("b/batch", workload::batch, 9);
    batch.limits.queue_length = 2;
    cluster_fixture cluster({batch});
    cluster.add_workers(1, one_core);
    cluster.add_many("b/batch", one_core, 1);
    cluster.decide();
    waiting_task task = cluster.running.begin()->second.task;
    cluster.end(task.id, task_outcome::preempted);
    cluster.add_many("b/batch", one_core, 2);
    ++task.id.attempt;
    EXPECT_FALSE(cluster.add(task).has_value());
    EXPECT_TRUE(cluster.add(cluster.make("b/batch", one_core)).has_value());
    EXPECT_EQ(cluster.decide().placements.at(0).task, task.id);
}

struct protected_case
{
    const char* name;
    table_row urgent;
    table_row victim;
    bool idempotent;
    std::size_t throttled; ///< Of four running tasks, wanted by four urgent ones.
    bool stopped;
};

class protection_test : public testing::TestWithParam<protected_case>
{
};

table_row service_row(std::uint32_t disruption_limit)
{
    table_row row = make_row("b/batch", workload::service, 9);
    row.disruption_limit = disruption_limit;
    return row;
}

// Guards against preemption of equals, of non-idempotent tasks by a stop, beyond a
// service's disruption limit, and below the victim's own guarantee.
// Seeded faults that it catches: a condition of preemptor::may_preempt() left out (that
// of the urgency together with the one in candidate_workers()); preemptor::advance()
// ignores idempotent.
TEST_P(protection_test, limits_preemption)
{
    cluster_fixture cluster({GetParam().urgent, GetParam().victim});
    cluster.add_workers(1, cores_and_gib(4, 16));
    for (int i = 0; i < 4; ++i)
    {
        waiting_task task = cluster.make("b/batch", one_core);
        task.idempotent = GetParam().idempotent;
        cluster.add(task);
    }
    cluster.decide();
    cluster.add_many("a/urgent", one_core, 4);
    std::set<task_id> throttled;
    bool stopped = false;
    for (int i = 0; i < 60; ++i)
    {
        for (const preemption& entry : cluster.decide().preemptions)
        {
            throttled.insert(entry.task);
            stopped = stopped || entry.action == preemption_action::stop;
        }
        cluster.now += milliseconds(50);
    }
    EXPECT_EQ(throttled.size(), GetParam().throttled);
    EXPECT_EQ(stopped, GetParam().stopped);
}

INSTANTIATE_TEST_SUITE_P(
    victims, protection_test,
    testing::Values(
        protected_case{"less_urgent", make_row("a/urgent", workload::batch, 0),
                       make_row("b/batch", workload::batch, 9), true, 4, true},
        protected_case{"equal", make_row("a/urgent", workload::batch, 5),
                       make_row("b/batch", workload::batch, 5), true, 0, false},
        protected_case{"more_urgent", make_row("a/urgent", workload::batch, 9),
                       make_row("b/batch", workload::batch, 1), true, 0, false},
        protected_case{"non_idempotent", make_row("a/urgent", workload::batch, 0),
                       make_row("b/batch", workload::batch, 9), false, 4, false},
        protected_case{"service", make_row("a/urgent", workload::batch, 0),
                       service_row(2), true, 2, true},
        protected_case{"own_guarantee", make_row("a/urgent", workload::batch, 0),
                       make_row("b/batch", workload::batch, 9, 0.5), true, 2, true},
        protected_case{"guarantee_of_the_less_urgent",
                       make_row("a/urgent", workload::batch, 9, 0.25),
                       make_row("b/batch", workload::batch, 0), true, 1, true}),
    [](const testing::TestParamInfo<protected_case>& entry) { return entry.param.name; });

// Guards against a large gang that small tasks starve, and against backfill that delays
// it: each ended task frees room that a small one would take.
// Seeded faults that it catches: state::unheld() ignores worker.held; make_hold() never
// reserves.
TEST(gang_test, is_not_starved_by_small_tasks)
{
    cluster_fixture cluster(
        {make_row("a/gang", workload::gang, 5), make_row("b/batch", workload::batch, 5)});
    cluster.add_workers(10, cores_and_gib(4, 16));
    const auto add_small = [&]
    {
        waiting_task task = cluster.make("b/batch", one_core);
        task.run_time = milliseconds(2000);
        cluster.add(task);
    };
    for (int i = 0; i < 60; ++i)
        add_small();
    cluster.decide();
    const job_id gang = cluster.add_gang("a/gang", cores_and_gib(4, 4), 8);
    int steps = 0;
    std::map<task_id, int> ages;
    while (cluster.running_of(gang) == 0 && steps < 600)
    {
        ++steps;
        cluster.now += milliseconds(50);
        std::vector<task_id> finished;
        for (const auto& [id, entry] : cluster.running)
        {
            // The tasks end one by one.
            if (++ages[id] >= 20 + static_cast<int>(id.job.low() % 20))
                finished.push_back(id);
        }
        for (const task_id& id : finished)
        {
            cluster.end(id);
            add_small();
        }
        cluster.obey(cluster.decide());
    }
    EXPECT_EQ(cluster.running_of(gang), 8U);
    EXPECT_LE(steps * 50, 6000);
}

// Guards against a reservation that idles capacity for ever, and against a short task
// that is not allowed into the gap. Seeded faults that it catches: expire() does not
// release the hold; pick_backfill() returns nothing.
TEST(gang_test, a_reservation_takes_backfill_and_ends)
{
    cluster_fixture cluster(
        {make_row("a/gang", workload::gang, 5), make_row("b/batch", workload::batch, 6)});
    cluster.add_workers(2, cores_and_gib(4, 16));
    waiting_task blocker = cluster.make("b/batch", cores_and_gib(4, 4));
    blocker.run_time = seconds(1000);
    blocker.idempotent = false;
    cluster.add(blocker);
    cluster.decide();
    // It would preempt, so the blocker's row is made as urgent as the gang's.
    cluster.set_rows(
        {make_row("a/gang", workload::gang, 5), make_row("b/batch", workload::batch, 5)});
    cluster.add_gang("a/gang", cores_and_gib(3, 3), 2);
    cluster.decide();
    cluster.add_many("b/batch", cores_and_gib(2, 2), 1);
    EXPECT_TRUE(cluster.decide().placements.empty()) << "the reserved room was taken";
    waiting_task brief = cluster.make("b/batch", cores_and_gib(2, 2));
    brief.run_time = milliseconds(500);
    cluster.add(brief);
    EXPECT_EQ(cluster.decide().placements.size(), 1U) << "no backfill";
    cluster.now += milliseconds(2001);
    EXPECT_GE(cluster.decide().placements.size(), 1U) << "the reservation did not end";
}

// Guards against a cancelled member that leaves its gang startable in part or waiting for
// ever.
// Seeded fault that it catches: remove_waiting() leaves gang.complete set.
TEST(gang_test, an_incomplete_gang_is_refused_in_the_end)
{
    cluster_fixture cluster({make_row("a/gang", workload::gang, 5)});
    cluster.add_gang("a/gang", one_core, 3);
    const task_id member = cluster.waiting.begin()->first;
    EXPECT_EQ(cluster.subject.cancel(member), cancel_outcome::removed);
    cluster.waiting.erase(member);
    cluster.add_workers(1, cores_and_gib(4, 16));
    EXPECT_TRUE(cluster.decide().placements.empty());
    cluster.now += seconds(31);
    EXPECT_EQ(cluster.decide().refusals.size(), 2U);
    EXPECT_EQ(cluster.subject.waiting(), 0U);
}

/// Ends all running tasks; those on \p bad workers fail. Returns the failures.
int run_tasks(cluster_fixture& cluster, const std::set<worker_id>& bad)
{
    int failures = 0;
    while (!cluster.running.empty())
    {
        const bool fails = bad.count(cluster.running.begin()->second.worker) > 0;
        failures += fails ? 1 : 0;
        cluster.end(cluster.running.begin()->first,
                    fails ? task_outcome::failure : task_outcome::success);
    }
    return failures;
}

// Guards against a worker that fails everything and, being always free, draws ever more
// tasks; and against a quarantine that does not grow.
// Seeded faults that it catches: quarantine::is_suspect() returns false; impose() does
// not raise the level.
TEST(quarantine_test, grows_for_a_worker_that_fails_everything)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(5, cores_and_gib(4, 16));
    const worker_id bad("w2");
    int failures = 0;
    for (int i = 0; i < 2000; ++i)
    {
        cluster.add_many("a/x", one_core, 10);
        cluster.decide();
        failures += run_tasks(cluster, {bad});
        cluster.now += milliseconds(100);
    }
    EXPECT_GE(failures, 4);
    EXPECT_LE(failures, 20);
    EXPECT_NE(cluster.subject.unschedulable_reason(bad, cluster.now), "");
    EXPECT_EQ(cluster.subject.unschedulable_reason(worker_id("w1"), cluster.now), "");
}

/// Runs one task of \p job at a time until \p count have failed.
void fail_job(cluster_fixture& cluster, waiting_task job, int count)
{
    for (int i = 0; i < count; ++i)
    {
        ++job.id.index;
        cluster.add(job);
        cluster.decide();
        while (!cluster.running.empty())
            cluster.end(cluster.running.begin()->first, task_outcome::failure);
        cluster.now += milliseconds(10);
    }
}

// Guards against workers that are blamed for a job that fails everywhere.
// Seeded fault that it catches: quarantine::blame_job() returns false.
TEST(quarantine_test, does_not_blame_workers_for_a_bad_job)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(10, cores_and_gib(4, 16));
    cluster.add_many("a/x", cores_and_gib(1, 4), 40);
    cluster.decide();
    run_tasks(cluster, {});
    fail_job(cluster, cluster.make("a/x", cores_and_gib(4, 4)), 100);
    for (const auto& [worker, capacity] : cluster.capacities)
        EXPECT_EQ(cluster.subject.unschedulable_reason(worker, cluster.now), "");
}

// Guards against a timer of a lifted quarantine that meets a worker removed since.
// Seeded fault that it catches: decision_round::end_quarantine() does not check the
// worker.
TEST(quarantine_test, a_lifted_quarantine_of_a_removed_worker_is_ignored)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    waiting_task job = cluster.make("a/x", cores_and_gib(4, 4));
    cluster.add_workers(1, cores_and_gib(4, 16));
    fail_job(cluster, job, 5);
    EXPECT_NE(cluster.subject.unschedulable_reason(worker_id("w0"), cluster.now), "");
    cluster.add_workers(3, cores_and_gib(4, 16));
    job.id.index = 100;
    fail_job(cluster, job, 50);
    EXPECT_EQ(cluster.subject.unschedulable_reason(worker_id("w0"), cluster.now), "");
    for (const auto& [worker, capacity] : cluster.capacities)
        cluster.subject.remove_worker(worker);
    cluster.now += seconds(1000);
    EXPECT_TRUE(cluster.decide().placements.empty());
    EXPECT_EQ(cluster.subject.capacity(), resources());
}

} // namespace
} // namespace hawthornbeam::policy
