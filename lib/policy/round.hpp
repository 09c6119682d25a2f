/// \file
/// One scheduling round, and the texts of refusals and explanations.
#ifndef HAWTHORNBEAM_POLICY_ROUND_HPP
#define HAWTHORNBEAM_POLICY_ROUND_HPP

#include "fairness.hpp"
#include "holds.hpp"

namespace hawthornbeam::policy
{

/// Runs due timers, refuses tasks that cannot start in time, and starts tasks in
/// fair-share order.
class decision_round
{
public:
    decision_round(state& all, boot_time now, std::size_t max_placements)
        : all_(all), now_(now), max_placements_(max_placements), placer_(all),
          preemptor_(all, decisions_.preemptions), holds_(all, preemptor_)
    {
    }

    decisions run();

private:
    void run_timers();
    void run_timer(const timer& due);
    void end_back_off(index task);
    void end_quarantine(const timer& due);
    void refuse_removed_rows();
    /// Refuses requests at the tail of the queue that are expected to miss their start
    /// deadline.
    void refuse_late_requests(row_record& row);
    /// Refuses the whole unit of \p task.
    void refuse_unit(index task, error_code code, const std::string& reason,
                     duration retry_after);
    void start_units();
    /// Tries to place a unit; returns whether it starts.
    bool start_unit(index leader);
    /// Whether a task of this size or a smaller one found no worker earlier in this
    /// round.
    bool known_unplaceable(const task_record& leader, const resources& size) const;
    /// Handles a unit that could not be placed: requests a hold, or delays a large gang.
    void block(index leader);
    /// Refuses a unit that has been blocked for a while and can never start.
    bool refuse_if_impossible(index leader);

    state& all_;
    boot_time now_;
    std::size_t max_placements_;
    decisions decisions_;
    placer placer_;
    preemptor preemptor_;
    hold_manager holds_;
    std::vector<assignment> assignments_;
    /// Sizes that found no worker in this round. Free capacity only shrinks within a
    /// round.
    std::vector<resources> unplaceable_sizes_;
    std::size_t lookahead_left_ = 0;
};

/// Reason why a task or gang of this size can never start; empty when it can.
std::string impossible_reason(const state& all, const row_record& row,
                              const resources& size, std::uint32_t gang_size);
/// Explains why a task waits; empty for a running task.
std::string explain_waiting(const state& all, index task, boot_time now);
/// Formats a size, for example "2.000 cores, 1.00 GiB, 0 accelerators".
std::string describe(const resources& size);

} // namespace hawthornbeam::policy

#endif
