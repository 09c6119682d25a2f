/// \file
/// Tests of the agent: what it tells workers.
#include "hawthornbeam/cell/agent.hpp"

#include <deque>
#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Keeps calls for the test to answer.
class recorded_port final : public worker_port
{
public:
    void poll(const poll_call& call, std::function<void(poll_answer)> done) override
    {
        polls.emplace_back(call, std::move(done));
    }
    void start(const start_command&, fence_token,
               std::function<void(command_outcome)>) override
    {
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
};

class agent_test : public testing::Test
{
protected:
    agent_test()
    {
        agent_commands commands;
        commands.assignments.push_back({worker_id("w"), endpoint("w:1"), 1, true});
        polling.execute(fence_token(1), commands);
        loop.advance(milliseconds(1));
    }
    /// Answers the look under way with the ends up to \p last, and waits for the next
    /// one; returns the call that was answered.
    poll_call answer(std::int64_t incarnation, std::uint64_t last)
    {
        poll_answer given;
        given.poll.incarnation = worker_incarnation(incarnation);
        for (std::uint64_t number = 1; number <= last; ++number)
            given.poll.ended.push_back({end_number(number),
                                        {{job_key("j"), 0, 0}, run_number(1)},
                                        run_end::done,
                                        checkpoint()});
        return reply(given);
    }
    poll_call fail()
    {
        poll_answer given;
        given.outcome = command_outcome::unanswered;
        return reply(given);
    }
    poll_call reply(const poll_answer& given)
    {
        EXPECT_EQ(port.polls.size(), 1U);
        const auto [call, done] = port.polls.front();
        port.polls.pop_front();
        done(given);
        loop.advance(milliseconds(600));
        return call;
    }
    void acknowledge(std::int64_t incarnation, std::uint64_t last)
    {
        agent_commands commands;
        commands.acknowledgements.push_back(
            {worker_id("w"), worker_incarnation(incarnation), end_number(last)});
        polling.execute(fence_token(1), commands);
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    recorded_port port;
    std::size_t ends_reported = 0;
    agent polling{loop, port, log, seconds(6),
                  [this](fence_token, const agent_report& report)
                  {
                      for (const poll_result& poll : report.polls)
                          ends_reported += poll.ended.size();
                  }};
};

TEST_F(agent_test, acknowledges_ends_once)
{
    answer(1, 2);
    acknowledge(1, 2);
    answer(1, 2);
    EXPECT_EQ(answer(1, 0).acknowledged, end_number(2));
    EXPECT_EQ(answer(1, 0).acknowledged, end_number());
}

// The numbers of ends begin anew with each life. A look that still carries the number of
// the former life makes the worker forget ends that nobody has seen.
TEST_F(agent_test, acknowledges_nothing_to_a_life_that_it_has_not_seen)
{
    answer(1, 3);
    acknowledge(1, 3);
    answer(1, 3);
    // The look with the acknowledgement is lost in a crash of the worker.
    EXPECT_EQ(fail().acknowledged, end_number(3));
    ends_reported = 0;
    EXPECT_EQ(answer(2, 1).acknowledged, end_number());
    EXPECT_EQ(ends_reported, 1U);
    EXPECT_EQ(answer(2, 1).acknowledged, end_number());
    acknowledge(2, 1);
    answer(2, 1);
    EXPECT_EQ(answer(2, 0).acknowledged, end_number(1));
}

// An agent that was paused does not know what happened meanwhile.
TEST_F(agent_test, acknowledges_nothing_after_a_pause)
{
    poll_answer given;
    given.poll.incarnation = worker_incarnation(1);
    given.poll.ended.push_back({end_number(3),
                                {{job_key("j"), 0, 0}, run_number(1)},
                                run_end::done,
                                checkpoint()});
    const std::function<void(poll_answer)> done = port.polls.front().second;
    port.polls.clear();
    done(given);
    loop.skip(seconds(4));
    acknowledge(1, 3);
    loop.advance(milliseconds(1));
    EXPECT_EQ(answer(1, 3).acknowledged, end_number());
    EXPECT_EQ(answer(1, 0).acknowledged, end_number(3));
}

} // namespace

} // namespace hawthornbeam::cell
