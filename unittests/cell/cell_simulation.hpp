/// \file
/// A whole cell in one process: instances, their store and network, workers and callers,
/// on a clock that the test moves, with seeded failures.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_CELL_SIMULATION_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_CELL_SIMULATION_HPP

#include "hawthornbeam/cell/node.hpp"
#include "memory_store.hpp"
#include "simulated_workers.hpp"
#include "test/standins/memory_peer_network.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// What can fail. Each lasts for a while and heals by itself.
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
    connection_silent
};

inline constexpr std::size_t cell_failures = 19;

/// What a simulated cell is like.
struct cell_shape
{
    /// The last hosts have a quarter of the others' processor and a slow link.
    std::size_t small_hosts = 0;
    /// Mean time between two jobs.
    duration submit_period = std::chrono::milliseconds(400);
    /// One of so many accepted jobs is cancelled.
    std::uint64_t jobs_for_each_cancel = 8;
    /// Records that the store returns at once.
    std::size_t page_items = 500;
    /// One of so many steps has tasks of 8 to 12 s; none has when zero.
    std::uint64_t steps_for_each_long = 0;
};

/// Runs one seeded history.
class cell_simulation
{
public:
    explicit cell_simulation(std::uint64_t seed);
    cell_simulation(std::uint64_t seed, const cell_shape& shape);
    /// Passes what the instances log to \p lines.
    cell_simulation(std::uint64_t seed, std::function<void(const std::string&)> lines);
    cell_simulation(std::uint64_t seed, const cell_shape& shape,
                    std::function<void(const std::string&)> lines);
    ~cell_simulation();

    /// Submits jobs for \p busy, with the given failures, and then lets all jobs end.
    void run(duration busy, const std::vector<cell_failure>& failures);

    // For scripted histories.
    void advance(duration step) { loop_.advance(step); }
    std::size_t hosts() const { return hosts_.size(); }
    /// The host that owns the cell; 0 when none does.
    std::size_t owner() const;
    bool is_owned() const;
    bool is_small(std::size_t number) const;
    /// Ends the owner's process; a new one starts on its host after \p pause.
    void kill_owner(duration pause);
    /// The store refuses calls of this host, or serves it again.
    void turn_away(std::size_t number, bool away);
    /// The first answer to a job that is submitted at this host, within \p patience.
    verdict submit_at(std::size_t number, duration patience);

    const standins::cell_history& history() const { return history_; }
    /// Jobs that callers know to be accepted.
    std::size_t accepted() const;

private:
    struct host;
    struct request;

    void start_host(std::size_t number);
    void kill_host(std::size_t number, duration pause);
    std::size_t any_host();
    void fail(cell_failure what);
    void heal_store(std::size_t number, duration after);
    job_spec make_job();
    void submit(const std::shared_ptr<request>& asked);
    void handle_answer(const std::shared_ptr<request>& asked, verdict told);
    void cancel(const job_key& job);
    void query(const job_key& job);
    void ask_for_unended();
    void disturb();
    /// Like a timer that nobody needs to hold.
    void at(duration delay, std::function<void()> action);

    cell_shape shape_;
    manual_event_loop loop_;
    std::function<void(const std::string&)> lines_; ///< Empty when nobody reads them.
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
