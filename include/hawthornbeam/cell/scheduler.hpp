/// \file
/// Decides which tasks of a cell start where. Performs no I/O.
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

/// Times that bound what the scheduler assumes about workers.
struct scheduler_limits
{
    /// Longest lease that an agent asks of a worker.
    duration max_lease = std::chrono::seconds(6);
    /// A start is not begun later than this after it was decided.
    duration start_deadline = std::chrono::milliseconds(1500);
    /// A start or stop without an answer for this long is settled by a stop.
    duration answer_limit = std::chrono::milliseconds(800);
    /// A running task whose progress stands still for this long is moved.
    duration stall_limit = std::chrono::milliseconds(2500);
    /// Clocks of workers may be this fraction slow.
    double clock_drift = 0.02;
};

/// What has to be stored. Ends are acknowledged to workers once they are stored.
struct pending_changes
{
    std::vector<stored_end> ends;
    /// Jobs that reached a final state; their ends need not be stored.
    std::vector<std::pair<job_key, job_state>> final_jobs;
    /// Up to which end each worker's list is covered by this batch and earlier ones.
    std::vector<acknowledge_command> covered;

    bool empty() const { return ends.empty() && final_jobs.empty() && covered.empty(); }
};

/// Orders that result from decisions. The driver knows which agent serves a worker.
struct decisions
{
    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::vector<advice_command> advice;
};

/// All jobs, workers and runs of one cell. Each call gets the current time.
class scheduler
{
public:
    scheduler(const scheduler_limits& limits, const logger& log,
              metrics_registry& metrics);
    ~scheduler();

    void configure(const std::vector<queue_policy>& queues);

    /// Adds a job; false when it is known already. An inherited job may have runs that
    /// the former owner started: its tasks wait until every worker that could run them
    /// was looked at. \p submitted is the caller's first request on this owner's clock.
    bool add_job(job_spec job, bool inherited, boot_time submitted);
    /// Counts an end that a former owner stored.
    void restore_end(const stored_end& end);
    /// Notes that a job ended before, so that queries can be answered.
    void restore_final(const job_key& job, job_state state);
    /// Stops a job's runs; false when it is not known.
    bool cancel(const job_key& job);
    std::optional<job_state> state(const job_key& job) const;
    std::vector<queue_depth> depths() const;
    /// Jobs that are not in a final state.
    std::size_t open_jobs() const;
    /// Forgets a job whose final state is stored.
    void forget(const job_key& job);

    /// Adds a worker or updates its description.
    void update_worker(const worker_info& worker, boot_time now);
    /// The worker's entry is gone; it may still run what its lease allows.
    void remove_worker(const worker_id& worker);
    /// Workers that a former owner may have used; inherited tasks wait for a look at
    /// them or for the end of every lease that they can have.
    void expect_workers(const std::vector<worker_id>& workers, boot_time now);
    /// While held, inherited jobs start no tasks: their cancels may not be known yet.
    void set_inherited_held(bool held);
    /// Workers that are described or still may run something.
    std::vector<worker_info> workers() const;
    /// Tasks are started only on workers that the store names as used.
    void allow_worker(const worker_id& worker);

    void observe(const poll_result& poll, boot_time now);
    void observe(const command_result& result, boot_time now);
    void observe(const advice_result& result, boot_time now);

    /// How many hosts can ask the advice service at the same time.
    void set_advice_hosts(std::uint32_t hosts);

    /// Decides starts, stops and questions to the advice service.
    decisions decide(boot_time now);

    /// Changes since the last call.
    pending_changes take_changes();
    /// The batch is stored: final states become visible.
    void stored(const pending_changes& batch, boot_time now);

    /// True when no expected worker may run something that was not seen.
    bool is_settled() const;
    /// How long the advice service takes to answer.
    duration advice_duration(const advice_command& command) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
