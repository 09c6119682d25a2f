#include "round.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam::policy
{

namespace
{

/// Units of a row tried after one that cannot be placed, so that a large task at the head
/// of the queue does not leave workers idle that have capacity for smaller tasks.
constexpr std::uint32_t row_lookahead = 8;
/// The same limit for all rows together; it bounds the duration of a round in which every
/// row has a backlog.
constexpr std::size_t round_lookahead = 256;
/// Units with a hold that are skipped in one row without counting as failures. If they
/// counted, a row could hold capacity for only a few units at a time.
constexpr std::uint32_t max_skipped_holds = 512;
constexpr std::size_t max_unplaceable_sizes = 16;
/// Requests at the tail of a queue whose deadline is checked in one round.
constexpr std::size_t max_late_checks = 64;
/// A queued request is refused only when the estimated wait exceeds the remaining time by
/// this factor, because a refusal cannot be undone.
constexpr int late_refusal_margin = 2;
/// Units refused in one round because their row was removed from the table.
constexpr std::size_t max_removed_row_refusals = 4096;
/// A unit that has become impossible to place is refused after this time; a lost worker
/// may return before.
constexpr duration impossible_unit_grace = std::chrono::seconds(10);
constexpr duration gang_retry_after = std::chrono::seconds(1);
/// Gangs of at least this size are retried only after a pause, because an attempt to
/// place a gang costs as much as placing its members one by one.
constexpr std::size_t large_gang = 8;
constexpr duration large_gang_pause = std::chrono::milliseconds(50);

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

std::string describe(const resources& size)
{
    return fmt::format("{:.3f} cores, {:.2f} GiB, {} accelerators",
                       static_cast<double>(size.processors.value()) / 1000,
                       static_cast<double>(size.memory.value()) / (1 << 30),
                       size.accelerators.value());
}

std::string impossible_reason(const state& all, const row_record& row,
                              const resources& size, std::uint32_t gang_size)
{
    const std::int64_t count = std::max<std::uint32_t>(1, gang_size);
    const row_limits& limits = row.settings.limits;
    const resources sum = times(size, count);
    const auto exceeds = [](std::int64_t value, std::int64_t limit)
    { return limit > 0 && value > limit; };
    if (exceeds(sum.processors.value(), limits.running.processors.value()) ||
        exceeds(sum.memory.value(), limits.running.memory.value()) ||
        exceeds(sum.accelerators.value(), limits.running.accelerators.value()))
        return fmt::format("it needs {}, and the limit of row {} is {}", describe(sum),
                           row.settings.id.value(), describe(limits.running));
    if (exceeds(count, limits.tasks_running) || exceeds(count, limits.tasks_per_second))
        return fmt::format(
            "its gang has {} tasks, more than row {} may run or start in a second", count,
            row.settings.id.value());
    if (all.shapes.empty())
        return "";
    if (!all.shapes.fits_any(size))
        return fmt::format("it needs {}, and the largest worker has {}", describe(size),
                           describe(all.shapes.largest()));
    if (!sum.fits_in(all.total()))
        return fmt::format("its gang needs {}, and the cluster has {}", describe(sum),
                           describe(all.total()));
    const std::uint64_t fitting = all.shapes.count_fitting(size);
    if (count > 1 && all.cluster.fits_in(all.own_capacity) &&
        fitting < static_cast<std::uint64_t>(count))
        return fmt::format("its gang has {} tasks, and the workers hold {} of them",
                           count, fitting);
    return "";
}

decisions decision_round::run()
{
    run_timers();
    if (all_.rows_removed)
        refuse_removed_rows();
    for (row_record& row : all_.rows)
    {
        row.drain.advance(now_, row.waiting > 0);
        if (row.settings.kind == workload::request && row.waiting > 0)
            refuse_late_requests(row);
    }
    holds_.start_ready_units(now_, max_placements_, decisions_.placements);
    start_units();
    return std::move(decisions_);
}

void decision_round::run_timers()
{
    while (!all_.timers.empty() && all_.timers.begin()->at <= now_)
    {
        const timer due = *all_.timers.begin();
        all_.timers.erase(all_.timers.begin());
        run_timer(due);
    }
}

void decision_round::run_timer(const timer& due)
{
    switch (due.kind)
    {
    case timer_kind::start_deadline:
        refuse_unit(due.subject, error_code::deadline_exceeded,
                    "its start deadline has passed", duration(0));
        return;
    case timer_kind::back_off:
        end_back_off(due.subject);
        return;
    case timer_kind::gang_assembly:
    {
        const gang_record& gang = all_.gangs[due.subject];
        refuse_unit(gang.members.front(), error_code::unavailable,
                    fmt::format("only {} of the {} tasks of its gang have arrived",
                                gang.members.size(), gang.size),
                    gang_retry_after);
        return;
    }
    case timer_kind::hold_expiry:
        holds_.expire(due.subject, now_);
        return;
    case timer_kind::backfill_bound:
        holds_.preempt_backfills(due.subject, now_);
        return;
    case timer_kind::preemption_stage:
        preemptor_.advance_stage(due.subject, now_);
        return;
    case timer_kind::quarantine_end:
        end_quarantine(due);
        return;
    }
}

void decision_round::end_back_off(index position)
{
    task_record& task = all_.tasks[position];
    if (!all_.rows[task.row].in_table)
    {
        refuse_unit(position, error_code::not_found, "its row has left the table",
                    duration(0));
        return;
    }
    task.due = boot_time();
    all_.queue_unit(position, true);
}

void decision_round::end_quarantine(const timer& due)
{
    // Since the timer was set, the quarantine may have changed or the worker been
    // removed.
    worker_record& worker = all_.workers[due.subject];
    if (!worker.present || worker.quarantined_until != due.at)
        return;
    all_.failures.release(worker);
    all_.refresh(due.subject);
}

void decision_round::refuse_unit(index task, error_code code, const std::string& reason,
                                 duration retry_after)
{
    // A copy, because removal changes the member list.
    const std::vector<index> unit = all_.members(task);
    for (const index member : unit)
    {
        decisions_.refusals.push_back({all_.tasks[member].id, code, reason, retry_after});
        all_.remove_waiting(member, now_);
    }
}

void decision_round::refuse_removed_rows()
{
    std::size_t refused = 0;
    all_.rows_removed = false;
    for (index row = 0; row < all_.rows.size(); ++row)
    {
        if (all_.rows[row].in_table)
            continue;
        while (all_.rows[row].queue.head != none && refused < max_removed_row_refusals)
        {
            refuse_unit(all_.rows[row].queue.head, error_code::not_found,
                        "its row has left the table", duration(0));
            ++refused;
        }
        if (all_.rows[row].queue.head != none)
            all_.rows_removed = true;
    }
    for (index gang = 0; gang < all_.gangs.end(); ++gang)
    {
        const gang_record& record = all_.gangs[gang];
        if (!record.members.empty() && !all_.rows[record.row].in_table)
            refuse_unit(record.members.front(), error_code::not_found,
                        "its row has left the table", duration(0));
    }
}

void decision_round::refuse_late_requests(row_record& row)
{
    for (std::size_t i = 0; i < max_late_checks && row.queue.tail != row.queue.head; ++i)
    {
        const index last = row.queue.tail;
        const duration wait = row.drain.wait(row.waiting - 1);
        const boot_time start_by = all_.tasks[last].start_by;
        if (start_by == boot_time::max() || now_ + wait / late_refusal_margin <= start_by)
            return;
        refuse_unit(last, error_code::deadline_exceeded,
                    fmt::format("{} tasks wait before it, about {:.1f} s, and it must "
                                "start within {:.1f} s",
                                row.waiting - 1, seconds(wait), seconds(start_by - now_)),
                    wait);
    }
}

bool decision_round::refuse_if_impossible(index leader)
{
    const task_record& task = all_.tasks[leader];
    if (now_ - task.blocked_since < impossible_unit_grace)
        return false;
    const std::string reason =
        impossible_reason(all_, all_.rows[task.row], task.size, task.gang_size);
    if (reason.empty())
        return false;
    refuse_unit(leader, error_code::invalid_input, reason, duration(0));
    return true;
}

bool decision_round::start_unit(index leader)
{
    task_record& task = all_.tasks[leader];
    row_record& row = all_.rows[task.row];
    const std::uint32_t count =
        task.gang == none
            ? 1
            : static_cast<std::uint32_t>(all_.gangs[task.gang].members.size());
    if (count >= large_gang && now_ < task.due)
        return false;
    resources largest = all_.reserved_size(task);
    if (task.gang != none)
    {
        for (const index member : all_.gangs[task.gang].members)
            largest = component_max(largest, all_.reserved_size(all_.tasks[member]));
    }
    if (!all_.limits_admit(row, largest, count, now_))
        return false;
    bool placed = false;
    if (!known_unplaceable(task, largest))
    {
        placed = placer_.place(leader, now_, assignments_);
        if (!placed && count == 1 && unplaceable_sizes_.size() < max_unplaceable_sizes)
            unplaceable_sizes_.push_back(largest);
    }
    while (!placed && holds_.release_weaker_reservation(leader, now_))
    {
        unplaceable_sizes_.clear();
        placed = placer_.place(leader, now_, assignments_);
    }
    if (!placed)
    {
        block(leader);
        return false;
    }
    for (const assignment& entry : assignments_)
        decisions_.placements.push_back({all_.tasks[entry.task].id,
                                         all_.workers[entry.worker].info.id,
                                         all_.tasks[entry.task].reserved});
    all_.start_unit(leader, assignments_, now_);
    return true;
}

bool decision_round::known_unplaceable(const task_record& leader,
                                       const resources& size) const
{
    // Tasks with a declared run time may also be backfilled on held capacity.
    if (leader.run_time > duration(0) && !all_.backfill_holds.empty())
        return false;
    return std::any_of(unplaceable_sizes_.begin(), unplaceable_sizes_.end(),
                       [&](const resources& failed) { return failed.fits_in(size); });
}

void decision_round::block(index leader)
{
    task_record& task = all_.tasks[leader];
    task.blocked_since = std::min(task.blocked_since, now_);
    if (holds_.try_create_hold(leader, now_) || task.gang == none)
        return;
    if (all_.gangs[task.gang].members.size() >= large_gang)
        task.due = std::max(task.due, now_ + large_gang_pause);
}

void decision_round::start_units()
{
    row_order order(all_);
    lookahead_left_ = round_lookahead;
    while (decisions_.placements.size() < max_placements_)
    {
        open_row* open = order.next();
        if (open == nullptr)
            return;
        const index leader = open->cursor;
        if (leader == none)
        {
            order.close();
            continue;
        }
        open->cursor = all_.tasks[leader].next;
        const std::size_t unit = std::max<std::uint32_t>(1, all_.tasks[leader].gang_size);
        // A gang must be placed within one round: if it exceeds the rest of this one, the
        // placements made so far are returned first.
        if (!decisions_.placements.empty() &&
            decisions_.placements.size() + unit > max_placements_)
            return;
        if (start_unit(leader))
            order.update();
        else if (refuse_if_impossible(leader) ||
                 (all_.tasks[leader].hold != none &&
                  ++open->skipped_holds <= max_skipped_holds))
            continue;
        else if (++open->failed_units >= row_lookahead || lookahead_left_ == 0)
            order.close();
        else
            --lookahead_left_;
    }
}

} // namespace hawthornbeam::policy
