/// \file
/// Tests which tasks a new owner takes for running on workers that it has not polled.
#include "lib/cell/former_run_tracker.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class former_run_tracker_test : public testing::Test
{
protected:
    former_run_tracker_test()
    {
        former.expect_worker(worker_id("w1"));
        former.expect_worker(worker_id("w2"));
    }
    static task_ref task(std::uint32_t index) { return {job_key("j"), 1, index}; }
    static former_calls calls(const std::string& worker, std::uint32_t index,
                              std::uint32_t last_call_ms = 0)
    {
        return {true, {{worker_id(worker), last_call_ms, {task(index)}}}};
    }
    bool record(const std::string& agent, const former_calls& reported)
    {
        return former.record_calls(instance_id(agent), reported, now);
    }

    former_run_tracker former;
    boot_time now{seconds(1000)};
};

// Guards against taking an unknown set of agents for an empty one.
TEST_F(former_run_tracker_test, any_task_may_have_one_while_the_agents_are_unknown)
{
    EXPECT_FALSE(record("a", calls("w1", 1)));
    EXPECT_TRUE(former.may_have_run(task(2)));
    EXPECT_TRUE(former.may_have_run(job_key("other"), 0));
}

// Guards against taking the calls of some agents for those of all.
TEST_F(former_run_tracker_test, any_task_may_have_one_until_each_agent_has_reported)
{
    former.expect_agents({instance_id("a"), instance_id("b")});
    EXPECT_TRUE(record("a", calls("w1", 1)));
    EXPECT_FALSE(record("a", calls("w1", 1)));
    EXPECT_FALSE(record("restarted", {true, {}}));
    EXPECT_TRUE(former.may_have_run(task(2)));
    EXPECT_TRUE(record("b", {true, {}}));
    EXPECT_FALSE(former.may_have_run(task(2)));
    EXPECT_TRUE(former.may_have_run(task(1)));
    EXPECT_TRUE(former.may_have_run(job_key("j"), 1));
    EXPECT_FALSE(former.may_have_run(job_key("j"), 0));
}

// Guards against inherited jobs that all wait again when the owner reads its records
// again while an agent of a former owner is gone for good.
TEST_F(former_run_tracker_test, no_task_may_have_one_once_every_worker_was_settled)
{
    former.expect_agents({instance_id("gone")});
    former.settle(worker_id("w1"));
    former.settle(worker_id("w2"));
    former.expect_worker(worker_id("w1"));
    EXPECT_FALSE(former.may_have_run(task(1)));
}

// Guards against dropping the calls of an agent that was named before.
TEST_F(former_run_tracker_test, task_that_an_unexpected_agent_reports_may_have_one)
{
    former.expect_agents({instance_id("a")});
    EXPECT_FALSE(record("earlier", calls("w1", 1)));
    EXPECT_TRUE(record("a", {true, {}}));
    EXPECT_TRUE(former.may_have_run(task(1)));
}

// Guards against taking the report of a full ledger for one of all calls.
TEST_F(former_run_tracker_test,
       any_task_may_have_one_when_an_agent_could_not_keep_its_calls)
{
    former.expect_agents({instance_id("a")});
    EXPECT_FALSE(record("a", {false, {}}));
    EXPECT_TRUE(former.may_have_run(task(1)));
}

TEST_F(former_run_tracker_test, task_waits_for_each_worker_that_may_have_it)
{
    former.expect_agents({instance_id("a"), instance_id("b")});
    record("a", calls("w1", 1));
    record("b", calls("w2", 1));
    EXPECT_TRUE(former.settle(worker_id("w1")));
    EXPECT_TRUE(former.may_have_run(task(1)));
    EXPECT_TRUE(former.settle(worker_id("w2")));
    EXPECT_FALSE(former.may_have_run(task(1)));
    EXPECT_FALSE(former.settle(worker_id("w2")));
}

TEST_F(former_run_tracker_test, calls_of_a_settled_worker_do_not_count)
{
    former.expect_agents({instance_id("a")});
    former.settle(worker_id("w1"));
    record("a", calls("w1", 1));
    EXPECT_FALSE(former.may_have_run(task(1)));
}

// Guards against waiting only for the call of the agent that reports first.
TEST_F(former_run_tracker_test, latest_call_of_all_agents_counts)
{
    former.expect_agents({instance_id("a"), instance_id("b")});
    record("a", calls("w1", 1, 4000));
    EXPECT_EQ(former.last_call_at(worker_id("w1")), std::nullopt);
    record("b", calls("w1", 1, 1000));
    EXPECT_EQ(former.last_call_at(worker_id("w1")), now - milliseconds(1000));
    EXPECT_EQ(former.last_call_at(worker_id("w2")), std::nullopt);
    record("c", {true, {{worker_id("w1"), 500, {}}}});
    EXPECT_EQ(former.last_call_at(worker_id("w1")), now - milliseconds(500));
}

} // namespace

} // namespace hawthornbeam::cell
