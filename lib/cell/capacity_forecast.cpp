/// \file
/// Keeps the forecast as a step function.
#include "capacity_forecast.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

capacity_forecast::capacity_forecast(boot_time now, const resources& free_capacity)
    : levels_{{now, free_capacity}}
{
}

void capacity_forecast::change(boot_time at, const resources& difference)
{
    at = std::max(at, levels_.front().from);
    auto position = std::ranges::lower_bound(levels_, at, {}, &level::from);
    if (position == levels_.end() || position->from != at)
    {
        const resources before = std::prev(position)->free_capacity;
        position = levels_.insert(position, {at, before});
    }
    for (; position != levels_.end(); ++position)
        position->free_capacity += difference;
}

void capacity_forecast::release(boot_time at, const resources& size)
{
    change(at, size);
}

void capacity_forecast::hold(boot_time at, const resources& size)
{
    change(at, resources() - size);
}

bool capacity_forecast::fits(const resources& size, boot_time end) const
{
    return end <= levels_.front().from || size.fits_in(least_free(end));
}

resources capacity_forecast::least_free(boot_time end) const
{
    resources least = levels_.front().free_capacity;
    for (const auto& [from, free_capacity] : levels_)
    {
        if (from >= end)
            break;
        least.processors = std::min(least.processors, free_capacity.processors);
        least.memory = std::min(least.memory, free_capacity.memory);
        least.accelerators = std::min(least.accelerators, free_capacity.accelerators);
    }
    return least;
}

std::optional<boot_time> capacity_forecast::free_from(const resources& size) const
{
    std::optional<boot_time> earliest;
    for (auto each = levels_.rbegin(); each != levels_.rend(); ++each)
    {
        if (!size.fits_in(each->free_capacity))
            break;
        earliest = each->from;
    }
    return earliest;
}

} // namespace hawthornbeam::cell
