/// \file
/// Placement: decides which waiting tasks start on which workers.
#include "cell_state.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

/// Maximum number of steps that one decision considers; the others wait for the next
/// decision. `max_steps` applies to steps without advice, which are compared with all
/// workers. Steps with advice are compared only with workers that they have tickets for,
/// so the limit for all steps is higher: `max_advised_steps_each` for each host that can
/// send requests to the advice service.
constexpr std::size_t max_steps = 96;
constexpr std::size_t max_advised_steps_each = 16;
/// Bounds for the number of workers without known advice in one request to the advice
/// service.
constexpr std::size_t min_asked = 8;
constexpr std::size_t max_asked = 40;
/// Fraction of the requested workers for which the advice service is assumed to issue a
/// ticket.
constexpr double expected_allowed_fraction = 0.35;
/// Maximum number of workers whose expired tickets one request renews; a step with many
/// waiting tasks may renew more.
constexpr std::size_t max_renewed = 6;
/// Maximum number of gangs with reserved workers.
constexpr std::uint32_t max_reserved_gangs = 3;
/// Bounds for the number of steps of a queue that may request advice. The number is how
/// many requests half of the hosts can complete within the lifetime of a ticket. The
/// upper bound is per host.
constexpr std::int64_t min_waiting_steps = 3;
constexpr double max_waiting_steps_each = 2.7;
/// Typical number of workers in one request, used to estimate response times.
constexpr std::int64_t typical_advice_workers = 30;
/// A result keeps part of its value up to this many times the objective.
constexpr std::int64_t value_loss_factor = 3;
/// Interval between updates of the lateness of waiting jobs.
constexpr duration lateness_update_period = std::chrono::milliseconds(50);
/// A request to the advice service that got no answer is repeated after this time.
constexpr duration advice_timeout = std::chrono::seconds(4);

/// Returns how many tasks of \p size fit into \p free_capacity.
std::int64_t tasks_that_fit(const resources& size, const resources& free_capacity)
{
    std::int64_t count = INT32_MAX;
    if (size.processors.value() > 0)
        count =
            std::min(count, free_capacity.processors.value() / size.processors.value());
    if (size.memory.value() > 0)
        count = std::min(count, free_capacity.memory.value() / size.memory.value());
    if (size.accelerators.value() > 0)
        count = std::min(count,
                         free_capacity.accelerators.value() / size.accelerators.value());
    return std::max<std::int64_t>(count, 0);
}

} // namespace

bool scheduler::implementation::can_run(const worker_status& candidate,
                                        const job_status& job, std::uint32_t step,
                                        boot_time now) const
{
    const step_spec& spec = job.spec.steps[step];
    const worker_info& info = candidate.info;
    if (!candidate.has_entry || !candidate.allowed || !candidate.polled ||
        info.draining || info.incarnation != candidate.incarnation ||
        info.service != policy_of(job).service || candidate.quarantined_until > now ||
        now - candidate.contact_at > limits.answer_limit * 2)
        return false;
    if (!spec.label.empty() &&
        std::ranges::find(info.labels, spec.label) == info.labels.end())
        return false;
    return spec.size.fits_in(info.capacity);
}

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
    return end > job.value_lost_at ? 2 : end > job.due ? 1 : 0;
}

void scheduler::implementation::update_lateness(boot_time now)
{
    if (now - lateness_updated_at < lateness_update_period)
        return;
    lateness_updated_at = now;
    std::vector<step_key> changed;
    for (const step_key& key : open_steps)
    {
        const job_status* job = find_job(key.job);
        if (job != nullptr && !is_final(job->state) &&
            lateness_of(*job, key.step, now) > job->lateness)
            changed.push_back(key);
    }
    for (const step_key& key : changed)
    {
        job_status* job = find_job(key.job);
        for (std::uint32_t step = 0; step < job->steps.size(); ++step)
            open_steps.erase(key_of(*job, step));
        job->lateness = lateness_of(*job, key.step, now);
        open_ready_steps(*job);
    }
}

worker_status* scheduler::implementation::choose_worker(
    const job_status& job, const step_key& key, const decision_pass& pass,
    const std::map<worker_id, resources>& assigned_capacity,
    const std::map<worker_id, std::uint32_t>& tasks_on_worker, const worker_id& failed_on)
{
    const step_spec& spec = job.spec.steps[key.step];
    const step_status& status = job.steps[key.step];
    worker_status* best = nullptr;
    std::int64_t best_score = 0;
    const auto consider = [&](const worker_id& id, worker_status& candidate)
    {
        resources free_capacity = candidate.info.capacity - candidate.used;
        const auto assigned = assigned_capacity.find(id);
        if (assigned != assigned_capacity.end())
            free_capacity -= assigned->second;
        if (!spec.size.fits_in(free_capacity) ||
            !can_run(candidate, job, key.step, pass.now))
            return;
        const auto reservation = pass.reserved.find(id);
        if (reservation != pass.reserved.end() && reservation->second < key)
            return;
        if (spec.per_worker > 0)
        {
            const auto on_worker = tasks_on_worker.find(id);
            if (on_worker != tasks_on_worker.end() &&
                on_worker->second >= spec.per_worker)
                return;
        }
        // The fullest worker that fits is best, since this avoids fragmentation of the
        // free capacity. Input data in another rack and an earlier failure of the task on
        // the worker weigh more than packing.
        constexpr std::int64_t far_penalty = 1'000'000;
        constexpr std::int64_t failed_penalty = 10'000'000;
        std::int64_t score = free_capacity.processors.value();
        if (!spec.data_rack.empty() && candidate.info.rack != spec.data_rack)
            score += far_penalty;
        if (id == failed_on)
            score += failed_penalty;
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
            const auto found = workers.find(id);
            if (permitted.until > pass.now && found != workers.end())
                consider(id, found->second);
        }
        return best;
    }
    for (auto& [id, candidate] : workers)
        consider(id, candidate);
    return best;
}

void scheduler::implementation::start(job_status& job, const task_ref& task,
                                      run_number run, worker_status& target,
                                      decision_pass& pass)
{
    const boot_time now = pass.now;
    step_status& step = job.steps[task.step];
    task_status& status = step.tasks[task.index];
    run_record record;
    record.run = run;
    record.size = job.spec.steps[task.step].size;
    record.command_sent_at = now;
    target.used += record.size;
    // Replaces the record of an earlier run that is still being stopped on this worker.
    // The worker refuses the earlier run once it has received this one.
    run_record& kept = target.runs[task];
    target.used -= kept.size;
    kept = record;
    status.run_worker = target.info.id;
    status.last_run = run;
    ++step.occupied;
    record_started(job, now);
    metrics.add("hawthornbeam_starts_ordered_total", {{"queue", job.spec.queue.value()}});
    start_command command;
    command.worker = target.info.id;
    command.address = target.info.address;
    command.run = {task, run};
    command.payload = job.spec.payload;
    const duration since = now - target.clock_at + limits.start_deadline;
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

bool scheduler::implementation::place_task(job_status& job, const step_key& key,
                                           std::uint32_t index, decision_pass& pass)
{
    const step_status& step = job.steps[key.step];
    std::map<worker_id, std::uint32_t> tasks_on_worker;
    if (job.spec.steps[key.step].per_worker > 0)
        for (const task_status& other : step.tasks)
            if (!other.run_worker.empty())
                ++tasks_on_worker[other.run_worker];
    const task_status& status = step.tasks[index];
    worker_status* target =
        choose_worker(job, key, pass, {}, tasks_on_worker, status.failed_on);
    if (target == nullptr)
        return false;
    start(job, task_ref{job.spec.id, key.step, index}, status.last_run.next(), *target,
          pass);
    return true;
}

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

bool scheduler::implementation::may_request_advice(const job_status& job,
                                                   decision_pass& pass) const
{
    const advice_policy& advice = *policy_of(job).advice;
    const duration answer_duration = advice.answer_time(typical_advice_workers);
    const std::int64_t hosts = advice_hosts;
    const std::int64_t bound = std::max<std::int64_t>(
        min_waiting_steps, std::llround(max_waiting_steps_each * advice_hosts));
    const std::int64_t max_requesting =
        answer_duration <= duration::zero()
            ? bound
            : std::clamp(advice.valid * hosts / (2 * answer_duration), min_waiting_steps,
                         bound);
    return ++pass.waiting_with_advice[job.spec.queue] <=
           static_cast<std::uint64_t>(max_requesting);
}

void scheduler::implementation::request_advice(job_status& job, const step_key& key,
                                               decision_pass& pass)
{
    const boot_time now = pass.now;
    const std::uint32_t step = key.step;
    step_status& status = job.steps[step];
    if (status.advice_requested_at && now - *status.advice_requested_at < advice_timeout)
        return;
    const step_spec& spec = job.spec.steps[step];
    const std::size_t waiting = waiting_tasks(status);
    std::vector<std::tuple<std::int64_t, std::size_t, worker_id>> unknown;
    std::vector<std::pair<std::int64_t, worker_id>> renewable;
    std::int64_t ticketed_slots = 0;
    // Workers with equal free capacity are sorted by a hash that differs for each job.
    // Otherwise, steps that send requests at the same time would get tickets for the same
    // workers and wait for each other.
    const std::hash<std::string> hash_string;
    for (const auto& [id, candidate] : workers)
    {
        if (!can_run(candidate, job, step, now))
            continue;
        std::int64_t free_slots =
            tasks_that_fit(spec.size, candidate.info.capacity - candidate.used);
        const auto reservation = pass.reserved.find(id);
        if (reservation != pass.reserved.end() && reservation->second < key)
            free_slots = 0;
        if (spec.per_worker > 0)
            free_slots = std::min<std::int64_t>(free_slots, spec.per_worker);
        const auto permitted = status.tickets.find(id);
        if (permitted == status.tickets.end())
        {
            if (!status.asked.contains(id))
                unknown.emplace_back(-free_slots,
                                     hash_string(job.spec.id.value() + id.value()), id);
        }
        else if (permitted->second.until > now)
            ticketed_slots += free_slots;
        else if (free_slots > 0)
            renewable.emplace_back(-free_slots, id);
    }
    if (ticketed_slots >= static_cast<std::int64_t>(waiting))
        return;
    std::ranges::sort(unknown);
    std::ranges::sort(renewable);
    advice_command command;
    command.job = job.spec.id;
    command.step = step;
    std::int64_t renewed_slots = ticketed_slots;
    for (const auto& [negated_slots, id] : renewable)
    {
        if (command.workers.size() >= max_renewed + waiting / 4 ||
            renewed_slots >= static_cast<std::int64_t>(2 * waiting))
            break;
        command.workers.push_back(id);
        renewed_slots -= negated_slots;
    }
    // Request advice about more workers only when the waiting tasks do not fit on those
    // with valid or renewed tickets. Only the first request names workers without free
    // capacity.
    const bool first_request = status.asked.empty();
    if (renewed_slots < static_cast<std::int64_t>(waiting))
    {
        double expected = 0;
        const double needed =
            2.0 * (static_cast<double>(waiting) - static_cast<double>(renewed_slots));
        std::size_t added = 0;
        for (const auto& [negated_slots, tie_breaker, id] : unknown)
        {
            if (added >= max_asked || (added >= min_asked && expected >= needed) ||
                (negated_slots == 0 && !first_request))
                break;
            command.workers.push_back(id);
            expected -= static_cast<double>(negated_slots) * expected_allowed_fraction;
            ++added;
        }
    }
    if (command.workers.empty())
        return;
    for (const worker_id& id : command.workers)
        status.asked.insert(id);
    status.advice_requested_at = now;
    pass.out.advice.push_back(std::move(command));
}

void scheduler::implementation::place_step(const step_key& key, decision_pass& pass)
{
    const std::uint32_t step = key.step;
    job_status* job = find_job(key.job);
    if (job == nullptr || is_final(job->state) || job->steps[step].remaining == 0)
    {
        open_steps.erase(key);
        return;
    }
    step_status& status = job->steps[step];
    if (job->inherited && (inherited_held || !unsettled.empty()))
        return;
    if (job->spec.steps[step].gang)
    {
        if (!place_gang(*job, key, pass))
            reserve_workers(*job, key, pass);
    }
    else
        for (std::uint32_t index = 0; index < status.tasks.size(); ++index)
        {
            const task_status& task = status.tasks[index];
            if (task.done || !task.run_worker.empty())
                continue;
            if (!place_task(*job, key, index, pass))
                break;
        }
    if (waiting_tasks(status) == 0)
        open_steps.erase(key);
    else if (policy_of(*job).advice && may_request_advice(*job, pass))
        request_advice(*job, key, pass);
}

duration scheduler::advice_duration(const advice_command& command) const
{
    const job_status* job = implementation_->find_job(command.job);
    if (job == nullptr || !implementation_->policy_of(*job).advice)
        return duration::zero();
    return implementation_->policy_of(*job).advice->answer_time(
        static_cast<std::int64_t>(command.workers.size()));
}

void scheduler::set_advice_hosts(std::uint32_t hosts)
{
    implementation_->advice_hosts = std::max(hosts, min_advice_hosts);
}

decisions scheduler::decide(boot_time now)
{
    implementation& self = *implementation_;
    self.expire_workers(now);
    self.repeat_stops(now);
    self.stop_stalled_runs(now);
    self.update_lateness(now);
    decision_pass pass;
    pass.now = now;
    std::vector<step_key> considered;
    std::size_t without_advice = 0;
    for (const step_key& key : self.open_steps)
    {
        if (considered.size() >= max_advised_steps_each * self.advice_hosts)
            break;
        // A step that needs no ticket is compared with all workers.
        const job_status* job = self.find_job(key.job);
        if (job != nullptr && !self.policy_of(*job).advice &&
            ++without_advice > max_steps)
            continue;
        considered.push_back(key);
    }
    for (const step_key& key : considered)
        self.place_step(key, pass);
    decisions& out = pass.out;
    out.stops = std::exchange(self.stops, {});
    for (const stop_command& stop : out.stops)
    {
        const auto worker = self.workers.find(stop.worker);
        if (worker == self.workers.end())
            continue;
        const auto record = worker->second.runs.find(stop.run.task);
        if (record != worker->second.runs.end())
            record->second.command_sent_at = now;
    }
    return std::move(pass.out);
}

} // namespace hawthornbeam::cell
