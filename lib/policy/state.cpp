/// \file
/// State operations on rows, workers and running tasks; waiting.cpp has those on waiting
/// tasks.
#include "state.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam::policy
{

state::state(const scheduler::options& options)
    : settings(options), random(options.seed), failures(options.quarantine_base)
{
}

index state::row_position(const row_id& id)
{
    const auto [entry, added] =
        row_positions.try_emplace(id, static_cast<index>(rows.size()));
    if (!added)
        return entry->second;
    row_record& row = rows.emplace_back();
    row.settings.id = id;
    row.settings.priority = least_urgent;
    const partner_id partner = partner_of(id);
    const auto [partner_entry, added_partner] =
        partner_positions.try_emplace(partner, static_cast<index>(partners.size()));
    if (added_partner)
        partners.emplace_back().id = partner;
    row.partner = partner_entry->second;
    rows_by_class.insert(rows_by_class.begin(), entry->second);
    return entry->second;
}

void state::recount_partners()
{
    for (partner_record& partner : partners)
    {
        partner.usage.fill(resources());
        partner.weight.fill(0);
    }
    for (const row_record& row : rows)
    {
        partner_record& partner = partners[row.partner];
        const std::uint8_t urgency_class = row.settings.priority.value();
        partner.usage[urgency_class] += usage(row);
        partner.weight[urgency_class] += row.in_table ? row.settings.weight : 0.0;
    }
    std::stable_sort(rows_by_class.begin(), rows_by_class.end(),
                     [&](index a, index b)
                     { return rows[a].settings.priority > rows[b].settings.priority; });
}

double state::own_fraction() const
{
    if (cluster == resources())
        return 1.0;
    return std::min(1.0, dominant_share(own_capacity, total()));
}

void state::start_summary_period()
{
    amplification = 1 / std::max(1e-6, own_fraction());
    for (row_record& row : rows)
    {
        row.running_at_summary = row.running;
        row.tasks_at_summary = row.tasks_running;
    }
    recount_partners();
}

resources state::usage(const row_record& row) const
{
    if (amplification <= 1)
        return row.running + row.remote;
    const resources elsewhere =
        row.remote + scaled(row.running - row.running_at_summary, amplification - 1);
    return row.running + component_max(elsewhere, resources());
}

double state::share(const row_record& row) const
{
    return dominant_share(usage(row), total());
}

bool state::under_guarantee(const row_record& row) const
{
    return row.settings.guaranteed > 0 && share(row) < row.settings.guaranteed;
}

bool state::own_headroom_left(const row_record& row) const
{
    if (amplification <= 1)
        return true;
    const row_limits& limits = row.settings.limits;
    const resources before = row.running_at_summary + row.remote;
    const auto left = [&](std::int64_t limit, std::int64_t all, std::int64_t own_before,
                          std::int64_t own)
    {
        const double part = static_cast<double>(limit - all) / amplification;
        return limit <= 0 ||
               static_cast<double>(own) < static_cast<double>(own_before) + part;
    };
    return left(limits.running.processors.value(), before.processors.value(),
                row.running_at_summary.processors.value(),
                row.running.processors.value()) &&
           left(limits.running.memory.value(), before.memory.value(),
                row.running_at_summary.memory.value(), row.running.memory.value()) &&
           left(limits.running.accelerators.value(), before.accelerators.value(),
                row.running_at_summary.accelerators.value(),
                row.running.accelerators.value()) &&
           left(limits.tasks_running,
                std::int64_t(row.tasks_at_summary) + row.remote_tasks,
                row.tasks_at_summary, row.tasks_running);
}

bool state::limits_admit(row_record& row, const resources& size, std::uint32_t count,
                         boot_time now) const
{
    const row_limits& limits = row.settings.limits;
    const resources sum = row.running + row.remote + times(size, count);
    const auto exceeds = [](std::int64_t used, std::int64_t limit)
    { return limit > 0 && used > limit; };
    if (exceeds(sum.processors.value(), limits.running.processors.value()) ||
        exceeds(sum.memory.value(), limits.running.memory.value()) ||
        exceeds(sum.accelerators.value(), limits.running.accelerators.value()))
        return false;
    if (exceeds(std::int64_t(row.tasks_running) + row.remote_tasks + count,
                limits.tasks_running) ||
        !own_headroom_left(row))
        return false;
    return row.rate.admits(now, limits.tasks_per_second, own_fraction());
}

resources state::reserved_size(const task_record& task) const
{
    const row_record& row = rows[task.row];
    const resources learned =
        shapes.clamp_to_worker(task.size, row.learned.estimate(task.size));
    resources reserved = learned;
    // A task whose declared size is within the limit of the row must stay startable, so
    // the learned size is capped by the limit.
    const resources& limit = row.settings.limits.running;
    const std::int64_t count = std::max<std::uint32_t>(1, task.gang_size);
    if (limit.processors.value() > 0)
        reserved.processors =
            std::min(reserved.processors, millicores(limit.processors.value() / count));
    if (limit.memory.value() > 0)
        reserved.memory =
            std::min(reserved.memory, byte_count(limit.memory.value() / count));
    reserved = component_max(reserved, task.size);
    if (count > 1 && reserved != task.size && cluster == resources() &&
        shapes.count_fitting(reserved) < static_cast<std::uint64_t>(count))
        return task.size;
    return reserved;
}

index state::add_worker(const worker_info& info)
{
    const index position = workers.add();
    worker_record& worker = workers[position];
    worker.info = info;
    worker.present = true;
    const auto [domain, new_domain] = domain_positions.try_emplace(
        info.failure_domain, static_cast<index>(domains.size()));
    if (new_domain)
        domains.emplace_back();
    worker.domain = domain->second;
    worker.rack = rack_positions
                      .try_emplace(info.failure_domain.value() + "/" + info.rack.value(),
                                   static_cast<index>(rack_positions.size()))
                      .first->second;
    worker_positions[info.id] = position;
    own_capacity += info.capacity;
    shapes.add(info.capacity);
    refresh(position);
    return position;
}

resources state::free(const worker_record& worker) const
{
    return worker.info.capacity - worker.used;
}

resources state::unheld(const worker_record& worker) const
{
    return component_max(resources(), free(worker) - worker.held);
}

bool state::usable(const worker_record& worker) const
{
    return worker.present && worker.schedulable &&
           worker.quarantined_until == boot_time();
}

void state::refresh(index position)
{
    const worker_record& worker = workers[position];
    // Adopted tasks may exceed the capacity of a worker. It then accepts no task, and
    // leaving it out of the index keeps it from being sampled.
    if (usable(worker) && free(worker).is_valid())
        domains[worker.domain].update(position, unheld(worker));
    else
        domains[worker.domain].remove(position);
    for (const index hold : worker.holds)
    {
        if (holds[hold].retry_pending)
            continue;
        holds[hold].retry_pending = true;
        changed_holds.push_back(hold);
    }
}

void state::charge(index position, const resources& size)
{
    worker_record& worker = workers[position];
    worker.used += size;
    own_used += size;
    refresh(position);
}

void state::discharge(index position, const resources& size)
{
    worker_record& worker = workers[position];
    worker.used -= size;
    own_used -= size;
    assert(worker.used.is_valid() && "a worker cannot use less than nothing");
    refresh(position);
}

void state::count_spread(const task_record& task, bool started)
{
    if (!task.spread)
        return;
    const worker_record& worker = workers[task.worker];
    spread_record& spread = spreads[task.id.job];
    if (spread.domains.size() < domains.size())
        spread.domains.resize(domains.size());
    const std::uint32_t step = started ? 1U : ~0U;
    spread.domains[worker.domain] += step;
    spread.racks[worker.rack] += step;
    spread.tasks += step;
    if (spread.tasks == 0)
        spreads.erase(task.id.job);
}

void state::begin_running(index position, index worker, const resources& reserved,
                          boot_time now)
{
    task_record& task = tasks[position];
    row_record& row = rows[task.row];
    task.phase = task_phase::running;
    task.worker = worker;
    task.reserved = reserved;
    task.started = now;
    task.stage = preemption_stage::not_preempted;
    task.hold = none;
    task.usage = learned_size::sample();
    row.running += reserved;
    ++row.tasks_running;
    if (row.awaiting_restart > 0)
        --row.awaiting_restart;
    partners[row.partner].usage[row.settings.priority.value()] +=
        scaled(reserved, amplification);
    row_list::push_back(tasks, row.running_lists[task.idempotent ? 1 : 0], position);
    worker_list::push_back(tasks, workers[worker].running, position);
    count_spread(task, true);
    ++running;
}

void state::set_releasing(index position, bool releasing)
{
    const task_record& task = tasks[position];
    row_record& row = rows[task.row];
    worker_record& worker = workers[task.worker];
    if (releasing)
    {
        row.releasing += task.reserved;
        worker.releasing += task.reserved;
        ++row.releasing_tasks;
        // Searches for victims start at the tail and must not find this task again.
        list_ends& list = row.running_lists[task.idempotent ? 1 : 0];
        row_list::erase(tasks, list, position);
        row_list::push_front(tasks, list, position);
        return;
    }
    row.releasing -= task.reserved;
    worker.releasing -= task.reserved;
    --row.releasing_tasks;
}

void state::end_running(index position)
{
    task_record& task = tasks[position];
    row_record& row = rows[task.row];
    worker_record& worker = workers[task.worker];
    if (task.stage != preemption_stage::not_preempted)
    {
        timers.erase({task.due, timer_kind::preemption_stage, position});
        set_releasing(position, false);
        task.stage = preemption_stage::not_preempted;
    }
    row.running -= task.reserved;
    --row.tasks_running;
    partners[row.partner].usage[row.settings.priority.value()] -=
        scaled(task.reserved, amplification);
    row_list::erase(tasks, row.running_lists[task.idempotent ? 1 : 0], position);
    worker_list::erase(tasks, worker.running, position);
    count_spread(task, false);
    task.phase = task_phase::vacant;
    --running;
    discharge(task.worker, task.reserved);
}

void state::start_unit(index leader, std::span<const assignment> chosen, boot_time now)
{
    release_hold(leader);
    unqueue_unit(leader);
    const index gang = tasks[leader].gang;
    row_record& row = rows[tasks[leader].row];
    row.drain.advance(now, row.waiting > 0);
    for (const assignment& entry : chosen)
    {
        task_record& task = tasks[entry.task];
        set_deadline_timer(entry.task, false);
        --row.waiting;
        --waiting;
        task.gang = none;
        task.blocked_since = boot_time::max();
        row.drain.count_start();
        begin_running(entry.task, entry.worker, task.reserved, now);
        if (entry.backfilled)
            holds[entry.backfilled_hold].backfills.emplace_back(entry.task, task.id);
    }
    row.rate.count_starts(static_cast<std::uint32_t>(chosen.size()));
    if (gang == none)
        return;
    gang_positions.erase(tasks[leader].id.job);
    gangs.remove(gang);
}

} // namespace hawthornbeam::policy
