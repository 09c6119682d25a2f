/// \file
/// Tests of the partition journal under failures of the key-value service.
#include "journal_fixture.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

partition_journal::options small_options()
{
    partition_journal::options settings;
    settings.max_segment_bytes = 400;
    settings.max_segments = 3;
    settings.snapshot_part_bytes = 500;
    return settings;
}

class journal_test : public testing::Test
{
protected:
    /// Claims as a third instance and returns the ids of the requests that it recovers.
    std::set<std::string> recover()
    {
        journal_owner reader(loop, store, "reader");
        EXPECT_TRUE(reader.claim()) << reader.claimed->error().message;
        return reader.recovered_requests();
    }
    void append_range(journal_owner& owner, int begin, int end)
    {
        for (int i = begin; i < end; ++i)
        {
            owner.append(i);
            loop.advance(milliseconds(150));
        }
    }

    manual_event_loop loop;
    std::shared_ptr<fake_kv_store> store = std::make_shared<fake_kv_store>();
    journal_owner first{loop, store, "first", small_options()};
    journal_owner second{loop, store, "second", small_options()};
};

// Guards against records and fields that are lost by encoding and decoding.
TEST_F(journal_test, a_claim_recovers_all_fields_of_appended_records)
{
    ASSERT_TRUE(first.claim());
    EXPECT_EQ(first.claimed->value().owner_epoch, epoch(1));
    job_accepted job = make_job(1);
    job.job.size = resources{millicores(1500), byte_count(7), accelerator_count(2)};
    job.at = wall_time(milliseconds(77));
    first.append_record(1, job);
    first.append_record(
        2, job_progress{job.job.id, {{3, task_state::failed, false, "out"}}});
    first.append_record(3, job_cancelling{job.job.id});
    first.append_record(4, job_ended{job.job.id, wire::job_verdict::cancelled, "why"});
    loop.advance(seconds(1));
    ASSERT_EQ(first.durable.size(), 4U);
    ASSERT_TRUE(second.claim(seconds(1)));
    EXPECT_EQ(second.claimed->value().owner_epoch, epoch(2));
    ASSERT_EQ(second.claimed->value().jobs.size(), 1U);
    const journaled_job& recovered = second.claimed->value().jobs.front();
    EXPECT_EQ(recovered.job.size, job.job.size);
    EXPECT_EQ(recovered.accepted, job.at);
    ASSERT_EQ(recovered.ended.size(), 1U);
    EXPECT_EQ(recovered.ended.front().output, "out");
    EXPECT_FALSE(recovered.ended.front().known);
    EXPECT_TRUE(recovered.cancelling && recovered.has_verdict);
    EXPECT_EQ(recovered.verdict, wire::job_verdict::cancelled);
    EXPECT_EQ(recovered.reason, "why");
}

// Guards against more calls than documented: one per batch, two per claim, none when
// idle.
TEST_F(journal_test, calls_to_the_key_value_service_are_bounded)
{
    journal_owner third(loop, store, "third");
    ASSERT_TRUE(third.claim());
    EXPECT_EQ(third.kv.total_calls(), 2U);
    third.append(1);
    third.append(2);
    third.append(3);
    loop.advance(milliseconds(10));
    EXPECT_EQ(third.durable.size(), 3U);
    EXPECT_EQ(third.kv.total_calls(), 3U);
    for (int i = 4; i < 24; ++i)
    {
        third.append(i, 1);
        loop.advance(milliseconds(20));
    }
    EXPECT_EQ(third.durable.size() + third.journal->waiting_records(), 23U);
    EXPECT_LE(third.kv.total_calls(), 3U + 5U); // At most ten batches a second.
    loop.advance(seconds(10));
    const std::uint64_t calls = third.kv.total_calls();
    loop.advance(std::chrono::hours(24));
    EXPECT_EQ(third.kv.total_calls(), calls);
}

// Guards against two journals with the same name, seed and time that mistake each other's
// claim for their own. The benchmark program ran into this.
TEST_F(journal_test, journals_with_equal_name_seed_and_time_have_different_change_ids)
{
    journal_owner twin(loop, store, "first", small_options());
    first.start_claim();
    twin.start_claim();
    loop.advance(seconds(1));
    EXPECT_NE(first.claimed->has_value(), twin.claimed->has_value());
}

// Guards against two owners after two concurrent claims.
TEST_F(journal_test, only_one_of_two_concurrent_claims_succeeds)
{
    first.start_claim();
    second.start_claim();
    loop.advance(seconds(1));
    ASSERT_TRUE(first.claimed && second.claimed);
    EXPECT_NE(first.claimed->has_value(), second.claimed->has_value());
    const journal_owner& loser = first.claimed->has_value() ? second : first;
    EXPECT_EQ(loser.claimed->error().code, error_code::conflict);
}

// Guards against an owner whose write is sent before a claim by another instance, arrives
// after it and is accepted. The parameter is the number of earlier appends, so that the
// delayed write is an append to the head, one that fills a segment or a compaction.
class paused_owner_test : public journal_test, public testing::WithParamInterface<int>
{
};

TEST_P(paused_owner_test, a_delayed_write_of_a_paused_owner_is_rejected_after_a_claim)
{
    ASSERT_TRUE(first.claim());
    append_range(first, 0, GetParam());
    const std::size_t acknowledged = first.durable.size();
    first.kv.faults().holds_requests = true;
    append_range(first, 100, 104);
    ASSERT_TRUE(second.claim());
    append_range(second, 200, 230); // Compacts the journal and deletes values meanwhile.
    first.kv.release_held();
    loop.advance(seconds(30));
    EXPECT_EQ(first.fence_count, 1);
    EXPECT_EQ(first.durable.size(), acknowledged);
    EXPECT_EQ(first.failed.size(), 4U);
    EXPECT_EQ(first.failed[100], error_code::conflict);
    EXPECT_EQ(recover().size(), acknowledged + 30);
}

INSTANTIATE_TEST_SUITE_P(fills, paused_owner_test, testing::Range(0, 24));

// Guards against a record that is reported as not written although the next owner has
// recovered it.
TEST_F(journal_test, a_record_recovered_by_a_claim_is_reported_as_durable)
{
    ASSERT_TRUE(first.claim());
    first.append(1);
    first.kv.faults().lost_answers = 1;
    first.kv.faults().holds_answers = true;
    loop.advance(milliseconds(1));
    ASSERT_TRUE(second.claim());
    EXPECT_EQ(second.recovered_requests(), std::set<std::string>{"r-1"});
    append_range(second, 200, 230);
    first.kv.release_held();
    loop.advance(seconds(30));
    EXPECT_EQ(first.durable, std::set<int>{1});
    EXPECT_EQ(first.fence_count, 1);
}

struct write_fault
{
    int lost_answers;
    int lost_writes;
    int outage_ms; ///< Duration of an outage that starts right after the write.
};

class append_fault_test : public journal_test,
                          public testing::WithParamInterface<write_fault>
{
};

// Guards against records that are lost or written twice after an unknown outcome.
TEST_P(append_fault_test, an_append_of_unknown_outcome_is_neither_lost_nor_duplicated)
{
    ASSERT_TRUE(first.claim());
    append_range(first, 0, 5);
    first.kv.faults().lost_answers = GetParam().lost_answers;
    first.kv.faults().lost_writes = GetParam().lost_writes;
    first.append(5);
    loop.advance(milliseconds(1));
    store->is_down = GetParam().outage_ms > 0;
    loop.advance(milliseconds(GetParam().outage_ms));
    store->is_down = false;
    loop.advance(seconds(30));
    append_range(first, 6, 12);
    EXPECT_EQ(first.durable.size(), 12U);
    EXPECT_TRUE(first.failed.empty());
    EXPECT_FALSE(first.journal->is_degraded());
    EXPECT_EQ(recover().size(), 12U);
}

INSTANTIATE_TEST_SUITE_P(faults, append_fault_test,
                         testing::Values(write_fault{1, 0, 0}, write_fault{0, 1, 0},
                                         write_fault{3, 0, 0}, write_fault{0, 4, 0},
                                         write_fault{1, 0, 20000},
                                         write_fault{0, 1, 20000}));

// Guards against a later batch that references the segment of a failed batch. The head
// has more records by then, which the segment does not hold.
TEST_F(journal_test, the_segment_of_a_failed_batch_is_not_reused)
{
    ASSERT_TRUE(first.claim());
    append_range(first, 0, 2);
    first.kv.faults().latency = milliseconds(2);
    first.append(2, 300);
    while (store->state.list("journal/0/segment").empty())
        loop.advance(milliseconds(1));
    store->is_down = true;
    loop.advance(seconds(1));
    store->is_down = false;
    EXPECT_EQ(first.failed[2], error_code::unavailable);
    append_range(first, 3, 4);
    EXPECT_EQ(store->state.list("journal/0/segment").size(), 0U);
    append_range(first, 4, 8);
    EXPECT_EQ(first.durable.size(), 7U);
    EXPECT_EQ(recover().size(), 7U);
}

// Guards against appends that stay pending or are acknowledged while the service is down.
TEST_F(journal_test, appends_fail_at_once_while_the_service_is_down)
{
    ASSERT_TRUE(first.claim());
    store->is_down = true;
    first.append(1);
    loop.advance(milliseconds(1));
    EXPECT_EQ(first.failed[1], error_code::unavailable);
    EXPECT_TRUE(first.journal->is_degraded());
    store->is_down = false;
    loop.advance(seconds(1));
    first.append(2);
    loop.advance(seconds(1));
    EXPECT_FALSE(first.journal->is_degraded());
    EXPECT_EQ(recover(), std::set<std::string>{"r-2"});
}

// Guards against appends that stay queued behind a write of unknown outcome during an
// outage.
TEST_F(journal_test, appends_queued_behind_a_write_of_unknown_outcome_fail_at_once)
{
    ASSERT_TRUE(first.claim());
    first.kv.faults().lost_answers = 1;
    first.append(1);
    loop.advance(milliseconds(1));
    store->is_down = true;
    loop.advance(seconds(1));
    first.append(2);
    loop.advance(milliseconds(1));
    EXPECT_EQ(first.failed[2], error_code::unavailable);
    EXPECT_EQ(first.answer_counts[1], 0);
    store->is_down = false;
    loop.advance(seconds(10));
    EXPECT_TRUE(first.durable.contains(1));
}

// Guards against a claim that fails, or an owner that fences itself, because the answer
// to the claim's write was lost.
TEST_F(journal_test, a_claim_succeeds_when_the_answer_to_its_write_is_lost)
{
    ASSERT_TRUE(first.claim());
    append_range(first, 0, 3);
    second.kv.faults().lost_answers = 1;
    ASSERT_TRUE(second.claim());
    EXPECT_EQ(second.claimed->value().owner_epoch, epoch(2));
    append_range(second, 3, 6);
    EXPECT_EQ(second.durable.size(), 3U);
    EXPECT_EQ(recover().size(), 6U);
}

// Guards against a claim that fails because the former owner appends concurrently.
TEST_F(journal_test, a_claim_succeeds_during_concurrent_appends)
{
    ASSERT_TRUE(first.claim());
    second.kv.faults().latency = milliseconds(50);
    second.start_claim();
    append_range(first, 0, 2);
    loop.advance(seconds(1));
    ASSERT_TRUE(second.claimed && second.claimed->has_value());
    EXPECT_EQ(second.recovered_requests().size(), first.durable.size());
}

// Guards against values that are lost or never deleted when the owner crashes between
// writing the snapshot and deleting old values, when another instance claims during a
// compaction, and when deletes fail. The parameter is the number of calls before the
// crash.
class compaction_test : public journal_test, public testing::WithParamInterface<int>
{
};

TEST_P(compaction_test, compaction_loses_no_record_when_the_owner_crashes_after_any_call)
{
    ASSERT_TRUE(first.claim());
    const std::uint64_t calls = first.kv.total_calls();
    first.kv.faults().rejected_removes = GetParam() % 3;
    int appended = 0;
    while (first.kv.total_calls() < calls + static_cast<std::uint64_t>(GetParam()))
    {
        first.append(appended++);
        for (int i = 0; i < 150 && first.kv.total_calls() <
                                       calls + static_cast<std::uint64_t>(GetParam());
             ++i)
            loop.advance(milliseconds(1));
    }
    first.kv.faults().holds_requests = true; // The first owner crashes here.
    ASSERT_TRUE(second.claim());
    const std::size_t recovered = second.recovered_requests().size();
    EXPECT_GE(recovered, first.durable.size());
    first.kv.release_held();
    loop.advance(seconds(30));
    EXPECT_EQ(recover().size(), std::max(recovered, first.durable.size()));
    EXPECT_LE(store->state.list("journal/0/").size(), 20U);
}

INSTANTIATE_TEST_SUITE_P(calls, compaction_test, testing::Range(1, 60, 2));

// Guards against a snapshot that exceeds the size of a value, and against ended jobs that
// are never dropped.
TEST_F(journal_test, a_large_snapshot_is_split_and_ended_jobs_are_dropped)
{
    ASSERT_TRUE(first.claim());
    for (int i = 0; i < 40; ++i)
    {
        first.append(i, 300);
        if (i % 2 == 0)
            first.append_record(
                1000 + i, job_ended{make_job(i).job.id, wire::job_verdict::done, ""});
        loop.advance(milliseconds(150));
    }
    EXPECT_GT(store->state.list("journal/0/snapshot").size(), 5U);
    loop.advance(std::chrono::minutes(11));
    EXPECT_EQ(recover().size(), 20U);
}

// Guards against a compaction that drops segments although their snapshot was not
// written.
TEST_F(journal_test, a_too_large_snapshot_is_not_written_and_the_segments_are_kept)
{
    partition_journal::options settings = small_options();
    settings.max_snapshot_parts = 1;
    journal_owner third(loop, store, "third", settings);
    ASSERT_TRUE(third.claim());
    append_range(third, 0, 40);
    EXPECT_FALSE(third.log_lines.empty());
    EXPECT_EQ(third.durable.size(), 40U);
    EXPECT_EQ(recover().size(), 40U);
}

struct damage
{
    const char* prefix; ///< The first key with this prefix is damaged.
    std::size_t byte;   ///< Offset; the last byte if it is beyond the value.
};

class damage_test : public journal_test, public testing::WithParamInterface<damage>
{
};

// Guards against damaged values that are treated as an empty journal or overwritten.
TEST_P(damage_test, a_damaged_value_is_reported_with_its_key_and_nothing_is_written)
{
    ASSERT_TRUE(first.claim());
    append_range(first, 0, 30);
    const std::vector<kv_entry> entries = store->state.list(GetParam().prefix);
    ASSERT_FALSE(entries.empty());
    std::string value = entries.front().value;
    value[std::min(GetParam().byte, value.size() - 1)] ^= 1;
    ASSERT_TRUE(store->state.write(entries.front().key, value, entries.front().revision));
    const kv_revision newest = store->state.newest();
    EXPECT_FALSE(second.claim());
    EXPECT_EQ(second.claimed->error().code, error_code::invalid_input);
    EXPECT_NE(second.claimed->error().message.find(entries.front().key),
              std::string::npos);
    EXPECT_EQ(store->state.newest(), newest);
}

INSTANTIATE_TEST_SUITE_P(
    values, damage_test,
    testing::Values(damage{"journal/0/head", 0}, damage{"journal/0/head", 3},
                    damage{"journal/0/head", 4}, damage{"journal/0/head", 9999},
                    damage{"journal/0/segment", 20}, damage{"journal/0/snapshot", 20}));

// Guards against a released partition that still has an owner, and against queued records
// that are lost by the release.
TEST_F(journal_test, release_writes_queued_records_and_clears_the_owner)
{
    ASSERT_TRUE(first.claim());
    first.append(1);
    first.append(2);
    std::optional<result<bool>> released;
    first.journal->release([&](result<bool> outcome) { released = outcome; });
    first.append(3);
    loop.advance(seconds(1));
    ASSERT_TRUE(released && released->has_value());
    EXPECT_FALSE(first.journal->is_owner());
    EXPECT_EQ(first.durable.size(), 2U);
    EXPECT_EQ(first.failed[3], error_code::unavailable);
    std::optional<partition_owner> owner;
    read_partition_owner(second.kv, partition_id(),
                         [&](result<partition_owner> outcome)
                         { owner = outcome.value(); });
    loop.advance(seconds(1));
    EXPECT_TRUE(owner && owner->owner.empty());
    EXPECT_EQ(recover().size(), 2U);
}

// Guards against an owner that resumes after a suspension and does not detect that
// another instance has claimed the partition.
TEST_F(journal_test, confirm_fences_an_owner_that_has_a_successor)
{
    ASSERT_TRUE(first.claim());
    std::vector<bool> confirmed;
    const auto record_outcome = [&](const result<bool>& outcome)
    { confirmed.push_back(outcome.has_value()); };
    first.journal->confirm(record_outcome);
    loop.advance(seconds(1));
    ASSERT_TRUE(second.claim());
    first.journal->confirm(record_outcome);
    loop.advance(seconds(1));
    EXPECT_EQ(confirmed, (std::vector<bool>{true, false}));
    EXPECT_EQ(first.fence_count, 1);
}

// Guards against an owner that does not detect a service that answers slowly or never,
// and against a callback that is called twice when the answer arrives late.
TEST_F(journal_test, a_service_without_answers_makes_the_journal_degraded)
{
    ASSERT_TRUE(first.claim());
    first.kv.faults().holds_answers = true;
    first.append(1);
    loop.advance(seconds(3));
    EXPECT_TRUE(first.journal->is_degraded());
    EXPECT_EQ(first.answer_counts[1], 0);
    first.kv.release_held();
    loop.advance(seconds(3));
    EXPECT_FALSE(first.journal->is_degraded());
    EXPECT_EQ(first.answer_counts[1], 1);
}

// Guards against unbounded memory use, and against records that are larger than a value.
TEST_F(journal_test, waiting_records_and_their_size_are_bounded)
{
    partition_journal::options settings;
    settings.max_waiting_records = 2;
    journal_owner third(loop, store, "third", settings);
    ASSERT_TRUE(third.claim());
    third.append(1, std::size_t{1} << 20U);
    for (int i = 2; i < 6; ++i)
        third.append(i, std::size_t{300} << 10U);
    loop.advance(seconds(10));
    EXPECT_EQ(third.failed[1], error_code::limit_exceeded);
    EXPECT_EQ(third.durable, (std::set<int>{2, 3}));
    EXPECT_EQ(third.failed[5], error_code::limit_exceeded);
    EXPECT_EQ(recover().size(), 2U);
}

} // namespace
} // namespace hawthornbeam
