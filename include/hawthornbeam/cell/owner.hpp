/// \file
/// Owner of a cell: connects the scheduler with the store and with the agents.
#ifndef HAWTHORNBEAM_CELL_OWNER_HPP
#define HAWTHORNBEAM_CELL_OWNER_HPP

#include "hawthornbeam/cell/agent.hpp"
#include "hawthornbeam/cell/scheduler.hpp"
#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Source of the list of workers that the platform publishes.
class worker_directory
{
public:
    virtual ~worker_directory() = default;
    /// Calls \p changed with the whole list on every change until stop(). Workers whose
    /// entries cannot be parsed are left out.
    virtual void start(std::function<void(const std::vector<worker_info>&)> changed) = 0;
    virtual void stop() = 0;
    /// The list contains all changes that the platform had published by this time. Zero
    /// before the first list.
    virtual boot_time current_until() const = 0;
};

/// Dependencies and settings of an owner.
struct owner_parts
{
    event_loop& loop;
    cell_store& store;
    worker_directory& directory;
    const logger& log;
    metrics_registry& metrics;
    scheduler_limits limits;
    instance_id self;
    /// Minimum time for which the final state of a job can be queried.
    duration ended_retention = std::chrono::minutes(5);
    /// Sends commands to an agent. The result is the highest token that the agent knows,
    /// or an error if the agent did not accept the commands.
    std::function<void(const endpoint& agent, wire::cell_commands,
                       std::function<void(result<fence_token>)>)>
        send;
    /// Called with a higher token when a newer claim of the cell is detected.
    std::function<void(fence_token)> superseded;
    /// Returns when the store last confirmed the claim; see claim::confirmed_at().
    std::function<boot_time()> confirmed_by_store;
    /// Returns whether the store fails to answer this host.
    std::function<bool()> store_is_failing;
};

/// Owner of a cell. When the instance renews its claim without another owner in between,
/// change_token() replaces the token and the state is kept.
class owner
{
public:
    owner(const owner_parts& parts, fence_token token);
    ~owner();

    /// Reads the stored jobs, then starts to assign workers to agents.
    void start();
    void change_token(fence_token token);
    void configure(const std::vector<queue_policy>& queues);

    /// Processes a report of an agent. The first report registers its sender.
    report_receipt handle_report(const instance_id& from, wire::cell_report report);
    /// True if the store has answered a call of another instance after \p time.
    bool store_answered_other_instance(boot_time time) const;
    /// Notifies the agents that another instance may claim the cell at once.
    void resign();
    /// Other usable instances. Those with access to the store are preferred: the rest is
    /// returned only if there is none.
    std::vector<endpoint> agents() const;
    /// Largest processor share of a usable instance with access to the store, in
    /// thousandths of a processor; 0 if there is no such instance.
    std::uint32_t largest_processor_share() const;
    /// States of those \p jobs that are known; nullopt until the stored jobs are read.
    std::optional<std::vector<wire::cell_job_state>>
    states(const std::vector<job_key>& jobs) const;
    /// Stops new starts and calls \p done after \p wait. Until then, results of commands
    /// in flight are still received and stored.
    void hand_over(duration wait, std::function<void()> done);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
