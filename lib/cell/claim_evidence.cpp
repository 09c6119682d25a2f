/// \file
/// Keeps which instances have answered the owner.
#include "claim_evidence.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Time without a report after which an instance counts as removed from service.
constexpr duration unheard_retention = std::chrono::minutes(10);

} // namespace

bool claim_evidence::add_instance(const known_instance& heard, boot_time now)
{
    const auto [found, added] = instances_.try_emplace(heard.id);
    found->second.heard_at = now;
    if (!added)
        return false;
    found->second.address = heard.address;
    std::erase_if(
        instances_, [&heard](const std::pair<const instance_id, instance>& each)
        { return each.first != heard.id && each.second.address == heard.address; });
    return true;
}

bool claim_evidence::remove_instance(const instance_id& id)
{
    return instances_.erase(id) > 0;
}

bool claim_evidence::remove_at(const endpoint& address)
{
    return std::erase_if(instances_,
                         [&address](const std::pair<const instance_id, instance>& each)
                         { return each.second.address == address; }) > 0;
}

bool claim_evidence::remove_unheard(boot_time now)
{
    return std::erase_if(instances_,
                         [now](const std::pair<const instance_id, instance>& each)
                         { return now - each.second.heard_at > unheard_retention; }) > 0;
}

std::vector<known_instance> claim_evidence::instances() const
{
    std::vector<known_instance> listed;
    listed.reserve(instances_.size());
    for (const auto& [id, each] : instances_)
        listed.push_back({id, each.address});
    return listed;
}

void claim_evidence::record_answer(const instance_id& id, boot_time sent)
{
    const auto found = instances_.find(id);
    if (found != instances_.end())
        found->second.answered_at = std::max(found->second.answered_at, sent);
}

boot_time claim_evidence::confirmed_at(boot_time by_store) const
{
    if (instances_.empty())
        return by_store;
    boot_time earliest = boot_time::max();
    for (const auto& [id, each] : instances_)
        earliest = std::min(earliest, each.answered_at);
    return std::max(by_store, earliest);
}

std::size_t claim_evidence::silent_since(boot_time time) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        instances_, [time](const std::pair<const instance_id, instance>& each)
        { return each.second.answered_at <= time; }));
}

} // namespace hawthornbeam::cell
