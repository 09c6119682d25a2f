/// \file
/// Keeps the slowest response of the current period and of the one before.
#include "hawthornbeam/support/adaptive_timeout.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

constexpr int response_times_to_wait = 3;
constexpr duration period = std::chrono::seconds(2);

} // namespace

adaptive_timeout::adaptive_timeout(const clock_source& clock, const bounds& limits)
    : clock_(clock), limits_(limits)
{
}

duration adaptive_timeout::current() const
{
    const duration since = clock_.now() - period_began_at_;
    const duration slowest = since < period
                                 ? std::max(slowest_in_period_, slowest_in_last_period_)
                             : since < 2 * period ? slowest_in_period_
                                                  : duration::zero();
    return std::clamp(slowest * response_times_to_wait, limits_.min, limits_.max);
}

void adaptive_timeout::record_response(duration response_time)
{
    record(response_time);
}

void adaptive_timeout::record_timeout(duration timeout)
{
    // Half of the timeout lets the next one grow by half, in case the service is slow and
    // not silent.
    record(timeout / 2);
}

void adaptive_timeout::record(duration response_time)
{
    const boot_time now = clock_.now();
    if (now - period_began_at_ >= period)
    {
        slowest_in_last_period_ =
            now - period_began_at_ < 2 * period ? slowest_in_period_ : duration::zero();
        slowest_in_period_ = duration::zero();
        period_began_at_ = now;
    }
    slowest_in_period_ = std::max(slowest_in_period_, response_time);
}

} // namespace hawthornbeam
