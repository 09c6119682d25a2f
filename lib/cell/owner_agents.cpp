/// \file
/// Implements the part of the owner that gives workers and questions to agents.
#include "owner_state.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

/// With so many other agents the owner's own host is left to its decisions.
constexpr std::size_t agents_to_spare_owner = 3;
/// Questions to the advice service that may wait at one agent, in answering time. The
/// service answers each host's questions in turn, so that long questions would hold up
/// short ones: one agent of four takes only the short ones.
constexpr duration max_advice_backlog = std::chrono::milliseconds(1200);
constexpr duration max_short_backlog = std::chrono::milliseconds(150);
constexpr duration short_advice_limit = std::chrono::milliseconds(30);
constexpr std::size_t agents_for_short_advice = 4;

/// Instances that agents are told of: enough that one is up after a failure.
constexpr std::size_t max_peers = 8;

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
            route.agent = instance_id();
        }
        if (stored_workers.contains(info.id))
            cell.allow_worker(info.id);
        else if (workers_to_store.insert(info.id).second)
            workers_changed = true;
    }
    for (const worker_info& info : cell.workers())
        if (!present.contains(info.id))
            cell.remove_worker(info.id);
    std::erase_if(routes,
                  [this, &present](const std::pair<const worker_id, worker_route>& entry)
                  {
                      if (present.contains(entry.first))
                          return false;
                      if (!entry.second.agent.empty())
                          outbox[entry.second.agent].assignments.push_back(
                              {entry.first, entry.second.address, 0, false});
                      return true;
                  });
    assign_workers();
    schedule_store();
    schedule_decision();
}

void owner::implementation::drop_ended_workers()
{
    // The scheduler forgets a worker once its entry and its longest lease have ended.
    // A successor would wait for its lease again.
    std::set<worker_id> known;
    for (const worker_info& info : cell.workers())
        known.insert(info.id);
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
    if (others >= agents_to_spare_owner)
        load.erase(parts.self);
    if (load.empty())
        return;
    for (auto& [id, route] : routes)
    {
        const auto serving = load.find(route.agent);
        if (serving == load.end())
            route.agent = instance_id();
        else
            serving->second += 1.0 / agents.at(route.agent).share;
    }
    for (auto& [id, route] : routes)
    {
        if (!route.agent.empty())
            continue;
        const auto least =
            std::ranges::min_element(load, {},
                                     [](const std::pair<const instance_id, double>& entry)
                                     { return entry.second; });
        assign(id, route, least->first);
        least->second += 1.0 / agents.at(route.agent).share;
    }
    // A new agent takes over from the one with most workers, one for each round.
    const auto [least, most] = std::ranges::minmax_element(
        load, {},
        [](const std::pair<const instance_id, double>& entry) { return entry.second; });
    const double step =
        1.0 / agents.at(least->first).share + 1.0 / agents.at(most->first).share;
    if (most->second - least->second <= step)
        return;
    for (auto& [id, route] : routes)
        if (route.agent == most->first)
        {
            outbox[route.agent].assignments.push_back({id, route.address, 0, false});
            assign(id, route, least->first);
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
    // The answer of a former agent has no order with the looks of the present one. A new
    // assignment makes it begin looks that surely show the effect of the answer.
    assign(result.worker, route->second, route->second.agent);
    result.position = event_position{route->second.assignment, 0};
    return result;
}

void owner::implementation::move_worker(const worker_id& id, worker_route& route)
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
    for (const auto& [id, state] : agents)
        if (state.is_usable(now))
            usable.push_back(id);
    const duration cost = cell.advice_duration(command);
    const bool is_short = cost <= short_advice_limit;
    const std::size_t reserved = usable.size() / agents_for_short_advice;
    instance_id best;
    duration least = is_short && reserved > 0 ? max_short_backlog : max_advice_backlog;
    // Short questions overflow to the others when the reserved agents are busy.
    for (std::size_t place = 0; place < usable.size(); ++place)
    {
        const duration backlog = agents.at(usable[place]).advice_backlog;
        if ((is_short || place >= reserved) && backlog < least)
        {
            least = backlog;
            best = usable[place];
        }
    }
    if (best.empty())
    {
        advice_result refused;
        refused.job = command.job;
        refused.step = command.step;
        refused.asked = command.workers;
        return cell.observe(refused, now);
    }
    agent_state& chosen = agents.at(best);
    chosen.advice_backlog += cost;
    chosen.asked[{command.job, command.step}] = cost;
    outbox[best].advice.push_back(std::move(command));
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

std::vector<endpoint> owner::implementation::served_agents() const
{
    const boot_time now = parts.loop.clock().now();
    std::vector<endpoint> served;
    for (const auto& [id, state] : agents)
        if (id != parts.self && state.is_usable(now) && served.size() < max_peers &&
            state.is_served(now))
            served.push_back(state.address);
    return served;
}

std::uint32_t owner::implementation::largest_processor_share() const
{
    const boot_time now = parts.loop.clock().now();
    double largest = 0;
    for (const auto& [id, state] : agents)
        if (state.is_usable(now) && state.is_served(now))
            largest = std::max(largest, state.share);
    return static_cast<std::uint32_t>(std::lround(largest * 1000));
}

std::uint32_t owner::largest_processor_share() const
{
    return implementation_->largest_processor_share();
}

std::vector<endpoint> owner::agents() const
{
    const boot_time now = implementation_->parts.loop.clock().now();
    std::vector<endpoint> usable = implementation_->served_agents();
    if (!usable.empty())
        return usable;
    for (const auto& [id, state] : implementation_->agents)
        if (id != implementation_->parts.self && state.is_usable(now))
            usable.push_back(state.address);
    return usable;
}

} // namespace hawthornbeam::cell
