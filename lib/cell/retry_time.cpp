/// \file
/// Computes the time from the length of the outage, with jitter and bounds.
#include "hawthornbeam/cell/retry_time.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::cell
{

namespace
{

constexpr std::chrono::seconds min_wait{1};
/// Bounds the time that callers lose once a store that failed for long answers again.
constexpr std::chrono::seconds max_wait{4};
/// Width of the jitter as a fraction of the wait.
constexpr double jitter_fraction = 0.5;

} // namespace

std::chrono::seconds retry_time(duration outage, double jitter)
{
    const double expected = std::chrono::duration<double>(min_wait + outage).count() *
                            (1 - jitter_fraction / 2 + jitter_fraction * jitter);
    const std::chrono::seconds wait(std::lround(expected));
    return std::clamp(wait, min_wait, max_wait);
}

} // namespace hawthornbeam::cell
