/// \file
/// Selection of workers for tasks and gangs.
#ifndef HAWTHORNBEAM_POLICY_PLACEMENT_HPP
#define HAWTHORNBEAM_POLICY_PLACEMENT_HPP

#include "state.hpp"

namespace hawthornbeam::policy
{

/// Selects workers with free capacity. A unit, which is a gang or a single task, is
/// placed completely or not at all.
class placer
{
public:
    explicit placer(state& policy_state) : state_(policy_state) {}

    /// Chooses a worker for each member of the unit and charges the member's size to it.
    /// Returns false and charges nothing if no worker fits one of the members.
    bool place(index leader, boot_time now, std::vector<assignment>& chosen);

private:
    assignment pick(index task, boot_time now, const spread_record& chosen);
    index pick_spread(const task_record& task, const spread_record& chosen);
    index pick_packed(const resources& size);
    assignment pick_backfill(index task, boot_time now) const;
    double score(index worker, const resources& size) const;

    state& state_;
    std::vector<index> candidates_;
};

} // namespace hawthornbeam::policy

#endif
