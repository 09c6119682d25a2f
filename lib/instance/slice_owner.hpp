/// \file
/// The slice owner: places tasks on the workers of its slices, starts them there and
/// reports their outcomes to the job owners.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_SLICE_OWNER_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_SLICE_OWNER_HPP

#include "hawthornbeam/policy/scheduler.hpp"
#include "lib/instance/fleet.hpp"
#include "lib/instance/update_sender.hpp"
#include "lib/instance/worker_session.hpp"

#include <array>
#include <unordered_map>

namespace hawthornbeam
{

/// The slice owner role of an instance: holds the owner leases of the workers assigned to
/// this instance and schedules tasks on them.
class slice_owner final : private worker_session::observer
{
public:
    slice_owner(context& shared, fleet& hosts, update_sender::route find_job_owner);
    ~slice_owner() override;

    /// Acquires and releases workers so that they match the fleet's assignment.
    void follow_assignment();
    /// Requests the partition fences of members that joined or restarted.
    void members_changed();
    void set_table(const operators_table& table);
    void set_remote_usage(const std::vector<policy::row_usage>& usage);
    /// Pauses or resumes task starts. Starts are paused while the instance is isolated.
    void set_paused(bool paused);
    /// Releases all workers, returns waiting tasks to their job owners and then calls
    /// \p done.
    void leave(std::function<void()> done);

    wire::start_reply start(const wire::start_request& message);

    wire::stop_reply stop(const wire::stop_request& message);
    wire::inventory_reply inventory(const wire::inventory_request& message);
    wire::epochs_reply epochs() const;
    /// Merges \p fence into the known fence of its partition; a fence is never lowered.
    void learn_fence(const wire::partition_fence& fence);

    /// Fills in slices, capacity, row usage and, on request, the workers.
    void describe(wire::status_reply& status, bool with_workers) const;
    /// Drains or resumes \p worker. Returns false when this instance does not own it.
    bool drain(const worker_id& worker, bool drained);
    /// Returns why \p task waits in the local queue; empty when it is not queued.
    std::string explain(const task_id& task) const;
    std::size_t open_work() const;

private:
    enum class task_phase : std::uint8_t
    {
        waiting,
        starting,
        running,
        ended,
        /// Its worker left the host list; the task may still run there until the task
        /// lease of the worker expires.
        lost
    };
    struct tracked_task
    {
        task_start start; ///< The payload is cleared once the task runs.
        wire::dispatch_id dispatch;
        worker_id worker;
        boot_time enqueued{};
        task_phase phase = task_phase::waiting;
        bool stop_requested = false;
        task_state state = task_state::running;
        std::string output; ///< Kept until the outcome is acknowledged to the worker.
    };

    void on_reconciled(worker_session& session, std::vector<task_report> tasks) override;
    void on_reports(worker_session& session, std::vector<task_report> tasks) override;
    void on_lost(worker_session& session) override;

    void open_session(const host_entry& host);
    void drop_session(const worker_id& worker, bool worker_has_left);
    void describe_workers(wire::status_reply& status) const;
    void resolve_unconfirmed_starts(const worker_id& worker, bool worker_has_left,
                                    boot_time ended_by);
    void schedule_lost_report(tracked_task& task, boot_time ended_by);
    void finish_leaving();
    void handle_missing_task(const task_id& id);
    void schedule_acknowledgements();
    void acknowledge_recorded();
    void update_schedulable(const worker_session& session);
    void adopt(const worker_session& session, const task_report& report);
    void record_task_end(const worker_id& worker, const task_report& report);
    void send_update(const tracked_task& task, wire::task_event event, task_state state,
                     std::string output);
    static wire::task_update inventory_entry(const task_id& id, const tracked_task& task);
    void refuse(const policy::refusal& refused);
    void return_waiting_tasks(const char* reason);
    void schedule_decision();
    void decide();
    void start_on(const worker_id& worker, std::vector<task_id> ids);
    void handle_start_outcomes(const worker_id& worker,
                               const std::vector<start_outcome>& outcomes);
    void apply_preemption(const policy::preemption& preempted);
    void handle_update_recorded(const wire::task_update& update);
    /// Schedules a request for the fences of all other members. Start requests are
    /// refused until they have replied or their calls have failed.
    void schedule_fence_collection();
    void collect_fences();
    void request_fences(const member& other);
    bool owns_workers() const;
    bool has_current_fences() const
    {
        return !fence_collection_scheduled_ && pending_fence_replies_ == 0;
    }

    context& shared_;
    fleet& fleet_;
    policy::scheduler scheduler_;
    update_sender updates_;
    std::map<worker_id, std::unique_ptr<worker_session>> sessions_;
    std::map<worker_id, bool> drained_;
    std::unordered_map<task_id, tracked_task> tasks_;
    std::map<partition_id, wire::partition_fence> fences_;
    /// Members whose fences were requested, with the incarnation at that time.
    std::map<instance_id, incarnation> fence_source_incarnations_;
    std::size_t pending_fence_replies_ = 0;
    std::uint64_t fence_round_ = 0;
    bool fence_collection_scheduled_ = false;
    bool paused_ = false;
    bool leaving_ = false;
    bool decision_scheduled_ = false;
    std::size_t closing_sessions_ = 0;
    std::function<void()> leave_callback_;
    bool acknowledge_scheduled_ = false;
    /// Outcomes recorded by their job owners, by the time at which they are acknowledged
    /// to the worker.
    std::multimap<boot_time, task_id> pending_acknowledgements_;
    std::map<std::uint64_t, timer_handle> lost_timers_;
    std::uint64_t next_lost_timer_ = 0;
    timer_handle fence_timer_;
    timer_handle decision_timer_;
    timer_handle period_timer_;
    timer_handle acknowledge_timer_;
};

} // namespace hawthornbeam

#endif
