/// \file
/// Estimate of the queueing time, rate limit for starts, and the set of worker
/// capacities.
#ifndef HAWTHORNBEAM_POLICY_ADMISSION_HPP
#define HAWTHORNBEAM_POLICY_ADMISSION_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/units.hpp"

#include <cstdint>
#include <vector>

namespace hawthornbeam::policy
{

/// Estimates the rate at which a queue drains while it has a backlog. Time without a
/// backlog does not count, because low demand does not indicate low capacity.
class drain_estimator
{
public:
    /// Accounts for the time since the last call; \p backlog tells whether tasks were
    /// waiting during that time.
    void advance(boot_time now, bool backlog);
    void count_start() { starts_ += 1; }
    /// Expected wait behind \p ahead tasks; zero while there are too few observations.
    duration wait(std::size_t ahead) const;

private:
    boot_time last_{};
    double starts_ = 0;
    double busy_seconds_ = 0;
};

/// Token bucket that limits the starts in any interval of one second. Burst and refill
/// per second together stay within the limit.
class start_rate
{
public:
    /// Whether a start is admitted now. \p scale is the fraction of the cluster, and so
    /// of the limit, that belongs to this scheduler.
    bool admits(boot_time now, std::uint32_t per_second, double scale);
    void count_starts(std::uint32_t count) { tokens_ -= count; }

private:
    double tokens_ = 1e9;
    boot_time last_{};
};

/// The distinct capacities of the workers of this scheduler with their counts, and the
/// largest worker at other instances.
class shape_set
{
public:
    void add(const resources& capacity);
    void remove(const resources& capacity);
    /// Sets the largest worker of the cluster as reported by the other instances.
    void set_largest_remote(const resources& capacity) { largest_remote_ = capacity; }
    bool empty() const { return shapes_.empty() && largest_remote_ == resources(); }
    /// Whether \p size fits on some worker when that is empty.
    bool fits_any(const resources& size) const;
    /// Upper bound on the number of tasks of \p size that fit on the workers of this
    /// scheduler.
    std::uint64_t count_fitting(const resources& size) const;
    /// \p estimate limited to the largest worker that \p declared fits on; \p declared
    /// when it fits on none.
    resources clamp_to_worker(const resources& declared, const resources& estimate) const;
    resources largest() const;

private:
    struct shape
    {
        resources capacity;
        std::uint32_t count = 0;
    };
    std::vector<shape> shapes_;
    resources largest_remote_;
};

} // namespace hawthornbeam::policy

#endif
