/// \file
/// The owner lease of one worker and the calls made under it.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_WORKER_SESSION_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_WORKER_SESSION_HPP

#include "lib/instance/context.hpp"

#include <set>

namespace hawthornbeam
{

/// Acquires a worker's owner lease, reads what the worker runs, keeps the lease by
/// waiting event calls, and starts tasks under it. After a start with an unknown outcome
/// it acquires a new generation, which fences the old call, and reads the worker again.
class worker_session
{
public:
    /// Receives what the session learns.
    class observer
    {
    public:
        virtual ~observer() = default;
        /// The lease is held and \p tasks is everything the worker runs or keeps.
        virtual void on_reconciled(worker_session& session,
                                   std::vector<task_report> tasks) = 0;
        /// Ended tasks and usage reports.
        virtual void on_reports(worker_session& session,
                                std::vector<task_report> tasks) = 0;
        /// The lease is not held any more, or the worker does not answer.
        virtual void on_lost(worker_session& session) = 0;
    };

    worker_session(context& shared, host_entry host, observer& watcher);
    ~worker_session();

    void open();
    /// Starts nothing more, waits for start calls in flight, gives the lease back.
    void close(std::function<void()> done);

    const host_entry& host() const;
    void set_leaving(bool leaving);
    /// True when the lease is held and its deadline, read now on CLOCK_BOOTTIME, has not
    /// passed. Call right before each start.
    bool may_start() const;
    /// True once the worker's tasks were read under the present lease.
    bool is_reconciled() const;
    /// When the worker, out of reach since the last renewal, has certainly ended its
    /// tasks, because their task leases have run out.
    boot_time tasks_end_by() const;

    /// Sends tasks. \p done gets the ids known to be rejected, with the reason; ids with
    /// an unknown outcome are settled by the next on_reconciled().
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
