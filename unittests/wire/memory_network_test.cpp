/// \file
/// Tests of the in-memory network. Its errors must match those of the TCP network, since
/// other tests use it in place of TCP.
#include "test/standins/memory_peer_network.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::wire
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class memory_network_test : public testing::Test
{
protected:
    memory_network_test()
    {
        server->serve(
            [this](const instance_id& /*from*/, const request& /*message*/,
                   const std::function<void(reply)>& answer)
            {
                ++served;
                answer(table_reply{});
            });
    }
    /// Sends a request and returns the error code, or nothing after a reply. Fails the
    /// test unless exactly one outcome is reported \p within that time.
    std::optional<error_code> call(duration time_limit, duration deadline = seconds(10))
    {
        std::vector<result<reply>> outcomes;
        client->call(peer_address("s:1"), table_fetch{}, deadline,
                     [&](result<reply> outcome)
                     { outcomes.push_back(std::move(outcome)); });
        if (after_send)
            after_send();
        loop.advance(time_limit);
        EXPECT_EQ(outcomes.size(), 1U);
        if (outcomes.empty() || outcomes[0])
            return std::nullopt;
        return outcomes[0].error().code;
    }

    manual_event_loop loop;
    standins::memory_network network{loop, 1};
    instance_id client_id{"c"};
    instance_id server_id{"s"};
    std::unique_ptr<standins::memory_peer_network> client =
        network.make_peers(client_id, peer_address("c:1"));
    std::unique_ptr<standins::memory_peer_network> server =
        network.make_peers(server_id, peer_address("s:1"));
    std::function<void()> after_send;
    int served = 0;
};

struct fault_case
{
    const char* name;
    std::function<void(standins::memory_network&)> inject;
    /// Of a request on the connection open at the fault.
    std::optional<error_code> first_error;
    std::optional<error_code> second_error; ///< Of the request after it.
    int served; ///< How many of these two requests took effect.
};

class fault_test : public memory_network_test,
                   public testing::WithParamInterface<fault_case>
{
};

// Guards against a simulated fault that causes other errors than on a TCP connection.
TEST_P(fault_test, simulated_fault_gives_the_errors_of_a_tcp_connection)
{
    EXPECT_EQ(call(seconds(1)), std::nullopt);
    GetParam().inject(network);
    EXPECT_EQ(call(seconds(4)), GetParam().first_error);
    EXPECT_EQ(call(seconds(4), seconds(3)), GetParam().second_error);
    EXPECT_EQ(served, 1 + GetParam().served);
}

const instance_id client_instance("c");
const instance_id server_instance("s");

INSTANTIATE_TEST_SUITE_P(
    faults, fault_test,
    testing::Values(fault_case{"cut",
                               [](standins::memory_network& network)
                               { network.cut_both(client_instance, server_instance); },
                               error_code::outcome_unknown, error_code::unavailable, 0},
                    fault_case{"answers_cut",
                               [](standins::memory_network& network)
                               { network.cut(server_instance, client_instance); },
                               error_code::outcome_unknown, error_code::unavailable, 1},
                    fault_case{"silent",
                               [](standins::memory_network& network)
                               { network.silence(client_instance, server_instance); },
                               error_code::outcome_unknown, std::nullopt, 1},
                    fault_case{"paused",
                               [](standins::memory_network& network)
                               { network.pause(server_instance); },
                               error_code::outcome_unknown, error_code::unavailable, 0},
                    fault_case{"dead",
                               [](standins::memory_network& network)
                               { network.kill(server_instance); },
                               error_code::unavailable, error_code::unavailable, 0}),
    [](const testing::TestParamInfo<fault_case>& info) { return info.param.name; });

// Guards against reporting that a request did not take effect when only its reply was
// lost.
TEST_F(memory_network_test, lost_reply_gives_outcome_unknown)
{
    network.lose_answers(client_id, server_id, 1);
    EXPECT_EQ(call(seconds(1), milliseconds(500)), error_code::outcome_unknown);
    EXPECT_EQ(served, 1);
    EXPECT_EQ(call(seconds(1)), std::nullopt);
}

// Guards against a crash of the peer that leaves calls open, or reports that they did not
// run.
TEST_F(memory_network_test, crash_of_the_peer_fails_open_calls)
{
    after_send = [this]
    {
        loop.advance(milliseconds(1));
        network.kill(server_id);
    };
    server->serve(
        [](const instance_id&, const request&, const std::function<void(reply)>&) {});
    EXPECT_EQ(call(seconds(1)), error_code::outcome_unknown);
}

// Guards against a paused instance that loses requests instead of delaying them.
TEST_F(memory_network_test, paused_peer_delays_requests)
{
    after_send = [this]
    {
        network.pause(server_id);
        loop.advance(seconds(2));
        EXPECT_EQ(served, 0);
        network.resume(server_id);
    };
    EXPECT_EQ(call(seconds(1)), std::nullopt);
    EXPECT_EQ(served, 1);
}

} // namespace
} // namespace hawthornbeam::wire
