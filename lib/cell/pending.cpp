/// \file
/// Finds and reports why ready tasks do not start.
#include "pending.hpp"

#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Interval between two searches for steps that wait too long.
constexpr duration review_period = std::chrono::milliseconds(500);
/// A step is reported when it has waited for this long, and again after each doubling.
constexpr duration first_report = std::chrono::seconds(2);
/// Maximum number of steps that one search examines; the others follow in the next ones.
constexpr std::size_t max_examined = 32;

} // namespace

const char* to_string(pending_reason reason)
{
    static constexpr std::array<const char*, pending_reasons> names{
        "queue_unknown",      "cancels_not_read", "worker_list_old",
        "former_runs",        "gang_restarts",    "step_limit",
        "no_suitable_worker", "workers_away",     "workers_quarantined",
        "advice_limit",       "advice_requested", "not_admitted",
        "tickets_expired",    "no_room",          "room_held",
        "workers_observed",   "task_spread",      "starts_bounded",
        "not_placed"};
    return names[static_cast<std::size_t>(reason)];
}

pending_reason explain(const barrier_counts& counts, const pending_step& step)
{
    std::uint64_t suitable = 0;
    for (const std::uint64_t each : counts.workers)
        suitable += each;
    suitable -= counts[worker_barrier::unsuitable];
    if (suitable == 0)
        return pending_reason::no_suitable_worker;
    if (counts.places >= step.places_needed)
        return pending_reason::not_placed;
    if (2 * counts[worker_barrier::quarantined] >= suitable)
        return pending_reason::workers_quarantined;
    if (2 * counts[worker_barrier::away] >= suitable)
        return pending_reason::workers_away;
    if (counts[worker_barrier::not_asked] > 0 && step.has_open_request)
        return pending_reason::advice_requested;
    if (counts[worker_barrier::not_asked] > 0 && step.over_advice_limit)
        return pending_reason::advice_limit;
    constexpr std::array barriers{
        std::pair(worker_barrier::full, pending_reason::no_room),
        std::pair(worker_barrier::held, pending_reason::room_held),
        std::pair(worker_barrier::observed, pending_reason::workers_observed),
        std::pair(worker_barrier::expired, pending_reason::tickets_expired),
        std::pair(worker_barrier::spread, pending_reason::task_spread),
        std::pair(worker_barrier::busy, pending_reason::starts_bounded)};
    const auto most = std::ranges::max_element(
        barriers, {},
        [&counts](const std::pair<worker_barrier, pending_reason>& each)
        { return counts[each.first]; });
    if (counts[most->first] > 0)
        return most->second;
    if (counts[worker_barrier::not_admitted] > 0)
        return pending_reason::not_admitted;
    return counts[worker_barrier::quarantined] >= counts[worker_barrier::away]
               ? pending_reason::workers_quarantined
               : pending_reason::workers_away;
}

std::uint32_t scheduler::implementation::planned_members(const step_key& key,
                                                         const worker_id& worker,
                                                         const decision_pass& pass)
{
    const auto plan = pass.plans.find({key.job, key.step});
    if (plan == pass.plans.end() || plan->second.starts_at > pass.now)
        return 0;
    const auto members = plan->second.members.find(worker);
    return members == plan->second.members.end() ? 0 : members->second;
}

worker_barrier
scheduler::implementation::start_barrier_of(const worker_status& candidate,
                                            const job_status& job, std::uint32_t step,
                                            const decision_pass& pass) const
{
    const step_spec& spec = job.spec.steps[step];
    const step_status& status = job.steps[step];
    const worker_id& id = candidate.info.id;
    const bool needs_ticket = policy_of(job).advice.has_value();
    const auto permitted = status.tickets.find(id);
    const bool has_ticket = permitted != status.tickets.end();
    const bool was_asked = status.asked.contains(id) && !status.advice_requested_at;
    if (needs_ticket && !has_ticket && was_asked)
        return worker_barrier::not_admitted;
    if (!spec.size.fits_in(candidate.info.capacity - candidate.used))
        return worker_barrier::full;
    // What is held for the step itself does not keep it from the worker.
    if (planned_members(key_of(job, step), id, pass) == 0 &&
        !keeps_holds(pass, id, spec.size, spec.estimate, status.passes_holds))
        return worker_barrier::held;
    if (candidate.observed_until > pass.now)
        return worker_barrier::observed;
    if (needs_ticket && !has_ticket)
        return worker_barrier::not_asked;
    if (needs_ticket && permitted->second.until <= pass.now)
        return worker_barrier::expired;
    if (!has_start_room(candidate, spec, status))
        return worker_barrier::busy;
    return worker_barrier::none;
}

barrier_counts scheduler::implementation::count_barriers(const job_status& job,
                                                         std::uint32_t step,
                                                         const decision_pass& pass) const
{
    const step_spec& spec = job.spec.steps[step];
    std::map<worker_id, std::uint32_t> tasks_on_worker;
    if (spec.per_worker > 0)
        tasks_on_worker = count_tasks(job.steps[step]);
    barrier_counts counts;
    for (const auto& [id, candidate] : workers)
    {
        const auto there = tasks_on_worker.find(id);
        const std::int64_t places = std::max<std::int64_t>(
            planned_members(key_of(job, step), id, pass),
            places_now(candidate, job, step,
                       there == tasks_on_worker.end() ? 0 : there->second, pass));
        worker_barrier barrier = barrier_of(candidate, job, step, pass.now);
        if (barrier == worker_barrier::none)
            barrier = start_barrier_of(candidate, job, step, pass);
        if (barrier == worker_barrier::none && places <= 0)
            barrier = worker_barrier::spread;
        if (barrier == worker_barrier::none)
            counts.places += static_cast<std::uint64_t>(places);
        ++counts.workers[static_cast<std::size_t>(barrier)];
    }
    return counts;
}

pending_reason
scheduler::implementation::pending_reason_of(const job_status& job, std::uint32_t step,
                                             const barrier_counts& counts,
                                             const decision_pass& pass) const
{
    const step_status& status = job.steps[step];
    if (!queues.contains(job.spec.queue))
        return pending_reason::queue_unknown;
    if (job.held)
        return pending_reason::cancels_not_read;
    if (!pass.may_start)
        return pending_reason::worker_list_old;
    if (waits_for_former_runs(job, step))
        return pending_reason::former_runs;
    const bool is_gang = job.spec.steps[step].gang;
    if (is_gang && !fits_gang(job, step, gang_room::ever, pass.now))
        return pending_reason::no_suitable_worker;
    if (is_gang && (status.occupied > 0 || status.not_before > pass.now))
        return pending_reason::gang_restarts;
    pending_step wanted;
    wanted.places_needed = is_gang ? status.tasks.size() : 1;
    wanted.has_open_request = status.advice_requested_at.has_value();
    wanted.over_advice_limit = status.over_advice_limit;
    const pending_reason reason = explain(counts, wanted);
    return reason == pending_reason::not_placed && status.considered_at != pass.now
               ? pending_reason::step_limit
               : reason;
}

void scheduler::implementation::report_pending(const decision_pass& pass)
{
    if (pass.now - pending_reviewed_at < review_period)
        return;
    pending_reviewed_at = pass.now;
    report_orders();
    report_withheld(pass.now);
    std::array<std::uint64_t, pending_reasons> pending{};
    std::size_t examined = 0;
    for (const step_key& key : open_steps)
    {
        job_status* job = find_job(key.job);
        if (job == nullptr || is_final(job->state))
            continue;
        step_status& status = job->steps[key.step];
        if (status.occupied >= status.remaining)
        {
            status.waiting_since = boot_time();
            continue;
        }
        if (status.waiting_since == boot_time())
        {
            status.waiting_since = pass.now;
            status.next_report = first_report;
        }
        const duration waited = pass.now - status.waiting_since;
        if (waited < first_report)
            continue;
        if (waited >= status.next_report && examined < max_examined)
        {
            ++examined;
            report_step(*job, key.step, pass);
        }
        if (status.next_report > first_report)
            ++pending[static_cast<std::size_t>(status.pending)];
    }
    for (std::size_t each = 0; each < pending_reasons; ++each)
        metrics.set_gauge("hawthornbeam_pending_steps",
                          {{"reason", to_string(static_cast<pending_reason>(each))}},
                          static_cast<double>(pending[each]));
}

void scheduler::implementation::report_step(job_status& job, std::uint32_t step,
                                            const decision_pass& pass)
{
    step_status& status = job.steps[step];
    const duration waited = pass.now - status.waiting_since;
    const barrier_counts counts = count_barriers(job, step, pass);
    status.pending = pending_reason_of(job, step, counts, pass);
    if (status.next_report == first_report)
        metrics.add("hawthornbeam_pending_steps_total",
                    {{"reason", to_string(status.pending)}});
    status.next_report = 2 * waited;
    log.info("cell", "step waits",
             {{"job", job.spec.id.value()},
              {"step", std::uint64_t{step}},
              {"tasks", std::uint64_t{status.remaining - status.occupied}},
              {"running", std::uint64_t{status.occupied}},
              {"reason", to_string(status.pending)},
              {"waited_ms", std::int64_t{waited / std::chrono::milliseconds(1)}},
              {"places", counts.places},
              {"away", counts[worker_barrier::away]},
              {"quarantined", counts[worker_barrier::quarantined]},
              {"not_admitted", counts[worker_barrier::not_admitted]},
              {"full", counts[worker_barrier::full]},
              {"held", counts[worker_barrier::held]},
              {"observed", counts[worker_barrier::observed]},
              {"not_asked", counts[worker_barrier::not_asked]},
              {"expired", counts[worker_barrier::expired]},
              {"busy", counts[worker_barrier::busy]}});
}

} // namespace hawthornbeam::cell
