/// \file
/// All records of a scheduler and the elementary steps that keep them consistent.
#ifndef HAWTHORNBEAM_POLICY_STATE_HPP
#define HAWTHORNBEAM_POLICY_STATE_HPP

#include "placement_index.hpp"
#include "quarantine.hpp"
#include "records.hpp"

#include "hawthornbeam/support/random_source.hpp"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <span>

namespace hawthornbeam::policy
{

/// What becomes due at a time.
enum class timer_kind : std::uint8_t
{
    start_deadline,   ///< Of a waiting task.
    back_off,         ///< Of a task whose starts failed.
    gang_assembly,    ///< Of an incomplete gang.
    hold_expiry,      ///< Of a hold.
    backfill_bound,   ///< Of a hold that let tasks start on its workers.
    preemption_stage, ///< Of a running task that is being preempted.
    quarantine_end    ///< Of a worker.
};

struct timer
{
    boot_time at;
    timer_kind kind = timer_kind::start_deadline;
    index subject = none;

    friend std::strong_ordering operator<=>(const timer&, const timer&) = default;
};

/// Counts the running tasks of a job that asked to be spread.
struct spread_record
{
    std::vector<std::uint32_t> domains;              ///< By failure domain.
    absl::flat_hash_map<index, std::uint32_t> racks; ///< By rack.
    std::uint32_t tasks = 0;
};

/// A task and the worker chosen for it.
struct assignment
{
    index task = none;
    index worker = none;
    bool backfilled = false;
    index backfilled_hold = none;
};

/// Mixes the ids of tasks: the hash of neighbouring indexes must differ in its low bits.
struct task_hash
{
    std::size_t operator()(const task_id& id) const
    {
        std::size_t mixed = std::hash<task_id>{}(id)*0x9E3779B97F4A7C15ULL;
        return mixed ^ (mixed >> 32);
    }
};

struct state
{
    explicit state(const scheduler::options& settings);

    scheduler::options settings;
    random_source random;
    pool<task_record> tasks;
    pool<gang_record> gangs;
    pool<hold_record> holds;
    pool<worker_record> workers;
    std::vector<row_record> rows;
    std::vector<index> rows_by_class; ///< Least urgent first.
    std::vector<partner_record> partners;
    std::vector<placement_index> domains;
    absl::flat_hash_map<task_id, index, task_hash> task_positions;
    absl::flat_hash_map<job_id, index, std::hash<job_id>> gang_positions; ///< Waiting.
    absl::flat_hash_map<job_id, spread_record, std::hash<job_id>> spreads;
    absl::flat_hash_map<worker_id, index, std::hash<worker_id>> worker_positions;
    absl::flat_hash_map<row_id, index, std::hash<row_id>> row_positions;
    absl::flat_hash_map<partner_id, index, std::hash<partner_id>> partner_positions;
    absl::flat_hash_map<failure_domain_id, index, std::hash<failure_domain_id>>
        domain_positions;
    absl::flat_hash_map<std::string, index> rack_positions;
    absl::btree_set<timer> timers;
    /// Holds whose workers have changed since they were last tried.
    std::vector<index> changed_holds;
    /// Holds whose workers take backfilled tasks.
    std::vector<index> backfill_holds;
    shape_set shapes;
    quarantine failures;
    resources own_capacity;
    resources own_used;
    resources cluster; ///< As reported; zero before the first report.
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::uint32_t next_hold_serial = 1;
    bool rows_removed = false;
    double plan_tokens = 0; ///< Preemption plans that may be made now.
    boot_time plan_tokens_at{};
    double amplification = 1; ///< Cluster capacity by own capacity at the last summary.
    boot_time reservation_due{}; ///< No reservation is planned earlier.
    boot_time last_now{}; ///< Of the last round or enqueue; for calls without a time.

    // Rows and capacity.
    /// Takes the usage elsewhere, just set, as that of this moment.
    void start_summary_period();
    index row_position(const row_id& id);
    /// Recounts the usage of the partners by class after a change of classes or of the
    /// usage elsewhere, and sorts the rows by class.
    void recount_partners();
    /// The capacity that shares are fractions of.
    resources total() const { return component_max(cluster, own_capacity); }
    /// The part of the cluster that this scheduler owns.
    double own_fraction() const;
    /// Estimated usage of \p row in the whole cluster. The other instances see the same
    /// summaries and decide by the same rules, so their usage is taken to have changed
    /// since the last summary in proportion to the own one. Without this, all instances
    /// would fill the same gap, and overshoot it by their number.
    resources usage(const row_record& row) const;
    double share(const row_record& row) const;
    bool under_guarantee(const row_record& row) const;
    /// Whether the limits of \p row admit \p count more tasks of \p size now.
    bool limits_admit(row_record& row, const resources& size, std::uint32_t count,
                      boot_time now) const;
    /// Whether this instance has used less than its part of the headroom that the limits
    /// of \p row left at the last summary. The last task may exceed the part, so that a
    /// limit of a few tasks is used at all.
    bool own_headroom_left(const row_record& row) const;
    /// What a task will be counted with.
    resources reserved_size(const task_record& task) const;

    // Workers.
    index add_worker(const worker_info& info);
    /// What is free for tasks without a hold.
    resources unheld(const worker_record& worker) const;
    resources free(const worker_record& worker) const;
    bool usable(const worker_record& worker) const;
    /// Updates the placement index and wakes the holds on the worker.
    void refresh(index worker);
    void charge(index worker, const resources& size);
    void discharge(index worker, const resources& size);

    // Waiting tasks. A unit is a gang or a single task, named by its leader.
    std::vector<index> members(index leader) const;
    index leader_of(index task) const;
    void queue_unit(index leader, bool at_head);
    /// Takes a unit out of the queue; its tasks stay counted as waiting.
    void unqueue_unit(index leader);
    /// Removes a waiting task for good; a complete gang becomes incomplete.
    void remove_waiting(index task, boot_time now);
    /// Frees the record of a task that is in no list.
    void drop_record(index task);
    void set_deadline_timer(index task, bool present);
    void release_hold(index leader);

    // Running tasks.
    /// Starts a waiting unit that is in its queue. The workers are charged already.
    void start_unit(index leader, std::span<const assignment> chosen, boot_time now);
    void begin_running(index task, index worker, const resources& reserved,
                       boot_time now);
    /// Takes a running task off its worker; the record stays.
    void end_running(index task);
    /// Counts the capacity of a running task as about to be released, or no longer.
    void set_releasing(index task, bool releasing);
    void count_spread(const task_record& task, bool started);
};

} // namespace hawthornbeam::policy

#endif
