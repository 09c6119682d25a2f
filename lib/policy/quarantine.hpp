/// \file
/// Decides which workers fail more than the fleet and which jobs fail everywhere.
#ifndef HAWTHORNBEAM_POLICY_QUARANTINE_HPP
#define HAWTHORNBEAM_POLICY_QUARANTINE_HPP

#include "records.hpp"

#include <absl/container/flat_hash_map.h>
#include <deque>

namespace hawthornbeam::policy
{

/// Compares each worker's failure ratio with the mean ratio of the others. Every worker
/// has one vote in that mean, because a worker that fails at once runs, and fails, most
/// of the tasks.
class quarantine
{
public:
    explicit quarantine(duration base) : base_(base) {}

    /// Counts an ended task; returns the workers whose quarantine changed.
    std::vector<index> record_result(pool<worker_record>& workers, index worker,
                                     const job_id& job, bool success, boot_time now);
    /// Ends an expired quarantine; the worker is on probation from now on.
    void release(worker_record& worker);
    /// Forgets a worker that is removed.
    void forget(pool<worker_record>& workers, index worker);

private:
    /// Where a job with at least one failure failed and succeeded.
    struct job_history
    {
        std::vector<std::pair<index, std::uint8_t>> failed; ///< Worker, failures.
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
    double ratio_sum_ = 0; ///< Over the workers with enough ended tasks.
    std::uint32_t rated_workers_ = 0;
    absl::flat_hash_map<job_id, job_history, std::hash<job_id>> jobs_;
    std::deque<job_id> jobs_by_age_; ///< Oldest first, to bound jobs_.
};

} // namespace hawthornbeam::policy

#endif
