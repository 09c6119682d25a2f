/// \file
/// Tests of the commands against scripted instances: failover, exit codes, edits, output.
#include "fake_instances.hpp"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

namespace hawthornbeam
{
namespace
{

const std::string table =
    R"({"version": 7, "rows": [{"partner": "p", "kind": "k", "workload": "batch",
  "weight": 1.0, "guaranteed": 0.1, "urgency": 5, "disruption_limit": 1,
  "limits": {"processors": 0, "memory": 0, "accelerators": 0, "tasks_running": 0,
             "queue_length": 1000, "tasks_per_second": 0}}]})";

std::string job(const char* verdict)
{
    return std::string(R"({"id": "1", "verdict": ")") + verdict + R"(", "waiting": 0})";
}

struct exit_case
{
    const char* name;
    std::vector<std::string> words;
    const char* request;
    api_response response;
    int code;
};

class exit_code_test : public testing::TestWithParam<exit_case>
{
};

// Guards against an exit code that reports a refusal as success, or an unknown outcome as
// either of the two.
TEST_P(exit_code_test, exit_code_matches_the_response)
{
    command_run run;
    run.options.yes = true;
    run.instances.script["GET /v1/table"] = {{200, table, "\"7\"", ""}};
    run.instances.script[GetParam().request] = {GetParam().response};
    EXPECT_EQ(run.run(GetParam().words), GetParam().code) << run.err.str();
    EXPECT_EQ(run.out.str().empty(), run.err.str().find("hawthornctl") == 0);
}

INSTANTIATE_TEST_SUITE_P(
    answers, exit_code_test,
    testing::Values(
        exit_case{"done",
                  {"jobs", "show", "1"},
                  "GET /v1/jobs/1",
                  {200, job("accepted"), "", ""},
                  0},
        exit_case{
            "missing", {"jobs", "show", "2"}, "GET /v1/jobs/1", {200, "{}", "", ""}, 1},
        exit_case{"not_run",
                  {"jobs", "watch", "1"},
                  "GET /v1/jobs/1",
                  {200, job("not_run"), "", ""},
                  1},
        exit_case{"unknown",
                  {"jobs", "watch", "1"},
                  "GET /v1/jobs/1",
                  {200, job("unknown"), "", ""},
                  4},
        exit_case{"timeout",
                  {"workers", "drain", "w"},
                  "POST /v1/workers/w/drain",
                  {504, "{}", "", ""},
                  4},
        exit_case{"server_error",
                  {"workers", "drain", "w"},
                  "POST /v1/workers/w/drain",
                  {500, "x", "", ""},
                  4},
        exit_case{"error_not_run",
                  {"workers", "drain", "w"},
                  "POST /v1/workers/w/drain",
                  {500, R"({"not_run": true})", "", ""},
                  1},
        exit_case{"unavailable",
                  {"workers", "drain", "w"},
                  "POST /v1/workers/w/drain",
                  {503, "{}", "", "3"},
                  1},
        exit_case{"malformed_problem",
                  {"instances"},
                  "GET /v1/instances",
                  {400, R"({"code": 1, "findings": [2]})", "", ""},
                  1},
        exit_case{
            "not_json", {"instances"}, "GET /v1/instances", {200, "<html>", "", ""}, 1},
        exit_case{"write_not_json",
                  {"table", "delete", "p/k"},
                  "DELETE /v1/table/rows/p/k",
                  {200, "", "", ""},
                  4},
        exit_case{"version_conflict",
                  {"table", "set", "p/k", "weight", "2"},
                  "PATCH /v1/table/rows/p/k",
                  {412, "{}", "", ""},
                  1}),
    [](const testing::TestParamInfo<exit_case>& info) { return info.param.name; });

struct failover_case
{
    const char* name;
    std::vector<std::string> words;
    std::map<std::string, error_code> failures;
    int code;
    std::size_t sent;
};

class failover_test : public testing::TestWithParam<failover_case>
{
};

// Guards against a write that runs twice because it is retried on a second instance, and
// against a command that fails although another instance is available.
TEST_P(failover_test, unsafe_write_with_unknown_outcome_is_not_retried)
{
    command_run run;
    run.options.yes = true;
    run.options.partner = "p";
    run.options.kind = "k";
    run.options.memory = "1Gi";
    run.options.request_id = "r";
    if (GetParam().words[1] == "submit")
        run.options.given_flags = {"partner", "kind", "processors", "memory",
                                   "request_id"};
    if (GetParam().words[1] == "cancel")
        run.options.given_flags = {"partner", "kind"};
    run.instances.failures = GetParam().failures;
    run.instances.script["POST /v1/jobs"] = {{202, job("accepted"), "", ""}};
    run.instances.script["POST /v1/jobs/cancel"] = {{200, "{}", "", ""}};
    run.instances.script["GET /v1/jobs/1"] = {{200, job("done"), "", ""}};
    EXPECT_EQ(run.run(GetParam().words), GetParam().code) << run.err.str();
    EXPECT_EQ(run.instances.sent.size(), GetParam().sent);
}

constexpr error_code unavailable = error_code::unavailable;
constexpr error_code unknown_outcome = error_code::outcome_unknown;

INSTANTIATE_TEST_SUITE_P(
    failures, failover_test,
    testing::Values(
        failover_case{
            "read_unavailable", {"jobs", "show", "1"}, {{"a:1", unavailable}}, 0, 2},
        failover_case{"read_unknown_outcome",
                      {"jobs", "show", "1"},
                      {{"a:1", unknown_outcome}},
                      0,
                      2},
        failover_case{"read_no_instance_reachable",
                      {"jobs", "show", "1"},
                      {{"a:1", unavailable}, {"b:1", unknown_outcome}},
                      3,
                      2},
        failover_case{"submit_unknown_outcome",
                      {"jobs", "submit"},
                      {{"a:1", unknown_outcome}},
                      0,
                      2},
        failover_case{"submit_unknown_then_unavailable",
                      {"jobs", "submit"},
                      {{"a:1", unknown_outcome}, {"b:1", unavailable}},
                      4,
                      2},
        failover_case{"submit_no_instance_reachable",
                      {"jobs", "submit"},
                      {{"a:1", unavailable}, {"b:1", unavailable}},
                      3,
                      2},
        failover_case{
            "cancel_unavailable", {"jobs", "cancel"}, {{"a:1", unavailable}}, 0, 2},
        failover_case{"cancel_unknown_outcome",
                      {"jobs", "cancel"},
                      {{"a:1", unknown_outcome}},
                      4,
                      1}),
    [](const testing::TestParamInfo<failover_case>& info) { return info.param.name; });

// Guards against a command that stops at a draining instance (503, not run) although
// another instance is available, and against "not run" reported after an earlier attempt
// with an unknown outcome.
TEST(failover_test, not_run_response_fails_over_and_keeps_unknown_outcome)
{
    command_run run;
    run.instances.script["GET /v1/jobs/1"] = {{503, "{}", "", "1"},
                                              {200, job("done"), "", ""}};
    EXPECT_EQ(run.run({"jobs", "show", "1"}), 0);
    command_run other;
    other.options.given_flags = {"partner", "kind", "processors", "memory"};
    other.options.memory = "1";
    other.instances.failures = {{"a:1", unknown_outcome}};
    other.instances.script["POST /v1/jobs"] = {{503, R"({"not_run": true})", "", "1"}};
    EXPECT_EQ(other.run({"jobs", "submit"}), 4);
    EXPECT_NE(other.err.str().find("--request-id="), std::string::npos);
}

// Guards against an edit that resets the limits it does not name, or that is sent without
// If-Match.
TEST(table_test, table_set_keeps_other_limits)
{
    command_run run;
    run.options.token = "secret";
    run.instances.script["GET /v1/table"] = {{200, table, "\"7\"", ""}};
    run.instances.script["PATCH /v1/table/rows/p/k"] = {{200, table, "\"8\"", ""}};
    EXPECT_EQ(run.run({"table", "set", "p/k", "limits.queue_length", "5"}), 0);
    EXPECT_EQ(
        run.instances.sent.back(),
        R"(a:1 PATCH /v1/table/rows/p/k {"limits":{"accelerators":0,"memory":0,)"
        R"("processors":0,"queue_length":5,"tasks_per_second":0,"tasks_running":0}})");
    EXPECT_EQ(run.instances.headers["If-Match"], "\"7\"");
    EXPECT_EQ(run.instances.headers["Authorization"], "Bearer secret");
}

class table_apply_test : public testing::Test
{
protected:
    ~table_apply_test() override { std::remove(file.c_str()); }
    int apply(const std::string& text)
    {
        std::ofstream(file) << text;
        run.instances.script["GET /v1/table"] = {{200, table, "\"7\"", ""}};
        run.instances.script["PUT /v1/table"] = {{200, table, "\"8\"", ""}};
        return run.run({"table", "apply", file});
    }
    command_run run;
    std::string file =
        testing::TempDir() + "table_apply_test." + std::to_string(::getpid());
};

const std::string changed = "[[rows]]\npartner = \"p\"\nkind = \"k\"\nguaranteed = 0.2\n"
                            "[[rows]]\npartner = \"q\"\nkind = \"k\"\n";

// Guards against replacing the table without a confirmed diff.
TEST_F(table_apply_test, table_replacement_needs_confirmation)
{
    EXPECT_EQ(apply(changed), 2);
    EXPECT_EQ(run.instances.sent.size(), 1U);
    run.interactive = true;
    run.in.str("n\n");
    EXPECT_EQ(apply(changed), 1);
    EXPECT_EQ(run.instances.sent.size(), 2U);
    run.err.str("");
    run.in.clear();
    run.in.str("y\n");
    EXPECT_EQ(apply(changed), 0);
    EXPECT_EQ(run.instances.sent.back().substr(0, 17), "a:1 PUT /v1/table");
    EXPECT_TRUE(run.err.str().starts_with("~ p/k: guaranteed: 0.1 -> 0.2\n+ q/k\n"))
        << run.err.str();
}

// Guards against an edit without changes, which would create a new table version.
TEST_F(table_apply_test, unchanged_table_is_not_sent)
{
    EXPECT_EQ(apply("[[rows]]\npartner = \"p\"\nkind = \"k\"\nguaranteed = 0.1\n"), 0);
    EXPECT_EQ(run.instances.sent.size(), 1U);
}

// Guards against reporting only the first error in a table file.
TEST_F(table_apply_test, all_errors_of_the_file_are_reported)
{
    run.options.yes = true;
    EXPECT_EQ(apply("[[rows]]\npartner = \"\"\nkind = \"k\"\nweight = 0\n"
                    "[rows.limits]\nqueue = 1\n"),
              2);
    EXPECT_EQ(run.instances.sent.size(), 0U);
    const std::string text = run.err.str();
    EXPECT_NE(text.find(":2: rows[0].partner: is empty"), std::string::npos) << text;
    EXPECT_NE(text.find(":4: rows[0].weight: is 0"), std::string::npos) << text;
    EXPECT_NE(text.find(":6: rows[0].limits.queue: is an unknown key"),
              std::string::npos);
}

// Guards against a watch that misses changes, repeats lines or does not terminate.
TEST(jobs_test, watch_prints_each_change_once_and_ends)
{
    command_run run;
    run.instances.script["GET /v1/jobs/1"] = {{200, job("accepted"), "", ""},
                                              {200, job("accepted"), "", ""},
                                              {200, job("done"), "", ""}};
    EXPECT_EQ(run.run({"jobs", "watch", "1"}), 0);
    EXPECT_EQ(run.sleeps, 2);
    EXPECT_EQ(run.out.str(), "1 accepted: 0 waiting, 0 running, 0 ended\n"
                             "1 done: 0 waiting, 0 running, 0 ended\n");
}

// Guards against unreadable table cells: whole lists, raw bytes and raw milliseconds.
TEST(output_test, table_cells_show_list_lengths_units_and_dates)
{
    command_run run;
    run.instances.script["GET /v1/workers"] = {
        {200,
         R"({"workers": [{"id": "w", "leaving": false, "tasks": 2, "capacity": "?",
             "free": {"processors": 1.5, "memory": 1610612736, "accelerators": 1}}]})",
         "", ""}};
    run.instances.script["GET /v1/instances"] = {
        {200, R"({"instances": [{"id": "a", "partitions": [1, 2]}, 7]})", "", ""}};
    run.instances.script["GET /v1/table/history"] = {
        {200, R"({"edits": [{"version": 1, "accepted_ms": 0}]})", "", ""}};
    EXPECT_EQ(run.run({"workers", "list"}) + run.run({"instances"}) +
                  run.run({"table", "history"}),
              0);
    EXPECT_NE(run.out.str().find("1.5 cores 1.5 GiB 1 acc.  ?"), std::string::npos);
    EXPECT_NE(run.out.str().find("a         -       -     -      -      -       2  "),
              std::string::npos)
        << run.out.str();
    EXPECT_NE(run.out.str().find("1970-01-01T00:00:00.000Z"), std::string::npos);
}

struct usage_case
{
    std::vector<std::string> words;
    std::set<std::string> given_flags;
    std::string output = "table";
};

class usage_test : public testing::TestWithParam<usage_case>
{
};

// Guards against sending a request for an invalid command line.
TEST_P(usage_test, invalid_command_line_sends_no_request)
{
    command_run run;
    run.options.given_flags = GetParam().given_flags;
    run.options.output = GetParam().output;
    EXPECT_EQ(run.run(GetParam().words), 2);
    EXPECT_TRUE(run.instances.sent.empty());
    EXPECT_FALSE(run.err.str().empty());
}

INSTANTIATE_TEST_SUITE_P(
    faults, usage_test,
    testing::Values(
        usage_case{{"tables"}, {}}, usage_case{{"jobs", "show"}, {}},
        usage_case{{"instances", "x"}, {}}, usage_case{{"instances"}, {"yes"}},
        usage_case{{"instances"}, {}, "html"}, usage_case{{"jobs", "cancel"}, {}},
        usage_case{{"jobs", "cancel", "1"}, {"partner"}},
        usage_case{{"jobs", "cancel"}, {"kind"}},
        usage_case{{"jobs", "submit"}, {"partner"}},
        usage_case{{"table", "set", "row", "f", "1"}, {}},
        usage_case{{"report", "record"}, {}}, usage_case{{"report", "burn"}, {}}));

// Guards against losing the samples of all instances when one is unavailable, and against
// a recording that the report cannot parse.
TEST(report_test, burn_report_reads_recorded_samples)
{
    command_run run;
    const std::string file =
        testing::TempDir() + "record_test." + std::to_string(::getpid());
    run.options.file = file;
    run.options.count = 2;
    run.options.objectives = HAWTHORNBEAM_SOURCE "/examples/objectives.toml";
    run.instances.script["GET /v1/instances"] = {
        {200,
         R"({"instances": [{"id": "a", "http": "a:1"}, {"id": "c", "http": "c:1"},
             {"id": "d", "http": "d:1", "state": "dead"}]})",
         "", ""}};
    run.instances.failures = {{"c:1", unavailable}};
    run.instances.script["GET /v1/metrics/snapshot"] = {
        {200, "hawthornbeam-metrics 1 140\nend 0\n", "", ""}};
    EXPECT_EQ(run.run({"report", "record"}), 0) << run.err.str();
    EXPECT_EQ(run.sleeps, 1);
    EXPECT_TRUE(run.out.str().empty());
    EXPECT_EQ(run.run({"report", "burn"}), 0) << run.err.str();
    std::remove(file.c_str());
    // The manual clock gives both samples the same time, so the second one is reported as
    // a finding.
    EXPECT_NE(run.out.str().find("1 samples of 1 instances"), std::string::npos);
    EXPECT_NE(run.out.str().find("not after the last sample of a"), std::string::npos);
}

} // namespace
} // namespace hawthornbeam
