/// \file
/// Tests of table_store: edits, watches and polls while the key-value service is faulty.
#include "hawthornbeam/table/table_store.hpp"
#include "test/standins/fake_kv.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

using kind = edit_outcome::kind;
using standins::fake_kv_service;
using standins::fake_kv_store;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<table_row> rows_with_weight(double weight)
{
    table_row row;
    row.id = row_id("p/k");
    row.weight = weight;
    return {row};
}

/// A table_store with its own connection to the shared key-value store.
struct editor
{
    editor(manual_event_loop& event_loop, const std::shared_ptr<fake_kv_store>& shared,
           std::uint64_t seed)
        : loop(event_loop), kv(event_loop, shared),
          log(event_loop.clock(), "test", log_level::error, [](const std::string&) {}),
          store(kv, event_loop, log, options_with(seed))
    {
    }

    static table_store::options options_with(std::uint64_t seed)
    {
        table_store::options settings;
        settings.seed = seed;
        settings.self = instance_id(fmt::format("entry-{}", seed));
        return settings;
    }
    void start_edit(double weight, std::uint64_t if_match)
    {
        outcome.reset();
        store.replace(rows_with_weight(weight), table_version(if_match), "ops",
                      [this](const edit_outcome& found)
                      {
                          ++outcome_count;
                          outcome = found;
                      });
    }
    kind edit(double weight, std::uint64_t if_match)
    {
        start_edit(weight, if_match);
        loop.advance(seconds(10));
        return outcome ? outcome->what : kind::unknown;
    }

    manual_event_loop& loop;
    fake_kv_service kv;
    logger log;
    table_store store;
    std::optional<edit_outcome> outcome;
    int outcome_count = 0;
};

class table_store_test : public testing::Test
{
protected:
    operators_table stored() const
    {
        return *parse_table_json(shared->state.read("table")->value).table;
    }
    std::vector<operators_table> history(editor& reader, std::size_t max_entries)
    {
        std::vector<operators_table> found;
        reader.store.history(max_entries,
                             [&found](const result<std::vector<operators_table>>& h)
                             { found = h.value(); });
        loop.advance(seconds(1));
        return found;
    }

    manual_event_loop loop;
    std::shared_ptr<fake_kv_store> shared = std::make_shared<fake_kv_store>();
    editor first{loop, shared, 1};
    editor second{loop, shared, 2};
};

// Guards against concurrent edits that overwrite each other, and against storing faulty
// rows.
TEST_F(table_store_test, concurrent_edits_of_one_version_accept_only_one)
{
    EXPECT_EQ(first.edit(2, 0), kind::accepted);
    EXPECT_EQ(first.kv.total_calls(), 3U);
    EXPECT_EQ(second.edit(3, 0), kind::stale);
    EXPECT_EQ(second.outcome->current.version, table_version(1));
    first.start_edit(4, 1);
    second.start_edit(5, 1);
    loop.advance(seconds(1));
    EXPECT_NE(first.outcome->what == kind::accepted,
              second.outcome->what == kind::accepted);
    EXPECT_EQ(first.outcome->current.version, table_version(2));
    EXPECT_EQ(second.outcome->current.version, table_version(2));
    EXPECT_EQ(first.edit(-1, 2), kind::faulty);
    EXPECT_EQ(stored().version, table_version(2));
}

struct edit_fault
{
    const char* name;
    void (*cause)(editor&);
    /// With 2 the outage begins before the write takes effect, with 4 after it.
    int outage_at_ms;
    int outage_ms; ///< -1 means that the outage does not end.
    kind expected;
    bool is_written;
};

class edit_fault_test : public table_store_test,
                        public testing::WithParamInterface<edit_fault>
{
};

// Guards against an edit that is reported as accepted but was not written, or as not
// written although it was, after lost or late calls and outages.
TEST_P(edit_fault_test, reported_outcome_matches_stored_table)
{
    ASSERT_EQ(first.edit(2, 0), kind::accepted);
    GetParam().cause(first);
    first.kv.faults().latency = milliseconds(2);
    first.start_edit(7, 1);
    loop.advance(milliseconds(GetParam().outage_at_ms));
    shared->is_down = GetParam().outage_ms != 0;
    if (GetParam().outage_ms >= 0)
    {
        loop.advance(milliseconds(GetParam().outage_ms));
        shared->is_down = false;
    }
    loop.advance(seconds(10));
    ASSERT_TRUE(first.outcome.has_value());
    EXPECT_EQ(first.outcome->what, GetParam().expected);
    EXPECT_EQ(stored().version, table_version(GetParam().is_written ? 2 : 1));
    EXPECT_EQ(first.outcome_count, 2);
}

INSTANTIATE_TEST_SUITE_P(
    faults, edit_fault_test,
    testing::Values(
        edit_fault{"answer_lost", [](editor& e) { e.kv.faults().lost_answers = 1; }, 4, 0,
                   kind::accepted, true},
        edit_fault{"answers_lost", [](editor& e) { e.kv.faults().lost_answers = 4; }, 4,
                   0, kind::accepted, true},
        edit_fault{"write_lost", [](editor& e) { e.kv.faults().lost_writes = 2; }, 4, 0,
                   kind::accepted, true},
        edit_fault{"write_late", [](editor& e) { e.kv.faults().delayed_writes = 1; }, 4,
                   0, kind::accepted, true},
        edit_fault{"outage", [](editor&) {}, 2, 2000, kind::accepted, true},
        edit_fault{"long_outage", [](editor&) {}, 2, -1, kind::unavailable, false},
        edit_fault{"lost_then_outage", [](editor& e) { e.kv.faults().lost_answers = 1; },
                   4, 2000, kind::accepted, true},
        edit_fault{"lost_then_long_outage",
                   [](editor& e) { e.kv.faults().lost_answers = 1; }, 4, -1,
                   kind::unknown, true}),
    [](const testing::TestParamInfo<edit_fault>& tested) { return tested.param.name; });

class lost_response_test : public table_store_test,
                           public testing::WithParamInterface<bool>
{
};

// Guards against an edit reported as stale although it was accepted and then replaced, or
// as accepted although it was never written. Both can happen when the response to its
// write is lost and other edits follow.
TEST_P(lost_response_test, edit_with_lost_response_is_resolved_from_history)
{
    ASSERT_EQ(first.edit(2, 0), kind::accepted);
    (GetParam() ? first.kv.faults().lost_answers : first.kv.faults().lost_writes) = 1;
    first.kv.faults().latency = milliseconds(2);
    first.start_edit(7, 1);
    loop.advance(milliseconds(2));
    first.kv.faults().holds_answers = true;
    loop.advance(milliseconds(2)); // The response to the write is delayed.
    const std::uint64_t next = GetParam() ? 2 : 1;
    ASSERT_EQ(stored().version.value(), next);
    for (std::uint64_t i = next; i < next + 3; ++i)
        ASSERT_EQ(second.edit(3, i), kind::accepted);
    first.kv.release_held();
    loop.advance(seconds(10));
    EXPECT_EQ(first.outcome->what, GetParam() ? kind::accepted : kind::stale)
        << first.outcome->message;
    EXPECT_EQ(first.outcome->current.version, table_version(next + 3));
}

INSTANTIATE_TEST_SUITE_P(takes_effect, lost_response_test, testing::Bool());

// Guards against a history entry that stays missing because the process that made the
// edit ended before writing it.
TEST_F(table_store_test, next_edit_writes_missing_history_entry)
{
    ASSERT_EQ(first.edit(2, 0), kind::accepted);
    const kv_entry entry = *shared->state.read("table_history/1");
    ASSERT_TRUE(shared->state.remove(entry.key, entry.revision));
    ASSERT_EQ(second.edit(3, 1), kind::accepted);
    const std::vector<operators_table> found = history(second, 10);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].version, table_version(2));
    EXPECT_EQ(found[1].rows, rows_with_weight(2));
}

// Guards against a history that grows without bound, including after a failed deletion.
TEST_F(table_store_test, history_is_limited_to_fifty_edits)
{
    for (std::uint64_t i = 0; i < 60; ++i)
    {
        first.kv.faults().rejected_removes = i == 53 ? 1 : 0;
        ASSERT_EQ(first.edit(2, i), kind::accepted);
    }
    EXPECT_EQ(shared->state.list("table_history/").size(), 50U);
    const std::uint64_t calls = first.kv.total_calls();
    ASSERT_EQ(first.edit(2, 60), kind::accepted);
    EXPECT_EQ(first.kv.total_calls() - calls, 6U);
    ASSERT_EQ(second.edit(2, 61), kind::accepted);
    // One more call than before, for the history entry of the other store's edit.
    EXPECT_EQ(second.kv.total_calls(), 7U);
    ASSERT_EQ(first.edit(2, 62), kind::accepted);
    EXPECT_EQ(history(first, 100).size(), 50U);
    EXPECT_EQ(history(first, 3).front().version, table_version(63));
}

// Guards against installing or overwriting a stored table that is damaged or has a newer
// format.
TEST_F(table_store_test, unreadable_table_is_neither_installed_nor_overwritten)
{
    ASSERT_TRUE(
        shared->state.write("table", R"({"format": 9, "rows": []})", kv_revision()));
    EXPECT_EQ(first.edit(2, 0), kind::unavailable);
    EXPECT_NE(first.outcome->message.find("key table"), std::string::npos);
    first.store.start();
    loop.advance(seconds(1));
    EXPECT_EQ(first.store.current().version, table_version());
    EXPECT_EQ(shared->state.read("table")->value, R"({"format": 9, "rows": []})");
}

// Guards against a peer with a stale table reverting weights and limits to older values.
TEST_F(table_store_test, older_or_equal_version_is_not_installed)
{
    int installed = 0;
    first.store.on_installed([&](const operators_table&) { ++installed; });
    operators_table table;
    for (const std::uint64_t version : {5, 4, 5, 6})
    {
        table.version = table_version(version);
        first.store.install(table);
    }
    EXPECT_EQ(installed, 2);
    EXPECT_EQ(first.store.current().version, table_version(6));
}

struct watch_fault
{
    int broken;
    int skipped;
    int outage_ms;
};

class watch_test : public table_store_test,
                   public testing::WithParamInterface<watch_fault>
{
};

// Guards against missed changes after a watch that failed or skipped revisions, and
// against calls without a pause while the service is unavailable.
TEST_P(watch_test, changes_are_installed_after_failed_watch)
{
    first.kv.faults().broken_watches = GetParam().broken;
    first.kv.faults().skipped_watches = GetParam().skipped;
    first.store.set_watching(true);
    shared->is_down = GetParam().outage_ms > 0;
    loop.advance(milliseconds(GetParam().outage_ms));
    shared->is_down = false;
    EXPECT_LE(first.kv.total_calls(), 20U);
    // The back-off after an outage is at most 60 s plus 50 % jitter.
    loop.advance(seconds(90));
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        ASSERT_EQ(second.edit(2, i), kind::accepted);
        EXPECT_EQ(first.store.current().version, table_version(i + 1));
    }
    first.store.set_watching(false);
    const std::uint64_t calls = first.kv.total_calls();
    loop.advance(seconds(100));
    EXPECT_EQ(first.kv.total_calls(), calls);
}

INSTANTIATE_TEST_SUITE_P(faults, watch_test,
                         testing::Values(watch_fault{0, 0, 0}, watch_fault{3, 0, 0},
                                         watch_fault{0, 2, 0},
                                         watch_fault{0, 0, 600000}));

// Guards against a burst of calls when all instances retry at the same time after an
// outage.
TEST_F(table_store_test, polls_of_all_instances_are_spread_after_outage)
{
    std::vector<std::unique_ptr<editor>> instances;
    for (std::uint64_t seed = 10; seed < 110; ++seed)
        instances.push_back(std::make_unique<editor>(loop, shared, seed));
    shared->is_down = true;
    for (const std::unique_ptr<editor>& instance : instances)
        instance->store.start();
    loop.advance(std::chrono::minutes(30));
    shared->is_down = false;
    const auto calls = [&instances]
    {
        std::uint64_t sum = 0;
        for (const std::unique_ptr<editor>& instance : instances)
            sum += instance->kv.total_calls();
        return sum;
    };
    std::uint64_t max_calls = 0;
    for (int second_number = 0; second_number < 120; ++second_number)
    {
        const std::uint64_t before = calls();
        loop.advance(seconds(1));
        max_calls = std::max(max_calls, calls() - before);
    }
    EXPECT_LE(max_calls, 10U); // 100 instances poll over 60 s.
    for (const std::unique_ptr<editor>& instance : instances)
        EXPECT_NE(instance->store.last_answer(), boot_time::min());
}

} // namespace
} // namespace hawthornbeam
