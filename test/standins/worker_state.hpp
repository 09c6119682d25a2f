/// \file
/// State of the stand-in for one worker, without transport.
#ifndef HAWTHORNBEAM_TEST_STANDINS_WORKER_STATE_HPP
#define HAWTHORNBEAM_TEST_STANDINS_WORKER_STATE_HPP

#include "hawthornbeam/platform/worker_gateway.hpp"

#include <map>

namespace hawthornbeam::standins
{

/// Properties of one worker.
struct worker_options
{
    worker_id id;
    resources capacity;
    duration lease = std::chrono::seconds(4);
    /// The worker stops its tasks when its lease has not been renewed for this long.
    duration task_lease = std::chrono::seconds(60);
    /// Interval of the usage reports, and the age of the usage that they show.
    duration usage_lag = std::chrono::seconds(2);
    /// How long the ids of acknowledged tasks are kept.
    duration memory = std::chrono::minutes(10);
};

/// One event of a worker, for the invariant checker.
struct history_entry
{
    boot_time at;
    worker_id worker;
    /// acquire, release, lapse, start, duplicate, reject, fenced, end, acknowledge, kill.
    std::string event;
    generation lease;      ///< Generation last granted by the worker.
    std::string subject;   ///< Task id or owner.
    std::string detail;    ///< Reason or final state.
    resources size;        ///< Of the task.
    instance_id job_owner; ///< Of the task.
};

/// Models one worker: grants the owner lease, simulates tasks by the clock and keeps
/// their outcomes until they are acknowledged.
///
/// A payload begins with any number of directives, each ended by ';':
/// "sleep=MS" sets the run time, "fail" ends the task as failed, "service" runs until
/// stopped, "use=FACTOR" scales the reported usage of the declared size (may be "nan",
/// "inf" or negative). Without "sleep" a task runs for its declared run time. A finished
/// task's output is its whole payload.
class worker_state
{
public:
    worker_state(const clock_source& clock, worker_options options);

    /// Grants a new generation unless another owner holds the lease.
    result<lease_grant> acquire(const instance_id& owner);
    result<bool> release(generation held);
    result<std::vector<start_outcome>> start(generation held,
                                             const std::vector<task_start>& tasks);
    /// Renews the lease.
    result<lease_grant> renew(generation held);
    /// Returns, without waiting, the ended tasks and usage reports with event numbers
    /// above \p after.
    result<worker_events> events(generation held, std::uint64_t after);
    std::vector<task_report> list() const;
    std::optional<task_report> task(const task_id& id) const;
    result<bool> acknowledge(generation held, const std::vector<task_id>& tasks);
    /// Returns false if the task is not running.
    result<bool> control(generation held, const task_id& id, task_action action);

    /// Ends the tasks whose run time or task lease has passed.
    void advance();
    /// Returns the next time at which advance() ends a task.
    std::optional<boot_time> next_end() const;
    /// Returns true if a task has ended with an event number above \p after.
    bool ended_after(std::uint64_t after) const;
    /// Succeeds if \p held is the current generation and its lease has not ended.
    result<bool> check_lease(generation held) const;

    /// Sets whether every task fails as soon as it is started.
    void fail_everything(bool on) { fails_everything_ = on; }
    /// Ends the current lease now.
    void lapse_lease();
    /// Drops all tasks, as in a machine failure. The generation counter and the history
    /// are kept.
    void kill();

    const worker_options& options() const { return options_; }
    const std::vector<history_entry>& history() const { return history_; }

private:
    struct stored_task
    {
        task_report report;
        std::optional<boot_time> end; ///< Absent for services.
        boot_time started;
        std::string payload;
        bool fails = false;
        double usage_factor = 1;
        std::uint64_t event = 0; ///< Number of the end or of the last usage report.
        std::optional<boot_time> forget_at; ///< Set by acknowledge().
    };

    lease_grant extend_lease();
    void end_due_tasks();
    start_outcome start_task(const task_start& task);
    std::string rejection_reason(const task_start& task) const;
    void begin(const task_start& task);
    void end(stored_task& task, task_state state, std::string output);
    void report_usage();
    void forget_old_tasks();
    resources used() const;
    void record(const std::string& event, const std::string& subject,
                const std::string& detail = {}, const task_report* task = nullptr);

    const clock_source& clock_;
    worker_options options_;
    instance_id owner_;
    generation granted_;
    boot_time lease_end_;
    boot_time task_lease_end_;
    std::map<task_id, stored_task> tasks_;
    std::uint64_t last_event_ = 0;
    boot_time next_usage_;
    bool fails_everything_ = false;
    std::vector<history_entry> history_;
};

} // namespace hawthornbeam::standins

#endif
