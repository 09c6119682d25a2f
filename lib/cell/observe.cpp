/// \file
/// Handling of poll results, command results and advice: tracks the runs of each worker.
#include "cell_state.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam::cell
{

namespace
{

/// Pause before a gang that lost a member is placed again, so that the ends of the other
/// members are usually listed by then.
constexpr duration gang_pause = std::chrono::milliseconds(50);
/// A run of an unknown job is stopped after this time. Once a second, the owner reads
/// from the store the jobs that it was not notified of.
constexpr duration unknown_job_limit = std::chrono::milliseconds(3000);
/// A worker that cannot execute a start gets no others for this long.
constexpr duration unhealthy_pause = std::chrono::seconds(2);
/// A task whose start the worker could not parse is started again after this time.
constexpr duration invalid_start_pause = std::chrono::seconds(1);
/// A request for advice that no host answered is made again after this time.
constexpr duration refused_advice_pause = std::chrono::milliseconds(50);
/// Maximum number of abandoned starts kept for a worker. More starts are abandoned only
/// when the worker is unreachable, and then it gets no new ones.
constexpr std::size_t max_abandoned = 256;

order_end order_end_of(command_outcome outcome)
{
    if (outcome == command_outcome::not_sent)
        return order_end::not_sent;
    return outcome == command_outcome::unanswered ? order_end::unanswered
                                                  : order_end::answered;
}

} // namespace

worker_status& scheduler::implementation::find_or_add_worker(const worker_id& id,
                                                             boot_time now)
{
    const auto [found, added] = workers.try_emplace(id);
    if (added)
    {
        found->second.info.id = id;
        found->second.contact_at = now;
        set_agent(found->second, instance_id());
    }
    return found->second;
}

void scheduler::implementation::release(worker_status& worker, const task_ref& task)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end())
        return;
    end_orders(worker, task, found->second);
    worker.used -= found->second.size;
    worker.runs.erase(found);
    update_observation(worker);
    job_status* job = find_job(task.job);
    task_status* status = find_task(job, task);
    if (status == nullptr || status->run_worker != worker.info.id)
        return;
    step_status& step = job->steps[task.step];
    status->run_worker = worker_id();
    --step.occupied;
    if (!is_final(job->state) && step.remaining > 0)
        open_steps.insert(key_of(*job, task.step));
}

void scheduler::implementation::request_stop(const worker_id& worker,
                                             const task_ref& task)
{
    const auto entry = workers.find(worker);
    assert(entry != workers.end() && "every run belongs to a known worker");
    const auto found = entry->second.runs.find(task);
    if (found == entry->second.runs.end() || found->second.phase == run_phase::stopping)
        return;
    if (found->second.phase == run_phase::starting && !found->second.answered)
    {
        entry->second.abandoned.push_back({{task, found->second.run},
                                           found->second.size,
                                           found->second.command_sent_at});
        if (entry->second.abandoned.size() > max_abandoned)
            entry->second.abandoned.pop_front();
    }
    found->second.phase = run_phase::stopping;
    found->second.stop_answered = false;
    queue_stop(worker, entry->second.info.address, task, found->second);
}

run_number scheduler::implementation::present_run(const job_status& job,
                                                  std::uint32_t step) const
{
    run_number highest;
    job.steps[step].tasks.visit_changed(
        [this, &job, step, &highest](std::uint32_t index, const task_status& task)
        {
            const auto worker = workers.find(task.run_worker);
            if (worker == workers.end())
                return;
            const auto record = worker->second.runs.find({job.spec.id, step, index});
            if (record != worker->second.runs.end())
                highest = std::max(highest, record->second.run);
        });
    return highest;
}

void scheduler::implementation::restart_gang(job_status& job, std::uint32_t step,
                                             run_number ended, boot_time now)
{
    // A job whose final state was read from the store has no steps in memory.
    if (step >= job.steps.size() || !job.spec.steps[step].gang ||
        present_run(job, step) > ended)
        return;
    job.steps[step].not_before = now + gang_pause;
    stop_runs(job, step);
}

void scheduler::implementation::handle_lost_run(worker_status& worker,
                                                const task_ref& task, const char* reason)
{
    const run_record& record = worker.runs.at(task);
    log.info("cell", "run lost",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"run", std::uint64_t{record.run.value()}},
              {"worker", worker.info.id.value()},
              {"reason", reason},
              {"seen_ms", std::int64_t{(worker.contact_at - record.command_sent_at) /
                                       std::chrono::milliseconds(1)}}});
    metrics.add("hawthornbeam_runs_lost_total", {{"reason", reason}});
    const run_number lost = record.run;
    release(worker, task);
    job_status* job = find_job(task.job);
    if (job != nullptr && !is_final(job->state) && task.step < job->steps.size() &&
        job->steps[task.step].remaining > 0)
        restart_gang(*job, task.step, lost, worker.contact_at);
}

void scheduler::implementation::stop_uncertain_start(worker_status& worker,
                                                     const task_ref& task, boot_time now)
{
    run_record& record = worker.runs.at(task);
    record.command_sent_at = now;
    if (record.phase != run_phase::stopping)
        return request_stop(worker.info.id, task);
    // The new incarnation has no record of a stop that the former one answered.
    record.stop_answered = false;
    if (!record.stop_waits)
        queue_stop(worker.info.id, worker.info.address, task, record);
}

void scheduler::implementation::repeat_stops(boot_time now)
{
    for (auto& [id, worker] : workers)
        for (auto& [task, run] : worker.runs)
        {
            if (run.phase != run_phase::stopping || run.stop_answered || run.stop_waits ||
                now - run.command_sent_at < limits.answer_limit)
                continue;
            queue_stop(id, worker.info.address, task, run);
        }
}

void scheduler::implementation::stop_stalled_runs(boot_time now)
{
    for (auto& [id, worker] : workers)
    {
        // A run without progress may have ended if not all ends are listed.
        if (now - worker.contact_at > limits.answer_limit || !worker.ends_complete)
            continue;
        std::vector<task_ref> stalled;
        for (const auto& [task, run] : worker.runs)
            // A gang member that has completed its work waits for the slowest member.
            if (run.phase == run_phase::running && run.progressed_at != boot_time() &&
                run.percent < complete_percent &&
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
                         {"percent", std::uint64_t{worker.runs.at(task).percent}}});
            record_health(*job, id, task, true, now);
            request_stop(id, task);
        }
    }
}

void scheduler::implementation::handle_end(worker_status& worker, const ended_task& end,
                                           boot_time now)
{
    const task_ref& task = end.run.task;
    const auto record = worker.runs.find(task);
    if (record != worker.runs.end() && record->second.run <= end.run.run)
        release(worker, task);
    job_status* job = find_job(task.job);
    if (job == nullptr)
    {
        early_ends[task.job].emplace_back(worker.info.id, end);
        if (end.outcome == run_end::done || end.outcome == run_end::failed)
            changes.ends.push_back({end.run, end.outcome});
        return;
    }
    if (find_task(job, task) != nullptr)
        count_end(worker, *job, end, now);
}

void scheduler::implementation::report_missing_ends(const worker_status& worker,
                                                    end_number listed) const
{
    const std::uint64_t missing = listed.value() - worker.processed.value() - 1;
    log.warning("cell", "ends missing",
                {{"worker", worker.info.id.value()},
                 {"incarnation", worker.incarnation.value()},
                 {"after", worker.processed.value()},
                 {"ends", missing}});
    metrics.add("hawthornbeam_ends_missing_total", {}, static_cast<double>(missing));
}

void scheduler::implementation::log_uncounted_end(const worker_status& worker,
                                                  const ended_task& end,
                                                  const worker_id& counted_on) const
{
    const task_ref& task = end.run.task;
    log.info("cell", "end not counted",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"run", std::uint64_t{end.run.run.value()}},
              {"worker", worker.info.id.value()},
              {"how", to_string(end.outcome)},
              {"counted_on", counted_on.value()}});
    metrics.add("hawthornbeam_ends_not_counted_total", {{"how", to_string(end.outcome)}});
}

void scheduler::implementation::count_end(worker_status& worker, job_status& job,
                                          const ended_task& end, boot_time now)
{
    const task_ref& task = end.run.task;
    task_status& status = job.steps[task.step].tasks.modify(task.index);
    const ended_run* counted = count_run(status, end.run.run, worker.info.id);
    if (counted != nullptr)
        return log_uncounted_end(worker, end, counted->worker);
    keep_saved(status, end.run.run, end.saved);
    if (is_final(job.state) || status.done)
        return;
    log.info("cell", "run ended",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"run", std::uint64_t{end.run.run.value()}},
              {"worker", worker.info.id.value()},
              {"how", to_string(end.outcome)}});
    record_started(job, now);
    metrics.add("hawthornbeam_run_ends_total", {{"how", to_string(end.outcome)}});
    if (end.outcome == run_end::done || end.outcome == run_end::failed)
        changes.ends.push_back({end.run, end.outcome});
    const bool persistent = job.spec.steps[task.step].persistent;
    if (end.outcome == run_end::done && !persistent)
    {
        record_health(job, worker.info.id, task, false, now);
        return task_done(job, task);
    }
    if (end.outcome == run_end::failed)
    {
        if (task_failed(job, end.run))
            record_health(job, worker.info.id, task, true, now);
        fail_if_exhausted(job);
        if (is_final(job.state))
            return;
    }
    open_steps.insert(key_of(job, task.step));
    if (end.outcome != run_end::stopped)
        restart_gang(job, task.step, end.run.run, now);
}

void scheduler::implementation::handle_running(worker_status& worker,
                                               const running_task& listed, boot_time now,
                                               event_position sent_position)
{
    const task_ref& task = listed.run.task;
    const auto [found, added] = worker.runs.try_emplace(task);
    run_record& record = found->second;
    if (!added && listed.run.run < record.run)
        return;
    job_status* job = find_job(task.job);
    task_status* status = find_task(job, task);
    if (added)
    {
        record.run = listed.run.run;
        record.command_sent_at = now;
    }
    // The size of a run is unknown while its job is unknown, so until then the run counts
    // as using the whole capacity of the worker.
    const resources size =
        status != nullptr ? job->spec.steps[task.step].size : worker.info.capacity;
    resize_run(worker, record, size);
    record.run = listed.run.run;
    record.listed = true;
    if (record.phase == run_phase::starting)
    {
        record.phase = run_phase::running;
        record.position = sent_position;
    }
    if (listed.percent != record.percent || record.progressed_at == boot_time())
    {
        record.percent = listed.percent;
        record.progressed_at = now;
    }
    if (status == nullptr)
    {
        if (job != nullptr || now - record.command_sent_at > unknown_job_limit)
            request_stop(worker.info.id, task);
        return;
    }
    status->last_run = std::max(status->last_run, listed.run.run);
    keep_saved(*status, listed.run.run, listed.saved);
    if (is_final(job->state) || status->done)
        return request_stop(worker.info.id, task);
    if (record.started_here)
        record_started(*job, now);
    record_survival(*status, record, task, now);
    adopt_run(worker, record, *job, task);
}

void scheduler::implementation::resize_run(worker_status& worker, run_record& record,
                                           const resources& size)
{
    worker.used -= record.size;
    worker.used += size;
    record.size = size;
}

void scheduler::implementation::adopt_run(worker_status& worker, run_record& record,
                                          job_status& job, const task_ref& task)
{
    task_status& status = job.steps[task.step].tasks.modify(task.index);
    if (record.phase == run_phase::stopping || status.run_worker == worker.info.id)
        return;
    if (!status.run_worker.empty())
    {
        log.warning("cell", "task runs on two workers",
                    {{"job", task.job.value()},
                     {"worker", worker.info.id.value()},
                     {"other", status.run_worker.value()}});
        return request_stop(worker.info.id, task);
    }
    status.run_worker = worker.info.id;
    ++job.steps[task.step].occupied;
    job.started = true;
    job.state = job_state::running;
}

void scheduler::implementation::handle_unlisted_runs(worker_status& worker,
                                                     const poll_result& poll,
                                                     boot_time now,
                                                     const std::set<task_ref>& listed)
{
    std::vector<task_ref> missing;
    for (const auto& [task, record] : worker.runs)
        if (!listed.contains(task))
            missing.push_back(task);
    for (const task_ref& task : missing)
    {
        run_record& record = worker.runs.find(task)->second;
        run_evidence evidence;
        evidence.kind = evidence_kind::unlisted;
        evidence.sent_position = poll.sent_position;
        evidence.ends_complete = poll.ends_complete;
        evidence.answer_overdue = now - record.command_sent_at > limits.answer_limit;
        switch (judge_run(record, evidence))
        {
        case run_fate::open:
            break;
        case run_fate::lost:
            if (record.phase == run_phase::stopping)
                release(worker, task);
            else
                handle_lost_run(worker, task, "not shown by the worker");
            break;
        case run_fate::uncertain:
        {
            log.info("cell", "start outcome unknown",
                     {{"job", task.job.value()}, {"worker", worker.info.id.value()}});
            record.command_sent_at = now;
            job_status* job = find_job(task.job);
            if (job != nullptr)
                restart_gang(*job, task.step, record.run, now);
            request_stop(worker.info.id, task);
            break;
        }
        }
    }
}

void scheduler::implementation::repeat_acknowledgement(worker_status& worker,
                                                       const poll_result& poll)
{
    const bool agent_changed =
        poll.sent_position.assignment != worker.contact_position.assignment;
    if (agent_changed && !poll.ended.empty() &&
        poll.ended.front().number <= worker.covered)
        worker.covered = end_number();
}

void scheduler::observe(const poll_result& poll, boot_time now)
{
    implementation& self = *implementation_;
    const auto found = self.workers.find(poll.worker);
    if (found == self.workers.end())
        return;
    worker_status& worker = found->second;
    if (worker.polled && poll.incarnation < worker.incarnation)
        return;
    // The report of an answer may arrive after that of a later poll.
    if (worker.process_ended && poll.incarnation == worker.incarnation &&
        poll.sent_position <= worker.contact_position)
        return;
    // A former owner may have acknowledged ends of an incarnation that is new here.
    const bool knows_ends = worker.polled || worker.process_ended;
    if (poll.incarnation != worker.incarnation)
        self.begin_incarnation(worker, poll, now);
    else if (worker.process_ended)
        self.log.error("cell", "ended worker answers", {{"worker", poll.worker.value()}});
    self.repeat_acknowledgement(worker, poll);
    worker.polled = true;
    worker.process_ended = false;
    worker.ended_unpolled_since = boot_time();
    worker.refused_since = boot_time();
    worker.contact_address = worker.info.address;
    worker.contact_position = poll.sent_position;
    worker.clock = poll.clock;
    worker.clock_at = now;
    worker.contact_at = now;
    worker.ends_complete = poll.ends_complete;
    if (poll.ends_complete)
        self.mark_settled(poll.worker, now);
    for (const ended_task& end : poll.ended)
    {
        if (end.number <= worker.processed)
            continue;
        if (knows_ends && end.number > worker.processed.next())
            self.report_missing_ends(worker, end.number);
        self.handle_end(worker, end, now);
        worker.processed = end.number;
    }
    std::set<task_ref> listed;
    for (const running_task& running : poll.running)
    {
        listed.insert(running.run.task);
        self.handle_running(worker, running, now, poll.sent_position);
    }
    self.handle_unlisted_runs(worker, poll, now, listed);
}

void scheduler::observe(const command_result& result, boot_time now)
{
    implementation& self = *implementation_;
    const auto found = self.workers.find(result.worker);
    if (found == self.workers.end())
        return;
    worker_status& worker = found->second;
    // A start that was not sent needs no stop in a later incarnation.
    if (!result.stop && result.outcome == command_outcome::not_sent)
        std::erase_if(worker.abandoned, [&result](const abandoned_start& each)
                      { return each.run == result.run; });
    const auto record = worker.runs.find(result.run.task);
    if (record == worker.runs.end() || record->second.run != result.run.run)
        return;
    const order_ending ending{order_end_of(result.outcome), now};
    if (result.stop)
    {
        self.end_stop(worker, record->second, ending);
        if (result.outcome != command_outcome::accepted)
            return;
        record->second.stop_answered = true;
        record->second.position = result.position;
        return;
    }
    self.end_start(worker, result.run.task, record->second, ending);
    if (record->second.answered)
        return;
    self.metrics.add("hawthornbeam_start_answers_total",
                     {{"outcome", to_string(result.outcome)}});
    if (result.outcome == command_outcome::accepted)
    {
        record->second.answered = true;
        record->second.position = std::max(record->second.position, result.position);
        if (record->second.phase == run_phase::starting)
            record->second.phase = run_phase::running;
        job_status* job = self.find_job(result.run.task.job);
        if (job != nullptr && !is_final(job->state))
            self.record_started(*job, now);
        return;
    }
    if (result.outcome == command_outcome::unanswered)
    {
        self.log.info(
            "cell", "start not answered",
            {{"job", result.run.task.job.value()}, {"worker", result.worker.value()}});
        return;
    }
    self.handle_refused_start(worker, result, now);
}

void scheduler::implementation::handle_refused_start(worker_status& worker,
                                                     const command_result& result,
                                                     boot_time now)
{
    const task_ref task = result.run.task;
    log.info("cell", "start refused",
             {{"job", task.job.value()},
              {"step", std::uint64_t{task.step}},
              {"task", std::uint64_t{task.index}},
              {"worker", result.worker.value()},
              {"reason", to_string(result.outcome)}});
    // The worker already lists the run, so it refused a duplicate of the start.
    if (worker.runs.find(task)->second.phase == run_phase::running)
        return;
    if (judge_start_answer(result.outcome) == run_fate::lost)
        release(worker, task);
    else
        request_stop(result.worker, task);
    job_status* job = find_job(task.job);
    if (job == nullptr || is_final(job->state))
        return;
    step_status& step = job->steps[task.step];
    if (result.outcome == command_outcome::no_ticket)
        step.tickets[result.worker].until = now;
    if (result.outcome == command_outcome::unhealthy)
        worker.paused_until = std::max(worker.paused_until, now + unhealthy_pause);
    if (result.outcome == command_outcome::invalid)
    {
        // Either the task or the worker is at fault.
        record_health(*job, result.worker, task, true, now);
        step.tasks.modify(task.index).not_before = now + invalid_start_pause;
    }
    if (result.outcome == command_outcome::no_room)
        worker.paused_until = std::max(worker.paused_until, now + limits.answer_limit);
    restart_gang(*job, task.step, result.run.run, now);
    if (result.outcome == command_outcome::invalid)
        step.not_before = now + invalid_start_pause;
}

void scheduler::observe(const advice_result& result, boot_time now)
{
    job_status* job = implementation_->find_job(result.job);
    if (job == nullptr || result.step >= job->steps.size())
        return;
    step_status& step = job->steps[result.step];
    step.advice_requested_at.reset();
    step.may_need_advice = true;
    step.advice_checked_at = now;
    step.advice_check_after = result.answered ? boot_time() : now + refused_advice_pause;
    if (!result.answered)
    {
        for (const worker_id& id : result.asked)
            if (!step.tickets.contains(id))
                step.asked.erase(id);
        return;
    }
    // A ticket has to be valid when the start arrives at the worker.
    constexpr duration start_transit_time = std::chrono::milliseconds(150);
    const boot_time until =
        now + std::chrono::milliseconds(result.valid_ms) - start_transit_time;
    for (const auto& [id, ticket_id] : result.tickets)
        step.tickets[id] = permission{ticket_id, until};
    if (!result.tickets.empty())
        step.tickets_until = std::max(step.tickets_until, until);
}

} // namespace hawthornbeam::cell
