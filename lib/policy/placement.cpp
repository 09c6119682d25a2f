/// \file
/// Packed, spread and backfill placement.
#include "placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornbeam::policy
{

namespace
{

/// Cost of placing a task without accelerators on a worker with free accelerators; larger
/// than any difference of the other terms.
constexpr double stranded_accelerator_cost = 4.0;
/// Weight of the difference between the remaining fractions of processors and memory. An
/// uneven remainder strands the resource of which more is left.
constexpr double imbalance_weight = 0.5;
/// Spread tasks sample more candidates, because the rack takes precedence over the score.
constexpr std::size_t spread_candidate_factor = 4;
constexpr std::size_t max_backfill_holds_tried = 4;
constexpr std::size_t max_backfill_slots_tried = 64;

double fraction(std::int64_t amount, std::int64_t whole)
{
    return whole <= 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(whole);
}

std::uint32_t rack_count(const spread_record& spread, index rack)
{
    const absl::flat_hash_map<index, std::uint32_t>::const_iterator found =
        spread.racks.find(rack);
    return found == spread.racks.end() ? 0 : found->second;
}

std::uint32_t domain_count(const spread_record& spread, index domain)
{
    return domain < spread.domains.size() ? spread.domains[domain] : 0;
}

} // namespace

double placer::score(index position, const resources& size) const
{
    const worker_record& worker = state_.workers[position];
    const resources remaining = state_.unheld(worker) - size;
    const resources& capacity = worker.info.capacity;
    const double processors =
        fraction(remaining.processors.value(), capacity.processors.value());
    const double memory = fraction(remaining.memory.value(), capacity.memory.value());
    const double accelerators =
        fraction(remaining.accelerators.value(), capacity.accelerators.value());
    const bool stranded =
        size.accelerators.value() == 0 && remaining.accelerators.value() > 0;
    return processors + memory + accelerators +
           imbalance_weight * std::abs(processors - memory) +
           (stranded ? stranded_accelerator_cost : 0.0);
}

index placer::pick_packed(const resources& size)
{
    const std::size_t count = state_.domains.size();
    const std::size_t first = count > 1 ? state_.random.below(count) : 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        candidates_.clear();
        state_.domains[(first + i) % count].sample(
            size, state_.settings.sampled_candidates, state_.random, candidates_);
        index best = none;
        double best_score = std::numeric_limits<double>::max();
        for (const index candidate : candidates_)
        {
            const double value = score(candidate, size);
            if (value >= best_score)
                continue;
            best = candidate;
            best_score = value;
        }
        if (best != none)
            return best;
    }
    return none;
}

index placer::pick_spread(const task_record& task, const spread_record& chosen)
{
    static const spread_record empty;
    const absl::flat_hash_map<job_id, spread_record, std::hash<job_id>>::const_iterator
        found = state_.spreads.find(task.id.job);
    const spread_record& running = found == state_.spreads.end() ? empty : found->second;
    std::vector<std::pair<std::uint32_t, index>> order;
    for (index domain = 0; domain < state_.domains.size(); ++domain)
        order.emplace_back(domain_count(running, domain) + domain_count(chosen, domain),
                           domain);
    std::sort(order.begin(), order.end());
    for (const std::pair<std::uint32_t, index>& entry : order)
    {
        candidates_.clear();
        state_.domains[entry.second].sample(
            task.reserved, state_.settings.sampled_candidates * spread_candidate_factor,
            state_.random, candidates_);
        index best = none;
        std::pair<std::uint32_t, double> best_key;
        for (const index candidate : candidates_)
        {
            const index rack = state_.workers[candidate].rack;
            const std::pair<std::uint32_t, double> key(rack_count(running, rack) +
                                                           rack_count(chosen, rack),
                                                       score(candidate, task.reserved));
            if (best != none && key >= best_key)
                continue;
            best = candidate;
            best_key = key;
        }
        if (best != none)
            return best;
    }
    return none;
}

assignment placer::pick_backfill(index position, boot_time now) const
{
    const task_record& task = state_.tasks[position];
    if (task.run_time <= duration(0))
        return {};
    std::size_t holds_tried = 0;
    for (const index hold_position : state_.backfill_holds)
    {
        const hold_record& hold = state_.holds[hold_position];
        if (now + task.run_time > hold.bound || ++holds_tried > max_backfill_holds_tried)
            continue;
        const std::size_t tried = std::min(hold.slots.size(), max_backfill_slots_tried);
        for (std::size_t i = 0; i < tried; ++i)
        {
            const index candidate = hold.slots[i].worker;
            const worker_record& worker = state_.workers[candidate];
            // A second hold on the worker may need the capacity earlier than this one.
            const bool only_hold =
                std::all_of(worker.holds.begin(), worker.holds.end(),
                            [&](index other) { return other == hold_position; });
            if (only_hold && state_.usable(worker) &&
                task.reserved.fits_in(state_.free(worker)))
                return {position, candidate, true, hold_position};
        }
    }
    return {};
}

assignment placer::pick(index position, boot_time now, const spread_record& chosen)
{
    const task_record& task = state_.tasks[position];
    const index worker =
        task.spread ? pick_spread(task, chosen) : pick_packed(task.reserved);
    if (worker != none)
        return {position, worker, false, none};
    return task.gang == none ? pick_backfill(position, now) : assignment();
}

bool placer::place(index leader, boot_time now, std::vector<assignment>& chosen)
{
    chosen.clear();
    const index gang = state_.tasks[leader].gang;
    const std::span<const index> unit =
        gang == none ? std::span<const index>(&leader, 1)
                     : std::span<const index>(state_.gangs[gang].members);
    resources sum;
    for (const index member : unit)
    {
        task_record& task = state_.tasks[member];
        task.reserved = state_.reserved_size(task);
        sum += task.reserved;
    }
    if (!sum.fits_in(state_.own_capacity - state_.own_used))
        return false;
    spread_record spread;
    const bool spreads = state_.tasks[leader].spread;
    if (spreads)
        spread.domains.resize(state_.domains.size());
    for (const index member : unit)
    {
        const assignment entry = pick(member, now, spread);
        if (entry.worker == none)
        {
            for (const assignment& charged : chosen)
                state_.discharge(charged.worker, state_.tasks[charged.task].reserved);
            chosen.clear();
            return false;
        }
        state_.charge(entry.worker, state_.tasks[member].reserved);
        if (spreads)
        {
            ++spread.domains[state_.workers[entry.worker].domain];
            ++spread.racks[state_.workers[entry.worker].rack];
        }
        chosen.push_back(entry);
    }
    return true;
}

} // namespace hawthornbeam::policy
