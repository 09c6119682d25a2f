/// \file
/// Error budgets and burn rates of the rows over recorded metrics.
#ifndef HAWTHORNBEAM_REPORT_BURN_HPP
#define HAWTHORNBEAM_REPORT_BURN_HPP

#include "hawthornbeam/report/objectives.hpp"
#include "hawthornbeam/report/recording.hpp"

#include <array>
#include <memory>

namespace hawthornbeam
{

/// A pair of windows. Both must burn too fast for an alarm: the long one shows that it
/// matters, the short one that it is still going on.
struct window_pair
{
    const char* name;
    duration long_window;
    duration short_window;
    double budget_fraction; ///< Part of the budget that the long window may use up.
    const char* action;     ///< "page" or "ticket".
};

/// 1 h with 5 min, 6 h with 30 min, 3 d with 6 h.
extern const std::array<window_pair, 3> burn_windows;

/// Burn rates of one pair; a rate of 1 uses up the budget exactly within its period.
struct window_burn
{
    double long_rate = 0;
    double short_rate = 0;
    double threshold = 0;
    double events = 0;     ///< In the long window.
    bool covered = false;  ///< The recording is as long as the long window.
    bool too_fast = false; ///< Both rates are above the threshold, with enough events.
};

/// A point of the plots.
struct burn_point
{
    wall_time time{};
    double budget_left = 1;
    double hour_rate = 0; ///< Burn rate over the hour before.
};

/// One objective of one row.
struct objective_burn
{
    objective_kind kind = objective_kind::wait;
    double allowed = 0;     ///< Fraction of bad events.
    double events = 0;      ///< Within the period.
    double bad = 0;         ///< Within the period.
    double budget_left = 1; ///< 1 is untouched, 0 used up, negative overspent.
    std::array<window_burn, 3> windows;
    std::vector<burn_point> points;

    bool too_fast() const;
};

/// Why a row may burn its budget, with the figures that suggest it.
struct likely_cause
{
    std::string name;     ///< share, capacity, key-value service, bad workers, refusals.
    std::string evidence; ///< Figures.
    std::string advice;   ///< What an operator checks first.
};

struct row_burn
{
    row_id row;
    bool has_data = false;
    std::vector<objective_burn> objectives;
    std::vector<likely_cause> causes; ///< Most likely first; only for too fast rows.

    bool too_fast() const;
};

struct burn_report
{
    wall_time begin{}; ///< First sample.
    wall_time end{};   ///< Last sample; all windows end here.
    duration period{};
    std::size_t samples = 0;
    std::size_t instances = 0;
    std::vector<row_burn> rows; ///< In the order of the objectives.
    std::vector<row_id> without_objectives;
    findings faults;
};

/// Takes samples one by one and keeps only sums in slots of five minutes, so the memory
/// grows with the recorded time and the rows, not with the instances.
class burn_calculator
{
public:
    explicit burn_calculator(service_objectives objectives);
    ~burn_calculator();

    /// Adds a sample. Samples of one instance come in order of time; the first only sets
    /// the baseline of its counters. A refused sample changes nothing.
    result<bool> add(const metrics_sample& sample);
    /// The report as of the last sample.
    burn_report report() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// A table for a terminal.
std::string to_text(const burn_report& report);
/// One JSON document.
std::string to_json(const burn_report& report);
/// One page without references to other files or hosts.
std::string to_html(const burn_report& report);

} // namespace hawthornbeam

#endif
