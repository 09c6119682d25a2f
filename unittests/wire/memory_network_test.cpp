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
    std::optional<error_code> call(duration within, duration deadline = seconds(10))
    {
        std::vector<result<reply>> outcomes;
        client->call(peer_address("s:1"), table_fetch{}, deadline,
                     [&](result<reply> outcome)
                     { outcomes.push_back(std::move(outcome)); });
        if (during)
            during();
        loop.advance(within);
        EXPECT_EQ(outcomes.size(), 1U);
        if (outcomes.empty() || outcomes[0])
            return std::nullopt;
        return outcomes[0].error().code;
    }

    manual_event_loop loop;
    standins::memory_network network{loop, 1};
    instance_id c{"c"};
    instance_id s{"s"};
    std::unique_ptr<standins::memory_peer_network> client =
        network.make_peers(c, peer_address("c:1"));
    std::unique_ptr<standins::memory_peer_network> server =
        network.make_peers(s, peer_address("s:1"));
    std::function<void()> during;
    int served = 0;
};

struct fault
{
    const char* name;
    std::function<void(standins::memory_network&)> cause;
    std::optional<error_code>
        first; ///< Of a request on the connection open at the fault.
    std::optional<error_code> second; ///< Of the request after it.
    int served;                       ///< How many of these two requests took effect.
};

class fault_test : public memory_network_test, public testing::WithParamInterface<fault>
{
};

// Guards against a simulated fault that causes other errors than on a TCP connection.
TEST_P(fault_test, gives_the_errors_of_a_connection)
{
    EXPECT_EQ(call(seconds(1)), std::nullopt);
    GetParam().cause(network);
    EXPECT_EQ(call(seconds(4)), GetParam().first);
    EXPECT_EQ(call(seconds(4), seconds(3)), GetParam().second);
    EXPECT_EQ(served, 1 + GetParam().served);
}

const instance_id c_id("c");
const instance_id s_id("s");

INSTANTIATE_TEST_SUITE_P(
    faults, fault_test,
    testing::Values(
        fault{"cut", [](standins::memory_network& n) { n.cut_both(c_id, s_id); },
              error_code::outcome_unknown, error_code::unavailable, 0},
        fault{"answers_cut", [](standins::memory_network& n) { n.cut(s_id, c_id); },
              error_code::outcome_unknown, error_code::unavailable, 1},
        fault{"silent", [](standins::memory_network& n) { n.silence(c_id, s_id); },
              error_code::outcome_unknown, std::nullopt, 1},
        fault{"paused", [](standins::memory_network& n) { n.pause(s_id); },
              error_code::outcome_unknown, error_code::unavailable, 0},
        fault{"dead", [](standins::memory_network& n) { n.kill(s_id); },
              error_code::unavailable, error_code::unavailable, 0}),
    [](const testing::TestParamInfo<fault>& info) { return info.param.name; });

// Guards against reporting that a request did not take effect when only its reply was
// lost.
TEST_F(memory_network_test, lost_answer_leaves_the_outcome_unknown)
{
    network.lose_answers(c, s, 1);
    EXPECT_EQ(call(seconds(1), milliseconds(500)), error_code::outcome_unknown);
    EXPECT_EQ(served, 1);
    EXPECT_EQ(call(seconds(1)), std::nullopt);
}

// Guards against a crash of the peer that leaves calls open, or reports that they did not
// run.
TEST_F(memory_network_test, death_resets_open_calls)
{
    during = [this]
    {
        loop.advance(milliseconds(1));
        network.kill(s);
    };
    server->serve(
        [](const instance_id&, const request&, const std::function<void(reply)>&) {});
    EXPECT_EQ(call(seconds(1)), error_code::outcome_unknown);
}

// Guards against a paused instance that loses requests instead of delaying them.
TEST_F(memory_network_test, pause_delays_requests)
{
    during = [this]
    {
        network.pause(s);
        loop.advance(seconds(2));
        EXPECT_EQ(served, 0);
        network.resume(s);
    };
    EXPECT_EQ(call(seconds(1)), std::nullopt);
    EXPECT_EQ(served, 1);
}

} // namespace
} // namespace hawthornbeam::wire
