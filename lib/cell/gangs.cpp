/// \file
/// Placement of gangs, whose tasks start together.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Maximum number of gangs with reserved workers.
constexpr std::uint32_t max_reserved_gangs = 3;

} // namespace

bool scheduler::implementation::place_gang(job_status& job, const step_key& key,
                                           decision_pass& pass)
{
    step_status& status = job.steps[key.step];
    // When a start by the former owner was refused or lost, nobody received the result,
    // and the start can no longer be executed. The members that do run would wait
    // forever.
    if (job.inherited && status.occupied > 0 && status.occupied < status.tasks.size())
        restart_gang(job, key.step, pass.now);
    // All members of a gang start with the same run number and the same saved state.
    if (status.occupied > 0 || status.not_before > pass.now)
        return true;
    std::map<worker_id, resources> assigned_capacity;
    std::map<worker_id, std::uint32_t> tasks_on_worker;
    std::vector<worker_status*> targets;
    run_number run;
    checkpoint saved;
    for (const task_status& member : status.tasks)
    {
        worker_status* target = choose_worker(job, key, pass, assigned_capacity,
                                              tasks_on_worker, member.failed_on);
        if (target == nullptr)
            return false;
        targets.push_back(target);
        assigned_capacity[target->info.id] += job.spec.steps[key.step].size;
        ++tasks_on_worker[target->info.id];
        run = std::max(run, member.last_run);
        if (!member.saved.empty())
            saved = member.saved;
    }
    for (std::uint32_t index = 0; index < targets.size(); ++index)
    {
        status.tasks[index].saved = saved;
        start(job, task_ref{job.spec.id, key.step, index}, run.next(), *targets[index],
              pass);
    }
    return true;
}

void scheduler::implementation::reserve_workers(const job_status& job,
                                                const step_key& key, decision_pass& pass)
{
    if (pass.reserved_gangs >= max_reserved_gangs)
        return;
    const step_spec& spec = job.spec.steps[key.step];
    const step_status& status = job.steps[key.step];
    const bool needs_ticket = policy_of(job).advice.has_value();
    std::vector<std::pair<std::int64_t, worker_id>> candidates;
    std::int64_t slots = 0;
    for (const auto& [id, candidate] : workers)
    {
        if ((needs_ticket && !status.tickets.contains(id)) ||
            pass.reserved.contains(id) || !can_run(candidate, job, key.step, pass.now))
            continue;
        const resources& capacity = candidate.info.capacity;
        slots += tasks_that_fit(spec.size, capacity);
        candidates.emplace_back((candidate.used.processors - capacity.processors).value(),
                                id);
    }
    // Do not reserve workers for a gang that would not fit even if they were all idle.
    if (slots < static_cast<std::int64_t>(spec.count))
        return;
    std::ranges::sort(candidates);
    // Assume that half of each reserved worker becomes free while the gang waits.
    std::int64_t expected = 0;
    for (const auto& [negated_free, id] : candidates)
    {
        if (expected >= static_cast<std::int64_t>(spec.count))
            break;
        const std::int64_t capacity_slots =
            tasks_that_fit(spec.size, workers.at(id).info.capacity);
        expected += std::max<std::int64_t>(1, capacity_slots / 2);
        pass.reserved.emplace(id, key);
    }
    ++pass.reserved_gangs;
}

} // namespace hawthornbeam::cell
