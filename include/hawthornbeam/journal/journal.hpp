/// \file
/// Durable log of one job partition in the key-value service.
#ifndef HAWTHORNBEAM_JOURNAL_JOURNAL_HPP
#define HAWTHORNBEAM_JOURNAL_JOURNAL_HPP

#include "hawthornbeam/platform/kv_service.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/support/random_source.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace hawthornbeam
{

/// A job was accepted.
struct job_accepted
{
    wire::job_spec job;
    wall_time at{};
};
/// Tasks ended since the last record of the job.
struct job_progress
{
    job_id id;
    std::vector<wire::task_result> ended;
};
/// The job has its final verdict.
struct job_ended
{
    job_id id;
    wire::job_verdict verdict = wire::job_verdict::done;
    std::string reason;
};
/// A cancellation was accepted; its tasks may still be stopping.
struct job_cancelling
{
    job_id id;
};

using journal_record =
    std::variant<job_accepted, job_progress, job_ended, job_cancelling>;

/// A job as the journal knows it.
struct journaled_job
{
    wire::job_spec job;
    wall_time accepted{};
    std::vector<wire::task_result> ended;
    bool cancelling = false;
    bool has_verdict = false;
    wire::job_verdict verdict = wire::job_verdict::accepted;
    std::string reason;
};

/// What a claim found.
struct claimed_partition
{
    epoch owner_epoch;
    std::vector<journaled_job> jobs;
};

/// The journal of one partition. One key, the head, holds the owner, the newest records
/// and the names of the segments and snapshot values before them; every change of the
/// journal is a compare-and-swap of the head, which is never deleted. The other values
/// are written once and never changed. Appends are group-committed: one write in flight,
/// the next takes all that waits. docs/durable-state.md has the reasons and figures.
///
/// Calls: an append batch makes one, and one more when it fills a segment; a claim makes
/// two, whatever the number of jobs, and one delete for each value left by a crash; a
/// compaction one for each snapshot value, one for the head and one delete for each old
/// value; at rest there is none. Retries of failed calls come on top.
class partition_journal
{
public:
    struct options
    {
        partition_id partition;
        instance_id self;
        /// Random for each start of a process, as change ids contain it.
        std::uint64_t seed = 1;
        std::size_t max_segment_bytes = std::size_t{16} << 10U;
        std::size_t max_segments = 32; ///< More start a compaction.
        duration min_append_gap = std::chrono::milliseconds(100);
        std::size_t max_waiting_records = 10000;
        /// A snapshot is split into values of this size; a larger one than
        /// max_snapshot_parts values is refused and the segments are kept.
        std::size_t snapshot_part_bytes = std::size_t{512} << 10U;
        std::size_t max_snapshot_parts = 64;
        duration min_back_off = std::chrono::milliseconds(100);
        duration max_back_off = std::chrono::seconds(5);
        /// Ended jobs are kept this long for callers that ask or submit again.
        duration ended_job_retention = std::chrono::minutes(10);
    };

    partition_journal(kv_service& kv, event_loop& loop, const logger& log,
                      options settings);
    ~partition_journal();

    /// Reads the journal and claims the next epoch. Fails with conflict when another
    /// claim won, with unavailable when the service cannot be reached, and with
    /// invalid_input, naming the key, when a value is damaged; nothing is written then.
    void claim(std::function<void(result<claimed_partition>)> done);
    /// Makes \p record durable. Fails with unavailable when it is known not to be
    /// durable, with conflict when another instance has claimed the partition, and with
    /// limit_exceeded when too many records wait or the record is too large for a value.
    /// A record whose write has an unknown outcome is read back until its outcome is
    /// known; a record that a later claim found is reported as durable. outcome_unknown
    /// is left for a head that was damaged, deleted or claimed very often meanwhile.
    void append(journal_record record, std::function<void(result<bool>)> done);
    /// Reads the head, after a pause for example, and fences this instance when another
    /// one has claimed the partition; one call. Fails with conflict or unavailable.
    void confirm(std::function<void(result<bool>)> done);
    /// Waits for all appends and marks the partition as free for a successor.
    void release(std::function<void(result<bool>)> done);
    /// Called once when another instance has claimed the partition.
    void on_fenced(std::function<void()> handler);

    bool is_owner() const;
    epoch owner_epoch() const;
    std::size_t waiting_records() const;
    /// True while the last call to the service failed or one has waited for 2 s.
    bool is_degraded() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Who owns a partition according to its journal; empty owner when released or unclaimed.
struct partition_owner
{
    epoch owner_epoch;
    instance_id owner;
};

/// Reads who owns \p partition; one call.
void read_partition_owner(kv_service& kv, partition_id partition,
                          std::function<void(result<partition_owner>)> done);

} // namespace hawthornbeam

#endif
