/// \file
/// Placement of gangs, whose tasks start together.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Maximum number of gangs that one decision plans.
constexpr std::size_t max_planned_gangs = 12;
/// A run that should have ended by its progress or estimate ends after this time.
constexpr duration overdue_run_time = std::chrono::milliseconds(100);
/// A stopped run frees its capacity within this time.
constexpr duration stop_time = std::chrono::milliseconds(400);
/// Capacity is held for a gang up to this long after its planned start, and while its
/// tickets are renewed once. If the gang has not started by then, others may use the
/// capacity for a while. After each such miss it is held for longer, up to a limit, so
/// that others cannot pass forever.
constexpr duration max_start_delay = std::chrono::milliseconds(1500);
constexpr duration yield_time = std::chrono::milliseconds(1000);
constexpr std::uint32_t max_counted_misses = 3;
/// A step that has waited for this long may use held capacity in a service that is mostly
/// free.
constexpr duration hold_patience = std::chrono::milliseconds(1000);
/// A task may run on held capacity if it ends before the gang starts, even when it takes
/// this many times its estimate.
constexpr std::int64_t backfill_margin = 2;
/// Progress from which the run time of a task is derived; before that, its estimate is
/// used.
constexpr std::uint32_t min_percent = 10;

} // namespace

bool scheduler::implementation::fits_gang(const job_status& job, std::uint32_t step,
                                          gang_room room, boot_time now) const
{
    const step_spec& spec = job.spec.steps[step];
    const service_name& service = policy_of(job).service;
    std::int64_t places = 0;
    for (const auto& [id, worker] : workers)
    {
        const worker_barrier barrier = barrier_of(worker, service, job, step, now);
        if (barrier == worker_barrier::unsuitable ||
            (room == gang_room::now && barrier != worker_barrier::none))
            continue;
        const std::int64_t fitting = tasks_that_fit(
            spec.size, room == gang_room::now ? worker.info.capacity - worker.used
                                              : worker.info.capacity);
        places += spec.per_worker > 0 ? std::min<std::int64_t>(fitting, spec.per_worker)
                                      : fitting;
        if (places >= spec.count)
            return true;
    }
    return false;
}

bool scheduler::implementation::place_gang(job_status& job, const step_key& key,
                                           decision_pass& pass)
{
    step_status& status = job.steps[key.step];
    // When a start by the former owner was refused or lost, nobody received the result,
    // and the start can no longer be executed. The members that do run would wait
    // forever.
    if (job.inherited && status.occupied > 0 && status.occupied < status.tasks.size())
        restart_gang(job, key.step, present_run(job, key.step), pass.now);
    // All members of a gang start with the same run number and the same saved state.
    if (status.occupied > 0 || status.not_before > pass.now)
        return true;
    for (std::uint32_t index = 0; index < status.tasks.size(); ++index)
        count_untraced_run(job, task_ref{job.spec.id, key.step, index});
    if (is_final(job.state))
        return true;
    // Otherwise each member would be compared with all workers.
    if (!fits_gang(job, key.step, gang_room::now, pass.now))
        return false;
    std::map<worker_id, resources> assigned_capacity;
    std::map<worker_id, std::uint32_t> tasks_on_worker;
    std::vector<worker_status*> targets;
    run_number run;
    checkpoint saved;
    run_number saved_by;
    for (std::uint32_t index = 0; index < status.tasks.size(); ++index)
    {
        const task_status& member = status.tasks[index];
        worker_status* target =
            choose_worker(job, key, pass, assigned_capacity, tasks_on_worker, index);
        if (target == nullptr)
            return false;
        targets.push_back(target);
        assigned_capacity[target->info.id] += job.spec.steps[key.step].size;
        ++tasks_on_worker[target->info.id];
        run = std::max(run, member.last_run);
        if (!member.saved.empty() && member.saved_by >= saved_by)
        {
            saved = member.saved;
            saved_by = member.saved_by;
        }
    }
    status.held_from.reset();
    status.missed_starts = 0;
    for (std::uint32_t index = 0; index < targets.size(); ++index)
    {
        status.tasks.modify(index).saved = saved;
        status.tasks.modify(index).saved_by = saved_by;
        start(job, task_ref{job.spec.id, key.step, index}, run.next(), *targets[index],
              pass);
    }
    return true;
}

std::optional<boot_time> scheduler::implementation::expected_end(const task_ref& task,
                                                                 const run_record& run,
                                                                 boot_time now) const
{
    if (run.phase == run_phase::stopping)
        return now + stop_time;
    const auto job = jobs.find(task.job);
    if (job == jobs.end() || task.step >= job->second.spec.steps.size())
        return std::nullopt;
    const step_spec& spec = job->second.spec.steps[task.step];
    if (spec.persistent)
        return std::nullopt;
    boot_time end = run.command_sent_at + spec.estimate;
    if (run.percent >= min_percent && run.started_here)
        end = run.command_sent_at +
              (run.progressed_at - run.command_sent_at) * complete_percent / run.percent;
    return std::max(end, now + overdue_run_time);
}

void scheduler::implementation::add_forecasts(const worker_status& worker,
                                              decision_pass& pass) const
{
    const auto [found, added] = pass.forecasts.try_emplace(
        worker.info.id, pass.now, worker.info.capacity - worker.used);
    if (!added)
        return;
    for (const auto& [task, run] : worker.runs)
    {
        const std::optional<boot_time> end = expected_end(task, run, pass.now);
        if (end)
            found->second.release(*end, run.size);
    }
    pass.forecasts_to_pass.emplace(worker.info.id, found->second);
}

bool scheduler::implementation::is_mostly_free(const service_name& service,
                                               decision_pass& pass) const
{
    const auto [found, added] = pass.mostly_free.try_emplace(service);
    if (!added)
        return found->second;
    millicores capacity;
    millicores used;
    for (const auto& [id, worker] : workers)
        if (worker.has_entry && worker.info.service == service)
        {
            capacity += worker.info.capacity.processors;
            used += worker.used.processors;
        }
    found->second = used + used < capacity;
    return found->second;
}

bool scheduler::implementation::may_pass_holds(const job_status& job, std::uint32_t step,
                                               decision_pass& pass) const
{
    const step_status& status = job.steps[step];
    const bool waits = status.occupied == 0 || job.spec.steps[step].persistent;
    return waits && status.waiting_since != boot_time() &&
           pass.now - status.waiting_since >= hold_patience &&
           is_mostly_free(policy_of(job).service, pass);
}

bool scheduler::implementation::keeps_holds(const decision_pass& pass,
                                            const worker_id& worker,
                                            const resources& size, duration run_time,
                                            bool passes_holds)
{
    const std::map<worker_id, capacity_forecast>& forecasts =
        passes_holds ? pass.forecasts_to_pass : pass.forecasts;
    const auto forecast = forecasts.find(worker);
    return forecast == forecasts.end() ||
           forecast->second.fits(size, pass.now + run_time * backfill_margin);
}

std::int64_t scheduler::implementation::places_now(const worker_status& candidate,
                                                   const job_status& job,
                                                   std::uint32_t step,
                                                   std::uint32_t tasks_there,
                                                   const decision_pass& pass)
{
    const std::map<worker_id, capacity_forecast>& forecasts =
        job.steps[step].passes_holds ? pass.forecasts_to_pass : pass.forecasts;
    const auto forecast = forecasts.find(candidate.info.id);
    return places_now(candidate, job.spec.steps[step], tasks_there,
                      forecast == forecasts.end() ? nullptr : &forecast->second,
                      pass.now);
}

std::int64_t scheduler::implementation::places_now(const worker_status& candidate,
                                                   const step_spec& spec,
                                                   std::uint32_t tasks_there,
                                                   const capacity_forecast* forecast,
                                                   boot_time now)
{
    if (candidate.observed_until > now)
        return 0;
    resources free_capacity = candidate.info.capacity - candidate.used;
    if (forecast != nullptr && spec.estimate > duration::zero())
        free_capacity = forecast->least_free(now + spec.estimate * backfill_margin);
    const std::int64_t fitting = tasks_that_fit(spec.size, free_capacity);
    if (spec.per_worker == 0)
        return fitting;
    const std::int64_t allowed = std::int64_t{spec.per_worker} - tasks_there;
    return std::clamp<std::int64_t>(allowed, 0, fitting);
}

void scheduler::implementation::plan_waiting_gang(job_status& job, const step_key& key,
                                                  decision_pass& pass)
{
    if (pass.plans.size() >= max_planned_gangs ||
        !fits_gang(job, key.step, gang_room::ever, pass.now))
        return;
    const step_spec& spec = job.spec.steps[key.step];
    step_status& status = job.steps[key.step];
    const bool needs_ticket = policy_of(job).advice.has_value();
    const std::map<worker_id, capacity_forecast>& forecasts =
        status.passes_holds ? pass.forecasts_to_pass : pass.forecasts;
    std::vector<gang_candidate> candidates;
    for (const auto& [id, worker] : workers)
    {
        if ((needs_ticket && !status.tickets.contains(id)) ||
            !can_run(worker, job, key.step, pass.now))
            continue;
        const std::int64_t fitting = std::min<std::int64_t>(
            spec.count, tasks_that_fit(spec.size, worker.info.capacity));
        add_forecasts(worker, pass);
        candidates.push_back(
            {id, &forecasts.at(id),
             spec.per_worker > 0
                 ? std::min(spec.per_worker, static_cast<std::uint32_t>(fitting))
                 : static_cast<std::uint32_t>(fitting),
             worker.observed_until});
    }
    const std::optional<gang_plan> plan = plan_gang(spec.size, spec.count, candidates);
    if (!plan)
        return;
    pass.plans.emplace(std::pair(key.job, key.step), *plan);
    const duration renewal_time =
        needs_ticket ? policy_of(job).advice->answer_time(std::ssize(plan->members))
                     : duration::zero();
    const duration start_delay = max_start_delay + renewal_time;
    const std::uint32_t longer = 1 + std::min(status.missed_starts, max_counted_misses);
    if (status.held_from && pass.now - *status.held_from > start_delay * longer)
    {
        ++status.missed_starts;
        status.held_from.reset();
        status.yields_until = pass.now + yield_time;
    }
    if (status.yields_until > pass.now)
        return;
    // A start that is put off again and again would let other tasks pass forever.
    status.held_from =
        std::min(plan->starts_at, status.held_from.value_or(plan->starts_at));
    const bool is_about_to_start =
        pass.now >= *status.held_from && pass.now - *status.held_from <= start_delay;
    for (const auto& [id, members] : plan->members)
        for (std::uint32_t member = 0; member < members; ++member)
        {
            pass.forecasts.at(id).hold(*status.held_from, spec.size);
            if (is_about_to_start)
                pass.forecasts_to_pass.at(id).hold(*status.held_from, spec.size);
        }
}

} // namespace hawthornbeam::cell
