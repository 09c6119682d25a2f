/// \file
/// Tests that a number names one run of a task, also when the owner changes.
#include "fleet.hpp"
#include "lib/cell/stored_form.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const job_key inherited("a");

/// An owner in its second term that inherits a job of \p tasks tasks. Its predecessor
/// started some of them on a worker that nobody reaches.
class run_numbers_test : public testing::Test
{
protected:
    void take_over(const job_spec& job)
    {
        workers.add_queue("q", 0);
        workers.submit(job);
        workers.hand_over_to(successor);
        successor.set_term(owner_term(2));
        successor.expect_workers({worker_id("w0"), worker_id("w1")}, workers.clock.now());
        successor.add_job(job, true, workers.clock.now());
    }
    void poll(const std::string& worker)
    {
        successor.observe(workers.look(worker), workers.clock.now());
    }
    /// Polls w1 until the longest lease of w0 has expired.
    void lose_sight_of_first_worker()
    {
        for (int second = 0; second < 13; ++second)
        {
            poll("w1");
            workers.advance(seconds(1));
        }
        poll("w1");
    }
    /// Lets the successor decide and delivers its starts.
    std::vector<start_command> starts()
    {
        std::vector<start_command> started = successor.decide(workers.clock.now()).starts;
        for (const start_command& each : started)
            workers.deliver(each);
        return started;
    }
    /// A poll result of w0 that lists the end of a run of the former owner.
    poll_result late_end(run_number run, run_end outcome, const std::string& saved = "")
    {
        poll_result listed = workers.look("w0");
        listed.ended = {
            {end_number(1), {{inherited, 0, 0}, run}, outcome, checkpoint(saved)}};
        return listed;
    }

    fleet workers{2, false};
    scheduler successor{scheduler_limits(), workers.log, workers.metrics};
};

// Guards against an end that takes the place of the end of another run.
TEST_F(run_numbers_test, end_of_a_former_owners_run_does_not_hide_an_end_as_done)
{
    take_over(fleet::job("a", "q", 1, 1));
    lose_sight_of_first_worker();
    const std::vector<start_command> started = starts();
    ASSERT_EQ(started.size(), 1U);
    successor.observe(late_end(run_number(1), run_end::lapsed), workers.clock.now());
    workers.end_all(run_end::done);
    poll("w1");
    EXPECT_TRUE(starts().empty());
    successor.stored(successor.take_changes(), workers.clock.now());
    EXPECT_EQ(successor.state(inherited), job_state::done);
}

TEST_F(run_numbers_test, runs_of_an_accepted_job_are_counted_from_one)
{
    take_over(fleet::job("a", "q", 1, 1));
    poll("w0");
    poll("w1");
    const job_spec accepted = fleet::job("b", "q", 1, 1);
    workers.submit(accepted);
    successor.add_job(accepted, false, workers.clock.now());
    const std::vector<start_command> started = starts();
    ASSERT_EQ(started.size(), 2U);
    for (const start_command& each : started)
        EXPECT_EQ(each.run.run, run_number(each.run.task.job == inherited ? 100'001 : 1));
}

// Guards against stopping a gang because a member of its former run ended.
TEST_F(run_numbers_test, late_end_of_a_former_gang_run_does_not_stop_the_present_one)
{
    job_spec gang = fleet::job("a", "q", 3, 1, seconds(10));
    gang.steps[0].gang = true;
    take_over(gang);
    lose_sight_of_first_worker();
    ASSERT_EQ(starts().size(), 3U);
    poll("w1");
    successor.observe(late_end(run_number(1), run_end::lapsed), workers.clock.now());
    EXPECT_TRUE(successor.decide(workers.clock.now()).stops.empty());
    EXPECT_EQ(workers.runs("a").size(), 3U);
}

// Guards against losing progress to the checkpoint of an older run.
TEST_F(run_numbers_test, checkpoint_of_a_former_run_does_not_replace_a_newer_one)
{
    take_over(fleet::job("a", "q", 1, 1, seconds(10)));
    lose_sight_of_first_worker();
    const std::vector<start_command> started = starts();
    ASSERT_EQ(started.size(), 1U);
    poll_result running = workers.look("w1");
    ASSERT_EQ(running.running.size(), 1U);
    running.running[0].saved = checkpoint("newer");
    successor.observe(running, workers.clock.now());
    successor.observe(late_end(run_number(1), run_end::lapsed, "older"),
                      workers.clock.now());
    workers.end_all(run_end::lapsed);
    poll("w1");
    const std::vector<start_command> next = starts();
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].saved, checkpoint("newer"));
}

} // namespace

} // namespace hawthornbeam::cell
