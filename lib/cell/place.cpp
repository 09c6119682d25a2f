/// \file
/// Implements placement: which waiting tasks start on which workers.
#include "cell_state.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

/// Steps that one decision looks at, in order; the rest waits for the next one. Steps
/// with advice, which only look at the workers they have tickets for, are counted for
/// each host that can ask.
constexpr std::size_t max_steps = 96;
constexpr std::size_t max_advised_steps_each = 16;
/// Workers that a first question to the advice service names.
constexpr std::size_t min_asked = 8;
constexpr std::size_t max_asked = 40;
/// Share of workers that advice is assumed to allow.
constexpr double expected_good = 0.35;
/// Workers that a renewal of tickets names.
constexpr std::size_t max_renewed = 6;
/// Gangs for which workers are held back at a time.
constexpr std::uint32_t max_reserved_gangs = 3;
/// Steps of a queue that may wait with tickets: so many answering times of the advice
/// service fit into the life of a ticket on half of the asking hosts, within these
/// bounds.
constexpr std::int64_t min_waiting_steps = 3;
constexpr double max_waiting_steps_each = 2.7;
constexpr std::int64_t typical_advice_workers = 30;
/// Callers get some of the worth up to this many times the objective.
constexpr std::int64_t late_objectives = 3;
/// How often the lateness of waiting jobs is looked at.
constexpr duration age_period = std::chrono::milliseconds(50);
/// A question without an answer is asked again.
constexpr duration advice_limit = std::chrono::seconds(4);

std::int64_t fits(const resources& size, const resources& room)
{
    std::int64_t most = INT32_MAX;
    if (size.processors.value() > 0)
        most = std::min(most, room.processors.value() / size.processors.value());
    if (size.memory.value() > 0)
        most = std::min(most, room.memory.value() / size.memory.value());
    if (size.accelerators.value() > 0)
        most = std::min(most, room.accelerators.value() / size.accelerators.value());
    return std::max<std::int64_t>(most, 0);
}

} // namespace

bool scheduler::implementation::can_run(const worker_status& candidate,
                                        const job_status& job, std::uint32_t step,
                                        boot_time now) const
{
    const step_spec& spec = job.spec.steps[step];
    const worker_info& info = candidate.info;
    if (!candidate.described || !candidate.allowed || !candidate.polled ||
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
    job.value_lost_at = job.submitted + late_objectives * objective;
}

int scheduler::implementation::lateness_of(const job_status& job, std::uint32_t step,
                                           boot_time now)
{
    // A step that cannot end in time any more counts as late already.
    const boot_time end = now + job.spec.steps[step].estimate;
    return end > job.value_lost_at ? 2 : end > job.due ? 1 : 0;
}

void scheduler::implementation::age_jobs(boot_time now)
{
    if (now - aged_at < age_period)
        return;
    aged_at = now;
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

worker_status* scheduler::implementation::choose(
    const job_status& job, const step_key& key, const decision_pass& pass,
    const std::map<worker_id, resources>& taken,
    const std::map<worker_id, std::uint32_t>& placed, const worker_id& avoid)
{
    const step_spec& spec = job.spec.steps[key.step];
    const step_status& status = job.steps[key.step];
    worker_status* best = nullptr;
    std::int64_t best_score = 0;
    const auto weigh = [&](const worker_id& id, worker_status& candidate)
    {
        resources room = candidate.info.capacity - candidate.used;
        const auto reserved = taken.find(id);
        if (reserved != taken.end())
            room -= reserved->second;
        if (!spec.size.fits_in(room) || !can_run(candidate, job, key.step, pass.now))
            return;
        const auto held = pass.reserved.find(id);
        if (held != pass.reserved.end() && held->second < key)
            return;
        if (spec.per_worker > 0)
        {
            const auto on_worker = placed.find(id);
            if (on_worker != placed.end() && on_worker->second >= spec.per_worker)
                return;
        }
        // The fullest worker that fits keeps large free blocks whole. Data of another
        // rack and a worker on which the task failed cost more than any packing.
        constexpr std::int64_t far_penalty = 1'000'000;
        constexpr std::int64_t failed_penalty = 10'000'000;
        std::int64_t score = room.processors.value();
        if (!spec.data_rack.empty() && candidate.info.rack != spec.data_rack)
            score += far_penalty;
        if (id == avoid)
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
                weigh(id, found->second);
        }
        return best;
    }
    for (auto& [id, candidate] : workers)
        weigh(id, candidate);
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
    // An earlier run that is still being stopped here is refused after this one.
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
    std::map<worker_id, std::uint32_t> placed;
    if (job.spec.steps[key.step].per_worker > 0)
        for (const task_status& other : step.tasks)
            if (!other.run_worker.empty())
                ++placed[other.run_worker];
    const task_status& status = step.tasks[index];
    worker_status* target = choose(job, key, pass, {}, placed, status.failed_on);
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
    // A start of the former owner that was refused or lost was reported to nobody, and
    // can no longer be carried out: the members that are there would wait in vain.
    if (job.inherited && status.occupied > 0 && status.occupied < status.tasks.size())
        break_gang(job, key.step, pass.now);
    // Members of one run carry the same number and the same saved state.
    if (status.occupied > 0 || status.not_before > pass.now)
        return true;
    std::map<worker_id, resources> taken;
    std::map<worker_id, std::uint32_t> placed;
    std::vector<worker_status*> targets;
    run_number run;
    checkpoint saved;
    for (const task_status& member : status.tasks)
    {
        worker_status* target = choose(job, key, pass, taken, placed, member.failed_on);
        if (target == nullptr)
            return false;
        targets.push_back(target);
        taken[target->info.id] += job.spec.steps[key.step].size;
        ++placed[target->info.id];
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
        slots += fits(spec.size, capacity);
        candidates.emplace_back((candidate.used.processors - capacity.processors).value(),
                                id);
    }
    // Workers held back for a gang that they can never hold would be wasted.
    if (slots < static_cast<std::int64_t>(spec.count))
        return;
    std::ranges::sort(candidates);
    // About half of a worker becomes free while the gang waits.
    std::int64_t expected = 0;
    for (const auto& [taken, id] : candidates)
    {
        if (expected >= static_cast<std::int64_t>(spec.count))
            break;
        const std::int64_t whole = fits(spec.size, workers.at(id).info.capacity);
        expected += std::max<std::int64_t>(1, whole / 2);
        pass.reserved.emplace(id, key);
    }
    ++pass.reserved_gangs;
}

bool scheduler::implementation::may_request_advice(const job_status& job,
                                                   decision_pass& pass) const
{
    const advice_policy& advice = *policy_of(job).advice;
    const duration cost = advice.answer_time(typical_advice_workers);
    const std::int64_t hosts = advice_hosts;
    const std::int64_t bound = std::max<std::int64_t>(
        min_waiting_steps, std::llround(max_waiting_steps_each * advice_hosts));
    const std::int64_t most =
        cost <= duration::zero()
            ? bound
            : std::clamp(advice.valid * hosts / (2 * cost), min_waiting_steps, bound);
    return ++pass.waiting_with_advice[job.spec.queue] <= static_cast<std::uint64_t>(most);
}

void scheduler::implementation::request_advice(job_status& job, const step_key& key,
                                               decision_pass& pass)
{
    const boot_time now = pass.now;
    const std::uint32_t step = key.step;
    step_status& status = job.steps[step];
    if (status.advice_requested_at && now - *status.advice_requested_at < advice_limit)
        return;
    const step_spec& spec = job.spec.steps[step];
    const std::size_t waiting = waiting_tasks(status);
    std::vector<std::tuple<std::int64_t, std::size_t, worker_id>> unknown;
    std::vector<std::pair<std::int64_t, worker_id>> renewable;
    std::int64_t permitted_room = 0;
    // Workers of equal room are ordered differently for each job. Steps that ask at the
    // same time would otherwise get tickets for the same workers and wait for each other.
    const std::hash<std::string> mix;
    for (const auto& [id, candidate] : workers)
    {
        if (!can_run(candidate, job, step, now))
            continue;
        std::int64_t room = fits(spec.size, candidate.info.capacity - candidate.used);
        const auto held = pass.reserved.find(id);
        if (held != pass.reserved.end() && held->second < key)
            room = 0;
        if (spec.per_worker > 0)
            room = std::min<std::int64_t>(room, spec.per_worker);
        const auto permitted = status.tickets.find(id);
        if (permitted == status.tickets.end())
        {
            if (!status.asked.contains(id))
                unknown.emplace_back(-room, mix(job.spec.id.value() + id.value()), id);
        }
        else if (permitted->second.until > now)
            permitted_room += room;
        else if (room > 0)
            renewable.emplace_back(-room, id);
    }
    if (permitted_room >= static_cast<std::int64_t>(waiting))
        return;
    std::ranges::sort(unknown);
    std::ranges::sort(renewable);
    advice_command command;
    command.job = job.spec.id;
    command.step = step;
    std::int64_t renewed_room = permitted_room;
    for (const auto& [room, id] : renewable)
    {
        if (command.workers.size() >= max_renewed + waiting / 4 ||
            renewed_room >= static_cast<std::int64_t>(2 * waiting))
            break;
        command.workers.push_back(id);
        renewed_room -= room;
    }
    // Only when the permitted workers cannot hold the waiting tasks, others are asked
    // about, and those without room only by the first question.
    const bool first = status.asked.empty();
    if (renewed_room < static_cast<std::int64_t>(waiting))
    {
        double expected = 0;
        const double wanted =
            2.0 * (static_cast<double>(waiting) - static_cast<double>(renewed_room));
        std::size_t named = 0;
        for (const auto& [room, order_of_job, id] : unknown)
        {
            if (named >= max_asked || (named >= min_asked && expected >= wanted) ||
                (room == 0 && !first))
                break;
            command.workers.push_back(id);
            expected -= static_cast<double>(room) * expected_good;
            ++named;
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
    self.move_stalled(now);
    self.age_jobs(now);
    decision_pass pass;
    pass.now = now;
    std::vector<step_key> considered;
    std::size_t without_advice = 0;
    for (const step_key& key : self.open_steps)
    {
        if (considered.size() >= max_advised_steps_each * self.advice_hosts)
            break;
        // A step that needs no ticket is weighed against all workers.
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
        const auto holder = self.workers.find(stop.worker);
        if (holder == self.workers.end())
            continue;
        const auto record = holder->second.runs.find(stop.run.task);
        if (record != holder->second.runs.end())
            record->second.command_sent_at = now;
    }
    return std::move(pass.out);
}

} // namespace hawthornbeam::cell
