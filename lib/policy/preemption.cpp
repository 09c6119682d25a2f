/// \file
/// Implements preemption.
#include "preemption.hpp"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace hawthornbeam::policy
{

namespace
{

/// Time for other tasks to end before a throttled victim loses its place.
constexpr duration throttle_time = std::chrono::milliseconds(250);
/// Time to write a checkpoint. With throttle_time and the stop it stays well under the
/// 5.1 s in which urgent work must start.
constexpr duration checkpoint_time = std::chrono::seconds(1);
constexpr duration stop_repeat_time = std::chrono::seconds(2);
/// Workers looked at for one member, and tasks looked at per row to find them.
constexpr std::size_t least_workers = 12;
constexpr std::size_t workers_per_member = 4;
constexpr std::size_t most_workers = 512;
constexpr std::size_t most_tasks = 128;

} // namespace

bool preemptor::may_preempt(const row_record& row, index position) const
{
    const task_record& task = all_.tasks[position];
    const row_record& victim = all_.rows[task.row];
    if (&victim == &row || task.stage != preemption_stage::not_preempted)
        return false;
    const bool more_urgent = row.settings.priority < victim.settings.priority;
    const bool under =
        row.settings.guaranteed > 0 &&
        dominant_share(all_.usage(row) + scaled(row.claimed, all_.amplification),
                       all_.total()) < row.settings.guaranteed;
    if (!more_urgent && !under)
        return false;
    if (victim.settings.kind == workload::service &&
        victim.releasing_tasks + victim.awaiting_restart >=
            victim.settings.disruption_limit)
        return false;
    if (victim.settings.guaranteed <= 0)
        return true;
    const resources left =
        all_.usage(victim) - scaled(victim.releasing + task.reserved, all_.amplification);
    return dominant_share(left, all_.total()) >= victim.settings.guaranteed;
}

std::vector<index> preemptor::candidate_workers(const row_record& row,
                                                std::size_t most) const
{
    std::vector<index> found;
    absl::flat_hash_set<index> seen;
    const bool under = all_.under_guarantee(row);
    for (const index position : all_.rows_by_class)
    {
        const row_record& victim = all_.rows[position];
        if (!under && victim.settings.priority <= row.settings.priority)
            break;
        for (const bool idempotent : {true, false})
        {
            index task = victim.running_lists[idempotent ? 1 : 0].tail;
            std::size_t tried = 0;
            while (task != none && found.size() < most && ++tried <= 2 * most)
            {
                const index previous = all_.tasks[task].previous;
                // One check decides for the whole row, but for tasks being preempted.
                const bool allowed = may_preempt(row, task);
                if (!allowed && all_.tasks[task].stage == preemption_stage::not_preempted)
                    break;
                const index worker = all_.tasks[task].worker;
                if (allowed && all_.usable(all_.workers[worker]) &&
                    seen.insert(worker).second)
                    found.push_back(worker);
                task = previous;
            }
        }
        if (found.size() >= most)
            break;
    }
    return found;
}

void preemptor::plan_worker(const row_record& row, index position,
                            const resources& member_size, std::size_t most, boot_time now,
                            std::vector<slot_plan>& plans) const
{
    const worker_record& worker = all_.workers[position];
    std::vector<index> victims;
    std::size_t looked_at = 0;
    // The newest tasks are the cheapest, so they are enough on a crowded worker.
    for (index task = worker.running.tail; task != none && ++looked_at <= most_tasks;
         task = all_.tasks[task].worker_previous)
    {
        if (may_preempt(row, task))
            victims.push_back(task);
    }
    std::sort(victims.begin(), victims.end(),
              [&](index a, index b)
              {
                  const task_record& first = all_.tasks[a];
                  const task_record& second = all_.tasks[b];
                  const urgency class_a = all_.rows[first.row].settings.priority;
                  const urgency class_b = all_.rows[second.row].settings.priority;
                  if (class_a != class_b)
                      return class_a > class_b;
                  if (first.idempotent != second.idempotent)
                      return first.idempotent;
                  return first.started > second.started;
              });
    resources room = all_.free(worker) - worker.held + worker.releasing;
    slot_plan plan;
    std::size_t next = 0;
    std::size_t planned = 0;
    while (planned < most)
    {
        if (member_size.fits_in(room))
        {
            plan.worker = position;
            plan.ready = now;
            plans.push_back(plan);
            // The costs go on adding up, so that a slot never sorts before an earlier
            // one of its worker, whose victims it counts on.
            plan.victims.clear();
            room -= member_size;
            ++planned;
            continue;
        }
        if (next == victims.size())
            return;
        const task_record& victim = all_.tasks[victims[next]];
        room += victim.reserved;
        plan.victims.push_back(victims[next]);
        plan.most_urgent_victim = std::min(
            plan.most_urgent_victim, all_.rows[victim.row].settings.priority.value());
        plan.non_idempotent += victim.idempotent ? 0 : 1;
        plan.lost += now - victim.started;
        ++next;
    }
}

bool preemptor::mark(const row_record& row, const slot_plan& plan)
{
    for (std::size_t i = 0; i < plan.victims.size(); ++i)
    {
        if (!may_preempt(row, plan.victims[i]))
        {
            for (std::size_t j = 0; j < i; ++j)
            {
                all_.set_releasing(plan.victims[j], false);
                all_.tasks[plan.victims[j]].stage = preemption_stage::not_preempted;
            }
            return false;
        }
        all_.set_releasing(plan.victims[i], true);
        all_.tasks[plan.victims[i]].stage = preemption_stage::throttled;
    }
    return true;
}

void preemptor::unmark(const slot_plan& plan)
{
    for (const index victim : plan.victims)
    {
        all_.set_releasing(victim, false);
        all_.tasks[victim].stage = preemption_stage::not_preempted;
    }
}

std::vector<slot_plan> preemptor::make_room(index leader, const resources& member_size,
                                            std::size_t members, boot_time now)
{
    const row_record& row = all_.rows[all_.tasks[leader].row];
    const std::size_t most =
        std::min(most_workers, std::max(least_workers, workers_per_member * members));
    std::vector<slot_plan> plans;
    for (const index worker : candidate_workers(row, most))
        plan_worker(row, worker, member_size, members, now, plans);
    if (plans.size() < members)
        return {};
    std::stable_sort(plans.begin(), plans.end(),
                     [](const slot_plan& a, const slot_plan& b)
                     {
                         if (a.most_urgent_victim != b.most_urgent_victim)
                             return a.most_urgent_victim > b.most_urgent_victim;
                         if (a.non_idempotent != b.non_idempotent)
                             return a.non_idempotent < b.non_idempotent;
                         return a.lost < b.lost;
                     });
    std::vector<slot_plan> taken;
    absl::flat_hash_set<index> skipped;
    for (const slot_plan& plan : plans)
    {
        // A later slot of a worker counts on the victims of its earlier ones.
        if (skipped.contains(plan.worker))
            continue;
        if (!mark(row, plan))
        {
            skipped.insert(plan.worker);
            continue;
        }
        taken.push_back(plan);
        if (taken.size() == members)
            break;
    }
    if (taken.size() < members)
    {
        for (const slot_plan& plan : taken)
            unmark(plan);
        return {};
    }
    return taken;
}

void preemptor::assign(const std::vector<slot_plan>& slots, index hold)
{
    for (const slot_plan& slot : slots)
    {
        for (const index victim : slot.victims)
        {
            task_record& task = all_.tasks[victim];
            task.hold = hold;
            task.hold_serial = all_.holds[hold].serial;
            task.due = slot.ready + throttle_time;
            all_.timers.insert({task.due, timer_kind::preemption_stage, victim});
            out_.push_back({task.id, all_.workers[task.worker].info.id,
                            preemption_action::throttle});
        }
    }
}

void preemptor::evict(index position, index hold, boot_time now)
{
    task_record& task = all_.tasks[position];
    if (task.stage != preemption_stage::not_preempted)
        return;
    all_.set_releasing(position, true);
    task.stage = preemption_stage::throttled;
    slot_plan plan;
    plan.ready = now;
    plan.victims.push_back(position);
    assign({plan}, hold);
}

void preemptor::advance(index position, boot_time now)
{
    task_record& task = all_.tasks[position];
    const bool needed =
        task.hold < all_.holds.end() && all_.holds[task.hold].serial == task.hold_serial;
    if (!needed && task.stage == preemption_stage::throttled)
    {
        // The room is no longer needed; the task keeps its place.
        all_.set_releasing(position, false);
        task.stage = preemption_stage::not_preempted;
        task.hold = none;
        return;
    }
    preemption_action action = preemption_action::stop;
    duration next = stop_repeat_time;
    if (task.stage == preemption_stage::throttled)
    {
        task.stage = preemption_stage::checkpointed;
        action = preemption_action::checkpoint;
        next = checkpoint_time;
    }
    else
    {
        // A non-idempotent task is never stopped: it could not be run again. Its
        // checkpoint is asked for again, because the first request may be lost.
        task.stage = preemption_stage::stopped;
        action =
            task.idempotent ? preemption_action::stop : preemption_action::checkpoint;
    }
    task.due = now + next;
    all_.timers.insert({task.due, timer_kind::preemption_stage, position});
    out_.push_back({task.id, all_.workers[task.worker].info.id, action});
}

} // namespace hawthornbeam::policy
