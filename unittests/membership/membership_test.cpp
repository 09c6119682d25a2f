/// \file
/// Tests of the membership protocol on the in-memory network.
#include "cluster.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class cluster_size_test : public testing::TestWithParam<std::size_t>
{
protected:
    void SetUp() override
    {
        ASSERT_LE(
            instances.time_until([&] { return instances.all_alive(); }, seconds(15)),
            seconds(10));
    }
    /// Limit for all members to agree that a member is dead; until then its slices have
    /// no owner.
    static constexpr duration death_bound = milliseconds(5500);
    std::size_t count() const { return GetParam(); }
    cluster instances{GetParam()};
};

// Guards against a dead instance that is detected too late or not by all members, and
// against a restarted instance that stays dead because of its previous incarnation.
TEST_P(cluster_size_test, killed_instance_is_declared_dead_and_rejoins_after_restart)
{
    instances.network.kill(cluster::id(1));
    EXPECT_LE(instances.time_until(
                  [&] { return instances.all_see(1, member_state::dead); }, seconds(20)),
              death_bound);
    const incarnation previous = instances.at(0).find(cluster::id(1))->incarnation_number;
    instances.start(1);
    EXPECT_LE(instances.time_until([&] { return instances.all_alive(); }, seconds(20)),
              seconds(6));
    EXPECT_GT(instances.at(0).find(cluster::id(1))->incarnation_number, previous);
}

// Guards against a paused process that declares the others dead when it resumes, because
// it received no replies during the pause.
TEST_P(cluster_size_test, resumed_instance_does_not_declare_others_dead)
{
    instances.network.pause(cluster::id(1));
    EXPECT_LE(instances.time_until(
                  [&] { return instances.all_see(1, member_state::dead); }, seconds(20)),
              death_bound);
    bool others_died = false;
    instances.at(1).on_change(
        [&]
        {
            for (std::size_t i = 0; i < count(); ++i)
                others_died |= instances.sees(1, i, member_state::dead);
        });
    instances.loop.advance(seconds(10));
    instances.network.resume(cluster::id(1));
    EXPECT_LE(instances.time_until([&] { return instances.all_alive(); }, seconds(20)),
              seconds(6));
    EXPECT_FALSE(others_died);
}

// Guards against a change of ownership after a short pause: the instance must refute the
// suspicion before it is declared dead.
TEST_P(cluster_size_test, suspicion_after_short_pause_is_refuted)
{
    const incarnation before = instances.at(1).self().incarnation_number;
    instances.network.pause(cluster::id(1));
    instances.time_until([&] { return instances.sees(0, 1, member_state::suspected); },
                         seconds(10));
    instances.network.resume(cluster::id(1));
    EXPECT_LE(instances.time_until([&] { return instances.all_alive(); }, seconds(20)),
              seconds(4));
    EXPECT_GT(instances.at(1).self().incarnation_number, before);
}

// Guards against a leaving instance that still counts as a candidate for ownership, also
// after it has become unreachable.
TEST_P(cluster_size_test, leaving_instance_is_not_a_candidate)
{
    instances.at(1).announce_leaving();
    EXPECT_LE(
        instances.time_until([&] { return instances.all_see(1, member_state::leaving); },
                             seconds(20)),
        seconds(4));
    instances.network.kill(cluster::id(1));
    for (int i = 0; i < 60; ++i)
    {
        instances.loop.advance(milliseconds(100));
        const std::vector<instance_id> left = instances.at(0).candidates();
        EXPECT_EQ(std::count(left.begin(), left.end(), cluster::id(1)), 0);
    }
    EXPECT_TRUE(instances.all_see(1, member_state::dead));
}

// Guards against the halves of a partition that do not rejoin after it heals.
TEST_P(cluster_size_test, members_rejoin_after_partition)
{
    std::vector<instance_id> halves[2];
    for (std::size_t i = 0; i < count(); ++i)
        halves[2 * i >= count() ? 1 : 0].push_back(cluster::id(i));
    instances.network.partition(halves[0], halves[1]);
    instances.loop.advance(seconds(30));
    for (std::size_t i = 0; i < count(); ++i)
        EXPECT_EQ(instances.at(i).members().size(),
                  halves[2 * i >= count() ? 1 : 0].size());
    instances.network.heal_all();
    EXPECT_LE(instances.time_until([&] { return instances.all_alive(); }, seconds(60)),
              seconds(15));
    instances.loop.advance(seconds(10));
    EXPECT_TRUE(instances.all_alive());
}

// Guards against live instances declared dead when a fifth of all datagrams is lost.
TEST_P(cluster_size_test, datagram_loss_causes_no_false_death)
{
    instances.network.set_datagram_loss(0.2);
    std::size_t deaths = 0;
    for (std::size_t i = 0; i < count(); ++i)
        instances.at(i).on_change(
            [&, i]
            {
                for (std::size_t k = 0; k < count(); ++k)
                    deaths += instances.sees(i, k, member_state::dead) ? 1 : 0;
            });
    instances.loop.advance(std::chrono::minutes(3));
    EXPECT_EQ(deaths, 0U);
}

// Guards against a table version that does not reach an instance or is reported twice.
TEST_P(cluster_size_test, newer_table_version_is_reported_once)
{
    std::vector<int> reports(count(), 0);
    for (std::size_t i = 0; i < count(); ++i)
        instances.at(i).on_newer_table(
            [&, i](const member& from)
            {
                ++reports[i];
                instances.at(i).set_table_version(from.table);
            });
    instances.at(0).set_table_version(table_version(7));
    EXPECT_LE(instances.time_until(
                  [&]
                  {
                      return std::count(reports.begin() + 1, reports.end(), 1) + 1 ==
                             static_cast<std::ptrdiff_t>(count());
                  },
                  seconds(20)),
              seconds(4));
    instances.loop.advance(seconds(5));
    EXPECT_EQ(reports[0], 0);
    EXPECT_EQ(std::count(reports.begin() + 1, reports.end(), 1) + 1,
              static_cast<std::ptrdiff_t>(count()));
}

INSTANTIATE_TEST_SUITE_P(sizes, cluster_size_test, testing::Values(3, 9, 27));

// Guards against an instance that never joins because its seeds started after it.
TEST(membership_test, unreachable_seeds_are_retried)
{
    cluster instances(0);
    instances.start(2);
    instances.loop.advance(seconds(30));
    EXPECT_EQ(instances.at(2).members().size(), 1U);
    EXPECT_EQ(instances.at(2).last_contact(), boot_time::min());
    instances.start(0);
    instances.start(1);
    EXPECT_LE(instances.time_until([&] { return instances.all_alive(); }, seconds(20)),
              seconds(4));
    EXPECT_GT(instances.at(2).last_contact(), boot_time::min());
}

// Guards against false deaths when one direction of a link between two instances fails;
// indirect probes must reach the target.
TEST(membership_test, indirect_probes_bridge_one_way_link_failure)
{
    cluster instances(9);
    instances.time_until([&] { return instances.all_alive(); }, seconds(15));
    instances.network.cut(cluster::id(3), cluster::id(4));
    for (int i = 0; i < 600; ++i)
    {
        instances.loop.advance(milliseconds(100));
        ASSERT_FALSE(instances.sees(3, 4, member_state::dead));
        ASSERT_FALSE(instances.sees(4, 3, member_state::dead));
    }
}

// Guards against datagrams of other programs that corrupt the member list.
TEST(membership_test, malformed_datagrams_are_dropped_and_counted)
{
    cluster instances(3);
    instances.time_until([&] { return instances.all_alive(); }, seconds(15));
    const std::unique_ptr<standins::memory_channel> hostile =
        instances.network.make_channel(instance_id("hostile"), gossip_address("x:1"));
    random_source random(5);
    for (int i = 0; i < 500; ++i)
    {
        std::string bytes(random.below(200), '\0');
        for (char& c : bytes)
            c = static_cast<char>(random.next());
        hostile->send(cluster::address(0), bytes);
    }
    instances.loop.advance(seconds(1));
    EXPECT_EQ(instances.at(0).malformed_datagrams(), 500U);
    EXPECT_TRUE(instances.all_alive());
    EXPECT_NE(instances.log_lines.find("malformed datagram dropped"), std::string::npos);
}

// Guards against network traffic per instance that grows with the number of instances.
TEST(membership_test, traffic_per_instance_is_independent_of_cluster_size)
{
    for (const std::size_t count : {3, 9, 27, 100})
    {
        cluster instances(count);
        ASSERT_LE(
            instances.time_until([&] { return instances.all_alive(); }, seconds(30)),
            seconds(20));
        instances.loop.advance(seconds(40));
        std::uint64_t before = 0;
        std::uint64_t after = 0;
        for (std::size_t i = 0; i < count; ++i)
            before += instances.network.datagram_bytes(cluster::id(i));
        instances.loop.advance(seconds(30));
        for (std::size_t i = 0; i < count; ++i)
            after += instances.network.datagram_bytes(cluster::id(i));
        const std::uint64_t bytes_per_second = (after - before) / count / 30;
        EXPECT_LT(bytes_per_second, 500U) << count << " instances";
    }
}

} // namespace
} // namespace hawthornbeam
