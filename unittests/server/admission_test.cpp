/// \file
/// Decisions on connections and unfinished requests, without a network.
#include "hawthornbeam/server/admission.hpp"

#include <gtest/gtest.h>
#include <set>

namespace
{

using namespace hawthornbeam;
using std::chrono::milliseconds;
using std::chrono::seconds;
using action = request_verdict::action;

constexpr std::size_t kib = 1024;
constexpr std::size_t max_body_bytes = 256 * kib;

admission_limits small_limits()
{
    admission_limits limits;
    limits.max_connections[0] = 3;
    limits.max_connections[1] = 1;
    limits.request_memory_bytes = 100 * kib;
    limits.memory_per_body_byte = 1;
    limits.small_body_bytes = 8 * kib;
    limits.max_header_bytes = 16 * kib;
    limits.receive_timeout = seconds(30);
    limits.send_timeout = seconds(20);
    limits.memory_wait = seconds(1);
    limits.min_receive_time = seconds(1);
    limits.min_header_time = milliseconds(100);
    return limits;
}

class admission_test : public testing::Test
{
protected:
    connection_id open(client_class of = client_class::callers)
    {
        const connection_id id(++last_id);
        last_open = admitted.open(id, of, now);
        return id;
    }
    /// Opens a connection that has announced a body.
    connection_id announce(std::size_t bytes)
    {
        const connection_id id = open();
        admitted.received(id, 100, now);
        verdict = admitted.header_received(id, bytes, max_body_bytes, now);
        return id;
    }
    std::vector<std::pair<connection_id, refusal>> check()
    {
        std::vector<std::pair<connection_id, refusal>> found;
        for (const admission::overdue& one : admitted.check(now))
            found.emplace_back(one.id, one.why);
        return found;
    }
    using refusals = std::vector<std::pair<connection_id, refusal>>;

    std::uint64_t last_id = 0;
    boot_time now{std::chrono::hours(1)};
    admission admitted{small_limits()};
    admission::open_verdict last_open;
    request_verdict verdict;
};

struct body_case
{
    const char* name;
    std::optional<std::uint64_t> announced;
    std::vector<std::size_t> chunks;
    action expected;
};

class body_limit_test : public admission_test,
                        public testing::WithParamInterface<body_case>
{
};

TEST_P(body_limit_test, refuses_bodies_over_the_limit_before_they_are_collected)
{
    const connection_id id = open();
    verdict = admitted.header_received(id, GetParam().announced, 20 * kib, now);
    for (const std::size_t bytes : GetParam().chunks)
        if (verdict.next == action::proceed)
            verdict = admitted.body_received(id, bytes, now);
    EXPECT_EQ(verdict.next, GetParam().expected);
    if (GetParam().expected == action::refuse)
    {
        EXPECT_EQ(verdict.why, refusal::body_too_large);
    }
}

INSTANTIATE_TEST_SUITE_P(
    bodies, body_limit_test,
    testing::Values(
        body_case{"announced_at_the_limit", 20 * kib, {20 * kib}, action::proceed},
        body_case{"announced_over_the_limit", 20 * kib + 1, {}, action::refuse},
        body_case{"announced_beyond_all_numbers", UINT64_MAX, {}, action::refuse},
        body_case{"grown_to_the_limit", {}, {10 * kib, 10 * kib}, action::proceed},
        body_case{"grown_over_the_limit", {}, {10 * kib, 10 * kib, 1}, action::refuse}),
    [](const testing::TestParamInfo<body_case>& info) { return info.param.name; });

TEST_F(admission_test, header_without_end_is_refused)
{
    const connection_id id = open();
    EXPECT_EQ(admitted.received(id, 16 * kib, now).next, action::proceed);
    verdict = admitted.received(id, 1, now);
    EXPECT_EQ(verdict.next, action::refuse);
    EXPECT_EQ(verdict.why, refusal::header_too_large);
}

TEST_F(admission_test, small_request_is_served_while_large_ones_hold_all_memory)
{
    announce(108 * kib);
    announce(60 * kib);
    EXPECT_EQ(verdict.next, action::wait);
    announce(8 * kib);
    EXPECT_EQ(verdict.next, action::proceed);
}

TEST_F(admission_test, body_is_charged_with_what_its_request_takes_until_it_is_answered)
{
    admission_limits limits = small_limits();
    limits.memory_per_body_byte = 4;
    admission bounded(limits);
    bounded.open(connection_id(1), client_class::callers, now);
    bounded.header_received(connection_id(1), 18 * kib, max_body_bytes, now);
    EXPECT_EQ(bounded.request_bytes(), 40 * kib);
}

TEST_F(admission_test, request_larger_than_the_memory_is_served_alone)
{
    const connection_id id = announce(200 * kib);
    EXPECT_EQ(verdict.next, action::proceed);
    announce(20 * kib);
    EXPECT_EQ(verdict.next, action::wait);
    admitted.close(id);
    EXPECT_EQ(admitted.take_resumed().size(), 1U);
}

TEST_F(admission_test, memory_is_held_until_the_response_is_sent)
{
    const connection_id id = announce(108 * kib);
    const connection_id other = announce(60 * kib);
    admitted.body_received(id, 108 * kib, now);
    admitted.request_received(id);
    EXPECT_TRUE(admitted.take_resumed().empty());
    admitted.response_started(id, 10, now);
    EXPECT_TRUE(admitted.take_resumed().empty());
    admitted.response_finished(id, now);
    EXPECT_EQ(admitted.take_resumed(), std::vector<connection_id>{other});
    EXPECT_EQ(admitted.request_bytes(), 52 * kib);
}

TEST_F(admission_test, stalled_request_gives_way_to_one_that_waits)
{
    const connection_id stalled = announce(108 * kib);
    now += milliseconds(500);
    const connection_id other = announce(60 * kib);
    now += milliseconds(999);
    EXPECT_EQ(check(), refusals{});
    now += milliseconds(1);
    EXPECT_EQ(check(), (refusals{{stalled, refusal::request_too_slow}}));
    EXPECT_EQ(admitted.take_resumed(), std::vector<connection_id>{other});
}

TEST_F(admission_test, request_waits_only_so_long_for_memory_of_handled_ones)
{
    const connection_id handled = announce(108 * kib);
    admitted.request_received(handled);
    const connection_id other = announce(60 * kib);
    now += seconds(1);
    EXPECT_EQ(check(), (refusals{{other, refusal::memory_exhausted}}));
}

TEST_F(admission_test, unfinished_bodies_of_unknown_length_do_not_wait_for_each_other)
{
    std::vector<connection_id> ids;
    for (int i = 0; i < 3; ++i)
    {
        ids.push_back(open());
        admitted.header_received(ids.back(), std::nullopt, max_body_bytes, now);
        verdict = admitted.body_received(ids.back(), 50 * kib, now);
    }
    EXPECT_EQ(verdict.next, action::wait);
    now += seconds(1);
    EXPECT_EQ(check(), (refusals{{ids[0], refusal::request_too_slow}}));
    EXPECT_EQ(admitted.take_resumed(), std::vector<connection_id>{ids[2]});
}

TEST_F(admission_test, request_that_never_ends_is_refused)
{
    const connection_id id = open();
    EXPECT_FALSE(admitted.needs_checks());
    admitted.received(id, 1, now);
    EXPECT_TRUE(admitted.needs_checks());
    now += seconds(30);
    EXPECT_EQ(check(), refusals{});
    now += milliseconds(1);
    EXPECT_EQ(check(), (refusals{{id, refusal::request_too_slow}}));
    EXPECT_FALSE(admitted.needs_checks());
}

TEST_F(admission_test, response_that_is_never_read_ends)
{
    const connection_id id = open();
    admitted.header_received(id, 0, max_body_bytes, now);
    admitted.request_received(id);
    now += seconds(100);
    EXPECT_EQ(check(), refusals{});
    admitted.response_started(id, 10, now);
    now += seconds(20) + milliseconds(1);
    EXPECT_EQ(check(), (refusals{{id, refusal::response_not_read}}));
}

TEST_F(admission_test, unread_responses_bound_further_ones)
{
    admission_limits limits = small_limits();
    limits.response_memory_bytes = 10 * kib;
    admission bounded(limits);
    const connection_id id(1);
    bounded.open(id, client_class::callers, now);
    bounded.header_received(id, 0, max_body_bytes, now);
    bounded.request_received(id);
    bounded.response_started(id, 19 * kib, now);
    EXPECT_FALSE(bounded.may_read_state());
    bounded.response_finished(id, now);
    EXPECT_TRUE(bounded.may_read_state());
}

TEST_F(admission_test, idle_connection_gives_way_to_a_new_one)
{
    const connection_id busy = open();
    admitted.received(busy, 1, now);
    now += milliseconds(1);
    const connection_id idle = announce(10);
    admitted.request_received(idle);
    admitted.response_finished(idle, now);
    now += milliseconds(1);
    open();
    open();
    EXPECT_TRUE(last_open.admitted);
    EXPECT_EQ(last_open.replaced, idle);
    EXPECT_EQ(admitted.connections(client_class::callers), 3U);
}

/// How far the requests of a full class have arrived, and the age from which the oldest
/// gives way.
struct age_case
{
    const char* name;
    client_class of;
    std::size_t received_bytes;
    bool header_complete;
    duration age;
};

class replacement_test : public admission_test,
                         public testing::WithParamInterface<age_case>
{
protected:
    void fill()
    {
        const std::size_t limit =
            small_limits().max_connections[static_cast<std::size_t>(GetParam().of)];
        for (std::size_t i = 0; i < limit; ++i)
        {
            const connection_id id = open(GetParam().of);
            ASSERT_TRUE(last_open.admitted);
            if (GetParam().received_bytes > 0)
                admitted.received(id, GetParam().received_bytes, now);
            if (GetParam().header_complete)
                admitted.header_received(id, 10, max_body_bytes, now);
        }
    }
};

TEST_P(replacement_test, oldest_unfinished_request_gives_way_to_a_new_connection)
{
    fill();
    if (GetParam().age > duration::zero())
    {
        now += GetParam().age - milliseconds(1);
        open(GetParam().of);
        EXPECT_FALSE(last_open.admitted);
        now += milliseconds(1);
    }
    open(GetParam().of);
    EXPECT_TRUE(last_open.admitted);
    EXPECT_EQ(last_open.replaced, connection_id(1));
}

INSTANTIATE_TEST_SUITE_P(
    requests, replacement_test,
    testing::Values(age_case{"caller_without_bytes", client_class::callers, 0, false,
                             milliseconds(100)},
                    age_case{"caller_with_part_of_a_header", client_class::callers, 1,
                             false, milliseconds(100)},
                    age_case{"caller_with_part_of_a_body", client_class::callers, 100,
                             true, seconds(1)},
                    age_case{"monitor_without_bytes", client_class::monitors, 0, false,
                             duration::zero()},
                    age_case{"monitor_with_part_of_a_header", client_class::monitors, 1,
                             false, duration::zero()},
                    age_case{"monitor_with_part_of_a_body", client_class::monitors, 100,
                             true, duration::zero()}),
    [](const testing::TestParamInfo<age_case>& info) { return info.param.name; });

// Guards against a crowd that keeps readiness checks out by connecting again and again.
TEST(reconnecting_crowd_test, check_is_served_although_no_connection_grows_old)
{
    constexpr std::uint64_t connections = 12;
    constexpr std::uint64_t check_id = 1000;
    admission_limits limits = small_limits();
    limits.max_connections[1] = connections;
    admission admitted(limits);
    boot_time now{std::chrono::hours(1)};
    const auto connect = [&admitted, &now](std::uint64_t id)
    {
        now += milliseconds(1);
        const admission::open_verdict verdict =
            admitted.open(connection_id(id), client_class::monitors, now);
        admitted.received(connection_id(id), 1, now);
        EXPECT_NE(verdict.replaced, connection_id(check_id));
        return verdict.admitted;
    };
    for (std::uint64_t id = 1; id <= connections; ++id)
        ASSERT_TRUE(connect(id));
    ASSERT_TRUE(connect(check_id));
    for (std::uint64_t id = connections + 1; id < 2 * connections; ++id)
        connect(id);
    admitted.header_received(connection_id(check_id), 0, max_body_bytes, now);
    admitted.request_received(connection_id(check_id));
    EXPECT_TRUE(admitted.awaits_response(connection_id(check_id)));
}

// Guards against new clients that give way before they can send, beside slow requests.
TEST_F(admission_test, new_connection_is_not_the_first_to_give_way)
{
    for (int i = 0; i < 2; ++i)
        announce(10);
    const connection_id caller = open();
    now += milliseconds(50);
    open();
    EXPECT_FALSE(last_open.admitted);
    admitted.received(caller, 100, now);
    admitted.header_received(caller, 0, max_body_bytes, now);
    admitted.request_received(caller);
    EXPECT_TRUE(admitted.awaits_response(caller));
}

TEST_F(admission_test, handled_request_keeps_its_connection)
{
    for (int i = 0; i < 3; ++i)
        admitted.request_received(announce(10));
    now += std::chrono::hours(1);
    open();
    EXPECT_FALSE(last_open.admitted);
    EXPECT_EQ(check(), refusals{});
}

TEST_F(admission_test, monitors_connect_while_callers_hold_all_of_theirs)
{
    for (int i = 0; i < 3; ++i)
        admitted.request_received(announce(10));
    open(client_class::monitors);
    EXPECT_TRUE(last_open.admitted);
    EXPECT_FALSE(last_open.replaced);
}

TEST_F(admission_test, refused_connection_holds_no_memory_and_goes_first)
{
    const connection_id id = announce(108 * kib);
    admitted.refused(id, now);
    EXPECT_EQ(admitted.request_bytes(), 0U);
    open();
    now += milliseconds(1);
    open();
    open();
    EXPECT_EQ(last_open.replaced, id);
    admitted.response_finished(id, now);
    admitted.close(id);
    EXPECT_EQ(admitted.connections(client_class::callers), 3U);
}

struct resources_case
{
    const char* name;
    process_resources available;
    std::size_t callers;
    std::size_t monitors;
    std::size_t request_memory_bytes;
};

class limits_test : public testing::TestWithParam<resources_case>
{
};

TEST_P(limits_test, leave_half_of_the_resources)
{
    const resources_case& given = GetParam();
    const admission_limits limits = limits_for(given.available);
    EXPECT_EQ(limits.max_connections[0], given.callers);
    EXPECT_EQ(limits.max_connections[1], given.monitors);
    EXPECT_EQ(limits.request_memory_bytes, given.request_memory_bytes);
    const std::size_t connections = given.callers + given.monitors;
    EXPECT_LE(connections, std::max<std::size_t>(2, given.available.descriptors / 2));
    EXPECT_LE(connections * receive_buffer_bytes + given.request_memory_bytes,
              given.available.memory_bytes / 2);
}

INSTANTIATE_TEST_SUITE_P(
    processes, limits_test,
    testing::Values(
        resources_case{"of_a_small_host", {260U << 20U, 4100}, 2018, 32, 34078720},
        resources_case{"with_few_descriptors", {260U << 20U, 100}, 38, 12, 34078720},
        resources_case{"with_little_memory", {8U << 20U, 4100}, 48, 16, 1U << 20U}),
    [](const testing::TestParamInfo<resources_case>& info) { return info.param.name; });

} // namespace
