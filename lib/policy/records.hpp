/// \file
/// Records of tasks, rows and workers, and the pool that stores them.
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

/// Position of a record in its pool.
using index = std::uint32_t;
inline constexpr index none = std::numeric_limits<index>::max();

/// Records at stable addresses; positions of removed ones are used again. It grows by
/// chunks because copying 160,000 records at once would delay a decision by milliseconds.
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
    /// One more than the largest position ever used.
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
    queued,     ///< In its row's queue, or a member of a gang that is.
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

/// A waiting or running task. Of a waiting gang, the record of its leader (the first
/// member) carries the fields about holds.
struct task_record
{
    task_id id;
    resources size;
    resources reserved; ///< Counted at the worker while running.
    duration run_time{};
    boot_time enqueued{};
    boot_time start_by = boot_time::max();
    boot_time started{};
    /// Waiting: end of back-off. Running: when the next preemption stage is due.
    boot_time due{};
    boot_time blocked_since = boot_time::max();
    index row = none;
    index worker = none;
    index hold = none; ///< Waiting: own hold. Running: hold that preempts this task.
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

/// Both ends of an intrusive list of tasks.
struct list_ends
{
    index head = none;
    index tail = none;
};

/// Intrusive list of tasks, so that removal costs O(1) and no memory.
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

/// Order in a row's queue, or among its running tasks by start.
using row_list = task_list<&task_record::next, &task_record::previous>;
/// Tasks that run on one worker.
using worker_list = task_list<&task_record::worker_next, &task_record::worker_previous>;

struct gang_record
{
    std::vector<index> members;
    std::uint32_t size = 0;
    index row = none;
    boot_time assembly_until{};
    bool complete = false;
};

/// One member of a gang (or a single task) and the worker kept for it.
struct hold_slot
{
    index task = none;
    index worker = none;
};

/// Capacity kept for a task or gang that could not start at once.
struct hold_record
{
    index leader = none;
    std::uint32_t serial = 0;
    resources member_size;
    std::vector<hold_slot> slots;
    boot_time expires{};
    /// Estimated start; backfilled tasks are preempted if they run longer.
    boot_time bound{};
    std::vector<std::pair<index, task_id>> backfills;
    bool preempts = false;
    bool retry_pending = false; ///< Is in the list of holds to try again.
};

struct worker_record
{
    worker_info info;
    index domain = none;
    index rack = none;
    resources used;
    resources held;      ///< Kept for holds; may exceed what is free.
    resources releasing; ///< Of running tasks that are being preempted.
    list_ends running;
    std::vector<index> holds;
    boot_time quarantined_until{};
    float succeeded = 0;
    float failed = 0;
    std::uint8_t quarantine_level = 0;
    bool on_probation = false;
    bool known = false;
    bool schedulable = true;
};

struct row_record
{
    table_row settings;
    index partner = none;
    list_ends queue;
    std::uint32_t waiting = 0;
    std::uint32_t gang_gaps = 0; ///< Members that incomplete gangs still lack.
    resources running;
    std::uint32_t tasks_running = 0;
    resources remote; ///< At the last summary.
    std::uint32_t remote_tasks = 0;
    resources running_at_summary;
    std::uint32_t tasks_at_summary = 0;
    resources releasing; ///< Of running tasks that are being preempted.
    resources claimed;   ///< Held by preempting holds of this row.
    std::uint32_t releasing_tasks = 0;
    /// Preempted tasks that may come back with a new attempt beyond the queue's bound:
    /// they were accepted once. At most as many as the bound itself.
    std::uint32_t returning = 0;
    std::uint32_t awaiting_restart = 0; ///< Tasks preempted and not started again.
    boot_time
        awaiting_restart_until{}; ///< Then they are taken for given up by their caller.
    std::array<list_ends, 2> running_lists; ///< Non-idempotent, idempotent; by start.
    drain_estimator drain;
    start_rate rate;
    learned_size learned;
    /// Preemption for this row found too few victims; it is not planned again earlier.
    boot_time no_victims_until{};
    bool in_table = false;
};

struct partner_record
{
    partner_id id;
    std::array<resources, least_urgent.value() + 1> usage; ///< By urgency class.
    /// Of its rows, with and without demand: the share of an idle row goes to the other
    /// rows of its partner first.
    std::array<double, least_urgent.value() + 1> weight{};
};

/// The largest fraction of \p total that \p used takes of any resource.
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
