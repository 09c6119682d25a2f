/// \file
/// Tests the lookup of ascending keys.
#include "lib/cell/sorted_walk.hpp"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace hawthornbeam::cell
{

namespace
{

/// The keys of a container, and those that are looked up in it.
struct lookup_case
{
    const char* name;
    std::set<int> keys;
    std::vector<int> looked_up;
    std::vector<int> found;
};

void PrintTo(const lookup_case& value, std::ostream* out)
{
    *out << value.name;
}

class sorted_walk_test : public testing::TestWithParam<lookup_case>
{
};

TEST_P(sorted_walk_test, skips_no_key_that_is_present)
{
    std::map<int, std::string> values;
    for (const int key : GetParam().keys)
        values[key] = std::to_string(key);
    sorted_walk<std::set<int>> keys(GetParam().keys);
    sorted_walk<std::map<int, std::string>> entries(values);
    std::vector<int> found;
    for (const int key : GetParam().looked_up)
    {
        const int* const present = keys.find(key);
        const std::pair<const int, std::string>* const entry = entries.find(key);
        ASSERT_EQ(present == nullptr, entry == nullptr);
        if (present == nullptr)
            continue;
        found.push_back(*present);
        EXPECT_EQ(entry->second, std::to_string(key));
    }
    EXPECT_EQ(found, GetParam().found);
}

INSTANTIATE_TEST_SUITE_P(
    containers, sorted_walk_test,
    testing::Values(lookup_case{"empty", {}, {1, 2}, {}},
                    lookup_case{"all_present", {1, 2, 3}, {1, 2, 3}, {1, 2, 3}},
                    lookup_case{
                        "gaps_on_both_sides", {2, 5, 9}, {1, 2, 4, 9, 10}, {2, 9}},
                    lookup_case{"equal_keys", {4}, {4, 4, 5}, {4, 4}}),
    [](const testing::TestParamInfo<lookup_case>& each)
    { return std::string(each.param.name); });

} // namespace

} // namespace hawthornbeam::cell
