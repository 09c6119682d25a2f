/// \file
/// Tests for which workers the scheduler requests advice.
#include "fleet.hpp"

#include <gtest/gtest.h>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// A gang must not wait for workers that are reserved for an older gang while it has
// tickets for no others and requests no further ones.
TEST(advice_test, gang_requests_advice_on_workers_that_no_older_gang_reserves)
{
    fleet workers(30);
    queue_policy unadvised;
    unadvised.name = queue_name("plain");
    unadvised.service = service_name("pool");
    queue_policy advised = unadvised;
    advised.name = queue_name("advised");
    advised.priority = 1;
    advised.stretch = 10;
    advised.objective = seconds(30);
    advised.advice =
        advice_policy{milliseconds(400), milliseconds(5), milliseconds(1500)};
    workers.cell.configure({unadvised, advised});
    job_spec older = fleet::job("older", "advised", 10, 8);
    older.steps[0].gang = true;
    workers.submit(older);
    workers.advance(milliseconds(1));
    job_spec younger = fleet::job("younger", "advised", 4, 8);
    younger.steps[0].gang = true;
    workers.submit(younger);
    const decisions first = workers.decide();
    ASSERT_EQ(first.advice.size(), 2U);
    // One worker of the older gang is in use, so the gang waits and the others stay
    // reserved.
    workers.submit(fleet::job("busy", "plain", 1, 1));
    const decisions busy = workers.decide();
    ASSERT_EQ(busy.starts.size(), 1U);
    const worker_id in_use = busy.starts[0].worker;
    const std::vector<worker_id>& requested = first.advice[1].workers;
    ASSERT_LT(requested.size(), 30U);
    std::vector<std::pair<worker_id, ticket>> tickets{{in_use, ticket("t")}};
    for (const worker_id& id : requested)
        if (id != in_use && tickets.size() < 10)
            tickets.emplace_back(id, ticket("t"));
    for (const advice_command& command : first.advice)
    {
        advice_result result;
        result.job = command.job;
        result.step = command.step;
        result.answered = true;
        result.asked = command.workers;
        result.tickets = tickets;
        if (command.job == younger.id)
            result.tickets = {tickets.begin() + 1, tickets.begin() + 5};
        result.valid_ms = 1500;
        workers.cell.observe(result, workers.clock.now());
    }
    const decisions next = workers.decide();
    EXPECT_TRUE(next.starts.empty());
    ASSERT_EQ(next.advice.size(), 1U);
    EXPECT_EQ(next.advice[0].job, younger.id);
}

// Guards against a gang that never starts because the host that sent its request died:
// the workers of that request counted as asked.
TEST(advice_test, request_without_an_answer_is_repeated_for_the_same_workers)
{
    fleet workers(10);
    queue_policy advised;
    advised.name = queue_name("advised");
    advised.service = service_name("pool");
    advised.objective = seconds(60);
    advised.advice =
        advice_policy{milliseconds(400), milliseconds(5), milliseconds(1500)};
    workers.cell.configure({advised});
    job_spec gang = fleet::job("g", "advised", 10, 8);
    gang.steps[0].gang = true;
    workers.submit(gang);
    const decisions first = workers.decide();
    ASSERT_EQ(first.advice.size(), 1U);
    for (int second = 0; second < 5; ++second)
    {
        workers.advance(seconds(1));
        workers.poll_all();
    }
    const decisions repeated = workers.decide();
    ASSERT_EQ(repeated.advice.size(), 1U);
    EXPECT_EQ(repeated.advice[0].workers.size(), first.advice[0].workers.size());
}

// Steps that request advice at the same time must not all get tickets for the same few of
// many equal workers and then wait for each other.
TEST(advice_test, concurrent_advice_requests_name_different_workers)
{
    fleet workers(200);
    queue_policy advised;
    advised.name = queue_name("advised");
    advised.service = service_name("pool");
    advised.advice =
        advice_policy{milliseconds(400), milliseconds(5), milliseconds(1500)};
    workers.cell.configure({advised});
    for (const char* id : {"a", "b"})
    {
        job_spec gang = fleet::job(id, "advised", 20, 8);
        gang.steps[0].gang = true;
        workers.submit(gang);
    }
    const decisions first = workers.decide();
    ASSERT_EQ(first.advice.size(), 2U);
    std::set<worker_id> distinct_workers(first.advice[0].workers.begin(),
                                         first.advice[0].workers.end());
    distinct_workers.insert(first.advice[1].workers.begin(),
                            first.advice[1].workers.end());
    const std::size_t requested_count =
        first.advice[0].workers.size() + first.advice[1].workers.size();
    EXPECT_GT(distinct_workers.size(), requested_count * 3 / 4);
}

} // namespace hawthornbeam::cell
