/// \file
/// Tests when the runs of a worker whose process has ended start again.
#include "fleet.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class ended_process_test : public testing::Test
{
protected:
    ended_process_test()
    {
        workers.add_queue("q", 0);
        workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    }
    /// Starts the job's only run and returns the name of its worker.
    std::string start(delivery outcome = delivery::executed)
    {
        const decisions decided = workers.decide(outcome);
        EXPECT_EQ(decided.starts.size(), 1U);
        workers.poll_all();
        return decided.starts.at(0).worker.value();
    }

    fleet workers{2};
};

// Guards against running a task twice when a network resets the connections to its
// worker, which runs on and holds its lease.
TEST_F(ended_process_test, refused_connections_do_not_end_the_runs_of_a_worker)
{
    const std::string cut_off = start();
    for (int polls = 0; polls < 30; ++polls)
    {
        workers.cell.observe(workers.refuse_poll(cut_off, false), workers.clock.now());
        workers.advance(milliseconds(250));
        EXPECT_TRUE(workers.decide().starts.empty()) << "after " << polls << " polls";
    }
    workers.poll(cut_off);
    EXPECT_TRUE(workers.decide().starts.empty());
    EXPECT_EQ(workers.runs("a").size(), 1U);
    workers.end_all(run_end::done);
    workers.poll(cut_off);
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::done);
}

// Guards against tasks of a lost worker that never start again.
TEST_F(ended_process_test,
       runs_of_a_worker_that_refuses_connections_restart_after_its_lease)
{
    const std::string lost = start();
    workers.end_process(lost, false);
    workers.advance(milliseconds(13100));
    EXPECT_EQ(workers.decide().starts.size(), 0U) << "the other worker is silent, too";
    workers.poll(lost == "w0" ? "w1" : "w0");
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

// Guards against starts that fail on a worker that cannot be reached.
TEST_F(ended_process_test,
       worker_that_refuses_connections_gets_no_starts_until_it_answers)
{
    const std::string cut_off = start();
    workers.cell.observe(workers.refuse_poll(cut_off, false), workers.clock.now());
    workers.submit(fleet::job("b", "q", 2, 5));
    for (const start_command& each : workers.decide().starts)
        EXPECT_NE(each.worker.value(), cut_off);
    workers.poll(cut_off);
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

// Guards against work that waits for the lease of a worker that is known to have ended.
TEST_F(ended_process_test, run_starts_on_another_worker_at_once)
{
    const std::string ended = start();
    workers.end_process(ended);
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_NE(decided.starts[0].worker.value(), ended);
    EXPECT_EQ(decided.starts[0].run.run, run_number(2));
}

// Guards against running a task twice when a late report is about an earlier process.
TEST_F(ended_process_test, report_older_than_an_answer_is_ignored)
{
    const std::string restarted = start();
    const refused_poll old = workers.refuse_poll(restarted, true);
    workers.poll_all();
    workers.cell.observe(old, workers.clock.now());
    EXPECT_TRUE(workers.decide().starts.empty());
}

// Guards against taking an ended worker for usable when an older answer arrives late.
TEST_F(ended_process_test, late_report_of_an_older_answer_is_ignored)
{
    const std::string ended = start();
    workers.submit(fleet::job("b", "q", 2, 8));
    const refused_poll shown = workers.refuse_poll(ended, true);
    poll_result older;
    older.worker = worker_id(ended);
    older.incarnation = workers.info(ended).incarnation;
    older.sent_position = event_position{1, shown.sent_position.event - 1};
    workers.cell.observe(shown, workers.clock.now());
    workers.cell.observe(older, workers.clock.now());
    for (const start_command& each : workers.decide().starts)
        EXPECT_NE(each.worker.value(), ended);
}

// Guards against running a task twice when an entry names a wrong address.
TEST_F(ended_process_test, address_that_the_worker_never_answered_at_shows_nothing)
{
    const std::string worker = start();
    workers.info(worker).address = endpoint("10.0.0.9:1");
    workers.publish(worker);
    workers.cell.observe(workers.refuse_poll(worker, true), workers.clock.now());
    EXPECT_TRUE(workers.decide().starts.empty());
}

/// Whether another worker has the address, and whether the task starts elsewhere.
class unanswered_start_of_ended_process_test : public ended_process_test,
                                               public testing::WithParamInterface<bool>
{
};

// Guards against a start that the next incarnation under the same id executes late.
TEST_P(unanswered_start_of_ended_process_test, waits_unless_the_worker_was_replaced)
{
    workers.decide(delivery::lost);
    const std::string worker = "w0";
    for (const std::string name : {"w0", "w1"})
        workers.end_process(name, GetParam());
    workers.restart("w0");
    workers.restart("w1");
    if (GetParam())
        workers.poll_all();
    EXPECT_EQ(workers.decide().starts.size(), GetParam() ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(replaced, unanswered_start_of_ended_process_test,
                         testing::Bool());

// Guards against inherited tasks that wait for the lease of a worker that has ended, and
// against taking a restart at a new address for the end of the worker.
TEST(inherited_ended_process_test, settles_the_worker_once_its_entry_must_be_known)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.cell.expect_workers({worker_id("w0"), worker_id("gone")},
                                workers.clock.now());
    worker_info gone = workers.info("w0");
    gone.id = worker_id("gone");
    workers.cell.update_worker(gone, workers.clock.now());
    workers.submit(fleet::job("a", "q", 1, 1), true);
    workers.poll_all();
    const refused_poll shown{gone.id, gone.address, event_position{1, 1}, true, 0};
    workers.cell.observe(shown, workers.clock.now());
    workers.advance(milliseconds(1400));
    workers.cell.observe(shown, workers.clock.now());
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.advance(milliseconds(200));
    workers.cell.observe(shown, workers.clock.now());
    workers.poll_all();
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

// Guards against running inherited tasks twice when connections to a worker, which may
// have runs of them, are reset and its entry goes.
TEST(inherited_ended_process_test, refused_connections_do_not_settle_a_worker)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1), true);
    worker_info cut_off = workers.info("w0");
    cut_off.id = worker_id("cut off");
    workers.cell.expect_workers({cut_off.id}, workers.clock.now());
    workers.cell.update_worker(cut_off, workers.clock.now());
    for (int polls = 0; polls < 48; ++polls)
    {
        workers.cell.observe(
            refused_poll{cut_off.id, cut_off.address, event_position{1, 1}, false, 0},
            workers.clock.now());
        if (polls == 20)
            workers.cell.remove_worker(cut_off.id, workers.clock.now());
        workers.advance(milliseconds(250));
        workers.poll_all();
        EXPECT_TRUE(workers.decide().starts.empty()) << "after " << polls << " polls";
    }
    workers.advance(milliseconds(500));
    workers.poll_all();
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

// Guards against a takeover that waits for the lease of an ended worker whose entry goes.
TEST(inherited_ended_process_test, settles_the_worker_when_its_entry_is_removed)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1), true);
    worker_info gone = workers.info("w0");
    gone.id = worker_id("gone");
    workers.cell.expect_workers({gone.id}, workers.clock.now());
    workers.cell.update_worker(gone, workers.clock.now());
    workers.cell.observe(
        refused_poll{gone.id, gone.address, event_position{1, 1}, true, 0},
        workers.clock.now());
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.cell.remove_worker(gone.id, workers.clock.now());
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

} // namespace

} // namespace hawthornbeam::cell
