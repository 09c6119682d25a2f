/// \file
/// Placement: decides which waiting tasks start on which workers.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Maximum number of single tasks and gangs without advice that one decision compares
/// with all workers. Those that could not run on any worker for the same reason as an
/// earlier one do not count.
constexpr std::size_t max_steps = 96;
/// Steps with advice are compared only with workers that they have tickets for, so their
/// limit is higher: this many for each host that can send requests to the advice service.
constexpr std::size_t max_advised_steps_each = 16;
/// Each open step is considered in any case once in this time, whatever the limits say.
constexpr duration turn_period = std::chrono::milliseconds(500);
constexpr std::size_t min_turns = 4;
/// A step that has waited for this long may use quarantined workers if too few others
/// could ever run it.
constexpr duration quarantine_patience = std::chrono::seconds(1);
/// A worker on probation gets no gangs and no start beside this many runs.
constexpr std::size_t max_runs_on_probation = 3;
constexpr duration quarantine_check_period = std::chrono::milliseconds(300);
/// A start needs this time to reach its worker by way of an agent.
constexpr duration min_start_time = std::chrono::milliseconds(250);

} // namespace

std::int64_t tasks_that_fit(const resources& size, const resources& free_capacity)
{
    // A worker whose capacity has been reduced may use more than it has.
    if (!size.fits_in(free_capacity))
        return 0;
    std::int64_t count = INT32_MAX;
    if (size.processors.value() > 0)
        count =
            std::min(count, free_capacity.processors.value() / size.processors.value());
    if (size.memory.value() > 0)
        count = std::min(count, free_capacity.memory.value() / size.memory.value());
    if (size.accelerators.value() > 0)
        count = std::min(count,
                         free_capacity.accelerators.value() / size.accelerators.value());
    return count;
}

worker_barrier scheduler::implementation::barrier_of(const worker_status& candidate,
                                                     const job_status& job,
                                                     std::uint32_t step,
                                                     boot_time now) const
{
    return barrier_of(candidate, policy_of(job).service, job, step, now);
}

worker_barrier scheduler::implementation::barrier_of(const worker_status& candidate,
                                                     const service_name& service,
                                                     const job_status& job,
                                                     std::uint32_t step,
                                                     boot_time now) const
{
    const step_spec& spec = job.spec.steps[step];
    const worker_info& info = candidate.info;
    if (!candidate.has_entry || info.service != service ||
        !spec.size.fits_in(info.capacity) ||
        (!spec.label.empty() &&
         std::ranges::find(info.labels, spec.label) == info.labels.end()))
        return worker_barrier::unsuitable;
    if (!candidate.allowed || !candidate.polled || info.draining ||
        info.incarnation != candidate.incarnation ||
        candidate.refused_since != boot_time() ||
        now - candidate.contact_at > limits.answer_limit * 2)
        return worker_barrier::away;
    const bool is_left_out =
        candidate.quarantined_until > now ||
        (candidate.quarantined_until != boot_time() &&
         (spec.gang || candidate.runs.size() >= max_runs_on_probation) &&
         outliers.is_on_probation(info.id, now));
    return (is_left_out && !job.steps[step].uses_quarantined) ||
                   candidate.paused_until > now
               ? worker_barrier::quarantined
               : worker_barrier::none;
}

bool scheduler::implementation::can_run(const worker_status& candidate,
                                        const job_status& job, std::uint32_t step,
                                        boot_time now) const
{
    return barrier_of(candidate, job, step, now) == worker_barrier::none;
}

worker_status* scheduler::implementation::choose_worker(
    const job_status& job, const step_key& key, decision_pass& pass,
    const std::map<worker_id, resources>& assigned_capacity,
    const std::map<worker_id, std::uint32_t>& tasks_on_worker, std::uint32_t index)
{
    const step_spec& spec = job.spec.steps[key.step];
    const step_status& status = job.steps[key.step];
    const bool suspect = status.tasks[index].crashes.is_suspect();
    const std::set<worker_id>& failed_on = status.tasks[spec.gang ? 0 : index].failed_on;
    if (suspect &&
        waits_for_observation(status.tasks[index], policy_of(job).service, pass.now))
        return nullptr;
    worker_status* best = nullptr;
    std::int64_t best_score = 0;
    bool is_bounded = false;
    const auto consider = [&](const worker_id& id, worker_status& candidate)
    {
        resources free_capacity = candidate.info.capacity - candidate.used;
        const auto assigned = assigned_capacity.find(id);
        if (assigned != assigned_capacity.end())
            free_capacity -= assigned->second;
        if (!spec.size.fits_in(free_capacity) ||
            !takes_start(candidate, status.tasks[index], pass.now) ||
            !can_run(candidate, job, key.step, pass.now))
            return;
        resources held_size = spec.size;
        if (assigned != assigned_capacity.end())
            held_size += assigned->second;
        if (!keeps_holds(pass, id, held_size, spec.estimate, status.passes_holds))
            return;
        if (spec.per_worker > 0)
        {
            const auto on_worker = tasks_on_worker.find(id);
            if (on_worker != tasks_on_worker.end() &&
                on_worker->second >= spec.per_worker)
                return;
        }
        if (!has_start_room(candidate, spec, status))
        {
            is_bounded = true;
            return;
        }
        // The fullest worker that fits is best, since this avoids fragmentation of the
        // free capacity. Input data in another rack and an earlier failure of the task on
        // the worker weigh more than packing.
        constexpr std::int64_t far_penalty = 1'000'000;
        constexpr std::int64_t failures_penalty = 5'000'000;
        constexpr std::int64_t failed_penalty = 10'000'000;
        constexpr std::int64_t quarantined_penalty = 20'000'000;
        // A suspect task runs where its crash would end the least other work.
        std::int64_t score = suspect ? candidate.used.processors.value()
                                     : free_capacity.processors.value();
        if (!spec.data_rack.empty() && candidate.info.rack != spec.data_rack)
            score += far_penalty;
        if (failed_on.contains(id))
            score += failed_penalty;
        // A gang, and a task that has failed before, have attempts to lose.
        if ((spec.gang || !failed_on.empty()) && outliers.has_failures(id, pass.now))
            score += failures_penalty;
        if (candidate.quarantined_until > pass.now)
            score += quarantined_penalty;
        if (best == nullptr || score < best_score)
        {
            best = &candidate;
            best_score = score;
        }
    };
    if (policy_of(job).advice)
    {
        for (const auto& [id, permitted] : status.tickets)
        {
            if (permitted.until <= pass.now)
                continue;
            const auto found = workers.find(id);
            if (found != workers.end())
                consider(id, found->second);
        }
        pass.starts_bounded |= best == nullptr && is_bounded;
        return best;
    }
    rejected_sizes& rejected =
        pass.rejected[{policy_of(job).service, spec.label, spec.gang,
                       status.uses_quarantined, status.passes_holds}];
    if (rejected.covers(spec.size, spec.estimate))
        return nullptr;
    ++pass.comparisons;
    for (auto& [id, candidate] : workers)
        consider(id, candidate);
    pass.starts_bounded |= best == nullptr && is_bounded;
    // Others may use the part of a window that the step leaves to them.
    if (best == nullptr && !is_bounded && assigned_capacity.empty() &&
        spec.per_worker == 0 && !suspect)
        rejected.add(spec.size, spec.estimate);
    return best;
}

void scheduler::implementation::start(job_status& job, const task_ref& task,
                                      run_number run, worker_status& target,
                                      decision_pass& pass)
{
    const boot_time now = pass.now;
    step_status& step = job.steps[task.step];
    task_status& status = step.tasks.modify(task.index);
    run_record record;
    record.run = run;
    record.size = job.spec.steps[task.step].size;
    record.command_sent_at = now;
    record.started_here = true;
    target.used += record.size;
    // Replaces the record of an earlier run that is still being stopped on this worker.
    // The worker refuses the earlier run once it has received this one.
    run_record& kept = target.runs[task];
    end_orders(target, task, kept);
    target.used -= kept.size;
    kept = record;
    add_start(target, step, kept, now);
    target.last_start_at = now;
    observe_suspect(target, kept, status, task, now);
    for (std::map<worker_id, capacity_forecast>* forecasts :
         {&pass.forecasts, &pass.forecasts_to_pass})
    {
        const auto forecast = forecasts->find(target.info.id);
        if (forecast == forecasts->end())
            continue;
        forecast->second.hold(now, record.size);
        forecast->second.release(now + job.spec.steps[task.step].estimate, record.size);
    }
    status.run_worker = target.info.id;
    status.last_run = run;
    ++step.occupied;
    step.waiting_since = boot_time();
    metrics.add("hawthornbeam_starts_ordered_total", {{"queue", job.spec.queue.value()}});
    start_command command;
    command.worker = target.info.id;
    command.address = target.info.address;
    command.run = {task, run};
    command.payload = job.spec.payload;
    const duration since = pass.latest_start - target.clock_at;
    command.deadline =
        worker_time(target.clock.value() +
                    std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
    command.saved = status.saved;
    const auto permitted = step.tickets.find(target.info.id);
    if (permitted != step.tickets.end())
        command.permission = permitted->second.ticket_id;
    log.info(
        "cell", "start ordered",
        {{"job", task.job.value()},
         {"step", std::uint64_t{task.step}},
         {"task", std::uint64_t{task.index}},
         {"run", std::uint64_t{run.value()}},
         {"worker", target.info.id.value()},
         {"free_millicores", (target.info.capacity - target.used).processors.value()}});
    pass.out.starts.push_back(std::move(command));
}

std::map<worker_id, std::uint32_t>
scheduler::implementation::count_tasks(const step_status& step)
{
    std::map<worker_id, std::uint32_t> tasks_on_worker;
    step.tasks.visit_changed(
        [&tasks_on_worker](std::uint32_t /*index*/, const task_status& task)
        {
            if (!task.run_worker.empty())
                ++tasks_on_worker[task.run_worker];
        });
    return tasks_on_worker;
}

bool scheduler::implementation::place_task(job_status& job, const step_key& key,
                                           std::uint32_t index, decision_pass& pass)
{
    const step_status& step = job.steps[key.step];
    std::map<worker_id, std::uint32_t> tasks_on_worker;
    if (job.spec.steps[key.step].per_worker > 0)
        tasks_on_worker = count_tasks(step);
    const task_status& status = step.tasks[index];
    worker_status* target = choose_worker(job, key, pass, {}, tasks_on_worker, index);
    if (target == nullptr)
        return false;
    start(job, task_ref{job.spec.id, key.step, index}, status.last_run.next(), *target,
          pass);
    return true;
}

void scheduler::implementation::update_quarantine_use(job_status& job, std::uint32_t step,
                                                      boot_time now)
{
    step_status& status = job.steps[step];
    if (status.waiting_since == boot_time() ||
        now - status.waiting_since < quarantine_patience ||
        now - status.quarantine_checked_at < quarantine_check_period)
        return;
    status.quarantine_checked_at = now;
    status.uses_quarantined =
        last_quarantine_until != boot_time() && needs_quarantined(job, step, now);
}

void scheduler::implementation::take_turns(boot_time now)
{
    const duration elapsed = turns_taken_at == boot_time()
                                 ? duration::zero()
                                 : std::min(now - turns_taken_at, turn_period);
    turns_taken_at = now;
    const std::size_t open = open_steps.size();
    const std::size_t turns =
        std::min(open, min_turns + open * static_cast<std::size_t>(elapsed.count()) /
                                       static_cast<std::size_t>(turn_period.count()));
    auto next = open_steps.upper_bound(last_turn);
    for (std::size_t turn = 0; turn < turns; ++turn, ++next)
    {
        if (next == open_steps.end())
            next = open_steps.begin();
        job_status* job = find_job(next->job);
        if (job != nullptr && !is_final(job->state))
            job->steps[next->step].turn_at = now;
        if (turn + 1 == turns)
            last_turn = *next;
    }
}

std::vector<step_key> scheduler::implementation::find_startable(boot_time now)
{
    std::vector<step_key> startable;
    startable.reserve(open_steps.size());
    for (const step_key& key : open_steps)
    {
        job_status* job = find_job(key.job);
        // place_step() removes the keys of jobs that have ended.
        if (job == nullptr || is_final(job->state) ||
            (queues.contains(job->spec.queue) && !job->held &&
             !waits_for_former_runs(*job, key.step)))
            startable.push_back(key);
        else
            job->steps[key.step].considered_at = now;
    }
    return startable;
}

bool scheduler::implementation::is_within_limits(const job_status& job,
                                                 std::uint32_t step,
                                                 const decision_pass& pass) const
{
    const bool needs_ticket = policy_of(job).advice.has_value();
    const auto considered =
        pass.considered.find({needs_ticket, job.spec.steps[step].gang});
    return considered == pass.considered.end() ||
           considered->second <
               (needs_ticket ? max_advised_steps_each * advice_hosts : max_steps);
}

void scheduler::implementation::place_waiting_tasks(job_status& job, const step_key& key,
                                                    decision_pass& pass)
{
    step_status& status = job.steps[key.step];
    update_quarantine_use(job, key.step, pass.now);
    if (job.spec.steps[key.step].gang)
    {
        if (!place_gang(job, key, pass))
            plan_waiting_gang(job, key, pass);
        return;
    }
    for (std::uint32_t index = 0; index < status.tasks.size(); ++index)
    {
        const task_status& task = status.tasks[index];
        if (task.done || !task.run_worker.empty() || task.not_before > pass.now)
            continue;
        const task_ref ref{job.spec.id, key.step, index};
        if (job.inherited && former.may_have_run(ref))
            continue;
        count_untraced_run(job, ref);
        if (is_final(job.state) || !place_task(job, key, index, pass))
            return;
    }
}

void scheduler::implementation::place_step(const step_key& key, decision_pass& pass)
{
    job_status* job = find_job(key.job);
    if (job == nullptr || is_final(job->state) || job->steps[key.step].remaining == 0)
    {
        open_steps.erase(key);
        return;
    }
    step_status& status = job->steps[key.step];
    status.passes_holds = may_pass_holds(*job, key.step, pass);
    const bool needs_ticket = policy_of(*job).advice.has_value();
    const bool is_gang = job->spec.steps[key.step].gang;
    const bool has_turn = status.turn_at == pass.now;
    // A waiting gang is planned also without tickets.
    const bool lacks_tickets =
        needs_ticket && !is_gang && status.tickets_until <= pass.now;
    if (pass.may_start &&
        (has_turn || (!lacks_tickets && is_within_limits(*job, key.step, pass))))
    {
        const std::size_t compared = pass.comparisons;
        place_waiting_tasks(*job, key, pass);
        if (is_final(job->state))
            return;
        if (!has_turn && (needs_ticket || is_gang || pass.comparisons != compared))
            ++pass.considered[{needs_ticket, is_gang}];
        if (waiting_tasks(status) == 0)
            open_steps.erase(key);
        status.considered_at = pass.now;
    }
    else if (lacks_tickets)
        status.considered_at = pass.now;
    if (needs_ticket)
        update_advice(*job, key, pass);
}

decisions scheduler::decide(boot_time now)
{
    implementation& self = *implementation_;
    self.expire_workers(now);
    self.end_lost_orders(now);
    self.repeat_stops(now);
    self.stop_stalled_runs(now);
    self.update_lateness(now);
    decision_pass pass;
    pass.now = now;
    pass.latest_start = self.latest_start(now);
    pass.may_start = pass.latest_start - now >= min_start_time;
    self.take_turns(now);
    const std::vector<step_key> startable = self.find_startable(now);
    self.permit_requests(startable, now);
    for (const step_key& key : startable)
        self.place_step(key, pass);
    self.report_pending(pass);
    self.metrics.add("hawthornbeam_step_comparisons_total", {},
                     static_cast<double>(pass.comparisons + pass.ordered_comparisons +
                                         pass.turn_comparisons));
    if (pass.starts_bounded)
        self.metrics.add("hawthornbeam_bounded_decisions_total", {});
    pass.out.stops = self.order_stops(now);
    return std::move(pass.out);
}

} // namespace hawthornbeam::cell
