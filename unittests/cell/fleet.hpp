/// \file
/// Workers in memory that follow the published rules for starts, stops and looks.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_FLEET_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_FLEET_HPP

#include "hawthornbeam/cell/scheduler.hpp"

#include <map>
#include <string>
#include <vector>

namespace hawthornbeam::cell
{

/// What a test does with a start order.
enum class delivery
{
    carried_out,
    answer_lost, ///< Carried out, the scheduler learns nothing.
    lost,        ///< Neither carried out nor answered.
    refused
};

/// A scheduler with workers of 8 cores, and a clock that the test moves.
class fleet
{
public:
    explicit fleet(std::size_t count, bool polled = true);

    /// Adds a queue without advice.
    void add_queue(const std::string& name, int priority, std::uint32_t attempts = 3,
                   double stretch = 2, duration objective = std::chrono::seconds(1));
    /// A job of \p count tasks of \p cores cores, \p run_time long.
    static job_spec job(const std::string& id, const std::string& queue,
                        std::uint32_t count, std::int64_t cores,
                        duration run_time = std::chrono::seconds(1));
    bool submit(const job_spec& spec, bool inherited = false);

    /// Decides, and delivers what was ordered.
    decisions decide(delivery outcome = delivery::carried_out);
    void deliver(const start_command& command, delivery outcome = delivery::carried_out);
    void deliver(const stop_command& command);
    void poll(const std::string& worker);
    void poll_all();
    /// Ends a run on the worker that has it.
    void end(const run_ref& run, run_end outcome);
    void end_all(run_end outcome);
    /// From now on all runs of the worker are shown with this progress.
    void stand_at(const std::string& worker, std::uint32_t percent);
    /// The worker starts anew under its id.
    void restart(const std::string& worker);
    void advance(duration step) { clock.advance(step); }
    /// Stores everything that waits for it.
    pending_changes store();

    /// Runs that all workers have now, of a job.
    std::vector<std::pair<worker_id, run_ref>> runs(const std::string& job) const;
    /// Largest use of processors on any worker so far.
    std::int64_t max_millicores() const { return max_millicores_; }
    worker_info& info(const std::string& worker) { return workers_.at(worker).info; }
    void publish(const std::string& worker);

    manual_clock clock;
    logger log{clock, "test", log_level::error, [](const std::string&) {}};
    metrics_registry metrics;
    scheduler cell{scheduler_limits(), log, metrics};

private:
    struct worker
    {
        worker_info info;
        std::map<task_ref, run_number> running;
        std::map<task_ref, run_number> ended_runs;
        std::vector<ended_task> ended;
        std::uint64_t last_end = 0;
        std::uint64_t events = 1;
        std::uint32_t percent = 0;
        bool stands = false;
    };
    void measure(const worker& host);

    std::map<std::string, worker> workers_;
    std::map<job_key, job_spec> jobs_;
    std::vector<queue_policy> queues_;
    std::int64_t max_millicores_ = 0;
};

} // namespace hawthornbeam::cell

#endif
