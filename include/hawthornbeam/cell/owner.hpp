/// \file
/// Runs a cell: connects the scheduler with the store and with the agents.
#ifndef HAWTHORNBEAM_CELL_OWNER_HPP
#define HAWTHORNBEAM_CELL_OWNER_HPP

#include "hawthornbeam/cell/scheduler.hpp"
#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Lists the workers that the platform names.
class worker_directory
{
public:
    virtual ~worker_directory() = default;
    /// Calls \p changed with all workers of readable entries whenever the list changed,
    /// until stop().
    virtual void start(std::function<void(const std::vector<worker_info>&)> changed) = 0;
    virtual void stop() = 0;
};

/// What an owner uses.
struct owner_parts
{
    event_loop& loop;
    cell_store& store;
    worker_directory& directory;
    const logger& log;
    metrics_registry& metrics;
    scheduler_limits limits;
    instance_id self;
    /// Ended jobs can be asked for at least this long.
    duration ended_retention = std::chrono::minutes(5);
    /// Sends orders to an agent; the result says whether the agent has taken them.
    std::function<void(const endpoint& agent, wire::cell_commands,
                       std::function<void(result<fence_token>)>)>
        send;
    /// A higher token was seen.
    std::function<void(fence_token)> superseded;
};

/// The owner of a cell under one claim. A claim without a break changes the token and
/// keeps what is known.
class owner
{
public:
    owner(const owner_parts& parts, fence_token token);
    ~owner();

    /// Reads the stored jobs and begins to look at the workers.
    void start();
    void change_token(fence_token token);
    void configure(const std::vector<queue_policy>& queues);

    /// Takes a report of an agent; the sender is one from now on.
    void handle_report(const instance_id& from, wire::cell_report report);
    /// True when the store has answered another instance after \p time.
    bool store_answered_other_instance(boot_time time) const;
    /// Tells the agents that the cell may be claimed at once.
    void resign();
    /// Other instances that were heard lately, if possible such that the store answers.
    std::vector<endpoint> agents() const;
    /// Of a processor, in thousandths, at the largest instance that the store answers; 0
    /// when none was heard.
    std::uint32_t largest_processor_share() const;
    /// States of the known ones of \p jobs. Empty until the stored jobs were read.
    std::optional<std::vector<wire::cell_job_state>>
    states(const std::vector<job_key>& jobs) const;
    /// Stops new starts and calls \p done after \p wait, in which answers to the orders
    /// that are under way still arrive and are stored.
    void hand_over(duration wait, std::function<void()> done);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
