/// \file
/// Tests how long the owner waits for the runs of a worker that may have restarted under
/// its id before it fell silent.
#include "fleet.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a worker shows of a run before it falls silent.
enum class last_contact
{
    listed,         ///< It has answered for long, and lists the run.
    listed_as_new,  ///< It has just restarted, and lists the run.
    start_accepted, ///< No poll has followed the answer to the start.
    start_not_answered
};

struct silent_worker_case
{
    last_contact contact;
    duration waits;    ///< The task starts nowhere else within this time after it.
    duration gives_up; ///< The task has started elsewhere by then.
};

class restarted_worker_lease_test : public testing::TestWithParam<silent_worker_case>
{
protected:
    /// Lets only the other worker answer until \p silence after the last answer of the
    /// silent one. Returns the number of starts meanwhile.
    std::size_t starts_within(duration silence)
    {
        std::size_t starts = 0;
        while (workers.clock.now() < last_answer + silence)
        {
            workers.advance(milliseconds(100));
            workers.poll(other);
            starts += workers.decide().starts.size();
        }
        return starts;
    }

    fleet workers{2};
    std::string other;
    boot_time last_answer{};
};

// Guards against running a task twice when a call that was meant for a former incarnation
// has extended the lease of the present one to the longest that the worker grants.
TEST_P(restarted_worker_lease_test, run_is_given_up_after_the_lease_that_it_may_hold)
{
    workers.add_queue("q", 0);
    workers.advance(seconds(30));
    workers.poll_all();
    if (GetParam().contact == last_contact::listed_as_new)
    {
        workers.restart("w0");
        workers.restart("w1");
        workers.advance(milliseconds(500));
        workers.poll_all();
    }
    last_answer = workers.clock.now();
    workers.submit(fleet::job("a", "q", 1, 1, seconds(60)));
    const decisions first = workers.decide(
        GetParam().contact == last_contact::start_not_answered ? delivery::answer_lost
                                                               : delivery::executed);
    ASSERT_EQ(first.starts.size(), 1U);
    other = first.starts[0].worker == worker_id("w0") ? "w1" : "w0";
    if (GetParam().contact <= last_contact::listed_as_new)
        workers.poll_all();
    EXPECT_EQ(starts_within(GetParam().waits), 0U);
    EXPECT_EQ(starts_within(GetParam().gives_up), 1U);
}

// A worker grants 10 s, of which 6 s are asked for, until 2 s after an answer. Its clock
// is up to 2 % slow, and calls come up to 12 s late.
INSTANTIATE_TEST_SUITE_P(
    contacts, restarted_worker_lease_test,
    testing::Values(silent_worker_case{last_contact::listed, milliseconds(8100),
                                       milliseconds(8400)},
                    silent_worker_case{last_contact::listed_as_new, milliseconds(23600),
                                       milliseconds(24700)},
                    silent_worker_case{last_contact::start_accepted, milliseconds(12200),
                                       milliseconds(13300)},
                    silent_worker_case{last_contact::start_not_answered,
                                       milliseconds(12200), milliseconds(13300)}));

// Guards against giving up a run that a later process of the worker has accepted at the
// address where another worker answered before.
TEST(replaced_worker_lease_test, run_that_was_accepted_afterwards_keeps_its_lease)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(60)));
    const decisions first = workers.cell.decide(workers.clock.now());
    ASSERT_EQ(first.starts.size(), 1U);
    const std::string lost = first.starts[0].worker.value();
    const refused_poll refused = workers.refuse_poll(lost, true);
    workers.deliver(first.starts[0]);
    workers.cell.observe(refused, workers.clock.now());
    for (duration silence{}; silence < milliseconds(12200); silence += milliseconds(100))
    {
        workers.poll(lost == "w0" ? "w1" : "w0");
        ASSERT_TRUE(workers.decide().starts.empty());
        workers.advance(milliseconds(100));
    }
}

// Guards against blaming a run alone for a crash because those beside it are given up
// later.
TEST(silent_worker_crash_test, is_counted_once_against_all_runs)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("listed", "q", 1, 1, seconds(60)));
    ASSERT_EQ(workers.decide().starts.size(), 1U);
    workers.poll_all();
    workers.submit(fleet::job("not listed", "q", 1, 1, seconds(60)));
    ASSERT_EQ(workers.decide().starts.size(), 1U);
    workers.advance(milliseconds(20));
    workers.end_process("w0", false);
    std::vector<stored_end> ends;
    for (duration silence{}; silence < seconds(14); silence += milliseconds(100))
    {
        workers.advance(milliseconds(100));
        workers.decide();
        const std::vector<stored_end> stored = workers.store_changes().ends;
        EXPECT_TRUE(stored.empty() || ends.empty());
        ends.insert(ends.end(), stored.begin(), stored.end());
    }
    ASSERT_EQ(ends.size(), 2U);
    for (const stored_end& each : ends)
        EXPECT_NE(each.outcome, run_end::crashed);
}

/// What the agent of a former owner tells the next one, and how long an inherited task
/// waits for a worker that nobody reaches.
struct unreachable_worker_case
{
    bool agent_known;
    bool agent_reports;
    bool names_task; ///< As one that the worker may run.
    std::uint32_t last_call_ms;
    duration waits;    ///< The task starts nowhere within this time.
    duration gives_up; ///< It has started by then.
};

class unreachable_worker_lease_test
    : public testing::TestWithParam<unreachable_worker_case>
{
protected:
    unreachable_worker_lease_test()
    {
        workers.add_queue("q", 0);
        workers.cell.expect_workers({worker_id("w0"), worker_id("w1")}, begun);
        if (GetParam().agent_known)
            workers.cell.expect_agents({instance_id("agent")});
    }
    /// Lets the agent report its calls if it does.
    void report(const job_key& job)
    {
        former_calls calls{true, {}};
        if (GetParam().names_task)
            calls.workers.push_back(
                {worker_id("w1"), GetParam().last_call_ms, {{job, 0, 0}}});
        if (GetParam().agent_reports)
            workers.cell.observe(instance_id("agent"), calls, begun);
    }
    /// Lets only the other worker answer until \p time after the takeover. Returns the
    /// number of starts meanwhile.
    std::size_t starts_within(duration time)
    {
        std::size_t starts = 0;
        while (workers.clock.now() < begun + time)
        {
            workers.poll("w0");
            starts += workers.decide().starts.size();
            workers.advance(milliseconds(100));
        }
        return starts;
    }

    fleet workers{2, false};
    const boot_time begun = workers.clock.now();
};

// Guards against running a task twice that a former owner has started on a worker which
// nobody reaches, and against waiting for a worker that cannot have it.
TEST_P(unreachable_worker_lease_test, inherited_task_waits_for_the_lease_it_may_hold)
{
    workers.submit(fleet::job("a", "q", 1, 1), true);
    report(job_key("a"));
    EXPECT_EQ(starts_within(GetParam().waits), 0U);
    EXPECT_EQ(starts_within(GetParam().gives_up), 1U);
}

TEST_P(unreachable_worker_lease_test, other_tasks_of_its_step_wait_only_for_the_agents)
{
    workers.submit(fleet::job("a", "q", 3, 1), true);
    report(job_key("a"));
    const bool calls_known = GetParam().agent_known && GetParam().agent_reports;
    const std::size_t others = !calls_known ? 0 : GetParam().names_task ? 2 : 3;
    EXPECT_EQ(starts_within(milliseconds(300)), others);
    EXPECT_EQ(starts_within(GetParam().gives_up), 3 - others);
}

TEST_P(unreachable_worker_lease_test, gang_waits_for_each_of_its_members)
{
    job_spec gang = fleet::job("a", "q", 2, 1);
    gang.steps[0].gang = true;
    workers.submit(gang, true);
    report(job_key("a"));
    EXPECT_EQ(starts_within(GetParam().waits), 0U);
    EXPECT_EQ(starts_within(GetParam().gives_up), 2U);
}

// A worker grants 10 s, its clock is up to 2 % slow, and calls come up to 0.8 s late. A
// former owner may have sent calls until 2 s after the claim.
INSTANTIATE_TEST_SUITE_P(
    reports, unreachable_worker_lease_test,
    testing::Values(unreachable_worker_case{false, true, true, 0, milliseconds(12200),
                                            milliseconds(12500)},
                    unreachable_worker_case{true, false, true, 0, milliseconds(12200),
                                            milliseconds(12500)},
                    unreachable_worker_case{true, true, true, 0, milliseconds(11000),
                                            milliseconds(11300)},
                    unreachable_worker_case{true, true, true, 3000, milliseconds(8000),
                                            milliseconds(8300)},
                    unreachable_worker_case{true, true, false, 0, milliseconds(0),
                                            milliseconds(300)}));

// Guards against runs that a former owner has started on a worker which restarted unseen.
TEST(unseen_restart_lease_test, inherited_tasks_wait_for_the_lease_that_it_may_hold)
{
    fleet workers(2, false);
    workers.add_queue("q", 0);
    workers.cell.expect_workers({worker_id("w0"), worker_id("w1")}, workers.clock.now());
    workers.submit(fleet::job("a", "q", 1, 1), true);
    for (duration waited{}; waited < milliseconds(12100); waited += milliseconds(100))
    {
        workers.poll("w0");
        EXPECT_TRUE(workers.decide().starts.empty()) << "after " << waited.count();
        workers.advance(milliseconds(100));
    }
    workers.advance(milliseconds(300));
    workers.poll("w0");
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

} // namespace

} // namespace hawthornbeam::cell
