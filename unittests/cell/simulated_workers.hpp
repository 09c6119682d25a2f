/// \file
/// Workers of a simulated cell. They keep the published rules for tokens, leases, gangs
/// and ends, and can fail.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_SIMULATED_WORKERS_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_SIMULATED_WORKERS_HPP

#include "hawthornbeam/cell/owner.hpp"
#include "hawthornbeam/cell/ports.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/random_source.hpp"
#include "test/standins/cell_checker.hpp"

#include <map>
#include <memory>

namespace hawthornbeam::cell
{

/// All workers. They run on the loop of the simulation, and note in the history what
/// happens to runs.
class simulated_workers
{
public:
    simulated_workers(event_loop& loop, std::uint64_t seed,
                      standins::cell_history& history);

    void add(const std::string& name, std::int64_t cores);

    // Orders, at the moment of their arrival.
    void poll(const poll_call& call, const std::function<void(poll_answer)>& done);
    command_outcome start(const start_command& command, fence_token token);
    command_outcome stop(const stop_command& command, fence_token token);

    // Failures.
    /// The worker ends with all that it runs, and begins a new life after \p pause.
    void crash(const worker_id& id, duration pause);
    /// Calls get no answer until \p until; runs go on.
    void cut_off(const worker_id& id, boot_time until);
    /// Orders are not answered, and are carried out up to 8 s late, until \p until.
    void delay_commands(const worker_id& id, boot_time until);
    /// The entry says that the worker drains; the worker leaves after \p pause.
    void drain(const worker_id& id, duration pause);

    bool is_cut_off(const worker_id& id) const;
    /// Runs \p action on \p loop, also when the instance that asked for it has ended.
    void later(event_loop& loop, duration delay, std::function<void()> action);
    /// Zero, or how late the next order is carried out.
    duration command_delay(const worker_id& id);
    /// Bounds in time do not hold for what follows from an order that was carried out
    /// late.
    void record_late_command();
    /// Entries of the workers that are up.
    std::vector<worker_info> entries() const;
    std::vector<worker_id> ids() const;

private:
    struct simulated_run
    {
        run_number number;
        duration work{};
        std::optional<boot_time> working_since; ///< Members of a gang wait for the rest.
        bool fails = false;
        timer_handle end;
        timer_handle stop;
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
        fence_token token;
        boot_time born{};
        boot_time lease_until{};
        std::map<task_ref, simulated_run> runs;
        std::map<task_ref, run_number> ended_runs;
        std::vector<ended_task> ended;
        std::uint64_t last_end = 0;
        std::uint64_t last_poll = 0;
        std::map<std::uint64_t, waiting_poll> waiting;
        boot_time cut_off_until{};
        boot_time late_until{};
        timer_handle lease;
        timer_handle change; ///< Restart or departure.
    };

    void note(const simulated_worker& host, standins::run_event::kind what,
              const run_ref& run, run_end outcome);
    const step_spec& step_of(const task_ref& task) const;
    worker_time clock_of(const simulated_worker& host) const;
    void extend_lease(simulated_worker& host, worker_time until);
    void begin_work(const task_ref& task);
    void work(simulated_worker& host, const task_ref& task);
    /// Takes the task by value, since it may be a key of the run that it erases.
    void end_run(simulated_worker& host, task_ref task, run_end outcome);
    void end_gang(const task_ref& member, run_number run, run_end outcome);
    poll_answer answer(const simulated_worker& host) const;
    void answer_polls(simulated_worker& host);

    event_loop& loop_;
    random_source random_;
    standins::cell_history& history_;
    std::map<worker_id, simulated_worker> workers_;
    std::map<std::uint64_t, timer_handle> calls_; ///< On their way.
    std::uint64_t last_call_ = 0;
};

/// Reaches the workers for one instance, over connections with a delay of 1 ms.
class simulated_port final : public worker_port
{
public:
    /// Answers arrive on \p own; the workers run on \p loop.
    simulated_port(event_loop& loop, event_loop& own, simulated_workers& workers);

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
    event_loop& loop_;
    event_loop& own_;
    simulated_workers& workers_;
};

/// The list of workers as an instance reads it, a moment late.
class simulated_directory final : public worker_directory
{
public:
    simulated_directory(event_loop& own, simulated_workers& workers)
        : own_(own), workers_(workers)
    {
    }

    void start(std::function<void(const std::vector<worker_info>&)> changed) override;
    void stop() override;

private:
    event_loop& own_;
    simulated_workers& workers_;
    timer_handle poll_;
};

} // namespace hawthornbeam::cell

#endif
