/// \file
/// Tests that starts and stops under way are bounded by the answers to them.
#include "fleet.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t many_tasks = 600;

class bounded_starts_test : public testing::Test
{
protected:
    bounded_starts_test()
    {
        cell.add_queue("ordinary", 0);
        cell.add_queue("background", 1);
    }
    void submit(const std::string& id, const std::string& queue, std::uint32_t tasks)
    {
        job_spec spec = fleet::job(id, queue, tasks, 1, seconds(1000));
        spec.steps[0].size.processors = millicores(10);
        cell.submit(spec);
    }
    /// Decides without answers to the commands.
    decisions decide() { return cell.cell.decide(cell.clock.now()); }
    static std::size_t count(const decisions& decided, const std::string& job)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(decided.starts, [&job](const start_command& command)
                                  { return command.run.task.job == job_key(job); }));
    }
    /// Answers all of these starts.
    void answer(const std::vector<start_command>& starts, delivery outcome)
    {
        for (const start_command& command : starts)
            cell.deliver(command, outcome);
    }

    fleet cell{12};
};

// Guards against ordering all tasks that fit at once, which no host can send in time.
TEST_F(bounded_starts_test, large_job_has_no_more_starts_under_way_than_are_answered)
{
    submit("large", "ordinary", many_tasks);
    const decisions first = decide();
    EXPECT_LT(first.starts.size(), many_tasks / 4);
    EXPECT_GT(first.starts.size(), 0U);
    cell.advance(milliseconds(20));
    EXPECT_TRUE(decide().starts.empty());
    answer(first.starts, delivery::executed);
    EXPECT_GE(decide().starts.size(), first.starts.size());
}

// Guards against a large job that takes the whole bound.
TEST_F(bounded_starts_test, small_jobs_pass_a_large_one)
{
    submit("large", "ordinary", many_tasks);
    decide();
    for (const char* small : {"a", "b", "c"})
        submit(small, "background", 1);
    cell.advance(milliseconds(20));
    const decisions decided = decide();
    for (const char* small : {"a", "b", "c"})
        EXPECT_EQ(count(decided, small), 1U) << small;
}

// Guards against tasks that are ordered again, or stopped, while their starts wait.
TEST_F(bounded_starts_test, every_task_of_a_large_job_is_ordered_once)
{
    submit("large", "ordinary", many_tasks);
    std::size_t ordered = 0;
    for (int round = 0; round < 200 && ordered < many_tasks; ++round)
    {
        const decisions decided = decide();
        EXPECT_TRUE(decided.stops.empty());
        ordered += decided.starts.size();
        cell.advance(milliseconds(20));
        answer(decided.starts, delivery::executed);
        cell.poll_all();
    }
    EXPECT_EQ(ordered, many_tasks);
    EXPECT_EQ(cell.runs("large").size(), many_tasks);
    EXPECT_TRUE(decide().starts.empty());
}

// Guards against a worker without answers that holds up all others.
TEST_F(bounded_starts_test, lost_answers_do_not_hold_up_starts_for_good)
{
    submit("large", "ordinary", many_tasks);
    decide();
    for (int round = 0; round < 20; ++round)
    {
        cell.advance(milliseconds(200));
        cell.poll_all();
    }
    submit("small", "background", 1);
    EXPECT_EQ(count(decide(), "small"), 1U);
}

// Guards against a large job whose cancel sends all stops at once.
TEST_F(bounded_starts_test, stops_of_a_large_job_are_bounded_and_all_sent)
{
    submit("large", "ordinary", many_tasks);
    for (int round = 0; round < 200 && cell.runs("large").size() < many_tasks; ++round)
    {
        answer(decide().starts, delivery::executed);
        cell.advance(milliseconds(20));
        cell.poll_all();
    }
    ASSERT_EQ(cell.runs("large").size(), many_tasks);
    cell.cell.cancel(job_key("large"));
    std::size_t largest = 0;
    std::size_t stops = 0;
    for (int round = 0; round < 200 && stops < many_tasks; ++round)
    {
        const decisions decided = decide();
        largest = std::max(largest, decided.stops.size());
        stops += decided.stops.size();
        cell.advance(milliseconds(20));
        for (const stop_command& command : decided.stops)
            cell.deliver(command);
    }
    EXPECT_EQ(stops, many_tasks);
    EXPECT_LT(largest, many_tasks / 2);
    EXPECT_TRUE(cell.runs("large").empty());
}

// Guards against a start that is given up and then sent by its agent in a later life of
// the worker: what was never sent needs no stop.
TEST_F(bounded_starts_test, start_that_was_not_sent_is_not_stopped_after_a_restart)
{
    submit("job", "ordinary", 1);
    const decisions decided = decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    const start_command& command = decided.starts.front();
    cell.cell.cancel(job_key("job"));
    decide();
    command_result result;
    result.worker = command.worker;
    result.run = command.run;
    result.outcome = command_outcome::not_sent;
    cell.cell.observe(result, cell.clock.now());
    cell.restart(command.worker.value());
    cell.poll_all();
    EXPECT_TRUE(decide().stops.empty());
}

} // namespace

} // namespace hawthornbeam::cell
