/// \file
/// Tests the mapping of malformed responses and connection failures to error codes.
#include "hawthornbeam/platform/http_kv_service.hpp"
#include "hawthornbeam/platform/http_worker_gateway.hpp"
#include "test/standins/http_endpoint.hpp"
#include "unittests/platform/loopback.hpp"

#include <cmath>
#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

using standins::http_endpoint;

const std::string key = "some/key";

struct response_case
{
    const char* name;
    unsigned status;
    const char* body;
    error_code read_code;
    error_code write_code;
};

/// Long enough that only a call without a response times out.
constexpr std::chrono::seconds long_timeout(60);
/// For calls that receive no response; long enough to connect on a busy machine.
constexpr std::chrono::milliseconds short_timeout(500);

http_kv_options kv_options(duration timeout)
{
    http_kv_options options;
    options.timeout = timeout;
    return options;
}

http_worker_options gateway_options(duration timeout)
{
    http_worker_options options;
    options.timeout = timeout;
    return options;
}

/// A server that sends the same response to every request, with clients that call it as
/// key-value service and as worker.
class fixed_response_server : public loopback
{
public:
    fixed_response_server(unsigned status, const std::string& body,
                          duration timeout = long_timeout)
        : endpoint(loop, 0, 1,
                   [this, status, body](const standins::exchange_pointer& exchange)
                   {
                       ++requests;
                       exchange->reply(status, body);
                   }),
          kv(loop, log, "http://" + endpoint.address(), kv_options(timeout)),
          gateway(loop, log, gateway_options(timeout))
    {
    }

    result<std::optional<kv_entry>> read()
    {
        return wait<std::optional<kv_entry>>(
            [this](kv_service::callback<std::optional<kv_entry>> done)
            { kv.read(kv_cause::table, key, std::move(done)); });
    }
    result<kv_revision> write()
    {
        return wait<kv_revision>(
            [this](kv_service::callback<kv_revision> done)
            { kv.write(kv_cause::table, key, "v", kv_revision(), std::move(done)); });
    }
    result<std::vector<task_report>> list_tasks()
    {
        return wait<std::vector<task_report>>(
            [this](worker_gateway::callback<std::vector<task_report>> done)
            { gateway.list(worker_address(endpoint.address()), std::move(done)); });
    }
    result<std::vector<start_outcome>> start(std::vector<task_start> tasks)
    {
        return wait<std::vector<start_outcome>>(
            [&](worker_gateway::callback<std::vector<start_outcome>> done)
            {
                gateway.start(worker_address(endpoint.address()), generation(1),
                              std::move(tasks), std::move(done));
            });
    }

    int requests = 0;
    http_endpoint endpoint;
    http_kv_service kv;
    http_worker_gateway gateway;
};

class response_mapping_test : public testing::TestWithParam<response_case>
{
};

// Guards against a write that may have been applied but is reported as not applied, and
// against a rejected write that is reported as possibly applied.
TEST_P(response_mapping_test, response_maps_to_error_code)
{
    fixed_response_server service(GetParam().status, GetParam().body);
    EXPECT_EQ(code_of(service.read()), GetParam().read_code);
    EXPECT_EQ(code_of(service.write()), GetParam().write_code);
    EXPECT_EQ(service.requests, 2);
}

constexpr error_code unavailable = error_code::unavailable;
constexpr error_code unknown = error_code::outcome_unknown;

INSTANTIATE_TEST_SUITE_P(
    responses, response_mapping_test,
    testing::Values(
        response_case{"bad_request", 400, "{}", error_code::invalid_input,
                      error_code::invalid_input},
        response_case{"forbidden", 403, "{}", error_code::denied, error_code::denied},
        response_case{"not_found", 404, "{}", error_code::not_found,
                      error_code::not_found},
        response_case{"conflict", 409, R"({"error":"x"})", error_code::conflict,
                      error_code::conflict},
        response_case{"too_large", 413, "[]", error_code::limit_exceeded,
                      error_code::limit_exceeded},
        response_case{"out_of_service", 503, "", unavailable, unavailable},
        response_case{"server_fault", 500, "{}", unavailable, unknown},
        response_case{"redirect", 302, "{}", unavailable, unknown},
        response_case{"empty", 200, "", unavailable, unknown},
        response_case{"no_json", 200, "{\"entry\":", unavailable, unknown},
        response_case{"array", 200, "[]", unavailable, unknown},
        response_case{"no_members", 200, "{}", unavailable, unknown},
        response_case{"wrong_types", 200, R"({"entry":5,"revision":"1"})", unavailable,
                      unknown},
        response_case{"negative", 200,
                      R"({"entry":{"key":"k","value":"","revision":-1},"revision":-1})",
                      unavailable, unknown},
        response_case{"fraction", 200,
                      R"({"entry":{"key":"k","value":"","revision":1.5},"revision":1.5})",
                      unavailable, unknown},
        response_case{
            "no_base64", 200,
            R"({"entry":{"key":"k","value":"!!!!","revision":1},"revision":null})",
            unavailable, unknown}),
    [](const testing::TestParamInfo<response_case>& instance)
    { return std::string(instance.param.name); });

// Guards against a refused connection that is reported as an unknown outcome.
TEST(connection_mapping_test, refused_connection_is_unavailable)
{
    fixed_response_server service(200, "{}");
    service.endpoint.stop_listening();
    EXPECT_EQ(code_of(service.read()), unavailable);
    EXPECT_EQ(code_of(service.write()), unavailable);
}

// Guards against an invalid address that terminates the process or leaves the call
// without a callback.
TEST(connection_mapping_test, invalid_address_is_unavailable)
{
    loopback test;
    http_kv_service kv(test.loop, test.log, "no address");
    const result<bool> removed = test.wait<bool>(
        [&](kv_service::callback<bool> done)
        { kv.remove(kv_cause::claim, key, kv_revision(1), std::move(done)); });
    EXPECT_EQ(code_of(removed), unavailable);
}

// Guards against a call that waits forever for a server that accepts the connection but
// does not respond.
TEST(connection_mapping_test, call_to_unresponsive_server_times_out)
{
    fixed_response_server service(200, R"({"revision":1})", short_timeout);
    service.endpoint.faults().silent = true;
    EXPECT_EQ(code_of(service.read()), unavailable);
    EXPECT_EQ(code_of(service.write()), unknown);
    EXPECT_EQ(service.requests, 0);
}

// Guards against the HTTP library resending a write when a kept connection breaks: the
// second compare-and-swap would report a conflict for a write that was applied.
TEST(connection_mapping_test, write_is_sent_once_when_its_response_is_lost)
{
    fixed_response_server service(200, R"({"revision":1,"entry":null})");
    ASSERT_TRUE(service.read());
    service.endpoint.faults().lose_answers = 1;
    EXPECT_EQ(code_of(service.write()), unknown);
    EXPECT_EQ(service.requests, 2);
}

// Guards against the HTTP library resending a start when a kept connection breaks.
TEST(connection_mapping_test, start_is_sent_once_when_its_response_is_lost)
{
    fixed_response_server service(200, R"({"outcomes":[],"tasks":[]})");
    ASSERT_TRUE(service.list_tasks());
    service.endpoint.faults().lose_answers = 1;
    EXPECT_EQ(code_of(service.start({})), unknown);
    EXPECT_EQ(service.requests, 2);
}

// Guards against a write that times out while it waits for a free connection and is then
// reported as possibly applied, or is sent afterwards.
TEST(connection_mapping_test, write_timed_out_before_sending_is_unavailable)
{
    loopback test;
    std::vector<std::string> methods;
    std::function<void(const standins::exchange_pointer&)> on_request;
    http_endpoint endpoint(test.loop, 0, 1,
                           [&](const standins::exchange_pointer& exchange)
                           {
                               methods.push_back(exchange->method);
                               on_request(exchange);
                           });
    http_kv_options options = kv_options(short_timeout);
    options.max_connections = 1;
    http_kv_service kv(test.loop, test.log, "http://" + endpoint.address(), options);
    std::optional<result<kv_revision>> written;
    on_request = [&](const standins::exchange_pointer& watch)
    {
        kv.write(kv_cause::table, key, "v", kv_revision(),
                 [&written, watch](result<kv_revision> outcome)
                 {
                     written.emplace(std::move(outcome));
                     watch->reply(200, R"({"changed":[],"seen":0,"skipped":false})");
                 });
    };
    const result<kv_changes> watched = test.wait<kv_changes>(
        [&](const kv_service::callback<kv_changes>& done)
        { kv.watch(kv_cause::table, "", kv_revision(), long_timeout, done); });
    EXPECT_TRUE(watched);
    EXPECT_EQ(code_of(*written), unavailable);
    EXPECT_EQ(methods, std::vector<std::string>{"GET"});
}

// Guards against callbacks that run after the destruction of their client.
TEST(connection_mapping_test, destruction_cancels_calls_without_callbacks)
{
    fixed_response_server service(200, R"({"entry":null})");
    bool called = false;
    {
        http_kv_service dropped(service.loop, service.log,
                                "http://" + service.endpoint.address());
        dropped.read(kv_cause::table, key,
                     [&](const result<std::optional<kv_entry>>&) { called = true; });
    }
    EXPECT_TRUE(service.read());
    EXPECT_TRUE(service.read());
    EXPECT_FALSE(called);
}

struct reported_usage
{
    const char* json;
    double expected;
};

class usage_report_test : public testing::TestWithParam<reported_usage>
{
};

// Guards against an invalid usage value that invalidates the report of a task's outcome
// or is silently read as zero.
TEST_P(usage_report_test, usage_is_read_or_becomes_nan)
{
    const std::string body =
        R"({"tasks":[{"id":"0000000000000000000000000000002a-0-0","row":"p/k",
            "size":{"millicores":1,"memory":2,"accelerators":3},"idempotent":true,
            "job_owner":"e","state":"failed","output":"eA==","used_cores":)" +
        std::string(GetParam().json) + "}]}";
    fixed_response_server service(200, body);
    const result<std::vector<task_report>> reports = service.list_tasks();
    ASSERT_TRUE(reports);
    ASSERT_EQ(reports.value().size(), 1U);
    const task_report& report = reports.value().front();
    EXPECT_EQ(report.output, "x");
    EXPECT_EQ(report.state, task_state::failed);
    EXPECT_TRUE(std::isnan(report.used_memory));
    if (std::isnan(GetParam().expected))
        EXPECT_TRUE(std::isnan(report.used_cores));
    else
        EXPECT_EQ(report.used_cores, GetParam().expected);
}

constexpr double infinity = std::numeric_limits<double>::infinity();
constexpr double nan_value = std::numeric_limits<double>::quiet_NaN();

INSTANTIATE_TEST_SUITE_P(values, usage_report_test,
                         testing::Values(reported_usage{"1.5", 1.5},
                                         reported_usage{"-2", -2},
                                         reported_usage{"\"Infinity\"", infinity},
                                         reported_usage{"\"-Infinity\"", -infinity},
                                         reported_usage{"\"NaN\"", nan_value},
                                         reported_usage{"null", nan_value},
                                         reported_usage{"{\"a\":[]}", nan_value},
                                         reported_usage{"\"2\"", nan_value},
                                         reported_usage{"true", nan_value}));

class invalid_start_response_test : public testing::TestWithParam<const char*>
{
};

// Guards against a task that is considered not started because the worker's response
// omits it or names another task.
TEST_P(invalid_start_response_test, invalid_response_makes_start_outcome_unknown)
{
    fixed_response_server service(200, GetParam());
    task_start task;
    task.id = task_id{job_id(0, 42), 0, 0};
    EXPECT_EQ(code_of(service.start({task})), unknown);
}

INSTANTIATE_TEST_SUITE_P(
    responses, invalid_start_response_test,
    testing::Values(R"({"outcomes":[]})", R"({"outcomes":{}})", R"({"outcomes":[1]})",
                    R"({"outcomes":[{"id":"x","accepted":true,"reason":""}]})",
                    R"({"outcomes":[{"id":"0000000000000000000000000000002a-1-0",
                         "accepted":true,"reason":""}]})",
                    R"({"outcomes":[{"id":"0000000000000000000000000000002a-0-0",
                         "accepted":"yes","reason":""}]})",
                    R"({"outcomes":[{"id":"0000000000000000000000000000002a-0-0",
                         "accepted":true,"reason":""},
                        {"id":"0000000000000000000000000000002a-0-0",
                         "accepted":false,"reason":""}]})"));

} // namespace
} // namespace hawthornbeam
