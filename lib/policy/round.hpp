/// \file
/// One round of decisions.
#ifndef HAWTHORNBEAM_POLICY_ROUND_HPP
#define HAWTHORNBEAM_POLICY_ROUND_HPP

#include "fairness.hpp"
#include "holds.hpp"

namespace hawthornbeam::policy
{

/// Runs due timers, refuses what cannot start in time, and starts tasks in fair order.
class decision_round
{
public:
    decision_round(state& all, boot_time now, std::size_t most)
        : all_(all), now_(now), most_(most), placer_(all),
          victims_(all, out_.preemptions), holds_(all, victims_)
    {
    }

    decisions run();

private:
    void run_timers();
    void run_timer(const timer& due);
    void end_back_off(index task);
    void end_quarantine(const timer& due);
    void refuse_removed_rows();
    void refuse_late_requests(row_record& row);
    /// Refuses the whole unit of \p task.
    void refuse_unit(index task, error_code code, const std::string& reason,
                     duration retry_after);
    void start_units();
    bool start_unit(index leader);
    /// Whether a task or member of this size found no worker in this round already.
    bool known_not_to_fit(const task_record& leader, const resources& size) const;
    void block(index leader);
    bool refuse_hopeless(index leader);

    state& all_;
    boot_time now_;
    std::size_t most_;
    decisions out_;
    placer placer_;
    preemptor victims_;
    hold_manager holds_;
    std::vector<assignment> chosen_;
    /// Sizes that found no worker in this round; free capacity only shrinks within it.
    std::vector<resources> no_fit_;
    std::size_t lookahead_left_ = 0;
};

/// Whether a task or gang of these sizes can never start; the reason or an empty string.
std::string impossible_reason(const state& all, const row_record& row,
                              const resources& size, std::uint32_t gang_size);
/// Why a waiting task waits; empty for a running one.
std::string explain_waiting(const state& all, index task, boot_time now);
/// "2.000 cores, 1.0 GiB, 0 accelerators".
std::string describe(const resources& size);

} // namespace hawthornbeam::policy

#endif
