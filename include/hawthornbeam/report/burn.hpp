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

/// A pair of windows of a burn-rate alarm. The alarm fires when the burn rates of both
/// windows exceed the threshold: the long window shows that the loss of budget is
/// significant, the short window that the fault still continues.
struct window_pair
{
    const char* name;
    duration long_window;
    duration short_window;
    double budget_fraction; ///< Fraction of the budget that the long window may use up.
    const char* action;     ///< "page" or "ticket".
};

/// The window pairs, ordered by the length of the long window: 1 h with 5 min, 6 h with
/// 30 min, 3 d with 6 h.
extern const std::array<window_pair, 3> burn_windows;

/// Burn rates of one window pair. A rate of 1 uses up the budget exactly within its
/// period.
struct window_burn
{
    double long_rate = 0;
    double short_rate = 0;
    double threshold = 0;
    double events = 0;     ///< Number of events in the long window.
    bool covered = false;  ///< The recording is at least as long as the long window.
    bool too_fast = false; ///< Enough events, and both rates exceed the threshold.
};

/// One point in time of the budget and burn rate plots.
struct burn_point
{
    wall_time time{};
    double budget_left = 1;
    double hour_rate = 0; ///< Burn rate over the preceding hour.
};

/// Error budget and burn rates of one objective of one row.
struct objective_burn
{
    objective_kind kind = objective_kind::wait;
    double allowed = 0;     ///< Fraction of events that may be bad.
    double events = 0;      ///< Number of events within the period.
    double bad = 0;         ///< Number of bad events within the period.
    double budget_left = 1; ///< 1: unused, 0: used up, negative: exceeded.
    std::array<window_burn, 3> windows;
    std::vector<burn_point> points;

    bool too_fast() const;
};

/// A likely reason why a row burns its budget, with the metrics that support it.
struct likely_cause
{
    std::string name; ///< share, capacity, key-value service, bad workers or refusals.
    std::string evidence; ///< The metric values that support the cause.
    std::string advice;   ///< What an operator should check first.
};

struct row_burn
{
    row_id row;
    bool has_data = false;
    std::vector<objective_burn> objectives;
    std::vector<likely_cause> causes; ///< Most likely first; empty unless too_fast().

    bool too_fast() const;
};

struct burn_report
{
    wall_time begin{}; ///< Time of the first sample.
    wall_time end{};   ///< Time of the last sample, at which all windows end.
    duration period{};
    std::size_t samples = 0;
    std::size_t instances = 0;
    std::vector<row_burn> rows; ///< In the order of the objectives file.
    std::vector<row_id> without_objectives;
    findings faults;
};

/// Computes the burn report from a stream of samples. Only sums over slots of five
/// minutes are stored, so memory use grows with the recorded time and the number of rows,
/// not with the number of instances.
class burn_calculator
{
public:
    explicit burn_calculator(service_objectives objectives);
    ~burn_calculator();

    /// Adds a sample. The samples of each instance must be in order of time; the first
    /// one only sets the baseline of its counters. A rejected sample changes nothing.
    result<bool> add(const metrics_sample& sample);
    /// The report as of the last sample.
    burn_report report() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// Renders the report as a text table for a terminal.
std::string to_text(const burn_report& report);
/// Renders the report as one JSON document.
std::string to_json(const burn_report& report);
/// Renders the report as one HTML page without references to other files or hosts.
std::string to_html(const burn_report& report);

} // namespace hawthornbeam

#endif
