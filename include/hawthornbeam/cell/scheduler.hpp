/// \file
/// Scheduler of a cell: decides which tasks start on which workers. Performs no I/O.
#ifndef HAWTHORNBEAM_CELL_SCHEDULER_HPP
#define HAWTHORNBEAM_CELL_SCHEDULER_HPP

#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/metrics/metrics.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>
#include <set>
#include <vector>

namespace hawthornbeam::cell
{

/// Time limits on which the scheduler bases its assumptions about workers.
struct scheduler_limits
{
    /// Longest lease that an agent requests from a worker.
    duration max_lease = std::chrono::seconds(6);
    /// Longest lease that a worker grants, whatever deadline a call carries.
    duration max_granted_lease = std::chrono::seconds(10);
    /// A worker does not execute a start later than this after the decision.
    duration start_deadline = std::chrono::milliseconds(1500);
    /// No worker starts a task later than this after its entry was stored as draining.
    duration drain_limit = std::chrono::milliseconds(2000);
    /// A start or stop that got no answer for this long is followed by a stop, whose
    /// answer shows that the run can no longer begin.
    duration answer_limit = std::chrono::milliseconds(800);
    /// A running task that reports no progress for this long is stopped, so that it
    /// starts on another worker.
    duration stall_limit = std::chrono::milliseconds(2500);
    /// Maximum fraction by which a worker's clock may run slow.
    double clock_drift = 0.02;

    /// A task is started only within this time after the owner's claim was confirmed: a
    /// start extends the lease of its worker to its deadline, and the lease has to end
    /// before a successor gives the worker up.
    duration max_unconfirmed_start() const
    {
        return max_lease + max_unconfirmed_time - start_deadline;
    }
};

/// Changes to write to the store. Ended runs are acknowledged to the workers only after
/// the changes are stored.
struct pending_changes
{
    std::vector<stored_end> ends;
    /// Jobs that reached a final state. The ends of their runs need not be stored.
    std::vector<std::pair<job_key, job_state>> final_jobs;
    /// For each worker, the last ended run that this batch and earlier ones cover.
    std::vector<acknowledge_command> covered;

    bool empty() const { return ends.empty() && final_jobs.empty() && covered.empty(); }
};

/// Commands that result from a decision. The caller knows which agent serves a worker and
/// routes them.
struct decisions
{
    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::vector<advice_command> advice;
};

/// Keeps all jobs, workers and runs of one cell and decides which tasks start where. The
/// caller passes in the current time.
class scheduler
{
public:
    scheduler(const scheduler_limits& limits, const logger& log,
              metrics_registry& metrics);
    ~scheduler();

    /// Sets the policies of the queues and sorts the waiting steps by them. Jobs of a
    /// queue that is not listed any more keep its policy.
    void configure(const std::vector<queue_policy>& queues);
    /// Adds the policies that a former owner knew, for jobs of queues that were removed
    /// from the configuration before this owner read it. Policies of known queues are
    /// kept. Returns whether any was added.
    bool restore_queues(const std::vector<queue_policy>& queues);
    /// Policies of the configured queues and of the latest removed ones.
    std::vector<queue_policy> queues() const;

    /// Sets the term of the owner before any job is added. Terms number the runs of
    /// inherited jobs, since nobody may know the runs that former owners started.
    void set_term(owner_term term);
    /// Adds a job. Returns false when the job is known already. An inherited job may have
    /// runs that a former owner started, so its tasks wait until every worker that could
    /// have such a run was polled or its lease has expired. \p submitted is the time of
    /// the caller's first request on this owner's clock.
    bool add_job(job_spec job, bool inherited, boot_time submitted);
    /// Applies an ended run that a former owner stored.
    void restore_end(const stored_end& end);
    /// Records the final state of a job that ended under a former owner, so that queries
    /// for it can be answered.
    void restore_final(const job_key& job, job_state state);
    /// Cancels a job and stops its runs. Returns false when the job is not known.
    bool cancel(const job_key& job);
    std::optional<job_state> state(const job_key& job) const;
    std::vector<queue_depth> depths() const;
    /// Jobs that are not in a final state.
    std::size_t open_jobs() const;
    /// Removes a job whose final state is stored.
    void forget(const job_key& job);

    /// Adds a worker or updates its description.
    void update_worker(const worker_info& worker, boot_time now);
    /// Handles the removal of a worker's entry from the list of workers. The worker may
    /// keep its runs until its lease expires.
    void remove_worker(const worker_id& worker, boot_time now);
    /// Adds workers on which a former owner may have started runs. Tasks of inherited
    /// jobs wait until each of them was polled or any lease that it can have has expired.
    void expect_workers(const std::vector<worker_id>& workers, boot_time now);
    /// Names the agents through which former owners may have started runs. Once each of
    /// them has reported its calls, only the tasks of inherited jobs wait that may have a
    /// run on an expected worker.
    void expect_agents(std::set<instance_id> agents);
    /// Handles calls that the agents of earlier owners had reported to the last one.
    void restore_calls(const std::vector<worker_calls>& calls, boot_time now);
    /// Returns the calls for former owners that keep tasks waiting; empty until all
    /// agents of these owners have reported.
    std::optional<std::vector<worker_calls>> known_calls() const;
    /// Handles the calls that an agent has sent for former owners.
    void observe(const instance_id& agent, const former_calls& calls, boot_time now);
    /// Jobs that are added from now on start no tasks until release_added_jobs(), because
    /// their cancels may not have been read yet.
    void hold_added_jobs();
    void release_added_jobs();
    bool holds_added_jobs() const;
    /// Returns the workers that have an entry or may still have runs.
    std::vector<worker_info> workers() const;
    /// Allows or forbids starts on a worker. To allow them, the store must already name
    /// the worker and its agent as used, so that a later owner knows who may have runs.
    void allow_worker(const worker_id& worker, bool allowed = true);

    /// Records which agent receives the orders to a worker from now on. The starts and
    /// stops that are under way through an agent are bounded by what it answers in time.
    void assign_agent(const worker_id& worker, const instance_id& agent);

    /// Handles the answer of a worker to a poll.
    void observe(const poll_result& poll, boot_time now);
    /// Handles a poll that was refused. The poll was sent to the address in the worker's
    /// entry, by the agent that polls it now.
    void observe(const refused_poll& refused, boot_time now);
    /// Handles the result of a start or stop command.
    void observe(const command_result& result, boot_time now);
    /// Handles an answer of the advice service.
    void observe(const advice_result& result, boot_time now);

    /// Sets the number of hosts that can send requests to the advice service
    /// concurrently.
    void set_advice_hosts(std::uint32_t hosts);

    /// Records that no other instance owned the cell at this time. Later on another owner
    /// may have extended leases, so none counts as expired that had not ended by then.
    void confirm_claim(boot_time at);
    /// update_worker() has been called for all entries that were stored by \p at. Starts
    /// are executed only while no later entry can forbid them.
    void confirm_workers(boot_time at);

    /// Decides on starts, stops and requests to the advice service.
    decisions decide(boot_time now);

    /// Returns and clears the changes since the last call.
    pending_changes take_changes();
    /// Handles the completed write of \p batch; state() then shows its final states.
    void stored(const pending_changes& batch, boot_time now);

    /// Returns the number of expected agents that have not reported their calls.
    std::size_t awaited_agents() const;
    /// Returns whether no expected worker can still have a run that is unknown to this
    /// owner.
    bool is_settled() const;
    /// Returns the expected response time of the advice service.
    duration advice_duration(const advice_command& command) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
