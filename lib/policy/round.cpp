/// \file
/// Implements one round of decisions.
#include "round.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam::policy
{

namespace
{

/// Units tried behind one that finds no room, so that a large task at the head of a row
/// does not idle the workers that smaller ones fit on.
constexpr std::uint32_t lookahead = 8;
/// The same for all rows together; it bounds a round in which every row has a backlog.
constexpr std::size_t round_lookahead = 256;
/// Units with a hold that are passed over in one row. Without them the row would make
/// room for a few units only at a time.
constexpr std::uint32_t most_held = 512;
/// Sizes remembered as not fitting.
constexpr std::size_t most_no_fit = 16;
/// Requests at the tail of one row that one round checks for lateness.
constexpr std::size_t late_checks = 64;
/// The estimate must exceed the remaining time by this factor before a queued request is
/// refused, because a wrong refusal cannot be taken back.
constexpr int late_margin = 2;
/// Refusals that one round makes for rows that left the table.
constexpr std::size_t removed_row_refusals = 4096;
/// A unit that became impossible waits this long, because a lost worker may come back.
constexpr duration hopeless_after = std::chrono::seconds(10);
constexpr duration assembly_retry = std::chrono::seconds(1);
/// Gangs with more members try again only after this pause: a trial of a large gang
/// costs as much as that many tasks.
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
        return fmt::format("its gang has {} tasks, more than row {} may run or start in "
                           "a second",
                           count, row.settings.id.value());
    if (all.shapes.empty())
        return "";
    if (!all.shapes.holds(size))
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
    holds_.start_ready_units(now_, most_, out_.placements);
    start_units();
    return std::move(out_);
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
                    assembly_retry);
        return;
    }
    case timer_kind::hold_expiry:
        holds_.expire(due.subject, now_);
        return;
    case timer_kind::backfill_bound:
        holds_.preempt_backfills(due.subject, now_);
        return;
    case timer_kind::preemption_stage:
        victims_.advance_stage(due.subject, now_);
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
    // The quarantine may have been lifted and the worker removed since.
    worker_record& worker = all_.workers[due.subject];
    if (!worker.known || worker.quarantined_until != due.at)
        return;
    all_.failures.release(worker);
    all_.refresh(due.subject);
}

void decision_round::refuse_unit(index task, error_code code, const std::string& reason,
                                 duration retry_after)
{
    // A copy: removal changes the member list.
    const std::vector<index> unit = all_.members(task);
    for (const index member : unit)
    {
        out_.refusals.push_back({all_.tasks[member].id, code, reason, retry_after});
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
        while (all_.rows[row].queue.head != none && refused < removed_row_refusals)
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
    for (std::size_t i = 0; i < late_checks && row.queue.tail != row.queue.head; ++i)
    {
        const index last = row.queue.tail;
        const duration wait = row.drain.wait(row.waiting - 1);
        const boot_time start_by = all_.tasks[last].start_by;
        if (start_by == boot_time::max() || now_ + wait / late_margin <= start_by)
            return;
        refuse_unit(last, error_code::deadline_exceeded,
                    fmt::format("{} tasks wait before it, about {:.1f} s, and it must "
                                "start within {:.1f} s",
                                row.waiting - 1, seconds(wait), seconds(start_by - now_)),
                    wait);
    }
}

bool decision_round::refuse_hopeless(index leader)
{
    const task_record& task = all_.tasks[leader];
    if (now_ - task.blocked_since < hopeless_after)
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
    if (!known_not_to_fit(task, largest))
    {
        placed = placer_.place(leader, now_, chosen_);
        if (!placed && count == 1 && no_fit_.size() < most_no_fit)
            no_fit_.push_back(largest);
    }
    while (!placed && holds_.release_weaker_reservation(leader, now_))
    {
        no_fit_.clear();
        placed = placer_.place(leader, now_, chosen_);
    }
    if (!placed)
    {
        block(leader);
        return false;
    }
    for (const assignment& entry : chosen_)
        out_.placements.push_back({all_.tasks[entry.task].id,
                                   all_.workers[entry.worker].info.id,
                                   all_.tasks[entry.task].reserved});
    all_.start_unit(leader, chosen_, now_);
    return true;
}

bool decision_round::known_not_to_fit(const task_record& leader,
                                      const resources& size) const
{
    // Backfilled tasks may also use held capacity.
    if (leader.run_time > duration(0) && !all_.backfill_holds.empty())
        return false;
    return std::any_of(no_fit_.begin(), no_fit_.end(),
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
    while (out_.placements.size() < most_)
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
        // Placements already made are returned first, so that a gang is decided whole.
        if (!out_.placements.empty() && out_.placements.size() + unit > most_)
            return;
        if (start_unit(leader))
            order.update();
        else if (refuse_hopeless(leader) ||
                 (all_.tasks[leader].hold != none && ++open->held <= most_held))
            continue;
        else if (++open->failures >= lookahead || lookahead_left_ == 0)
            order.close();
        else
            --lookahead_left_;
    }
}

} // namespace hawthornbeam::policy
