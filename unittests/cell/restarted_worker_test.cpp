/// \file
/// Tests what becomes of the runs of a worker that restarts under its id.
#include "fleet.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const worker_id restarting("w0");

/// A worker that restarts after a start for it was decided and before it arrives, so that
/// the next incarnation executes it.
class restarted_worker_test : public testing::Test
{
protected:
    restarted_worker_test()
    {
        workers.add_queue("q", 0);
        workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
        const decisions decided = workers.cell.decide(workers.clock.now());
        command = decided.starts.at(0);
        workers.restart(restarting.value());
    }

    fleet workers{1};
    start_command command;
};

// Guards against running a task again that the next incarnation has ended as done before
// its first poll.
TEST_F(restarted_worker_test, end_of_a_run_that_the_next_incarnation_executed_counts)
{
    workers.deliver(command);
    workers.end_all(run_end::done);
    workers.poll_all();
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::done);
}

// Guards against running a task twice that the next incarnation runs at its first poll.
TEST_F(restarted_worker_test, run_of_the_next_incarnation_goes_on)
{
    workers.deliver(command);
    workers.poll_all();
    EXPECT_TRUE(workers.decide().starts.empty());
    EXPECT_EQ(workers.runs("a").size(), 1U);
    EXPECT_TRUE(workers.store_changes().ends.empty()) << "no crash to count";
}

// Guards against running a task twice whose start the next incarnation accepted while its
// first poll was under way.
TEST_F(restarted_worker_test, answer_newer_than_the_first_poll_waits_for_the_next_one)
{
    const poll_result first = workers.look(restarting.value());
    workers.deliver(command);
    workers.cell.observe(first, workers.clock.now());
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.end_all(run_end::done);
    workers.poll_all();
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::done);
}

// Guards against tasks that wait for ever after a crash of their worker.
TEST_F(restarted_worker_test, run_that_the_former_incarnation_executed_restarts)
{
    workers.deliver(command);
    workers.poll_all();
    workers.restart(restarting.value());
    workers.poll_all();
    EXPECT_EQ(workers.store_changes().ends.size(), 1U) << "counts as a crash";
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_EQ(decided.starts[0].run.run, run_number(2));
}

// Guards against a stop that the former incarnation answered and the next one, which
// executes the start, does not know.
TEST_F(restarted_worker_test, run_being_stopped_is_stopped_again_in_the_next_incarnation)
{
    workers.cell.cancel(job_key("a"));
    workers.cell.decide(workers.clock.now());
    command_result stopped;
    stopped.worker = restarting;
    stopped.run = command.run;
    stopped.stop = true;
    stopped.position = event_position{1, 2};
    workers.cell.observe(stopped, workers.clock.now());
    workers.deliver(command);
    workers.poll_all();
    workers.decide();
    EXPECT_TRUE(workers.runs("a").empty());
}

// Guards against an owner that ends when a restarted worker executes a start of a job
// whose final state was read from the store: the owner has no steps of it.
TEST(run_of_an_ended_job_test, is_stopped_again_without_the_steps_of_its_job)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1));
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    scheduler next(scheduler_limits(), workers.log, workers.metrics);
    workers.hand_over_to(next);
    next.restore_final(job_key("a"), job_state::cancelled);
    next.observe(workers.look("w0"), workers.clock.now());
    EXPECT_EQ(next.decide(workers.clock.now()).stops.size(), 1U);
    workers.restart("w0");
    workers.deliver(decided.starts[0]);
    next.observe(workers.look("w0"), workers.clock.now());
    EXPECT_EQ(next.decide(workers.clock.now()).stops.size(), 1U);
    EXPECT_EQ(next.state(job_key("a")), job_state::cancelled);
}

/// Answers to a start that do not prove that its run never began.
class doubtful_start_answer_test : public testing::TestWithParam<command_outcome>
{
};

// Guards against running a task twice whose start was delivered twice: the second
// delivery is answered that a run with this number has ended.
TEST_P(doubtful_start_answer_test, waits_for_the_end_of_the_run)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1));
    const decisions decided = workers.cell.decide(workers.clock.now());
    ASSERT_EQ(decided.starts.size(), 1U);
    workers.deliver(decided.starts[0], delivery::answer_lost);
    workers.end_all(run_end::done);
    command_result doubtful;
    doubtful.worker = decided.starts[0].worker;
    doubtful.run = decided.starts[0].run;
    doubtful.outcome = GetParam();
    doubtful.position = event_position{1, 100};
    workers.cell.observe(doubtful, workers.clock.now());
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.poll_all();
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::done);
}

INSTANTIATE_TEST_SUITE_P(outcomes, doubtful_start_answer_test,
                         testing::Values(command_outcome::superseded,
                                         command_outcome::unanswered));

} // namespace

} // namespace hawthornbeam::cell
