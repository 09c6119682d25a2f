/// \file
/// Decides which task starts on which worker, what is preempted and what is refused.
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

/// A task that waits for a worker.
struct waiting_task
{
    task_id id;
    row_id row;
    resources size;      ///< Declared size.
    duration run_time{}; ///< Declared; zero when unknown. Only an estimate.
    boot_time enqueued{};
    /// The start is pointless after this time; the default is never.
    boot_time start_by = boot_time::max();
    bool idempotent = false;
    bool spread_domains = false;
    /// Tasks with the same non-zero gang size and job start together or not at all.
    std::uint32_t gang_size = 0;
};

/// Why a task is not taken.
struct refusal
{
    task_id id;
    error_code code = error_code::limit_exceeded;
    std::string reason;     ///< One sentence with figures.
    duration retry_after{}; ///< Zero when a retry is pointless.
};

/// Place \p task on \p worker; the scheduler already counts it there.
struct placement
{
    task_id task;
    worker_id worker;
    resources reserved; ///< The larger of declared and learned size.
};

enum class preemption_action : std::uint8_t
{
    throttle,
    checkpoint,
    stop
};

/// Take back capacity from a running task. Its capacity stays counted until
/// task_ended() confirms that it is gone.
struct preemption
{
    task_id task;
    worker_id worker;
    preemption_action action = preemption_action::stop;
};

/// What one round decided.
struct decisions
{
    std::vector<placement> placements;
    std::vector<preemption> preemptions;
    std::vector<refusal> refusals; ///< Tasks that left the queue and were not run.
};

/// How a running task ended, for quarantine and learned sizes.
enum class task_outcome : std::uint8_t
{
    success,
    failure,
    preempted,
    cancelled,
    lost ///< The worker is lost.
};

/// Usage and demand of one row at this scheduler.
struct row_usage
{
    row_id row;
    resources running;
    std::uint32_t tasks_running = 0;
    std::uint32_t tasks_waiting = 0;
};

/// What a cancellation found.
enum class cancel_outcome : std::uint8_t
{
    not_found,
    removed, ///< Was waiting; will not run.
    running  ///< Runs; the caller stops it at its worker.
};

/// Scheduler of the workers of one instance. Pure state: no I/O and no own clock, and
/// the same calls with the same seed give the same decisions.
class scheduler
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        std::size_t sampled_candidates = 8; ///< Workers scored for each placement.
        duration gang_hold_limit = std::chrono::seconds(2);
        duration quarantine_base = std::chrono::seconds(10);
    };

    explicit scheduler(options settings);
    ~scheduler();

    /// Installs a newer table. Waiting tasks of removed rows are refused by the next
    /// decide(); running ones go on.
    void set_table(const operators_table& table);
    /// Usage of each row at other instances and the capacity of the whole cluster, from
    /// summaries. \p cluster_capacity includes this scheduler's workers.
    void set_remote_usage(const std::vector<row_usage>& usage,
                          const resources& cluster_capacity,
                          const resources& largest_worker);

    void add_worker(const worker_info& worker);
    /// Removes a worker with all its tasks; returns their ids.
    std::vector<task_id> remove_worker(const worker_id& worker);
    /// A worker that is not schedulable keeps its tasks and gets no new ones (leaving, or
    /// its owner lease is not held).
    void set_schedulable(const worker_id& worker, bool schedulable);
    /// Why a worker gets no new tasks; empty when it does. Includes quarantine.
    std::string unschedulable_reason(const worker_id& worker, boot_time now) const;

    /// Queues a task. Yields a refusal when the queue is full, the row is unknown, the
    /// start deadline cannot be met, or no worker of the cluster can ever hold it.
    std::optional<refusal> enqueue(const waiting_task& task, boot_time now);
    cancel_outcome cancel(const task_id& task);
    /// Counts a task that already runs on \p worker.
    void adopt(const waiting_task& task, const worker_id& worker, boot_time now);
    /// The worker rejected a placement or the start never reached it: the task waits
    /// again at the head of its queue.
    void placement_failed(const task_id& task, boot_time now);
    /// A running task is gone from its worker.
    void task_ended(const task_id& task, task_outcome how, boot_time now);
    /// A lagging usage report. An implausible one is rejected with a finding.
    std::optional<finding> report_usage(const task_id& task, double cores,
                                        double memory_bytes);

    /// Decides at most \p most placements. Call again while it returns that many.
    decisions decide(boot_time now, std::size_t most);

    /// Why \p task waits, in one sentence with figures; empty when it does not wait.
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
