/// \file
/// Tests of the verdicts that callers get from the receiver, also when the store fails.
#include "hawthornbeam/cell/receiver.hpp"

#include "fleet.hpp"
#include "hawthornbeam/cell/observed_store.hpp"
#include "memory_store.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class receiver_test : public testing::Test
{
protected:
    receiver_parts parts()
    {
        return {loop,
                observed,
                log,
                [this] { return observed.is_failing(); },
                [this](const job_spec& job, kv_revision) { accepted.push_back(job.id); },
                [this](const job_key& job) { cancelled.push_back(job); },
                [this](const std::vector<job_key>&,
                       const std::function<void(
                           result<std::vector<std::pair<job_key, job_state>>>)>& done)
                {
                    if (owner_states.empty())
                        return done(make_error(error_code::unavailable, "no owner"));
                    done(owner_states);
                },
                [this](const relayed_change& change,
                       const std::function<void(result<verdict>)>& done)
                {
                    if (!other)
                        return done(make_error(error_code::unavailable, "no other"));
                    other->store_relayed(change, [done](verdict told) { done(told); });
                }};
    }
    verdict submit(const std::string& id, duration wait)
    {
        std::optional<verdict> told;
        requests.submit(fleet::job(id, "q", 1, 1),
                        [&told](verdict outcome) { told = outcome; });
        loop.advance(wait);
        return told.value_or(verdict::unknown);
    }
    query_answer query(const std::string& id)
    {
        query_answer told;
        requests.query(job_key(id), [&told](const query_answer& given) { told = given; });
        loop.advance(milliseconds(100));
        return told;
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    memory_store_state state{loop};
    memory_store store{state};
    observed_store observed{loop, store};
    std::vector<job_key> accepted;
    std::vector<job_key> cancelled;
    std::vector<std::pair<job_key, job_state>> owner_states;
    receiver* other = nullptr; ///< Another instance, which the store still serves.
    receiver requests{parts()};
};

TEST_F(receiver_test, stores_a_job_before_it_is_accepted)
{
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
    EXPECT_EQ(accepted.size(), 1U);
}

TEST_F(receiver_test, accepts_a_repeated_job_without_storing_it_again)
{
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    const kv_revision stored = state.items.at("cell/job/a").revision;
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_EQ(state.items.at("cell/job/a").revision, stored);
    EXPECT_EQ(accepted.size(), 1U);
}

TEST_F(receiver_test, stores_the_others_of_a_batch_in_which_one_is_repeated)
{
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    std::vector<verdict> told;
    for (const char* id : {"b", "a", "c"})
        requests.submit(fleet::job(id, "q", 1, 1),
                        [&told](verdict outcome) { told.push_back(outcome); });
    loop.advance(milliseconds(100));
    EXPECT_EQ(told, (std::vector<verdict>{verdict::done, verdict::done, verdict::done}));
    EXPECT_TRUE(state.items.contains("cell/job/b"));
    EXPECT_TRUE(state.items.contains("cell/job/c"));
}

TEST_F(receiver_test, refuses_at_once_when_the_store_has_done_nothing)
{
    store.condition = store_condition::refusing;
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::refused);
    EXPECT_TRUE(accepted.empty());
}

// A refusal promises that the job never runs. It must not follow a write whose answer was
// lost, since that write may have stored the job.
TEST_F(receiver_test, does_not_refuse_what_may_be_stored)
{
    store.condition = store_condition::losing_answers;
    std::optional<verdict> told;
    requests.submit(fleet::job("a", "q", 1, 1),
                    [&told](verdict outcome) { told = outcome; });
    loop.advance(milliseconds(1050));
    store.condition = store_condition::refusing;
    loop.advance(seconds(4));
    EXPECT_EQ(told, verdict::unknown);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
}

// The store may reject the calls of one host while it serves the others.
TEST_F(receiver_test, asks_another_instance_when_the_store_turns_this_host_away)
{
    memory_store served(state);
    receiver_parts others = parts();
    receiver helper({loop, served, log, [] { return false; }, others.accepted,
                     others.cancelled, others.query_owner, others.relay});
    other = &helper;
    store.condition = store_condition::refusing;
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
    std::optional<verdict> told;
    requests.cancel(job_key("a"), [&told](verdict outcome) { told = outcome; });
    loop.advance(milliseconds(100));
    EXPECT_EQ(told, verdict::done);
    served.condition = store_condition::refusing;
    EXPECT_EQ(submit("b", milliseconds(50)), verdict::refused);
}

class unanswering_store_test : public receiver_test,
                               public testing::WithParamInterface<store_condition>
{
protected:
    void fail()
    {
        store.condition = GetParam();
        for (int call = 0; call < 3; ++call)
            observed.read("a", [](const result<std::optional<store_item>>&) {});
        loop.advance(milliseconds(1500));
        ASSERT_TRUE(observed.is_failing());
    }
};

// If the receiver wrote to a store that is known to fail, each caller would wait 1.4 s
// and get no verdict.
TEST_P(unanswering_store_test, makes_refusals_immediate_and_true)
{
    fail();
    const std::size_t before = state.commits;
    EXPECT_EQ(submit("a", milliseconds(20)), verdict::refused);
    EXPECT_EQ(state.commits, before);
    store.condition = store_condition::well;
    loop.advance(seconds(10));
    EXPECT_FALSE(state.items.contains("cell/job/a"));
    EXPECT_EQ(submit("b", milliseconds(50)), verdict::refused);
    observed.read("a", [](const result<std::optional<store_item>>&) {});
    loop.advance(milliseconds(50));
    EXPECT_EQ(submit("b", milliseconds(50)), verdict::done);
}

TEST_P(unanswering_store_test, sends_jobs_straight_to_an_instance_that_is_served)
{
    memory_store served(state);
    receiver_parts others = parts();
    receiver helper({loop, served, log, [] { return false; }, others.accepted,
                     others.cancelled, others.query_owner, others.relay});
    other = &helper;
    fail();
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
}

INSTANTIATE_TEST_SUITE_P(conditions, unanswering_store_test,
                         testing::Values(store_condition::refusing,
                                         store_condition::losing_answers));

TEST_F(receiver_test, settles_a_lost_answer_by_storing_again)
{
    store.condition = store_condition::losing_answers;
    std::optional<verdict> told;
    requests.submit(fleet::job("a", "q", 1, 1),
                    [&told](verdict outcome) { told = outcome; });
    loop.advance(milliseconds(1050));
    store.condition = store_condition::well;
    loop.advance(milliseconds(500));
    EXPECT_EQ(told, verdict::done);
}

TEST_F(receiver_test, finds_an_accepted_job_of_which_no_owner_has_heard)
{
    submit("a", milliseconds(50));
    EXPECT_EQ(query("a").outcome, verdict::done);
    EXPECT_EQ(query("a").state, job_state::queued);
    owner_states = {{job_key("other"), job_state::running}};
    EXPECT_EQ(query("a").outcome, verdict::done);
    EXPECT_EQ(query("b").outcome, verdict::not_found);
}

TEST_F(receiver_test, says_not_found_only_when_the_store_has_answered)
{
    store.condition = store_condition::refusing;
    EXPECT_EQ(query("a").outcome, verdict::refused);
}

TEST_F(receiver_test, stores_a_cancel_before_it_is_confirmed)
{
    submit("a", milliseconds(50));
    std::optional<verdict> told;
    requests.cancel(job_key("a"), [&told](verdict outcome) { told = outcome; });
    loop.advance(milliseconds(100));
    EXPECT_EQ(told, verdict::done);
    EXPECT_TRUE(state.items.contains("cell/cancel/a"));
    EXPECT_EQ(cancelled.size(), 1U);
    requests.cancel(job_key("b"), [&told](verdict outcome) { told = outcome; });
    loop.advance(milliseconds(100));
    EXPECT_EQ(told, verdict::not_found);
}

} // namespace

} // namespace hawthornbeam::cell
