/// \file
/// Quarantine of workers whose tasks fail more often than those of other workers.
#ifndef HAWTHORNBEAM_POLICY_QUARANTINE_HPP
#define HAWTHORNBEAM_POLICY_QUARANTINE_HPP

#include "records.hpp"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace hawthornbeam::policy
{

/// Compares the failure ratio of each worker with the mean ratio of the other workers.
/// Every worker has the same weight in the mean: a worker on which tasks fail immediately
/// is soon free again and so runs most of the tasks, and would dominate a mean over
/// tasks. The failures of a job that fails on several workers are not counted against
/// them.
class quarantine
{
public:
    explicit quarantine(duration base) : base_(base) {}

    /// Records the result of an ended task; returns the workers whose quarantine started
    /// or was lifted.
    std::vector<index> record_result(pool<worker_record>& workers, index worker,
                                     const job_id& job, bool success, boot_time now);
    /// Ends an expired quarantine and puts the worker on probation.
    void release(worker_record& worker);
    /// Drops the results of a worker that is removed.
    void forget(pool<worker_record>& workers, index worker);

private:
    /// The workers on which a job failed and succeeded; kept from its first failure.
    struct job_history
    {
        std::vector<std::pair<index, std::uint8_t>>
            failed; ///< Worker and number of failures.
        std::vector<index> succeeded;
        bool faulty = false;
    };

    job_history& history_of(const job_id& job);
    bool check_faulty_job(pool<worker_record>& workers, job_history& job,
                          std::vector<index>& changed);
    void add_results(worker_record& worker, float succeeded, float failed);
    bool is_suspect(const worker_record& worker) const;
    static double ratio(const worker_record& worker);
    void start_quarantine(worker_record& worker, boot_time now) const;

    duration base_;
    double ratio_sum_ = 0;            ///< Sum over the workers counted in rated_workers_.
    std::uint32_t rated_workers_ = 0; ///< Workers with at least min_results results.
    absl::flat_hash_map<job_id, job_history, std::hash<job_id>> jobs_;
    std::deque<job_id> jobs_by_age_; ///< Oldest first; bounds the size of jobs_.
};

} // namespace hawthornbeam::policy

#endif
