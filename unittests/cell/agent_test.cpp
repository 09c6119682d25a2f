#include "hawthornbeam/cell/agent.hpp"

#include <deque>
#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Records poll calls, which the test answers.
class recording_worker_port final : public worker_port
{
public:
    void poll(const poll_call& call, std::function<void(poll_answer)> done) override
    {
        polls.emplace_back(call, std::move(done));
    }
    void start(const start_command&, fence_token,
               std::function<void(command_outcome)> done) override
    {
        starts.push_back(std::move(done));
    }
    void stop(const stop_command&, fence_token,
              std::function<void(command_outcome)>) override
    {
    }
    void advise(const advice_command&, duration,
                std::function<void(advice_result)>) override
    {
    }

    std::deque<std::pair<poll_call, std::function<void(poll_answer)>>> polls;
    std::vector<std::function<void(command_outcome)>> starts;
};

class agent_test : public testing::Test
{
protected:
    agent_test()
    {
        agent_commands commands;
        commands.assignments.push_back({worker_id("w"), endpoint("w:1"), 1, true});
        polling_agent.execute(fence_token(1), commands);
        loop.advance(milliseconds(1));
    }
    /// Answers the pending poll with the ends up to \p last and waits for the next poll.
    /// Returns the call that was answered.
    poll_call answer(std::int64_t incarnation, std::uint64_t last)
    {
        poll_answer response;
        response.poll.incarnation = worker_incarnation(incarnation);
        for (std::uint64_t number = 1; number <= last; ++number)
            response.poll.ended.push_back({end_number(number),
                                           {{job_key("j"), 0, 0}, run_number(1)},
                                           run_end::done,
                                           checkpoint()});
        return reply(response);
    }
    poll_call fail()
    {
        poll_answer response;
        response.outcome = command_outcome::unanswered;
        return reply(response);
    }
    poll_call reply(const poll_answer& response)
    {
        EXPECT_EQ(port.polls.size(), 1U);
        const auto [call, done] = port.polls.front();
        port.polls.pop_front();
        done(response);
        loop.advance(milliseconds(600));
        return call;
    }
    void acknowledge(std::int64_t incarnation, std::uint64_t last)
    {
        agent_commands commands;
        commands.acknowledgements.push_back(
            {worker_id("w"), worker_incarnation(incarnation), end_number(last)});
        polling_agent.execute(fence_token(1), commands);
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    recording_worker_port port;
    std::size_t ends_reported = 0;
    std::size_t refused_polls = 0;
    std::size_t replaced_workers = 0;
    std::size_t unreachable_workers = 0;
    std::vector<std::pair<fence_token, former_calls>> reported_calls;
    /// Lets the owner receive a report that was sent now.
    void receive(const agent_report& report, boot_time observed_at)
    {
        if (owner_receives_reports)
            polling_agent.on_report_received(fence_token(1), receipt,
                                             polled_workers(report), observed_at,
                                             loop.clock().now());
    }

    bool owner_receives_reports = true;
    report_receipt receipt; ///< Of all reports.
    agent polling_agent{
        loop, port, log, seconds(6),
        [this](fence_token token, const agent_report& report, boot_time observed_at)
        {
            if (report.calls)
                reported_calls.emplace_back(token, *report.calls);
            for (const poll_result& poll : report.polls)
                ends_reported += poll.ended.size();
            refused_polls += report.refused_polls.size();
            for (const refused_poll& each : report.refused_polls)
                replaced_workers += each.other_worker ? 1U : 0U;
            unreachable_workers += report.unreachable.size();
            receive(report, observed_at);
        }};
};

TEST_F(agent_test, run_ends_are_acknowledged_once)
{
    answer(1, 2);
    acknowledge(1, 2);
    answer(1, 2);
    EXPECT_EQ(answer(1, 0).acknowledged, end_number(2));
    EXPECT_EQ(answer(1, 0).acknowledged, end_number());
}

/// Outcome of a failed poll, and what the agent reports of it.
struct failed_poll_case
{
    command_outcome outcome;
    bool refused;
    bool replaced; ///< Another worker has the address, which proves the worker's end.
};

class failed_poll_test : public agent_test,
                         public testing::WithParamInterface<failed_poll_case>
{
};

// Guards against taking a worker that is silent, slow or cut off for one that has ended.
TEST_P(failed_poll_test, only_another_worker_is_reported_as_the_end_of_a_process)
{
    answer(1, 0);
    for (std::size_t polls = 1; polls <= 3; ++polls)
    {
        poll_answer response;
        response.outcome = GetParam().outcome;
        ASSERT_EQ(port.polls.size(), 1U) << "the worker may come back";
        const std::function<void(poll_answer)> done = port.polls.front().second;
        port.polls.clear();
        done(response);
        loop.advance(milliseconds(30));
        EXPECT_EQ(refused_polls, GetParam().refused ? polls : 0U);
        EXPECT_EQ(replaced_workers, GetParam().replaced ? polls : 0U);
        loop.advance(milliseconds(300));
    }
    EXPECT_EQ(unreachable_workers, GetParam().replaced ? 0U : 1U)
        << "another agent may reach the worker";
}

INSTANTIATE_TEST_SUITE_P(
    outcomes, failed_poll_test,
    testing::Values(failed_poll_case{command_outcome::no_listener, true, false},
                    failed_poll_case{command_outcome::other_worker, true, true},
                    failed_poll_case{command_outcome::unanswered, false, false},
                    failed_poll_case{command_outcome::not_sent, false, false},
                    failed_poll_case{command_outcome::unhealthy, false, false},
                    failed_poll_case{command_outcome::invalid, false, false}));

// Guards against an agent that is cut off together with a worker and keeps its runs
// alive, while a new owner, which cannot reach the worker, starts them elsewhere.
TEST_F(agent_test, lease_is_not_extended_without_receipts_of_the_owner)
{
    answer(1, 0);
    EXPECT_TRUE(answer(1, 0).lease_until);
    owner_receives_reports = false;
    loop.advance(seconds(3));
    answer(1, 0);
    EXPECT_FALSE(answer(1, 0).lease_until);
    // Commands of an owner that does not receive the reports show nothing.
    polling_agent.execute(fence_token(1), agent_commands());
    answer(1, 0);
    EXPECT_FALSE(answer(1, 0).lease_until);
    owner_receives_reports = true;
    answer(1, 0);
    EXPECT_FALSE(answer(1, 0).lease_until) << "sent before the receipt";
    EXPECT_TRUE(answer(1, 0).lease_until);
}

// Guards against leases that an owner in an island extends beyond the takeover.
TEST_F(agent_test, lease_is_not_extended_while_the_claim_is_not_confirmed)
{
    answer(1, 0);
    EXPECT_TRUE(answer(1, 0).lease_until);
    // The owner goes on to count the answers, each 0.6 s.
    receipt.unconfirmed = seconds(3);
    for (int polls = 0; polls < 4; ++polls)
        answer(1, 0);
    EXPECT_FALSE(answer(1, 0).lease_until);
    receipt.unconfirmed = milliseconds(300);
    answer(1, 0);
    answer(1, 0);
    EXPECT_TRUE(answer(1, 0).lease_until);
}

// Guards against taking an answer to the former owner for one that has seen the token of
// the present owner: the worker may still execute commands of the former one.
TEST_F(agent_test, answer_to_a_poll_of_the_former_owner_is_not_reported)
{
    answer(1, 0);
    ASSERT_EQ(port.polls.size(), 1U);
    const std::function<void(poll_answer)> done = port.polls.front().second;
    port.polls.clear();
    agent_commands commands;
    commands.assignments.push_back({worker_id("w"), endpoint("w:1"), 1, true});
    polling_agent.execute(fence_token(2), commands);
    loop.advance(milliseconds(100));
    ASSERT_EQ(port.polls.size(), 1U);
    ends_reported = 0;
    poll_answer late;
    late.poll.incarnation = worker_incarnation(1);
    late.poll.ended.push_back({end_number(1),
                               {{job_key("j"), 0, 0}, run_number(1)},
                               run_end::done,
                               checkpoint()});
    done(late);
    loop.advance(milliseconds(600));
    EXPECT_EQ(ends_reported, 0U);
    EXPECT_EQ(port.polls.size(), 1U) << "the poll with the new token goes on alone";
}

// Guards against an agent that misses its last assignment and extends a lease which the
// owner, who counts the answers to another agent, takes for expired.
TEST_F(agent_test, worker_whose_answers_are_not_counted_is_polled_no_more)
{
    answer(1, 0);
    receipt.not_counted = {worker_id("w")};
    answer(1, 0);
    answer(1, 0);
    EXPECT_TRUE(port.polls.empty());
}

// Guards against a worker whose lease is extended by polls that it executes and does not
// answer, while the owner takes the lease for expired and starts its tasks elsewhere.
TEST_F(agent_test, lease_is_not_extended_without_answers_of_the_worker)
{
    answer(1, 0);
    EXPECT_TRUE(fail().lease_until);
    for (int polls = 0; polls < 10; ++polls)
    {
        receive(agent_report(), loop.clock().now());
        const bool is_recent = polls < 2; // A poll each 0.6 s.
        EXPECT_EQ(fail().lease_until.has_value(), is_recent) << "after " << polls;
    }
    receive(agent_report(), loop.clock().now());
    answer(1, 0);
    answer(1, 0);
    EXPECT_TRUE(answer(1, 0).lease_until);
}

// The time of a pause counts as silence of the owner.
TEST_F(agent_test, lease_is_not_extended_after_a_pause_of_the_process)
{
    answer(1, 0);
    EXPECT_TRUE(port.polls.front().first.lease_until);
    loop.skip(seconds(4));
    fail();
    EXPECT_FALSE(answer(1, 0).lease_until);
}

// The numbers of ends start at 1 in each incarnation. A poll that still acknowledges a
// number of the former incarnation makes the worker discard ends that were never
// reported.
TEST_F(agent_test, new_incarnation_gets_no_acknowledgement_of_the_former_one)
{
    answer(1, 3);
    acknowledge(1, 3);
    answer(1, 3);
    // The worker crashes before it receives the poll with the acknowledgement.
    EXPECT_EQ(fail().acknowledged, end_number(3));
    ends_reported = 0;
    EXPECT_EQ(answer(2, 1).acknowledged, end_number());
    EXPECT_EQ(ends_reported, 1U);
    EXPECT_EQ(answer(2, 1).acknowledged, end_number());
    acknowledge(2, 1);
    answer(2, 1);
    EXPECT_EQ(answer(2, 0).acknowledged, end_number(1));
}

// The worker may have restarted while the agent was paused, so the agent must poll it
// again before it acknowledges ends.
TEST_F(agent_test, run_ends_are_not_acknowledged_after_a_pause_until_the_next_poll)
{
    poll_answer response;
    response.poll.incarnation = worker_incarnation(1);
    response.poll.ended.push_back({end_number(3),
                                   {{job_key("j"), 0, 0}, run_number(1)},
                                   run_end::done,
                                   checkpoint()});
    const std::function<void(poll_answer)> done = port.polls.front().second;
    port.polls.clear();
    done(response);
    loop.skip(seconds(4));
    acknowledge(1, 3);
    loop.advance(milliseconds(1));
    EXPECT_EQ(answer(1, 3).acknowledged, end_number());
    EXPECT_EQ(answer(1, 0).acknowledged, end_number(3));
}

class former_calls_test : public agent_test
{
protected:
    void start(fence_token token, std::uint32_t index)
    {
        start_command command;
        command.worker = worker_id("w");
        command.run = {{job_key("j"), 0, index}, run_number(1)};
        agent_commands commands;
        commands.starts.push_back(command);
        polling_agent.execute(token, commands);
    }
    /// Indexes of the tasks in the latest report of former calls.
    std::vector<std::uint32_t> reported_tasks() const
    {
        std::vector<std::uint32_t> indexes;
        for (const worker_calls& each : reported_calls.back().second.workers)
            for (const task_ref& task : each.tasks)
                indexes.push_back(task.index);
        return indexes;
    }
};

// Guards against a new owner that starts a task again which the former one has started.
TEST_F(former_calls_test, are_reported_to_each_new_owner_without_its_own_starts)
{
    start(fence_token(1), 1);
    reported_calls.clear();
    start(fence_token(2), 2);
    loop.advance(milliseconds(30));
    ASSERT_EQ(reported_calls.size(), 1U);
    EXPECT_EQ(reported_calls[0].first, fence_token(2));
    EXPECT_EQ(reported_tasks(), std::vector<std::uint32_t>{1});
    polling_agent.execute(fence_token(3), agent_commands());
    loop.advance(milliseconds(30));
    EXPECT_EQ(reported_calls.back().first, fence_token(3));
    EXPECT_EQ(reported_tasks(), (std::vector<std::uint32_t>{1, 2}));
}

// Guards against calls that no owner learns of because a report was lost.
TEST_F(former_calls_test, are_reported_until_the_owner_has_received_them)
{
    start(fence_token(1), 1);
    polling_agent.execute(fence_token(2), agent_commands());
    loop.advance(milliseconds(100));
    reported_calls.clear();
    loop.advance(seconds(3));
    ASSERT_EQ(reported_calls.size(), 2U);
    EXPECT_EQ(reported_tasks(), std::vector<std::uint32_t>{1});
    EXPECT_EQ(reported_calls.back().second.workers[0].last_call_ms, 2400U);
    receipt.has_calls = true;
    polling_agent.on_report_received(fence_token(2), receipt, {}, loop.clock().now(),
                                     loop.clock().now());
    reported_calls.clear();
    loop.advance(seconds(3));
    EXPECT_TRUE(reported_calls.empty());
}

// Guards against a former owner that starts tasks after its successor was told of all.
TEST_F(former_calls_test, of_a_former_owner_are_refused_once_they_were_reported)
{
    polling_agent.execute(fence_token(2), agent_commands());
    start(fence_token(1), 1);
    EXPECT_TRUE(port.starts.empty());
}

// Guards against taking a run for known to have not begun because its answer came after
// the change of the owner.
TEST_F(former_calls_test, are_updated_by_answers_after_a_change_of_the_owner)
{
    start(fence_token(1), 1);
    start(fence_token(1), 2);
    polling_agent.execute(fence_token(2), agent_commands());
    port.starts[0](command_outcome::late);
    port.starts[1](command_outcome::accepted);
    polling_agent.execute(fence_token(3), agent_commands());
    loop.advance(milliseconds(30));
    EXPECT_EQ(reported_tasks(), std::vector<std::uint32_t>{2});
}

} // namespace

} // namespace hawthornbeam::cell
