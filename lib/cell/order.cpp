/// \file
/// Order of the waiting steps: objectives and lateness of jobs.
#include "cell_state.hpp"

#include <algorithm>
#include <bit>

namespace hawthornbeam::cell
{

namespace
{

/// A result keeps part of its value up to this many times the objective.
constexpr std::int64_t value_loss_factor = 3;
/// A late job is sorted by its priority again when less than this part of its objective
/// is left before its value is lost.
constexpr std::int64_t last_chance_divisor = 2;
/// A late job that has started this many tasks waits for all others that have not.
constexpr std::uint64_t max_tasks_before_others = 32;
constexpr int lateness_without_value = 2;
/// Interval between updates of the lateness of waiting jobs.
constexpr duration lateness_update_period = std::chrono::milliseconds(50);

} // namespace

void scheduler::implementation::set_due(job_status& job)
{
    const queue_policy& policy = policy_of(job);
    std::vector<duration> chains;
    duration longest = duration::zero();
    for (const step_spec& step : job.spec.steps)
    {
        duration before = duration::zero();
        for (const std::uint32_t earlier : step.after)
            before = std::max(before, chains[earlier]);
        if (policy.advice)
            before += policy.advice->answer_time(typical_advice_workers);
        chains.push_back(before + step.estimate);
        longest = std::max(longest, chains.back());
    }
    const duration objective =
        policy.objective + std::chrono::duration_cast<duration>(longest * policy.stretch);
    job.due = job.submitted + objective;
    job.value_lost_at = job.submitted + value_loss_factor * objective;
}

int scheduler::implementation::lateness_of(const job_status& job, std::uint32_t step,
                                           boot_time now)
{
    // A step counts as late as soon as it can no longer end in time.
    const boot_time end = now + job.spec.steps[step].estimate;
    if (end > job.value_lost_at)
        return lateness_without_value;
    if (end <= job.due)
        return 0;
    // Late jobs wait for those that can be in time, but not until they have no value
    // left.
    const duration objective = job.due - job.submitted;
    return end + objective / last_chance_divisor > job.value_lost_at ? 0 : 1;
}

int scheduler::implementation::lateness_of(const job_status& job, boot_time now) const
{
    if (now > job.due)
    {
        const int doublings = static_cast<int>(
            std::bit_width(started_tasks(job) / max_tasks_before_others));
        if (doublings > 0)
            return lateness_without_value + doublings;
    }
    int lateness = 0;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step)
        if (job.steps[step].remaining > 0 && is_ready(job, step))
            lateness = std::max(lateness, lateness_of(job, step, now));
    return lateness;
}

std::uint64_t scheduler::implementation::started_tasks(const job_status& job)
{
    std::uint64_t started = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number)
    {
        const step_status& step = job.steps[number];
        if (!job.spec.steps[number].persistent)
            started += std::uint64_t{step.tasks.size()} - step.remaining + step.occupied;
    }
    return started;
}

void scheduler::implementation::update_lateness(boot_time now)
{
    if (now - lateness_updated_at < lateness_update_period)
        return;
    lateness_updated_at = now;
    std::set<job_key> changed;
    const job_key* latest = nullptr;
    for (const step_key& key : open_steps)
    {
        // The steps of a job follow each other.
        if (latest != nullptr && *latest == key.job)
            continue;
        latest = &key.job;
        const job_status* job = find_job(key.job);
        if (job != nullptr && !is_final(job->state) &&
            lateness_of(*job, now) != job->lateness)
            changed.insert(key.job);
    }
    for (const job_key& id : changed)
    {
        job_status* job = find_job(id);
        for (std::uint32_t step = 0; step < job->steps.size(); ++step)
            open_steps.erase(key_of(*job, step));
        job->lateness = lateness_of(*job, now);
        open_ready_steps(*job);
    }
}

} // namespace hawthornbeam::cell
