/// \file
/// Tests of rendezvous hashing.
#include "hawthornbeam/membership/rendezvous.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace hawthornbeam
{
namespace
{

std::vector<instance_id> make_candidates(int count)
{
    std::vector<instance_id> list;
    for (int i = 0; i < count; ++i)
        list.emplace_back(fmt::format("entry-{}", i));
    return list;
}

// Guards against keys that change their owner although it is still a candidate.
TEST(rendezvous_test, only_keys_of_a_removed_candidate_move)
{
    const std::vector<instance_id> all = make_candidates(9);
    std::vector<instance_id> fewer = all;
    fewer.erase(fewer.begin() + 4);
    for (int key = 0; key < 2000; ++key)
    {
        const std::string text = std::to_string(key);
        const instance_id owner = rendezvous_owner(text, all);
        const std::vector<instance_id> order = rendezvous_order(text, all);
        EXPECT_EQ(owner, order.front());
        EXPECT_EQ(rendezvous_owner(text, fewer), owner == all[4] ? order[1] : owner);
    }
}

// Guards against an instance that owns far more keys than others, and against a result
// that depends on the order of the candidates.
TEST(rendezvous_test, keys_are_spread_evenly)
{
    const std::vector<instance_id> all = make_candidates(9);
    const std::vector<instance_id> reversed(all.rbegin(), all.rend());
    std::map<instance_id, int> owned;
    for (int key = 0; key < 9000; ++key)
    {
        const instance_id owner = rendezvous_owner(std::to_string(key), all);
        EXPECT_EQ(owner, rendezvous_owner(std::to_string(key), reversed));
        ++owned[owner];
    }
    for (const auto& [id, keys] : owned)
        EXPECT_NEAR(keys, 1000, 150) << id.value();
    EXPECT_TRUE(rendezvous_owner("key", {}).empty());
}

} // namespace
} // namespace hawthornbeam
