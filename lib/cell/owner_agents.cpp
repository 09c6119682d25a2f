/// \file
/// Owner of a cell: assigns workers and advice requests to agents.
#include "owner_state.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

/// With this many other agents, no workers are assigned to the owner's own host, which
/// keeps its processor time for decisions.
constexpr std::size_t agents_to_exempt_owner = 3;
/// Limits for the advice requests in flight at one agent, in expected duration. The
/// advice service processes the requests of a host one after the other, so long requests
/// would delay short ones: one agent in four takes short requests only.
constexpr duration max_advice_backlog = std::chrono::milliseconds(1200);
constexpr duration max_short_backlog = std::chrono::milliseconds(150);
constexpr duration short_advice_limit = std::chrono::milliseconds(30);
constexpr std::size_t agents_for_short_advice = 4;
/// An agent reports within this time, or its answer was lost. Longer than the time-out of
/// an agent's request.
constexpr duration advice_answer_limit = std::chrono::milliseconds(3500);
/// Number of instances that are sent to agents as peers: enough that one of them is up
/// after a failure.
constexpr std::size_t max_peers = 8;
/// Upper limit for the age of a worker's process that is computed from its entry.
constexpr std::chrono::milliseconds max_process_age = std::chrono::hours(1);

} // namespace

void owner::implementation::handle_workers(const std::vector<worker_info>& listed)
{
    const boot_time now = parts.loop.clock().now();
    const std::int64_t wall_ms = parts.loop.clock().wall_now().time_since_epoch().count();
    std::set<worker_id> present;
    for (const worker_info& info : listed)
    {
        present.insert(info.id);
        const std::chrono::milliseconds age(std::clamp(wall_ms - info.incarnation.value(),
                                                       -max_process_age.count(),
                                                       max_process_age.count()));
        cell.update_worker(info, now, now - age);
        worker_route& route = routes[info.id];
        if (route.address != info.address)
        {
            route.address = info.address;
            route.agent = instance_id();
        }
        if (stored_workers.contains(info.id))
            cell.allow_worker(info.id);
        else if (workers_to_store.insert(info.id).second)
            workers_changed = true;
    }
    for (const worker_info& info : cell.workers())
        if (!present.contains(info.id))
            cell.remove_worker(info.id, now);
    assign_workers();
    schedule_store();
    schedule_decision();
}

void owner::implementation::remove_dropped_workers()
{
    // The scheduler drops a worker without an entry once it has no runs or its longest
    // lease has expired. Until then polls extend its lease, list its ends, or show that
    // another worker has its address. If such a worker stayed in the store, the next
    // owner would wait for its lease again.
    std::set<worker_id> known;
    for (const worker_info& info : cell.workers())
        known.insert(info.id);
    std::erase_if(routes,
                  [this, &known](const std::pair<const worker_id, worker_route>& entry)
                  {
                      if (known.contains(entry.first))
                          return false;
                      if (!entry.second.agent.empty())
                          outbox[entry.second.agent].assignments.push_back(
                              {entry.first, entry.second.address, 0, false});
                      return true;
                  });
    const std::size_t dropped = std::erase_if(
        workers_to_store, [&known](const worker_id& id) { return !known.contains(id); });
    if (dropped == 0)
        return;
    std::erase_if(stored_workers,
                  [this](const worker_id& id) { return !workers_to_store.contains(id); });
    workers_changed = true;
    schedule_store();
}

void owner::implementation::assign_workers()
{
    const boot_time now = parts.loop.clock().now();
    std::map<instance_id, double> load;
    std::size_t others = 0;
    for (const auto& [id, state] : agents)
        if (state.is_usable(now))
        {
            load[id] = 0;
            others += id == parts.self ? 0U : 1U;
        }
    if (others >= agents_to_exempt_owner)
        load.erase(parts.self);
    if (load.empty())
        return;
    for (auto& [id, route] : routes)
    {
        const auto serving = load.find(route.agent);
        if (serving == load.end())
            route.agent = instance_id();
        else
            serving->second += 1.0 / agents.at(route.agent).processor_share;
    }
    for (auto& [id, route] : routes)
    {
        if (!route.agent.empty())
            continue;
        const auto least_loaded =
            std::ranges::min_element(load, {},
                                     [](const std::pair<const instance_id, double>& entry)
                                     { return entry.second; });
        assign(id, route, least_loaded->first);
        least_loaded->second += 1.0 / agents.at(route.agent).processor_share;
    }
    // Balance the load: each call moves at most one worker from the most loaded agent to
    // the least loaded one, which may be new.
    const auto [least_loaded, most_loaded] = std::ranges::minmax_element(
        load, {},
        [](const std::pair<const instance_id, double>& entry) { return entry.second; });
    const double min_difference = 1.0 / agents.at(least_loaded->first).processor_share +
                                  1.0 / agents.at(most_loaded->first).processor_share;
    if (most_loaded->second - least_loaded->second <= min_difference)
        return;
    for (auto& [id, route] : routes)
        if (route.agent == most_loaded->first)
        {
            outbox[route.agent].assignments.push_back({id, route.address, 0, false});
            assign(id, route, least_loaded->first);
            return schedule_decision();
        }
}

agent_commands* owner::implementation::commands_for(const worker_id& worker)
{
    const auto route = routes.find(worker);
    if (route == routes.end() || route->second.agent.empty())
        return nullptr;
    return &outbox[route->second.agent];
}

void owner::implementation::assign(const worker_id& id, worker_route& route,
                                   const instance_id& agent)
{
    route.agent = agent;
    route.assignment = ++last_assignment;
    outbox[agent].assignments.push_back({id, route.address, route.assignment, true});
}

command_result owner::implementation::ordered_by_polls(command_result result)
{
    const auto route = routes.find(result.worker);
    if (route == routes.end() || route->second.agent.empty() ||
        result.position.assignment == route->second.assignment)
        return result;
    // A result from a former agent cannot be ordered with the polls of the current agent.
    // After a new assignment, the current agent sends polls that reflect the command.
    assign(result.worker, route->second, route->second.agent);
    result.position = event_position{route->second.assignment, 0};
    return result;
}

void owner::implementation::reassign_worker(const worker_id& id, worker_route& route)
{
    const boot_time now = parts.loop.clock().now();
    std::vector<instance_id> others;
    for (const auto& [agent, state] : agents)
        if (agent != route.agent && agent != parts.self && state.is_usable(now))
            others.push_back(agent);
    if (others.empty())
        return;
    outbox[route.agent].assignments.push_back({id, route.address, 0, false});
    assign(id, route, others[last_assignment % others.size()]);
}

std::uint32_t owner::implementation::hosts_for_long_advice(boot_time now) const
{
    const std::uint32_t count = static_cast<std::uint32_t>(std::ranges::count_if(
        agents, [now](const std::pair<const instance_id, agent_state>& entry)
        { return entry.second.is_usable(now); }));
    return count - count / static_cast<std::uint32_t>(agents_for_short_advice);
}

void owner::implementation::route_advice(advice_command command, boot_time now)
{
    std::vector<instance_id> usable;
    std::vector<instance_id> paused;
    for (const auto& [id, state] : agents)
        if (state.is_usable(now))
            (now < state.advice_not_before ? paused : usable).push_back(id);
    if (usable.empty())
        usable = std::move(paused);
    const duration expected = cell.advice_duration(command);
    const bool is_short = expected <= short_advice_limit;
    const std::size_t reserved = usable.size() / agents_for_short_advice;
    instance_id best;
    duration least_backlog =
        is_short && reserved > 0 ? max_short_backlog : max_advice_backlog;
    // The first agents are reserved for short requests. Short requests overflow to the
    // others if the reserved agents are busy.
    for (std::size_t i = 0; i < usable.size(); ++i)
    {
        const duration backlog = agents.at(usable[i]).advice_backlog();
        if ((is_short || i >= reserved) && backlog < least_backlog)
        {
            least_backlog = backlog;
            best = usable[i];
        }
    }
    if (best.empty())
        return refuse_advice(command, now);
    agents.at(best).pending_advice.insert_or_assign(
        {command.job, command.step}, advice_in_flight{command, expected, now});
    outbox[best].advice.push_back(std::move(command));
}

void owner::implementation::refuse_advice(const advice_command& command, boot_time now)
{
    parts.metrics.add("hawthornbeam_advice_requests_refused_total", {});
    advice_result refused;
    refused.job = command.job;
    refused.step = command.step;
    refused.asked = command.workers;
    cell.observe(refused, now);
}

void owner::implementation::refuse_lost_advice(boot_time now)
{
    bool refused = false;
    for (auto& [id, agent] : agents)
    {
        const bool is_alive = agent.is_alive(now);
        const std::size_t lost = std::erase_if(
            agent.pending_advice,
            [this, now, is_alive](const std::pair<const std::pair<job_key, std::uint32_t>,
                                                  advice_in_flight>& entry)
            {
                const advice_in_flight& request = entry.second;
                if (is_alive && now - request.sent_at <= advice_answer_limit)
                    return false;
                refuse_advice(request.command, now);
                return true;
            });
        refused = refused || lost > 0;
    }
    if (refused)
        schedule_decision();
}

void owner::implementation::refuse_all_advice(agent_state& agent, boot_time now)
{
    for (const auto& [step, request] : std::exchange(agent.pending_advice, {}))
        refuse_advice(request.command, now);
}

bool owner::store_answered_other_instance(boot_time time) const
{
    return std::ranges::any_of(
        implementation_->agents,
        [this, time](const std::pair<const instance_id, agent_state>& entry)
        {
            return entry.first != implementation_->parts.self &&
                   entry.second.store_answered_at > time;
        });
}

std::vector<endpoint> owner::implementation::agents_with_store_access() const
{
    const boot_time now = parts.loop.clock().now();
    std::vector<endpoint> served;
    for (const auto& [id, state] : agents)
        if (id != parts.self && state.is_usable(now) && served.size() < max_peers &&
            state.has_store_access(now))
            served.push_back(state.address);
    return served;
}

std::uint32_t owner::implementation::largest_processor_share() const
{
    const boot_time now = parts.loop.clock().now();
    double largest = 0;
    for (const auto& [id, state] : agents)
        if (state.is_usable(now) && state.has_store_access(now))
            largest = std::max(largest, state.processor_share);
    return static_cast<std::uint32_t>(std::lround(largest * 1000));
}

std::uint32_t owner::largest_processor_share() const
{
    return implementation_->largest_processor_share();
}

std::vector<endpoint> owner::agents() const
{
    const boot_time now = implementation_->parts.loop.clock().now();
    std::vector<endpoint> usable = implementation_->agents_with_store_access();
    if (!usable.empty())
        return usable;
    for (const auto& [id, state] : implementation_->agents)
        if (id != implementation_->parts.self && state.is_usable(now))
            usable.push_back(state.address);
    return usable;
}

} // namespace hawthornbeam::cell
