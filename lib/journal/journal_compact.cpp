/// \file
/// Compaction and the removal of values that the head does not reference.
#include "journal_core.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Attempts to write one snapshot value before the compaction is postponed.
constexpr int max_snapshot_part_attempts = 3;
/// Minimum delay before an abandoned compaction is retried. The segments stay valid until
/// then.
constexpr duration compaction_retry_delay = std::chrono::seconds(5);

bool is_written(const result<kv_revision>& answer)
{
    return answer || answer.error().code == error_code::conflict;
}

} // namespace

bool partition_journal::implementation::is_compaction_due() const
{
    return head.segments.size() > compaction_threshold && !release_done &&
           loop.clock().now() >= earliest_compaction;
}

/// Appends are queued during a compaction, so the snapshot holds exactly the state that
/// the head describes.
void partition_journal::implementation::compact()
{
    drop_ended();
    const std::string snapshot = state.encode();
    const std::size_t size = settings.snapshot_part_bytes;
    const std::size_t count =
        std::max<std::size_t>((snapshot.size() + size - 1) / size, 1);
    if (count > settings.max_snapshot_parts)
    {
        log.error(
            "journal", "the snapshot is too large; the segments are kept",
            {{"partition", static_cast<int>(settings.partition.value())},
             {"bytes", static_cast<std::uint64_t>(snapshot.size())},
             {"most", static_cast<std::uint64_t>(size * settings.max_snapshot_parts)}});
        compaction_threshold = head.segments.size() + settings.max_segments;
        return run_next();
    }
    is_operation_running = true;
    snapshot_parts.clear();
    snapshot_part_names.clear();
    ++last_name_number;
    for (std::size_t i = 0; i < count; ++i)
    {
        snapshot_parts.push_back(
            journal_form::encode_snapshot_part(snapshot.substr(i * size, size)));
        snapshot_part_names.push_back(
            fmt::format("snapshot.{}.{}.{}", head.epoch, last_name_number, i));
    }
    snapshot_part_attempts = 0;
    write_snapshot_part(0);
}

void partition_journal::implementation::write_snapshot_part(std::size_t index)
{
    if (index == snapshot_parts.size())
        return install_snapshot();
    const head_write::call_context context = make_call_context();
    context.on_call_started();
    kv.write(kv_cause::journal, key(snapshot_part_names[index]), snapshot_parts[index],
             kv_revision(),
             [self = weak_from_this(), context, index](const result<kv_revision>& answer)
             {
                 const std::shared_ptr<implementation> journal = self.lock();
                 if (!journal)
                     return;
                 context.on_call_finished(is_written(answer));
                 journal->handle_snapshot_part_write(index, answer);
             });
}

void partition_journal::implementation::handle_snapshot_part_write(
    std::size_t index, const result<kv_revision>& answer)
{
    if (is_written(answer))
    {
        // A conflict means that an earlier attempt with the same bytes took effect.
        values[key(snapshot_part_names[index])] = answer ? answer.value() : kv_revision();
        snapshot_part_attempts = 0;
        return write_snapshot_part(index + 1);
    }
    if (is_known_not_applied(answer.error()) ||
        ++snapshot_part_attempts >= max_snapshot_part_attempts)
        return abandon_compaction(answer.error().message);
    write_snapshot_part(index);
}

void partition_journal::implementation::install_snapshot()
{
    journal_form::stored_head next = head;
    next.snapshot = snapshot_part_names;
    next.segments.clear();
    next.records.clear();
    const journal_form::stored_head former = head;
    write_head(std::move(next),
               [self = weak_from_this(), former](const head_result& outcome)
               {
                   if (const std::shared_ptr<implementation> journal = self.lock())
                       journal->handle_snapshot_install(outcome, former);
               });
}

void partition_journal::implementation::handle_snapshot_install(
    const head_result& outcome, const journal_form::stored_head& former)
{
    if (outcome.status == head_outcome::not_written)
        return abandon_compaction(outcome.message);
    is_operation_running = false;
    snapshot_parts.clear();
    if (outcome.status != head_outcome::written)
        return fence(make_error(error_code::conflict, outcome.message));
    compaction_threshold = settings.max_segments;
    resolve_pending_segment();
    for (const std::string& name : former.segments)
        mark_unreferenced(name);
    for (const std::string& name : former.snapshot)
        mark_unreferenced(name);
    log.info("journal", "journal compacted",
             {{"partition", static_cast<int>(settings.partition.value())},
              {"segments", static_cast<std::uint64_t>(former.segments.size())},
              {"parts", static_cast<std::uint64_t>(head.snapshot.size())}});
    remove_unreferenced_values();
    run_next();
}

void partition_journal::implementation::abandon_compaction(const std::string& cause)
{
    log.warning(
        "journal", "compaction put off",
        {{"partition", static_cast<int>(settings.partition.value())}, {"reason", cause}});
    for (const std::string& name : snapshot_part_names)
        if (values.count(key(name)) != 0)
            mark_unreferenced(name);
    snapshot_parts.clear();
    is_operation_running = false;
    earliest_compaction = loop.clock().now() + compaction_retry_delay;
    run_next();
}

void partition_journal::implementation::mark_unreferenced(const std::string& name)
{
    const auto found = values.find(key(name));
    unreferenced_values.push_back(unreferenced_value{
        key(name), found == values.end() ? kv_revision() : found->second});
    if (found != values.end())
        values.erase(found);
}

/// Removes one value at a time, concurrently with appends. A value that cannot be removed
/// is left to the next compaction or claim; the head does not reference it, so it only
/// takes up space.
void partition_journal::implementation::remove_unreferenced_values()
{
    if (is_removing || unreferenced_values.empty())
        return;
    is_removing = true;
    // The value is copied because a claim may replace the list while calls are pending.
    const unreferenced_value value = unreferenced_values.front();
    unreferenced_values.pop_front();
    if (value.revision != kv_revision())
        return remove_entry(value);
    const head_write::call_context context = make_call_context();
    context.on_call_started();
    kv.read(kv_cause::journal, value.key,
            [self = weak_from_this(), context,
             value](const result<std::optional<kv_entry>>& answer)
            {
                const std::shared_ptr<implementation> journal = self.lock();
                if (!journal)
                    return;
                context.on_call_finished(answer.has_value());
                if (answer && answer.value())
                    return journal->remove_entry(
                        unreferenced_value{value.key, answer.value()->revision});
                journal->is_removing = false;
                if (!answer)
                    return journal->unreferenced_values.push_back(value);
                journal->remove_unreferenced_values();
            });
}

void partition_journal::implementation::remove_entry(const unreferenced_value& value)
{
    const head_write::call_context context = make_call_context();
    context.on_call_started();
    kv.remove(kv_cause::journal, value.key, value.revision,
              [self = weak_from_this(), context, value](const result<bool>& answer)
              {
                  const std::shared_ptr<implementation> journal = self.lock();
                  if (!journal)
                      return;
                  const bool is_removed =
                      answer || answer.error().code == error_code::conflict;
                  context.on_call_finished(is_removed);
                  journal->is_removing = false;
                  if (!is_removed)
                      return journal->unreferenced_values.push_back(value);
                  journal->remove_unreferenced_values();
              });
}

} // namespace hawthornbeam
