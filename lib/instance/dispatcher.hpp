/// \file
/// The dispatcher of a job owner: sends waiting tasks to slice owners.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_DISPATCHER_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_DISPATCHER_HPP

#include "lib/instance/fleet.hpp"
#include "lib/instance/job_state.hpp"
#include "lib/instance/load_view.hpp"

#include <deque>
#include <optional>

namespace hawthornbeam
{

/// Refers to a task of a job by its index, independent of the attempt.
struct slot_ref
{
    job_id job;
    std::uint32_t index = 0;
    /// The start request that carries a dispatched slot. It distinguishes a reply to an
    /// earlier request from a reply to the current one.
    wire::dispatch_id dispatch;

    friend bool operator==(const slot_ref&, const slot_ref&) = default;
};

/// Queues waiting tasks by row and sends them to slice owners. Only a few tasks of a row
/// are queued at each slice owner at a time; the others stay here, so that they can go to
/// whichever slice owner has free capacity first.
class dispatcher
{
public:
    /// The interface of the job owner that the dispatcher uses.
    class jobs
    {
    public:
        virtual ~jobs() = default;
        virtual job_state* find_job(const job_id& id) = 0;
        /// The epoch of a partition; nullopt while this instance may not start its tasks.
        virtual std::optional<epoch> epoch_of(partition_id partition) = 0;
        virtual std::uint64_t next_sequence(partition_id partition) = 0;
        /// Called when the slice owner refused the tasks, or was not reached; the tasks
        /// wait again. \p known is the epoch that it knows for their partition, zero when
        /// it did not reply.
        virtual void start_refused(const std::vector<slot_ref>& slots, epoch known) = 0;
        /// Called when the outcome of a start request is unknown; the slice owner may
        /// have queued the tasks.
        virtual void start_uncertain(const std::vector<slot_ref>& slots) = 0;
    };

    dispatcher(context& shared, fleet& hosts, load_view& loads, jobs& owner);

    /// Queues a slot whose phase is waiting.
    void add(const job_state& job, std::uint32_t index);
    void schedule();
    /// Records that a dispatched task of \p row left the queue of slice owner \p owner.
    void left_queue(const instance_id& owner, const row_id& row);
    /// Number of queued tasks of \p row, including those that ended since they were
    /// queued.
    std::size_t waiting(const row_id& row) const;
    /// True when a slice owner other than \p busy has free capacity for \p size.
    bool has_room_elsewhere(const resources& size, const instance_id& busy) const;
    /// Returns why the first waiting task of \p job has not been dispatched.
    std::string explain(const job_state& job) const;

private:
    struct row_queue
    {
        std::deque<slot_ref> slots;
    };
    struct batch
    {
        wire::start_request message;
        std::vector<slot_ref> slots;
    };

    void dispatch();
    bool dispatch_row(const table_row& row, row_queue& queue);
    bool dispatch_gang(job_state& job, row_queue& queue);
    std::optional<instance_id> choose(const row_id& row, const resources& size,
                                      std::uint64_t tasks);
    std::size_t& outstanding(const instance_id& owner, const row_id& row);
    void append(batch& target, job_state& job, std::uint32_t index, epoch owner_epoch,
                const instance_id& owner);
    void send(const instance_id& owner, batch ready);

    context& shared_;
    fleet& fleet_;
    load_view& loads_;
    jobs& jobs_;
    std::map<row_id, row_queue> queues_;
    std::map<std::pair<instance_id, row_id>, std::size_t> outstanding_;
    bool scheduled_ = false;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
