/// \file
/// Simulated workers that follow the published rules for starts, stops and polls.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_FLEET_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_FLEET_HPP

#include "hawthornbeam/cell/scheduler.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hawthornbeam::cell
{

/// How a simulated worker treats a start command.
enum class delivery
{
    executed,
    answer_lost, ///< Executed, but the answer does not reach the scheduler.
    lost,        ///< Neither executed nor answered.
    refused,
    invalid ///< Refused because the worker cannot parse it.
};

/// A scheduler, its simulated workers of 8 cores each, and a clock that the test
/// advances.
class fleet
{
public:
    /// With \p poll_initially every worker is polled once before the test begins.
    explicit fleet(std::size_t count, bool poll_initially = true);

    /// Adds a queue without an advice service.
    void add_queue(const std::string& name, int priority, std::uint32_t attempts = 3,
                   double stretch = 2, duration objective = std::chrono::seconds(1));
    /// Builds a job of one step with \p count tasks. Each task uses \p cores cores for
    /// \p run_time.
    static job_spec job(const std::string& id, const std::string& queue,
                        std::uint32_t count, std::int64_t cores,
                        duration run_time = std::chrono::seconds(1));
    bool submit(const job_spec& spec, bool inherited = false);

    /// Lets the scheduler decide and delivers the resulting commands. \p outcome applies
    /// to all starts.
    decisions decide(delivery outcome = delivery::executed);
    void deliver(const start_command& command, delivery outcome = delivery::executed);
    void deliver(const stop_command& command);
    /// Lets each worker list at most \p count ends at a time.
    void limit_listed_ends(std::size_t count) { max_listed_ends_ = count; }
    /// Delivers the acknowledgements of \p batch, so that workers drop these ends.
    void acknowledge(const pending_changes& batch);
    /// Returns what a poll of the worker shows now.
    poll_result look(const std::string& worker);
    void poll(const std::string& worker);
    void poll_all();
    /// Ends a run on the worker that executes it.
    void end(const run_ref& run, run_end outcome);
    void end_all(run_end outcome);
    /// All later polls of the worker show its runs at this progress.
    void freeze_progress(const std::string& worker, std::uint32_t percent);
    /// Returns a poll that is refused at the worker's address now: by another worker, or
    /// without one.
    refused_poll refuse_poll(const std::string& worker, bool other_worker);
    /// Ends the process of the worker with its runs and reports to the scheduler that
    /// another worker has its address, or that connections are refused.
    void end_process(const std::string& worker, bool other_worker = true);
    /// Lets the worker lose its runs without ends.
    void forget_runs(const std::string& worker) { workers_.at(worker).running.clear(); }
    /// Makes the queues and workers known to another scheduler, which takes the cell
    /// over.
    void hand_over_to(scheduler& next) const;
    /// Restarts the worker under the same id with a new incarnation.
    void restart(const std::string& worker);
    void advance(duration step) { clock.advance(step); }
    /// Confirms all pending changes as stored and returns them.
    pending_changes store_changes();

    /// The current runs of a job on all workers.
    std::vector<std::pair<worker_id, run_ref>> runs(const std::string& job) const;
    /// The largest processor use of any worker so far.
    std::int64_t max_millicores() const { return max_millicores_; }
    worker_info& info(const std::string& worker) { return workers_.at(worker).info; }
    /// Passes the worker's description to the scheduler.
    void publish(const std::string& worker);

    manual_clock clock;
    /// Receives the log lines; empty without a reader.
    std::function<void(const std::string&)> log_sink;
    logger log{clock, "test", log_level::info,
               [this](const std::string& line)
               {
                   if (log_sink)
                       log_sink(line);
               }};
    metrics_registry metrics;
    scheduler cell{scheduler_limits(), log, metrics};

private:
    struct simulated_worker
    {
        worker_info info;
        std::map<task_ref, run_number> running;
        /// The latest run of each task that has ended or was stopped here.
        std::map<task_ref, run_number> last_ended_runs;
        std::vector<ended_task> ended;
        std::uint64_t last_end_number = 0;
        std::uint64_t event_count = 1;
        std::uint32_t progress_percent = 0;
        bool progress_frozen = false;
    };
    void update_max_millicores(const simulated_worker& worker);

    std::map<std::string, simulated_worker> workers_;
    std::map<job_key, job_spec> jobs_;
    std::vector<queue_policy> queues_;
    std::int64_t max_millicores_ = 0;
    std::size_t max_listed_ends_ = SIZE_MAX;
};

} // namespace hawthornbeam::cell

#endif
