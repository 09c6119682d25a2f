/// \file
/// Expected free capacity of a worker over time.
#ifndef HAWTHORNBEAM_LIB_CELL_CAPACITY_FORECAST_HPP
#define HAWTHORNBEAM_LIB_CELL_CAPACITY_FORECAST_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/units.hpp"

#include <optional>
#include <vector>

namespace hawthornbeam::cell
{

/// Free capacity of a worker from now on: grows when its runs are expected to end, and
/// shrinks when capacity that is held for a gang is taken.
class capacity_forecast
{
public:
    capacity_forecast(boot_time now, const resources& free_capacity);

    /// Adds \p size from \p at on, or from now on if \p at is in the past.
    void release(boot_time at, const resources& size);
    /// Takes \p size from \p at on, or from now on if \p at is in the past.
    void hold(boot_time at, const resources& size);
    /// Returns whether \p size is free from now until \p end.
    bool fits(const resources& size, boot_time end) const;
    /// Returns the lowest free capacity from now until \p end.
    resources least_free(boot_time end) const;
    /// Returns the earliest time from which \p size stays free; empty if there is none.
    std::optional<boot_time> free_from(const resources& size) const;

private:
    struct level
    {
        boot_time from{};
        resources free_capacity;
    };
    void change(boot_time at, const resources& difference);

    /// Ascending by time; the first one begins now.
    std::vector<level> levels_;
};

} // namespace hawthornbeam::cell

#endif
