/// \file
/// Timeout of calls to a service whose response time varies.
#ifndef HAWTHORNBEAM_SUPPORT_ADAPTIVE_TIMEOUT_HPP
#define HAWTHORNBEAM_SUPPORT_ADAPTIVE_TIMEOUT_HPP

#include "hawthornbeam/support/clock.hpp"

namespace hawthornbeam
{

/// Derives the timeout of a call from the slowest of the latest responses. With a fixed
/// timeout, calls to a service that becomes slow fail although they are executed, and
/// their repetitions slow it down further.
class adaptive_timeout
{
public:
    struct bounds
    {
        duration min{};
        duration max{};
    };

    adaptive_timeout(const clock_source& clock, const bounds& limits);

    duration current() const;
    /// Records a response that arrived after \p response_time.
    void record_response(duration response_time);
    /// Records a call that got no response within \p timeout.
    void record_timeout(duration timeout);

private:
    void record(duration response_time);

    const clock_source& clock_;
    bounds limits_;
    boot_time period_began_at_{};
    duration slowest_in_period_{};
    duration slowest_in_last_period_{};
};

} // namespace hawthornbeam

#endif
