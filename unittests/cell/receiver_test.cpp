/// \file
/// Tests of the verdicts that callers get from the receiver, also when the store fails.
#include "hawthornbeam/cell/receiver.hpp"

#include "fleet.hpp"
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
                    if (!relay_target)
                        return done(make_error(error_code::unavailable, "no other"));
                    relay_target->store_relayed(change,
                                                [done](verdict answer) { done(answer); });
                }};
    }
    static queue_policy policy_of(const std::string& queue)
    {
        queue_policy policy;
        policy.name = queue_name(queue);
        return policy;
    }
    verdict submit(const std::string& id, duration wait)
    {
        std::optional<verdict> answer;
        requests.submit(fleet::job(id, "q", 1, 1),
                        [&answer](verdict outcome) { answer = outcome; });
        loop.advance(wait);
        return answer.value_or(verdict::unknown);
    }
    query_answer query(const std::string& id)
    {
        query_answer answer;
        requests.query(job_key(id),
                       [&answer](const query_answer& given) { answer = given; });
        loop.advance(milliseconds(100));
        return answer;
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    memory_store_state state{loop};
    memory_store store{state};
    observed_store observed{loop, store};
    std::vector<job_key> accepted;
    std::vector<job_key> cancelled;
    std::vector<std::pair<job_key, job_state>> owner_states;
    receiver* relay_target = nullptr; ///< Another instance, which the store still serves.
    receiver requests{parts()};
};

TEST_F(receiver_test, an_accepted_job_is_stored)
{
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
    EXPECT_EQ(accepted.size(), 1U);
}

// Guards against jobs whose queue is removed before any owner reads its policy.
TEST_F(receiver_test, policy_of_a_queue_is_stored_with_its_first_job)
{
    requests.configure({policy_of("q")});
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    ASSERT_TRUE(state.items.contains("cell/queue/q"));
    const kv_revision stored = state.items.at("cell/queue/q").revision;
    EXPECT_EQ(stored, state.items.at("cell/job/a").revision);
    EXPECT_EQ(submit("b", milliseconds(50)), verdict::done);
    EXPECT_EQ(state.items.at("cell/queue/q").revision, stored);
    EXPECT_EQ(state.commits, 2U);
    requests.configure({});
    EXPECT_EQ(submit("c", milliseconds(50)), verdict::done);
    EXPECT_GT(state.items.at("cell/queue/q").revision, stored);
}

// Guards against transactions that are refused because they have too many entries.
TEST_F(receiver_test, jobs_of_many_queues_are_stored_with_their_policies)
{
    std::vector<queue_policy> queues(20);
    for (std::size_t number = 0; number < queues.size(); ++number)
        queues[number].name = queue_name("q" + std::to_string(number));
    requests.configure(queues);
    std::size_t stored = 0;
    for (std::size_t number = 0; number < 4 * queues.size(); ++number)
        requests.submit(fleet::job("j" + std::to_string(number),
                                   queues[number % queues.size()].name.value(), 1, 1),
                        [&stored](verdict outcome)
                        { stored += outcome == verdict::done ? 1U : 0U; });
    loop.advance(milliseconds(200));
    EXPECT_EQ(stored, 4 * queues.size());
    for (const queue_policy& queue : queues)
        EXPECT_TRUE(state.items.contains("cell/queue/" + queue.name.value()));
}

TEST_F(receiver_test, a_repeated_job_is_accepted_and_not_stored_again)
{
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    const kv_revision stored = state.items.at("cell/job/a").revision;
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_EQ(state.items.at("cell/job/a").revision, stored);
    EXPECT_EQ(accepted.size(), 1U);
}

TEST_F(receiver_test, a_repeated_job_does_not_keep_its_batch_from_being_stored)
{
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    std::vector<verdict> answers;
    for (const char* id : {"b", "a", "c"})
        requests.submit(fleet::job(id, "q", 1, 1),
                        [&answers](verdict outcome) { answers.push_back(outcome); });
    loop.advance(milliseconds(100));
    EXPECT_EQ(answers,
              (std::vector<verdict>{verdict::done, verdict::done, verdict::done}));
    EXPECT_TRUE(state.items.contains("cell/job/b"));
    EXPECT_TRUE(state.items.contains("cell/job/c"));
}

// Guards against callers that are told that their job does not run, while an earlier
// request has stored it.
TEST_F(receiver_test, a_job_that_an_earlier_request_may_have_stored_is_not_refused)
{
    store.condition = store_condition::losing_answers;
    EXPECT_EQ(submit("a", seconds(3)), verdict::unknown);
    store.condition = store_condition::refusing;
    EXPECT_EQ(submit("a", seconds(3)), verdict::unknown);
    EXPECT_EQ(submit("b", seconds(3)), verdict::refused);
    store.condition = store_condition::well;
    // A call that the store answers shows that it serves this host again.
    EXPECT_EQ(query("a").outcome, verdict::done);
    EXPECT_EQ(submit("a", seconds(3)), verdict::done);
}

TEST_F(receiver_test, a_job_is_refused_at_once_when_the_store_wrote_nothing)
{
    store.condition = store_condition::refusing;
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::refused);
    EXPECT_TRUE(accepted.empty());
}

// A refusal promises that the job never runs. It must not follow a write whose answer was
// lost, since that write may have stored the job.
TEST_F(receiver_test, a_job_that_may_be_stored_is_not_refused)
{
    store.condition = store_condition::losing_answers;
    std::optional<verdict> answer;
    requests.submit(fleet::job("a", "q", 1, 1),
                    [&answer](verdict outcome) { answer = outcome; });
    loop.advance(milliseconds(1050));
    store.condition = store_condition::refusing;
    loop.advance(seconds(4));
    EXPECT_EQ(answer, verdict::unknown);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
}

// The store may reject the calls of one host while it serves the others.
TEST_F(receiver_test, jobs_and_cancels_are_relayed_when_the_store_refuses_this_host)
{
    memory_store served_store(state);
    receiver_parts served_parts = parts();
    receiver served_receiver({loop, served_store, log, [] { return false; },
                              served_parts.on_accepted, served_parts.on_cancelled,
                              served_parts.query_owner, served_parts.relay});
    served_receiver.configure({policy_of("q")});
    relay_target = &served_receiver;
    store.condition = store_condition::refusing;
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
    std::optional<verdict> answer;
    requests.cancel(job_key("a"), [&answer](verdict outcome) { answer = outcome; });
    loop.advance(milliseconds(100));
    EXPECT_EQ(answer, verdict::done);
    served_store.condition = store_condition::refusing;
    EXPECT_EQ(submit("b", milliseconds(50)), verdict::refused);
}

// Guards against accepted jobs whose queue no owner knows: only the sender of a relayed
// job may have read the configuration with its queue.
TEST_F(receiver_test, relayed_job_of_an_unknown_queue_is_refused)
{
    memory_store served_store(state);
    receiver_parts served_parts = parts();
    receiver served_receiver({loop, served_store, log, [] { return false; },
                              served_parts.on_accepted, served_parts.on_cancelled,
                              served_parts.query_owner, served_parts.relay});
    relay_target = &served_receiver;
    requests.configure({policy_of("q")});
    store.condition = store_condition::refusing;
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::refused);
    EXPECT_FALSE(state.items.contains("cell/job/a"));
    served_receiver.configure({policy_of("q")});
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_TRUE(state.items.contains("cell/queue/q"));
}

class failing_store_test : public receiver_test,
                           public testing::WithParamInterface<store_condition>
{
protected:
    void make_store_fail()
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
TEST_P(failing_store_test, jobs_are_refused_at_once_and_never_stored_later)
{
    make_store_fail();
    const std::size_t commits_before = state.commits;
    EXPECT_EQ(submit("a", milliseconds(20)), verdict::refused);
    EXPECT_EQ(state.commits, commits_before);
    store.condition = store_condition::well;
    loop.advance(seconds(10));
    EXPECT_FALSE(state.items.contains("cell/job/a"));
    EXPECT_EQ(submit("b", milliseconds(50)), verdict::refused);
    observed.read("a", [](const result<std::optional<store_item>>&) {});
    loop.advance(milliseconds(50));
    EXPECT_EQ(submit("b", milliseconds(50)), verdict::done);
}

TEST_P(failing_store_test, jobs_are_relayed_at_once_to_an_instance_that_reaches_the_store)
{
    memory_store served_store(state);
    receiver_parts served_parts = parts();
    receiver served_receiver({loop, served_store, log, [] { return false; },
                              served_parts.on_accepted, served_parts.on_cancelled,
                              served_parts.query_owner, served_parts.relay});
    served_receiver.configure({policy_of("q")});
    relay_target = &served_receiver;
    make_store_fail();
    EXPECT_EQ(submit("a", milliseconds(50)), verdict::done);
    EXPECT_TRUE(state.items.contains("cell/job/a"));
}

INSTANTIATE_TEST_SUITE_P(conditions, failing_store_test,
                         testing::Values(store_condition::refusing,
                                         store_condition::losing_answers));

TEST_F(receiver_test, a_lost_store_answer_is_resolved_by_writing_again)
{
    store.condition = store_condition::losing_answers;
    std::optional<verdict> answer;
    requests.submit(fleet::job("a", "q", 1, 1),
                    [&answer](verdict outcome) { answer = outcome; });
    loop.advance(milliseconds(1050));
    store.condition = store_condition::well;
    loop.advance(milliseconds(500));
    EXPECT_EQ(answer, verdict::done);
}

TEST_F(receiver_test, a_query_finds_a_stored_job_that_the_owner_does_not_know)
{
    submit("a", milliseconds(50));
    EXPECT_EQ(query("a").outcome, verdict::done);
    EXPECT_EQ(query("a").state, job_state::queued);
    owner_states = {{job_key("other"), job_state::running}};
    EXPECT_EQ(query("a").outcome, verdict::done);
    EXPECT_EQ(query("b").outcome, verdict::not_found);
}

TEST_F(receiver_test, a_query_without_a_store_answer_is_refused_not_answered_not_found)
{
    store.condition = store_condition::refusing;
    EXPECT_EQ(query("a").outcome, verdict::refused);
}

TEST_F(receiver_test, a_confirmed_cancel_is_stored)
{
    submit("a", milliseconds(50));
    std::optional<verdict> answer;
    requests.cancel(job_key("a"), [&answer](verdict outcome) { answer = outcome; });
    loop.advance(milliseconds(100));
    EXPECT_EQ(answer, verdict::done);
    EXPECT_TRUE(state.items.contains("cell/cancel/a"));
    EXPECT_EQ(cancelled.size(), 1U);
    requests.cancel(job_key("b"), [&answer](verdict outcome) { answer = outcome; });
    loop.advance(milliseconds(100));
    EXPECT_EQ(answer, verdict::not_found);
}

/// Cancels of jobs that the store has not shown, of which a write may be open.
class absent_job_test : public receiver_test
{
protected:
    verdict cancel(receiver& at, const std::string& id, duration wait = milliseconds(100))
    {
        std::optional<verdict> answer;
        at.cancel(job_key(id), [&answer](verdict outcome) { answer = outcome; });
        loop.advance(wait);
        return answer.value_or(verdict::unknown);
    }
    receiver_parts parts_on(cell_store& used)
    {
        receiver_parts base = parts();
        return {loop,
                used,
                log,
                [] { return false; },
                base.on_accepted,
                base.on_cancelled,
                base.query_owner,
                base.relay};
    }

    late_store slow{store};
    memory_store other_store{state};
    receiver sender{parts_on(slow)};
    receiver other{parts_on(other_store)};
};

// Guards against a cancel that is answered by "no such job" although a write of the job
// is executed later.
TEST_F(absent_job_test, is_cancelled_before_its_late_write_is_executed)
{
    slow.late_key = "cell/job/a";
    std::optional<verdict> submitted;
    sender.submit(fleet::job("a", "q", 1, 1),
                  [&submitted](verdict outcome) { submitted = outcome; });
    loop.advance(seconds(3));
    ASSERT_EQ(submitted, verdict::unknown);
    EXPECT_EQ(cancel(other, "a"), verdict::not_found);
    slow.execute_late();
    loop.advance(milliseconds(100));
    EXPECT_TRUE(state.items.contains("cell/job/a"));
    EXPECT_TRUE(state.items.contains("cell/cancel/a"));
    EXPECT_EQ(cancelled, std::vector{job_key("a")});
}

// Guards against a verdict from one reading when the job is stored right after it.
TEST_F(absent_job_test, that_is_stored_after_the_reading_is_cancelled)
{
    std::optional<verdict> answer;
    requests.cancel(job_key("a"), [&answer](verdict outcome) { answer = outcome; });
    loop.advance(milliseconds(5));
    ASSERT_FALSE(answer);
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    ++state.revision;
    state.put("cell/job/a", encode(record), lease_id());
    loop.advance(milliseconds(100));
    EXPECT_EQ(answer, verdict::done);
    EXPECT_TRUE(state.items.contains("cell/cancel/a"));
}

// Guards against an uncertain verdict while the store does not answer.
TEST_F(absent_job_test, is_not_reported_as_unknown_without_a_stored_cancel)
{
    store.condition = store_condition::losing_answers;
    EXPECT_EQ(cancel(requests, "a", seconds(6)), verdict::refused);
    store.condition = store_condition::refusing;
    EXPECT_EQ(cancel(requests, "a", seconds(6)), verdict::refused);
}

// Guards against an unconditional record for each relayed cancel.
TEST_F(absent_job_test, is_reported_as_unknown_by_a_relay)
{
    relay_target = &other;
    store.condition = store_condition::refusing;
    EXPECT_EQ(cancel(requests, "a"), verdict::not_found);
    EXPECT_TRUE(state.items.contains("cell/cancel/a"));
}

// Guards against clients that fill the store with cancels of jobs that never existed.
TEST_F(absent_job_test, is_stored_as_cancelled_at_a_limited_rate)
{
    constexpr int crowd = 2000;
    std::map<verdict, int> answers;
    for (int number = 0; number < crowd; ++number)
        requests.cancel(job_key(std::to_string(number)),
                        [&answers](verdict outcome) { ++answers[outcome]; });
    loop.advance(seconds(1));
    EXPECT_EQ(answers[verdict::refused] + answers[verdict::not_found], crowd);
    EXPECT_LE(state.items.size(), 250U);
    EXPECT_EQ(static_cast<std::size_t>(answers[verdict::not_found]), state.items.size());
    loop.advance(seconds(5));
    EXPECT_EQ(cancel(requests, "later"), verdict::not_found);
}

} // namespace

} // namespace hawthornbeam::cell
