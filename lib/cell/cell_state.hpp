/// \file
/// Internal state of the scheduler: jobs, workers and runs.
#ifndef HAWTHORNBEAM_LIB_CELL_CELL_STATE_HPP
#define HAWTHORNBEAM_LIB_CELL_CELL_STATE_HPP

#include "crash_blame.hpp"
#include "former_run_tracker.hpp"
#include "gang_plan.hpp"
#include "hawthornbeam/cell/scheduler.hpp"
#include "lease_bound.hpp"
#include "order_window.hpp"
#include "outlier_detector.hpp"
#include "pending.hpp"
#include "rejected_sizes.hpp"
#include "run_evidence.hpp"
#include "task_table.hpp"

#include <deque>
#include <map>
#include <tuple>
#include <unordered_map>

namespace hawthornbeam::cell
{

/// Numbers that one term can give to the runs of a task.
inline constexpr std::uint32_t runs_per_term = 100'000;

/// Number of removed queues whose policies are kept although they have no open jobs.
inline constexpr std::size_t max_removed_queues = 256;

/// Lower bound for the number of hosts that send requests to the advice service, used to
/// limit the number of requests.
inline constexpr std::uint32_t min_advice_hosts = 6;

/// Typical number of workers in one request, used to estimate response times.
inline constexpr std::int64_t typical_advice_workers = 30;

/// Returns how many tasks of \p size fit into \p free_capacity.
std::int64_t tasks_that_fit(const resources& size, const resources& free_capacity);

/// Progress of a run that has completed its work.
inline constexpr std::uint32_t complete_percent = 100;

/// A run whose end was counted.
struct ended_run
{
    run_number run;
    worker_id worker; ///< Empty if a former owner stored the end.
};

struct task_status
{
    bool done = false;
    std::uint32_t failures = 0; ///< Not counted for members of a gang.
    run_number last_run;
    /// Runs whose end was counted. After a takeover, ends may arrive in any order.
    std::vector<ended_run> ended_runs;
    checkpoint saved;
    run_number saved_by;  ///< Run that reported `saved`.
    worker_id run_worker; ///< Worker with a run record of the task; empty: none.
    /// Workers of failed and stalled runs; for a gang, kept at its first task.
    std::set<worker_id> failed_on;
    boot_time not_before{}; ///< Starts after this; for a gang, see step_status.
    crash_record crashes;
    boot_time crashed_at{}; ///< Latest crash of its worker.
    /// Latest run that a former owner started while the task was suspect, unless it is
    /// known to have ended.
    run_number untraced_run;
};

/// Keeps the state that a run has saved, unless a newer run has saved one.
void keep_saved(task_status& task, run_number run, const checkpoint& saved);

/// Counts the end of a run on a worker. Returns the end that was counted before under the
/// number of the run, or nullptr.
const ended_run* count_run(task_status& task, run_number run, const worker_id& worker);

/// Returns whether both tasks are done after one counted run of the same number. The
/// workers of these runs may differ.
bool ended_alike(const task_status& one, const task_status& other);

/// Ticket for a step on a worker, with its expiry time.
struct permission
{
    ticket ticket_id;
    boot_time until{};
};

struct step_status
{
    task_table<task_status> tasks;
    std::uint32_t remaining = 0; ///< Tasks that are not done.
    std::uint32_t occupied = 0;  ///< Tasks with a run record.
    std::uint32_t starts_under_way = 0;
    std::set<run_number> failed_runs; ///< Runs of a gang in which a member failed.
    std::map<worker_id, permission> tickets;
    boot_time tickets_until{}; ///< No ticket is valid after this.
    std::set<worker_id> asked; ///< Workers with known or requested advice.
    std::optional<boot_time> advice_requested_at;
    boot_time advice_repeat_at{}; ///< When a request without an answer is repeated.
    /// First planned start of a waiting gang; capacity is held from then on.
    std::optional<boot_time> held_from;
    /// A gang that missed its planned start holds no capacity until then.
    boot_time yields_until{};
    /// Planned starts that a gang has missed since its last start.
    std::uint32_t missed_starts = 0;
    /// Has waited for long in a service that is mostly free: may use capacity that is
    /// held for a gang, except while the gang is about to start.
    bool passes_holds = false;
    boot_time not_before{};         ///< A gang that lost a member is placed after this.
    bool over_advice_limit = false; ///< Last wanted to request advice and could not.
    bool may_need_advice = true;    ///< Was not found to need no advice.
    /// Last answer, or when the step last needed no advice.
    boot_time advice_checked_at{};
    /// Before this, it does not find out again whether it needs advice.
    boot_time advice_check_after{};
    /// Latest decision in which it may find out whether it needs advice, and may also
    /// request it.
    boot_time may_check_at{};
    boot_time may_request_at{};
    boot_time considered_at{}; ///< Latest decision that tried to place the step.
    boot_time turn_at{};       ///< Latest decision that considers the step in any case.
    /// Since when tasks wait without a start of any task of the step, as found by
    /// report_pending(); zero: no task was found waiting.
    boot_time waiting_since{};
    /// Too few other workers could ever run the step.
    bool uses_quarantined = false;
    boot_time quarantine_checked_at{};
    duration next_report{}; ///< Wait after which the step is reported next.
    pending_reason pending = pending_reason::not_placed; ///< As reported last.
};

struct job_status
{
    job_spec spec;
    bool inherited = false;
    bool held = false;    ///< See hold_added_jobs().
    bool started = false; ///< A run has begun; an order alone does not show that.
    job_state state = job_state::queued;
    bool final_stored = false;
    boot_time submitted{};
    /// A result has its full value until `due` and part of it until `value_lost_at`.
    /// Steps are sorted by the value that they can still reach.
    boot_time due{};
    boot_time value_lost_at{};
    /// 0: can end in time, or is late and has its last chance; 1: late; 2: without value;
    /// 3 and above: late, and has started many tasks; one more for each doubling.
    int lateness = 0;
    std::vector<step_status> steps;
};

/// How the call of a start or stop ended.
enum class order_end : std::uint8_t
{
    answered,
    unanswered, ///< The worker may have executed it.
    not_sent,   ///< The agent did not send or report it in time.
    dropped     ///< Its answer does not matter any more.
};

struct order_ending
{
    order_end kind = order_end::dropped;
    boot_time now{};
};

/// Orders to the workers of one agent.
struct agent_orders
{
    order_window starts;
    order_window stops;
};

/// A start that got no answer and was abandoned. The worker may still execute it.
struct abandoned_start
{
    run_ref run;
    resources size;
    boot_time at{}; ///< When it was sent.
};

struct worker_status
{
    worker_info info;
    bool has_entry = false;             ///< Has an entry in the list of workers.
    bool allowed = false;               ///< Tasks may start; see allow_worker().
    instance_id agent;                  ///< See assign_agent().
    agent_orders* orders = nullptr;     ///< Of `agent`.
    std::optional<order_window> starts; ///< Empty before the first start.
    bool polled = false; ///< This owner has polled its current incarnation.
    /// The process of the polled incarnation has ended.
    bool process_ended = false;
    endpoint contact_address; ///< Address at the last poll.
    /// Position at which the last poll was sent that was answered or showed the end.
    event_position contact_position;
    /// Since when polls show that the process has ended, before this owner has polled it.
    boot_time ended_unpolled_since{};
    /// First of the polls that were refused since the last answer.
    boot_time refused_since{};
    worker_incarnation incarnation;
    worker_time clock; ///< Value read at or before clock_at.
    boot_time clock_at{};
    boot_time contact_at{};      ///< Last poll; before the first one, when it was added.
    boot_time answering_since{}; ///< First poll of this incarnation by this owner.
    /// Until then, this incarnation may execute calls that were meant for an earlier one.
    boot_time misdirected_until{};
    bool ends_complete = true; ///< Whether the last poll listed all ends.
    end_number processed;      ///< Last ended run that was handled.
    end_number covered;        ///< Last ended run that was passed on for storing.
    std::map<task_ref, run_record> runs;
    std::deque<abandoned_start> abandoned; ///< Of this incarnation, oldest first.
    resources used;
    boot_time observed_until{}; ///< Latest observed_until of its runs.
    boot_time last_start_at{};
    boot_time quarantined_until{}; ///< As the outlier detector decided.
    boot_time paused_until{};      ///< Gets no starts after it has refused one.
};

/// Which room of the workers counts for a gang.
enum class gang_room : std::uint8_t
{
    now, ///< Free room of the workers that may run it now.
    ever ///< All room of the workers that could ever run it.
};

/// Workers of a service that take no starts for a while.
struct withheld_workers
{
    std::size_t all = 0;
    std::size_t observed = 0; ///< They run a suspect task.
    std::size_t withheld = 0; ///< Observed, quarantined or paused.
};

/// Sort key of the steps to place: lateness, then priority, then age.
struct step_key
{
    int lateness = 0;
    int priority = 0;
    boot_time submitted{};
    job_key job;
    std::uint32_t step = 0;

    friend std::strong_ordering operator<=>(const step_key&, const step_key&) = default;
};

/// Intermediate state of one decision.
struct decision_pass
{
    boot_time now{};
    boot_time latest_start{}; ///< See latest_start() of the scheduler.
    bool may_start = true;    ///< Starts have enough time to reach their workers.
    decisions out;
    /// Forecasts of the workers that waiting gangs may use, less the capacity held for
    /// the gangs that sort before the current step.
    std::map<worker_id, capacity_forecast> forecasts;
    /// The same, less only what is held for gangs that are about to start.
    std::map<worker_id, capacity_forecast> forecasts_to_pass;
    /// Whether less than half of a service is in use, for the services that were asked
    /// about.
    std::map<service_name, bool> mostly_free;
    /// Plans of waiting gangs, by job and step.
    std::map<std::pair<job_key, std::uint32_t>, gang_plan> plans;
    std::map<task_kind, rejected_sizes> rejected; ///< By all workers.
    bool starts_bounded = false; ///< A task waits for starts that are under way.
    std::size_t comparisons = 0; ///< How often a task was compared with all workers.
    /// Steps that were compared with all workers to find out whom to ask about: in their
    /// order, and because they had their turn.
    std::size_t ordered_comparisons = 0;
    std::size_t turn_comparisons = 0;
    /// Number of steps that count against the limits, by need of advice and gang.
    std::map<std::pair<bool, bool>, std::size_t> considered;
};

class scheduler::implementation
{
public:
    implementation(const scheduler_limits& given, const logger& sink,
                   metrics_registry& registry)
        : limits(given), log(sink), metrics(registry)
    {
    }

    // Jobs; defined in jobs.cpp.
    job_status* find_job(const job_key& job);
    /// Returns nullptr when \p job is nullptr or has no such task.
    static task_status* find_task(job_status* job, const task_ref& task);
    const queue_policy& policy_of(const job_status& job) const;
    step_key key_of(const job_status& job, std::uint32_t step) const;
    /// Returns whether all steps that the step depends on are done.
    bool is_ready(const job_status& job, std::uint32_t step) const;
    void open_ready_steps(const job_status& job);
    /// \p reason is logged.
    void finish_job(job_status& job, job_state state, const char* reason);
    /// Records that a run of the job has begun, as its worker has shown.
    void record_started(job_status& job, boot_time now);
    void stop_runs(const job_status& job, std::uint32_t step);
    void task_done(job_status& job, const task_ref& task);
    void step_done(job_status& job, std::uint32_t step);
    /// Counts a failed run. Returns false if it is the run of a gang that was counted for
    /// another member.
    bool task_failed(job_status& job, const run_ref& run);
    /// Fails the job if a task or gang has used all of its attempts.
    void fail_if_exhausted(job_status& job);
    void set_policies(const std::vector<queue_policy>& given);
    /// Drops the policies of the queues that were removed first and have no open jobs.
    void drop_old_queues(const std::set<queue_name>& configured);
    std::uint32_t waiting_tasks(const step_status& step) const;

    // Runs and workers; defined in observe.cpp, incarnations.cpp and workers.cpp.
    worker_status& find_or_add_worker(const worker_id& id, boot_time now);
    /// Removes the record of a run and frees its capacity.
    void release(worker_status& worker, const task_ref& task);
    /// Removes a run that cannot exist any more although no end was listed, and restarts
    /// its gang.
    void handle_lost_run(worker_status& worker, const task_ref& task, const char* reason);
    /// Gives up \p lost runs of a worker, and counts its crash against their tasks if it
    /// has \p crashed.
    void give_up_runs(worker_status& worker, const std::vector<task_ref>& lost,
                      bool crashed, const char* reason, boot_time now);
    /// Gives up the runs of a silent worker whose leases had ended at \p confirmed_at. If
    /// its address refused connections since the last answer, it has probably crashed.
    void expire_runs(worker_status& worker, const lease_bound& leases,
                     boot_time confirmed_at, boot_time now);
    /// Logs and counts the ends between the last one that was handled and \p listed: the
    /// worker has dropped them although this owner has not handled them.
    void report_missing_ends(const worker_status& worker, end_number listed) const;
    void request_stop(const worker_id& worker, const task_ref& task);
    /// Stops a run whose start got no answer, also if the former incarnation was told to.
    void stop_uncertain_start(worker_status& worker, const task_ref& task, boot_time now);
    /// Stops all members of a gang's run \p ended, of which one has ended, so that the
    /// gang is placed again after a pause. Does nothing if the step is not a gang or has
    /// a newer run.
    void restart_gang(job_status& job, std::uint32_t step, run_number ended,
                      boot_time now);
    /// Returns the highest number of the present runs of a step; zero if it has none.
    run_number present_run(const job_status& job, std::uint32_t step) const;
    void handle_end(worker_status& worker, const ended_task& end, boot_time now);
    void count_end(worker_status& worker, job_status& job, const ended_task& end,
                   boot_time now);
    /// Logs an end whose number was counted before, with the worker of that end.
    void log_uncounted_end(const worker_status& worker, const ended_task& end,
                           const worker_id& counted_on) const;
    /// Handles the end of a run that was listed before its job was known.
    void apply_early_end(const worker_id& worker, const ended_task& end);
    /// Records the runs that were listed before the job was known.
    void adopt_listed_runs(job_status& job);
    /// Changes the capacity that a run uses on its worker.
    static void resize_run(worker_status& worker, run_record& record,
                           const resources& size);
    /// Records a listed run as the run of its task, or stops it when the task has a run
    /// on another worker.
    void adopt_run(worker_status& worker, run_record& record, job_status& job,
                   const task_ref& task);
    /// Handles a run that a poll result lists as running.
    void handle_running(worker_status& worker, const running_task& listed, boot_time now,
                        event_position sent_position);
    void begin_incarnation(worker_status& worker, const poll_result& poll, boot_time now);
    /// Handles the end of an incarnation, which \p evidence shows: gives up the runs that
    /// are lost and stops those whose start a later incarnation may execute. The \p shown
    /// runs belong to a later incarnation.
    void end_incarnation(worker_status& worker, const run_evidence& evidence,
                         const std::map<task_ref, run_number>& shown, const char* reason,
                         boot_time now);
    /// Settles an expected worker whose process has ended before this owner polled it.
    void settle_ended_worker(worker_status& worker, boot_time now);
    /// Acknowledges ends again that were passed on for storing, if the worker still lists
    /// them after a change of its agent: agents lose acknowledgements with assignments.
    static void repeat_acknowledgement(worker_status& worker, const poll_result& poll);
    /// Handles the runs that a poll result should list but does not.
    void handle_unlisted_runs(worker_status& worker, const poll_result& poll,
                              boot_time now, const std::set<task_ref>& listed);
    void handle_refused_start(worker_status& worker, const command_result& result,
                              boot_time now);
    /// Returns the first task of a gang, which fails as a whole, or else the task itself.
    static task_ref failing_unit(const job_status& job, const task_ref& task);
    /// Counts an end, and quarantines workers on which too many runs failed.
    void record_health(job_status& job, const worker_id& worker, const task_ref& task,
                       bool failed, boot_time now);
    void apply(const quarantine_change& change);
    /// Returns whether the workers that are not quarantined could not run the step even
    /// if they were free.
    bool needs_quarantined(const job_status& job, std::uint32_t step,
                           boot_time now) const;
    void expire_workers(boot_time now);
    /// Time after which a worker does not execute a start that is ordered now.
    boot_time latest_start(boot_time now) const;
    /// Records that the worker cannot have a run that is unknown to this owner.
    void mark_settled(const worker_id& id, boot_time now);
    /// Returns whether each waiting task of the step may have a run of a former owner.
    bool waits_for_former_runs(const job_status& job, std::uint32_t step) const;
    /// Sends stops without an answer again.
    void repeat_stops(boot_time now);
    /// Stops runs without progress, so that their tasks start on another worker.
    void stop_stalled_runs(boot_time now);

    // Orders under way; defined in orders.cpp.
    order_window new_window(std::uint32_t initial) const;
    /// Lets the orders to the worker count for this agent.
    void set_agent(worker_status& worker, const instance_id& agent);
    order_window& starts_of(worker_status& worker);
    /// Returns whether a start that is sent to the worker now would be answered in time.
    /// A step with few starts under way passes a large one.
    bool has_start_room(const worker_status& worker, const step_spec& spec,
                        const step_status& step) const;
    void add_start(worker_status& worker, step_status& step, run_record& record,
                   boot_time now);
    /// Records the end of a start that is under way; otherwise does nothing.
    void end_start(worker_status& worker, const task_ref& task, run_record& record,
                   const order_ending& ending);
    /// The same for a stop.
    void end_stop(worker_status& worker, run_record& record, const order_ending& ending);
    /// Forgets the orders of a run that are under way.
    void end_orders(worker_status& worker, const task_ref& task, run_record& record);
    /// The same for all runs of a worker.
    void end_orders(worker_status& worker);
    /// Ends the orders whose answers cannot come any more.
    void end_lost_orders(boot_time now);
    /// Adds a stop to those that wait to be sent.
    void queue_stop(const worker_id& worker, const endpoint& address,
                    const task_ref& task, run_record& record);
    /// Returns the waiting stops that may be sent now.
    std::vector<stop_command> order_stops(boot_time now);
    void report_orders() const;

    // Crashes; defined in crashes.cpp.
    /// Counts the crash of a worker against the tasks of the \p lost runs.
    void count_crash(worker_status& worker, const std::vector<task_ref>& lost,
                     boot_time now);
    void count_crashed_run(const worker_status& worker, const task_ref& task,
                           run_end role, duration age, boot_time now);
    /// Counts a run of a suspect task that a former owner started and that ended without
    /// a trace.
    void count_untraced_run(job_status& job, const task_ref& task);
    /// Fails the job if one of its tasks has crashed its workers.
    void fail_if_crashing(job_status& job);
    /// Returns whether the crash of a suspect task, of those on the worker or \p task,
    /// could be told from other crashes if the task started on the worker.
    static bool takes_start(const worker_status& worker, const task_status& task,
                            boot_time now);
    withheld_workers count_withheld(const service_name& service, boot_time now) const;
    /// Returns whether one more worker of a service may be kept for a suspect task.
    static bool may_observe(const withheld_workers& counts);
    /// Returns whether a task that is blamed for a crash should wait until a worker can
    /// be kept for it.
    bool waits_for_observation(const task_status& task, const service_name& service,
                               boot_time now) const;
    /// Forgets the crashes of a task whose run has lasted for long enough.
    void record_survival(task_status& status, const run_record& record,
                         const task_ref& task, boot_time now);
    void report_withheld(boot_time now) const;
    /// Keeps other starts from the worker of a suspect task, if another one may be kept
    /// from them.
    void observe_suspect(worker_status& worker, run_record& record,
                         const task_status& status, const task_ref& task, boot_time now);
    static void update_observation(worker_status& worker);

    // Waiting steps; defined in pending.cpp.
    /// Returns what keeps a worker without another barrier from starting a task of the
    /// step in this decision.
    worker_barrier start_barrier_of(const worker_status& candidate, const job_status& job,
                                    std::uint32_t step, const decision_pass& pass) const;
    /// Number of tasks of a gang that its plan starts on the worker now.
    static std::uint32_t planned_members(const step_key& key, const worker_id& worker,
                                         const decision_pass& pass);
    barrier_counts count_barriers(const job_status& job, std::uint32_t step,
                                  const decision_pass& pass) const;
    pending_reason pending_reason_of(const job_status& job, std::uint32_t step,
                                     const barrier_counts& counts,
                                     const decision_pass& pass) const;
    /// Reports the steps that have waited for some seconds, at the end of a decision.
    void report_pending(const decision_pass& pass);
    void report_step(job_status& job, std::uint32_t step, const decision_pass& pass);

    // Placement; defined in place.cpp, order.cpp, gangs.cpp and advice.cpp.
    /// Returns what keeps the worker from running any task of the step, apart from
    /// advice, room and suspect tasks.
    worker_barrier barrier_of(const worker_status& candidate, const job_status& job,
                              std::uint32_t step, boot_time now) const;
    /// The same for a queue whose workers are those of \p service.
    worker_barrier barrier_of(const worker_status& candidate, const service_name& service,
                              const job_status& job, std::uint32_t step,
                              boot_time now) const;
    bool can_run(const worker_status& candidate, const job_status& job,
                 std::uint32_t step, boot_time now) const;
    /// Computes `due` and `value_lost_at`.
    void set_due(job_status& job);
    static int lateness_of(const job_status& job, std::uint32_t step, boot_time now);
    /// The highest lateness of the steps that are ready. Late jobs that have started many
    /// tasks come last, so that they do not hold up smaller ones.
    int lateness_of(const job_status& job, boot_time now) const;
    /// Tasks that run or are done, without persistent ones.
    static std::uint64_t started_tasks(const job_status& job);
    /// Updates the lateness of waiting jobs and sorts their steps by it.
    void update_lateness(boot_time now);
    /// Lets a step that waits use quarantined workers if it could never start without
    /// them.
    void update_quarantine_use(job_status& job, std::uint32_t step, boot_time now);
    /// Gives the next of the open steps their turn, in which the limits on the
    /// considered steps do not apply to them.
    void take_turns(boot_time now);
    /// Returns the open steps that may start or request advice.
    std::vector<step_key> find_startable(boot_time now);
    bool is_within_limits(const job_status& job, std::uint32_t step,
                          const decision_pass& pass) const;
    void place_step(const step_key& key, decision_pass& pass);
    void place_waiting_tasks(job_status& job, const step_key& key, decision_pass& pass);
    bool place_task(job_status& job, const step_key& key, std::uint32_t index,
                    decision_pass& pass);
    /// Returns whether the workers of the service have room for all members of a gang.
    bool fits_gang(const job_status& job, std::uint32_t step, gang_room room,
                   boot_time now) const;
    bool place_gang(job_status& job, const step_key& key, decision_pass& pass);
    /// Plans a gang that does not fit now and holds capacity for it from the planned
    /// start on.
    void plan_waiting_gang(job_status& job, const step_key& key, decision_pass& pass);
    /// Makes the forecasts of the worker in \p pass unless they exist.
    void add_forecasts(const worker_status& worker, decision_pass& pass) const;
    bool is_mostly_free(const service_name& service, decision_pass& pass) const;
    /// Returns whether the step may use capacity that is held for gangs.
    bool may_pass_holds(const job_status& job, std::uint32_t step,
                        decision_pass& pass) const;
    /// Expected end of a run, from its progress or else from the estimate of its step;
    /// empty if its job is unknown.
    std::optional<boot_time> expected_end(const task_ref& task, const run_record& run,
                                          boot_time now) const;
    /// Returns whether capacity of a worker that is free now may be used for \p run_time
    /// without delaying the gangs that it is held for.
    static bool keeps_holds(const decision_pass& pass, const worker_id& worker,
                            const resources& size, duration run_time, bool passes_holds);
    /// Returns how many tasks of the step a worker without another barrier could start in
    /// this decision, apart from advice. \p tasks_there run on it already.
    static std::int64_t places_now(const worker_status& candidate, const job_status& job,
                                   std::uint32_t step, std::uint32_t tasks_there,
                                   const decision_pass& pass);
    /// The same for a worker with this forecast, which is nullptr if no gang may use it.
    static std::int64_t places_now(const worker_status& candidate, const step_spec& spec,
                                   std::uint32_t tasks_there,
                                   const capacity_forecast* forecast, boot_time now);
    /// Number of tasks of the step on each worker.
    static std::map<worker_id, std::uint32_t> count_tasks(const step_status& step);
    /// Returns the best worker for the task with this index in its step, or nullptr when
    /// none has enough free capacity. \p assigned_capacity is the capacity of each worker
    /// that this decision already assigns to the gang, \p tasks_on_worker the number of
    /// tasks of the step on each worker. The worker on which the task failed is used only
    /// when no other one fits.
    worker_status*
    choose_worker(const job_status& job, const step_key& key, decision_pass& pass,
                  const std::map<worker_id, resources>& assigned_capacity,
                  const std::map<worker_id, std::uint32_t>& tasks_on_worker,
                  std::uint32_t index);
    void start(job_status& job, const task_ref& task, run_number run,
               worker_status& target, decision_pass& pass);
    /// Number of steps of a queue that may have requests at the same time.
    std::uint32_t max_requesting(const advice_policy& advice) const;
    /// Returns whether a request of the step is open.
    static bool has_open_request(const step_status& step, boot_time now);
    /// Chooses the steps that may request advice in this decision: the first ones of each
    /// queue, and some of the others, which take turns.
    void permit_requests(const std::vector<step_key>& steps, boot_time now);
    /// Requests advice for a step if it needs it and may.
    void update_advice(job_status& job, const step_key& key, decision_pass& pass);
    void request_advice(job_status& job, const step_key& key, decision_pass& pass);
    /// Returns the workers to name in a request; none if the step needs no advice now.
    std::vector<worker_id> workers_to_ask(const job_status& job, const step_key& key,
                                          const decision_pass& pass) const;
    void send_advice_request(const step_key& key, std::vector<worker_id> asked,
                             decision_pass& pass);
    /// Workers whose tickets a planned gang has to renew by now.
    std::vector<worker_id> tickets_to_renew(const job_status& job, std::uint32_t step,
                                            const gang_plan& plan, boot_time now) const;

    scheduler_limits limits;
    const logger& log;
    metrics_registry& metrics;
    boot_time claim_confirmed_at = boot_time::max();   ///< See confirm_claim().
    boot_time workers_confirmed_at = boot_time::max(); ///< See confirm_workers().
    run_number former_runs; ///< Highest number that an earlier term can have used.
    std::map<queue_name, queue_policy> queues;
    /// Queues that are not configured any more, the first removed one first. Jobs that
    /// were accepted before the removal may still arrive.
    std::deque<queue_name> removed_queues;
    std::unordered_map<job_key, job_status> jobs;
    std::map<worker_id, worker_status> workers;
    std::set<step_key> open_steps; ///< Ready steps that may have waiting tasks.
    former_run_tracker former;
    boot_time expected_at{};      ///< When expect_workers() was called.
    bool added_jobs_held = false; ///< See hold_added_jobs().
    /// Ended runs whose job another instance stored and this owner has not read yet.
    std::map<job_key, std::vector<std::pair<worker_id, ended_task>>> early_ends;
    outlier_detector outliers;
    boot_time last_quarantine_until{}; ///< End of the quarantine that ends last.
    pending_changes changes;
    std::vector<stop_command> stops; ///< Requested and not yet sent.
    std::map<instance_id, agent_orders> agents;
    std::size_t open_job_count = 0;
    boot_time lateness_updated_at{};
    boot_time pending_reviewed_at{};
    boot_time turns_taken_at{};
    step_key last_turn;                   ///< Step that had the last turn.
    std::deque<boot_time> recent_crashes; ///< Times of the latest crashes of workers.
    /// Hosts that can send requests to the advice service concurrently.
    std::uint32_t advice_hosts = min_advice_hosts;
};

} // namespace hawthornbeam::cell

#endif
