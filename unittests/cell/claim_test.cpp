#include "hawthornbeam/cell/claim.hpp"

#include "hawthornbeam/cell/observed_store.hpp"
#include "late_store.hpp"
#include "lib/cell/stored_form.hpp"
#include "memory_store.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instance that claims the cell, and the events that its claim reported.
struct claimant
{
    claimant(manual_event_loop& loop, memory_store_state& state, const logger& log,
             const std::string& name, const std::string& address = "",
             bool enabled = true)
        : store(state), observed(loop, store), random(std::hash<std::string>{}(name)),
          cell_claim(loop, observed, random, log,
                     owner_identity{instance_id(name),
                                    endpoint((address.empty() ? name : address) + ":1"),
                                    fence_token()},
                     {[this](fence_token token, bool was_continued)
                      {
                          acquired.push_back(token);
                          continued.push_back(was_continued);
                      },
                      [this] { ++lost_count; },
                      [](const std::optional<owner_identity>&) {}})
    {
        if (enabled)
            cell_claim.enable();
    }

    memory_store store;
    observed_store observed;
    random_source random;
    std::vector<fence_token> acquired;
    std::vector<bool> continued;
    int lost_count = 0;
    claim cell_claim;
};

class claim_test : public testing::Test
{
protected:
    int owners() const
    {
        return (first.cell_claim.is_owner() ? 1 : 0) +
               (second.cell_claim.is_owner() ? 1 : 0);
    }
    claimant& owner() { return first.cell_claim.is_owner() ? first : second; }
    claimant& non_owner() { return first.cell_claim.is_owner() ? second : first; }
    void start()
    {
        first.cell_claim.start();
        second.cell_claim.start();
        loop.advance(seconds(1));
        ASSERT_EQ(owners(), 1);
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    memory_store_state state{loop};
    claimant first{loop, state, log, "first"};
    claimant second{loop, state, log, "second"};
};

TEST_F(claim_test, one_instance_owns_the_cell_and_the_other_knows_it)
{
    start();
    loop.advance(seconds(10));
    EXPECT_EQ(owners(), 1);
    ASSERT_TRUE(non_owner().cell_claim.owner());
    EXPECT_EQ(non_owner().cell_claim.owner()->token, owner().cell_claim.token());
    EXPECT_EQ(owner().acquired.size(), 1U);
}

TEST_F(claim_test,
       other_instance_claims_with_a_higher_token_when_the_store_refuses_the_owner)
{
    start();
    claimant& former = owner();
    claimant& successor = non_owner();
    const fence_token token = former.cell_claim.token();
    former.store.condition = store_condition::refusing;
    loop.advance(seconds(4));
    EXPECT_TRUE(successor.cell_claim.is_owner());
    EXPECT_GT(successor.cell_claim.token(), token);
    EXPECT_FALSE(successor.continued.back());
    // The store refuses the former owner, which learns of the higher token from workers.
    EXPECT_TRUE(former.cell_claim.is_owner());
    former.cell_claim.superseded(successor.cell_claim.token());
    EXPECT_FALSE(former.cell_claim.is_owner());
    EXPECT_EQ(former.lost_count, 1);
}

// Guards against two owners that give the same numbers to runs.
TEST_F(claim_test, each_claim_has_a_higher_term)
{
    start();
    for (std::uint32_t term = 1; term <= 4; ++term)
    {
        const result<owner_term> stored =
            decode_term(state.items.at(std::string(term_key)).value);
        ASSERT_TRUE(stored);
        EXPECT_EQ(stored.value(), owner_term(term));
        owner().cell_claim.resign(milliseconds(500), "test");
        loop.advance(seconds(3));
        ASSERT_EQ(owners(), 1);
    }
}

// Guards against a term that is counted from an instance's own claims only.
TEST_F(claim_test, claim_continues_from_the_latest_term_in_the_store)
{
    start();
    ++state.revision;
    state.put(std::string(term_key), encode(owner_term(7)), lease_id());
    owner().cell_claim.resign(milliseconds(500), "test");
    loop.advance(seconds(3));
    ASSERT_EQ(owners(), 1);
    EXPECT_EQ(decode_term(state.items.at(std::string(term_key)).value).value(),
              owner_term(8));
}

// Guards against a lease that no claim has and that confirms the claim of a former owner.
TEST_F(claim_test, failed_attempt_to_claim_again_confirms_nothing)
{
    start();
    claimant& former = owner();
    claimant& successor = non_owner();
    former.store.condition = store_condition::refusing;
    loop.advance(seconds(2));
    ASSERT_TRUE(successor.cell_claim.is_owner());
    // The watch of the former owner misses the claim of its successor.
    former.store.condition = store_condition::deaf_watches;
    const boot_time before = loop.clock().now();
    loop.advance(seconds(2));
    EXPECT_LT(former.cell_claim.confirmed_at(), before);
    EXPECT_FALSE(former.cell_claim.is_owner()) << "the failed attempt names the claim";
}

TEST_F(claim_test, owner_keeps_its_role_in_a_store_outage_and_continues_its_claim)
{
    start();
    claimant& former = owner();
    const fence_token token = former.cell_claim.token();
    first.store.condition = store_condition::refusing;
    second.store.condition = store_condition::refusing;
    for (int round = 0; round < 10; ++round)
    {
        loop.advance(milliseconds(500));
        non_owner().cell_claim.on_owner_message(*non_owner().cell_claim.owner());
    }
    EXPECT_TRUE(former.cell_claim.is_owner());
    first.store.condition = store_condition::well;
    second.store.condition = store_condition::well;
    loop.advance(milliseconds(1000));
    // The lease has expired, so the token is new. No other instance owned the cell
    // meanwhile, so the owner's state is complete and the claim counts as continued.
    EXPECT_TRUE(former.cell_claim.is_owner());
    EXPECT_EQ(owners(), 1);
    EXPECT_GT(former.cell_claim.token(), token);
    EXPECT_TRUE(former.continued.back());
}

// An owner without the policies of the queues would decide by defaults.
// Guards against an owner that takes its own cell over, so that inherited tasks wait,
// because the answer to its continued claim was lost.
TEST_F(claim_test, claim_is_continued_when_the_answer_to_it_was_lost)
{
    memory_store store(state);
    late_store late(store);
    random_source random(1);
    std::vector<bool> continued;
    int lost_count = 0;
    claim cell_claim(
        loop, late, random, log,
        owner_identity{instance_id("third"), endpoint("third:1"), fence_token()},
        {[&continued](fence_token, bool is_continued)
         { continued.push_back(is_continued); },
         [&lost_count] { ++lost_count; }, [](const std::optional<owner_identity>&) {}});
    cell_claim.enable();
    cell_claim.start();
    loop.advance(seconds(1));
    ASSERT_TRUE(cell_claim.is_owner());
    late.late_key = "cell/owner";
    for (auto& [lease, term] : state.leases)
        term.first = loop.clock().now();
    loop.advance(milliseconds(500));
    late.late_key.clear();
    late.execute_late();
    loop.advance(seconds(4));
    EXPECT_EQ(continued, (std::vector<bool>{false, true}));
    EXPECT_EQ(lost_count, 0);
    EXPECT_EQ(state.items.at("cell/owner").revision.value(), cell_claim.token().value());
}

TEST_F(claim_test, instance_claims_only_after_it_is_enabled)
{
    claimant starting(loop, state, log, "starting", "", false);
    starting.cell_claim.start();
    loop.advance(seconds(5));
    EXPECT_FALSE(starting.cell_claim.is_owner());
    starting.cell_claim.enable();
    loop.advance(milliseconds(200));
    EXPECT_TRUE(starting.cell_claim.is_owner());
}

TEST_F(claim_test, instance_that_is_not_enabled_does_not_replace_a_stopped_owner)
{
    start();
    claimant starting(loop, state, log, "starting", "", false);
    starting.cell_claim.start();
    loop.advance(milliseconds(200));
    starting.cell_claim.on_owner_stopped(owner().cell_claim.token(), "test");
    loop.advance(seconds(1));
    EXPECT_FALSE(starting.cell_claim.is_owner());
    starting.cell_claim.enable();
    loop.advance(milliseconds(200));
    EXPECT_TRUE(starting.cell_claim.is_owner());
}

TEST_F(claim_test, claim_is_acquired_after_its_answer_was_lost)
{
    first.store.condition = store_condition::losing_answers;
    first.cell_claim.start();
    loop.advance(seconds(3));
    first.store.condition = store_condition::well;
    loop.advance(seconds(4));
    EXPECT_TRUE(first.cell_claim.is_owner());
    EXPECT_EQ(state.items.at("cell/owner").revision.value(),
              first.cell_claim.token().value());
}

TEST_F(claim_test, released_claim_is_acquired_at_once)
{
    start();
    claimant& successor = non_owner();
    owner().cell_claim.release();
    loop.advance(milliseconds(300));
    EXPECT_TRUE(successor.cell_claim.is_owner());
    EXPECT_EQ(owners(), 1);
}

// Without the announcement, instances that have just received a message of the owner
// would first give it time to claim again.
TEST_F(claim_test, announced_release_is_acquired_at_once_after_an_owner_message)
{
    start();
    claimant& successor = non_owner();
    successor.cell_claim.on_owner_message(*successor.cell_claim.owner());
    successor.cell_claim.on_owner_leaving();
    owner().cell_claim.release();
    loop.advance(milliseconds(300));
    EXPECT_TRUE(successor.cell_claim.is_owner());
}

// The network fails in one direction: the store executes all calls of the owner,
// including renewals, but its answers are lost, so the lease never expires.
TEST_F(claim_test, resigned_claim_is_acquired_when_answers_to_the_owner_are_lost)
{
    start();
    claimant& successor = non_owner();
    claimant& former = owner();
    former.store.condition = store_condition::losing_answers;
    loop.advance(seconds(5));
    EXPECT_TRUE(former.cell_claim.is_owner());
    EXPECT_GT(former.observed.silence(), seconds(4));
    EXPECT_LT(successor.observed.silence(), milliseconds(1500));
    former.cell_claim.resign(seconds(4), "test");
    loop.advance(milliseconds(1500));
    EXPECT_TRUE(successor.cell_claim.is_owner());
}

TEST_F(claim_test, resigned_claim_is_acquired_by_the_other_instance)
{
    start();
    claimant& successor = non_owner();
    owner().cell_claim.resign(seconds(1), "test");
    loop.advance(milliseconds(500));
    EXPECT_TRUE(successor.cell_claim.is_owner());
    EXPECT_EQ(owners(), 1);
}

/// The parameter varies the names of the instances, which seed their random delays.
class ranked_claim_test : public testing::TestWithParam<std::string>
{
};

// Both hosts may own the cell, but the smaller one cannot keep up with a full cell.
TEST_P(ranked_claim_test, larger_of_two_hosts_acquires_the_claim)
{
    manual_event_loop loop;
    const logger log(loop.clock(), "test", log_level::error, [](const std::string&) {});
    memory_store_state state(loop);
    claimant small(loop, state, log, "small" + GetParam());
    claimant large(loop, state, log, "large" + GetParam());
    small.cell_claim.set_relative_size(0.24);
    small.cell_claim.start();
    large.cell_claim.start();
    loop.advance(seconds(1));
    EXPECT_TRUE(large.cell_claim.is_owner());
    EXPECT_FALSE(small.cell_claim.is_owner());
    // When the larger host releases the cell, the smaller one claims it.
    large.cell_claim.release();
    loop.advance(seconds(1));
    EXPECT_TRUE(small.cell_claim.is_owner());
}

INSTANTIATE_TEST_SUITE_P(name_suffixes, ranked_claim_test,
                         testing::Values("1", "2", "3", "4"));

TEST_F(claim_test, resigned_claim_is_reacquired_when_no_other_instance_claims)
{
    first.cell_claim.start();
    loop.advance(seconds(1));
    ASSERT_TRUE(first.cell_claim.is_owner());
    first.cell_claim.resign(seconds(1), "test");
    loop.advance(milliseconds(500));
    EXPECT_FALSE(first.cell_claim.is_owner());
    loop.advance(seconds(2));
    EXPECT_TRUE(first.cell_claim.is_owner());
    EXPECT_FALSE(first.continued.back());
}

// If the owner or its calls are paused, the lease can expire before it is renewed.
TEST_F(claim_test, cell_has_one_owner_after_the_lease_expired)
{
    start();
    state.leases.begin()->second.first = loop.clock().now();
    loop.advance(seconds(2));
    EXPECT_EQ(owners(), 1);
    EXPECT_EQ(first.acquired.size() + second.acquired.size(), 2U);
    EXPECT_EQ(state.items.at("cell/owner").revision.value(),
              owner().cell_claim.token().value());
}

// A process that has ended cannot renew its claim, which would otherwise last for 2 s.
TEST_F(claim_test, restarted_process_replaces_the_claim_of_its_predecessor_at_once)
{
    first.cell_claim.start();
    loop.advance(seconds(1));
    ASSERT_TRUE(first.cell_claim.is_owner());
    const fence_token token = first.cell_claim.token();
    first.store.condition = store_condition::refusing;
    claimant restarted(loop, state, log, "restarted", "first");
    restarted.cell_claim.start();
    loop.advance(milliseconds(200));
    EXPECT_TRUE(restarted.cell_claim.is_owner());
    EXPECT_GT(restarted.cell_claim.token(), token);
    EXPECT_FALSE(restarted.continued.back());
}

TEST_F(claim_test, claim_of_a_stopped_owner_is_replaced_at_once)
{
    start();
    claimant& former = owner();
    claimant& successor = non_owner();
    successor.cell_claim.on_owner_message(*successor.cell_claim.owner());
    successor.cell_claim.on_owner_stopped(former.cell_claim.token(), "test");
    loop.advance(milliseconds(200));
    EXPECT_TRUE(successor.cell_claim.is_owner());
    // The former owner is still running and notices that it was replaced.
    EXPECT_FALSE(former.cell_claim.is_owner());
    EXPECT_EQ(former.lost_count, 1);
}

// The report that an owner has stopped may arrive after another instance has claimed
// the cell.
TEST_F(claim_test, stop_report_about_an_earlier_owner_does_not_end_the_claim)
{
    start();
    claimant& former = owner();
    claimant& successor = non_owner();
    const fence_token earlier = former.cell_claim.token();
    former.cell_claim.resign(seconds(1), "test");
    loop.advance(milliseconds(500));
    ASSERT_TRUE(successor.cell_claim.is_owner());
    former.cell_claim.on_owner_stopped(earlier, "test");
    loop.advance(seconds(3));
    EXPECT_TRUE(successor.cell_claim.is_owner());
    EXPECT_EQ(successor.acquired.size(), 1U);
}

// The store serves other instances but not this one, which learns of the new owner only
// from its messages.
TEST_F(claim_test, owner_is_known_from_messages_while_the_store_refuses_calls)
{
    start();
    claimant& refused = non_owner();
    refused.store.condition = store_condition::refusing;
    const owner_identity successor{instance_id("third"), endpoint("third:1"),
                                   fence_token(owner().cell_claim.token().value() + 10)};
    refused.cell_claim.on_owner_message(successor);
    EXPECT_EQ(refused.cell_claim.owner()->address, successor.address);
    EXPECT_EQ(refused.cell_claim.token(), successor.token);
    // When the store serves this instance again, its record of the former owner is older
    // and is ignored.
    refused.store.condition = store_condition::well;
    loop.advance(seconds(2));
    EXPECT_EQ(refused.cell_claim.token(), successor.token);
}

// An expired lease does not end the role of an owner whose messages still arrive. The
// other instances keep reporting to it until it has claimed again.
TEST_F(claim_test, owner_stays_known_after_lease_expiry_while_its_messages_arrive)
{
    start();
    claimant& former = owner();
    claimant& observer = non_owner();
    former.store.condition = store_condition::refusing;
    for (int round = 0; round < 8; ++round)
    {
        loop.advance(milliseconds(500));
        observer.cell_claim.on_owner_message(*observer.cell_claim.owner());
        ASSERT_TRUE(observer.cell_claim.owner());
        EXPECT_EQ(observer.cell_claim.token(), former.cell_claim.token());
    }
}

// The store may end a waiting watch without delivering the change that ended the claim.
TEST_F(claim_test, released_claim_is_acquired_when_the_watch_missed_the_release)
{
    start();
    claimant& successor = non_owner();
    successor.store.condition = store_condition::cutting_watches;
    owner().cell_claim.release();
    loop.advance(milliseconds(2500));
    EXPECT_TRUE(successor.cell_claim.is_owner());
}

// Nothing in the store changes after a failed attempt, so no event triggers the next one.
TEST_F(claim_test, failed_claim_attempt_is_retried)
{
    first.cell_claim.start();
    loop.advance(milliseconds(5));
    first.store.condition = store_condition::refusing;
    loop.advance(milliseconds(500));
    EXPECT_FALSE(first.cell_claim.is_owner());
    first.store.condition = store_condition::well;
    loop.advance(milliseconds(1500));
    EXPECT_TRUE(first.cell_claim.is_owner());
}

} // namespace

} // namespace hawthornbeam::cell
