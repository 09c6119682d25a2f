/// \file
/// Chooses victims, keeps their capacity for whom they make room, and advances them from
/// throttle through checkpoint to stop.
#ifndef HAWTHORNBEAM_POLICY_PREEMPTION_HPP
#define HAWTHORNBEAM_POLICY_PREEMPTION_HPP

#include "state.hpp"

namespace hawthornbeam::policy
{

/// Room for one member of a unit on one worker.
struct slot_plan
{
    index worker = none;
    boot_time ready{}; ///< Estimate; only for reservations without preemption.
    std::vector<index> victims;
    std::uint8_t most_urgent_victim = least_urgent.value();
    std::uint32_t non_idempotent = 0;
    duration lost_run_time{}; ///< Run time to be repeated.
};

class preemptor
{
public:
    preemptor(state& policy_state, std::vector<preemption>& preemptions)
        : state_(policy_state), preemptions_(preemptions)
    {
    }

    /// Preempts for the unit and returns the slots, or nothing when there are not enough
    /// victims that may be preempted for it.
    std::vector<slot_plan> select_victims(index leader, const resources& member_size,
                                          std::size_t members, boot_time now);
    /// Names the hold that the victims of \p slots make room for.
    void start_preemption(const std::vector<slot_plan>& slots, index hold);
    /// The next stage of a task that is being preempted.
    void advance_stage(index task, boot_time now);
    /// Preempts one task for \p hold, whoever it belongs to.
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
