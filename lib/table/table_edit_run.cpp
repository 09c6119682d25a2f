/// \file
/// Performs one edit of the operators' table in the key-value service, including retries
/// and history entries.
#include "table_edit_run.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace hawthornbeam
{

namespace
{

/// Maximum number of old history entries that are removed after one edit. Each edit makes
/// one entry obsolete. The others are left over from edits whose process ended early or
/// whose deletions failed.
constexpr int max_removed_entries = 3;
/// Number of write conflicts after which an edit waits before it reads the table again.
/// Without this limit, reads that keep returning an old revision would cause a loop of
/// calls without a pause.
constexpr int max_conflicts = 3;
constexpr double back_off_jitter = 0.5;

/// State machine of one edit, in which each step is one call to the key-value service.
/// The history entry of a table is written before the table is overwritten. If the
/// response to a write is lost, its change id can therefore be found either in the table
/// or in the history, even after many further edits.
class edit_run : public std::enable_shared_from_this<edit_run>
{
public:
    edit_run(std::shared_ptr<edit_context> context, operators_table new_table,
             table_version if_match, std::function<void(edit_outcome)> done)
        : context_(std::move(context)), new_table_(std::move(new_table)),
          if_match_(if_match), done_(std::move(done)),
          deadline_(context_->loop.clock().now() + context_->settings.edit_limit),
          back_off_(context_->settings.min_back_off)
    {
        new_table_.version = if_match.next();
        json_ = to_stored_json(new_table_);
    }

    void read_table()
    {
        context_->kv.read(
            kv_cause::table, table_key,
            [self = shared_from_this()](result<std::optional<kv_entry>> answer)
            {
                self->record_call(answer.has_value());
                if (!answer)
                    return self->schedule_retry(answer.error());
                self->handle_table(decode_stored_table(answer.value()));
            });
    }

private:
    void record_call(bool success) const { context_->on_call_finished(success); }

    void handle_table(const result<stored_table>& stored)
    {
        if (!stored)
            return finish_unresolved(stored.error().message);
        const stored_table& found = stored.value();
        context_->on_table_received(found.table);
        if (found.table.change == new_table_.change)
            return accept(found.table);
        if (found.table.version == if_match_)
            return write_history(found);
        if (!maybe_written_ || found.table.version <= new_table_.version)
            return finish(edit_outcome::kind::stale, found.table,
                          "the table has changed");
        search_history(found.table);
    }

    /// Determines from the history whether the write with the lost response took effect,
    /// after the table has been edited again.
    void search_history(const operators_table& newest)
    {
        context_->kv.read(
            kv_cause::table, history_key(new_table_.version),
            [self = shared_from_this(), newest](result<std::optional<kv_entry>> answer)
            {
                self->record_call(answer.has_value());
                if (!answer)
                    return self->schedule_retry(answer.error());
                const result<stored_table> entry = decode_stored_table(answer.value());
                if (!entry || entry.value().table.version != self->new_table_.version)
                    return self->finish_unresolved("its history entry is gone");
                const bool is_own_change =
                    entry.value().table.change == self->new_table_.change;
                self->finish(is_own_change ? edit_outcome::kind::accepted
                                           : edit_outcome::kind::stale,
                             newest, is_own_change ? "" : "the table has changed");
            });
    }

    void write_history(const stored_table& current)
    {
        const table_version version = current.table.version;
        if (version == table_version() || version <= context_->newest_history_version)
            return write_table(current.revision);
        context_->kv.write(
            kv_cause::table, history_key(version), current.json, kv_revision(),
            [self = shared_from_this(), version,
             revision = current.revision](result<kv_revision> answer)
            {
                const bool exists = answer || answer.error().code == error_code::conflict;
                self->record_call(exists);
                if (!exists)
                    return self->schedule_retry(answer.error());
                self->context_->newest_history_version =
                    std::max(self->context_->newest_history_version, version);
                self->write_table(revision);
            });
    }

    void write_table(kv_revision expected)
    {
        context_->kv.write(
            kv_cause::table, table_key, json_, expected,
            [self = shared_from_this()](result<kv_revision> answer)
            {
                const bool is_answered =
                    answer || answer.error().code == error_code::conflict;
                self->record_call(is_answered);
                if (answer)
                    return self->accept(self->new_table_);
                if (answer.error().code == error_code::limit_exceeded)
                    return self->finish(edit_outcome::kind::faulty, operators_table(), "",
                                        {finding{"", 0, "/rows", "the table is too large",
                                                 "at most 1 MiB as JSON"}});
                const bool is_outcome_unknown =
                    answer.error().code == error_code::outcome_unknown;
                // The first unknown result is always followed by an immediate read, even
                // if the deadline has passed.
                const bool is_reread_at_once =
                    is_answered && ++self->conflicts_ <= max_conflicts;
                if (is_reread_at_once ||
                    (is_outcome_unknown && !std::exchange(self->maybe_written_, true)))
                    return self->read_table();
                self->schedule_retry(answer.error());
            });
    }

    void accept(const operators_table& table)
    {
        context_->on_table_received(table);
        context_->log.info("table", "table accepted",
                           {{"version", table.version.value()},
                            {"author", table.author},
                            {"change", table.change.value()}});
        finish(edit_outcome::kind::accepted, table, "");
        context_->kv.write(
            kv_cause::table, history_key(table.version), json_, kv_revision(),
            [self = shared_from_this(),
             version = table.version](result<kv_revision> answer)
            {
                const bool exists = answer || answer.error().code == error_code::conflict;
                self->record_call(exists);
                if (!exists) // The next edit writes the entry.
                    return;
                self->context_->newest_history_version =
                    std::max(self->context_->newest_history_version, version);
                self->trim_history(version, max_removed_entries);
            });
    }

    /// Removes up to \p max_entries entries beyond the length of the history, starting
    /// with the newest of them.
    void trim_history(table_version newest, int max_entries)
    {
        const std::uint64_t length = context_->settings.history_length;
        if (newest.value() <= length || max_entries == 0)
            return;
        const std::string key = history_key(table_version(newest.value() - length));
        context_->kv.read(kv_cause::table, key,
                          [self = shared_from_this(), key, newest,
                           max_entries](result<std::optional<kv_entry>> answer)
                          {
                              self->record_call(answer.has_value());
                              if (!answer || !answer.value())
                                  return;
                              self->context_->kv.remove(
                                  kv_cause::table, key, answer.value()->revision,
                                  [self, newest, max_entries](result<bool> removed)
                                  {
                                      if (removed)
                                          self->trim_history(
                                              table_version(newest.value() - 1),
                                              max_entries - 1);
                                  });
                          });
    }

    void schedule_retry(const error& cause)
    {
        const duration delay = context_->random.jitter(back_off_, back_off_jitter);
        if (context_->loop.clock().now() + delay >= deadline_)
            return finish_unresolved(cause.message);
        back_off_ = std::min(back_off_ * 2, context_->settings.max_back_off);
        timer_ = context_->loop.after(delay,
                                      [self = weak_from_this()]
                                      {
                                          if (const std::shared_ptr<edit_run> run =
                                                  self.lock())
                                              run->retry();
                                      });
        keep_alive_ = shared_from_this();
    }

    void retry()
    {
        const std::shared_ptr<edit_run> self = std::move(keep_alive_);
        keep_alive_ = nullptr;
        read_table();
    }

    void finish_unresolved(const std::string& cause)
    {
        if (maybe_written_)
            return finish(edit_outcome::kind::unknown, operators_table(),
                          fmt::format("it cannot be known whether change {} was "
                                      "written: {}",
                                      new_table_.change.value(), cause));
        finish(edit_outcome::kind::unavailable, operators_table(),
               fmt::format("not written: {}", cause));
    }

    void finish(edit_outcome::kind what, const operators_table& current,
                std::string message, findings faults = {})
    {
        const std::function<void(edit_outcome)> done = std::move(done_);
        done_ = nullptr;
        if (done)
            done(edit_outcome{what, current, std::move(faults), std::move(message)});
    }

    std::shared_ptr<edit_context> context_;
    operators_table new_table_;
    table_version if_match_;
    std::function<void(edit_outcome)> done_;
    boot_time deadline_;
    duration back_off_;
    std::string json_;
    bool maybe_written_ = false;
    int conflicts_ = 0;
    timer_handle timer_;
    std::shared_ptr<edit_run>
        keep_alive_; ///< Keeps this object alive between two attempts.
};

} // namespace

std::string history_key(table_version version)
{
    return fmt::format("table_history/{}", version.value());
}

result<stored_table> decode_stored_table(const std::optional<kv_entry>& entry)
{
    if (!entry)
        return stored_table();
    parsed_table parsed = parse_table_json(entry->value);
    if (!parsed.table)
        return make_error(error_code::invalid_input,
                          fmt::format("the value of key {} cannot be read: {}",
                                      entry->key, parsed.faults.front().text()));
    return stored_table{std::move(*parsed.table), entry->revision, entry->value};
}

void run_edit(const std::shared_ptr<edit_context>& context, operators_table new_table,
              table_version if_match, std::function<void(edit_outcome)> done)
{
    const std::shared_ptr<edit_run> run = std::make_shared<edit_run>(
        context, std::move(new_table), if_match, std::move(done));
    run->read_table();
}

} // namespace hawthornbeam
