/// \file
/// Keeps which instances have answered the owner.
#include "claim_evidence.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

void claim_evidence::add_instance(const instance_id& id, const endpoint& address)
{
    const auto [found, added] = instances_.try_emplace(id);
    if (!added)
        return;
    found->second.address = address;
    std::erase_if(instances_,
                  [&id, &address](const std::pair<const instance_id, instance>& each)
                  { return each.first != id && each.second.address == address; });
}

void claim_evidence::remove_instance(const instance_id& id)
{
    instances_.erase(id);
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
