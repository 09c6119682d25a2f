/// \file
/// Workers of the scheduler: entries, leases and health.
#include "cell_state.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

/// Part of the drain limit that allows for the drift of a worker's clock and the lag of
/// its reading.
constexpr duration drain_margin = std::chrono::milliseconds(100);

} // namespace

void scheduler::update_worker(const worker_info& worker, boot_time now)
{
    worker_status& status = implementation_->find_or_add_worker(worker.id, now);
    if (status.has_entry && worker.draining && !status.info.draining)
        implementation_->log.info("cell", "worker is draining",
                                  {{"worker", worker.id.value()}});
    if (status.info.address != worker.address)
        status.ended_unpolled_since = boot_time();
    status.info = worker;
    status.has_entry = true;
}

void scheduler::remove_worker(const worker_id& worker, boot_time now)
{
    const auto found = implementation_->workers.find(worker);
    if (found == implementation_->workers.end() || !found->second.has_entry)
        return;
    implementation_->log.info(
        "cell", "worker entry removed",
        {{"worker", worker.value()}, {"runs", std::uint64_t{found->second.runs.size()}}});
    found->second.has_entry = false;
    // A worker that was neither expected nor polled has no runs, so that nothing waits
    // for it.
    if (found->second.polled || found->second.process_ended ||
        found->second.ended_unpolled_since == boot_time())
        return;
    // Without an entry there is no newer address either.
    found->second.process_ended = true;
    implementation_->mark_settled(worker, now);
}

void scheduler::expect_workers(const std::vector<worker_id>& workers, boot_time now)
{
    implementation_->expected_at = now;
    for (const worker_id& id : workers)
    {
        implementation_->find_or_add_worker(id, now);
        implementation_->former.expect_worker(id);
    }
}

void scheduler::expect_agents(std::set<instance_id> agents)
{
    implementation_->former.expect_agents(std::move(agents));
}

void scheduler::restore_calls(const std::vector<worker_calls>& calls, boot_time now)
{
    implementation_->former.restore_calls(calls, now);
}

std::optional<std::vector<worker_calls>> scheduler::known_calls() const
{
    if (!implementation_->former.knows_calls())
        return std::nullopt;
    return implementation_->former.calls();
}

void scheduler::observe(const instance_id& agent, const former_calls& calls,
                        boot_time now)
{
    former_run_tracker& former = implementation_->former;
    const bool recorded = former.record_calls(agent, calls, now);
    if (!recorded && calls.complete)
        return;
    const std::chrono::milliseconds waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            now - implementation_->expected_at);
    implementation_->log.info("cell", "former calls received",
                              {{"agent", agent.value()},
                               {"complete", calls.complete ? 1 : 0},
                               {"workers", std::uint64_t{calls.workers.size()}},
                               {"tasks_held", std::uint64_t{former.tasks()}},
                               {"awaited", std::uint64_t{former.awaited_agents()}},
                               {"waited_ms", std::int64_t{waited.count()}}});
}

void scheduler::hold_added_jobs()
{
    implementation_->added_jobs_held = true;
}

void scheduler::release_added_jobs()
{
    if (!std::exchange(implementation_->added_jobs_held, false))
        return;
    for (auto& [id, job] : implementation_->jobs)
        job.held = false;
}

bool scheduler::holds_added_jobs() const
{
    return implementation_->added_jobs_held;
}

std::vector<worker_info> scheduler::workers() const
{
    std::vector<worker_info> listed;
    listed.reserve(implementation_->workers.size());
    for (const auto& [id, status] : implementation_->workers)
        listed.push_back(status.info);
    return listed;
}

void scheduler::allow_worker(const worker_id& worker, bool allowed)
{
    const auto found = implementation_->workers.find(worker);
    if (found != implementation_->workers.end())
        found->second.allowed = allowed;
}

std::size_t scheduler::awaited_agents() const
{
    return implementation_->former.awaited_agents();
}

bool scheduler::is_settled() const
{
    return implementation_->former.is_settled();
}

void scheduler::confirm_claim(boot_time at)
{
    implementation_->claim_confirmed_at = at;
}

void scheduler::confirm_workers(boot_time at)
{
    implementation_->workers_confirmed_at = at;
}

boot_time scheduler::implementation::latest_start(boot_time now) const
{
    const boot_time by_deadline = now + limits.start_deadline;
    if (workers_confirmed_at >= now)
        return by_deadline;
    return std::min(by_deadline,
                    workers_confirmed_at + limits.drain_limit - drain_margin);
}

void scheduler::implementation::mark_settled(const worker_id& id, boot_time now)
{
    if (!former.settle(id) || !former.is_settled())
        return;
    const std::chrono::milliseconds waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - expected_at);
    log.info("cell", "all expected workers polled or expired",
             {{"waited_ms", std::int64_t{waited.count()}}, {"last", id.value()}});
}

bool scheduler::implementation::waits_for_former_runs(const job_status& job,
                                                      std::uint32_t step) const
{
    if (!job.inherited || former.is_settled())
        return false;
    if (!former.knows_calls() || job.spec.steps[step].gang)
        return former.may_have_run(job.spec.id, step);
    const task_table<task_status>& tasks = job.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
        if (!tasks[index].done && tasks[index].run_worker.empty() &&
            !former.may_have_run({job.spec.id, step, index}))
            return false;
    return true;
}

void scheduler::implementation::expire_workers(boot_time now)
{
    const boot_time confirmed_at = std::min(now, claim_confirmed_at);
    for (auto entry = workers.begin(); entry != workers.end();)
    {
        worker_status& worker = entry->second;
        std::erase_if(worker.abandoned, [now](const abandoned_start& each)
                      { return now - each.at > late_command_limit; });
        // A worker that this owner has polled refuses starts with lower fencing tokens,
        // so it can have no runs besides those recorded here.
        const bool has_left = !worker.has_entry &&
                              (worker.polled || worker.process_ended) &&
                              worker.runs.empty() && worker.abandoned.empty();
        const lease_bound leases = bound_leases(
            limits, {worker.polled || worker.process_ended, worker.contact_at,
                     worker.misdirected_until, former.last_call_at(entry->first)});
        if (!has_left && confirmed_at > leases.listed)
            expire_runs(worker, leases, confirmed_at, now);
        if (!has_left && confirmed_at <= leases.other)
        {
            ++entry;
            continue;
        }
        if (former.is_expected(entry->first))
            log.warning("cell", "expected worker not polled",
                        {{"worker", entry->first.value()},
                         {"runs", std::uint64_t{worker.runs.size()}},
                         {"entry_incarnation", worker.info.incarnation.value()},
                         {"calls_known", former.knows_calls() ? 1 : 0},
                         {"waited_ms", std::int64_t{(now - expected_at) /
                                                    std::chrono::milliseconds(1)}}});
        mark_settled(entry->first, now);
        worker.polled = false;
        if (worker.has_entry)
        {
            ++entry;
            continue;
        }
        outliers.forget(entry->first);
        end_orders(worker);
        entry = workers.erase(entry);
    }
}

task_ref scheduler::implementation::failing_unit(const job_status& job,
                                                 const task_ref& task)
{
    task_ref unit = task;
    if (job.spec.steps[task.step].gang)
        unit.index = 0;
    return unit;
}

void scheduler::implementation::record_health(job_status& job, const worker_id& worker,
                                              const task_ref& task, bool failed,
                                              boot_time now)
{
    const task_ref unit = failing_unit(job, task);
    std::set<worker_id>& failed_on =
        job.steps[unit.step].tasks.modify(unit.index).failed_on;
    if (job.spec.steps[unit.step].persistent)
    {
        // Such tasks may fail at any time, and never succeed.
        if (failed)
            failed_on = {worker};
        return;
    }
    if (failed)
        failed_on.insert(worker);
    outliers.set_workers(static_cast<std::size_t>(std::ranges::count_if(
        workers, [](const std::pair<const worker_id, worker_status>& entry)
        { return entry.second.has_entry; })));
    for (const quarantine_change& change :
         failed ? outliers.record_failure(worker, unit, now)
                : outliers.record_success(worker, unit, now))
        apply(change);
}

void scheduler::implementation::apply(const quarantine_change& change)
{
    const auto found = workers.find(change.worker);
    if (found == workers.end())
        return;
    found->second.quarantined_until = change.until;
    const std::int64_t others_percent =
        std::llround(change.others_failing * complete_percent);
    if (change.until == boot_time())
    {
        metrics.add("hawthornbeam_quarantines_lifted_total", {});
        log.info("cell", "quarantine lifted",
                 {{"worker", change.worker.value()},
                  {"failures", std::uint64_t{change.failures}},
                  {"others_failing_percent", others_percent}});
        return;
    }
    last_quarantine_until = std::max(last_quarantine_until, change.until);
    metrics.add("hawthornbeam_quarantines_total", {});
    log.warning("cell", "worker quarantined",
                {{"worker", change.worker.value()},
                 {"times", std::uint64_t{change.times}},
                 {"failures", std::uint64_t{change.failures}},
                 {"others_failing_percent", others_percent}});
}

bool scheduler::implementation::needs_quarantined(const job_status& job,
                                                  std::uint32_t step, boot_time now) const
{
    const step_spec& spec = job.spec.steps[step];
    const step_status& status = job.steps[step];
    const bool needs_ticket = policy_of(job).advice.has_value();
    const std::int64_t needed = spec.gang || spec.per_worker > 0 ? spec.count : 1;
    std::int64_t places = 0;
    for (const auto& [id, candidate] : workers)
    {
        if (candidate.quarantined_until > now || !can_run(candidate, job, step, now) ||
            (needs_ticket && !status.tickets.contains(id) && status.asked.contains(id)))
            continue;
        const std::int64_t fitting = tasks_that_fit(spec.size, candidate.info.capacity);
        places += spec.per_worker > 0 ? std::min<std::int64_t>(fitting, spec.per_worker)
                                      : fitting;
        if (places >= needed)
            return false;
    }
    return true;
}

} // namespace hawthornbeam::cell
