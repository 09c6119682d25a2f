/// \file
/// Tests that ends beyond those that a worker lists at a time are waited for.
#include "fleet.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A worker that lists two of the four ends of a job.
class listed_ends_test : public testing::Test
{
protected:
    listed_ends_test()
    {
        workers.add_queue("q", 0);
        workers.limit_listed_ends(2);
        job = fleet::job("a", "q", 4, 1);
    }

    fleet workers{1};
    job_spec job;
};

// Guards against running tasks again that have ended as done while the store was away.
TEST_F(listed_ends_test, runs_whose_ends_are_not_listed_yet_do_not_restart)
{
    workers.submit(job);
    EXPECT_EQ(workers.decide().starts.size(), 4U);
    workers.end_all(run_end::done);
    for (int polls = 0; polls < 20; ++polls)
    {
        workers.advance(milliseconds(500));
        workers.poll_all();
        const decisions decided = workers.decide();
        EXPECT_TRUE(decided.starts.empty()) << "after " << polls << " polls";
        EXPECT_TRUE(decided.stops.empty()) << "after " << polls << " polls";
    }
    for (int pages = 0; pages < 3; ++pages)
    {
        workers.acknowledge(workers.store_changes());
        workers.poll_all();
        EXPECT_TRUE(workers.decide().starts.empty()) << "after " << pages << " pages";
    }
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::done);
}

// Guards against runs that are taken for present for ever once all ends are listed.
TEST_F(listed_ends_test, run_that_a_whole_list_lacks_restarts)
{
    workers.submit(job);
    workers.decide();
    workers.end({{job_key("a"), 0, 0}, run_number(1)}, run_end::done);
    workers.forget_runs("w0");
    workers.poll_all();
    EXPECT_EQ(workers.decide().starts.size(), 3U);
}

// Guards against ends that are never acknowledged because the agent that should do so was
// replaced. A worker with a full list would never list its other ends.
TEST_F(listed_ends_test, ends_are_acknowledged_again_by_the_next_agent)
{
    workers.submit(job);
    workers.decide();
    workers.end_all(run_end::done);
    workers.poll_all();
    EXPECT_EQ(workers.store_changes().covered.size(), 1U);
    workers.poll_all();
    EXPECT_TRUE(workers.store_changes().covered.empty()) << "the agent keeps trying";
    poll_result next = workers.look("w0");
    next.sent_position = event_position{2, 1};
    workers.cell.observe(next, workers.clock.now());
    const pending_changes batch = workers.store_changes();
    ASSERT_EQ(batch.covered.size(), 1U);
    EXPECT_EQ(batch.covered[0].last, end_number(2));
}

// Guards against a new owner that starts tasks again whose ends a worker does not list
// yet.
TEST_F(listed_ends_test, inherited_tasks_wait_until_all_ends_are_listed)
{
    workers.submit(job);
    workers.decide();
    workers.end_all(run_end::done);
    scheduler next(scheduler_limits(), workers.log, workers.metrics);
    workers.hand_over_to(next);
    next.expect_workers({worker_id("w0")}, workers.clock.now());
    next.add_job(job, true, workers.clock.now());
    for (int pages = 0; pages < 3; ++pages)
    {
        next.observe(workers.look("w0"), workers.clock.now());
        EXPECT_TRUE(next.decide(workers.clock.now()).starts.empty())
            << "after " << pages << " pages";
        const pending_changes batch = next.take_changes();
        next.stored(batch, workers.clock.now());
        workers.acknowledge(batch);
    }
    EXPECT_EQ(next.state(job_key("a")), job_state::done);
}

} // namespace

} // namespace hawthornbeam::cell
