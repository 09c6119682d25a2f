/// \file
/// Appends with group commit.
#include "journal_core.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam
{

namespace
{

/// Below the service's limit of 1 MiB for a value, so that the head also has space for
/// its names and claims.
constexpr std::size_t max_record_bytes = std::size_t{900} << 10U;

/// Attempts to write a segment whose answers are lost before its batch fails.
constexpr int max_roll_over_attempts = 3;

std::size_t sum_of_sizes(const std::vector<std::string>& records)
{
    std::size_t sum = 0;
    for (const std::string& record : records)
        sum += record.size();
    return sum;
}

} // namespace

void partition_journal::implementation::append(journal_record record,
                                               std::function<void(result<bool>)> done)
{
    const auto fail = [this, &done](error_code code, const char* message)
    {
        loop.post([done = std::move(done), cause = make_error(code, message)]
                  { done(cause); });
    };
    if (!is_owner)
        return fail(error_code::conflict, "this instance does not own the partition");
    if (release_done)
        return fail(error_code::unavailable, "the partition is being released");
    if (waiting.size() >= settings.max_waiting_records)
        return fail(error_code::limit_exceeded, "too many records wait for the journal");
    if (is_write_stalled())
        return fail(error_code::unavailable, "the key-value service is away");
    waiting_record item;
    item.record = journal_form::timed_record{std::move(record), loop.clock().wall_now()};
    item.bytes = journal_form::encode_record(item.record);
    if (item.bytes.size() > max_record_bytes)
        return fail(error_code::limit_exceeded, "the record is larger than 900 KiB");
    item.done = std::move(done);
    waiting.push_back(std::move(item));
    run_next();
}

bool partition_journal::implementation::is_write_stalled() const
{
    return last_call_failed && current_write && current_write->is_unresolved();
}

void partition_journal::implementation::run_next()
{
    if (is_operation_running || !is_owner)
        return;
    if (is_compaction_due())
        return compact();
    if (waiting.empty())
    {
        if (release_done)
            release_when_idle();
        return;
    }
    if (is_batch_scheduled)
        return;
    is_batch_scheduled = true;
    const boot_time now = loop.clock().now();
    const bool is_due =
        last_batch == boot_time::min() || now - last_batch >= settings.min_append_gap;
    // A batch that is already due still starts from the event loop, so that it includes
    // all records that the current callback appends.
    const duration delay =
        is_due ? duration::zero() : settings.min_append_gap - (now - last_batch);
    batch_timer = loop.after(delay,
                             [self = weak_from_this()]
                             {
                                 const std::shared_ptr<implementation> journal =
                                     self.lock();
                                 if (!journal)
                                     return;
                                 journal->is_batch_scheduled = false;
                                 journal->start_batch();
                             });
}

void partition_journal::implementation::start_batch()
{
    if (is_operation_running || !is_owner || waiting.empty())
        return run_next();
    is_operation_running = true;
    last_batch = loop.clock().now();
    collect_batch();
    if (!head.records.empty() &&
        sum_of_sizes(head.records) + batch_bytes > settings.max_segment_bytes)
        return roll_over();
    write_batch(head);
}

void partition_journal::implementation::collect_batch()
{
    assert(batch.empty() && "the former batch has been resolved");
    batch_bytes = 0;
    while (!waiting.empty() &&
           (batch.empty() ||
            batch_bytes + waiting.front().bytes.size() <= settings.max_segment_bytes))
    {
        batch_bytes += waiting.front().bytes.size();
        batch.push_back(std::move(waiting.front()));
        waiting.pop_front();
    }
}

/// Copies the head's records into a new segment. The copy is not used until the head
/// references it, so if this write fails, the batch is known not to be durable. The name
/// is kept for the next attempt, which writes the same bytes.
void partition_journal::implementation::roll_over()
{
    if (pending_segment.empty())
        pending_segment = "segment." + std::to_string(head.epoch) + "." +
                          std::to_string(++last_name_number);
    const head_write::call_context context = make_call_context();
    context.on_call_started();
    kv.write(kv_cause::journal, key(pending_segment),
             journal_form::encode_segment(head.records), kv_revision(),
             [self = weak_from_this(), context](const result<kv_revision>& answer)
             {
                 const std::shared_ptr<implementation> journal = self.lock();
                 if (!journal)
                     return;
                 const bool exists =
                     answer || answer.error().code == error_code::conflict;
                 context.on_call_finished(exists);
                 // Repeating the write is safe, because its key and its bytes are the
                 // same.
                 if (!exists && !is_known_not_applied(answer.error()) &&
                     ++journal->roll_over_attempts < max_roll_over_attempts)
                     return journal->roll_over();
                 journal->roll_over_attempts = 0;
                 if (!exists)
                 {
                     journal->is_operation_running = false;
                     journal->finish_batch(
                         make_error(error_code::unavailable, answer.error().message));
                     return journal->run_next();
                 }
                 journal->values[journal->key(journal->pending_segment)] =
                     answer ? answer.value() : kv_revision();
                 journal_form::stored_head next = journal->head;
                 next.segments.push_back(journal->pending_segment);
                 next.records.clear();
                 journal->write_batch(std::move(next));
             });
}

void partition_journal::implementation::write_batch(journal_form::stored_head next)
{
    for (const waiting_record& item : batch)
        next.records.push_back(item.bytes);
    write_head(std::move(next),
               [self = weak_from_this()](const head_result& outcome)
               {
                   if (const std::shared_ptr<implementation> journal = self.lock())
                       journal->handle_batch_result(outcome);
               });
}

void partition_journal::implementation::handle_batch_result(const head_result& outcome)
{
    is_operation_running = false;
    switch (outcome.status)
    {
    case head_outcome::written:
        resolve_pending_segment();
        for (const waiting_record& item : batch)
            state.apply(item.record);
        drop_ended();
        finish_batch(true);
        break;
    case head_outcome::not_written:
        finish_batch(make_error(error_code::unavailable, outcome.message));
        break;
    case head_outcome::fenced_written:
        finish_batch(true);
        fence(make_error(error_code::conflict, outcome.message));
        break;
    case head_outcome::fenced_not_written:
        finish_batch(make_error(error_code::conflict, outcome.message));
        fence(make_error(error_code::conflict, outcome.message));
        break;
    case head_outcome::unknown:
        log.error("journal", "the outcome of an append cannot be known",
                  {{"partition", static_cast<int>(settings.partition.value())},
                   {"reason", outcome.message}});
        finish_batch(make_error(error_code::outcome_unknown, outcome.message));
        fence(make_error(error_code::conflict, outcome.message));
        break;
    }
    run_next();
}

/// A pending segment holds the records that the head had before the last write. If that
/// write did not reference the segment, its bytes are out of date and its name must not
/// be used again.
void partition_journal::implementation::resolve_pending_segment()
{
    if (pending_segment.empty())
        return;
    if (head.segments.empty() || head.segments.back() != pending_segment)
        mark_unreferenced(pending_segment);
    pending_segment.clear();
    remove_unreferenced_values();
}

void partition_journal::implementation::finish_batch(const result<bool>& outcome)
{
    const std::vector<waiting_record> finished = std::move(batch);
    batch.clear();
    for (const waiting_record& item : finished)
        item.done(outcome);
}

void partition_journal::implementation::fail_waiting(const error& cause)
{
    const std::deque<waiting_record> failed = std::move(waiting);
    waiting.clear();
    for (const waiting_record& item : failed)
        item.done(cause);
}

void partition_journal::implementation::drop_ended()
{
    state.drop_ended(loop.clock().wall_now() -
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         settings.ended_job_retention));
}

} // namespace hawthornbeam
