#include "fleet.hpp"

#include <gtest/gtest.h>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after which the scheduler sends a stop for a start or stop without an answer.
constexpr duration unanswered_command_timeout = milliseconds(900);

task_ref first_task(const std::string& job)
{
    return task_ref{job_key(job), 0, 0};
}

} // namespace

TEST(scheduler_test, final_job_state_is_shown_only_after_it_is_stored)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 3, 2));
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::queued);
    workers.decide();
    EXPECT_EQ(workers.runs("a").size(), 3U);
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::running);
    workers.end_all(run_end::done);
    workers.poll_all();
    // The final state stays hidden until it is stored: a takeover could lose it.
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::running);
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::done);
}

/// What becomes of the only start of a job, and whether the job then counts as waiting.
class counted_start_test : public testing::TestWithParam<std::pair<delivery, bool>>
{
protected:
    static std::uint64_t waiting(const fleet& workers)
    {
        return workers.cell.depths().at(0).waiting;
    }
};

// Guards against a count of waiting jobs that leaves out those whose start was ordered
// and has not happened.
TEST_P(counted_start_test, job_waits_until_a_worker_shows_that_a_run_has_begun)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1));
    EXPECT_EQ(waiting(workers), 1U);
    workers.decide(GetParam().first);
    EXPECT_EQ(waiting(workers), GetParam().second ? 1U : 0U);
    EXPECT_EQ(workers.cell.state(job_key("a")),
              GetParam().second ? job_state::queued : job_state::running);
}

INSTANTIATE_TEST_SUITE_P(deliveries, counted_start_test,
                         testing::Values(std::pair(delivery::executed, false),
                                         std::pair(delivery::answer_lost, true),
                                         std::pair(delivery::lost, true),
                                         std::pair(delivery::refused, true)));

TEST(scheduler_test, listed_run_whose_start_was_not_answered_ends_the_wait_of_its_job)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1));
    workers.decide(delivery::answer_lost);
    workers.poll_all();
    EXPECT_EQ(workers.cell.depths().at(0).waiting, 0U);
}

TEST(scheduler_test, step_starts_only_after_all_tasks_of_its_predecessor)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    job_spec spec = fleet::job("a", "q", 2, 1);
    spec.steps.push_back(spec.steps[0]);
    spec.steps[1].after = {0};
    workers.submit(spec);
    workers.decide();
    ASSERT_EQ(workers.runs("a").size(), 2U);
    workers.end({first_task("a"), run_number(1)}, run_end::done);
    workers.poll_all();
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.end({{job_key("a"), 0, 1}, run_number(1)}, run_end::done);
    workers.poll_all();
    EXPECT_EQ(workers.decide().starts.size(), 2U);
}

// After two takeovers the ends of one task's runs arrive from several workers in any
// order. Each failed run counts as an attempt.
TEST(scheduler_test, failed_runs_count_as_attempts_in_any_order)
{
    fleet workers(2);
    workers.add_queue("q", 0, 2);
    workers.submit(fleet::job("a", "q", 1, 1));
    workers.cell.restore_end({{first_task("a"), run_number(2)}, run_end::failed});
    workers.cell.restore_end({{first_task("a"), run_number(1)}, run_end::failed});
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::failed);
}

/// Attempts in the configuration of a queue, and the expected state of its job, whose
/// only task has failed once.
class unknown_queue_test
    : public testing::TestWithParam<std::pair<std::uint32_t, job_state>>
{
};

// Guards against jobs that fail for good by a default number of attempts, because the
// owner reads them before the configuration of their queue.
TEST_P(unknown_queue_test, job_neither_fails_nor_starts_before_its_queue_is_known)
{
    fleet workers(1);
    workers.submit(fleet::job("a", "q", 1, 1), true);
    workers.cell.restore_end({{first_task("a"), run_number(1)}, run_end::failed});
    EXPECT_TRUE(workers.decide().starts.empty());
    EXPECT_TRUE(workers.store_changes().final_jobs.empty());
    workers.add_queue("q", 0, GetParam().first);
    workers.decide();
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), GetParam().second);
}

INSTANTIATE_TEST_SUITE_P(attempts, unknown_queue_test,
                         testing::Values(std::pair(1U, job_state::failed),
                                         std::pair(2U, job_state::running)));

TEST(scheduler_test, jobs_of_a_removed_queue_keep_its_policy)
{
    fleet workers(1);
    workers.add_queue("q", 0, 2);
    workers.submit(fleet::job("a", "q", 1, 1));
    workers.cell.configure({});
    EXPECT_EQ(workers.decide().starts.size(), 1U);
    workers.end_all(run_end::failed);
    workers.poll_all();
    EXPECT_TRUE(workers.store_changes().final_jobs.empty());
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

TEST(scheduler_test, policies_of_removed_queues_do_not_accumulate)
{
    fleet workers(1);
    workers.add_queue("used", 0);
    workers.submit(fleet::job("a", "used", 100, 1));
    for (int number = 0; number < 1000; ++number)
    {
        queue_policy queue;
        queue.name = queue_name("q" + std::to_string(number));
        workers.cell.configure({queue});
    }
    EXPECT_LT(workers.cell.queues().size(), 300U);
    EXPECT_FALSE(workers.decide().starts.empty());
}

TEST(scheduler_test, run_end_that_is_stored_and_listed_counts_once)
{
    fleet workers(1);
    workers.add_queue("q", 0, 2);
    workers.submit(fleet::job("a", "q", 1, 1));
    workers.decide();
    workers.end_all(run_end::failed);
    workers.poll_all();
    workers.cell.restore_end({{first_task("a"), run_number(1)}, run_end::failed});
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

// The report that a receiver accepted a job may arrive after a poll that lists the end of
// one of the job's runs.
TEST(scheduler_test, run_ends_listed_before_their_job_is_known_are_kept)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    const job_spec spec = fleet::job("a", "q", 1, 1);
    workers.submit(spec);
    workers.decide();
    workers.end_all(run_end::done);

    scheduler successor{scheduler_limits(), workers.log, workers.metrics};
    successor.update_worker(workers.info("w0"), workers.clock.now());
    poll_result poll;
    poll.worker = worker_id("w0");
    poll.sent_position = event_position{1, 1};
    poll.incarnation = workers.info("w0").incarnation;
    poll.ended.push_back(
        {end_number(1), {first_task("a"), run_number(1)}, run_end::done, checkpoint()});
    successor.observe(poll, workers.clock.now());
    EXPECT_EQ(successor.take_changes().ends.size(), 1U);
    successor.add_job(spec, true, workers.clock.now());
    EXPECT_TRUE(successor.decide(workers.clock.now()).starts.empty());
    EXPECT_EQ(successor.take_changes().final_jobs.size(), 1U);
}

// A new owner may read a job after it has polled the worker that runs the job's tasks,
// and decide before the next poll.
TEST(scheduler_test, runs_listed_before_their_job_is_known_are_not_started_again)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    const job_spec spec = fleet::job("a", "q", 2, 1);
    workers.submit(spec);
    ASSERT_EQ(workers.decide().starts.size(), 2U);

    scheduler successor{scheduler_limits(), workers.log, workers.metrics};
    workers.hand_over_to(successor);
    for (const char* worker : {"w0", "w1"})
        successor.observe(workers.look(worker), workers.clock.now());
    successor.add_job(spec, true, workers.clock.now());
    EXPECT_TRUE(successor.decide(workers.clock.now()).starts.empty());
    EXPECT_EQ(successor.state(spec.id), job_state::running);
}

// The former owner may have started an inherited task on any worker that it used.
TEST(scheduler_test, inherited_tasks_wait_until_every_worker_was_polled)
{
    fleet workers(3, false);
    workers.add_queue("q", 0);
    workers.cell.expect_workers({worker_id("w0"), worker_id("w1"), worker_id("w2")},
                                workers.clock.now());
    workers.submit(fleet::job("old", "q", 1, 1), true);
    workers.submit(fleet::job("new", "q", 1, 1), false);
    workers.poll("w0");
    workers.poll("w1");
    const decisions early = workers.decide();
    ASSERT_EQ(early.starts.size(), 1U);
    EXPECT_EQ(early.starts[0].run.task.job, job_key("new"));
    workers.poll("w2");
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

// Guards against inherited tasks that wait for workers which come and go, one after the
// other, and which no former owner has used.
TEST(scheduler_test, inherited_tasks_do_not_wait_for_a_new_worker_that_was_never_polled)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("old", "q", 1, 1), true);
    worker_info passing = workers.info("w0");
    passing.id = worker_id("passing");
    workers.cell.update_worker(passing, workers.clock.now());
    workers.cell.remove_worker(passing.id, workers.clock.now());
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

TEST(scheduler_test, inherited_tasks_wait_for_the_longest_lease_of_an_unreachable_worker)
{
    fleet workers(2, false);
    workers.add_queue("q", 0);
    workers.cell.expect_workers({worker_id("w0"), worker_id("w1")}, workers.clock.now());
    workers.submit(fleet::job("old", "q", 1, 1), true);
    workers.poll("w0");
    const scheduler_limits limits;
    workers.advance(limits.max_granted_lease + max_unconfirmed_time);
    workers.poll("w0");
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.advance(milliseconds(500));
    workers.poll("w0");
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

TEST(scheduler_test, runs_listed_by_a_poll_are_adopted_with_their_capacity)
{
    fleet former(1);
    former.add_queue("q", 0);
    const job_spec spec = fleet::job("a", "q", 1, 5);
    former.submit(spec);
    former.decide();

    scheduler successor{scheduler_limits(), former.log, former.metrics};
    queue_policy queue;
    queue.name = queue_name("q");
    queue.service = service_name("pool");
    successor.configure({queue});
    successor.update_worker(former.info("w0"), former.clock.now());
    successor.allow_worker(worker_id("w0"));
    successor.expect_workers({worker_id("w0")}, former.clock.now());
    successor.add_job(spec, true, former.clock.now());
    successor.add_job(fleet::job("b", "q", 1, 5), true, former.clock.now());
    poll_result poll;
    poll.worker = worker_id("w0");
    poll.sent_position = event_position{1, 1};
    poll.incarnation = former.info("w0").incarnation;
    poll.running.push_back({{first_task("a"), run_number(1)}, checkpoint(), 3});
    successor.observe(poll, former.clock.now());
    // The adopted run uses 5 of 8 cores, so the other job does not fit.
    EXPECT_TRUE(successor.decide(former.clock.now()).starts.empty());
    EXPECT_EQ(successor.state(job_key("a")), job_state::running);
}

/// A start without an answer. The parameter says whether the worker executed it.
class unanswered_start_test : public testing::TestWithParam<delivery>
{
};

TEST_P(unanswered_start_test, task_does_not_run_twice_after_an_unanswered_start)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1));
    ASSERT_EQ(workers.decide(GetParam()).starts.size(), 1U);
    for (int round = 0; round < 20; ++round)
    {
        workers.advance(milliseconds(200));
        workers.poll_all();
        workers.decide();
        EXPECT_LE(workers.runs("a").size(), 1U);
    }
    EXPECT_EQ(workers.runs("a").size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(outcomes, unanswered_start_test,
                         testing::Values(delivery::lost, delivery::answer_lost));

TEST(scheduler_test, capacity_of_a_stopped_run_is_freed_only_when_its_end_is_listed)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 8));
    workers.decide();
    workers.poll_all();
    workers.cell.cancel(job_key("a"));
    workers.submit(fleet::job("b", "q", 1, 8));
    // The stop is delivered later.
    const decisions decided = workers.cell.decide(workers.clock.now());
    ASSERT_EQ(decided.stops.size(), 1U);
    EXPECT_TRUE(decided.starts.empty());
    workers.poll_all();
    EXPECT_TRUE(workers.cell.decide(workers.clock.now()).starts.empty());
    workers.deliver(decided.stops[0]);
    workers.poll_all();
    EXPECT_EQ(workers.decide().starts.size(), 1U);
    EXPECT_LE(workers.max_millicores(), 8000);
}

TEST(scheduler_test, unanswered_start_is_stopped_after_a_worker_restart)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1));
    workers.submit(fleet::job("b", "q", 1, 1));
    const decisions first = workers.cell.decide(workers.clock.now());
    ASSERT_EQ(first.starts.size(), 2U);
    workers.deliver(first.starts[0]);
    workers.deliver(first.starts[1], delivery::lost);
    workers.restart("w0");
    workers.poll_all();
    const decisions second = workers.cell.decide(workers.clock.now());
    // The run that was answered ended with the restart; the other start may still arrive.
    ASSERT_EQ(second.starts.size(), 1U);
    EXPECT_EQ(second.starts[0].run.task, first.starts[0].run.task);
    ASSERT_EQ(second.stops.size(), 1U);
    EXPECT_EQ(second.stops[0].run.task, first.starts[1].run.task);
}

// The worker's former incarnation was told to stop the start, which the new one does not
// know. The deadline of the start may still lie in the future on the new clock, so the
// start could be executed.
TEST(scheduler_test, abandoned_start_is_stopped_again_in_the_next_incarnation)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 4));
    const decisions first = workers.cell.decide(workers.clock.now());
    ASSERT_EQ(first.starts.size(), 1U);
    const worker_id former = first.starts[0].worker;
    workers.deliver(first.starts[0], delivery::lost);
    // A stop ensures that the start is not executed, and the task starts again.
    workers.advance(milliseconds(900));
    workers.poll_all();
    workers.decide();
    workers.poll_all();
    workers.decide();
    ASSERT_EQ(workers.runs("a").size(), 1U);
    workers.advance(seconds(3));
    workers.restart(former.value());
    workers.poll_all();
    const decisions after = workers.cell.decide(workers.clock.now());
    ASSERT_EQ(after.stops.size(), 1U);
    EXPECT_EQ(after.stops[0].worker, former);
    EXPECT_EQ(after.stops[0].run.run, first.starts[0].run.run);
}

/// A gang of two on two workers. The first member shows the same progress for 4 s. The
/// parameter is that progress in percent and whether a stop is expected.
class stalled_gang_member_test
    : public testing::TestWithParam<std::pair<std::uint32_t, bool>>
{
};

// A stalled run delays its whole gang. A member at 100 % waits for the others, and
// stopping it would discard the work of the whole gang.
TEST_P(stalled_gang_member_test, stalled_member_is_stopped_unless_its_work_is_done)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    job_spec job = fleet::job("a", "q", 2, 6, seconds(10));
    job.steps[0].gang = true;
    workers.submit(job);
    ASSERT_EQ(workers.decide().starts.size(), 2U);
    workers.freeze_progress("w0", GetParam().first);
    std::size_t stops = 0;
    for (int round = 0; round < 8; ++round)
    {
        workers.advance(milliseconds(500));
        workers.poll_all();
        for (const stop_command& command : workers.decide().stops)
            stops += command.worker == worker_id("w0") ? 1U : 0U;
    }
    EXPECT_EQ(stops > 0, GetParam().second);
}

INSTANTIATE_TEST_SUITE_P(progress, stalled_gang_member_test,
                         testing::Values(std::pair<std::uint32_t, bool>(40, true),
                                         std::pair<std::uint32_t, bool>(99, true),
                                         std::pair<std::uint32_t, bool>(100, false)));

TEST(scheduler_test, draining_worker_gets_no_starts)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.info("w0").draining = true;
    workers.publish("w0");
    workers.submit(fleet::job("a", "q", 1, 1));
    EXPECT_TRUE(workers.decide().starts.empty());
}

// An entry that describes an earlier incarnation may show more capacity than the worker
// has now.
TEST(scheduler_test, worker_gets_no_starts_while_its_entry_describes_another_incarnation)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1));
    poll_result poll;
    poll.worker = worker_id("w0");
    poll.sent_position = event_position{1, 9};
    poll.incarnation = worker_incarnation(2000);
    workers.cell.observe(poll, workers.clock.now());
    EXPECT_TRUE(workers.decide().starts.empty());
}

TEST(scheduler_test, gang_is_placed_as_a_whole_or_not_at_all)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    job_spec gang = fleet::job("a", "q", 5, 4);
    gang.steps[0].gang = true;
    workers.submit(gang);
    EXPECT_TRUE(workers.decide().starts.empty());
    job_spec smaller = fleet::job("b", "q", 4, 4);
    smaller.steps[0].gang = true;
    workers.submit(smaller);
    EXPECT_EQ(workers.decide().starts.size(), 4U);
}

// A member would otherwise wait for the refused one and end alone.
TEST(scheduler_test, gang_is_stopped_when_one_start_is_refused)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    job_spec gang = fleet::job("a", "q", 3, 2);
    gang.steps[0].gang = true;
    workers.submit(gang);
    const decisions first = workers.cell.decide(workers.clock.now());
    ASSERT_EQ(first.starts.size(), 3U);
    workers.deliver(first.starts[0]);
    workers.deliver(first.starts[1]);
    workers.deliver(first.starts[2], delivery::refused);
    workers.decide();
    EXPECT_TRUE(workers.runs("a").empty());
    workers.poll_all();
    workers.advance(milliseconds(900));
    workers.poll_all();
    workers.decide();
    ASSERT_EQ(workers.runs("a").size(), 3U);
    std::set<run_number> numbers;
    for (const auto& [worker, run] : workers.runs("a"))
        numbers.insert(run.run);
    EXPECT_EQ(numbers, std::set<run_number>{run_number(2)});
}

// A start that was refused or lost while the former owner resigned left the other member
// waiting until its time limit.
TEST(scheduler_test, inherited_gang_that_lacks_a_member_is_stopped)
{
    fleet former(2);
    former.add_queue("q", 0);
    job_spec gang = fleet::job("a", "q", 2, 5);
    gang.steps[0].gang = true;

    scheduler successor{scheduler_limits(), former.log, former.metrics};
    queue_policy queue;
    queue.name = queue_name("q");
    queue.service = service_name("pool");
    successor.configure({queue});
    successor.add_job(gang, true, former.clock.now());
    successor.expect_workers({worker_id("w0"), worker_id("w1")}, former.clock.now());
    for (const char* name : {"w0", "w1"})
    {
        successor.update_worker(former.info(name), former.clock.now());
        successor.allow_worker(worker_id(name));
    }
    for (const char* name : {"w0", "w1"})
    {
        poll_result poll;
        poll.worker = worker_id(name);
        poll.sent_position = event_position{1, 1};
        poll.incarnation = former.info(name).incarnation;
        if (poll.worker == worker_id("w0"))
            poll.running.push_back({{first_task("a"), run_number(1)}, checkpoint(), 0});
        successor.observe(poll, former.clock.now());
        // The other member may run on the worker that has not been polled yet.
        EXPECT_EQ(successor.decide(former.clock.now()).stops.size(),
                  poll.worker == worker_id("w0") ? 0U : 1U);
    }
}

TEST(scheduler_test, failures_of_different_members_count_as_attempts_of_their_gang)
{
    fleet workers(2);
    workers.add_queue("q", 0, 2);
    job_spec gang = fleet::job("a", "q", 2, 2);
    gang.steps[0].gang = true;
    workers.submit(gang);
    workers.cell.restore_end({{{job_key("a"), 0, 0}, run_number(1)}, run_end::failed});
    workers.cell.restore_end({{{job_key("a"), 0, 1}, run_number(2)}, run_end::failed});
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::failed);
}

// Guards against gangs that use up their attempts in one run, on a worker that fails all
// members.
TEST(scheduler_test, members_that_fail_in_one_run_count_as_one_attempt_of_their_gang)
{
    fleet workers(2);
    workers.add_queue("q", 0, 2);
    job_spec gang = fleet::job("a", "q", 2, 2);
    gang.steps[0].gang = true;
    workers.submit(gang);
    for (const job_state expected : {job_state::running, job_state::failed})
    {
        ASSERT_EQ(workers.decide().starts.size(), 2U);
        workers.end_all(run_end::failed);
        workers.poll_all();
        workers.store_changes();
        EXPECT_EQ(workers.cell.state(job_key("a")), expected);
        workers.advance(milliseconds(100));
        workers.poll_all();
    }
}

TEST(scheduler_test, step_keeps_its_limit_of_tasks_per_worker)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    job_spec spread = fleet::job("a", "q", 4, 1);
    spread.steps[0].per_worker = 1;
    workers.submit(spread);
    EXPECT_EQ(workers.decide().starts.size(), 2U);
}

TEST(scheduler_test, persistent_task_restarts_after_any_outcome)
{
    fleet workers(1);
    workers.add_queue("q", 0, 1);
    job_spec persistent_job = fleet::job("a", "q", 1, 1);
    persistent_job.steps[0].persistent = true;
    workers.submit(persistent_job);
    for (const run_end outcome : {run_end::done, run_end::failed, run_end::lapsed})
    {
        ASSERT_EQ(workers.decide().starts.size(), 1U);
        workers.end_all(outcome);
        workers.poll_all();
    }
    EXPECT_EQ(workers.decide().starts.size(), 1U);
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::running);
}

TEST(scheduler_test, worker_that_fails_tasks_of_several_jobs_gets_no_starts_for_a_while)
{
    fleet workers(4);
    workers.add_queue("q", 0, 5);
    for (const char* id : {"a", "b", "c"})
        workers.submit(fleet::job(id, "q", 1, 1));
    const decisions first = workers.decide();
    ASSERT_EQ(first.starts.size(), 3U);
    const worker_id faulty = first.starts[0].worker;
    for (const start_command& command : first.starts)
        ASSERT_EQ(command.worker, faulty);
    workers.end_all(run_end::failed);
    workers.poll_all();
    for (const char* id : {"d", "e", "f", "g"})
        workers.submit(fleet::job(id, "q", 1, 7));
    const decisions second = workers.decide();
    EXPECT_EQ(second.starts.size(), 5U);
    for (const start_command& command : second.starts)
        EXPECT_NE(command.worker, faulty);
    workers.advance(milliseconds(2100));
    workers.poll_all();
    const decisions third = workers.decide();
    ASSERT_EQ(third.starts.size(), 1U);
    EXPECT_EQ(third.starts[0].worker, faulty);
}

// For a while, requests with short objectives arrive faster than they can run. Served in
// order of arrival, all later requests would miss their objective too.
TEST(scheduler_test, requests_that_can_meet_their_objective_go_before_late_ones)
{
    fleet workers(1);
    workers.add_queue("q", 0, 3, 1.5, milliseconds(250));
    for (int number = 0; number < 4; ++number)
        workers.submit(
            fleet::job("old" + std::to_string(number), "q", 1, 8, milliseconds(800)));
    workers.advance(seconds(1));
    workers.poll_all();
    workers.submit(fleet::job("new", "q", 1, 8, milliseconds(800)));
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_EQ(decided.starts[0].run.task.job, job_key("new"));
}

/// Age of a late job, and whether it starts before a new one. Its objective is 3 s and
/// its value is lost after 9 s.
class late_job_test : public testing::TestWithParam<std::pair<duration, bool>>
{
};

// Guards against late jobs that wait behind all others until they have no value left.
TEST_P(late_job_test, starts_before_new_jobs_only_at_its_last_chance)
{
    fleet workers(1);
    workers.add_queue("q", 0, 3, 2, seconds(1));
    workers.submit(fleet::job("busy", "q", 1, 8));
    workers.decide();
    workers.submit(fleet::job("late", "q", 1, 8));
    workers.advance(GetParam().first);
    workers.end_all(run_end::done);
    workers.poll_all();
    workers.submit(fleet::job("new", "q", 1, 8));
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_EQ(decided.starts[0].run.task.job.value(), GetParam().second ? "late" : "new");
}

INSTANTIATE_TEST_SUITE_P(ages, late_job_test,
                         testing::Values(std::pair(seconds(1), true),
                                         std::pair(seconds(3), false),
                                         std::pair(milliseconds(6900), true),
                                         std::pair(milliseconds(7900), true),
                                         std::pair(milliseconds(8100), false)));

// Guards against a job that changes its rank from decision to decision because only one
// of its steps is late.
TEST(scheduler_test, job_with_one_late_step_stays_behind_jobs_in_time)
{
    fleet workers(1);
    workers.add_queue("q", 0, 3, 2, seconds(1));
    workers.submit(fleet::job("busy", "q", 1, 8));
    workers.decide();
    job_spec late = fleet::job("late", "q", 1, 8);
    late.steps.push_back(late.steps[0]);
    late.steps[1].estimate = seconds(4);
    workers.submit(late);
    workers.advance(seconds(6));
    workers.poll_all();
    for (int decision = 0; decision < 3; ++decision)
    {
        workers.decide();
        workers.advance(milliseconds(60));
        workers.poll_all();
    }
    workers.end_all(run_end::done);
    workers.poll_all();
    workers.submit(fleet::job("new", "q", 1, 8));
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_EQ(decided.starts[0].run.task.job, job_key("new"));
}

class large_jobs_test : public testing::TestWithParam<int>
{
};

// Guards against large jobs that hold up all jobs of their age until they have ended.
TEST_P(large_jobs_test, give_way_to_a_small_job_of_the_same_age_once_late)
{
    constexpr std::uint32_t large_count = 100'000;
    constexpr std::size_t max_starts = 3000;
    constexpr duration run_time = milliseconds(50);
    fleet workers(4);
    workers.add_queue("q", 0, 3, 2, milliseconds(300));
    for (int number = 0; number < GetParam(); ++number)
        workers.submit(
            fleet::job("large" + std::to_string(number), "q", large_count, 1, run_time));
    workers.submit(fleet::job("small", "q", 1, 1, run_time));
    std::size_t starts = 0;
    while (workers.cell.state(job_key("small")) != job_state::done && starts < max_starts)
    {
        starts += workers.decide().starts.size();
        workers.advance(run_time);
        workers.end_all(run_end::done);
        workers.poll_all();
        workers.store_changes();
    }
    EXPECT_EQ(workers.cell.state(job_key("small")), job_state::done);
    EXPECT_EQ(workers.cell.state(job_key("large0")), job_state::running);
}

INSTANTIATE_TEST_SUITE_P(counts, large_jobs_test, testing::Values(1, 20));

// Small tasks of a less urgent queue take each core that becomes free, so that a gang
// never finds free capacity for all members at once.
TEST(scheduler_test, workers_are_reserved_for_a_gang_under_a_flood_of_small_tasks)
{
    fleet workers(4);
    workers.add_queue("gangs", 1, 3, 2, seconds(60));
    workers.add_queue("flood", 2, 3, 2, seconds(60));
    for (int number = 0; number < 60; ++number)
        workers.submit(fleet::job("f" + std::to_string(number), "flood", 1, 2));
    workers.decide();
    job_spec gang = fleet::job("g", "gangs", 2, 6);
    gang.steps[0].gang = true;
    workers.submit(gang);
    bool placed = false;
    // Each worker runs four small tasks of a second, one of which ends in each round.
    for (int round = 0; round < 6 && !placed; ++round)
    {
        workers.advance(milliseconds(250));
        std::set<worker_id> served;
        for (int number = 0; number < 60; ++number)
            for (const auto& [worker, run] : workers.runs("f" + std::to_string(number)))
                if (served.insert(worker).second)
                    workers.end(run, run_end::done);
        workers.poll_all();
        workers.decide();
        placed = workers.runs("g").size() == 2;
    }
    EXPECT_TRUE(placed);
    EXPECT_LE(workers.max_millicores(), 8000);
}

TEST(scheduler_test, no_start_is_executed_after_a_draining_worker_may_refuse_work)
{
    fleet cell(1);
    cell.add_queue("q", 0);
    cell.advance(milliseconds(1000));
    cell.poll_all();
    const scheduler_limits limits;
    const boot_time now = cell.clock.now();
    const worker_time worker_now = cell.look("w0").clock;
    cell.cell.confirm_workers(now - milliseconds(1200));
    cell.submit(fleet::job("j", "q", 1, 1));
    const decisions decided = cell.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    const duration left =
        milliseconds(decided.starts[0].deadline.value() - worker_now.value());
    EXPECT_LE(left, limits.drain_limit - milliseconds(1200));
    EXPECT_GE(left, milliseconds(250));
}

} // namespace hawthornbeam::cell
