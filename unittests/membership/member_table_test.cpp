/// \file
/// Tests of the order between statements about a member.
#include "lib/membership/member_table.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

using effect = member_table::merge_effect;

const boot_time now{std::chrono::seconds(1)};

member_update make_update(const char* id, std::uint64_t life, liveness status)
{
    member subject;
    subject.id = instance_id(id);
    subject.life = incarnation(life);
    return member_update{subject, status, false};
}

struct merge_case
{
    const char* name;
    liveness known; ///< In incarnation 5.
    std::uint64_t life;
    liveness status;
    bool from_sync;
    effect expected;
    liveness left;
};

class merge_test : public testing::TestWithParam<merge_case>
{
};

// Guards against old news that overrides newer news, and against a refutation without
// effect.
TEST_P(merge_test, follows_incarnation_and_standing)
{
    const merge_case& tried = GetParam();
    member self;
    self.id = instance_id("self");
    member_table table(self);
    table.merge(make_update("other", 5, liveness::alive), false, now);
    table.merge(make_update("other", 5, tried.known), false, now);
    EXPECT_EQ(
        table.merge(make_update("other", tried.life, tried.status), tried.from_sync, now),
        tried.expected);
    EXPECT_EQ(table.find(instance_id("other"))->status, tried.left);
    EXPECT_EQ(table.live_count(), tried.left == liveness::dead ? 1U : 2U);
    EXPECT_EQ(table.suspected_count(), tried.left == liveness::suspected ? 1U : 0U);
}

constexpr liveness alive = liveness::alive;
constexpr liveness suspected = liveness::suspected;
constexpr liveness dead = liveness::dead;

INSTANTIATE_TEST_SUITE_P(
    cases, merge_test,
    testing::Values(
        merge_case{"older", alive, 4, dead, false, effect::none, alive},
        merge_case{"same", suspected, 5, suspected, false, effect::none, suspected},
        merge_case{"accused", alive, 5, suspected, false, effect::changed, suspected},
        merge_case{"not_refuted", suspected, 5, alive, false, effect::none, suspected},
        merge_case{"refuted", suspected, 6, alive, false, effect::changed, alive},
        merge_case{"died", suspected, 5, dead, false, effect::changed, dead},
        merge_case{"stays_dead", dead, 5, alive, false, effect::none, dead},
        merge_case{"returned", dead, 6, alive, false, effect::revived, alive},
        merge_case{"hearsay", alive, 5, dead, true, effect::changed, suspected},
        merge_case{"known_death", dead, 6, dead, true, effect::changed, dead}),
    [](const testing::TestParamInfo<merge_case>& info) { return info.param.name; });

// Guards against a restarted instance whose clock is behind and that stays dead for the
// others, and against a death notice of itself that it does not contradict.
TEST(member_table_test, statements_about_itself_are_refuted)
{
    member self;
    self.id = instance_id("self");
    self.life = incarnation(5);
    member_table table(self);
    EXPECT_EQ(table.merge(make_update("self", 4, dead), false, now), effect::none);
    EXPECT_EQ(table.merge(make_update("self", 5, alive), false, now), effect::none);
    EXPECT_EQ(table.merge(make_update("self", 5, suspected), false, now),
              effect::refuted);
    EXPECT_EQ(table.self().life, incarnation(6));
    EXPECT_EQ(table.merge(make_update("self", 90, alive), false, now), effect::refuted);
    EXPECT_EQ(table.self().life, incarnation(91));
}

// Guards against dead members that are kept for ever or come back through late news.
TEST(member_table_test, dead_members_are_forgotten)
{
    member self;
    self.id = instance_id("self");
    member_table table(self);
    const std::uint64_t empty = table.digest();
    table.merge(make_update("other", 5, alive), false, now);
    EXPECT_NE(table.digest(), empty);
    table.declare_dead(instance_id("other"), now);
    EXPECT_EQ(table.digest(), empty);
    table.forget_dead(now);
    EXPECT_NE(table.find(instance_id("other")), nullptr);
    table.forget_dead(now + std::chrono::seconds(1));
    EXPECT_EQ(table.find(instance_id("other")), nullptr);
    EXPECT_EQ(table.merge(make_update("other", 5, dead), false, now), effect::none);
    for (int i = 0; i < 100; ++i)
        table.take_updates(1400, 64);
    EXPECT_TRUE(table.take_updates(1400, 64).empty());
}

} // namespace
} // namespace hawthornbeam
