/// \file
/// Scheduler that places tasks on workers, preempts running tasks and refuses tasks that
/// cannot be served.
#ifndef HAWTHORNBEAM_POLICY_SCHEDULER_HPP
#define HAWTHORNBEAM_POLICY_SCHEDULER_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"
#include "hawthornbeam/support/units.hpp"
#include "hawthornbeam/table/table.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornbeam::policy
{

/// A worker that the scheduler may place tasks on.
struct worker_info
{
    worker_id id;
    failure_domain_id failure_domain;
    rack_id rack;
    resources capacity;
};

/// A task as it is submitted to the scheduler.
struct waiting_task
{
    task_id id;
    row_id row;
    resources size;      ///< Declared size.
    duration run_time{}; ///< Declared estimate; zero when unknown.
    boot_time enqueued{};
    /// Latest useful start time; by default there is none.
    boot_time start_by = boot_time::max();
    bool idempotent = false;
    bool spread_domains = false; ///< Spread the job over failure domains and racks.
    /// Tasks with the same non-zero gang size and job start together or not at all.
    std::uint32_t gang_size = 0;
};

/// A task that the scheduler refuses, with the reason.
struct refusal
{
    task_id id;
    error_code code = error_code::limit_exceeded;
    std::string reason;     ///< Sentence about the task, with figures.
    duration retry_after{}; ///< Zero when a retry cannot succeed.
};

/// Instructs the caller to start `task` on `worker`. The scheduler already counts the
/// reserved capacity as used.
struct placement
{
    task_id task;
    worker_id worker;
    resources reserved; ///< Per resource, the larger of declared and learned size.
};

enum class preemption_action : std::uint8_t
{
    throttle,
    checkpoint,
    stop
};

/// Instructs the caller to reclaim capacity from a running task. The capacity counts as
/// used until task_ended() reports the end of the task.
struct preemption
{
    task_id task;
    worker_id worker;
    preemption_action action = preemption_action::stop;
};

/// Result of one scheduling round.
struct decisions
{
    std::vector<placement> placements;
    std::vector<preemption> preemptions;
    std::vector<refusal> refusals; ///< Tasks removed from the queue without a start.
};

/// How a running task ended. Only success and failure count for the quarantine of
/// workers.
enum class task_outcome : std::uint8_t
{
    success,
    failure,
    preempted,
    cancelled,
    lost ///< The worker was lost while the task ran.
};

/// Usage and demand of one row at this scheduler.
struct row_usage
{
    row_id row;
    resources running;
    std::uint32_t tasks_running = 0;
    std::uint32_t tasks_waiting = 0;
};

/// Result of cancel().
enum class cancel_outcome : std::uint8_t
{
    not_found,
    removed, ///< The task was waiting and has been removed.
    running  ///< The task runs; the caller has to stop it at its worker.
};

/// Scheduler for the workers of one instance. It performs no I/O and reads no clock, and
/// is deterministic: the same calls with the same seed give the same decisions.
class scheduler
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        std::size_t sampled_candidates = 8; ///< Workers scored per placement.
        duration gang_hold_limit = std::chrono::seconds(2);
        duration quarantine_base = std::chrono::seconds(10);
    };

    explicit scheduler(options settings);
    ~scheduler();

    /// Installs a newer table. Waiting tasks of removed rows are refused by the next
    /// decide(); running tasks of removed rows continue.
    void set_table(const operators_table& table);
    /// Sets the usage of each row at the other instances, and the capacity and the
    /// largest worker of the whole cluster, as reported by usage summaries. The capacity
    /// of the cluster includes the workers of this scheduler.
    void set_remote_usage(const std::vector<row_usage>& usage,
                          const resources& cluster_capacity,
                          const resources& largest_worker);

    /// Adds a worker, or updates the capacity of a worker that exists already.
    void add_worker(const worker_info& worker);
    /// Removes a worker with all its tasks; returns their ids.
    std::vector<task_id> remove_worker(const worker_id& worker);
    /// Sets whether \p worker receives new tasks. A worker that is leaving, or whose
    /// owner lease is not held, is not schedulable; it keeps its running tasks.
    void set_schedulable(const worker_id& worker, bool schedulable);
    /// Reason why \p worker receives no new tasks, including quarantine; empty when it is
    /// schedulable.
    std::string unschedulable_reason(const worker_id& worker, boot_time now) const;

    /// Queues a task. Returns a refusal when the queue is full, the row is unknown, the
    /// task is known already or does not match the gang of its job, the start deadline
    /// cannot be met, or the task or gang can never fit on the workers of the cluster or
    /// within the limits of its row.
    std::optional<refusal> enqueue(const waiting_task& task, boot_time now);
    cancel_outcome cancel(const task_id& task);
    /// Registers a task that already runs on \p worker.
    void adopt(const waiting_task& task, const worker_id& worker, boot_time now);
    /// Reports that the worker rejected a placement or never received it. The task
    /// returns to the head of its queue, after repeated failures with a delay, and is
    /// refused after too many of them.
    void placement_failed(const task_id& task, boot_time now);
    /// Reports that a running task has ended and releases its capacity.
    void task_ended(const task_id& task, task_outcome outcome, boot_time now);
    /// Records the measured usage of a running task, which may lag behind. Returns a
    /// finding and ignores the report when the usage is implausible.
    std::optional<finding> report_usage(const task_id& task, double cores,
                                        double memory_bytes);

    /// Runs one scheduling round with at most \p max_placements placements. Call it again
    /// while it returns that many.
    decisions decide(boot_time now, std::size_t max_placements);

    /// Explains in one sentence with figures why \p task waits; empty when it does not.
    std::string explain(const task_id& task, boot_time now) const;

    std::vector<row_usage> usage() const;
    resources capacity() const;
    resources free() const;
    std::size_t waiting() const;
    std::size_t running() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::policy

#endif
