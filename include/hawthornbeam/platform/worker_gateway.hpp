/// \file
/// Interface to the platform's workers.
#ifndef HAWTHORNBEAM_PLATFORM_WORKER_GATEWAY_HPP
#define HAWTHORNBEAM_PLATFORM_WORKER_GATEWAY_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"
#include "hawthornbeam/support/units.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// Network address of a worker, "IP:PORT".
using worker_address = string_id<struct worker_address_tag>;

/// Optional features of the workers behind a gateway.
struct worker_capabilities
{
    bool owner_lease = false; ///< Grants fenced owner leases; safety depends on it.
    bool checkpoint = false;
    bool throttle = false;
};

/// State of a task on a worker.
enum class task_state : std::uint8_t
{
    running,
    finished, ///< Completed successfully.
    failed,   ///< Ended on its own with a failure.
    stopped,  ///< Ended by a stop request.
};

/// Result of an attempt to get or renew a worker's owner lease.
struct lease_grant
{
    generation granted; ///< Increases whenever the owner changes.
    duration length{};  ///< Measured from before the request was sent.
    /// The worker stops its tasks when no owner has renewed the lease for this long.
    duration task_lease{};
};

/// A task in a start request to a worker.
struct task_start
{
    task_id id;
    row_id row;
    resources size;
    duration declared_run_time{};
    bool idempotent = false;
    instance_id job_owner; ///< Stored by the worker and listed at takeover.
    std::string payload;   ///< Opaque to the scheduler.
};

/// Outcome of one task of a start call.
struct start_outcome
{
    task_id id;
    bool accepted = false; ///< Also true when the worker already has this task id.
    std::string reason;    ///< Reason for a rejection; a rejected task was not run.
};

/// A task as reported by a worker.
struct task_report
{
    task_id id;
    row_id row;
    resources size;
    bool idempotent = false;
    instance_id job_owner;
    task_state state = task_state::running;
    std::string output;     ///< Present once the task has ended.
    double used_cores = 0;  ///< Reported with a lag; may be wrong, negative or NaN.
    double used_memory = 0; ///< In bytes; reported with a lag; may be wrong, negative
                            ///< or NaN.
};

/// Result of worker_gateway::events().
struct worker_events
{
    std::uint64_t seen = 0; ///< Pass as `after` of the next call.
    lease_grant lease;      ///< The renewed lease.
    std::vector<task_report> tasks;
};

/// Action on a running task.
enum class task_action
{
    stop,
    checkpoint,
    throttle
};

/// Calls to all workers. Each callback runs exactly once, on the event loop. A start that
/// may have been applied fails with outcome_unknown; the caller must query task() before
/// it acts on the outcome.
class worker_gateway
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    virtual ~worker_gateway() = default;

    virtual worker_capabilities capabilities() const = 0;

    /// Requests the owner lease. Fails with conflict while another owner holds it; the
    /// error message then names that owner.
    virtual void acquire(const worker_address& worker, const instance_id& owner,
                         callback<lease_grant> done) = 0;
    /// Releases the lease, so that the next owner need not wait for it to expire.
    virtual void release(const worker_address& worker, generation lease_generation,
                         callback<bool> done) = 0;
    /// Starts tasks under the lease. Fails with conflict, without starting any task, when
    /// \p lease_generation is not the current generation or the lease has expired.
    virtual void start(const worker_address& worker, generation lease_generation,
                       std::vector<task_start> tasks,
                       callback<std::vector<start_outcome>> done) = 0;
    /// Renews the lease and waits up to \p wait for ended tasks and usage reports with
    /// sequence numbers above \p after.
    virtual void events(const worker_address& worker, generation lease_generation,
                        std::uint64_t after, duration wait,
                        callback<worker_events> done) = 0;
    /// Lists all running tasks and all ended tasks that are not acknowledged.
    virtual void list(const worker_address& worker,
                      callback<std::vector<task_report>> done) = 0;
    /// Queries one task by id; yields nullopt when the worker has not accepted it.
    virtual void task(const worker_address& worker, const task_id& id,
                      callback<std::optional<task_report>> done) = 0;
    /// Allows the worker to discard the outputs of ended tasks.
    virtual void acknowledge(const worker_address& worker, generation lease_generation,
                             std::vector<task_id> tasks, callback<bool> done) = 0;
    /// Stops, checkpoints or throttles a task.
    virtual void control(const worker_address& worker, generation lease_generation,
                         const task_id& id, task_action action, callback<bool> done) = 0;
};

} // namespace hawthornbeam

#endif
