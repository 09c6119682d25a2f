/// \file
/// Tests which runs an agent reports to a new owner.
#include "lib/cell/call_ledger.hpp"

#include <functional>
#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A ledger, and the calls and answers of one worker at times that the test sets.
class ledger_scene
{
public:
    explicit ledger_scene(std::size_t max_runs = 100) : ledger(max_runs) {}

    static run_ref run(std::uint32_t index, std::uint32_t number = 1)
    {
        return {{job_key("j"), 0, index}, run_number(number)};
    }
    void start(std::uint32_t index, std::uint32_t number = 1)
    {
        ledger.record_start(worker, run(index, number), now);
    }
    void answer(std::uint32_t index, command_outcome outcome, std::uint32_t number = 1)
    {
        ledger.record_start_answer(worker, run(index, number), outcome);
    }
    /// Sends a poll.
    sent_poll send_poll(bool extends_lease = true)
    {
        return ledger.record_poll(worker, extends_lease, now);
    }
    /// Answers a poll with these tasks.
    void answer_poll(const sent_poll& sent, const std::vector<std::uint32_t>& running,
                     const std::vector<std::uint32_t>& ended = {}, bool complete = true)
    {
        poll_result poll;
        poll.worker = worker;
        poll.ends_complete = complete;
        for (const std::uint32_t each : running)
            poll.running.push_back({run(each), checkpoint(), 0});
        for (const std::uint32_t each : ended)
            poll.ended.push_back(
                {end_number(each + 1), run(each), run_end::done, checkpoint()});
        ledger.record_poll_answer(poll, sent, now);
    }
    void poll(const std::vector<std::uint32_t>& running,
              const std::vector<std::uint32_t>& ended = {}, bool complete = true)
    {
        answer_poll(send_poll(), running, ended, complete);
    }
    /// Indexes of the tasks that the worker may have.
    std::vector<std::uint32_t> tasks()
    {
        std::vector<std::uint32_t> indexes;
        for (const worker_calls& each : ledger.calls(now).workers)
            for (const task_ref& task : each.tasks)
                indexes.push_back(task.index);
        return indexes;
    }

    const worker_id worker{"w"};
    boot_time now{seconds(1000)};
    call_ledger ledger;
};

struct ledger_case
{
    const char* name;
    std::function<void(ledger_scene&)> play;
    std::vector<std::uint32_t> tasks; ///< That the worker may have afterwards.
};

class call_ledger_test : public testing::TestWithParam<ledger_case>
{
};

// Guards against a new owner that takes a task for one that no worker has.
TEST_P(call_ledger_test, keeps_each_run_that_the_worker_may_have)
{
    ledger_scene scene;
    GetParam().play(scene);
    EXPECT_EQ(scene.tasks(), GetParam().tasks);
    EXPECT_TRUE(scene.ledger.calls(scene.now).complete);
}

const std::vector<ledger_case> ledger_cases{
    {"start_without_an_answer", [](ledger_scene& scene) { scene.start(1); }, {1}},
    {"start_that_was_refused",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.answer(1, command_outcome::late);
     },
     {}},
    {"start_that_the_worker_may_have_begun_before",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.answer(1, command_outcome::superseded);
     },
     {1}},
    {"refusal_of_a_repeated_start",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.poll({1});
         scene.answer(1, command_outcome::no_room);
     },
     {1}},
    {"refusal_of_an_earlier_run",
     [](ledger_scene& scene)
     {
         scene.start(1, 1);
         scene.start(1, 2);
         scene.answer(1, command_outcome::late, 1);
     },
     {1}},
    {"answer_later_than_a_poll_that_was_sent_before",
     [](ledger_scene& scene)
     {
         const sent_poll sent = scene.send_poll();
         scene.start(1);
         scene.answer(1, command_outcome::accepted);
         scene.answer_poll(sent, {});
     },
     {1}},
    {"run_of_an_earlier_agent",
     [](ledger_scene& scene) {
         scene.answer_poll(scene.send_poll(false), {1, 2});
     },
     {1, 2}},
    {"end_that_is_not_acknowledged",
     [](ledger_scene& scene)
     {
         scene.poll({1});
         scene.poll({}, {1});
     },
     {1}},
    {"end_that_the_worker_has_dropped",
     [](ledger_scene& scene)
     {
         scene.poll({}, {1});
         scene.poll({});
     },
     {}},
    {"run_that_the_worker_has_lost",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.answer(1, command_outcome::accepted);
         scene.poll({});
     },
     {}},
    {"run_whose_end_may_not_be_listed_yet",
     [](ledger_scene& scene)
     {
         scene.poll({1, 2});
         scene.poll({}, {2}, false);
     },
     {1, 2}},
    {"start_without_an_answer_that_a_poll_does_not_list",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.now += seconds(11);
         scene.poll({});
     },
     {1}},
    {"start_that_cannot_be_executed_any_more",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.now += milliseconds(12100);
         scene.poll({});
     },
     {}},
    {"start_that_may_have_been_executed_after_the_poll_was_sent",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.now += milliseconds(11500);
         const sent_poll sent = scene.send_poll();
         scene.now += seconds(1);
         scene.answer_poll(sent, {});
     },
     {1}},
    {"run_of_a_worker_that_was_called_long_ago_and_by_others_since",
     [](ledger_scene& scene)
     {
         scene.start(1);
         scene.now += seconds(24);
         scene.answer_poll(scene.send_poll(false), {1});
         scene.now += seconds(2);
         scene.send_poll(false);
     },
     {1}},
    {"silent_worker_whose_lease_may_last",
     [](ledger_scene& scene)
     {
         scene.poll({1});
         scene.now += seconds(25);
         scene.send_poll(false);
     },
     {1}},
    {"silent_worker_whose_lease_has_ended",
     [](ledger_scene& scene)
     {
         scene.poll({1});
         scene.now += milliseconds(25100);
         scene.send_poll(false);
     },
     {}},
    {"poll_without_an_answer_that_extends_the_lease",
     [](ledger_scene& scene)
     {
         scene.poll({1});
         scene.now += seconds(2);
         scene.send_poll(true);
         scene.now += seconds(24);
         scene.send_poll(false);
     },
     {1}}};

INSTANTIATE_TEST_SUITE_P(calls, call_ledger_test, testing::ValuesIn(ledger_cases),
                         [](const testing::TestParamInfo<ledger_case>& each)
                         { return std::string(each.param.name); });

// Guards against a new owner that waits too short for a worker that nobody reaches.
TEST(call_ledger_time_test, is_that_of_the_latest_call_that_extends_the_lease)
{
    ledger_scene scene;
    scene.poll({1});
    scene.now += milliseconds(300);
    scene.start(2);
    scene.now += milliseconds(500);
    scene.send_poll(false);
    const former_calls calls = scene.ledger.calls(scene.now);
    ASSERT_EQ(calls.workers.size(), 1U);
    EXPECT_EQ(calls.workers[0].last_call_ms, 500U);
}

// Guards against a bound that lacks the calls of an agent which knows of no run there.
TEST(call_ledger_time_test, is_reported_without_runs_too)
{
    ledger_scene scene;
    scene.poll({});
    const former_calls calls = scene.ledger.calls(scene.now);
    ASSERT_EQ(calls.workers.size(), 1U);
    EXPECT_TRUE(calls.workers[0].tasks.empty());
}

// Guards against a full ledger that is taken for a complete one.
TEST(full_call_ledger_test, reports_that_calls_are_missing)
{
    ledger_scene scene(2);
    scene.poll({1, 2});
    EXPECT_TRUE(scene.ledger.calls(scene.now).complete);
    scene.poll({1, 2, 3});
    EXPECT_FALSE(scene.ledger.calls(scene.now).complete);
    scene.now += seconds(24);
    scene.poll({1});
    EXPECT_FALSE(scene.ledger.calls(scene.now).complete);
    scene.now += seconds(1);
    scene.poll({1, 4});
    EXPECT_TRUE(scene.ledger.calls(scene.now).complete);
    EXPECT_EQ(scene.tasks(), (std::vector<std::uint32_t>{1, 4}));
}

} // namespace

} // namespace hawthornbeam::cell
