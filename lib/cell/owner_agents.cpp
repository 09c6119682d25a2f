/// \file
/// Owner of a cell: assigns workers and advice requests to agents.
#include "owner_state.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

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
/// A poll that is answered this long after a worker was taken from an agent was sent when
/// no start of that agent could be executed any more.
constexpr duration last_start_limit = late_command_limit + std::chrono::seconds(2);
/// Calls for former owners are stored this long after a takeover, when most workers have
/// been polled.
constexpr duration former_calls_delay = std::chrono::milliseconds(500);
/// Time in which the agents of a former owner report to a new one.
constexpr duration agent_report_limit = std::chrono::milliseconds(400);

} // namespace

void owner::implementation::handle_workers(const std::vector<worker_info>& listed)
{
    const boot_time now = parts.loop.clock().now();
    std::set<worker_id> present;
    for (const worker_info& info : listed)
    {
        present.insert(info.id);
        cell.update_worker(info, now);
        worker_route& route = routes[info.id];
        if (route.address != info.address)
        {
            route.address = info.address;
            unassign(route);
        }
        if (workers_to_store.insert(info.id).second)
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

std::map<instance_id, double>
owner::implementation::assignable_agents(boot_time now) const
{
    std::map<instance_id, double> load;
    for (const auto& [id, state] : agents)
        if (state.is_usable(now))
            load[id] = 0;
    // No tasks can be started through the others yet.
    const bool any_stored =
        std::ranges::any_of(load, [this](const std::pair<const instance_id, double>& each)
                            { return stored_agents.contains(each.first); });
    if (any_stored)
        std::erase_if(load, [this](const std::pair<const instance_id, double>& each)
                      { return !stored_agents.contains(each.first); });
    const std::size_t others = load.size() - load.count(parts.self);
    const bool others_expected = others == 0 && now - loaded_at < agent_report_limit &&
                                 former_agents.size() > former_agents.count(parts.self);
    // The owner's host keeps its processor time for decisions, and its agent would end
    // with the owner, so that a successor would not know the calls of either.
    if (others > 0 || others_expected)
        load.erase(parts.self);
    return load;
}

bool owner::implementation::may_start_on(const worker_id& worker,
                                         const worker_route& route) const
{
    return stored_workers.contains(worker) && stored_agents.contains(route.agent);
}

void owner::implementation::allow_workers()
{
    for (const auto& [id, route] : routes)
        cell.allow_worker(id, may_start_on(id, route));
}

void owner::implementation::update_stored_agents(boot_time now)
{
    if (!loaded)
        return;
    std::set<instance_id> named;
    for (auto& [id, route] : routes)
    {
        if (!route.agent.empty())
            named.insert(route.agent);
        std::erase_if(route.previous_agents,
                      [now](const std::pair<const instance_id, boot_time>& each)
                      { return now - each.second > call_retention; });
        for (const auto& [agent, left_at] : route.previous_agents)
            named.insert(agent);
    }
    for (const auto& [id, state] : agents)
        if (id != parts.self && state.is_usable(now))
            named.insert(id);
    clear_former_agents(now);
    named.insert(former_agents.begin(), former_agents.end());
    if (named != agents_to_store)
        agents_changed = true;
    agents_to_store = std::move(named);
    std::erase_if(stored_agents, [this](const instance_id& id)
                  { return !agents_to_store.contains(id); });
    allow_workers();
    if (agents_changed)
        schedule_store();
}

void owner::implementation::assign_workers()
{
    const boot_time now = parts.loop.clock().now();
    distribute_workers(now);
    update_stored_agents(now);
}

void owner::implementation::distribute_workers(boot_time now)
{
    std::map<instance_id, double> load = assignable_agents(now);
    if (load.empty())
        return;
    for (auto& [id, route] : routes)
    {
        const auto serving = load.find(route.agent);
        if (serving == load.end())
            unassign(route);
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
    balance_workers(load);
}

void owner::implementation::balance_workers(std::map<instance_id, double>& load)
{
    for (auto& [id, route] : routes)
    {
        const auto [least_loaded, most_loaded] = std::ranges::minmax_element(
            load, {},
            [](const std::pair<const instance_id, double>& entry)
            { return entry.second; });
        const double released = 1.0 / agents.at(most_loaded->first).processor_share;
        const double added = 1.0 / agents.at(least_loaded->first).processor_share;
        if (most_loaded->second - least_loaded->second <= released + added)
            return;
        if (route.agent != most_loaded->first)
            continue;
        outbox[route.agent].assignments.push_back({id, route.address, 0, false});
        assign(id, route, least_loaded->first);
        most_loaded->second -= released;
        least_loaded->second += added;
        schedule_decision();
    }
}

agent_commands* owner::implementation::commands_for(const worker_id& worker)
{
    const auto route = routes.find(worker);
    if (route == routes.end() || route->second.agent.empty())
        return nullptr;
    return &outbox[route->second.agent];
}

void owner::implementation::clear_former_agents(boot_time now)
{
    // Once every worker has seen the token of this owner, calls for former owners have no
    // effect any more.
    if (cell.is_settled())
    {
        agents_changed =
            agents_changed || !former_agents_known || !calls_to_store.empty();
        former_agents_known = true;
        former_agents.clear();
        calls_to_store.clear();
    }
    if (former_agents.empty() || now - loaded_at < former_calls_delay)
        return;
    std::optional<std::vector<worker_calls>> known = cell.known_calls();
    if (!known)
        return;
    calls_to_store = std::move(*known);
    former_agents.clear();
    agents_changed = true;
}

void owner::implementation::unassign(worker_route& route)
{
    if (!route.agent.empty())
        route.previous_agents[route.agent] = parts.loop.clock().now();
    route.agent = instance_id();
}

void owner::implementation::forget_previous_agents(worker_route& route,
                                                   const poll_result& poll, boot_time now)
{
    if (!poll.ends_complete)
        return;
    std::erase_if(route.previous_agents,
                  [now](const std::pair<const instance_id, boot_time>& each)
                  { return now - each.second > last_start_limit; });
}

void owner::implementation::assign(const worker_id& id, worker_route& route,
                                   const instance_id& agent)
{
    unassign(route);
    route.agent = agent;
    route.assignment = ++last_assignment;
    cell.assign_agent(id, agent);
    cell.allow_worker(id, may_start_on(id, route));
    outbox[agent].assignments.push_back({id, route.address, route.assignment, true});
}

command_result owner::implementation::ordered_by_polls(command_result result)
{
    const auto route = routes.find(result.worker);
    if (route == routes.end() || (!route->second.agent.empty() &&
                                  result.position.assignment == route->second.assignment))
        return result;
    // A result from a former agent cannot be ordered with the polls of the current agent.
    // After a new assignment, the current agent sends polls that reflect the command.
    const instance_id agent = route->second.agent;
    if (agent.empty())
        route->second.assignment = ++last_assignment;
    else
        assign(result.worker, route->second, agent);
    result.position = event_position{route->second.assignment, 0};
    return result;
}

void owner::implementation::reassign_worker(const worker_id& id, worker_route& route)
{
    const boot_time now = parts.loop.clock().now();
    std::vector<instance_id> others;
    for (const auto& [agent, load] : assignable_agents(now))
        if (agent != route.agent && agent != parts.self)
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
