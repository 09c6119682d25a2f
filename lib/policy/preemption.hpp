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
    duration lost{}; ///< Run time to be repeated.
};

class preemptor
{
public:
    preemptor(state& all, std::vector<preemption>& out) : all_(all), out_(out) {}

    /// Preempts for the unit and returns the slots, or nothing when there are not enough
    /// victims that may be preempted for it.
    std::vector<slot_plan> make_room(index leader, const resources& member_size,
                                     std::size_t members, boot_time now);
    /// Names the hold that the victims of \p slots make room for.
    void assign(const std::vector<slot_plan>& slots, index hold);
    /// The next stage of a task that is being preempted.
    void advance(index task, boot_time now);
    /// Preempts one task for \p hold, whoever it belongs to.
    void evict(index task, index hold, boot_time now);

private:
    bool may_preempt(const row_record& row, index victim) const;
    std::vector<index> candidate_workers(const row_record& row, std::size_t most) const;
    void plan_worker(const row_record& row, index worker, const resources& member_size,
                     std::size_t most, boot_time now,
                     std::vector<slot_plan>& plans) const;
    bool mark(const row_record& row, const slot_plan& plan);
    void unmark(const slot_plan& plan);

    state& all_;
    std::vector<preemption>& out_;
};

} // namespace hawthornbeam::policy

#endif
