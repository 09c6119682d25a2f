/// \file
/// Bounds how much of an owner's time its decisions take.
#ifndef HAWTHORNBEAM_LIB_CELL_DECISION_PACER_HPP
#define HAWTHORNBEAM_LIB_CELL_DECISION_PACER_HPP

#include "hawthornbeam/support/clock.hpp"

#include <cstdint>
#include <optional>

namespace hawthornbeam::cell
{

/// Decisions of one period.
struct decision_load
{
    std::uint32_t decisions = 0;
    duration busy{}; ///< Time that the decisions took in all.
    duration longest{};
    duration period{};

    /// Share of the period that the decisions took, from 0 to 100.
    std::int64_t busy_percent() const;
};

/// All work of an owner shares one event loop: reports, changes of the store and calls of
/// clients wait while it decides. After a decision, as much time as it took is left for
/// them.
class decision_pacer
{
public:
    /// Records a decision. Returns the load of the period of a second that it ends, if it
    /// ends one.
    std::optional<decision_load> record(boot_time begin, boot_time end);
    /// The next decision may begin at this time.
    boot_time not_before() const { return not_before_; }

private:
    boot_time not_before_{};
    boot_time period_begin_{};
    decision_load load_;
};

} // namespace hawthornbeam::cell

#endif
