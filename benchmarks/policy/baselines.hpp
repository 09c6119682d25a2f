/// \file
/// Simple schedulers for comparison with the policy.
#ifndef HAWTHORNBEAM_BENCHMARKS_POLICY_BASELINES_HPP
#define HAWTHORNBEAM_BENCHMARKS_POLICY_BASELINES_HPP

#include "hawthornbeam/policy/scheduler.hpp"
#include "hawthornbeam/support/random_source.hpp"

#include <deque>
#include <map>

namespace hawthornbeam::policy
{

/// Interface of the schedulers that the replay runs.
class replay_subject
{
public:
    virtual ~replay_subject() = default;
    virtual void set_table(const operators_table& table) = 0;
    virtual void add_worker(const worker_info& worker) = 0;
    /// Returns whether the queue accepted the task.
    virtual bool enqueue(const waiting_task& task, boot_time now) = 0;
    virtual void task_ended(const task_id& task, task_outcome outcome, boot_time now) = 0;
    virtual decisions decide(boot_time now) = 0;
};

/// Runs the real policy.
class policy_subject final : public replay_subject
{
public:
    policy_subject() : scheduler_({}) {}
    void set_table(const operators_table& table) override { scheduler_.set_table(table); }
    void add_worker(const worker_info& worker) override { scheduler_.add_worker(worker); }
    bool enqueue(const waiting_task& task, boot_time now) override
    {
        return !scheduler_.enqueue(task, now).has_value();
    }
    void task_ended(const task_id& task, task_outcome outcome, boot_time now) override
    {
        scheduler_.task_ended(task, outcome, now);
    }
    decisions decide(boot_time now) override { return scheduler_.decide(now, 4096); }

private:
    scheduler scheduler_;
};

enum class baseline_order
{
    arrival, ///< One queue; a task that does not fit blocks all behind it.
    urgency  ///< One queue per row, most urgent first; a blocked row does not block
             ///< others.
};

enum class baseline_fit
{
    first,
    best,
    random
};

/// A scheduler with bounded queues and placement by linear search, without shares,
/// preemption or reservations.
class baseline_subject final : public replay_subject
{
public:
    baseline_subject(baseline_order order, baseline_fit fit) : order_(order), fit_(fit) {}
    void set_table(const operators_table& table) override;
    void add_worker(const worker_info& worker) override
    {
        workers_.push_back({worker, worker.capacity});
    }
    bool enqueue(const waiting_task& task, boot_time now) override;
    void task_ended(const task_id& task, task_outcome outcome, boot_time now) override;
    decisions decide(boot_time now) override;

private:
    struct baseline_worker
    {
        worker_info info;
        resources free;
    };
    struct running_task
    {
        std::size_t worker;
        resources size;
    };

    /// Returns the index of a worker with enough free capacity, or the number of workers.
    std::size_t select_worker(const resources& size);
    /// Starts the first task of the queue, for a gang all its tasks, or refuses it after
    /// its deadline. Returns false when it does not fit.
    bool start_head(std::deque<waiting_task>& queue, boot_time now, decisions& out);

    baseline_order order_;
    baseline_fit fit_;
    random_source random_{3};
    std::vector<baseline_worker> workers_;
    std::map<row_id, urgency> priorities_;
    std::map<row_id, std::size_t> queue_limits_;
    /// Keyed by urgency and row. In order of arrival there is a single queue.
    std::map<std::pair<urgency, row_id>, std::deque<waiting_task>> queues_;
    std::map<row_id, std::size_t> waiting_;
    std::map<task_id, running_task> running_;
};

} // namespace hawthornbeam::policy

#endif
