/// \file
/// Simulates the workers of a cell. They keep the documented rules for fence tokens,
/// leases, gangs and ends of runs; tests can inject failures.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_SIMULATED_WORKERS_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_SIMULATED_WORKERS_HPP

#include "hawthornbeam/cell/owner.hpp"
#include "hawthornbeam/cell/ports.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/random_source.hpp"
#include "test/standins/cell_checker.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace hawthornbeam::cell
{

/// All workers of a simulated cell. They run on the loop of the simulation and record the
/// events of their runs in the history.
class simulated_workers
{
public:
    simulated_workers(event_loop& loop, std::uint64_t seed,
                      standins::cell_history& history);

    void add(const std::string& name, std::int64_t cores);
    /// Lets each worker list at most \p count ends at a time.
    void limit_listed_ends(std::size_t count) { max_listed_ends_ = count; }

    // Calls from an instance, at the time of their arrival at the worker.
    void poll(const poll_call& call, const std::function<void(poll_answer)>& done);
    command_outcome start(const start_command& command, fence_token token);
    command_outcome stop(const stop_command& command, fence_token token);

    // The advice service. It admits the workers that the history names, and answers the
    // calls of each host one after the other.
    /// Lets starts of this queue need a ticket, issued with the policy's times.
    void require_tickets(const queue_policy& queue) { ticket_queue_ = queue; }
    /// Accepts a call from \p host. Returns the time until its answer, or nothing if too
    /// many calls of the host wait.
    std::optional<duration> queue_advice(const advice_command& command, std::size_t host);
    advice_result advise(const advice_command& command);

    // Injected failures.
    /// Ends the worker with all of its runs; a new incarnation starts after \p pause.
    void crash(const worker_id& id, duration pause);
    /// Until \p until, the entry that the worker has now stays listed, whatever becomes
    /// of its process.
    void delay_entry(const worker_id& id, boot_time until);
    /// Ends the process of the worker, so that its address refuses connections. A process
    /// starts there after \p pause, under the same id or a new one. The entry of the
    /// ended worker stays listed for a while.
    void end_process(const worker_id& id, duration pause, bool new_id);
    /// Changes the capacity that the worker's entry shows.
    void resize(const worker_id& id, std::int64_t cores);
    /// Lets all runs that start on the worker until \p until fail after a short time.
    void fail_runs(const worker_id& id, boot_time until);
    /// Leaves calls to the worker unanswered until \p until; its runs continue.
    void cut_off(const worker_id& id, boot_time until);
    /// Until \p until, only these hosts reach the worker.
    void restrict_to(const std::set<std::size_t>& hosts, const worker_id& id,
                     boot_time until);
    /// Resets all connections to the worker until \p until; its runs continue. New
    /// connections are refused as by a host whose process has ended.
    void reset_connections(const worker_id& id, boot_time until);
    /// Until \p until, commands are executed up to 12 s late and are not answered.
    void delay_commands(const worker_id& id, boot_time until);
    /// The same for polls. Nobody reaches such a worker.
    void delay_polls(const worker_id& id, boot_time until);
    /// Marks the worker as draining in its entry; it exits after \p pause, and its next
    /// incarnation starts 3 s later.
    void drain(const worker_id& id, duration pause);

    bool is_cut_off(const worker_id& id, std::size_t host) const;
    /// Returns what a caller learns when its connection is refused: nothing seems to
    /// listen at the worker's address, or another worker does; empty if it is not
    /// refused.
    std::optional<command_outcome> refusal(const worker_id& id) const;
    /// Runs \p action on \p loop after \p delay, even if the instance that made the call
    /// has ended since.
    void schedule(event_loop& loop, duration delay, std::function<void()> action);
    /// Returns the delay of the next command to this worker, normally zero.
    duration command_delay(const worker_id& id);
    /// Returns the delay of the next poll of this worker, normally zero.
    duration poll_delay(const worker_id& id);
    /// Records that a command was executed late; the checker then extends its time
    /// bounds.
    void record_late_command();
    /// Records a call that a host could not send in time.
    void record_unsent_call() { ++unsent_calls_; }
    std::size_t unsent_calls() const { return unsent_calls_; }
    /// Returns the entries of the workers that are up.
    std::vector<worker_info> entries() const;
    std::vector<worker_id> ids() const;

private:
    struct simulated_run
    {
        run_number number;
        duration work_time{};
        std::optional<boot_time> working_since; ///< Empty while a gang is incomplete.
        bool will_fail = false;
        timer_handle end_timer;
        timer_handle stop_timer;
        timer_handle crash_timer;
    };
    struct waiting_poll
    {
        std::function<void(poll_answer)> done;
        timer_handle timeout;
    };
    struct simulated_worker
    {
        worker_info info;
        bool up = true;
        bool process_ended = false;     ///< Its address answers, if it is not cut off.
        bool replaced = false;          ///< Another worker has its address.
        boot_time entry_listed_until{}; ///< Of a worker whose process has ended.
        std::optional<worker_info> late_entry; ///< Listed until `entry_late_until`.
        boot_time entry_late_until{};
        fence_token token;
        boot_time started_at{};
        boot_time clock_zero{}; ///< Time at which the incarnation's clock shows 0.
        boot_time lease_until{};
        std::map<task_ref, simulated_run> runs;
        std::map<task_ref, run_number> last_ended_runs;
        std::vector<ended_task> ended;
        std::uint64_t last_end = 0;
        std::uint64_t last_poll = 0;
        std::map<std::uint64_t, waiting_poll> waiting;
        boot_time cut_off_until{};
        std::set<std::size_t> only_hosts; ///< These reach it until restricted_until.
        boot_time restricted_until{};
        boot_time resets_until{};
        boot_time delay_commands_until{};
        boot_time delay_polls_until{};
        boot_time fails_runs_until{};
        timer_handle lease_timer;
        /// Restarts a crashed worker, or ends a draining one.
        timer_handle restart_timer;
    };

    struct issued_ticket
    {
        worker_id worker;
        worker_incarnation incarnation;
        job_key job;
        std::uint32_t step = 0;
        boot_time valid_until{};
    };

    void restart(const worker_id& id);
    /// Lets an incarnation begin now, with a clock unrelated to that of the former one.
    void begin_incarnation(simulated_worker& worker);
    duration call_delay(boot_time until, random_source& random) const;
    bool is_permitted(const simulated_worker& worker, const start_command& command) const;
    /// Returns the record of the worker's present incarnation.
    standins::worker_record& record_of(const simulated_worker& worker);
    /// Fails the polls that wait at the worker.
    static void reset_polls(simulated_worker& worker);
    /// Ends the worker's process if \p run is still the run of the task there.
    void crash_by_task(const worker_id& id, const task_ref& task, run_number run);
    void record_event(const simulated_worker& worker, standins::run_event::kind type,
                      const run_ref& run, run_end outcome);
    const step_spec& step_of(const task_ref& task) const;
    worker_time clock_of(const simulated_worker& worker) const;
    void extend_lease(simulated_worker& worker, worker_time until);
    void start_complete_gang(const task_ref& task);
    void start_work(simulated_worker& worker, const task_ref& task);
    /// Takes \p task by value, because it may refer to the key of the run being erased.
    void end_run(simulated_worker& worker, task_ref task, run_end outcome);
    void end_gang_run(const task_ref& member, run_number run, run_end outcome);
    poll_answer answer(const simulated_worker& worker) const;
    void answer_polls(simulated_worker& worker);

    event_loop& loop_;
    random_source random_;
    random_source clocks_;      ///< Apart, so that other draws do not depend on clocks.
    random_source poll_delays_; ///< Apart, so that other draws do not depend on polls.
    standins::cell_history& history_;
    std::map<worker_id, simulated_worker> workers_;
    std::map<std::uint64_t, timer_handle> scheduled_calls_;
    std::uint64_t last_call_ = 0;
    std::uint64_t last_new_id_ = 0;
    std::size_t unsent_calls_ = 0;
    std::size_t max_listed_ends_ = 500;
    std::optional<queue_policy> ticket_queue_; ///< Empty if no start needs a ticket.
    std::map<ticket, issued_ticket> tickets_;
    /// Times at which the calls of each host will be answered, in their order.
    std::map<std::size_t, std::vector<boot_time>> advice_answers_;
};

/// Reaches the workers for one instance, over connections with a delay of 1 ms. The host
/// sends one call after the other.
class simulated_port final : public worker_port
{
public:
    /// Delivers answers on \p instance_loop; the workers run on \p loop. The host's
    /// processor needs \p call_time for each call.
    simulated_port(event_loop& loop, event_loop& instance_loop,
                   simulated_workers& workers, std::size_t host, duration call_time = {});

    void poll(const poll_call& call, std::function<void(poll_answer)> done) override;
    void start(const start_command& command, fence_token token,
               std::function<void(command_outcome)> done) override;
    void stop(const stop_command& command, fence_token token,
              std::function<void(command_outcome)> done) override;
    void advise(const advice_command& command, duration timeout,
                std::function<void(advice_result)> done) override;

private:
    void command(const worker_id& worker, std::function<command_outcome()> execute,
                 std::function<void(command_outcome)> done);
    void send_poll(const poll_call& call, std::function<void(poll_answer)> done);
    void send_command(const worker_id& worker, std::function<command_outcome()> execute,
                      std::function<void(command_outcome)> done);
    /// Runs \p send on a copy of this port once the processor has prepared the call, or
    /// \p not_sent after the time-out of a command if it cannot do so by then.
    void prepare_call(std::function<void(simulated_port&)> send,
                      std::function<void()> not_sent);

    event_loop& loop_;
    event_loop& instance_loop_;
    simulated_workers& workers_;
    std::size_t host_; ///< Number of the instance's host.
    duration call_time_;
    boot_time processor_free_at_{};
};

/// Reports the list of workers to an instance, with a short delay.
class simulated_directory final : public worker_directory
{
public:
    /// Updates the list once in \p period.
    simulated_directory(event_loop& instance_loop, simulated_workers& workers,
                        duration period)
        : instance_loop_(instance_loop), workers_(workers), period_(period)
    {
    }

    void start(std::function<void(const std::vector<worker_info>&)> changed) override;
    void stop() override;
    boot_time current_until() const override { return current_until_; }

private:
    event_loop& instance_loop_;
    simulated_workers& workers_;
    duration period_;
    timer_handle poll_;
    boot_time current_until_{};
};

} // namespace hawthornbeam::cell

#endif
