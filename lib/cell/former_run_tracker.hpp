/// \file
/// Decides which tasks may still have a run that a former owner of the cell started.
/// Performs no I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_FORMER_RUN_TRACKER_HPP
#define HAWTHORNBEAM_LIB_CELL_FORMER_RUN_TRACKER_HPP

#include "hawthornbeam/cell/types.hpp"

#include <map>
#include <set>

namespace hawthornbeam::cell
{

/// Runs that former owners may have started on workers that this owner has not polled.
/// Until each agent of the former owners has reported its calls, any task may have one.
/// Afterwards only those tasks may that an agent names together with such a worker.
class former_run_tracker
{
public:
    /// Adds a worker that may have runs, until it is settled.
    void expect_worker(const worker_id& worker) { unsettled_.insert(worker); }
    /// Names the agents through which former owners may have started runs.
    void expect_agents(std::set<instance_id> agents);
    /// Handles the calls of an agent, received at \p now, whether it was expected or not.
    /// Returns whether it was, and could report all of its calls.
    bool record_calls(const instance_id& agent, const former_calls& calls, boot_time now);
    /// Handles calls that a former owner has stored. The time at which they were sent is
    /// not stored, so they count as sent at \p now.
    void restore_calls(const std::vector<worker_calls>& calls, boot_time now);
    /// Returns the tasks that may have a run on an expected worker, for a later owner.
    std::vector<worker_calls> calls() const;
    /// Records that the worker has no unknown runs. Returns whether it was expected.
    bool settle(const worker_id& worker);

    bool is_settled() const { return unsettled_.empty(); }
    bool is_expected(const worker_id& worker) const
    {
        return unsettled_.contains(worker);
    }
    /// Returns whether all agents of the former owners have reported their calls.
    bool knows_calls() const { return agents_known_ && awaited_.empty(); }
    std::size_t awaited_agents() const { return awaited_.size(); }
    /// Number of tasks that may have a run on an expected worker, as far as it is known.
    std::size_t tasks() const { return tasks_.size(); }
    /// Returns whether the task may have a run on a worker that is not settled.
    bool may_have_run(const task_ref& task) const;
    /// Returns whether any task of the step may.
    bool may_have_run(const job_key& job, std::uint32_t step) const;
    /// Returns when the latest call was sent that can have extended the lease of the
    /// worker; empty if it is not known.
    std::optional<boot_time> last_call_at(const worker_id& worker) const;

private:
    void add(const worker_calls& calls, boot_time called_at);

    std::set<worker_id> unsettled_;
    bool agents_known_ = false;
    std::set<instance_id> awaited_; ///< Agents that have not reported their calls.
    std::map<worker_id, boot_time> last_calls_;
    std::map<task_ref, std::set<worker_id>> tasks_;
};

} // namespace hawthornbeam::cell

#endif
