/// \file
/// Estimates of queueing time, the limit on starts a second and the set of worker shapes.
#ifndef HAWTHORNBEAM_POLICY_ADMISSION_HPP
#define HAWTHORNBEAM_POLICY_ADMISSION_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/units.hpp"

#include <cstdint>
#include <vector>

namespace hawthornbeam::policy
{

/// Rate at which a queue drains while it has a backlog. Idle time does not count, because
/// a low demand says nothing about the capacity.
class drain_estimator
{
public:
    /// Accounts for the time since the last call; \p backlog tells whether tasks waited.
    void advance(boot_time now, bool backlog);
    void count_start() { starts_ += 1; }
    /// Expected wait behind \p ahead tasks; zero while nothing is known.
    duration wait(std::size_t ahead) const;

private:
    boot_time last_{};
    double starts_ = 0;
    double busy_seconds_ = 0;
};

/// Admits at most a given number of starts in any second, by a token bucket whose burst
/// and refill together stay within that number.
class start_rate
{
public:
    /// \p scale is the part of the cluster that this scheduler owns.
    bool admits(boot_time now, std::uint32_t per_second, double scale);
    void count_starts(std::uint32_t count) { tokens_ -= count; }

private:
    double tokens_ = 1e9;
    boot_time last_{};
};

/// The distinct capacities of the known workers with their counts.
class shape_set
{
public:
    void add(const resources& capacity);
    void remove(const resources& capacity);
    /// Largest worker of the cluster as reported by others.
    void set_largest_remote(const resources& capacity) { remote_ = capacity; }
    bool empty() const { return shapes_.empty() && remote_ == resources(); }
    /// Whether some known worker can hold \p size when it is empty.
    bool holds(const resources& size) const;
    /// Upper bound on how many tasks of \p size the own workers hold together.
    std::uint64_t count_fitting(const resources& size) const;
    /// \p wanted cut down to a worker that can hold \p declared; \p declared when there
    /// is none.
    resources cap(const resources& declared, const resources& wanted) const;
    resources largest() const;

private:
    struct shape
    {
        resources capacity;
        std::uint32_t count = 0;
    };
    std::vector<shape> shapes_;
    resources remote_;
};

} // namespace hawthornbeam::policy

#endif
