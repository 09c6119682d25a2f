/// \file
/// Selection of victims and their preemption stages.
#include "preemption.hpp"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace hawthornbeam::policy
{

namespace
{

/// Time that a victim stays throttled before its checkpoint is requested. If the hold is
/// released in this time, for example because other tasks ended, the victim resumes.
constexpr duration throttle_time = std::chrono::milliseconds(250);
/// Time to write a checkpoint. The sum of throttle_time, checkpoint_time and the stop is
/// well below the 5.1 s within which urgent work must start.
constexpr duration checkpoint_time = std::chrono::seconds(1);
constexpr duration stop_retry_interval = std::chrono::seconds(2);
/// Limits on the candidate workers of one plan, and on the tasks examined on one worker.
constexpr std::size_t min_candidate_workers = 12;
constexpr std::size_t candidate_workers_per_member = 4;
constexpr std::size_t max_candidate_workers = 512;
constexpr std::size_t max_tasks_per_worker = 128;

} // namespace

bool preemptor::may_preempt(const row_record& row, index position) const
{
    const task_record& task = state_.tasks[position];
    const row_record& victim = state_.rows[task.row];
    if (&victim == &row || task.stage != preemption_stage::not_preempted)
        return false;
    const bool more_urgent = row.settings.priority < victim.settings.priority;
    const bool below_guarantee =
        row.settings.guaranteed > 0 &&
        dominant_share(state_.usage(row) + scaled(row.claimed, state_.amplification),
                       state_.total()) < row.settings.guaranteed;
    if (!more_urgent && !below_guarantee)
        return false;
    if (victim.settings.kind == workload::service &&
        victim.releasing_tasks + victim.awaiting_restart >=
            victim.settings.disruption_limit)
        return false;
    if (victim.settings.guaranteed <= 0)
        return true;
    const resources remaining =
        state_.usage(victim) -
        scaled(victim.releasing + task.reserved, state_.amplification);
    return dominant_share(remaining, state_.total()) >= victim.settings.guaranteed;
}

std::vector<index> preemptor::candidate_workers(const row_record& row,
                                                std::size_t max_workers) const
{
    std::vector<index> workers;
    absl::flat_hash_set<index> visited;
    const bool below_guarantee = state_.under_guarantee(row);
    for (const index position : state_.rows_by_class)
    {
        const row_record& victim = state_.rows[position];
        if (!below_guarantee && victim.settings.priority <= row.settings.priority)
            break;
        for (const bool idempotent : {true, false})
        {
            index task = victim.running_lists[idempotent ? 1 : 0].tail;
            std::size_t examined = 0;
            while (task != none && workers.size() < max_workers &&
                   ++examined <= 2 * max_workers)
            {
                const index previous = state_.tasks[task].previous;
                // Apart from the stage and size of the task, may_preempt() depends only
                // on the row, so one refusal at the stage not_preempted ends the search.
                const bool allowed = may_preempt(row, task);
                if (!allowed &&
                    state_.tasks[task].stage == preemption_stage::not_preempted)
                    break;
                const index worker = state_.tasks[task].worker;
                if (allowed && state_.usable(state_.workers[worker]) &&
                    visited.insert(worker).second)
                    workers.push_back(worker);
                task = previous;
            }
        }
        if (workers.size() >= max_workers)
            break;
    }
    return workers;
}

void preemptor::plan_worker(const row_record& row, index position,
                            const resources& member_size, std::size_t max_slots,
                            boot_time now, std::vector<slot_plan>& plans) const
{
    const worker_record& worker = state_.workers[position];
    std::vector<index> victims;
    std::size_t examined = 0;
    // The newest tasks lose the least run time, so on a worker with many tasks it is
    // enough to examine these.
    for (index task = worker.running.tail;
         task != none && ++examined <= max_tasks_per_worker;
         task = state_.tasks[task].worker_previous)
    {
        if (may_preempt(row, task))
            victims.push_back(task);
    }
    std::sort(victims.begin(), victims.end(),
              [&](index a, index b)
              {
                  const task_record& first = state_.tasks[a];
                  const task_record& second = state_.tasks[b];
                  const urgency class_a = state_.rows[first.row].settings.priority;
                  const urgency class_b = state_.rows[second.row].settings.priority;
                  if (class_a != class_b)
                      return class_a > class_b;
                  if (first.idempotent != second.idempotent)
                      return first.idempotent;
                  return first.started > second.started;
              });
    resources available = state_.free(worker) - worker.held + worker.releasing;
    slot_plan plan;
    std::size_t next = 0;
    std::size_t planned = 0;
    while (planned < max_slots)
    {
        if (member_size.fits_in(available))
        {
            plan.worker = position;
            plan.ready = now;
            plans.push_back(plan);
            // The costs accumulate over the slots of a worker, because each slot needs
            // the victims of the earlier ones and must not sort before them.
            plan.victims.clear();
            available -= member_size;
            ++planned;
            continue;
        }
        if (next == victims.size())
            return;
        const task_record& victim = state_.tasks[victims[next]];
        available += victim.reserved;
        plan.victims.push_back(victims[next]);
        plan.most_urgent_victim = std::min(
            plan.most_urgent_victim, state_.rows[victim.row].settings.priority.value());
        plan.non_idempotent += victim.idempotent ? 0 : 1;
        plan.lost_run_time += now - victim.started;
        ++next;
    }
}

bool preemptor::mark_releasing(const row_record& row, const slot_plan& plan)
{
    for (std::size_t i = 0; i < plan.victims.size(); ++i)
    {
        if (!may_preempt(row, plan.victims[i]))
        {
            for (std::size_t j = 0; j < i; ++j)
            {
                state_.set_releasing(plan.victims[j], false);
                state_.tasks[plan.victims[j]].stage = preemption_stage::not_preempted;
            }
            return false;
        }
        state_.set_releasing(plan.victims[i], true);
        state_.tasks[plan.victims[i]].stage = preemption_stage::throttled;
    }
    return true;
}

void preemptor::unmark_releasing(const slot_plan& plan)
{
    for (const index victim : plan.victims)
    {
        state_.set_releasing(victim, false);
        state_.tasks[victim].stage = preemption_stage::not_preempted;
    }
}

std::vector<slot_plan> preemptor::select_victims(index leader,
                                                 const resources& member_size,
                                                 std::size_t members, boot_time now)
{
    const row_record& row = state_.rows[state_.tasks[leader].row];
    const std::size_t max_workers =
        std::min(max_candidate_workers,
                 std::max(min_candidate_workers, candidate_workers_per_member * members));
    std::vector<slot_plan> plans;
    for (const index worker : candidate_workers(row, max_workers))
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
                         return a.lost_run_time < b.lost_run_time;
                     });
    std::vector<slot_plan> chosen;
    absl::flat_hash_set<index> skipped;
    for (const slot_plan& plan : plans)
    {
        // A later slot of a worker needs the victims of its earlier slots.
        if (skipped.contains(plan.worker))
            continue;
        if (!mark_releasing(row, plan))
        {
            skipped.insert(plan.worker);
            continue;
        }
        chosen.push_back(plan);
        if (chosen.size() == members)
            break;
    }
    if (chosen.size() < members)
    {
        for (const slot_plan& plan : chosen)
            unmark_releasing(plan);
        return {};
    }
    return chosen;
}

void preemptor::start_preemption(const std::vector<slot_plan>& slots, index hold)
{
    for (const slot_plan& slot : slots)
    {
        for (const index victim : slot.victims)
        {
            task_record& task = state_.tasks[victim];
            task.hold = hold;
            task.hold_serial = state_.holds[hold].serial;
            task.due = slot.ready + throttle_time;
            state_.timers.insert({task.due, timer_kind::preemption_stage, victim});
            preemptions_.push_back({task.id, state_.workers[task.worker].info.id,
                                    preemption_action::throttle});
        }
    }
}

void preemptor::preempt_task(index position, index hold, boot_time now)
{
    task_record& task = state_.tasks[position];
    if (task.stage != preemption_stage::not_preempted)
        return;
    state_.set_releasing(position, true);
    task.stage = preemption_stage::throttled;
    slot_plan plan;
    plan.ready = now;
    plan.victims.push_back(position);
    start_preemption({plan}, hold);
}

void preemptor::advance_stage(index position, boot_time now)
{
    task_record& task = state_.tasks[position];
    const bool needed = task.hold < state_.holds.end() &&
                        state_.holds[task.hold].serial == task.hold_serial;
    if (!needed && task.stage == preemption_stage::throttled)
    {
        // The hold no longer exists, so the task resumes on its worker.
        state_.set_releasing(position, false);
        task.stage = preemption_stage::not_preempted;
        task.hold = none;
        return;
    }
    preemption_action action = preemption_action::stop;
    duration next = stop_retry_interval;
    if (task.stage == preemption_stage::throttled)
    {
        task.stage = preemption_stage::checkpointed;
        action = preemption_action::checkpoint;
        next = checkpoint_time;
    }
    else
    {
        // A non-idempotent task is never stopped, because it cannot be run again. Its
        // checkpoint is requested again, because the first request may be lost.
        task.stage = preemption_stage::stopped;
        action =
            task.idempotent ? preemption_action::stop : preemption_action::checkpoint;
    }
    task.due = now + next;
    state_.timers.insert({task.due, timer_kind::preemption_stage, position});
    preemptions_.push_back({task.id, state_.workers[task.worker].info.id, action});
}

} // namespace hawthornbeam::policy
