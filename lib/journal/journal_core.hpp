/// \file
/// Private implementation of partition_journal. Its functions are defined in journal.cpp
/// (claim, release and fencing), journal_append.cpp and journal_compact.cpp.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_JOURNAL_CORE_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_JOURNAL_CORE_HPP

#include "claim_run.hpp"

#include <deque>

namespace hawthornbeam
{

/// A record that is queued for writing or part of the current batch.
struct waiting_record
{
    journal_form::timed_record record;
    std::string bytes;
    std::function<void(result<bool>)> done;
};

/// At most one of these operations runs at a time: a batch, a compaction or the release.
class partition_journal::implementation
    : public std::enable_shared_from_this<partition_journal::implementation>
{
public:
    implementation(kv_service& kv, event_loop& loop, const logger& log, options settings);

    // journal.cpp
    void claim(std::function<void(result<claimed_partition>)> done);
    void release(std::function<void(result<bool>)> done);
    void confirm(std::function<void(result<bool>)> done);
    bool is_degraded() const;
    /// Ends the ownership, fails all queued records and a pending release, and calls the
    /// handler set with on_fenced.
    void fence(const error& cause);
    void release_when_idle();
    head_write::call_context make_call_context();
    std::string next_change();
    std::string key(const std::string& name) const;
    void write_head(journal_form::stored_head next,
                    std::function<void(head_result)> done);
    void handle_claim(claimed_journal journal,
                      const std::function<void(result<claimed_partition>)>& done);

    // journal_append.cpp
    void append(journal_record record, std::function<void(result<bool>)> done);
    /// Starts the next batch, compaction or release unless one is running.
    void run_next();
    void start_batch();
    void collect_batch();
    void roll_over();
    void write_batch(journal_form::stored_head next);
    void handle_batch_result(const head_result& outcome);
    void resolve_pending_segment();
    void finish_batch(const result<bool>& outcome);
    void fail_waiting(const error& cause);
    void drop_ended();
    /// True while the outcome of the current write is unknown and the last call failed.
    /// Queued records then fail at once, as they could not be written soon.
    bool is_write_stalled() const;

    // journal_compact.cpp
    bool is_compaction_due() const;
    void compact();
    void write_snapshot_part(std::size_t index);
    void handle_snapshot_part_write(std::size_t index, const result<kv_revision>& answer);
    void install_snapshot();
    void handle_snapshot_install(const head_result& outcome,
                                 const journal_form::stored_head& former);
    void abandon_compaction(const std::string& cause);
    void remove_unreferenced_values();
    void remove_entry(const unreferenced_value& value);
    void mark_unreferenced(const std::string& name);

    kv_service& kv;
    event_loop& loop;
    const logger& log;
    options settings;
    random_source random;
    std::function<void()> fenced_handler;

    bool is_owner = false;
    bool last_call_failed = false;
    int open_calls = 0;
    boot_time open_calls_since{};       ///< Start of the first open call.
    std::uint64_t last_name_number = 0; ///< For key names.

    journal_form::stored_head head;
    kv_revision head_revision;
    partition_state state;
    std::map<std::string, kv_revision> values; ///< Revisions by key.

    std::shared_ptr<claim_run> current_claim;
    std::shared_ptr<head_write> current_write;
    bool is_operation_running = false;
    std::deque<waiting_record> waiting;
    std::vector<waiting_record> batch;
    std::size_t batch_bytes = 0;
    std::string pending_segment; ///< Name of the segment that will hold the head's
                                 ///< current records.
    int roll_over_attempts = 0;
    boot_time last_batch = boot_time::min();
    timer_handle batch_timer;
    bool is_batch_scheduled = false;
    std::function<void(result<bool>)> release_done;

    std::vector<std::string> snapshot_parts;      ///< Encoded, of the running
                                                  ///< compaction.
    std::vector<std::string> snapshot_part_names; ///< Key names, same order.
    int snapshot_part_attempts = 0;
    std::size_t compaction_threshold = 0; ///< Number of segments.
    boot_time earliest_compaction = boot_time::min();
    std::deque<unreferenced_value> unreferenced_values;
    bool is_removing = false;
};

} // namespace hawthornbeam

#endif
