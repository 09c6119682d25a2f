/// \file
/// Tests of merging status updates into the member list.
#include "lib/membership/member_table.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

using effect = member_table::merge_effect;

const boot_time now{std::chrono::seconds(1)};

member_update make_update(const char* id, std::uint64_t incarnation_number,
                          liveness status)
{
    member subject;
    subject.id = instance_id(id);
    subject.incarnation_number = incarnation(incarnation_number);
    return member_update{subject, status, false};
}

struct merge_case
{
    const char* name;
    liveness initial; ///< In incarnation 5.
    std::uint64_t incarnation_number;
    liveness status;
    bool from_sync;
    effect expected;
    liveness resulting;
};

class merge_test : public testing::TestWithParam<merge_case>
{
};

// Guards against an outdated update that overrides a newer one, and against a refutation
// that has no effect.
TEST_P(merge_test, newer_incarnation_then_higher_status_wins)
{
    const merge_case& param = GetParam();
    member self;
    self.id = instance_id("self");
    member_table table(self);
    table.merge(make_update("other", 5, liveness::alive), false, now);
    table.merge(make_update("other", 5, param.initial), false, now);
    EXPECT_EQ(table.merge(make_update("other", param.incarnation_number, param.status),
                          param.from_sync, now),
              param.expected);
    EXPECT_EQ(table.find(instance_id("other"))->status, param.resulting);
    EXPECT_EQ(table.live_count(), param.resulting == liveness::dead ? 1U : 2U);
    EXPECT_EQ(table.suspected_count(), param.resulting == liveness::suspected ? 1U : 0U);
}

constexpr liveness alive = liveness::alive;
constexpr liveness suspected = liveness::suspected;
constexpr liveness dead = liveness::dead;

INSTANTIATE_TEST_SUITE_P(
    cases, merge_test,
    testing::Values(
        merge_case{"older_incarnation", alive, 4, dead, false, effect::none, alive},
        merge_case{"repeated_suspicion", suspected, 5, suspected, false, effect::none,
                   suspected},
        merge_case{"suspected", alive, 5, suspected, false, effect::changed, suspected},
        merge_case{"not_refuted_by_same_incarnation", suspected, 5, alive, false,
                   effect::none, suspected},
        merge_case{"refuted_by_newer_incarnation", suspected, 6, alive, false,
                   effect::changed, alive},
        merge_case{"declared_dead", suspected, 5, dead, false, effect::changed, dead},
        merge_case{"not_revived_by_same_incarnation", dead, 5, alive, false, effect::none,
                   dead},
        merge_case{"revived_by_newer_incarnation", dead, 6, alive, false, effect::revived,
                   alive},
        merge_case{"death_from_sync_becomes_suspicion", alive, 5, dead, true,
                   effect::changed, suspected},
        merge_case{"newer_death_from_sync_of_dead_member", dead, 6, dead, true,
                   effect::changed, dead}),
    [](const testing::TestParamInfo<merge_case>& info) { return info.param.name; });

// Guards against a restarted instance that stays dead for the others because its clock is
// behind and its incarnation too low, and against a false suspicion or death that the
// instance does not refute.
TEST(member_table_test, false_updates_about_this_instance_are_refuted)
{
    member self;
    self.id = instance_id("self");
    self.incarnation_number = incarnation(5);
    member_table table(self);
    EXPECT_EQ(table.merge(make_update("self", 4, dead), false, now), effect::none);
    EXPECT_EQ(table.merge(make_update("self", 5, alive), false, now), effect::none);
    EXPECT_EQ(table.merge(make_update("self", 5, suspected), false, now),
              effect::refuted);
    EXPECT_EQ(table.self().incarnation_number, incarnation(6));
    EXPECT_EQ(table.merge(make_update("self", 90, alive), false, now), effect::refuted);
    EXPECT_EQ(table.self().incarnation_number, incarnation(91));
}

// Guards against dead members that are kept forever or added again by a late update.
TEST(member_table_test, dead_member_is_removed_and_not_added_by_late_update)
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
