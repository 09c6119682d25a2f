/// \file
/// The owner lease of one worker and the calls made under it.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_WORKER_SESSION_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_WORKER_SESSION_HPP

#include "lib/instance/context.hpp"

#include <set>

namespace hawthornbeam
{

/// Acquires the owner lease of a worker, reads the tasks of the worker, renews the lease
/// by long-polling for events, and starts tasks under it. After a failed start call,
/// whose outcome may be unknown, it acquires a new generation, which fences that call,
/// and reads the tasks again.
class worker_session
{
public:
    /// Receives task reports and changes of the lease.
    class observer
    {
    public:
        virtual ~observer() = default;
        /// Called when the lease is held; \p tasks lists all tasks that the worker runs
        /// and all outcomes that it keeps.
        virtual void on_reconciled(worker_session& session,
                                   std::vector<task_report> tasks) = 0;
        /// Called with the reports of ended tasks and of resource usage.
        virtual void on_reports(worker_session& session,
                                std::vector<task_report> tasks) = 0;
        /// Called when the lease has been lost, or a start call has failed.
        virtual void on_lost(worker_session& session) = 0;
    };

    worker_session(context& shared, host_entry host, observer& watcher);
    ~worker_session();

    void open();
    /// Refuses further starts, waits for the start calls in flight, releases the lease
    /// and then calls \p done.
    void close(std::function<void()> done);

    const host_entry& host() const;
    void set_leaving(bool leaving);
    /// True when the lease is held and has not expired by CLOCK_BOOTTIME. Call
    /// immediately before each start.
    bool may_start() const;
    /// True once the tasks of the worker have been read under the current lease.
    bool is_reconciled() const;
    /// The time by which the worker has ended its tasks if it was unreachable since the
    /// last renewal: their task leases have expired by then.
    boot_time tasks_end_by() const;

    /// Starts \p tasks. \p done receives the outcomes that are known, with the reason of
    /// each rejection; the next on_reconciled() resolves the others.
    void start(std::vector<task_start> tasks,
               std::function<void(std::vector<start_outcome>)> done);
    void control(const task_id& task, task_action action);
    void acknowledge(std::vector<task_id> tasks);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
