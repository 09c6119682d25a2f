/// \file
/// Tests the in-process stand-ins for the platform, which the tests of other packages
/// rely on.
#include "test/standins/fake_platform.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::standins
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const instance_id first_owner("entry-1");
const instance_id second_owner("entry-2");

worker_options small_worker()
{
    worker_options options;
    options.id = worker_id("worker-0");
    options.capacity = resources{millicores(4000), byte_count(1000), {}};
    return options;
}

task_start make_task(std::uint32_t index, std::string payload,
                     std::int64_t processors = 1000)
{
    task_start made;
    made.id = task_id{job_id(1, 2), index, 0};
    made.size = resources{millicores(processors), byte_count(10), {}};
    made.declared_run_time = seconds(2);
    made.payload = std::move(payload);
    return made;
}

class worker_state_test : public testing::Test
{
protected:
    bool start(generation held, const task_start& task)
    {
        const result<std::vector<start_outcome>> outcome = worker.start(held, {task});
        return outcome && outcome.value().front().accepted;
    }
    /// Advances the clock, renewing the lease in steps short enough to keep it.
    void run_for(generation held, duration length)
    {
        for (duration passed{}; passed < length; passed += seconds(1))
        {
            ASSERT_TRUE(worker.renew(held));
            clock.advance(std::min<duration>(seconds(1), length - passed));
            worker.advance();
        }
    }
    std::size_t count(const std::string& event) const
    {
        std::size_t found = 0;
        for (const history_entry& entry : worker.history())
            found += entry.event == event ? 1U : 0U;
        return found;
    }

    manual_clock clock;
    worker_state worker{clock, small_worker()};
};

// Guards against a lease that stays valid after its expiry or lets a former owner start
// tasks.
TEST_F(worker_state_test, lapsed_lease_fences_its_owner)
{
    const generation first = worker.acquire(first_owner).value().granted;
    clock.advance(seconds(3));
    EXPECT_FALSE(worker.acquire(second_owner));
    clock.advance(seconds(1));
    EXPECT_FALSE(start(first, make_task(1, "")));
    EXPECT_FALSE(worker.renew(first));
    const generation second = worker.acquire(second_owner).value().granted;
    EXPECT_GT(second, first);
    EXPECT_FALSE(start(first, make_task(1, "")));
    EXPECT_FALSE(worker.release(first));
    EXPECT_TRUE(start(second, make_task(1, "")));
    EXPECT_EQ(count("fenced"), 2U);
    EXPECT_EQ(count("start"), 1U);
}

// Guards against a restarted owner whose previous incarnation can still start tasks.
TEST_F(worker_state_test, acquiring_again_raises_the_generation)
{
    const generation first = worker.acquire(first_owner).value().granted;
    const generation again = worker.acquire(first_owner).value().granted;
    EXPECT_GT(again, first);
    EXPECT_FALSE(start(first, make_task(1, "")));
}

// Guards against a task that runs twice because a duplicate of its start arrives after
// the task was acknowledged.
TEST_F(worker_state_test, acknowledged_ids_are_remembered_for_ten_minutes)
{
    const generation held = worker.acquire(first_owner).value().granted;
    const task_start task = make_task(1, "sleep=0;");
    EXPECT_TRUE(start(held, task));
    EXPECT_TRUE(start(held, task));
    ASSERT_TRUE(worker.acknowledge(held, {task.id}));
    EXPECT_TRUE(worker.list().empty());
    run_for(held, minutes(10) - seconds(1));
    EXPECT_TRUE(start(held, task));
    EXPECT_EQ(worker.task(task.id)->state, task_state::finished);
    EXPECT_EQ(count("start"), 1U);
    run_for(held, seconds(1));
    EXPECT_FALSE(worker.task(task.id).has_value());
}

// Guards against a worker that accepts more than its capacity, including by integer
// overflow.
TEST_F(worker_state_test, never_accepts_more_than_its_capacity)
{
    const generation held = worker.acquire(first_owner).value().granted;
    EXPECT_FALSE(start(held, make_task(1, "service;", 4001)));
    EXPECT_FALSE(start(held, make_task(2, "service;", -1)));
    EXPECT_TRUE(start(held, make_task(3, "service;", 3000)));
    EXPECT_FALSE(start(held, make_task(4, "service;", 1001)));
    EXPECT_FALSE(
        start(held, make_task(5, "service;", std::numeric_limits<std::int64_t>::max())));
    EXPECT_TRUE(start(held, make_task(6, "service;", 1000)));
    EXPECT_EQ(count("reject"), 4U);
    ASSERT_TRUE(worker.control(held, make_task(3, "").id, task_action::stop).value());
    EXPECT_TRUE(start(held, make_task(7, "service;", 3000)));
}

// Guards against tasks that keep running after no owner has renewed the lease for the
// length of the task lease.
TEST_F(worker_state_test, stops_its_tasks_when_the_task_lease_ends)
{
    const generation held = worker.acquire(first_owner).value().granted;
    ASSERT_TRUE(start(held, make_task(1, "service;")));
    clock.advance(seconds(60) - milliseconds(1));
    worker.advance();
    EXPECT_EQ(worker.list().front().state, task_state::running);
    clock.advance(milliseconds(1));
    worker.advance();
    EXPECT_EQ(worker.list().front().state, task_state::stopped);
}

struct payload_outcome
{
    const char* payload;
    duration run_time;
    task_state state;
};

class payload_test : public worker_state_test,
                     public testing::WithParamInterface<payload_outcome>
{
};

// Guards against misread payload directives, which other tests rely on.
TEST_P(payload_test, is_obeyed_and_echoed)
{
    const generation held = worker.acquire(first_owner).value().granted;
    const task_start task = make_task(1, GetParam().payload);
    ASSERT_TRUE(start(held, task));
    if (GetParam().run_time > duration::zero())
    {
        run_for(held, GetParam().run_time - milliseconds(1));
        ASSERT_EQ(worker.task(task.id)->state, task_state::running);
        run_for(held, milliseconds(1));
    }
    EXPECT_EQ(worker.task(task.id)->state, GetParam().state);
    EXPECT_EQ(worker.task(task.id)->output, GetParam().payload);
}

INSTANTIATE_TEST_SUITE_P(
    payloads, payload_test,
    testing::Values(
        payload_outcome{"", seconds(2), task_state::finished},
        payload_outcome{"fail", seconds(2), task_state::finished},
        payload_outcome{"fail;", seconds(2), task_state::failed},
        payload_outcome{"sleep=70;text;fail;", milliseconds(70), task_state::finished},
        payload_outcome{"sleep=0;fail;x", duration::zero(), task_state::failed}));

class fake_gateway_test : public testing::Test
{
protected:
    fake_gateway_test()
    {
        gateway.add(address, small_worker());
        gateway.acquire(address, first_owner,
                        [this](result<lease_grant> grant)
                        { held = grant.value().granted; });
        loop.run_ready();
    }
    /// Starts a task; the error code of the outcome is appended to codes.
    void start()
    {
        gateway.start(address, held, {make_task(1, "service;")},
                      [this](const result<std::vector<start_outcome>>& outcome)
                      {
                          codes.push_back(
                              outcome ? std::nullopt
                                      : std::optional<error_code>(outcome.error().code));
                      });
    }
    bool task_runs() { return gateway.worker(address).state().list().size() == 1; }

    const worker_address address{"10.0.0.1:1"};
    manual_event_loop loop;
    fake_worker_gateway gateway{loop, seconds(1)};
    generation held;
    std::vector<std::optional<error_code>> codes;
};

struct fault_outcome
{
    fault_settings faults;
    std::optional<error_code> code;
    bool applied_at_answer;
    bool applied_later;
};

class gateway_fault_test : public fake_gateway_test,
                           public testing::WithParamInterface<fault_outcome>
{
};

// Guards against a fake gateway that runs a callback twice, or whose response contradicts
// whether the start was applied.
TEST_P(gateway_fault_test, answers_once_with_what_happened)
{
    gateway.faults(address) = GetParam().faults;
    start();
    EXPECT_TRUE(codes.empty());
    loop.advance(seconds(1));
    EXPECT_EQ(codes, std::vector<std::optional<error_code>>{GetParam().code});
    EXPECT_EQ(task_runs(), GetParam().applied_at_answer);
    loop.advance(seconds(2));
    EXPECT_EQ(codes.size(), 1U);
    EXPECT_EQ(task_runs(), GetParam().applied_later);
}

INSTANTIATE_TEST_SUITE_P(
    faults, gateway_fault_test,
    testing::Values(
        fault_outcome{{}, std::nullopt, true, true},
        fault_outcome{{true}, error_code::unavailable, false, false},
        fault_outcome{{false, true}, error_code::outcome_unknown, false, false},
        fault_outcome{{false, false, milliseconds(900)}, std::nullopt, true, true},
        fault_outcome{
            {false, false, milliseconds(1100)}, error_code::outcome_unknown, false, true},
        fault_outcome{{false, false, {}, 1}, error_code::outcome_unknown, true, true}));

// Guards against a pending events() call that misses the end of a task or a new owner.
TEST_F(fake_gateway_test, waiting_events_wake_on_an_end_and_on_a_new_owner)
{
    std::vector<std::size_t> seen;
    std::optional<error_code> failure;
    const auto wait_for_events = [&]
    {
        gateway.events(address, held, seen.size(), seconds(10),
                       [&](const result<worker_events>& found)
                       {
                           if (found)
                               seen.push_back(found.value().tasks.size());
                           else
                               failure = found.error().code;
                       });
    };
    wait_for_events();
    gateway.start(address, held, {make_task(1, "sleep=500;")}, [](const auto&) {});
    loop.advance(milliseconds(499));
    EXPECT_TRUE(seen.empty());
    loop.advance(milliseconds(1));
    EXPECT_EQ(seen, std::vector<std::size_t>{1});
    wait_for_events();
    loop.run_ready();
    gateway.worker(address).state().lapse_lease();
    gateway.acquire(address, second_owner, [](const auto&) {});
    loop.run_ready();
    EXPECT_EQ(failure, error_code::conflict);
}

// Guards against an unknown address that terminates the test program or leaves the call
// without a callback.
TEST_F(fake_gateway_test, unknown_address_is_unavailable)
{
    std::optional<error_code> failure;
    gateway.list(worker_address("10.0.0.9:9"),
                 [&](const result<std::vector<task_report>>& found)
                 { failure = found.error().code; });
    loop.run_ready();
    EXPECT_EQ(failure, error_code::unavailable);
}

// Guards against a fake host list that applies no lag, which would hide delayed reactions
// of the code under test.
TEST(fake_host_list_test, shows_changes_after_the_lag)
{
    manual_event_loop loop;
    fake_host_list hosts(loop, seconds(2));
    host_entry host;
    host.id = worker_id("worker-0");
    hosts.state().set(host);
    hosts.state().show_all();
    hosts.state().set_leaving(host.id, true);
    std::vector<host_entry> shown;
    const auto list = [&]
    {
        hosts.list([&](result<std::vector<host_entry>> found) { shown = found.value(); });
        loop.run_ready();
    };
    loop.advance(milliseconds(1999));
    list();
    ASSERT_EQ(shown.size(), 1U);
    EXPECT_FALSE(shown.front().leaving);
    loop.advance(milliseconds(1));
    list();
    EXPECT_TRUE(shown.front().leaving);
    hosts.state().remove(host.id);
    loop.advance(seconds(2));
    list();
    EXPECT_TRUE(shown.empty());
}

} // namespace
} // namespace hawthornbeam::standins
