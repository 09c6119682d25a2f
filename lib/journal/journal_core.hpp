/// \file
/// Implementation of the partition journal. Its functions are spread over journal.cpp
/// (claim and release), journal_append.cpp and journal_compact.cpp.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_JOURNAL_CORE_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_JOURNAL_CORE_HPP

#include "claim_run.hpp"

#include <deque>

namespace hawthornbeam
{

/// A record on its way into the journal.
struct waiting_record
{
    journal_form::timed_record record;
    std::string bytes;
    std::function<void(result<bool>)> done;
};

/// At most one of these runs at a time: a batch, a compaction or the release.
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
    /// Ends the ownership, fails what waits and tells the owner.
    void fence(const error& cause);
    void release_when_idle();
    head_write::environment around();
    std::string next_change();
    std::string key(const std::string& name) const;
    void write_head(journal_form::stored_head next,
                    std::function<void(head_result)> done);
    void claimed(claimed_journal journal,
                 const std::function<void(result<claimed_partition>)>& done);

    // journal_append.cpp
    void append(journal_record record, std::function<void(result<bool>)> done);
    /// Starts the next batch, compaction or release when nothing runs.
    void run_next();
    void start_batch();
    void take_batch();
    void roll_over();
    void write_batch(journal_form::stored_head next);
    void batch_resolved(const head_result& outcome);
    void settle_pending_segment();
    void finish_batch(const result<bool>& outcome);
    void fail_waiting(const error& cause);
    void drop_ended();
    /// True while an unresolved write and a failing service make waiting pointless.
    bool is_stuck() const;

    // journal_compact.cpp
    bool is_compaction_due() const;
    void compact();
    void write_part(std::size_t index);
    void part_written(std::size_t index, const result<kv_revision>& answer);
    void install_snapshot();
    void snapshot_installed(const head_result& outcome,
                            const journal_form::stored_head& former);
    void abandon_compaction(const std::string& cause);
    void remove_leftovers();
    void remove_entry(const leftover_value& value);
    void leave(const std::string& name);

    kv_service& kv;
    event_loop& loop;
    const logger& log;
    options settings;
    random_source random;
    std::function<void()> fenced_handler;

    bool is_owner = false;
    bool is_degraded_now = false;
    int open_calls = 0;
    boot_time last_progress{}; ///< Start of the first open call, or the last answer.
    std::uint64_t counter = 0; ///< Makes change ids and key names unique.

    journal_form::stored_head head;
    kv_revision head_revision;
    partition_state state;
    std::map<std::string, kv_revision> values; ///< Of segments and snapshot values.

    std::shared_ptr<claim_run> claiming;
    std::shared_ptr<head_write> writing;
    bool is_busy = false;
    std::deque<waiting_record> waiting;
    std::vector<waiting_record> batch;
    std::size_t batch_bytes = 0;
    std::string pending_segment; ///< Name of a segment of the current head's records.
    int roll_over_attempts = 0;
    boot_time last_batch = boot_time::min();
    timer_handle batch_timer;
    bool is_batch_scheduled = false;
    std::function<void(result<bool>)> release_done;

    std::vector<std::string> parts;      ///< Encoded values of the running compaction.
    std::vector<std::string> part_names; ///< Their names.
    int part_attempts = 0;
    std::size_t compaction_threshold = 0; ///< Segments.
    boot_time compaction_not_before = boot_time::min();
    std::deque<leftover_value> leftovers;
    bool is_removing = false;
};

} // namespace hawthornbeam

#endif
