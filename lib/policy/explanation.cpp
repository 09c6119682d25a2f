/// \file
/// Explanations of why a task waits.
#include "round.hpp"

#include <fmt/format.h>

namespace hawthornbeam::policy
{

namespace
{

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::string explain_hold(const state& all, const hold_record& hold, boot_time now)
{
    std::size_t ready = 0;
    for (const hold_slot& slot : hold.slots)
        ready += hold.member_size.fits_in(all.free(all.workers[slot.worker])) ? 1 : 0;
    return fmt::format("capacity is held for it for {:.1f} s more; {} of {} workers have "
                       "enough room now{}",
                       seconds(hold.expires - now), ready, hold.slots.size(),
                       hold.preempts ? ", and less urgent tasks are being preempted"
                                     : "");
}

std::string explain_limit(const row_record& row)
{
    return fmt::format(
        "row {} is at its limit: {} and {} tasks run, {} started a second are allowed",
        row.settings.id.value(), describe(row.running + row.remote),
        row.tasks_running + row.remote_tasks,
        row.settings.limits.tasks_per_second == 0
            ? std::string("any number")
            : fmt::to_string(row.settings.limits.tasks_per_second));
}

} // namespace

std::string explain_waiting(const state& all, index position, boot_time now)
{
    const task_record& task = all.tasks[position];
    // A copy, because limits_admit() refills the token bucket of the row.
    row_record row = all.rows[task.row];
    if (task.phase == task_phase::running)
        return "";
    if (!row.in_table)
        return fmt::format("row {} has left the table; the task will be refused",
                           row.settings.id.value());
    if (task.phase == task_phase::delayed)
        return fmt::format("{} workers rejected it; it is tried again in {:.2f} s",
                           task.failed_starts, seconds(task.due - now));
    if (task.phase == task_phase::assembling)
        return fmt::format("{} of the {} tasks of its gang have arrived",
                           all.gangs[task.gang].members.size(),
                           all.gangs[task.gang].size);
    if (all.workers.size() == 0)
        return "no worker is known yet";
    const index leader = all.leader_of(position);
    if (all.tasks[leader].hold != none)
        return explain_hold(all, all.holds[all.tasks[leader].hold], now);
    const std::uint32_t count = static_cast<std::uint32_t>(all.members(leader).size());
    const resources reserved = all.reserved_size(task);
    if (!all.limits_admit(row, reserved, count, now))
        return explain_limit(row);
    return fmt::format(
        "no worker has {} free for it{}; {} are free in all on {} workers, {} tasks wait "
        "in row {}, which has {:.1f}% of the cluster",
        describe(reserved),
        count > 1 ? fmt::format(" and the other tasks of its gang") : "",
        describe(all.own_capacity - all.own_used), all.workers.size(), row.waiting,
        row.settings.id.value(), 100 * all.share(row));
}

} // namespace hawthornbeam::policy
