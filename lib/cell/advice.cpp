/// \file
/// Requests to the advice service.
#include "cell_state.hpp"
#include "sorted_walk.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

/// Bounds for the number of workers without known advice in one request to the advice
/// service.
constexpr std::ptrdiff_t min_asked = 8;
constexpr std::ptrdiff_t max_asked = 40;
/// Fraction of the requested workers for which the advice service is assumed to issue a
/// ticket.
constexpr double expected_allowed_fraction = 0.35;
/// Maximum number of workers whose expired tickets one request renews; a step with many
/// waiting tasks may renew more, and a gang as many as it has tasks.
constexpr std::size_t max_renewed = 6;
/// A planned gang renews so many tickets, and for a quarter of its tasks, beyond those
/// that it needs.
constexpr std::size_t spare_tickets = 2;
/// Maximum number of workers in one request that the advice service accepts.
constexpr std::size_t max_request_workers = 100;
/// Bounds for the number of steps of a queue that may request advice at the same time.
/// The number is how many requests half of the hosts can complete within the lifetime of
/// a ticket. The upper bound is per host.
constexpr std::int64_t min_waiting_steps = 3;
constexpr double max_waiting_steps_each = 2.7;
/// The other steps of a queue use what the first ones leave of that number, and in any
/// case this part of it.
constexpr std::size_t reserved_requests_divisor = 8;
/// Maximum number of the other steps of a queue that find out in one decision whether
/// they need advice although they may not request it yet.
constexpr std::size_t max_checked = 64;
/// Maximum numbers of steps that one decision compares with all workers to find out
/// whether they need advice: in their order, and besides those that have their turn, so
/// that no step waits for all that sort before it. The others follow in later decisions.
constexpr std::size_t max_ordered_comparisons = 24;
constexpr std::size_t max_turn_comparisons = 8;
/// A step that was found to need no advice is compared again after this time.
constexpr duration advice_check_pause = std::chrono::milliseconds(100);
/// The tickets of a planned gang are renewed so long before its start, and are valid for
/// this long after it.
constexpr duration renewal_lead = std::chrono::milliseconds(200);
/// A request to the advice service that got no answer is repeated this long after the
/// answer was expected: it may wait behind others of its host.
constexpr duration max_answer_delay = std::chrono::milliseconds(1600);

} // namespace

std::uint32_t scheduler::implementation::max_requesting(const advice_policy& advice) const
{
    const duration answer_duration = advice.answer_time(typical_advice_workers);
    const std::int64_t hosts = advice_hosts;
    const std::int64_t bound = std::max<std::int64_t>(
        min_waiting_steps, std::llround(max_waiting_steps_each * advice_hosts));
    return static_cast<std::uint32_t>(
        answer_duration <= duration::zero()
            ? bound
            : std::clamp(advice.valid * hosts / (2 * answer_duration), min_waiting_steps,
                         bound));
}

bool scheduler::implementation::has_open_request(const step_status& step, boot_time now)
{
    return step.advice_requested_at && now < step.advice_repeat_at;
}

void scheduler::implementation::permit_requests(const std::vector<step_key>& steps,
                                                boot_time now)
{
    struct queue_requests
    {
        std::size_t first_steps = 0;
        std::size_t open_requests = 0; ///< Of all steps.
        std::size_t open_of_others = 0;
        std::vector<std::pair<boot_time, step_status*>> others;
    };
    std::map<queue_name, queue_requests> requests;
    for (const step_key& key : steps)
    {
        job_status* job = find_job(key.job);
        if (job == nullptr || is_final(job->state) || !policy_of(*job).advice)
            continue;
        step_status& status = job->steps[key.step];
        if (status.occupied >= status.remaining)
            continue;
        queue_requests& queue = requests[job->spec.queue];
        const bool is_open = has_open_request(status, now);
        queue.open_requests += is_open ? 1 : 0;
        if (queue.first_steps < max_requesting(*policy_of(*job).advice))
        {
            ++queue.first_steps;
            status.may_check_at = now;
            status.may_request_at = now;
        }
        else if (is_open)
            ++queue.open_of_others;
        else if (status.may_need_advice || status.turn_at == now)
            queue.others.emplace_back(status.advice_checked_at, &status);
    }
    for (auto& [name, queue] : requests)
    {
        // Those that have waited longest for a request come first, whatever the steps
        // before them wait for.
        std::ranges::stable_sort(queue.others, {},
                                 &std::pair<boot_time, step_status*>::first);
        const std::size_t limit = queue.first_steps;
        const std::size_t reserved =
            std::max<std::size_t>(1, limit / reserved_requests_divisor);
        const std::size_t left =
            std::max(limit - std::min(limit, queue.open_requests),
                     reserved - std::min(reserved, queue.open_of_others));
        std::size_t checked = 0;
        for (std::size_t index = 0; index < queue.others.size(); ++index)
        {
            step_status& status = *queue.others[index].second;
            status.may_need_advice = true;
            if (index < left)
                status.may_request_at = now;
            if (index < left || (!status.over_advice_limit && ++checked <= max_checked))
                status.may_check_at = now;
        }
    }
}

void scheduler::implementation::update_advice(job_status& job, const step_key& key,
                                              decision_pass& pass)
{
    step_status& status = job.steps[key.step];
    if (status.may_check_at != pass.now || has_open_request(status, pass.now))
        return;
    if (waiting_tasks(status) == 0)
    {
        open_steps.erase(key);
        return;
    }
    if (pass.now < status.advice_check_after)
        return;
    if (status.turn_at == pass.now && pass.turn_comparisons < max_turn_comparisons)
        ++pass.turn_comparisons;
    else if (pass.ordered_comparisons < max_ordered_comparisons)
        ++pass.ordered_comparisons;
    else
        return;
    request_advice(job, key, pass);
}

void scheduler::implementation::request_advice(job_status& job, const step_key& key,
                                               decision_pass& pass)
{
    step_status& status = job.steps[key.step];
    // The host that sent the last request may have died. Its workers are asked again.
    if (status.advice_requested_at)
        std::erase_if(status.asked, [&status](const worker_id& id)
                      { return !status.tickets.contains(id); });
    std::vector<worker_id> asked = workers_to_ask(job, key, pass);
    const bool may_request = status.may_request_at == pass.now;
    status.may_need_advice = !asked.empty() && !may_request;
    status.over_advice_limit = status.may_need_advice;
    if (asked.empty())
    {
        status.advice_checked_at = pass.now;
        status.advice_check_after = pass.now + advice_check_pause;
    }
    else if (may_request)
        send_advice_request(key, std::move(asked), pass);
}

std::vector<worker_id>
scheduler::implementation::workers_to_ask(const job_status& job, const step_key& key,
                                          const decision_pass& pass) const
{
    const boot_time now = pass.now;
    const std::uint32_t step = key.step;
    const step_status& status = job.steps[step];
    const step_spec& spec = job.spec.steps[step];
    const std::size_t waiting = waiting_tasks(status);
    const service_name& service = policy_of(job).service;
    const auto plan = pass.plans.find({key.job, step});
    const bool is_planned = plan != pass.plans.end();
    const bool names_full_workers = !is_planned && (status.asked.empty() || spec.gang);
    std::vector<std::tuple<std::int64_t, std::size_t, const worker_id*>> unknown;
    std::vector<std::pair<std::int64_t, const worker_id*>> renewable;
    std::int64_t ticketed_slots = 0;
    // The tickets of a gang have to be valid together when the answer arrives.
    const boot_time answered_at =
        spec.gang ? now + policy_of(job).advice->answer_time(typical_advice_workers)
                  : now;
    std::int64_t lasting_slots = 0;
    std::map<worker_id, std::uint32_t> tasks_on_worker;
    if (spec.per_worker > 0)
        tasks_on_worker = count_tasks(status);
    // Workers with equal free capacity are sorted by a hash that differs for each job.
    // Otherwise, steps that send requests at the same time would get tickets for the same
    // workers and wait for each other.
    const std::hash<std::string> hash_string;
    sorted_walk<std::map<worker_id, permission>> permissions(status.tickets);
    sorted_walk<std::set<worker_id>> asked_before(status.asked);
    sorted_walk<std::map<worker_id, capacity_forecast>> forecasts(
        status.passes_holds ? pass.forecasts_to_pass : pass.forecasts);
    for (const auto& [id, candidate] : workers)
    {
        if (barrier_of(candidate, service, job, step, now) != worker_barrier::none)
            continue;
        const std::pair<const worker_id, permission>* permitted = permissions.find(id);
        if (permitted == nullptr && asked_before.find(id) != nullptr)
            continue;
        const auto there = tasks_on_worker.find(id);
        const std::pair<const worker_id, capacity_forecast>* forecast =
            forecasts.find(id);
        const std::int64_t free_slots = places_now(
            candidate, spec, there == tasks_on_worker.end() ? 0 : there->second,
            forecast == nullptr ? nullptr : &forecast->second, now);
        if (permitted == nullptr)
        {
            if (free_slots > 0 || names_full_workers)
                unknown.emplace_back(-free_slots,
                                     hash_string(job.spec.id.value() + id.value()), &id);
            continue;
        }
        if (permitted->second.until > now)
            ticketed_slots += free_slots;
        if (permitted->second.until > answered_at)
            lasting_slots += free_slots;
        else if (free_slots > 0)
            renewable.emplace_back(-free_slots, &id);
    }
    if (ticketed_slots >= static_cast<std::int64_t>(waiting))
        return {};
    const std::ptrdiff_t named = std::min(max_asked, std::ssize(unknown));
    std::ranges::partial_sort(unknown, std::next(unknown.begin(), named));
    std::ranges::sort(renewable, {},
                      [](const std::pair<std::int64_t, const worker_id*>& each)
                      { return std::tie(each.first, *each.second); });
    std::vector<worker_id> asked;
    std::int64_t renewed_slots = lasting_slots;
    const std::size_t renewal_limit =
        std::max(max_renewed + waiting / 4, spec.gang ? waiting : 0);
    if (is_planned)
    {
        asked = tickets_to_renew(job, step, plan->second, now);
        // Some of the planned workers may be in use when the answer arrives.
        std::size_t spare = asked.empty() ? 0 : spare_tickets + waiting / 4;
        for (const auto& [negated_slots, id] : renewable)
        {
            if (spare == 0)
                break;
            if (plan->second.members.contains(*id))
                continue;
            asked.push_back(*id);
            --spare;
        }
    }
    else
        for (const auto& [negated_slots, id] : renewable)
        {
            if (asked.size() >= renewal_limit ||
                renewed_slots >= static_cast<std::int64_t>(2 * waiting))
                break;
            asked.push_back(*id);
            renewed_slots -= negated_slots;
        }
    // Request advice about more workers only when the waiting tasks do not fit on those
    // with valid or renewed tickets, or a planned gang would start earlier on free ones.
    // Workers without free capacity are named by the first request, and for a gang that
    // the workers with tickets cannot run.
    const bool needs_more =
        is_planned ? plan->second.starts_at > now || status.yields_until > now
                   : renewed_slots < static_cast<std::int64_t>(waiting);
    std::ptrdiff_t added = 0;
    if (needs_more)
    {
        double expected = 0;
        const double needed =
            2.0 * (static_cast<double>(waiting) - static_cast<double>(renewed_slots));
        for (const auto& [negated_slots, tie_breaker, id] : unknown)
        {
            if (added >= max_asked || (added >= min_asked && expected >= needed))
                break;
            asked.push_back(*id);
            expected -= static_cast<double>(negated_slots) * expected_allowed_fraction;
            ++added;
        }
    }
    // Renewed tickets are of no use to a gang that still cannot start.
    if (spec.gang && !is_planned && needs_more && added == 0)
        return {};
    return asked;
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
    const boot_time needed_until = plan.starts_at + renewal_lead;
    std::vector<std::pair<boot_time, worker_id>> tickets;
    for (const auto& [id, members] : plan.members)
        tickets.emplace_back(job.steps[step].tickets.at(id).until, id);
    std::ranges::sort(tickets);
    if (tickets.empty() || tickets.front().first > needed_until)
        return {};
    // Tickets that are renewed one after the other may never be valid together when
    // answers are slow.
    std::vector<worker_id> renewed;
    for (const auto& [until, id] : tickets)
        renewed.push_back(id);
    return renewed;
}

void scheduler::implementation::send_advice_request(const step_key& key,
                                                    std::vector<worker_id> asked,
                                                    decision_pass& pass)
{
    if (asked.size() > max_request_workers)
        asked.resize(max_request_workers);
    step_status& status = find_job(key.job)->steps[key.step];
    status.asked.insert(asked.begin(), asked.end());
    status.advice_requested_at = pass.now;
    status.advice_repeat_at =
        pass.now + max_answer_delay +
        policy_of(*find_job(key.job)).advice->answer_time(std::ssize(asked));
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
