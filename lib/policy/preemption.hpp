/// \file
/// Preemption: selects victims, assigns their capacity to a hold, and advances them from
/// throttle through checkpoint to stop.
#ifndef HAWTHORNBEAM_POLICY_PREEMPTION_HPP
#define HAWTHORNBEAM_POLICY_PREEMPTION_HPP

#include "state.hpp"

namespace hawthornbeam::policy
{

/// Planned capacity for one member of a unit on one worker.
struct slot_plan
{
    index worker = none;
    boot_time ready{}; ///< Estimate; with preemption the time of the plan.
    std::vector<index> victims;
    std::uint8_t most_urgent_victim = least_urgent.value();
    std::uint32_t non_idempotent = 0;
    duration lost_run_time{}; ///< Run time that the victims repeat.
};

/// Preempts running tasks in stages. The unit that needs the capacity gets a hold, so
/// that no other task takes it.
class preemptor
{
public:
    preemptor(state& policy_state, std::vector<preemption>& preemptions)
        : state_(policy_state), preemptions_(preemptions)
    {
    }

    /// Selects victims for the unit, marks them as releasing their capacity, and returns
    /// one slot for each member. Returns no slots and marks nothing if too few tasks may
    /// be preempted for the unit.
    std::vector<slot_plan> select_victims(index leader, const resources& member_size,
                                          std::size_t members, boot_time now);
    /// Assigns the victims of \p slots to \p hold, throttles them, and schedules their
    /// next stage.
    void start_preemption(const std::vector<slot_plan>& slots, index hold);
    /// Moves a task that is being preempted to its next stage. A throttled task whose
    /// hold no longer exists resumes instead.
    void advance_stage(index task, boot_time now);
    /// Preempts one task for \p hold, without checking the priority or guarantee of its
    /// row.
    void preempt_task(index task, index hold, boot_time now);

private:
    bool may_preempt(const row_record& row, index victim) const;
    std::vector<index> candidate_workers(const row_record& row,
                                         std::size_t max_workers) const;
    void plan_worker(const row_record& row, index worker, const resources& member_size,
                     std::size_t max_slots, boot_time now,
                     std::vector<slot_plan>& plans) const;
    bool mark_releasing(const row_record& row, const slot_plan& plan);
    void unmark_releasing(const slot_plan& plan);

    state& state_;
    std::vector<preemption>& preemptions_;
};

} // namespace hawthornbeam::policy

#endif
