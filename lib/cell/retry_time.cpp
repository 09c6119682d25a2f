/// \file
/// Implements the time after which callers come back.
#include "hawthornbeam/cell/retry_time.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

constexpr std::chrono::seconds min_wait{1};
/// Callers should find a store that is back after a long outage within a few seconds.
constexpr std::chrono::seconds max_wait{4};
/// Part of the wait by which callers are spread.
constexpr double spread_share = 0.5;

} // namespace

std::chrono::seconds retry_time(duration outage, double spread)
{
    const double expected = std::chrono::duration<double>(min_wait + outage).count() *
                            (1 - spread_share / 2 + spread_share * spread);
    const std::chrono::seconds wait(std::lround(expected));
    return std::clamp(wait, min_wait, max_wait);
}

} // namespace hawthornbeam::cell
