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

/// How to reach a worker: "IP:PORT".
using worker_address = string_id<struct worker_address_tag>;

/// What a worker binding offers beyond running tasks.
struct worker_capabilities
{
    bool owner_lease = false; ///< Grants fenced owner leases; safety rests on it.
    bool checkpoint = false;
    bool throttle = false;
};

/// State of a task on a worker.
enum class task_state : std::uint8_t
{
    running,
    finished, ///< Ended by itself with success.
    failed,   ///< Ended by itself with a failure.
    stopped,  ///< Ended by a stop request.
};

/// Result of an attempt to get or renew a worker's owner lease.
struct lease_grant
{
    generation granted; ///< Rises whenever the owner changes.
    duration length{};  ///< Counted from before the request was sent.
    /// The worker ends its tasks by itself when no owner has renewed for this long.
    duration task_lease{};
};

/// A task as it is sent to a worker.
struct task_start
{
    task_id id;
    row_id row;
    resources size;
    duration declared_run_time{};
    bool idempotent = false;
    instance_id job_owner; ///< Kept by the worker and listed at takeover.
    std::string payload;   ///< Opaque to the scheduler.
};

/// What became of one task of a start call.
struct start_outcome
{
    task_id id;
    bool accepted = false; ///< Also true when the worker already has this task id.
    std::string reason;    ///< Why it was rejected; then the task was not run.
};

/// A task as a worker reports it.
struct task_report
{
    task_id id;
    row_id row;
    resources size;
    bool idempotent = false;
    instance_id job_owner;
    task_state state = task_state::running;
    std::string output;     ///< Present once the task has ended.
    double used_cores = 0;  ///< Lagging report; may be wrong, negative or NaN.
    double used_memory = 0; ///< Bytes; lagging report; may be wrong, negative or NaN.
};

/// What a waiting event call returned.
struct worker_events
{
    std::uint64_t seen = 0; ///< Pass as `after` of the next call.
    lease_grant lease;      ///< The renewed lease.
    std::vector<task_report> tasks;
};

/// What to do with a running task.
enum class task_action
{
    stop,
    checkpoint,
    throttle
};

/// Access to all workers. Each callback runs exactly once on the loop. A start that may
/// have taken effect fails with outcome_unknown; ask task() before deciding anything.
class worker_gateway
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    virtual ~worker_gateway() = default;

    virtual worker_capabilities capabilities() const = 0;

    /// Asks for the owner lease. Fails with conflict while another owner holds it; the
    /// message then names that owner.
    virtual void acquire(const worker_address& worker, const instance_id& owner,
                         callback<lease_grant> done) = 0;
    /// Gives the lease back so that a successor need not wait.
    virtual void release(const worker_address& worker, generation held,
                         callback<bool> done) = 0;
    /// Starts tasks under the lease. Fails as a whole with conflict when \p held is not
    /// the current generation or the lease has ended; then nothing was started.
    virtual void start(const worker_address& worker, generation held,
                       std::vector<task_start> tasks,
                       callback<std::vector<start_outcome>> done) = 0;
    /// Renews the lease and waits up to \p wait for ended tasks and usage reports after
    /// sequence number \p after.
    virtual void events(const worker_address& worker, generation held,
                        std::uint64_t after, duration wait,
                        callback<worker_events> done) = 0;
    /// All running tasks and all ended ones that are not acknowledged.
    virtual void list(const worker_address& worker,
                      callback<std::vector<task_report>> done) = 0;
    /// One task by id; nullopt when the worker has never accepted it.
    virtual void task(const worker_address& worker, const task_id& id,
                      callback<std::optional<task_report>> done) = 0;
    /// Lets the worker forget the outputs of ended tasks.
    virtual void acknowledge(const worker_address& worker, generation held,
                             std::vector<task_id> tasks, callback<bool> done) = 0;
    /// Stops, checkpoints or throttles a task.
    virtual void control(const worker_address& worker, generation held, const task_id& id,
                         task_action action, callback<bool> done) = 0;
};

} // namespace hawthornbeam

#endif
