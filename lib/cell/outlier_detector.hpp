/// \file
/// Finds workers on which runs fail because of the worker. Performs no I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_OUTLIER_DETECTOR_HPP
#define HAWTHORNBEAM_LIB_CELL_OUTLIER_DETECTOR_HPP

#include "hawthornbeam/cell/types.hpp"

#include <deque>
#include <map>
#include <set>

namespace hawthornbeam::cell
{

/// Start or early end of the quarantine of a worker.
struct quarantine_change
{
    worker_id worker;
    /// End of the quarantine; zero if it was lifted, since its failures have turned out
    /// to be those of the tasks.
    boot_time until{};
    std::uint32_t times = 0;   ///< Recent quarantines of the worker, with this one.
    std::size_t failures = 0;  ///< Failures that may be those of the worker.
    double others_failing = 0; ///< Share of the latest runs on other workers that failed.
};

/// Tells failures of workers from failures of tasks. A failed run counts against its
/// worker when the task then succeeds on another one, and against the task when it fails
/// on another one too that is not suspect. Until then it counts against the worker only
/// if clearly more runs fail there than on the other workers. A worker with several
/// failures of different jobs, and clearly more than the others have, is quarantined, and
/// then on probation for a while or until runs succeed.
class outlier_detector
{
public:
    /// Records a run that has ended as done.
    std::vector<quarantine_change> record_success(const worker_id& worker,
                                                  const task_ref& task, boot_time now);
    /// Records a run that has failed or made no progress.
    std::vector<quarantine_change> record_failure(const worker_id& worker,
                                                  const task_ref& task, boot_time now);
    /// Returns whether a worker whose quarantine has ended has yet to show successes. It
    /// need not show them for ever, since it may get no runs.
    bool is_on_probation(const worker_id& worker, boot_time now) const;
    /// Returns whether the worker is on probation or has failures among its latest runs
    /// that may be its own.
    bool has_failures(const worker_id& worker, boot_time now) const;
    /// Drops what is known of a worker that has left.
    void forget(const worker_id& worker);
    /// Sets the number of workers, of which at most half are in quarantine at a time.
    void set_workers(std::size_t count) { worker_count_ = count; }

private:
    /// A run whose end is known to be due to the worker.
    struct settled_end
    {
        task_ref task;
        bool failed = false;
    };
    struct open_failure
    {
        task_ref task;
        std::uint64_t end = 0; ///< Number of the end on the worker.
    };
    struct worker_record
    {
        std::deque<settled_end> settled; ///< The latest ones, the oldest first.
        /// Failures among the latest runs that are not settled yet, the oldest first.
        std::deque<open_failure> open;
        /// Whether each of the latest runs failed for any reason.
        std::deque<bool> failed;
        std::size_t failed_count = 0; ///< Number of failures in `failed`.
        std::uint64_t last_end = 0;   ///< Number of the latest end.
        std::uint32_t quarantines = 0;
        boot_time quarantined_until{};
        boot_time probation_until{};
        std::size_t successes = 0; ///< Since the latest quarantine or failure.
    };

    /// Ends that are considered for a quarantine.
    struct evidence
    {
        std::size_t ends = 0;
        std::size_t failures = 0;
        std::size_t failed_jobs = 0;
    };

    /// Returns the record of a worker. After a quarantine it begins anew.
    worker_record& record_of(const worker_id& id, boot_time now);
    void add_recent(worker_record& worker, bool failed);
    static void settle(worker_record& worker, const task_ref& task);
    void clear_recent(worker_record& worker);
    void track(const worker_id& worker, const task_ref& task);
    double others_failing(const worker_record& worker) const;
    /// Returns whether clearly more of the worker's latest runs have failed than of those
    /// on the other workers.
    bool fails_more_than_others(const worker_record& worker) const;
    /// The same for the failures that were settled as those of workers.
    bool is_blamed_more_than_others(const worker_record& worker) const;
    void add_settled(worker_record& worker, const task_ref& task, bool failed);
    void clear_settled(worker_record& worker);
    /// Returns whether the task has failed on a worker other than \p worker that is not
    /// itself suspect.
    bool failed_on_sound_worker(const std::set<worker_id>& failed_on,
                                const worker_id& worker, boot_time now) const;
    /// Counts the latest ends of the worker, and its open and settled failures.
    static evidence weigh(const worker_record& worker, bool with_open, bool with_settled);
    bool is_suspect(const worker_record& worker, boot_time now) const;
    /// Starts or lifts the quarantine of a known worker.
    void judge(const worker_id& id, boot_time now,
               std::vector<quarantine_change>& changes);
    std::size_t quarantined(boot_time now) const;

    std::map<worker_id, worker_record> workers_;
    /// Workers on which each task has failed.
    std::map<task_ref, std::set<worker_id>> failed_tasks_;
    std::deque<task_ref> tasks_by_age_; ///< Oldest first; bounds failed_tasks_.
    std::size_t recent_ends_ = 0;       ///< Sums over all workers.
    std::size_t recent_failures_ = 0;
    std::size_t settled_ends_ = 0;
    std::size_t settled_failures_ = 0;
    std::size_t worker_count_ = 0;
};

} // namespace hawthornbeam::cell

#endif
