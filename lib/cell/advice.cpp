/// \file
/// Requests to the advice service.
#include "cell_state.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

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
/// Bounds for the number of steps of a queue that may request advice. The number is how
/// many requests half of the hosts can complete within the lifetime of a ticket. The
/// upper bound is per host.
constexpr std::int64_t min_waiting_steps = 3;
constexpr double max_waiting_steps_each = 2.7;
/// The tickets of a planned gang are renewed so long before its start, and are valid for
/// this long after it.
constexpr duration renewal_lead = std::chrono::milliseconds(200);
/// A request to the advice service that got no answer is repeated after this time.
constexpr duration advice_timeout = std::chrono::seconds(4);

} // namespace

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
    // The host that sent the last request may have died. Its workers are asked again.
    if (status.advice_requested_at)
        std::erase_if(status.asked, [&status](const worker_id& id)
                      { return !status.tickets.contains(id); });
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
        if (!keeps_holds(pass, id, spec.size, spec.estimate))
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
    const auto plan = pass.plans.find({key.job, step});
    const bool is_planned = plan != pass.plans.end();
    std::vector<worker_id> asked;
    std::int64_t renewed_slots = ticketed_slots;
    if (is_planned)
        asked = tickets_to_renew(job, step, plan->second, now);
    else
        for (const auto& [negated_slots, id] : renewable)
        {
            if (asked.size() >= max_renewed + waiting / 4 ||
                renewed_slots >= static_cast<std::int64_t>(2 * waiting))
                break;
            asked.push_back(id);
            renewed_slots -= negated_slots;
        }
    // Request advice about more workers only when the waiting tasks do not fit on those
    // with valid or renewed tickets, or a planned gang would start earlier on free ones.
    // Workers without free capacity are named by the first request, and for a gang that
    // the workers with tickets cannot run.
    const bool needs_more = is_planned
                                ? plan->second.starts_at > now
                                : renewed_slots < static_cast<std::int64_t>(waiting);
    const bool names_full_workers = !is_planned && (status.asked.empty() || spec.gang);
    if (needs_more)
    {
        double expected = 0;
        const double needed =
            2.0 * (static_cast<double>(waiting) - static_cast<double>(renewed_slots));
        std::size_t added = 0;
        for (const auto& [negated_slots, tie_breaker, id] : unknown)
        {
            if (added >= max_asked || (added >= min_asked && expected >= needed) ||
                (negated_slots == 0 && !names_full_workers))
                break;
            asked.push_back(id);
            expected -= static_cast<double>(negated_slots) * expected_allowed_fraction;
            ++added;
        }
    }
    send_advice_request(key, std::move(asked), pass);
}

std::vector<worker_id> scheduler::implementation::tickets_to_renew(const job_status& job,
                                                                   std::uint32_t step,
                                                                   const gang_plan& plan,
                                                                   boot_time now) const
{
    const duration answer_time =
        policy_of(job).advice->answer_time(std::ssize(plan.members));
    if (plan.starts_at > now + answer_time + renewal_lead)
        return {};
    std::vector<worker_id> expiring;
    for (const auto& [id, members] : plan.members)
        if (job.steps[step].tickets.at(id).until <= plan.starts_at + renewal_lead)
            expiring.push_back(id);
    return expiring;
}

void scheduler::implementation::send_advice_request(const step_key& key,
                                                    std::vector<worker_id> asked,
                                                    decision_pass& pass)
{
    if (asked.empty())
        return;
    step_status& status = find_job(key.job)->steps[key.step];
    status.asked.insert(asked.begin(), asked.end());
    status.advice_requested_at = pass.now;
    pass.out.advice.push_back({key.job, key.step, std::move(asked)});
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

} // namespace hawthornbeam::cell
