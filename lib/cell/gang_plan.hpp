/// \file
/// Chooses the workers for a gang that does not fit now.
#ifndef HAWTHORNBEAM_LIB_CELL_GANG_PLAN_HPP
#define HAWTHORNBEAM_LIB_CELL_GANG_PLAN_HPP

#include "capacity_forecast.hpp"
#include "hawthornbeam/support/ids.hpp"

#include <cstdint>
#include <map>

namespace hawthornbeam::cell
{

/// A worker that may run members of a gang.
struct gang_candidate
{
    worker_id id;
    const capacity_forecast* forecast = nullptr;
    std::uint32_t max_members = 0;
    boot_time available_from{}; ///< Takes no start before, whatever its capacity.
};

/// Where and when a gang can start.
struct gang_plan
{
    boot_time starts_at{};
    std::map<worker_id, std::uint32_t> members; ///< Number of members by worker.
};

/// Plans a gang of \p count members of size \p member at the earliest time at which the
/// candidates have room for all of them at once. Returns nothing if they never have.
std::optional<gang_plan> plan_gang(const resources& member, std::uint32_t count,
                                   const std::vector<gang_candidate>& candidates);

} // namespace hawthornbeam::cell

#endif
