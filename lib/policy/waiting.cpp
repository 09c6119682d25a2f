/// \file
/// State operations on waiting tasks: queues, gangs and holds.
#include "state.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam::policy
{

namespace
{

/// A gang whose members are not all enqueued within this time is refused.
constexpr duration gang_assembly_timeout = std::chrono::seconds(30);

} // namespace

std::vector<index> state::members(index leader) const
{
    const index gang = tasks[leader].gang;
    return gang == none ? std::vector<index>{leader} : gangs[gang].members;
}

index state::leader_of(index task) const
{
    const index gang = tasks[task].gang;
    return gang == none ? task : gangs[gang].members.front();
}

void state::queue_unit(index leader, bool at_head)
{
    row_record& row = rows[tasks[leader].row];
    if (at_head)
        row_list::push_front(tasks, row.queue, leader);
    else
        row_list::push_back(tasks, row.queue, leader);
    for (const index member : members(leader))
        tasks[member].phase = task_phase::queued;
}

void state::unqueue_unit(index leader)
{
    row_list::erase(tasks, rows[tasks[leader].row].queue, leader);
}

void state::set_deadline_timer(index position, bool armed)
{
    const task_record& task = tasks[position];
    if (task.start_by == boot_time::max())
        return;
    // A start exactly at the deadline is still in time.
    const timer entry{task.start_by + duration(1), timer_kind::start_deadline, position};
    if (armed)
        timers.insert(entry);
    else
        timers.erase(entry);
}

void state::release_hold(index leader)
{
    const index position = tasks[leader].hold;
    if (position == none)
        return;
    tasks[leader].hold = none;
    // Moved out and removed first, because refresh() accesses the holds of the worker.
    const hold_record hold = std::move(holds[position]);
    timers.erase({hold.expires, timer_kind::hold_expiry, position});
    timers.erase({hold.bound, timer_kind::backfill_bound, position});
    std::erase(changed_holds, position);
    std::erase(backfill_holds, position);
    holds.remove(position);
    if (hold.preempts)
        rows[tasks[leader].row].claimed -=
            times(hold.member_size, static_cast<std::int64_t>(hold.slots.size()));
    for (const hold_slot& slot : hold.slots)
    {
        worker_record& worker = workers[slot.worker];
        worker.held -= hold.member_size;
        const std::vector<index>::iterator entry =
            std::find(worker.holds.begin(), worker.holds.end(), position);
        if (entry != worker.holds.end())
            worker.holds.erase(entry);
        refresh(slot.worker);
    }
}

void state::erase_task(index position)
{
    task_positions.erase(tasks[position].id);
    tasks.remove(position);
}

void state::remove_waiting(index position, boot_time now)
{
    task_record& task = tasks[position];
    row_record& row = rows[task.row];
    row.drain.advance(now, row.waiting > 0);
    const index leader = leader_of(position);
    release_hold(leader);
    set_deadline_timer(position, false);
    if (task.phase == task_phase::delayed)
        timers.erase({task.due, timer_kind::back_off, position});
    --row.waiting;
    --waiting;
    if (task.gang == none)
    {
        if (task.phase == task_phase::queued)
            unqueue_unit(position);
        erase_task(position);
        return;
    }
    const index gang_position = task.gang;
    gang_record& gang = gangs[gang_position];
    if (gang.complete)
    {
        unqueue_unit(leader);
        gang.complete = false;
        gang.assembly_until = now + gang_assembly_timeout;
        timers.insert({gang.assembly_until, timer_kind::gang_assembly, gang_position});
        for (const index member : gang.members)
            tasks[member].phase = task_phase::assembling;
    }
    gang.members[task.gang_position] = gang.members.back();
    tasks[gang.members[task.gang_position]].gang_position = task.gang_position;
    gang.members.pop_back();
    ++row.missing_members;
    const job_id job = task.id.job;
    erase_task(position);
    if (!gang.members.empty())
        return;
    row.missing_members -= gang.size;
    timers.erase({gang.assembly_until, timer_kind::gang_assembly, gang_position});
    gang_positions.erase(job);
    gangs.remove(gang_position);
}

} // namespace hawthornbeam::policy
