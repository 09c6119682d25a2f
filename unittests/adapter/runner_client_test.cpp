/// \file
/// Tests which failed calls show that the process of a runner has ended.
#include "platform/runner_client.hpp"
#include "test/standins/http_endpoint.hpp"
#include "unittests/platform/loopback.hpp"

#include <fmt/format.h>
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
    http_client client(local.loop, local.log, {4}, connection_use::kept);
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

/// A runner that answers its first call, so that its connection is kept.
class kept_connection_test : public testing::Test
{
protected:
    kept_connection_test()
        : server(local.loop, 0, 1,
                 [this](const exchange_pointer& exchange)
                 {
                     ++calls;
                     handle(exchange);
                 })
    {
        answer(cell::end_number());
    }

    cell::poll_answer answer(cell::end_number acknowledged)
    {
        cell::poll_call call;
        call.worker = worker_id("w");
        call.address = cell::endpoint(server.address());
        call.acknowledged = acknowledged;
        cell::poll_answer read;
        runners.poll(call,
                     [this, &read](const cell::poll_answer& given)
                     {
                         read = given;
                         local.loop.quit();
                     });
        local.loop.run();
        return read;
    }

    command_outcome start()
    {
        cell::start_command command;
        command.worker = worker_id("w");
        command.address = cell::endpoint(server.address());
        command.run.task.job = cell::job_key("a");
        command_outcome outcome = command_outcome::accepted;
        runners.start(command, cell::fence_token(1),
                      [this, &outcome](command_outcome given)
                      {
                          outcome = given;
                          local.loop.quit();
                      });
        local.loop.run();
        return outcome;
    }

    loopback local;
    metrics_registry metrics;
    http_client client{local.loop, local.log, {4}, connection_use::kept};
    runner_client runners{client, metrics, cell::endpoint("127.0.0.1:1")};
    std::function<void(const exchange_pointer&)> handle =
        [](const exchange_pointer& exchange) { exchange->reply(200, "{}"); };
    int calls = 0;
    http_endpoint server;
};

// Guards against a start that two incarnations of a runner execute, because the client
// sends it again when its connection breaks.
TEST_F(kept_connection_test, start_is_not_sent_again)
{
    handle = [this](const exchange_pointer&) { server.stop_listening(); };
    calls = 0;
    EXPECT_EQ(start(), command_outcome::unanswered);
    EXPECT_EQ(calls, 1);
}

// Guards against acknowledgements that reach a restarted runner, which numbers its ends
// anew and would forget some that nobody has seen.
TEST_F(kept_connection_test, acknowledgement_is_not_sent_again)
{
    server.faults().lose_answers = 1000;
    calls = 0;
    EXPECT_EQ(answer(cell::end_number(7)).outcome, command_outcome::unanswered);
    EXPECT_EQ(calls, 1);
}

/// Number of ends in a response, and whether further ones may wait.
class listed_ends_test : public kept_connection_test,
                         public testing::WithParamInterface<std::pair<int, bool>>
{
};

// Guards against taking a full page of ends for all of them.
TEST_P(listed_ends_test, full_page_is_not_complete)
{
    handle = [](const exchange_pointer& exchange)
    {
        std::string ends;
        for (int number = 1; number <= GetParam().first; ++number)
            ends += fmt::format(R"({}[{},"a.0.0.{}",1,"done",""])",
                                ends.empty() ? "" : ",", number, number);
        exchange->reply(200,
                        R"({"clock-ms":1,"born":1,"running":[],"ended":[)" + ends + "]}");
    };
    const cell::poll_result read = answer(cell::end_number()).poll;
    EXPECT_EQ(read.ended.size(), static_cast<std::size_t>(GetParam().first));
    EXPECT_EQ(read.ends_complete, GetParam().second);
}

INSTANTIATE_TEST_SUITE_P(ends, listed_ends_test,
                         testing::Values(std::pair(0, true), std::pair(499, true),
                                         std::pair(500, false)));

} // namespace

} // namespace hawthornbeam::adapter
