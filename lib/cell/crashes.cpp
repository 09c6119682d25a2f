/// \file
/// Crashes of workers: counts them against the tasks that ran there, and keeps suspect
/// tasks apart.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Crashes within this time may have one common cause, such as the loss of a rack.
constexpr duration common_cause_time = std::chrono::milliseconds(200);
/// A suspect task starts this long after the latest start on its worker, unless it has
/// waited too long for such a worker.
constexpr duration min_start_distance = std::chrono::milliseconds(150);
constexpr duration max_distance_wait = std::chrono::milliseconds(1000);
/// Part of the workers of a service that may be kept from starts by suspect tasks, and
/// by all reasons together.
constexpr std::size_t observed_divisor = 4;
constexpr std::size_t withheld_divisor = 2;
/// Age assumed for a run if its start or the time of the crash is unknown.
constexpr duration unknown_run_age = std::chrono::seconds(1);

/// Returns whether the age of a run at the crash of its worker is known. Without a
/// refused connection, the crash may have come at any time since the last answer.
bool is_age_known(const worker_status& worker, const run_record& record)
{
    return record.started_here && worker.refused_since != boot_time();
}

/// Returns whether a run that was lost with its worker may have crashed it. A start
/// without an answer may have begun if it was sent before connections were refused.
bool may_have_crashed(const worker_status& worker, const run_record& record)
{
    if (record.phase == run_phase::stopping)
        return false;
    return record.answered || record.phase == run_phase::running ||
           (is_age_known(worker, record) &&
            record.command_sent_at < worker.refused_since);
}

/// Returns the age of a run when its worker crashed, or the most likely one.
duration age_at_crash(const worker_status& worker, const run_record& record,
                      boot_time now)
{
    if (!record.started_here)
        return unknown_run_age;
    if (is_age_known(worker, record))
        return std::max(worker.refused_since - record.command_sent_at, duration::zero());
    return std::clamp(
        unknown_run_age,
        std::max(worker.contact_at - record.command_sent_at, duration::zero()),
        now - record.command_sent_at);
}

} // namespace

void scheduler::implementation::count_crash(worker_status& worker,
                                            const std::vector<task_ref>& lost,
                                            boot_time now)
{
    // A worker that is draining leaves as planned.
    if (worker.info.draining)
        return;
    std::vector<std::pair<task_ref, duration>> ended;
    std::vector<crashed_run> runs;
    // The members of a gang on the worker count as one run: they fail together.
    std::map<std::pair<job_key, std::uint32_t>, std::size_t> run_of_gang;
    std::vector<std::size_t> run_of_task;
    for (const task_ref& task : lost)
    {
        const run_record& record = worker.runs.at(task);
        if (!may_have_crashed(worker, record))
            continue;
        job_status* job = find_job(task.job);
        const task_status* status = find_task(job, task);
        const duration age = age_at_crash(worker, record, now);
        std::size_t number = runs.size();
        if (status != nullptr && job->spec.steps[task.step].gang)
            number = run_of_gang.try_emplace({task.job, task.step}, number).first->second;
        if (number == runs.size())
            runs.push_back({age, status == nullptr ? 0 : status->crashes.suspicion()});
        ended.emplace_back(task, age);
        run_of_task.push_back(number);
    }
    std::erase_if(recent_crashes,
                  [now](boot_time each) { return now - each > common_cause_time; });
    const std::vector<run_end> roles = assign_blame(runs, recent_crashes.size());
    recent_crashes.push_back(now);
    for (std::size_t each = 0; each < ended.size(); ++each)
        count_crashed_run(worker, ended[each].first, roles[run_of_task[each]],
                          ended[each].second, now);
}

void scheduler::implementation::count_crashed_run(const worker_status& worker,
                                                  const task_ref& task, run_end role,
                                                  duration age, boot_time now)
{
    const run_record& record = worker.runs.at(task);
    const run_number run = record.run;
    job_status* job = find_job(task.job);
    task_status* status = find_task(job, task);
    if (status == nullptr || is_final(job->state) || status->done ||
        count_run(*status, run, worker.info.id) != nullptr)
        return;
    status->crashes.add(role,
                        is_age_known(worker, record) ? std::optional(age) : std::nullopt);
    status->crashed_at = now;
    changes.ends.push_back({{task, run}, role});
    metrics.add("hawthornbeam_run_ends_total", {{"how", to_string(role)}});
    log.info("cell", "run crashed",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"run", std::uint64_t{run.value()}},
              {"worker", worker.info.id.value()},
              {"how", to_string(role)},
              {"age_ms", std::int64_t{age / std::chrono::milliseconds(1)}},
              {"runs", std::uint64_t{worker.runs.size()}},
              {"crashes", std::uint64_t{status->crashes.crashes()}}});
}

void scheduler::implementation::fail_if_crashing(job_status& job)
{
    if (is_final(job.state))
        return;
    bool is_crashing = false;
    for (const step_status& step : job.steps)
        step.tasks.visit_changed(
            [&is_crashing](std::uint32_t /*index*/, const task_status& task)
            { is_crashing |= !task.done && task.crashes.is_conclusive(); });
    if (is_crashing)
        finish_job(job, job_state::failed, "crashed its workers");
}

withheld_workers scheduler::implementation::count_withheld(const service_name& service,
                                                           boot_time now) const
{
    withheld_workers counts;
    for (const auto& [id, worker] : workers)
    {
        if (!worker.has_entry || worker.info.service != service)
            continue;
        const bool is_observed = worker.observed_until > now;
        const bool is_withheld =
            is_observed || worker.quarantined_until > now || worker.paused_until > now;
        ++counts.all;
        counts.observed += is_observed ? 1U : 0U;
        counts.withheld += is_withheld ? 1U : 0U;
    }
    return counts;
}

bool scheduler::implementation::may_observe(const withheld_workers& counts)
{
    // A single worker has to take all starts.
    return counts.all > 1 &&
           counts.observed < std::max<std::size_t>(counts.all / observed_divisor, 1) &&
           counts.withheld < std::max<std::size_t>(counts.all / withheld_divisor, 1);
}

bool scheduler::implementation::waits_for_observation(const task_status& task,
                                                      const service_name& service,
                                                      boot_time now) const
{
    if (task.crashes.suspicion() <= 0 || now - task.crashed_at >= max_distance_wait)
        return false;
    const withheld_workers counts = count_withheld(service, now);
    return counts.all > 1 && !may_observe(counts);
}

bool scheduler::implementation::takes_start(const worker_status& worker,
                                            const task_status& task, boot_time now)
{
    if (worker.observed_until > now)
        return false;
    // Of two young runs, a crash would not show which one is its cause.
    return !task.crashes.is_suspect() ||
           now - worker.last_start_at >= min_start_distance ||
           now - task.crashed_at >= max_distance_wait;
}

void scheduler::implementation::observe_suspect(worker_status& worker, run_record& record,
                                                const task_status& status,
                                                const task_ref& task, boot_time now)
{
    if (!status.crashes.is_suspect())
        return;
    changes.ends.push_back({{task, record.run}, run_end::suspect_started});
    if (!may_observe(count_withheld(worker.info.service, now)))
    {
        metrics.add("hawthornbeam_unobserved_suspects_total", {});
        log.info("cell", "suspect task not observed",
                 {{"job", task.job.value()},
                  {"step", std::uint64_t{task.step}},
                  {"task", std::uint64_t{task.index}},
                  {"worker", worker.info.id.value()},
                  {"crashes", std::uint64_t{status.crashes.crashes()}}});
        return;
    }
    record.observed_until = now + status.crashes.observation_time();
    worker.observed_until = std::max(worker.observed_until, record.observed_until);
}

void scheduler::implementation::record_survival(task_status& status,
                                                const run_record& record,
                                                const task_ref& task, boot_time now)
{
    if (record.phase != run_phase::running ||
        !status.crashes.add_survival(now - record.command_sent_at))
        return;
    if (status.untraced_run <= record.run)
        status.untraced_run = run_number();
    changes.ends.push_back({{task, record.run}, run_end::crashes_outlived});
    log.info("cell", "task has outlived its crashes",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"run", std::uint64_t{record.run.value()}}});
}

void scheduler::implementation::report_withheld(boot_time now) const
{
    std::uint64_t observed = 0;
    std::uint64_t quarantined = 0;
    std::uint64_t paused = 0;
    for (const auto& [id, worker] : workers)
    {
        observed += worker.observed_until > now ? 1U : 0U;
        quarantined += worker.quarantined_until > now ? 1U : 0U;
        paused += worker.paused_until > now ? 1U : 0U;
    }
    for (const auto& [reason, count] :
         {std::pair("observed", observed), std::pair("quarantined", quarantined),
          std::pair("paused", paused)})
        metrics.set_gauge("hawthornbeam_withheld_workers", {{"reason", reason}},
                          static_cast<double>(count));
}

void scheduler::implementation::count_untraced_run(job_status& job, const task_ref& task)
{
    task_table<task_status>& tasks = job.steps[task.step].tasks;
    const run_number run = tasks[task.index].untraced_run;
    if (run == run_number())
        return;
    task_status& status = tasks.modify(task.index);
    status.untraced_run = run_number();
    if (count_run(status, run, worker_id()) != nullptr)
        return;
    status.crashes.add(run_end::crash_suspect, std::nullopt);
    changes.ends.push_back({{task, run}, run_end::crash_suspect});
    log.info("cell", "suspect run left no trace",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"run", std::uint64_t{run.value()}},
              {"crashes", std::uint64_t{status.crashes.crashes()}}});
    fail_if_crashing(job);
}

void scheduler::implementation::update_observation(worker_status& worker)
{
    worker.observed_until = boot_time();
    for (const auto& [task, record] : worker.runs)
        worker.observed_until = std::max(worker.observed_until, record.observed_until);
}

} // namespace hawthornbeam::cell
