/// \file
/// Holds on worker capacity for gangs and tasks that cannot start immediately.
#ifndef HAWTHORNBEAM_POLICY_HOLDS_HPP
#define HAWTHORNBEAM_POLICY_HOLDS_HPP

#include "placement.hpp"
#include "preemption.hpp"

namespace hawthornbeam::policy
{

/// Creates holds, starts their units and releases them. A unit is a gang or a single task
/// without a gang; the index of its first task, the leader, identifies it. A hold is
/// released when its unit starts, when its time limit expires, when one of its workers
/// becomes unusable, or when more urgent work needs the capacity. After the time limit
/// the unit backs off for a seeded random time. The limit doubles with each attempt, so
/// that the hold of a large gang eventually outlasts the tasks that run on its workers.
class hold_manager
{
public:
    hold_manager(state& policy_state, preemptor& task_preemptor)
        : state_(policy_state), preemptor_(task_preemptor)
    {
    }

    /// Creates a hold for the unit: selects tasks to preempt or, where none qualify,
    /// reserves capacity that becomes free as running tasks end. Returns true if the unit
    /// has a hold afterwards.
    bool try_create_hold(index leader, boot_time now);
    /// Releases one reservation that ranks below the unit, so that the unit can use its
    /// capacity. Returns true if a reservation was released.
    bool release_weaker_reservation(index leader, boot_time now);
    /// Starts the units whose held workers now have enough free capacity, and appends
    /// their placements to \p out. Once \p out is not empty, units that would take it
    /// above \p max_placements wait for the next call.
    void start_ready_units(boot_time now, std::size_t max_placements,
                           std::vector<placement>& out);
    /// Releases a hold without starting its unit, and delays the unit's next attempt.
    void expire(index hold, boot_time now);
    /// Preempts the backfilled tasks of a hold that are still running at the time when
    /// the hold needs their capacity.
    void preempt_backfills(index hold, boot_time now);

private:
    std::vector<slot_plan> plan_reservation(const resources& member_size,
                                            std::size_t members, boot_time now);
    void plan_worker(index worker, const resources& member_size, std::size_t max_slots,
                     boot_time now, std::vector<slot_plan>& plans) const;
    void create(index leader, const resources& member_size,
                const std::vector<slot_plan>& slots, bool preempts, boot_time now);
    bool try_start(index hold, boot_time now, std::vector<placement>& out);
    std::vector<slot_plan> plan_preemption(index leader, const resources& member_size,
                                           std::size_t members, boot_time now);
    duration time_limit(const task_record& leader) const;

    state& state_;
    preemptor& preemptor_;
};

} // namespace hawthornbeam::policy

#endif
