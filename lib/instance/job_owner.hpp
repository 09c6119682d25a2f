/// \file
/// The job owner role, which accepts the jobs of the owned partitions, dispatches their
/// tasks to slice owners and records the results.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_JOB_OWNER_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_JOB_OWNER_HPP

#include "lib/instance/dispatcher.hpp"
#include "lib/instance/partition_set.hpp"
#include "lib/instance/retry_budget.hpp"

#include <unordered_map>
#include <unordered_set>

namespace hawthornbeam
{

/// The job owner role of an instance.
class job_owner final : private partition_set::observer, private dispatcher::jobs
{
public:
    using submit_callback = std::function<void(result<wire::job_status>)>;
    using update_callback = std::function<void(wire::update_reply)>;

    job_owner(context& shared, fleet& hosts, load_view& loads);
    ~job_owner() override;

    /// Handles a change of the member list: claims or releases partitions. If an instance
    /// was lost, its tasks become orphaned and the inventories are repeated.
    void members_changed();
    /// Confirms all partition claims again; no task is started before that.
    void confirm_claims() { partitions_.confirm_all(); }
    void schedule_dispatch() { dispatcher_.schedule(); }
    /// Releases all partitions and claims those that are still assigned to this instance.
    void reclaim_all() { partitions_.reclaim_all(); }
    void leave(std::function<void()> done);

    /// Accepts a job, or attaches to the known job with the same id. \p done runs once:
    /// for a synchronous job with its final status, for a queued job once it is durable.
    /// An error means that this instance did not accept the job and will not run it.
    void submit(const wire::job_spec& spec, submit_callback done);
    /// Returns the status of a job; fails with unavailable while this instance does not
    /// own the partition.
    result<wire::job_status> query(const job_id& id) const;
    std::vector<wire::job_status> list(const wire::job_list_request& selector) const;
    wire::cancel_reply cancel(const wire::cancel_request& selector);
    /// Applies task updates. \p done runs once the updates of durable jobs are journaled.
    void update(const instance_id& from, const wire::update_request& message,
                update_callback done);

    std::vector<partition_id> partitions() const { return partitions_.owned(); }
    /// Returns the first task of a job that waits at a slice owner, and that owner.
    std::optional<std::pair<instance_id, task_id>>
    waiting_at_slice_owner(const job_id& id) const;
    /// Explains why tasks of a job wait in the queue of this instance; empty when none
    /// does.
    std::string explain(const job_id& id) const;
    /// Number of synchronous jobs with a waiting caller.
    std::size_t open_requests() const;
    std::size_t live_jobs() const { return jobs_.size(); }

private:
    struct recording;

    // partition_set::observer
    void on_claimed(partition_id partition,
                    const std::vector<journaled_job>& jobs) override;
    void on_inventory_begun(partition_id partition) override;
    void on_inventory(partition_id partition, const instance_id& from,
                      const wire::inventory_reply& reply) override;
    void on_inventory_complete(partition_id partition) override;
    void on_lost(partition_id partition) override;
    void on_confirmed(partition_id partition) override;

    // dispatcher::jobs
    job_state* find_job(const job_id& id) override;
    std::optional<epoch> epoch_of(partition_id partition) override;
    std::uint64_t next_sequence(partition_id partition) override;
    void start_refused(const std::vector<slot_ref>& slots, epoch known) override;
    void start_uncertain(const std::vector<slot_ref>& slots) override;

    std::optional<error> admission_fault(const wire::job_spec& spec) const;
    void set_recovered_spec(job_state& job, const wire::job_spec& spec);
    void accept(const wire::job_spec& spec, submit_callback done);
    void journal_acceptance(const job_id& id, submit_callback done);
    wire::job_status journal_failure_status(const job_id& id, const error& cause);
    void queue_all(job_state& job);
    void requeue(job_state& job, std::uint32_t index);
    void back_off(job_state& job, std::uint32_t index, duration delay);
    void record_left_queue(job_state& job, task_slot& slot);

    job_state& add_recovered_job(const task_id& task, const row_id& row);
    void apply(job_state& job, const wire::task_update& update, const instance_id& from);
    void apply_placed(job_state& job, std::uint32_t index, const instance_id& from,
                      const worker_id& worker);
    void apply_ended(job_state& job, const wire::task_update& update);
    void apply_not_run(job_state& job, const wire::task_update& update);
    void end_task(job_state& job, std::uint32_t index, task_state state, bool known,
                  std::string output);
    void end_or_retry_lost(job_state& job, std::uint32_t index);
    void refuse_job(job_state& job, const wire::task_update& update);
    void finish_if_ended(job_state& job);
    void finish(job_state& job, wire::job_verdict verdict);
    void answer_waiters(job_state& job);
    void count_outcomes(const job_state& job);
    void append_ended(const job_state& job);
    void append_progress(job_state& job, std::vector<std::uint32_t> indexes,
                         std::function<void(bool)> done);

    std::uint32_t cancel_job(job_state& job);
    void recall_stuck_tasks();
    void send_stop(const instance_id& owner, std::vector<task_id> ids, bool stop_running);
    void handle_stop_reply(const instance_id& owner, const result<wire::reply>& answer);
    void evict_ended_jobs();
    void write_unrecorded_results();
    void refuse_jobs_past_deadline();
    void mark_orphans();
    void orphan(job_state& job, task_slot& slot);
    /// Decides the state of a task that a complete inventory did not report.
    void resolve_missing_task(job_state& job, std::uint32_t index);
    void audit_one_partition();
    job_state* find_current_attempt(const task_id& task);

    context& shared_;
    fleet& fleet_;
    partition_set partitions_;
    dispatcher dispatcher_;
    retry_budget retries_;
    std::unordered_map<job_id, job_state> jobs_;
    /// Ended jobs, in the order in which they ended.
    std::deque<job_id> ended_jobs_;
    /// An inventory in progress: its start time and the tasks reported so far.
    struct inventory_round
    {
        boot_time begun{};
        std::unordered_set<task_id> reported;
    };
    std::map<partition_id, inventory_round> rounds_;
    partition_id last_audited_;
    /// Synchronous jobs, by the time after which a task that is not dispatched is
    /// refused.
    std::multimap<boot_time, job_id> start_deadlines_;
    /// Members and their incarnations as of the last change of the member list.
    std::map<instance_id, incarnation> known_members_;
    std::map<std::uint64_t, timer_handle> back_offs_;
    std::uint64_t next_back_off_ = 0;
    timer_handle housekeeping_;
    timer_handle audit_;
    timer_handle deadline_check_;
};

} // namespace hawthornbeam

#endif
