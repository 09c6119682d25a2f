/// \file
/// State of a scheduler and the basic operations that keep it consistent.
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

/// Event that a timer triggers.
enum class timer_kind : std::uint8_t
{
    start_deadline,   ///< A waiting task has missed its start deadline.
    back_off,         ///< A task whose starts failed may be queued again.
    gang_assembly,    ///< An incomplete gang has timed out.
    hold_expiry,      ///< A hold expires.
    backfill_bound,   ///< Tasks backfilled on the workers of a hold must end.
    preemption_stage, ///< The next preemption stage of a running task is due.
    quarantine_end    ///< The quarantine of a worker ends.
};

struct timer
{
    boot_time at;
    timer_kind kind = timer_kind::start_deadline;
    index subject = none; ///< Task, gang, hold or worker, depending on the kind.

    friend std::strong_ordering operator<=>(const timer&, const timer&) = default;
};

/// Running tasks of a job that is spread over failure domains and racks.
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

/// Mixes the bits of a task id, because the hashes of consecutive indexes must differ in
/// their low bits.
struct task_hash
{
    std::size_t operator()(const task_id& id) const
    {
        std::size_t mixed = std::hash<task_id>{}(id)*0x9E3779B97F4A7C15ULL;
        return mixed ^ (mixed >> 32);
    }
};

/// Records of one scheduler. The operations keep counters, lists, timers and the
/// placement index consistent; the decisions are made elsewhere.
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
    /// Waiting gangs by job.
    absl::flat_hash_map<job_id, index, std::hash<job_id>> gang_positions;
    absl::flat_hash_map<job_id, spread_record, std::hash<job_id>> spreads;
    absl::flat_hash_map<worker_id, index, std::hash<worker_id>> worker_positions;
    absl::flat_hash_map<row_id, index, std::hash<row_id>> row_positions;
    absl::flat_hash_map<partner_id, index, std::hash<partner_id>> partner_positions;
    absl::flat_hash_map<failure_domain_id, index, std::hash<failure_domain_id>>
        domain_positions;
    absl::flat_hash_map<std::string, index> rack_positions;
    absl::btree_set<timer> timers;
    /// Holds with a worker that has changed since the last attempt to start the unit.
    std::vector<index> changed_holds;
    /// Holds whose workers accept backfilled tasks.
    std::vector<index> backfill_holds;
    shape_set shapes;
    quarantine failures;
    resources own_capacity;
    resources own_used;
    resources cluster; ///< Capacity in the last summary; zero before the first one.
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::uint32_t next_hold_serial = 1;
    bool rows_removed = false; ///< Rows outside the table have waiting tasks.
    double plan_tokens = 0;    ///< Token bucket that limits the rate of preemption plans.
    boot_time plan_tokens_at{};
    double amplification = 1;    ///< Cluster capacity / own capacity at the last summary.
    boot_time reservation_due{}; ///< No reservation is planned before this time.
    /// Time of the last round or enqueue(), for calls that are passed no time.
    boot_time last_call_time{};

    // Rows and capacity.
    /// Called after the remote usage is set: records the own usage at that time, to which
    /// later estimates are relative.
    void start_summary_period();
    /// Position of row \p id, which is added when it does not exist.
    index row_position(const row_id& id);
    /// Recomputes usage and weight of the partners by urgency class, and sorts the rows
    /// by class. Called after a change of the table or of the remote usage.
    void recount_partners();
    /// Capacity of the cluster, which shares are fractions of.
    resources total() const { return component_max(cluster, own_capacity); }
    /// Fraction of the cluster capacity that belongs to the workers of this scheduler.
    double own_fraction() const;
    /// Estimated usage of \p row in the whole cluster. The other instances receive the
    /// same summaries and follow the same rules, so their usage is assumed to have
    /// changed since the last summary in proportion to the usage here. Without this, all
    /// instances would fill the same gap, and exceed it by a factor of their number.
    resources usage(const row_record& row) const;
    double share(const row_record& row) const;
    bool under_guarantee(const row_record& row) const;
    /// Whether the limits of \p row admit \p count more tasks of \p size now.
    bool limits_admit(row_record& row, const resources& size, std::uint32_t count,
                      boot_time now) const;
    /// Whether this instance has used less than its fraction of the headroom that the
    /// limits of \p row left at the last summary. The last task may exceed the fraction;
    /// otherwise a limit of a few tasks could never be used.
    bool own_headroom_left(const row_record& row) const;
    /// Capacity that is reserved when \p task starts.
    resources reserved_size(const task_record& task) const;

    // Workers.
    index add_worker(const worker_info& info);
    /// Free capacity that is not held.
    resources unheld(const worker_record& worker) const;
    resources free(const worker_record& worker) const;
    /// Whether \p worker accepts new tasks.
    bool usable(const worker_record& worker) const;
    /// Updates the placement index and lists the holds on \p worker for a new attempt.
    void refresh(index worker);
    /// Adds \p size to the usage of \p worker.
    void charge(index worker, const resources& size);
    /// Subtracts \p size from the usage of \p worker.
    void discharge(index worker, const resources& size);

    // Waiting tasks. A unit is a gang or a single task, identified by its leader.
    std::vector<index> members(index leader) const;
    index leader_of(index task) const;
    void queue_unit(index leader, bool at_head);
    /// Removes a unit from the queue; its tasks still count as waiting.
    void unqueue_unit(index leader);
    /// Removes a waiting task and its record; a complete gang becomes incomplete.
    void remove_waiting(index task, boot_time now);
    /// Erases the record of a task that is in no list.
    void erase_task(index task);
    /// Adds or removes the timer for the start deadline of \p task, if it has one.
    void set_deadline_timer(index task, bool armed);
    /// Removes the hold of a unit, if it has one.
    void release_hold(index leader);

    // Running tasks.
    /// Marks a queued unit as running on the chosen workers, which are charged already.
    void start_unit(index leader, std::span<const assignment> chosen, boot_time now);
    void begin_running(index task, index worker, const resources& reserved,
                       boot_time now);
    /// Removes a running task from its worker and frees its capacity; the record stays.
    void end_running(index task);
    /// Sets whether the capacity of a running task counts as about to be released.
    void set_releasing(index task, bool releasing);
    /// Counts the start or end of a task of a spread job.
    void count_spread(const task_record& task, bool started);
};

} // namespace hawthornbeam::policy

#endif
