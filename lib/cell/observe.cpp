/// \file
/// Implements the part of the scheduler that learns what workers run.
#include "cell_state.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam::cell
{

namespace
{

/// A gang that lost a member is placed again after this pause, so that the stops of the
/// others are usually listed by then.
constexpr duration gang_pause = std::chrono::milliseconds(50);
/// A run of an unknown job is stopped after this time. The owner reads jobs that it was
/// not told of once a second.
constexpr duration unknown_job_limit = std::chrono::milliseconds(3000);
/// Progress of a run that has done its work.
constexpr std::uint32_t whole_percent = 100;
/// Starts of a worker that are remembered for it; more are given up only when nothing
/// reaches the worker, which is then left alone.
constexpr std::size_t max_abandoned = 256;

} // namespace

worker_status& scheduler::implementation::worker(const worker_id& id, boot_time now)
{
    const auto [found, added] = workers.try_emplace(id);
    if (added)
    {
        found->second.info.id = id;
        found->second.contact_at = now;
    }
    return found->second;
}

void scheduler::implementation::release(worker_status& holder, const task_ref& task)
{
    const auto found = holder.runs.find(task);
    if (found == holder.runs.end())
        return;
    holder.used -= found->second.size;
    holder.runs.erase(found);
    job_status* job = find_job(task.job);
    task_status* status = find_task(job, task);
    if (status == nullptr || status->run_worker != holder.info.id)
        return;
    step_status& step = job->steps[task.step];
    status->run_worker = worker_id();
    --step.occupied;
    if (!is_final(job->state) && step.remaining > 0)
        open_steps.insert(key_of(*job, task.step));
}

void scheduler::implementation::request_stop(const worker_id& holder,
                                             const task_ref& task)
{
    const auto host = workers.find(holder);
    assert(host != workers.end() && "runs are kept at known workers");
    const auto found = host->second.runs.find(task);
    if (found == host->second.runs.end() || found->second.phase == run_phase::stopping)
        return;
    if (found->second.phase == run_phase::starting && !found->second.answered)
    {
        host->second.abandoned.push_back({{task, found->second.run},
                                          found->second.size,
                                          found->second.command_sent_at});
        if (host->second.abandoned.size() > max_abandoned)
            host->second.abandoned.pop_front();
    }
    found->second.phase = run_phase::stopping;
    found->second.stop_answered = false;
    stops.push_back({holder, host->second.info.address, {task, found->second.run}});
}

void scheduler::implementation::break_gang(job_status& job, std::uint32_t step,
                                           boot_time now)
{
    if (!job.spec.steps[step].gang)
        return;
    job.steps[step].not_before = now + gang_pause;
    stop_runs(job, step);
}

void scheduler::implementation::lose_run(worker_status& holder, const task_ref& task,
                                         const char* reason)
{
    log.info("cell", "run lost",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"worker", holder.info.id.value()},
              {"reason", reason}});
    release(holder, task);
    job_status* job = find_job(task.job);
    if (job != nullptr && !is_final(job->state) && task.step < job->steps.size() &&
        job->steps[task.step].remaining > 0)
        break_gang(*job, task.step, holder.contact_at);
}

void scheduler::implementation::lose_runs(worker_status& holder, const char* reason)
{
    std::vector<task_ref> lost;
    for (const auto& [task, run] : holder.runs)
        lost.push_back(task);
    for (const task_ref& task : lost)
        lose_run(holder, task, reason);
}

void scheduler::implementation::repeat_stops(boot_time now)
{
    for (auto& [id, holder] : workers)
        for (auto& [task, run] : holder.runs)
        {
            if (run.phase != run_phase::stopping || run.stop_answered ||
                now - run.command_sent_at < limits.answer_limit)
                continue;
            run.command_sent_at = now;
            stops.push_back({id, holder.info.address, {task, run.run}});
        }
}

void scheduler::implementation::move_stalled(boot_time now)
{
    for (auto& [id, holder] : workers)
    {
        if (now - holder.contact_at > limits.answer_limit)
            continue;
        std::vector<task_ref> stalled;
        for (const auto& [task, run] : holder.runs)
            // A member of a gang that has done its part waits for the slowest one.
            if (run.phase == run_phase::running && run.progressed_at != boot_time() &&
                run.percent < whole_percent &&
                now - run.progressed_at > limits.stall_limit)
                stalled.push_back(task);
        for (const task_ref& task : stalled)
        {
            job_status* job = find_job(task.job);
            if (job == nullptr || job->spec.steps[task.step].persistent)
                continue;
            log.warning("cell", "run makes no progress",
                        {{"job", task.job.value()},
                         {"step", std::uint64_t{task.step}},
                         {"task", std::uint64_t{task.index}},
                         {"worker", id.value()},
                         {"percent", std::uint64_t{holder.runs.at(task).percent}}});
            job->steps[task.step].tasks[task.index].failed_on = id;
            record_health(holder, task.job, true, now);
            request_stop(id, task);
        }
    }
}

void scheduler::implementation::handle_end(worker_status& holder, const ended_task& end,
                                           boot_time now)
{
    const task_ref& task = end.run.task;
    const auto record = holder.runs.find(task);
    if (record != holder.runs.end() && record->second.run <= end.run.run)
        release(holder, task);
    job_status* job = find_job(task.job);
    if (job == nullptr)
    {
        early_ends[task.job].emplace_back(holder.info.id, end);
        if (end.outcome == run_end::done || end.outcome == run_end::failed)
            changes.ends.push_back({end.run, end.outcome});
        return;
    }
    if (find_task(job, task) != nullptr)
        count_end(holder, *job, end, now);
}

void scheduler::implementation::count_end(worker_status& holder, job_status& job,
                                          const ended_task& end, boot_time now)
{
    const task_ref& task = end.run.task;
    task_status& status = job.steps[task.step].tasks[task.index];
    if (!count_run(status, end.run.run))
        return;
    if (!end.saved.empty())
        status.saved = end.saved;
    if (is_final(job.state) || status.done)
        return;
    log.info("cell", "run ended",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"run", std::uint64_t{end.run.run.value()}},
              {"worker", holder.info.id.value()},
              {"how", to_string(end.outcome)}});
    record_started(job, now);
    metrics.add("hawthornbeam_run_ends_total", {{"how", to_string(end.outcome)}});
    if (end.outcome == run_end::done || end.outcome == run_end::failed)
        changes.ends.push_back({end.run, end.outcome});
    const bool persistent = job.spec.steps[task.step].persistent;
    if (end.outcome == run_end::done && !persistent)
    {
        record_health(holder, task.job, false, now);
        return task_done(job, task);
    }
    if (end.outcome == run_end::failed)
    {
        record_health(holder, task.job, true, now);
        task_failed(job, task, holder.info.id);
        if (is_final(job.state))
            return;
    }
    open_steps.insert(key_of(job, task.step));
    if (end.outcome != run_end::stopped)
        break_gang(job, task.step, now);
}

void scheduler::implementation::handle_running(worker_status& holder,
                                               const running_task& shown, boot_time now,
                                               event_position sent_position)
{
    const task_ref& task = shown.run.task;
    const auto [found, added] = holder.runs.try_emplace(task);
    run_record& record = found->second;
    if (!added && shown.run.run < record.run)
        return;
    job_status* job = find_job(task.job);
    task_status* status = find_task(job, task);
    if (added)
    {
        record.run = shown.run.run;
        record.command_sent_at = now;
    }
    // The size of a run of an unknown job is not known either, so the worker counts as
    // full until the job is known or the run is stopped.
    const resources size =
        status != nullptr ? job->spec.steps[task.step].size : holder.info.capacity;
    holder.used -= record.size;
    holder.used += size;
    record.size = size;
    record.run = shown.run.run;
    if (record.phase == run_phase::starting)
    {
        record.phase = run_phase::running;
        record.position = sent_position;
    }
    if (shown.percent != record.percent || record.progressed_at == boot_time())
    {
        record.percent = shown.percent;
        record.progressed_at = now;
    }
    if (status == nullptr)
    {
        if (job != nullptr || now - record.command_sent_at > unknown_job_limit)
            request_stop(holder.info.id, task);
        return;
    }
    status->last_run = std::max(status->last_run, shown.run.run);
    if (!shown.saved.empty())
        status->saved = shown.saved;
    if (is_final(job->state) || status->done)
        return request_stop(holder.info.id, task);
    adopt_run(holder, record, *job, task);
}

void scheduler::implementation::adopt_run(worker_status& holder, run_record& record,
                                          job_status& job, const task_ref& task)
{
    task_status& status = job.steps[task.step].tasks[task.index];
    if (record.phase == run_phase::stopping || status.run_worker == holder.info.id)
        return;
    if (!status.run_worker.empty())
    {
        log.warning("cell", "task runs on two workers",
                    {{"job", task.job.value()},
                     {"worker", holder.info.id.value()},
                     {"other", status.run_worker.value()}});
        return request_stop(holder.info.id, task);
    }
    status.run_worker = holder.info.id;
    ++job.steps[task.step].occupied;
    job.started = true;
    job.state = job_state::running;
}

void scheduler::implementation::settle_missing(worker_status& holder,
                                               const poll_result& poll, boot_time now,
                                               const std::set<task_ref>& shown)
{
    std::vector<task_ref> missing;
    for (const auto& [task, record] : holder.runs)
        if (!shown.contains(task))
            missing.push_back(task);
    for (const task_ref& task : missing)
    {
        run_record& record = holder.runs.find(task)->second;
        const bool reflected =
            record.position != event_position() && record.position <= poll.sent_position;
        switch (record.phase)
        {
        case run_phase::running:
            if (reflected)
                lose_run(holder, task, "not shown by the worker");
            break;
        case run_phase::stopping:
            // After an answered stop the run can no longer begin there.
            if (record.stop_answered && reflected)
                release(holder, task);
            break;
        case run_phase::starting:
            if (record.answered ? reflected
                                : now - record.command_sent_at > limits.answer_limit)
            {
                log.info("cell", "start unsettled",
                         {{"job", task.job.value()}, {"worker", holder.info.id.value()}});
                record.command_sent_at = now;
                job_status* job = find_job(task.job);
                if (job != nullptr)
                    break_gang(*job, task.step, now);
                request_stop(holder.info.id, task);
            }
            break;
        }
    }
}

void scheduler::implementation::begin_incarnation(worker_status& holder,
                                                  const poll_result& poll, boot_time now)
{
    if (holder.polled)
    {
        log.warning("cell", "worker restarted",
                    {{"worker", poll.worker.value()},
                     {"runs", std::uint64_t{holder.runs.size()}}});
        std::vector<task_ref> lost;
        std::vector<task_ref> uncertain;
        for (const auto& [task, record] : holder.runs)
            (record.answered || record.phase == run_phase::running ? lost : uncertain)
                .push_back(task);
        for (const task_ref& task : lost)
            lose_run(holder, task, "worker restarted");
        // Orders that are carried out late may reach the new life, which knows nothing of
        // stops in the former one, and whose clock has not reached their deadlines.
        for (const abandoned_start& each : std::exchange(holder.abandoned, {}))
        {
            if (now - each.at > late_command_limit)
                continue;
            const auto [record, added] = holder.runs.try_emplace(each.run.task);
            if (!added)
                continue;
            record->second.run = each.run.run;
            record->second.size = each.size;
            record->second.command_sent_at = each.at;
            holder.used += each.size;
            uncertain.push_back(each.run.task);
        }
        for (const task_ref& task : uncertain)
        {
            request_stop(poll.worker, task);
            holder.runs.at(task).command_sent_at = now;
        }
    }
    holder.incarnation = poll.incarnation;
    holder.processed = end_number();
    holder.covered = end_number();
}

void scheduler::observe(const poll_result& poll, boot_time now)
{
    implementation& self = *implementation_;
    const auto found = self.workers.find(poll.worker);
    if (found == self.workers.end())
        return;
    worker_status& holder = found->second;
    if (holder.polled && poll.incarnation < holder.incarnation)
        return;
    if (poll.incarnation != holder.incarnation)
        self.begin_incarnation(holder, poll, now);
    holder.polled = true;
    holder.clock = poll.clock;
    holder.clock_at = now;
    holder.contact_at = now;
    self.settle(poll.worker, now);
    for (const ended_task& end : poll.ended)
    {
        if (end.number <= holder.processed)
            continue;
        self.handle_end(holder, end, now);
        holder.processed = end.number;
    }
    std::set<task_ref> shown;
    for (const running_task& running : poll.running)
    {
        shown.insert(running.run.task);
        self.handle_running(holder, running, now, poll.sent_position);
    }
    self.settle_missing(holder, poll, now, shown);
}

void scheduler::observe(const command_result& result, boot_time now)
{
    implementation& self = *implementation_;
    const auto found = self.workers.find(result.worker);
    if (found == self.workers.end())
        return;
    worker_status& holder = found->second;
    const auto record = holder.runs.find(result.run.task);
    if (record == holder.runs.end() || record->second.run != result.run.run)
        return;
    if (result.stop)
    {
        if (result.outcome != command_outcome::accepted)
            return;
        record->second.stop_answered = true;
        record->second.position = result.position;
        return;
    }
    if (record->second.answered)
        return;
    self.metrics.add("hawthornbeam_start_answers_total",
                     {{"outcome", to_string(result.outcome)}});
    if (result.outcome == command_outcome::accepted)
    {
        record->second.answered = true;
        if (record->second.phase == run_phase::starting)
        {
            record->second.phase = run_phase::running;
            record->second.position = result.position;
        }
        return;
    }
    if (result.outcome == command_outcome::unanswered)
    {
        self.log.info(
            "cell", "start not answered",
            {{"job", result.run.task.job.value()}, {"worker", result.worker.value()}});
        return;
    }
    self.start_failed(holder, result, now);
}

void scheduler::implementation::start_failed(worker_status& holder,
                                             const command_result& result, boot_time now)
{
    const task_ref task = result.run.task;
    log.info("cell", "start refused",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"worker", result.worker.value()},
              {"reason", to_string(result.outcome)}});
    // A run that was seen on the worker was refused as a copy of itself.
    if (holder.runs.find(task)->second.phase == run_phase::running)
        return;
    release(holder, task);
    job_status* job = find_job(task.job);
    if (job == nullptr || is_final(job->state))
        return;
    step_status& step = job->steps[task.step];
    if (result.outcome == command_outcome::no_ticket)
        step.tickets[result.worker].until = now;
    if (result.outcome == command_outcome::unhealthy ||
        result.outcome == command_outcome::invalid)
        holder.quarantined_until =
            std::max(holder.quarantined_until, now + initial_quarantine);
    if (result.outcome == command_outcome::no_room)
        holder.quarantined_until =
            std::max(holder.quarantined_until, now + limits.answer_limit);
    break_gang(*job, task.step, now);
}

void scheduler::observe(const advice_result& result, boot_time now)
{
    job_status* job = implementation_->find_job(result.job);
    if (job == nullptr || result.step >= job->steps.size())
        return;
    step_status& step = job->steps[result.step];
    step.advice_requested_at.reset();
    if (!result.answered)
    {
        for (const worker_id& id : result.asked)
            if (!step.tickets.contains(id))
                step.asked.erase(id);
        return;
    }
    // Tickets end a little early, since the start has to arrive before their end.
    constexpr duration travel_time = std::chrono::milliseconds(150);
    for (const auto& [id, ticket_id] : result.tickets)
        step.tickets[id] = permission{
            ticket_id, now + std::chrono::milliseconds(result.valid_ms) - travel_time};
}

} // namespace hawthornbeam::cell
