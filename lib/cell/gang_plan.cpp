/// \file
/// Plans a gang by the expected free capacity of its candidates.
#include "gang_plan.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

std::optional<gang_plan> plan_gang(const resources& member, std::uint32_t count,
                                   const std::vector<gang_candidate>& candidates)
{
    // Times from which a worker has room for one more member.
    std::vector<std::pair<boot_time, worker_id>> places;
    for (const gang_candidate& candidate : candidates)
    {
        resources size;
        for (std::uint32_t members = 1; members <= candidate.max_members; ++members)
        {
            size += member;
            const std::optional<boot_time> free = candidate.forecast->free_from(size);
            if (!free)
                break;
            places.emplace_back(std::max(*free, candidate.available_from), candidate.id);
        }
    }
    if (places.size() < count)
        return std::nullopt;
    std::ranges::sort(places);
    gang_plan plan;
    for (std::uint32_t number = 0; number < count; ++number)
        ++plan.members[places[number].second];
    plan.starts_at = places[count - 1].first;
    return plan;
}

} // namespace hawthornbeam::cell
