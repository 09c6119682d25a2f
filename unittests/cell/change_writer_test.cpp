/// \file
/// Tests the order, limits and retries of an owner's writes against a store whose answers
/// the test gives.
#include "lib/cell/change_writer.hpp"

#include "held_store.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint64_t claim_token = 7;
/// Longer than the pause before a failed transaction is repeated.
constexpr duration retry_time_limit = milliseconds(300);

pending_changes final_states(int count, const std::string& prefix = "j")
{
    pending_changes changes;
    for (int number = 0; number < count; ++number)
        changes.final_jobs.emplace_back(prefix + std::to_string(number), job_state::done);
    return changes;
}

/// The end of a run of \p job, listed by the worker as number \p listed.
pending_changes end_of_run(const std::string& job, std::uint64_t listed)
{
    pending_changes changes;
    changes.ends.push_back({{{job_key(job), 0, 0}, run_number(1)}, run_end::done});
    changes.covered.push_back(
        {worker_id("w"), worker_incarnation(1), end_number(listed)});
    return changes;
}

class change_writer_test : public testing::Test
{
protected:
    void write(pending_changes changes)
    {
        writer.add(std::move(changes));
        writer.write();
    }
    std::size_t states_in(std::size_t transaction) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            store.held.at(transaction).change.puts,
            [](const store_put& put) { return put.key.starts_with("cell/job/"); }));
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    held_store store;
    std::vector<job_key> stored_jobs;
    std::vector<end_number> acknowledged;
    std::vector<fence_token> superseding_tokens;
    change_writer writer{loop,
                         store,
                         log,
                         fence_token(claim_token),
                         {[this](const change_batch& batch)
                          {
                              for (const auto& [job, state] : batch.changes.final_jobs)
                                  stored_jobs.push_back(job);
                          },
                          [this](const std::vector<acknowledge_command>& covered)
                          {
                              for (const acknowledge_command& each : covered)
                                  acknowledged.push_back(each.last);
                          },
                          [this](const store_item& claim)
                          {
                              superseding_tokens.emplace_back(claim.revision.value());
                              return true;
                          }}};
};

} // namespace

// Guards against a rate of final states that the response time of a slow store bounds.
TEST_F(change_writer_test, transactions_overlap_while_the_store_is_slow)
{
    write(final_states(100));
    ASSERT_EQ(store.held.size(), 5U);
    for (std::size_t each = 0; each < store.held.size(); ++each)
    {
        EXPECT_LE(store.held[each].change.size(), max_transaction_entries);
        EXPECT_EQ(store.held[each].change.expect.size(), 1U);
    }
    store.commit_all();
    EXPECT_EQ(stored_jobs.size(), 100U);
}

TEST_F(change_writer_test, number_of_open_transactions_is_bounded)
{
    write(final_states(1000));
    EXPECT_EQ(store.held.size(), 8U);
    EXPECT_FALSE(writer.has_capacity());
    store.commit_first();
    writer.write();
    EXPECT_EQ(store.held.size(), 8U);
}

// Guards against a worker that drops a run end which is not stored: after the loss of the
// owner its task would run again.
TEST_F(change_writer_test, ends_are_acknowledged_only_after_those_of_earlier_batches)
{
    write(end_of_run("a", 1));
    write(end_of_run("b", 2));
    ASSERT_EQ(store.held.size(), 2U);
    store.commit(1);
    EXPECT_TRUE(acknowledged.empty());
    store.commit(0);
    EXPECT_EQ(acknowledged, (std::vector{end_number(1), end_number(2)}));
}

// The ends of jobs that do not fit into the first transaction are not stored by it.
TEST_F(change_writer_test, ends_are_acknowledged_only_after_all_final_states_of_a_batch)
{
    pending_changes changes = final_states(30);
    changes.covered = end_of_run("a", 9).covered;
    write(std::move(changes));
    ASSERT_EQ(store.held.size(), 2U);
    store.commit_first();
    EXPECT_TRUE(acknowledged.empty());
    store.commit_first();
    EXPECT_EQ(acknowledged.size(), 1U);
}

TEST_F(change_writer_test, ends_without_a_record_wait_for_earlier_batches)
{
    write(end_of_run("a", 1));
    pending_changes stopped;
    stopped.covered = end_of_run("b", 2).covered;
    write(std::move(stopped));
    ASSERT_EQ(store.held.size(), 1U);
    EXPECT_TRUE(acknowledged.empty());
    store.commit_first();
    EXPECT_EQ(acknowledged.size(), 2U);
}

/// How the store treats a transaction that it does not confirm.
class failed_write_test : public change_writer_test,
                          public testing::WithParamInterface<error_code>
{
};

TEST_P(failed_write_test, is_repeated_with_the_same_values_under_the_present_claim)
{
    write(end_of_run("a", 1));
    const std::string key = store.held[0].change.puts[0].key;
    const std::string value = store.held[0].change.puts[0].value;
    writer.set_token(fence_token(claim_token + 1));
    store.fail_first(GetParam());
    EXPECT_TRUE(acknowledged.empty());
    loop.advance(retry_time_limit);
    ASSERT_EQ(store.held.size(), 1U);
    EXPECT_EQ(store.held[0].change.puts[0].key, key);
    EXPECT_EQ(store.held[0].change.puts[0].value, value);
    EXPECT_EQ(store.held[0].change.expect[0].revision.value(), claim_token + 1);
    store.commit_first();
    EXPECT_EQ(acknowledged.size(), 1U);
}

// Guards against a stampede on a store that comes back: one call finds out.
TEST_P(failed_write_test, others_wait_until_one_is_stored)
{
    write(final_states(60));
    ASSERT_EQ(store.held.size(), 3U);
    while (!store.held.empty())
        store.fail_first(GetParam());
    write(final_states(60, "later"));
    EXPECT_TRUE(store.held.empty());
    loop.advance(retry_time_limit);
    ASSERT_EQ(store.held.size(), 1U);
    store.commit_first();
    EXPECT_EQ(store.held.size(), 2U);
    store.commit_all();
    writer.write();
    store.commit_all();
    EXPECT_EQ(stored_jobs.size(), 120U);
}

INSTANTIATE_TEST_SUITE_P(errors, failed_write_test,
                         testing::Values(error_code::unavailable,
                                         error_code::outcome_unknown,
                                         error_code::limit_exceeded));

TEST_F(change_writer_test, higher_claim_supersedes_the_owner)
{
    write(final_states(1));
    store.conflict_first({"cell/owner", "", kv_revision(claim_token + 5)});
    EXPECT_EQ(superseding_tokens, std::vector{fence_token(claim_token + 5)});
    loop.advance(retry_time_limit);
    EXPECT_TRUE(store.held.empty());
    EXPECT_TRUE(stored_jobs.empty());
}

} // namespace hawthornbeam::cell
