/// \file
/// Tests which failed calls show that the process of a runner has ended.
#include "platform/runner_client.hpp"
#include "test/standins/http_endpoint.hpp"
#include "unittests/platform/loopback.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::adapter
{

namespace
{

using cell::command_outcome;
using standins::exchange_pointer;
using standins::http_endpoint;

/// A runner as a caller sees it, and the outcome of a poll.
struct runner_case
{
    const char* name;
    bool listens;
    unsigned status; ///< Status of each answer; 0: no answer.
    command_outcome expected;
};

class runner_client_test : public testing::TestWithParam<runner_case>
{
};

// Guards against taking a runner that is silent or fails its calls for one that has
// ended.
TEST_P(runner_client_test, only_a_refused_connection_shows_no_listener)
{
    loopback local;
    metrics_registry metrics;
    http_client client(local.loop, local.log, 4, connection_use::kept);
    runner_client runners(client, metrics, cell::endpoint("127.0.0.1:1"));
    std::vector<exchange_pointer> unanswered;
    std::optional<http_endpoint> server;
    server.emplace(local.loop, 0, 1,
                   [&unanswered](const exchange_pointer& exchange)
                   {
                       if (GetParam().status == 0)
                           unanswered.push_back(exchange);
                       else
                           exchange->reply(GetParam().status, "{}");
                   });
    cell::poll_call call;
    call.worker = worker_id("w");
    call.address = cell::endpoint(server->address());
    if (!GetParam().listens)
        server.reset();
    std::optional<command_outcome> outcome;
    runners.poll(call,
                 [&](const cell::poll_answer& answer)
                 {
                     outcome = answer.outcome;
                     local.loop.quit();
                 });
    local.loop.run();
    EXPECT_EQ(outcome, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    runners, runner_client_test,
    testing::Values(runner_case{"ended", false, 0, command_outcome::no_listener},
                    runner_case{"silent", true, 0, command_outcome::unanswered},
                    runner_case{"failing", true, 503, command_outcome::unhealthy},
                    runner_case{"replaced", true, 421, command_outcome::other_worker}),
    [](const testing::TestParamInfo<runner_case>& each) { return each.param.name; });

} // namespace

} // namespace hawthornbeam::adapter
