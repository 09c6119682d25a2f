/// \file
/// Records of tasks, gangs, holds, workers, rows and partners, the pool that stores them,
/// and arithmetic on resources.
#ifndef HAWTHORNBEAM_POLICY_RECORDS_HPP
#define HAWTHORNBEAM_POLICY_RECORDS_HPP

#include "admission.hpp"
#include "learned_size.hpp"

#include "hawthornbeam/policy/scheduler.hpp"

#include <array>
#include <cassert>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

namespace hawthornbeam::policy
{

/// Position of a record in its pool or vector.
using index = std::uint32_t;
inline constexpr index none = std::numeric_limits<index>::max();

/// Container whose elements keep their address; positions of removed elements are reused.
/// It grows by chunks because copying 160,000 records at once would delay a decision by
/// milliseconds.
template <class T>
class pool
{
public:
    index add()
    {
        ++size_;
        if (!vacant_.empty())
        {
            const index position = vacant_.back();
            vacant_.pop_back();
            return position;
        }
        if (end_ % chunk_size == 0)
            chunks_.push_back(std::make_unique<std::array<T, chunk_size>>());
        return end_++;
    }
    void remove(index position)
    {
        (*this)[position] = T();
        vacant_.push_back(position);
        --size_;
    }
    T& operator[](index position)
    {
        assert(position < end_ && "the pool has no such record");
        return (*chunks_[position / chunk_size])[position % chunk_size];
    }
    const T& operator[](index position) const
    {
        assert(position < end_ && "the pool has no such record");
        return (*chunks_[position / chunk_size])[position % chunk_size];
    }
    /// One past the largest position ever used.
    index end() const { return end_; }
    std::size_t size() const { return size_; }

private:
    static constexpr index chunk_size = 1024;
    std::vector<std::unique_ptr<std::array<T, chunk_size>>> chunks_;
    std::vector<index> vacant_;
    index end_ = 0;
    std::size_t size_ = 0;
};

enum class task_phase : std::uint8_t
{
    vacant,
    assembling, ///< Member of a gang that is not complete yet.
    queued,     ///< In the queue of its row, itself or through the leader of its gang.
    delayed,    ///< Backs off after failed starts.
    running
};

/// How far the preemption of a running task has gone.
enum class preemption_stage : std::uint8_t
{
    not_preempted,
    throttled,
    checkpointed,
    stopped
};

/// A waiting or running task. In a waiting gang, only the record of the leader (the first
/// member) uses the fields for queue and hold.
struct task_record
{
    task_id id;
    resources size;
    resources reserved; ///< Counted as used at the worker while the task runs.
    duration run_time{};
    boot_time enqueued{};
    boot_time start_by = boot_time::max();
    boot_time started{};
    /// Waiting: end of the back-off, or of the pause before a large gang is tried again.
    /// Running: when the next preemption stage is due.
    boot_time due{};
    /// When a placement first failed; max() when none has failed.
    boot_time blocked_since = boot_time::max();
    index row = none;
    index worker = none;
    /// Waiting: hold of this unit. Running: hold for which this task is preempted.
    index hold = none;
    index gang = none;
    index gang_position = 0;
    index next = none;
    index previous = none;
    index worker_next = none;
    index worker_previous = none;
    std::uint32_t hold_serial = 0;
    std::uint32_t gang_size = 0;
    std::uint8_t hold_attempts = 0;
    std::uint8_t failed_starts = 0;
    learned_size::sample usage;
    task_phase phase = task_phase::vacant;
    preemption_stage stage = preemption_stage::not_preempted;
    bool idempotent = false;
    bool spread = false;
};

/// Head and tail of an intrusive list of tasks.
struct list_ends
{
    index head = none;
    index tail = none;
};

/// Operations of an intrusive doubly linked list of tasks: removal is O(1), and insertion
/// allocates nothing.
template <index task_record::*Next, index task_record::*Previous>
struct task_list
{
    static void push_back(pool<task_record>& tasks, list_ends& list, index task)
    {
        tasks[task].*Next = none;
        tasks[task].*Previous = list.tail;
        (list.tail == none ? list.head : tasks[list.tail].*Next) = task;
        list.tail = task;
    }
    static void push_front(pool<task_record>& tasks, list_ends& list, index task)
    {
        tasks[task].*Previous = none;
        tasks[task].*Next = list.head;
        (list.head == none ? list.tail : tasks[list.head].*Previous) = task;
        list.head = task;
    }
    static void erase(pool<task_record>& tasks, list_ends& list, index task)
    {
        const index next = tasks[task].*Next;
        const index previous = tasks[task].*Previous;
        (previous == none ? list.head : tasks[previous].*Next) = next;
        (next == none ? list.tail : tasks[next].*Previous) = previous;
    }
};

/// Queue of a row, or its running tasks in the order of their starts.
using row_list = task_list<&task_record::next, &task_record::previous>;
/// Running tasks of one worker.
using worker_list = task_list<&task_record::worker_next, &task_record::worker_previous>;

struct gang_record
{
    std::vector<index> members;
    std::uint32_t size = 0;
    index row = none;
    boot_time assembly_until{};
    bool complete = false;
};

/// A gang member or single task and the worker on which capacity is held for it.
struct hold_slot
{
    index task = none;
    index worker = none;
};

/// Capacity held on some workers for a task or gang that could not be placed.
struct hold_record
{
    index leader = none;
    std::uint32_t serial = 0;
    resources member_size;
    std::vector<hold_slot> slots;
    boot_time expires{};
    /// Estimated start; backfilled tasks that still run then are preempted.
    boot_time bound{};
    std::vector<std::pair<index, task_id>> backfills;
    bool preempts = false;
    bool retry_pending = false; ///< Listed in state::changed_holds.
};

struct worker_record
{
    worker_info info;
    index domain = none;
    index rack = none;
    resources used;
    resources held;      ///< Sum of the holds; may exceed the free capacity.
    resources releasing; ///< Usage of tasks that are being preempted.
    list_ends running;
    std::vector<index> holds;
    boot_time quarantined_until{};
    float succeeded = 0;
    float failed = 0;
    std::uint8_t quarantine_level = 0;
    bool on_probation = false;
    bool present = false; ///< False in an unused record of the pool.
    bool schedulable = true;
};

struct row_record
{
    table_row settings;
    index partner = none;
    list_ends queue;
    std::uint32_t waiting = 0;
    std::uint32_t missing_members = 0; ///< Members not yet enqueued of incomplete gangs.
    resources running;
    std::uint32_t tasks_running = 0;
    resources remote; ///< Usage at other instances in the last summary.
    std::uint32_t remote_tasks = 0;
    resources running_at_summary; ///< Own usage at the time of the last summary.
    std::uint32_t tasks_at_summary = 0;
    resources releasing; ///< Usage of tasks that are being preempted.
    resources claimed;   ///< Sum of the holds of this row that preempt other tasks.
    std::uint32_t releasing_tasks = 0;
    /// Number of preempted tasks whose next attempt is admitted even when the queue is
    /// full, because they had been accepted before. At most the limit of the queue
    /// length.
    std::uint32_t requeue_allowance = 0;
    /// Preempted service tasks that have not started again. They count towards the
    /// disruption limit.
    std::uint32_t awaiting_restart = 0;
    /// After this time the caller is assumed to have abandoned them.
    boot_time awaiting_restart_until{};
    /// Running tasks in the order of their starts: non-idempotent, idempotent.
    std::array<list_ends, 2> running_lists;
    drain_estimator drain;
    start_rate rate;
    learned_size learned;
    /// No preemption is planned for this row before this time, because the last plan
    /// found too few victims.
    boot_time no_victims_until{};
    bool in_table = false;
};

struct partner_record
{
    partner_id id;
    std::array<resources, least_urgent.value() + 1> usage; ///< By urgency class.
    /// Sum of the weights of the rows by urgency class. Rows without demand count, so
    /// that the share of an idle row goes to the other rows of its partner first.
    std::array<double, least_urgent.value() + 1> weight{};
};

/// Dominant share: the largest fraction of \p total that \p used takes of one resource.
inline double dominant_share(const resources& used, const resources& total)
{
    const auto fraction = [](std::int64_t part, std::int64_t whole)
    { return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole); };
    return std::max({fraction(used.processors.value(), total.processors.value()),
                     fraction(used.memory.value(), total.memory.value()),
                     fraction(used.accelerators.value(), total.accelerators.value())});
}

inline resources times(const resources& size, std::int64_t count)
{
    return {millicores(size.processors.value() * count),
            byte_count(size.memory.value() * count),
            accelerator_count(size.accelerators.value() * count)};
}

inline resources scaled(const resources& size, double factor)
{
    const auto scale = [factor](std::int64_t amount)
    { return static_cast<std::int64_t>(static_cast<double>(amount) * factor); };
    return {millicores(scale(size.processors.value())),
            byte_count(scale(size.memory.value())),
            accelerator_count(scale(size.accelerators.value()))};
}

inline resources component_min(const resources& a, const resources& b)
{
    return {std::min(a.processors, b.processors), std::min(a.memory, b.memory),
            std::min(a.accelerators, b.accelerators)};
}

} // namespace hawthornbeam::policy

#endif
