/// \file
/// Jobs of the scheduler: their states, steps and tasks.
#include "cell_state.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <limits>

namespace hawthornbeam::cell
{

const char* to_string(job_state state)
{
    static constexpr std::array<const char*, 5> names{"queued", "running", "done",
                                                      "failed", "cancelled"};
    return names[static_cast<std::size_t>(state)];
}

const char* to_string(run_end outcome)
{
    static constexpr std::array<const char*, 11> names{"done",
                                                       "failed",
                                                       "stopped",
                                                       "lapsed",
                                                       "broken",
                                                       "alone",
                                                       "crashed",
                                                       "crash_suspect",
                                                       "crash_bystander",
                                                       "suspect_started",
                                                       "crashes_outlived"};
    return names[static_cast<std::size_t>(outcome)];
}

const char* to_string(command_outcome outcome)
{
    static constexpr std::array<const char*, 12> names{
        "accepted", "fenced",    "superseded",   "late",     "no_room",    "no_ticket",
        "invalid",  "unhealthy", "other_worker", "not_sent", "unanswered", "no_listener"};
    return names[static_cast<std::size_t>(outcome)];
}

void keep_saved(task_status& task, run_number run, const checkpoint& saved)
{
    if (saved.empty() || run < task.saved_by)
        return;
    task.saved = saved;
    task.saved_by = run;
}

const ended_run* count_run(task_status& task, run_number run, const worker_id& worker)
{
    const auto counted = std::ranges::find(task.ended_runs, run, &ended_run::run);
    if (counted != task.ended_runs.end())
        return &*counted;
    task.ended_runs.push_back({run, worker});
    task.last_run = std::max(task.last_run, run);
    return nullptr;
}

bool ended_alike(const task_status& one, const task_status& other)
{
    const auto has_ended_once = [](const task_status& task)
    {
        return task.done && task.ended_runs.size() == 1 && task.failures == 0 &&
               task.run_worker.empty() && task.failed_on.empty() &&
               task.crashes.crashes() == 0 && task.untraced_run == run_number();
    };
    return has_ended_once(one) && has_ended_once(other) &&
           one.last_run == other.last_run &&
           one.ended_runs.front().run == other.ended_runs.front().run;
}

scheduler::scheduler(const scheduler_limits& limits, const logger& log,
                     metrics_registry& metrics)
    : implementation_(std::make_unique<implementation>(limits, log, metrics))
{
}

scheduler::~scheduler() = default;

job_status* scheduler::implementation::find_job(const job_key& job)
{
    const auto found = jobs.find(job);
    return found == jobs.end() ? nullptr : &found->second;
}

task_status* scheduler::implementation::find_task(job_status* job, const task_ref& task)
{
    if (job == nullptr || task.step >= job->steps.size() ||
        task.index >= job->steps[task.step].tasks.size())
        return nullptr;
    return &job->steps[task.step].tasks.modify(task.index);
}

const queue_policy& scheduler::implementation::policy_of(const job_status& job) const
{
    // Nothing irrevocable is decided for a job whose queue is unknown: its tasks do not
    // start, and it does not fail.
    static const queue_policy unknown_queue = []
    {
        queue_policy policy;
        policy.priority = std::numeric_limits<int>::max();
        policy.attempts = std::numeric_limits<std::uint32_t>::max();
        return policy;
    }();
    const auto found = queues.find(job.spec.queue);
    return found == queues.end() ? unknown_queue : found->second;
}

step_key scheduler::implementation::key_of(const job_status& job,
                                           std::uint32_t step) const
{
    return step_key{job.lateness, policy_of(job).priority, job.submitted, job.spec.id,
                    step};
}

bool scheduler::implementation::is_ready(const job_status& job, std::uint32_t step) const
{
    return std::ranges::all_of(job.spec.steps[step].after, [&job](std::uint32_t earlier)
                               { return job.steps[earlier].remaining == 0; });
}

void scheduler::implementation::open_ready_steps(const job_status& job)
{
    for (std::uint32_t step = 0; step < job.steps.size(); ++step)
        if (job.steps[step].remaining > 0 && is_ready(job, step))
            open_steps.insert(key_of(job, step));
}

void scheduler::configure(const std::vector<queue_policy>& queues)
{
    implementation& self = *implementation_;
    std::set<queue_name> configured;
    for (const queue_policy& queue : queues)
        configured.insert(queue.name);
    self.drop_old_queues(configured);
    self.set_policies(queues);
}

void scheduler::implementation::drop_old_queues(const std::set<queue_name>& configured)
{
    std::erase_if(removed_queues, [&configured](const queue_name& name)
                  { return configured.contains(name); });
    for (const auto& [name, policy] : queues)
        if (!configured.contains(name) &&
            std::ranges::find(removed_queues, name) == removed_queues.end())
            removed_queues.push_back(name);
    if (removed_queues.size() <= max_removed_queues)
        return;
    std::set<queue_name> used;
    for (const auto& [id, job] : jobs)
        if (!is_final(job.state))
            used.insert(job.spec.queue);
    std::size_t excess = removed_queues.size() - max_removed_queues;
    std::erase_if(removed_queues,
                  [this, &used, &excess](const queue_name& name)
                  {
                      if (excess == 0 || used.contains(name))
                          return false;
                      --excess;
                      queues.erase(name);
                      return true;
                  });
}

void scheduler::implementation::set_policies(const std::vector<queue_policy>& given)
{
    std::set<queue_name> added;
    for (const queue_policy& queue : given)
        if (queues.insert_or_assign(queue.name, queue).second)
            added.insert(queue.name);
    // The keys contain priorities and lateness, so the set is rebuilt.
    open_steps.clear();
    for (auto& [id, job] : jobs)
    {
        if (is_final(job.state))
            continue;
        set_due(job);
        open_ready_steps(job);
        if (added.contains(job.spec.queue))
            fail_if_exhausted(job);
    }
}

bool scheduler::restore_queues(const std::vector<queue_policy>& queues)
{
    std::vector<queue_policy> missing;
    for (const queue_policy& queue : queues)
        if (!implementation_->queues.contains(queue.name))
            missing.push_back(queue);
    if (missing.empty())
        return false;
    implementation_->set_policies(missing);
    for (const queue_policy& queue : missing)
        implementation_->removed_queues.push_back(queue.name);
    return true;
}

std::vector<queue_policy> scheduler::queues() const
{
    std::vector<queue_policy> listed;
    for (const auto& [name, policy] : implementation_->queues)
        listed.push_back(policy);
    return listed;
}

void scheduler::set_term(owner_term term)
{
    constexpr std::uint32_t max_terms =
        std::numeric_limits<std::uint32_t>::max() / runs_per_term;
    const std::uint32_t former_terms = std::max(term.value(), 1U) - 1;
    if (former_terms >= max_terms)
        implementation_->log.error("cell", "run numbers may repeat",
                                   {{"term", std::uint64_t{term.value()}}});
    implementation_->former_runs =
        run_number(std::min(former_terms, max_terms - 1) * runs_per_term);
}

bool scheduler::add_job(job_spec job, bool inherited, boot_time submitted)
{
    implementation& self = *implementation_;
    const job_key id = job.id;
    if (self.jobs.contains(id))
        return false;
    job_status status;
    status.inherited = inherited;
    status.held = self.added_jobs_held;
    status.submitted = submitted;
    for (const step_spec& step : job.steps)
    {
        step_status& added = status.steps.emplace_back();
        task_status initial;
        if (inherited)
            initial.last_run = self.former_runs;
        added.tasks = task_table<task_status>(step.count, std::move(initial));
        added.remaining = step.count;
    }
    status.spec = std::move(job);
    const auto inserted = self.jobs.emplace(id, std::move(status)).first;
    ++self.open_job_count;
    self.set_due(inserted->second);
    self.open_ready_steps(inserted->second);
    self.adopt_listed_runs(inserted->second);
    const auto early = self.early_ends.find(id);
    if (early == self.early_ends.end())
        return true;
    const std::vector<std::pair<worker_id, ended_task>> ends = std::move(early->second);
    self.early_ends.erase(early);
    for (const auto& [worker, end] : ends)
        self.apply_early_end(worker, end);
    return true;
}

void scheduler::implementation::adopt_listed_runs(job_status& job)
{
    const task_ref first{job.spec.id, 0, 0};
    for (auto& [id, worker] : workers)
        for (auto run = worker.runs.lower_bound(first);
             run != worker.runs.end() && run->first.job == job.spec.id; ++run)
        {
            auto& [task, record] = *run;
            task_status* status = find_task(&job, task);
            if (status == nullptr)
                continue;
            resize_run(worker, record, job.spec.steps[task.step].size);
            status->last_run = std::max(status->last_run, record.run);
            adopt_run(worker, record, job, task);
        }
}

void scheduler::implementation::apply_early_end(const worker_id& worker,
                                                const ended_task& end)
{
    const auto found = workers.find(worker);
    if (found != workers.end())
        handle_end(found->second, end, found->second.contact_at);
}

void scheduler::restore_final(const job_key& job, job_state state)
{
    assert(is_final(state) && "only final states are stored without the job");
    job_status& status = implementation_->jobs[job];
    status.spec.id = job;
    status.state = state;
    status.final_stored = true;
}

bool scheduler::cancel(const job_key& job)
{
    implementation& self = *implementation_;
    job_status* found = self.find_job(job);
    if (found == nullptr)
        return false;
    if (!is_final(found->state))
        self.finish_job(*found, job_state::cancelled, "cancelled");
    return true;
}

std::optional<job_state> scheduler::state(const job_key& job) const
{
    const auto found = implementation_->jobs.find(job);
    if (found == implementation_->jobs.end())
        return std::nullopt;
    const job_status& status = found->second;
    // A cancel was already stored by the instance that received it. Other final states
    // are reported only after they are stored; otherwise a takeover could revert them.
    if (!is_final(status.state) || status.final_stored ||
        status.state == job_state::cancelled)
        return status.state;
    return job_state::running;
}

std::vector<queue_depth> scheduler::depths() const
{
    std::map<queue_name, std::uint64_t> counted;
    for (const auto& [name, policy] : implementation_->queues)
        counted[name] = 0;
    for (const auto& [id, job] : implementation_->jobs)
        if (!is_final(job.state) && !job.started)
            ++counted[job.spec.queue];
    std::vector<queue_depth> listed;
    listed.reserve(counted.size());
    for (const auto& [name, waiting] : counted)
        listed.push_back({name, waiting});
    return listed;
}

std::size_t scheduler::open_jobs() const
{
    return implementation_->open_job_count;
}

void scheduler::forget(const job_key& job)
{
    implementation_->jobs.erase(job);
}

void scheduler::implementation::finish_job(job_status& job, job_state state,
                                           const char* reason)
{
    assert(!is_final(job.state) && "a final state does not change");
    log.info(
        "cell", "job ended",
        {{"job", job.spec.id.value()}, {"state", to_string(state)}, {"reason", reason}});
    for (std::uint32_t step = 0; step < job.steps.size(); ++step)
        open_steps.erase(key_of(job, step));
    job.state = state;
    metrics.add("hawthornbeam_jobs_ended_total", {{"queue", job.spec.queue.value()},
                                                  {"state", to_string(state)},
                                                  {"reason", reason}});
    --open_job_count;
    changes.final_jobs.emplace_back(job.spec.id, state);
    // The final state is stored in the same batch, so the ends of the job's runs are not
    // needed.
    std::erase_if(changes.ends, [&job](const stored_end& end)
                  { return end.run.task.job == job.spec.id; });
    for (std::uint32_t step = 0; step < job.steps.size(); ++step)
        stop_runs(job, step);
}

void scheduler::implementation::record_started(job_status& job, boot_time now)
{
    if (!job.started)
        metrics.observe("hawthornbeam_job_wait_seconds",
                        {{"queue", job.spec.queue.value()}}, now - job.submitted);
    job.started = true;
    job.state = job_state::running;
}

void scheduler::implementation::stop_runs(const job_status& job, std::uint32_t step)
{
    job.steps[step].tasks.visit_changed(
        [this, &job, step](std::uint32_t index, const task_status& task)
        {
            if (!task.run_worker.empty())
                request_stop(task.run_worker, task_ref{job.spec.id, step, index});
        });
}

std::uint32_t scheduler::implementation::waiting_tasks(const step_status& step) const
{
    std::uint32_t waiting = step.tasks.size();
    step.tasks.visit_changed(
        [&waiting](std::uint32_t /*index*/, const task_status& task)
        { waiting -= !task.done && task.run_worker.empty() ? 0U : 1U; });
    return waiting;
}

void scheduler::implementation::task_done(job_status& job, const task_ref& task)
{
    step_status& step = job.steps[task.step];
    if (job.spec.steps[task.step].gang)
    {
        // The end of one member completes the whole gang.
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index)
            step.tasks.modify(index).done = true;
        step.remaining = 0;
    }
    else if (!step.tasks[task.index].done)
    {
        step.tasks.modify(task.index).done = true;
        --step.remaining;
        step.tasks.fold(task.index, ended_alike);
    }
    if (step.remaining == 0)
        step_done(job, task.step);
}

void scheduler::implementation::step_done(job_status& job, std::uint32_t step)
{
    open_steps.erase(key_of(job, step));
    const bool all = std::ranges::all_of(job.steps, [](const step_status& each)
                                         { return each.remaining == 0; });
    if (is_final(job.state))
        return;
    if (all)
        finish_job(job, job_state::done, "all tasks done");
    else
        open_ready_steps(job);
}

bool scheduler::implementation::task_failed(job_status& job, const run_ref& run)
{
    step_status& step = job.steps[run.task.step];
    if (job.spec.steps[run.task.step].gang)
        return step.failed_runs.insert(run.run).second;
    ++step.tasks.modify(run.task.index).failures;
    return true;
}

void scheduler::implementation::fail_if_exhausted(job_status& job)
{
    if (is_final(job.state))
        return;
    const std::size_t attempts = policy_of(job).attempts;
    for (std::uint32_t number = 0; number < job.steps.size(); ++number)
    {
        const step_status& step = job.steps[number];
        std::size_t failures = step.failed_runs.size();
        step.tasks.visit_changed(
            [&failures](std::uint32_t /*index*/, const task_status& task)
            { failures = std::max<std::size_t>(failures, task.failures); });
        if (!job.spec.steps[number].persistent && failures > 0 && failures >= attempts)
            return finish_job(job, job_state::failed, "failed runs");
    }
}

void scheduler::restore_end(const stored_end& end)
{
    implementation& self = *implementation_;
    job_status* job = self.find_job(end.run.task.job);
    task_status* task = implementation::find_task(job, end.run.task);
    if (task == nullptr || is_final(job->state))
        return;
    if (end.outcome == run_end::suspect_started)
    {
        task->last_run = std::max(task->last_run, end.run.run);
        task->untraced_run = std::max(task->untraced_run, end.run.run);
        return;
    }
    if (end.outcome == run_end::crashes_outlived)
    {
        task->last_run = std::max(task->last_run, end.run.run);
        task->crashes = crash_record();
        return;
    }
    if (count_run(*task, end.run.run, worker_id()) != nullptr)
        return;
    job->started = true;
    job->state = job_state::running;
    if (end.outcome == run_end::done)
        self.task_done(*job, end.run.task);
    else if (end.outcome == run_end::failed)
    {
        self.task_failed(*job, end.run);
        self.fail_if_exhausted(*job);
    }
    else if (is_crash(end.outcome))
    {
        task->crashes.add(end.outcome, std::nullopt);
        self.fail_if_crashing(*job);
    }
}

pending_changes scheduler::take_changes()
{
    implementation& self = *implementation_;
    pending_changes taken = std::exchange(self.changes, pending_changes());
    for (auto& [id, worker] : self.workers)
    {
        if (worker.covered == worker.processed)
            continue;
        worker.covered = worker.processed;
        taken.covered.push_back({id, worker.incarnation, worker.processed});
    }
    return taken;
}

void scheduler::stored(const pending_changes& batch, boot_time now)
{
    for (const auto& [id, state] : batch.final_jobs)
    {
        job_status* job = implementation_->find_job(id);
        if (job == nullptr)
            continue;
        job->final_stored = true;
        implementation_->metrics.observe("hawthornbeam_job_time_seconds",
                                         {{"queue", job->spec.queue.value()}},
                                         now - job->submitted);
    }
}

} // namespace hawthornbeam::cell
