/// \file
/// State of the scheduler: jobs, workers and runs.
#ifndef HAWTHORNBEAM_LIB_CELL_CELL_STATE_HPP
#define HAWTHORNBEAM_LIB_CELL_CELL_STATE_HPP

#include "hawthornbeam/cell/scheduler.hpp"

#include <deque>
#include <map>
#include <tuple>
#include <unordered_map>

namespace hawthornbeam::cell
{

/// A worker that fails what it runs is left alone for so long at first.
inline constexpr duration initial_quarantine = std::chrono::seconds(2);

/// Orders without an answer may be carried out this much later.
inline constexpr duration late_command_limit = std::chrono::milliseconds(12000);

/// Limits on questions to the advice service assume at least so many hosts that ask.
inline constexpr std::uint32_t min_advice_hosts = 6;

/// What is known of a run that was sent to a worker.
enum class run_phase : std::uint8_t
{
    starting, ///< Sent; the answer or a look decides.
    running,  ///< Accepted or seen in a look.
    stopping  ///< A stop was ordered; its room is free once the end is listed.
};

struct run_record
{
    run_number run;
    run_phase phase = run_phase::starting;
    resources size;
    boot_time command_sent_at{}; ///< When the latest order was given.
    bool stop_answered = false;
    bool answered = false;
    event_position position; ///< Looks that began after it show the run if it exists.
    std::uint32_t percent = 0;
    boot_time progressed_at{}; ///< When it was seen first or its percent changed.
};

struct task_status
{
    bool done = false;
    std::uint32_t failures = 0;
    run_number last_run;
    /// Runs whose end was counted; a takeover may show ends in any order.
    std::vector<run_number> ended_runs;
    checkpoint saved;
    worker_id run_worker; ///< The worker that has a record of a run; empty when none has.
    worker_id failed_on;
};

/// Notes the end of a run; false when it was counted before.
bool count_run(task_status& task, run_number run);

/// Permission to run a step on a worker.
struct permission
{
    ticket ticket_id;
    boot_time until{};
};

struct step_status
{
    std::vector<task_status> tasks;
    std::uint32_t remaining = 0; ///< Tasks that have not ended as done.
    std::uint32_t occupied = 0;  ///< Tasks with a record of a run.
    std::map<worker_id, permission> tickets;
    std::set<worker_id> asked; ///< Workers about which advice is known or under way.
    std::optional<boot_time> advice_requested_at;
    boot_time not_before{}; ///< A gang that lost a member waits a moment.
};

struct job_status
{
    job_spec spec;
    bool inherited = false;
    bool started = false;
    job_state state = job_state::queued;
    bool final_stored = false;
    boot_time submitted{};
    /// Callers get the full worth until `due` and some of it until `value_lost_at`. Steps
    /// are ordered by what is still to be gained.
    boot_time due{};
    boot_time value_lost_at{};
    int lateness = 0; ///< 0: can be in time, 1: late, 2: worthless.
    std::vector<step_status> steps;
};

/// A start that was given up without an answer. It may still be carried out.
struct abandoned_start
{
    run_ref run;
    resources size;
    boot_time at{}; ///< When it was given up.
};

struct worker_status
{
    worker_info info;
    bool described = false; ///< Has an entry in the list of workers.
    bool allowed = false;   ///< The store names it as used.
    bool polled = false;    ///< Was looked at by this owner in its current life.
    worker_incarnation incarnation;
    worker_time clock; ///< At clock_at or later.
    boot_time clock_at{};
    boot_time contact_at{}; ///< Last look, or when it became known.
    end_number processed;
    end_number covered; ///< Handed out for storing.
    std::map<task_ref, run_record> runs;
    std::deque<abandoned_start> abandoned; ///< In the present life, oldest first.
    resources used;
    std::deque<std::pair<job_key, bool>> recent_ends; ///< Job, failed.
    std::uint32_t quarantines = 0;
    boot_time quarantined_until{};
};

/// Order in which steps are placed: lateness, priority, age.
struct step_key
{
    int lateness = 0;
    int priority = 0;
    boot_time submitted{};
    job_key job;
    std::uint32_t step = 0;

    friend std::strong_ordering operator<=>(const step_key&, const step_key&) = default;
};

/// What one decision has done so far.
struct decision_pass
{
    boot_time now{};
    decisions out;
    /// Workers that a waiting gang needs; less urgent steps leave them alone.
    std::map<worker_id, step_key> reserved;
    std::uint32_t reserved_gangs = 0;
    /// Steps of each queue that wait with advice, in order.
    std::map<queue_name, std::uint32_t> waiting_with_advice;
};

class scheduler::implementation
{
public:
    implementation(const scheduler_limits& given, const logger& sink,
                   metrics_registry& registry)
        : limits(given), log(sink), metrics(registry)
    {
    }

    // Jobs (jobs.cpp).
    job_status* find_job(const job_key& job);
    /// The task, or nullptr when \p job, which may be nullptr, has no such task.
    static task_status* find_task(job_status* job, const task_ref& task);
    const queue_policy& policy_of(const job_status& job) const;
    step_key key_of(const job_status& job, std::uint32_t step) const;
    bool is_ready(const job_status& job, std::uint32_t step) const;
    void open_ready_steps(const job_status& job);
    void finish_job(job_status& job, job_state state);
    void record_started(job_status& job, boot_time now);
    void stop_runs(const job_status& job, std::uint32_t step);
    void task_done(job_status& job, const task_ref& task);
    void step_done(job_status& job, std::uint32_t step);
    void task_failed(job_status& job, const task_ref& task, const worker_id& worker);
    std::uint32_t waiting_tasks(const step_status& step) const;

    // Runs and workers (observe.cpp).
    worker_status& worker(const worker_id& id, boot_time now);
    void release(worker_status& holder, const task_ref& task);
    void lose_run(worker_status& holder, const task_ref& task, const char* reason);
    void lose_runs(worker_status& holder, const char* reason);
    void request_stop(const worker_id& holder, const task_ref& task);
    void break_gang(job_status& job, std::uint32_t step, boot_time now);
    void handle_end(worker_status& holder, const ended_task& end, boot_time now);
    void count_end(worker_status& holder, job_status& job, const ended_task& end,
                   boot_time now);
    void handle_early_end(const worker_id& holder, const ended_task& end);
    void adopt_run(worker_status& holder, run_record& record, job_status& job,
                   const task_ref& task);
    void handle_running(worker_status& holder, const running_task& shown, boot_time now,
                        event_position sent_position);
    void begin_incarnation(worker_status& holder, const poll_result& poll, boot_time now);
    void settle_missing(worker_status& holder, const poll_result& poll, boot_time now,
                        const std::set<task_ref>& shown);
    void start_failed(worker_status& holder, const command_result& result, boot_time now);
    void record_health(worker_status& holder, const job_key& job, bool failed,
                       boot_time now);
    bool lease_has_ended(const worker_status& holder, boot_time now) const;
    void expire_workers(boot_time now);
    /// The worker can have no run that was not seen.
    void settle(const worker_id& id, boot_time now);
    void repeat_stops(boot_time now);
    void move_stalled(boot_time now);

    // Placement (place.cpp).
    bool can_run(const worker_status& candidate, const job_status& job,
                 std::uint32_t step, boot_time now) const;
    void set_due(job_status& job);
    static int lateness_of(const job_status& job, std::uint32_t step, boot_time now);
    void age_jobs(boot_time now);
    void place_step(const step_key& key, decision_pass& pass);
    bool place_task(job_status& job, const step_key& key, std::uint32_t index,
                    decision_pass& pass);
    bool place_gang(job_status& job, const step_key& key, decision_pass& pass);
    void reserve_workers(const job_status& job, const step_key& key, decision_pass& pass);
    worker_status* choose(const job_status& job, const step_key& key,
                          const decision_pass& pass,
                          const std::map<worker_id, resources>& taken,
                          const std::map<worker_id, std::uint32_t>& placed,
                          const worker_id& avoid);
    void start(job_status& job, const task_ref& task, run_number run,
               worker_status& target, decision_pass& pass);
    bool may_request_advice(const job_status& job, decision_pass& pass) const;
    void request_advice(job_status& job, const step_key& key, decision_pass& pass);

    scheduler_limits limits;
    const logger& log;
    metrics_registry& metrics;
    std::map<queue_name, queue_policy> queues;
    std::unordered_map<job_key, job_status> jobs;
    std::map<worker_id, worker_status> workers;
    std::set<step_key> open_steps; ///< Ready steps that may have waiting tasks.
    std::set<worker_id> unsettled; ///< Expected workers that were not looked at yet.
    boot_time expected_at{};       ///< When they were expected.
    bool inherited_held = false;   ///< Their cancels may not be known yet.
    /// Ends of jobs that a receiver stored and of which this owner has not heard.
    std::map<job_key, std::vector<std::pair<worker_id, ended_task>>> early_ends;
    pending_changes changes;
    std::vector<stop_command> stops; ///< Ordered since the last decision.
    std::size_t open_job_count = 0;
    boot_time aged_at{};
    std::uint32_t advice_hosts = min_advice_hosts; ///< That can ask for advice at once.
};

} // namespace hawthornbeam::cell

#endif
