/// \file
/// Keeps capacity for gangs and tasks that could not start at once.
#ifndef HAWTHORNBEAM_POLICY_HOLDS_HPP
#define HAWTHORNBEAM_POLICY_HOLDS_HPP

#include "placement.hpp"
#include "preemption.hpp"

namespace hawthornbeam::policy
{

/// Creates, tries and ends holds. A hold ends when its unit starts, after a time limit,
/// when one of its workers leaves, or when more urgent work needs the capacity. After the
/// limit the unit backs off for a seeded random time; the limit doubles with each
/// attempt, so that a large gang at last outlasts the tasks that run on its workers.
class hold_manager
{
public:
    hold_manager(state& policy_state, preemptor& task_preemptor)
        : state_(policy_state), preemptor_(task_preemptor)
    {
    }

    /// Preempts for the unit, or reserves capacity as it becomes free. Returns whether
    /// the unit has a hold now.
    bool try_create_hold(index leader, boot_time now);
    /// Lets a less urgent reservation go, so that the unit may use its capacity.
    bool release_weaker_reservation(index leader, boot_time now);
    /// Starts the units whose held workers have enough room now.
    void start_ready_units(boot_time now, std::size_t max_placements,
                           std::vector<placement>& out);
    /// The time limit of a hold has passed.
    void expire(index hold, boot_time now);
    /// Preempts the backfilled tasks that run longer than declared.
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
