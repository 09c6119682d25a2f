/// \file
/// Tests of the validation, JSON form, row patches and differences of the operators'
/// table.
#include "hawthornbeam/table/table.hpp"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

table_row make_row(const char* id)
{
    table_row row;
    row.id = row_id(id);
    return row;
}

std::vector<std::string> places(const findings& faults)
{
    std::vector<std::string> found;
    for (const finding& fault : faults)
        found.push_back(fault.place);
    return found;
}

struct row_fault
{
    const char* name;
    void (*break_row)(table_row&);
    const char* place;
};

class row_check_test : public testing::TestWithParam<row_fault>
{
};

// Guards against a faulty row that passes validation.
TEST_P(row_check_test, faulty_row_is_reported_by_json_pointer)
{
    std::vector<table_row> rows{make_row("z/k"), make_row("a/k")};
    GetParam().break_row(rows[0]);
    EXPECT_EQ(places(check_rows(rows)), std::vector<std::string>{GetParam().place});
}

INSTANTIATE_TEST_SUITE_P(
    faults, row_check_test,
    testing::Values(
        row_fault{"slash", [](table_row& r) { r.id = row_id("a/b/c"); }, "/rows/0/kind"},
        row_fault{"no_slash", [](table_row& r) { r.id = row_id("ab"); }, "/rows/0/kind"},
        row_fault{"space", [](table_row& r) { r.id = row_id("a b/c"); },
                  "/rows/0/partner"},
        row_fault{"zero", [](table_row& r) { r.weight = 0; }, "/rows/0/weight"},
        row_fault{"nan", [](table_row& r) { r.weight = NAN; }, "/rows/0/weight"},
        row_fault{"infinite", [](table_row& r) { r.weight = INFINITY; },
                  "/rows/0/weight"},
        row_fault{"guarantee_nan", [](table_row& r) { r.guaranteed = NAN; },
                  "/rows/0/guaranteed"},
        row_fault{"negative", [](table_row& r) { r.guaranteed = -0.1; },
                  "/rows/0/guaranteed"},
        row_fault{"urgency", [](table_row& r) { r.priority = urgency(10); },
                  "/rows/0/urgency"},
        row_fault{"memory",
                  [](table_row& r) { r.limits.running.memory = byte_count(-1); },
                  "/rows/0/limits/memory"},
        row_fault{"processors",
                  [](table_row& r)
                  { r.limits.running.processors = millicores(INT64_MAX); },
                  "/rows/0/limits/processors"},
        row_fault{"gang_rate",
                  [](table_row& r)
                  {
                      r.kind = workload::gang;
                      r.limits.tasks_per_second = 5;
                  },
                  "/rows/0/limits/tasks_per_second"},
        row_fault{"request_queue",
                  [](table_row& r)
                  {
                      r.kind = workload::request;
                      r.limits.queue_length = 200000;
                  },
                  "/rows/0/limits/queue_length"},
        row_fault{"service",
                  [](table_row& r)
                  {
                      r.kind = workload::service;
                      r.disruption_limit = 0;
                  },
                  "/rows/0/disruption_limit"},
        row_fault{"duplicate", [](table_row& r) { r.id = row_id("a/k"); }, "/rows/1"}),
    [](const testing::TestParamInfo<row_fault>& tested) { return tested.param.name; });

// Guards against validation that stops at the first fault, against guarantees that
// exceed the cluster, and against rounding errors that reject guarantees of exactly the
// whole cluster.
TEST(table_test, all_faults_of_all_rows_are_reported)
{
    std::vector<table_row> rows{make_row("a/k"), make_row("b/k"), make_row("c/!")};
    rows[0].guaranteed = 0.6;
    rows[1].guaranteed = 0.6;
    rows[1].weight = -1;
    EXPECT_EQ(places(check_rows(rows)),
              (std::vector<std::string>{"/rows/1/weight", "/rows/2/kind", "/rows"}));
    std::vector<table_row> tenths;
    for (char c = 'a'; c < 'k'; ++c)
        tenths.push_back(make_row((std::string(1, c) + "/k").c_str()));
    for (table_row& row : tenths)
        row.guaranteed = 0.1;
    EXPECT_TRUE(check_rows(tenths).empty());
}

operators_table sample_table()
{
    operators_table table;
    table.version = table_version(7);
    table.change = change_id("entry-1:42");
    table.author = "ops";
    table.accepted = wall_time(std::chrono::milliseconds(1700000000000));
    table.rows = {make_row("p/a"), make_row("p/b")};
    table.rows[1].weight = 0.1;
    table.rows[1].kind = workload::service;
    table.rows[1].limits.running =
        resources{millicores(1001), byte_count(1), accelerator_count(3)};
    return table;
}

// Guards against values that change when a table is serialized and parsed again.
TEST(table_test, table_is_unchanged_by_json_round_trip)
{
    const operators_table table = sample_table();
    for (const std::string& text : {to_json(table), to_stored_json(table)})
    {
        const parsed_table parsed = parse_table_json(text);
        ASSERT_TRUE(parsed.table.has_value()) << parsed.faults.front().text();
        EXPECT_EQ(parsed.table->rows, table.rows);
        EXPECT_EQ(parsed.table->version, table.version);
        EXPECT_EQ(parsed.table->change, table.change);
        EXPECT_EQ(parsed.table->author, table.author);
        EXPECT_EQ(parsed.table->accepted, table.accepted);
    }
}

struct bad_json
{
    const char* text;
    std::vector<std::string> places;
};

class bad_table_test : public testing::TestWithParam<bad_json>
{
};

// Guards against misspelt fields that are ignored, wrong types that terminate the
// process, and tables of a newer format that are misread.
TEST_P(bad_table_test, malformed_table_is_reported_by_json_pointer)
{
    const parsed_table parsed = parse_table_json(GetParam().text);
    EXPECT_FALSE(parsed.table.has_value());
    EXPECT_EQ(places(parsed.faults), GetParam().places);
}

INSTANTIATE_TEST_SUITE_P(
    texts, bad_table_test,
    testing::Values(
        bad_json{"", {""}}, bad_json{"[]", {""}}, bad_json{"{\"rows\": [", {""}},
        bad_json{"{}", {"/rows"}}, bad_json{R"({"rows": 3})", {"/rows"}},
        bad_json{R"({"format": 2, "rows": {}})", {"/format"}},
        bad_json{R"({"version": -1, "rows": []})", {"/version"}},
        bad_json{R"({"rows": [], "a/b": 1})", {"/a~1b"}},
        bad_json{R"({"rows": [3]})", {"/rows/0"}},
        bad_json{R"({"rows": [{"kind": "k", "weigth": 1}]})",
                 {"/rows/0/weigth", "/rows/0/partner"}},
        bad_json{R"({"rows": [{"partner": 1, "kind": "k", "weight": "1",
                               "urgency": 300, "workload": "x", "limits": 1}]})",
                 {"/rows/0/partner", "/rows/0/weight", "/rows/0/urgency",
                  "/rows/0/workload", "/rows/0/limits"}},
        bad_json{R"({"rows": [{"partner": "p", "kind": "k", "weight": 1e999}]})", {""}},
        bad_json{R"({"rows": [{"partner": "p", "kind": "k",
                               "limits": {"processors": 1e300, "memory": 1.5}}]})",
                 {"/rows/0/limits/processors", "/rows/0/limits/memory"}},
        bad_json{R"({"rows": [{"partner": "p", "kind": "k", "limits":
                               {"memory": -1, "tasks_running": -1, "x": 1}}]})",
                 {"/rows/0/limits/x", "/rows/0/limits/tasks_running"}}));

struct row_patch
{
    const char* row;
    const char* text;
    std::vector<std::string> places;
    std::size_t rows;
};

class patch_test : public testing::TestWithParam<row_patch>
{
};

// Guards against patches that reset fields they do not name, change other rows, change
// the row id or make the table invalid.
TEST_P(patch_test, patch_changes_only_the_named_row)
{
    operators_table before = sample_table();
    before.rows[0].guaranteed = 0.7;
    const parsed_rows patched =
        patch_row(before.rows, row_id(GetParam().row), GetParam().text);
    EXPECT_EQ(places(patched.faults), GetParam().places);
    ASSERT_EQ(patched.rows.has_value(), GetParam().places.empty());
    if (!patched.rows)
        return;
    EXPECT_EQ(patched.rows->size(), GetParam().rows);
    EXPECT_EQ(patched.rows->front(), before.rows.front());
}

INSTANTIATE_TEST_SUITE_P(
    patches, patch_test,
    testing::Values(row_patch{"p/b", R"({"weight": 2})", {}, 2},
                    row_patch{
                        "p/b", R"({"limits": {"memory": 5}, "weight": null})", {}, 2},
                    row_patch{"p/new", "{}", {}, 3},
                    row_patch{"p/b", R"({"kind": "c"})", {"/kind"}, 0},
                    row_patch{"p/b", R"({"weight": -2})", {"/weight"}, 0},
                    row_patch{"p/b", R"({"wieght": 2})", {"/wieght"}, 0},
                    row_patch{"p/b", R"({"guaranteed": 0.4})", {"/rows"}, 0},
                    row_patch{"bad", "{}", {"/kind"}, 0},
                    row_patch{"p/b", "[1]", {""}, 0}));

// Guards against an audit record that omits an added row, a removed row or a changed
// field.
TEST(table_test, difference_lists_changed_rows_and_fields)
{
    const operators_table before = sample_table();
    operators_table after = before;
    after.rows = {before.rows[1], make_row("p/c")};
    after.rows[0].weight = 3;
    after.rows[0].limits.queue_length = 5;
    const table_difference found = difference(before, after);
    EXPECT_EQ(found.added, std::vector<row_id>{row_id("p/c")});
    EXPECT_EQ(found.removed, std::vector<row_id>{row_id("p/a")});
    EXPECT_EQ(found.changed, (std::vector<changed_field>{
                                 {row_id("p/b"), "limits/queue_length", "1000", "5"},
                                 {row_id("p/b"), "weight", "0.1", "3.0"}}));
}

} // namespace
} // namespace hawthornbeam
