/// \file
/// Implements compaction and the removal of values that no head names.
#include "journal_core.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Attempts at one snapshot value before the compaction is put off.
constexpr int max_part_attempts = 3;
/// An abandoned compaction is not repeated sooner; the segments keep until then.
constexpr duration compaction_pause = std::chrono::seconds(5);

bool may_exist(const result<kv_revision>& answer)
{
    return answer || answer.error().code == error_code::conflict;
}

} // namespace

bool partition_journal::implementation::is_compaction_due() const
{
    return head.segments.size() > compaction_threshold && !release_done &&
           loop.clock().now() >= compaction_not_before;
}

/// Appends wait during a compaction, so the snapshot holds exactly the head's state.
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
    is_busy = true;
    parts.clear();
    part_names.clear();
    ++counter;
    for (std::size_t i = 0; i < count; ++i)
    {
        parts.push_back(journal_form::encode_part(snapshot.substr(i * size, size)));
        part_names.push_back(fmt::format("snapshot.{}.{}.{}", head.epoch, counter, i));
    }
    part_attempts = 0;
    write_part(0);
}

void partition_journal::implementation::write_part(std::size_t index)
{
    if (index == parts.size())
        return install_snapshot();
    const head_write::environment calls = around();
    calls.calling();
    kv.write(kv_cause::journal, key(part_names[index]), parts[index], kv_revision(),
             [self = weak_from_this(), calls, index](const result<kv_revision>& answer)
             {
                 const std::shared_ptr<implementation> journal = self.lock();
                 if (!journal)
                     return;
                 calls.answered(may_exist(answer));
                 journal->part_written(index, answer);
             });
}

void partition_journal::implementation::part_written(std::size_t index,
                                                     const result<kv_revision>& answer)
{
    if (may_exist(answer))
    {
        // A conflict means that an earlier attempt took effect; its bytes are the same.
        values[key(part_names[index])] = answer ? answer.value() : kv_revision();
        part_attempts = 0;
        return write_part(index + 1);
    }
    if (is_known_not_applied(answer.error()) || ++part_attempts >= max_part_attempts)
        return abandon_compaction(answer.error().message);
    write_part(index);
}

void partition_journal::implementation::install_snapshot()
{
    journal_form::stored_head next = head;
    next.snapshot = part_names;
    next.segments.clear();
    next.records.clear();
    const journal_form::stored_head former = head;
    write_head(std::move(next),
               [self = weak_from_this(), former](const head_result& outcome)
               {
                   if (const std::shared_ptr<implementation> journal = self.lock())
                       journal->snapshot_installed(outcome, former);
               });
}

void partition_journal::implementation::snapshot_installed(
    const head_result& outcome, const journal_form::stored_head& former)
{
    if (outcome.what == head_outcome::refused)
        return abandon_compaction(outcome.message);
    is_busy = false;
    parts.clear();
    if (outcome.what != head_outcome::written)
        return fence(make_error(error_code::conflict, outcome.message));
    compaction_threshold = settings.max_segments;
    settle_pending_segment();
    for (const std::string& name : former.segments)
        leave(name);
    for (const std::string& name : former.snapshot)
        leave(name);
    log.info("journal", "journal compacted",
             {{"partition", static_cast<int>(settings.partition.value())},
              {"segments", static_cast<std::uint64_t>(former.segments.size())},
              {"parts", static_cast<std::uint64_t>(head.snapshot.size())}});
    remove_leftovers();
    run_next();
}

void partition_journal::implementation::abandon_compaction(const std::string& cause)
{
    log.warning(
        "journal", "compaction put off",
        {{"partition", static_cast<int>(settings.partition.value())}, {"reason", cause}});
    for (const std::string& name : part_names)
        if (values.count(key(name)) != 0)
            leave(name);
    parts.clear();
    is_busy = false;
    compaction_not_before = loop.clock().now() + compaction_pause;
    run_next();
}

void partition_journal::implementation::leave(const std::string& name)
{
    const auto found = values.find(key(name));
    leftovers.push_back(
        leftover_value{key(name), found == values.end() ? kv_revision() : found->second});
    if (found != values.end())
        values.erase(found);
}

/// Removes one value after the other beside the appends. What cannot be removed stays for
/// the next compaction or claim: no head names it, so it only takes space.
void partition_journal::implementation::remove_leftovers()
{
    if (is_removing || leftovers.empty())
        return;
    is_removing = true;
    // A claim may replace the list while the calls for this value run.
    const leftover_value value = leftovers.front();
    leftovers.pop_front();
    if (value.revision != kv_revision())
        return remove_entry(value);
    const head_write::environment calls = around();
    calls.calling();
    kv.read(kv_cause::journal, value.key,
            [self = weak_from_this(), calls,
             value](const result<std::optional<kv_entry>>& answer)
            {
                const std::shared_ptr<implementation> journal = self.lock();
                if (!journal)
                    return;
                calls.answered(answer.has_value());
                if (answer && answer.value())
                    return journal->remove_entry(
                        leftover_value{value.key, answer.value()->revision});
                journal->is_removing = false;
                if (!answer)
                    return journal->leftovers.push_back(value);
                journal->remove_leftovers();
            });
}

void partition_journal::implementation::remove_entry(const leftover_value& value)
{
    const head_write::environment calls = around();
    calls.calling();
    kv.remove(kv_cause::journal, value.key, value.revision,
              [self = weak_from_this(), calls, value](const result<bool>& answer)
              {
                  const std::shared_ptr<implementation> journal = self.lock();
                  if (!journal)
                      return;
                  const bool is_gone =
                      answer || answer.error().code == error_code::conflict;
                  calls.answered(is_gone);
                  journal->is_removing = false;
                  if (!is_gone)
                      return journal->leftovers.push_back(value);
                  journal->remove_leftovers();
              });
}

} // namespace hawthornbeam
