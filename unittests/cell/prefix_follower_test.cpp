/// \file
/// Tests that a follower of a prefix misses no change when the store fails.
#include "hawthornbeam/cell/prefix_follower.hpp"

#include "memory_store.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A fault of the store while a key changes.
struct store_fault
{
    std::string name;
    store_condition condition = store_condition::well;
    bool forgets_history = false;
};

void PrintTo(const store_fault& value, std::ostream* out)
{
    *out << value.name;
}

class prefix_follower_test : public testing::TestWithParam<store_fault>
{
protected:
    void put(const std::string& key, const std::string& value)
    {
        ++state.revision;
        state.put(key, value, lease_id());
    }
    void record(const store_item& item) { values[item.key] = item.value; }

    manual_event_loop loop;
    memory_store_state state{loop};
    memory_store store{state};
    std::map<std::string, std::string> values;
    std::vector<std::string> changes; ///< Values in the order of their arrival.
    prefix_follower follower{loop,
                             store,
                             "a/",
                             {milliseconds(1000), duration::zero()},
                             {[this](const store_listing& listing)
                              {
                                  values.clear();
                                  for (const store_item& item : listing.items)
                                      record(item);
                              },
                              [this](const std::vector<store_event>& events)
                              {
                                  for (const store_event& event : events)
                                  {
                                      record(event.item);
                                      changes.push_back(event.item.value);
                                  }
                              }}};
};

TEST_P(prefix_follower_test, a_change_arrives_within_two_seconds_despite_a_store_fault)
{
    put("a/1", "old");
    put("b/1", "other");
    follower.start();
    loop.advance(milliseconds(500));
    ASSERT_EQ(values.at("a/1"), "old");
    store.condition = GetParam().condition;
    put("a/1", "new");
    if (GetParam().forgets_history)
        state.forget_history();
    loop.advance(milliseconds(1200));
    store.condition = store_condition::well;
    loop.advance(milliseconds(800));
    EXPECT_EQ(values.at("a/1"), "new");
    EXPECT_FALSE(values.contains("b/1"));
}

INSTANTIATE_TEST_SUITE_P(
    faults, prefix_follower_test,
    testing::Values(store_fault{"none"},
                    store_fault{"cut watches", store_condition::cutting_watches},
                    store_fault{"refused calls", store_condition::refusing},
                    store_fault{"lost answers", store_condition::losing_answers},
                    store_fault{"lost history", store_condition::well, true},
                    store_fault{"refused calls, lost history", store_condition::refusing,
                                true}),
    [](const testing::TestParamInfo<store_fault>& each)
    {
        std::string name = each.param.name;
        std::erase(name, ',');
        std::ranges::replace(name, ' ', '_');
        return name;
    });

// Every call loads the store, so keys must not be listed again when nothing was lost.
TEST_F(prefix_follower_test, keys_are_listed_once_when_no_change_is_lost)
{
    follower.start();
    loop.advance(seconds(30));
    put("a/1", "1");
    put("a/1", "2");
    loop.advance(seconds(2));
    EXPECT_EQ(state.lists, 1U);
    EXPECT_EQ(changes, (std::vector<std::string>{"1", "2"}));
}

TEST_F(prefix_follower_test, changes_that_take_long_to_transfer_are_not_asked_for_forever)
{
    follower.start();
    loop.advance(milliseconds(500));
    state.page_items = 5;
    store.page_time = milliseconds(500);
    for (int number = 0; number < 20; ++number)
        put("a/" + std::to_string(number), "new");
    loop.advance(seconds(6));
    EXPECT_EQ(values.size(), 20U);
}

TEST_F(prefix_follower_test, reports_until_when_no_change_can_be_missing)
{
    EXPECT_EQ(follower.reported_until(), boot_time());
    follower.start();
    loop.advance(seconds(5));
    EXPECT_LE(loop.clock().now() - follower.reported_until(), milliseconds(1100));
    store.condition = store_condition::refusing;
    loop.advance(seconds(5));
    EXPECT_GE(loop.clock().now() - follower.reported_until(), milliseconds(3900));
    store.condition = store_condition::well;
    loop.advance(seconds(2));
    EXPECT_LE(loop.clock().now() - follower.reported_until(), milliseconds(1100));
}

} // namespace

} // namespace hawthornbeam::cell
