/// \file
/// Tests of the claim of a cell.
#include "hawthornbeam/cell/claim.hpp"

#include "hawthornbeam/cell/observed_store.hpp"
#include "memory_store.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An instance that claims, and what it was told.
struct claimant
{
    claimant(manual_event_loop& loop, memory_store_state& state, const logger& log,
             const std::string& name, const std::string& address = "")
        : store(state), observed(loop, store), random(std::hash<std::string>{}(name)),
          claimed(loop, observed, random, log,
                  owner_identity{instance_id(name),
                                 endpoint((address.empty() ? name : address) + ":1"),
                                 fence_token()},
                  {[this](fence_token token, bool was_continued)
                   {
                       acquired.push_back(token);
                       continued.push_back(was_continued);
                   },
                   [this] { ++lost; }, [](const std::optional<owner_identity>&) {}})
    {
    }

    memory_store store;
    observed_store observed;
    random_source random;
    std::vector<fence_token> acquired;
    std::vector<bool> continued;
    int lost = 0;
    claim claimed;
};

class claim_test : public testing::Test
{
protected:
    int owners() const
    {
        return (first.claimed.is_owner() ? 1 : 0) + (second.claimed.is_owner() ? 1 : 0);
    }
    claimant& owner() { return first.claimed.is_owner() ? first : second; }
    claimant& other() { return first.claimed.is_owner() ? second : first; }
    void start()
    {
        first.claimed.start();
        second.claimed.start();
        loop.advance(seconds(1));
        ASSERT_EQ(owners(), 1);
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    memory_store_state state{loop};
    claimant first{loop, state, log, "first"};
    claimant second{loop, state, log, "second"};
};

TEST_F(claim_test, is_held_by_one_and_seen_by_the_other)
{
    start();
    loop.advance(seconds(10));
    EXPECT_EQ(owners(), 1);
    ASSERT_TRUE(other().claimed.owner());
    EXPECT_EQ(other().claimed.owner()->token, owner().claimed.token());
    EXPECT_EQ(owner().acquired.size(), 1U);
}

TEST_F(claim_test, passes_to_another_with_a_higher_token_when_the_store_refuses_the_owner)
{
    start();
    claimant& former = owner();
    claimant& successor = other();
    const fence_token token = former.claimed.token();
    former.store.condition = store_condition::refusing;
    loop.advance(seconds(4));
    EXPECT_TRUE(successor.claimed.is_owner());
    EXPECT_GT(successor.claimed.token(), token);
    EXPECT_FALSE(successor.continued.back());
    // The former owner does not hear of it from the store, but from workers.
    EXPECT_TRUE(former.claimed.is_owner());
    former.claimed.superseded(successor.claimed.token());
    EXPECT_FALSE(former.claimed.is_owner());
    EXPECT_EQ(former.lost, 1);
}

TEST_F(claim_test, is_kept_while_the_store_is_away_and_continued_after_it)
{
    start();
    claimant& former = owner();
    const fence_token token = former.claimed.token();
    first.store.condition = store_condition::refusing;
    second.store.condition = store_condition::refusing;
    for (int round = 0; round < 10; ++round)
    {
        loop.advance(milliseconds(500));
        other().claimed.on_owner_message(*other().claimed.owner());
    }
    EXPECT_TRUE(former.claimed.is_owner());
    first.store.condition = store_condition::well;
    second.store.condition = store_condition::well;
    loop.advance(milliseconds(1000));
    // The lease has ended, so the token is new, but what the owner knows is complete.
    EXPECT_TRUE(former.claimed.is_owner());
    EXPECT_EQ(owners(), 1);
    EXPECT_GT(former.claimed.token(), token);
    EXPECT_TRUE(former.continued.back());
}

TEST_F(claim_test, is_settled_when_the_answer_to_a_claim_is_lost)
{
    first.store.condition = store_condition::losing_answers;
    first.claimed.start();
    loop.advance(seconds(3));
    first.store.condition = store_condition::well;
    loop.advance(seconds(4));
    EXPECT_TRUE(first.claimed.is_owner());
    EXPECT_EQ(state.items.at("cell/owner").revision.value(),
              first.claimed.token().value());
}

TEST_F(claim_test, passes_on_at_once_at_a_planned_stop)
{
    start();
    claimant& successor = other();
    owner().claimed.release();
    loop.advance(milliseconds(300));
    EXPECT_TRUE(successor.claimed.is_owner());
    EXPECT_EQ(owners(), 1);
}

// Instances that have just heard the owner would else leave it time to claim again.
TEST_F(claim_test, passes_on_at_once_when_the_owner_said_that_it_leaves)
{
    start();
    claimant& successor = other();
    successor.claimed.on_owner_message(*successor.claimed.owner());
    successor.claimed.on_owner_leaving();
    owner().claimed.release();
    loop.advance(milliseconds(300));
    EXPECT_TRUE(successor.claimed.is_owner());
}

// A cut in one direction: the store carries out all calls of the owner, renewals too, and
// its answers are lost, so that the lease never ends.
TEST_F(claim_test, passes_on_when_an_owner_resigns_to_which_no_answer_comes)
{
    start();
    claimant& successor = other();
    claimant& former = owner();
    former.store.condition = store_condition::losing_answers;
    loop.advance(seconds(5));
    EXPECT_TRUE(former.claimed.is_owner());
    EXPECT_GT(former.observed.silence(), seconds(4));
    EXPECT_LT(successor.observed.silence(), milliseconds(1500));
    former.claimed.resign(seconds(4), "test");
    loop.advance(milliseconds(1500));
    EXPECT_TRUE(successor.claimed.is_owner());
}

TEST_F(claim_test, passes_on_when_the_owner_resigns)
{
    start();
    claimant& successor = other();
    owner().claimed.resign(seconds(1), "test");
    loop.advance(milliseconds(500));
    EXPECT_TRUE(successor.claimed.is_owner());
    EXPECT_EQ(owners(), 1);
}

class ranked_claim_test : public testing::TestWithParam<std::string>
{
};

// Either host would do; the smaller one falls behind with a full cell.
TEST_P(ranked_claim_test, goes_to_the_larger_of_two_hosts)
{
    manual_event_loop loop;
    const logger log(loop.clock(), "test", log_level::error, [](const std::string&) {});
    memory_store_state state(loop);
    claimant small(loop, state, log, "small" + GetParam());
    claimant large(loop, state, log, "large" + GetParam());
    small.claimed.set_relative_size(0.24);
    small.claimed.start();
    large.claimed.start();
    loop.advance(seconds(1));
    EXPECT_TRUE(large.claimed.is_owner());
    EXPECT_FALSE(small.claimed.is_owner());
    // Without the larger one the cell is not left alone.
    large.claimed.release();
    loop.advance(seconds(1));
    EXPECT_TRUE(small.claimed.is_owner());
}

INSTANTIATE_TEST_SUITE_P(draws, ranked_claim_test, testing::Values("1", "2", "3", "4"));

TEST_F(claim_test, is_taken_again_after_a_resignation_that_nobody_used)
{
    first.claimed.start();
    loop.advance(seconds(1));
    ASSERT_TRUE(first.claimed.is_owner());
    first.claimed.resign(seconds(1), "test");
    loop.advance(milliseconds(500));
    EXPECT_FALSE(first.claimed.is_owner());
    loop.advance(seconds(2));
    EXPECT_TRUE(first.claimed.is_owner());
    EXPECT_FALSE(first.continued.back());
}

// A pause of the owner or of its calls lets the lease end before it is renewed.
TEST_F(claim_test, has_one_owner_after_its_lease_has_ended)
{
    start();
    state.leases.begin()->second.first = loop.clock().now();
    loop.advance(seconds(2));
    EXPECT_EQ(owners(), 1);
    EXPECT_EQ(first.acquired.size() + second.acquired.size(), 2U);
    EXPECT_EQ(state.items.at("cell/owner").revision.value(),
              owner().claimed.token().value());
}

// A process that has ended cannot renew its claim, which would else stand for 2 s.
TEST_F(claim_test, is_replaced_at_once_by_the_next_process_of_the_same_host)
{
    first.claimed.start();
    loop.advance(seconds(1));
    ASSERT_TRUE(first.claimed.is_owner());
    const fence_token token = first.claimed.token();
    first.store.condition = store_condition::refusing;
    claimant restarted(loop, state, log, "restarted", "first");
    restarted.claimed.start();
    loop.advance(milliseconds(200));
    EXPECT_TRUE(restarted.claimed.is_owner());
    EXPECT_GT(restarted.claimed.token(), token);
    EXPECT_FALSE(restarted.continued.back());
}

TEST_F(claim_test, is_replaced_at_once_when_its_owner_is_gone)
{
    start();
    claimant& former = owner();
    claimant& successor = other();
    successor.claimed.on_owner_message(*successor.claimed.owner());
    successor.claimed.on_owner_stopped(former.claimed.token(), "test");
    loop.advance(milliseconds(200));
    EXPECT_TRUE(successor.claimed.is_owner());
    // The former owner lives after all, and sees that it was replaced.
    EXPECT_FALSE(former.claimed.is_owner());
    EXPECT_EQ(former.lost, 1);
}

// Word that an owner has gone may arrive after another one has claimed the cell.
TEST_F(claim_test, is_kept_when_only_an_earlier_owner_is_gone)
{
    start();
    claimant& former = owner();
    claimant& successor = other();
    const fence_token earlier = former.claimed.token();
    former.claimed.resign(seconds(1), "test");
    loop.advance(milliseconds(500));
    ASSERT_TRUE(successor.claimed.is_owner());
    former.claimed.on_owner_stopped(earlier, "test");
    loop.advance(seconds(3));
    EXPECT_TRUE(successor.claimed.is_owner());
    EXPECT_EQ(successor.acquired.size(), 1U);
}

// The store serves other instances, so only messages of the new owner tell this one.
TEST_F(claim_test, is_known_from_messages_while_the_store_turns_this_host_away)
{
    start();
    claimant& cut_off = other();
    cut_off.store.condition = store_condition::refusing;
    const owner_identity successor{instance_id("third"), endpoint("third:1"),
                                   fence_token(owner().claimed.token().value() + 10)};
    cut_off.claimed.on_owner_message(successor);
    EXPECT_EQ(cut_off.claimed.owner()->address, successor.address);
    EXPECT_EQ(cut_off.claimed.token(), successor.token);
    // The store's word on the former owner, when it returns, is older.
    cut_off.store.condition = store_condition::well;
    loop.advance(seconds(2));
    EXPECT_EQ(cut_off.claimed.token(), successor.token);
}

// A lapsed lease does not end an owner that the others still hear; their reports keep it
// informed until it has claimed again.
TEST_F(claim_test, keeps_the_owner_known_while_it_is_heard_after_its_lease_has_ended)
{
    start();
    claimant& former = owner();
    claimant& listener = other();
    former.store.condition = store_condition::refusing;
    for (int round = 0; round < 8; ++round)
    {
        loop.advance(milliseconds(500));
        listener.claimed.on_owner_message(*listener.claimed.owner());
        ASSERT_TRUE(listener.claimed.owner());
        EXPECT_EQ(listener.claimed.token(), former.claimed.token());
    }
}

// The store may cut a waiting watch without the change that ended the claim.
TEST_F(claim_test, passes_on_when_the_watch_missed_the_end_of_the_claim)
{
    start();
    claimant& successor = other();
    successor.store.condition = store_condition::cutting_watches;
    owner().claimed.release();
    loop.advance(milliseconds(2500));
    EXPECT_TRUE(successor.claimed.is_owner());
}

// Nothing in the store changes after a failed attempt, so no event starts the next one.
TEST_F(claim_test, is_tried_again_after_a_failed_attempt)
{
    first.claimed.start();
    loop.advance(milliseconds(5));
    first.store.condition = store_condition::refusing;
    loop.advance(milliseconds(500));
    EXPECT_FALSE(first.claimed.is_owner());
    first.store.condition = store_condition::well;
    loop.advance(milliseconds(1500));
    EXPECT_TRUE(first.claimed.is_owner());
}

} // namespace

} // namespace hawthornbeam::cell
