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

/// Records that a job was accepted.
struct job_accepted
{
    wire::job_spec job;
    wall_time at{};
};
/// Records the tasks of a job that ended since its previous record.
struct job_progress
{
    job_id id;
    std::vector<wire::task_result> ended;
};
/// Records the final verdict of a job.
struct job_ended
{
    job_id id;
    wire::job_verdict verdict = wire::job_verdict::done;
    std::string reason;
};
/// Records that the cancellation of a job was accepted. Tasks of the job may still be
/// stopping.
struct job_cancelling
{
    job_id id;
};

using journal_record =
    std::variant<job_accepted, job_progress, job_ended, job_cancelling>;

/// State of a job, reconstructed from its records.
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

/// Result of a successful claim: the new epoch and the recovered jobs.
struct claimed_partition
{
    epoch owner_epoch;
    std::vector<journaled_job> jobs;
};

/// The journal of one partition. One key, the head, holds the owner, the newest records
/// and the names of the segments and snapshot values that hold the older records. Every
/// change of the journal is a compare-and-swap of the head, which is never deleted. The
/// other values are written once and never changed. Appends are group-committed: one
/// write is in flight at a time, and the next write contains the records that were queued
/// meanwhile, up to the segment size. docs/durable-state.md has the design and
/// measurements.
///
/// Number of calls to the key-value service, not counting retries of failed calls:
/// - append batch: one, and one more when it fills a segment
/// - claim: two for any number of jobs, and one delete for each value left by a crash
/// - compaction: one for each snapshot value, one for the head and one delete for each
///   replaced value
/// - idle: none
class partition_journal
{
public:
    struct options
    {
        partition_id partition;
        instance_id self;
        /// Seed of the random source, also part of each change id. It must be random for
        /// each process start, because change ids must be unique across processes.
        std::uint64_t seed = 1;
        std::size_t max_segment_bytes = std::size_t{16} << 10U;
        std::size_t max_segments = 32; ///< Exceeding it starts a compaction.
        duration min_append_gap = std::chrono::milliseconds(100);
        std::size_t max_waiting_records = 10000;
        /// Size of the values that a snapshot is split into. A snapshot that needs more
        /// than max_snapshot_parts values is not written, and the segments are kept.
        std::size_t snapshot_part_bytes = std::size_t{512} << 10U;
        std::size_t max_snapshot_parts = 64;
        duration min_back_off = std::chrono::milliseconds(100);
        duration max_back_off = std::chrono::seconds(5);
        /// Ended jobs are kept this long, so that status requests and repeated
        /// submissions still find them.
        duration ended_job_retention = std::chrono::minutes(10);
    };

    partition_journal(kv_service& kv, event_loop& loop, const logger& log,
                      options settings);
    ~partition_journal();

    /// Reads the journal and claims the next epoch. Fails with conflict when a concurrent
    /// claim succeeded first, with unavailable when the service cannot be reached, and
    /// with invalid_input, naming the key, when a value is damaged. Nothing is written to
    /// a damaged journal.
    void claim(std::function<void(result<claimed_partition>)> done);
    /// Makes \p record durable. Fails with unavailable when the record is known not to be
    /// durable, with conflict when another instance has claimed the partition, and with
    /// limit_exceeded when too many records are queued or the record is too large for a
    /// value. When a write has an unknown outcome, the head is read until the outcome is
    /// known; a record that a later claim recovered is reported as durable. Fails with
    /// outcome_unknown only when the outcome cannot be determined because the head was
    /// damaged, deleted or claimed too many times meanwhile.
    void append(journal_record record, std::function<void(result<bool>)> done);
    /// Reads the head with one call and fences this instance if another one has claimed
    /// the partition, for example while this process was suspended. Fails with conflict
    /// or unavailable.
    void confirm(std::function<void(result<bool>)> done);
    /// Waits for all queued appends, then records in the head that the partition has no
    /// owner, so that a successor need not wait before it claims.
    void release(std::function<void(result<bool>)> done);
    /// Sets the handler that is called once when this instance loses the partition to
    /// another one or can no longer verify its ownership.
    void on_fenced(std::function<void()> handler);

    bool is_owner() const;
    epoch owner_epoch() const;
    std::size_t waiting_records() const;
    /// True if the last completed call to the service failed, or if there have been
    /// pending calls without interruption for 2 s.
    bool is_degraded() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Owner of a partition according to its journal. The owner is empty if the partition is
/// released or unclaimed.
struct partition_owner
{
    epoch owner_epoch;
    instance_id owner;
};

/// Reads the owner of \p partition with one call.
void read_partition_owner(kv_service& kv, partition_id partition,
                          std::function<void(result<partition_owner>)> done);

} // namespace hawthornbeam

#endif
