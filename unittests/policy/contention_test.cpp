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

/// Fills one worker of four cores with tasks of "b/batch" that start one second apart.
void fill_worker(cluster_fixture& cluster)
{
    cluster.add_workers(1, cores_and_gib(4, 16));
    for (int i = 0; i < 4; ++i)
    {
        cluster.enqueue_many("b/batch", one_core, 1);
        cluster.decide();
        cluster.now += seconds(1);
    }
}

// Guards against preemption that skips the throttle or checkpoint stage, preempts more
// tasks than needed or not the one with the least run time, and against another task that
// takes the freed capacity.
// Seeded faults that it catches: the sort in preemptor::plan_worker() is reversed;
// hold_manager::create() does not add to worker.held.
TEST(preemption_test, cheapest_victim_is_throttled_then_checkpointed_then_stopped)
{
    cluster_fixture cluster({make_row("a/urgent", workload::request, 0),
                             make_row("b/batch", workload::batch, 9)});
    fill_worker(cluster);
    const task_id youngest = cluster.running.rbegin()->first;
    cluster.enqueue_many("b/batch", one_core, 3);
    cluster.enqueue_many("a/urgent", one_core, 1);
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
    cluster.end_task(youngest, task_outcome::preempted);
    cluster.decide();
    EXPECT_EQ(cluster.running_in("a/urgent"), 1U);
    EXPECT_EQ(cluster.running_in("b/batch"), 3U);
}

// Guards against a preempted task that is refused, and so lost, because the queue of its
// row has become full in the meantime.
// Seeded fault that it catches: task_ended() does not count the returning task.
TEST(preemption_test, preempted_task_is_accepted_again_by_a_full_queue)
{
    table_row batch = make_row("b/batch", workload::batch, 9);
    batch.limits.queue_length = 2;
    cluster_fixture cluster({batch});
    cluster.add_workers(1, one_core);
    cluster.enqueue_many("b/batch", one_core, 1);
    cluster.decide();
    waiting_task task = cluster.running.begin()->second.task;
    cluster.end_task(task.id, task_outcome::preempted);
    cluster.enqueue_many("b/batch", one_core, 2);
    ++task.id.attempt;
    EXPECT_FALSE(cluster.enqueue(task).has_value());
    EXPECT_TRUE(cluster.enqueue(cluster.make_task("b/batch", one_core)).has_value());
    EXPECT_EQ(cluster.decide().placements.at(0).task, task.id);
}

struct preemption_case
{
    const char* name;
    table_row urgent;
    table_row victim;
    bool idempotent;
    std::size_t throttled; ///< Of four running tasks, when four urgent tasks wait.
    bool stopped;
};

class preemption_protection_test : public testing::TestWithParam<preemption_case>
{
};

table_row service_row(std::uint32_t disruption_limit)
{
    table_row row = make_row("b/batch", workload::service, 9);
    row.disruption_limit = disruption_limit;
    return row;
}

// Guards against preemption of tasks of equal urgency, against a stop of non-idempotent
// tasks, and against preemption beyond a service's disruption limit or below the
// guarantee of the victim's row. Seeded faults that it catches: a condition of
// preemptor::may_preempt() is left out (the urgency condition together with the one in
// candidate_workers()); preemptor::advance_stage() ignores idempotent.
TEST_P(preemption_protection_test, preemption_respects_urgency_guarantees_and_limits)
{
    cluster_fixture cluster({GetParam().urgent, GetParam().victim});
    cluster.add_workers(1, cores_and_gib(4, 16));
    for (int i = 0; i < 4; ++i)
    {
        waiting_task task = cluster.make_task("b/batch", one_core);
        task.idempotent = GetParam().idempotent;
        cluster.enqueue(task);
    }
    cluster.decide();
    cluster.enqueue_many("a/urgent", one_core, 4);
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
    victims, preemption_protection_test,
    testing::Values(
        preemption_case{"less_urgent", make_row("a/urgent", workload::batch, 0),
                        make_row("b/batch", workload::batch, 9), true, 4, true},
        preemption_case{"equal", make_row("a/urgent", workload::batch, 5),
                        make_row("b/batch", workload::batch, 5), true, 0, false},
        preemption_case{"more_urgent", make_row("a/urgent", workload::batch, 9),
                        make_row("b/batch", workload::batch, 1), true, 0, false},
        preemption_case{"non_idempotent", make_row("a/urgent", workload::batch, 0),
                        make_row("b/batch", workload::batch, 9), false, 4, false},
        preemption_case{"service", make_row("a/urgent", workload::batch, 0),
                        service_row(2), true, 2, true},
        preemption_case{"own_guarantee", make_row("a/urgent", workload::batch, 0),
                        make_row("b/batch", workload::batch, 9, 0.5), true, 2, true},
        preemption_case{"guarantee_of_the_less_urgent",
                        make_row("a/urgent", workload::batch, 9, 0.25),
                        make_row("b/batch", workload::batch, 0), true, 1, true}),
    [](const testing::TestParamInfo<preemption_case>& entry)
    { return entry.param.name; });

// Guards against a large gang that never starts because small tasks take the capacity of
// each task that ends, and against backfill that delays the gang.
// Seeded faults that it catches: state::unheld() ignores worker.held; try_create_hold()
// never reserves.
TEST(gang_test, large_gang_is_not_starved_by_small_tasks)
{
    cluster_fixture cluster(
        {make_row("a/gang", workload::gang, 5), make_row("b/batch", workload::batch, 5)});
    cluster.add_workers(10, cores_and_gib(4, 16));
    const auto add_small = [&]
    {
        waiting_task task = cluster.make_task("b/batch", one_core);
        task.run_time = milliseconds(2000);
        cluster.enqueue(task);
    };
    for (int i = 0; i < 60; ++i)
        add_small();
    cluster.decide();
    const job_id gang = cluster.enqueue_gang("a/gang", cores_and_gib(4, 4), 8);
    int steps = 0;
    std::map<task_id, int> ages;
    while (cluster.running_of(gang) == 0 && steps < 600)
    {
        ++steps;
        cluster.now += milliseconds(50);
        std::vector<task_id> finished;
        for (const auto& [id, entry] : cluster.running)
        {
            // The tasks end at different times.
            if (++ages[id] >= 20 + static_cast<int>(id.job.low() % 20))
                finished.push_back(id);
        }
        for (const task_id& id : finished)
        {
            cluster.end_task(id);
            add_small();
        }
        cluster.end_preempted_tasks(cluster.decide());
    }
    EXPECT_EQ(cluster.running_of(gang), 8U);
    EXPECT_LE(steps * 50, 6000);
}

// Guards against a reservation that keeps capacity idle forever, and against a short task
// that is not backfilled into reserved capacity.
// Seeded faults that it catches: hold_manager::expire() does not release the hold;
// pick_backfill() returns nothing.
TEST(gang_test, reservation_admits_backfill_and_expires)
{
    cluster_fixture cluster(
        {make_row("a/gang", workload::gang, 5), make_row("b/batch", workload::batch, 6)});
    cluster.add_workers(2, cores_and_gib(4, 16));
    waiting_task blocker = cluster.make_task("b/batch", cores_and_gib(4, 4));
    blocker.run_time = seconds(1000);
    blocker.idempotent = false;
    cluster.enqueue(blocker);
    cluster.decide();
    // The gang would preempt the blocker, so the blocker's row gets the same urgency.
    cluster.set_rows(
        {make_row("a/gang", workload::gang, 5), make_row("b/batch", workload::batch, 5)});
    cluster.enqueue_gang("a/gang", cores_and_gib(3, 3), 2);
    cluster.decide();
    cluster.enqueue_many("b/batch", cores_and_gib(2, 2), 1);
    EXPECT_TRUE(cluster.decide().placements.empty())
        << "a task without a run time was placed in reserved capacity";
    waiting_task short_task = cluster.make_task("b/batch", cores_and_gib(2, 2));
    short_task.run_time = milliseconds(500);
    cluster.enqueue(short_task);
    EXPECT_EQ(cluster.decide().placements.size(), 1U)
        << "the short task was not backfilled";
    cluster.now += milliseconds(2001);
    EXPECT_GE(cluster.decide().placements.size(), 1U) << "the reservation did not end";
}

// Guards against a gang that, after one member was cancelled, starts in part or waits
// forever.
// Seeded fault that it catches: remove_waiting() leaves gang.complete set.
TEST(gang_test, incomplete_gang_is_refused_after_a_time_limit)
{
    cluster_fixture cluster({make_row("a/gang", workload::gang, 5)});
    cluster.enqueue_gang("a/gang", one_core, 3);
    const task_id member = cluster.waiting.begin()->first;
    EXPECT_EQ(cluster.subject.cancel(member), cancel_outcome::removed);
    cluster.waiting.erase(member);
    cluster.add_workers(1, cores_and_gib(4, 16));
    EXPECT_TRUE(cluster.decide().placements.empty());
    cluster.now += seconds(31);
    EXPECT_EQ(cluster.decide().refusals.size(), 2U);
    EXPECT_EQ(cluster.subject.waiting(), 0U);
}

/// Ends all running tasks; those on \p bad workers fail. Returns the number of failures.
int end_running_tasks(cluster_fixture& cluster, const std::set<worker_id>& bad)
{
    int failures = 0;
    while (!cluster.running.empty())
    {
        const bool fails = bad.count(cluster.running.begin()->second.worker) > 0;
        failures += fails ? 1 : 0;
        cluster.end_task(cluster.running.begin()->first,
                         fails ? task_outcome::failure : task_outcome::success);
    }
    return failures;
}

// Guards against a worker on which every task fails at once, and which therefore is
// always free and gets more and more tasks; and against repeated quarantines of equal
// length. Seeded faults that it catches: quarantine::is_suspect() returns false;
// quarantine::start_quarantine() does not raise the level.
TEST(quarantine_test, quarantine_lengthens_for_a_worker_that_fails_every_task)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(5, cores_and_gib(4, 16));
    const worker_id bad("w2");
    int failures = 0;
    for (int i = 0; i < 2000; ++i)
    {
        cluster.enqueue_many("a/x", one_core, 10);
        cluster.decide();
        failures += end_running_tasks(cluster, {bad});
        cluster.now += milliseconds(100);
    }
    EXPECT_GE(failures, 4);
    EXPECT_LE(failures, 20);
    EXPECT_NE(cluster.subject.unschedulable_reason(bad, cluster.now), "");
    EXPECT_EQ(cluster.subject.unschedulable_reason(worker_id("w1"), cluster.now), "");
}

/// Runs \p count tasks of \p job one after the other; each fails.
void fail_job(cluster_fixture& cluster, waiting_task job, int count)
{
    for (int i = 0; i < count; ++i)
    {
        ++job.id.index;
        cluster.enqueue(job);
        cluster.decide();
        while (!cluster.running.empty())
            cluster.end_task(cluster.running.begin()->first, task_outcome::failure);
        cluster.now += milliseconds(10);
    }
}

// Guards against a quarantine of workers because of a job that fails on every worker.
// Seeded fault that it catches: quarantine::check_faulty_job() returns false.
TEST(quarantine_test, job_that_fails_everywhere_quarantines_no_worker)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(10, cores_and_gib(4, 16));
    cluster.enqueue_many("a/x", cores_and_gib(1, 4), 40);
    cluster.decide();
    end_running_tasks(cluster, {});
    fail_job(cluster, cluster.make_task("a/x", cores_and_gib(4, 4)), 100);
    for (const auto& [worker, capacity] : cluster.capacities)
        EXPECT_EQ(cluster.subject.unschedulable_reason(worker, cluster.now), "");
}

// Guards against an access to a removed worker when the timer of its quarantine, which
// was lifted before the removal, expires. Seeded fault that it catches:
// decision_round::end_quarantine() does not check the worker.
TEST(quarantine_test, timer_of_a_lifted_quarantine_ignores_a_removed_worker)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    waiting_task job = cluster.make_task("a/x", cores_and_gib(4, 4));
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
