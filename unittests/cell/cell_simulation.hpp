/// \file
/// Simulates a whole cell in one process: instances, their store and network, workers and
/// callers. The test advances the clock; a seed determines the injected failures.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_CELL_SIMULATION_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_CELL_SIMULATION_HPP

#include "hawthornbeam/cell/node.hpp"
#include "memory_store.hpp"
#include "simulated_workers.hpp"
#include "test/standins/memory_peer_network.hpp"

#include <memory>
#include <optional>
#include <set>

namespace hawthornbeam::cell
{

/// Kinds of failures that a simulation can inject. Each ends by itself after a while.
enum class cell_failure
{
    owner_killed,
    host_killed,
    all_killed,
    owner_paused,
    owner_cut_from_others,
    host_cut_from_others,
    store_refuses_owner,
    store_refuses_host,
    store_refuses_all,
    store_loses_answers_of_owner,
    store_loses_answers_of_all,
    store_cuts_watches,
    store_forgets_history,
    leases_revoked,
    worker_crashes,
    worker_cut_off,
    commands_late,
    worker_drains,
    connection_silent,
    worker_connections_reset,
    worker_restarts_at_once,
    worker_cut_off_beyond_lease,
    owner_cut_off_with_workers,
    host_unheard_beside_worker,
    worker_fails_runs,
    worker_restarts_and_is_cut_off,
    owner_killed_after_unseen_restart,
    owner_and_host_killed_after_unseen_restart,
    store_delays_writes
};

inline constexpr std::size_t cell_failures = 29;
/// Numbers of the first kinds, from which earlier tests draw by seed. They stay as they
/// are, so that the seeds of these tests give the same histories.
inline constexpr std::size_t first_cell_failures = 19;
inline constexpr std::size_t contact_cell_failures = 21;

/// Hosts, load and store of a simulated cell.
struct cell_shape
{
    /// Number of hosts, counted from the last one, that have about a quarter of the
    /// processor share of the others and a slow link to the store.
    std::size_t small_hosts = 0;
    /// Mean time between two submissions.
    duration submit_period = std::chrono::milliseconds(400);
    /// One in this many accepted jobs is cancelled, on average.
    std::uint64_t jobs_per_cancel = 8;
    /// Maximum number of records in a page of a store listing.
    std::size_t page_items = 500;
    /// One in this many steps, on average, has tasks of 8 to 12 s; 0 means no step.
    std::uint64_t steps_per_long_step = 0;
    /// One in this many jobs, on average, has a task that crashes each worker that runs
    /// it; 0 means no job. Some of these tasks crash it late in their runs.
    std::uint64_t jobs_per_crashing_job = 0;
    /// Mean time between two changes of a worker's capacity; zero means no changes.
    duration resize_period{};
    /// Time between two updates of the lists of workers that the instances have.
    duration worker_list_period = std::chrono::milliseconds(250);
    /// Mean time between two workers that begin to drain; zero means none does.
    duration drain_period{};
    /// Whether all workers execute commands late during the first half of the load.
    bool has_late_commands = false;
    /// Maximum number of ends that a worker lists at a time.
    std::size_t max_listed_ends = 500;
    /// One in this many jobs, on average, has a task of which each run fails; 0 means no
    /// job.
    std::uint64_t jobs_per_failing_job = 0;
    std::size_t workers = 6;
    /// Whether the queue has an advice service, which admits a third of the workers for
    /// each step. Gangs are then as wide as these workers allow, or less.
    bool has_advice = false;
    /// One in this many submissions without a verdict, on average, is given up and
    /// cancelled by its caller; 0 means none.
    std::uint64_t submissions_per_unsure_cancel = 0;
    /// The load is more work than the workers can do in completion_time.
    bool exceeds_capacity = false;
    std::size_t payload_bytes = 16;
    /// A service of this many lasting tasks, which is submitted first and cancelled at
    /// the end of the load.
    std::uint32_t lasting_tasks = 0;
    /// How often each worker crashes, one worker after the other, during the load.
    std::size_t crash_rounds = 0;
    /// Processor time that a host needs for each call to a worker.
    duration call_time{};
    /// Number of jobs with one step of large_job_tasks small tasks, which come early in
    /// the load.
    std::size_t large_jobs = 0;
    std::uint32_t large_job_tasks = 4000;
    /// One in this many of the large jobs, on average, is cancelled while it starts; 0
    /// means none.
    std::uint64_t large_jobs_per_cancel = 0;
};

/// Simulates one cell; equal seeds give equal histories.
class cell_simulation
{
public:
    explicit cell_simulation(std::uint64_t seed);
    cell_simulation(std::uint64_t seed, const cell_shape& shape);
    /// Passes the log lines of the instances to \p log_sink.
    cell_simulation(std::uint64_t seed, std::function<void(const std::string&)> log_sink);
    cell_simulation(std::uint64_t seed, const cell_shape& shape,
                    std::function<void(const std::string&)> log_sink);
    ~cell_simulation();

    /// Submits jobs for \p load_time, injects \p failures meanwhile, and then advances
    /// the clock until all jobs should have ended.
    void run(duration load_time, const std::vector<cell_failure>& failures);

    // Functions for tests that set the sequence of events themselves.
    void advance(duration step) { loop_.advance(step); }
    std::size_t hosts() const { return hosts_.size(); }
    /// Returns the number of the host whose instance owns the cell, or 0 without an
    /// owner.
    std::size_t owner() const;
    bool is_owned() const;
    bool is_small(std::size_t number) const;
    /// Kills the process of the owner; a new one starts on its host after \p pause.
    void kill_owner(duration pause);
    /// Makes the store refuse the calls of this host, or serve them again.
    void set_store_refusing(std::size_t number, bool refusing);
    /// Submits a job to this host and advances the clock by \p timeout. Returns the
    /// answer, or `unknown` without one.
    verdict submit_at(std::size_t number, duration timeout);

    const standins::cell_history& history() const { return history_; }
    /// Returns the number of calls to workers that hosts could not send in time.
    std::size_t unsent_calls() const { return workers_.unsent_calls(); }
    /// Returns the number of messages between hosts that were too large to be sent.
    std::size_t oversized_messages() const { return network_.oversized(); }
    /// Returns the number of jobs for which a caller received an acceptance.
    std::size_t accepted() const;

private:
    struct host;
    struct pending_submission;

    void start_host(std::size_t number);
    void kill_host(std::size_t number, duration pause);
    std::size_t random_host();
    void inject_failure(cell_failure failure);
    void restore_store_later(std::size_t number, duration after);
    /// Cuts some hosts and workers off from the store and from all other hosts and
    /// workers; they reach each other.
    void cut_off_together(const std::set<std::size_t>& hosts,
                          const std::set<worker_id>& workers, duration time);
    /// Lets a worker restart with the entry of its former incarnation, take calls and be
    /// cut off. The owner is killed around that time, and with it \p other.
    void kill_owner_after_unseen_restart(const worker_id& worker,
                                         std::optional<std::size_t> other);
    /// Returns a time that is longer than the wait for an unreachable worker.
    duration beyond_lease();
    /// Records a failure that lasts longer than the checker expects of one.
    void record_long_disturbance(duration time);
    job_spec make_job();
    job_spec make_large_job();
    void submit_new(const job_spec& job);
    /// Submits the service, and cancels it after \p load_time.
    void schedule_service(duration load_time);
    void schedule_crashes();
    /// Lets one task of the job crash its workers, for some of the jobs.
    void choose_crashing_task(const job_spec& job);
    /// Lets each run of one task of the job fail, for some of the jobs.
    void choose_failing_task(const job_spec& job);
    /// Chooses the workers that the advice service admits for \p step of \p job, and the
    /// width of a gang.
    void choose_admitted_workers(const job_key& job, std::uint32_t number,
                                 step_spec& step);
    /// Changes capacities of workers during the load, and restores them at its end.
    void schedule_resizes(duration load_time);
    /// Lets workers drain during the load, without any failure.
    void schedule_drains(duration load_time);
    void submit(const std::shared_ptr<pending_submission>& pending);
    void handle_answer(const std::shared_ptr<pending_submission>& pending,
                       verdict outcome);
    void cancel(const job_key& job);
    void query(const job_key& job);
    void query_unended_jobs();
    /// Asks each host how many jobs wait.
    void query_counts();
    void record_disturbance();
    /// Runs \p action after \p delay; the simulation owns the timer.
    void schedule(duration delay, std::function<void()> action);

    cell_shape shape_;
    manual_event_loop loop_;
    std::function<void(const std::string&)> log_sink_; ///< Empty without a reader.
    random_source random_;
    standins::cell_history history_;
    standins::memory_network network_;
    memory_store_state store_{loop_};
    simulated_workers workers_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::map<std::uint64_t, timer_handle> timers_;
    std::uint64_t last_timer_ = 0;
    std::uint64_t last_job_ = 0;
};

} // namespace hawthornbeam::cell

#endif
