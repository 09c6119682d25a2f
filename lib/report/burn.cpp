/// \file
/// Computes error budgets and burn rates from slots.
#include "hawthornbeam/report/burn.hpp"

#include "slots.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

/// With fewer events in the long window, a single bad event would raise an alarm.
constexpr double min_events = 10;
/// Intervals of a plot; more could not be distinguished at the width of the plot.
constexpr std::int64_t max_points = 144;
double ratio(double a, double b)
{
    return b > 0 ? a / b : 0;
}

/// Cumulative counts of the bad events and of all events of one objective over time.
class event_series
{
public:
    void add(std::int64_t slot, double bad, double all)
    {
        times_.push_back(wall_time(slot * slot_length));
        bad_.push_back((bad_.empty() ? 0 : bad_.back()) + bad);
        all_.push_back((all_.empty() ? 0 : all_.back()) + all);
    }

    struct sums
    {
        double bad = 0;
        double all = 0;
    };

    /// Returns the events between \p from and \p to, assuming that the events of a slot
    /// are evenly distributed over it.
    sums between(wall_time from, wall_time to) const
    {
        const sums upper = until(to);
        const sums lower = until(from);
        // Rounding can make the difference of cumulative counts negative.
        return {std::max(0.0, upper.bad - lower.bad),
                std::max(0.0, upper.all - lower.all)};
    }

    /// Sets the end of the recording, which may lie within the last slot.
    void set_end(wall_time end) { end_ = end; }

private:
    sums until(wall_time time) const
    {
        const std::vector<wall_time>::const_iterator after =
            std::upper_bound(times_.begin(), times_.end(), time);
        if (after == times_.begin())
            return {};
        const std::size_t index = static_cast<std::size_t>(after - times_.begin()) - 1;
        const sums before = index == 0 ? sums{} : sums{bad_[index - 1], all_[index - 1]};
        const milliseconds length =
            std::max(milliseconds(1), std::min(slot_length, end_ - times_[index]));
        const double part =
            std::min(1.0, ratio(static_cast<double>((time - times_[index]).count()),
                                static_cast<double>(length.count())));
        return {before.bad + part * (bad_[index] - before.bad),
                before.all + part * (all_[index] - before.all)};
    }

    std::vector<wall_time> times_;
    std::vector<double> bad_;
    std::vector<double> all_;
    wall_time end_ = wall_time::max();
};

struct slot_events
{
    double bad = 0;
    double all = 0;
};

slot_events wait_events(const row_objectives&, const slot&, const row_slot& row)
{
    return {row.counts.late, row.counts.starts};
}

slot_events refused_events(const row_objectives&, const slot&, const row_slot& row)
{
    const double refused = row.counts.refusals();
    return {refused, refused + row.counts.starts};
}

/// Counts one event for each slot in which the row had waiting work and a guarantee. The
/// event is bad when the mean share was below the floor.
slot_events share_events(const row_objectives& objectives, const slot& sampled,
                         const row_slot& row)
{
    if (sampled.samples == 0 || row.waiting == 0 || row.guaranteed <= 0)
        return {};
    const double min_share = objectives.share_floor * static_cast<double>(row.guaranteed);
    return {sampled.mean(row.share) < min_share ? 1.0 : 0.0, 1.0};
}

using event_reader = slot_events (*)(const row_objectives&, const slot&, const row_slot&);
constexpr std::array<event_reader, objective_kinds> event_readers{
    wait_events, refused_events, share_events};

/// The data from which budget and burn rates of one objective are computed.
struct objective_input
{
    event_series events;
    double allowed = 0;
    duration period{};
    wall_time begin{};
    wall_time end{};

    double burn_rate(wall_time to, duration window) const
    {
        const milliseconds length = std::chrono::duration_cast<milliseconds>(window);
        const event_series::sums sums = events.between(to - length, to);
        return ratio(ratio(sums.bad, sums.all), allowed);
    }

    /// Returns the fraction of the budget left at \p to. The unrecorded part of the
    /// period counts as free of bad events.
    double budget_left(wall_time to) const
    {
        const milliseconds length = std::chrono::duration_cast<milliseconds>(period);
        const milliseconds recorded = std::min(length, to - begin);
        const double used =
            burn_rate(to, period) * ratio(static_cast<double>(recorded.count()),
                                          static_cast<double>(length.count()));
        return 1 - used;
    }
};

window_burn measure_window(const objective_input& input, const window_pair& pair)
{
    window_burn burn;
    burn.long_rate = input.burn_rate(input.end, pair.long_window);
    burn.short_rate = input.burn_rate(input.end, pair.short_window);
    burn.threshold = pair.budget_fraction * static_cast<double>(input.period.count()) /
                     static_cast<double>(pair.long_window.count());
    const milliseconds length =
        std::chrono::duration_cast<milliseconds>(pair.long_window);
    burn.events = input.events.between(input.end - length, input.end).all;
    burn.covered = input.end - input.begin >= length;
    burn.too_fast = burn.events >= min_events && burn.long_rate > burn.threshold &&
                    burn.short_rate > burn.threshold;
    return burn;
}

std::vector<burn_point> plot_points(const objective_input& input)
{
    std::vector<burn_point> points;
    const milliseconds span = input.end - input.begin;
    const std::int64_t count =
        std::clamp<std::int64_t>(span / slot_length, 1, max_points);
    for (std::int64_t i = 0; i <= count; ++i)
    {
        const wall_time time = input.begin + span * i / count;
        points.push_back(
            {time, input.budget_left(time), input.burn_rate(time, hours(1))});
    }
    return points;
}

objective_burn measure(const objective_input& input, objective_kind kind)
{
    objective_burn burn;
    burn.kind = kind;
    burn.allowed = input.allowed;
    const event_series::sums sums = input.events.between(
        input.end - std::chrono::duration_cast<milliseconds>(input.period), input.end);
    burn.events = sums.all;
    burn.bad = sums.bad;
    burn.budget_left = input.budget_left(input.end);
    for (std::size_t i = 0; i < burn_windows.size(); ++i)
        burn.windows[i] = measure_window(input, burn_windows[i]);
    burn.points = plot_points(input);
    return burn;
}

event_series collect_events(const slot_map& slots, const row_objectives& objectives,
                            std::size_t row, objective_kind kind)
{
    event_series events;
    for (const std::pair<const std::int64_t, slot>& entry : slots)
    {
        const slot_events counted = event_readers[static_cast<std::size_t>(kind)](
            objectives, entry.second, entry.second.rows[row]);
        events.add(entry.first, counted.bad, counted.all);
    }
    return events;
}

/// Returns the shortest long window whose alarm fires, because it covers the most recent
/// data; the longest one when no alarm fires.
duration alarm_window(const objective_burn& burn)
{
    for (std::size_t i = 0; i < burn_windows.size(); ++i)
        if (burn.windows[i].too_fast)
            return burn_windows[i].long_window;
    return burn_windows.back().long_window;
}

} // namespace

const std::array<window_pair, 3> burn_windows{
    {{"1 h / 5 min", hours(1), minutes(5), 0.02, "page"},
     {"6 h / 30 min", hours(6), minutes(30), 0.05, "page"},
     {"3 d / 6 h", hours(72), hours(6), 0.1, "ticket"}}};

bool objective_burn::too_fast() const
{
    return std::any_of(windows.begin(), windows.end(),
                       [](const window_burn& window) { return window.too_fast; });
}

bool row_burn::too_fast() const
{
    return std::any_of(objectives.begin(), objectives.end(),
                       [](const objective_burn& burn) { return burn.too_fast(); });
}

class burn_calculator::implementation
{
public:
    explicit implementation(service_objectives parsed)
        : objectives(std::move(parsed)), builder(objectives)
    {
    }

    objective_burn measure_objective(std::size_t row, objective_kind kind) const
    {
        objective_input input;
        input.events = collect_events(builder.slots(), objectives.rows[row], row, kind);
        input.events.set_end(builder.end());
        input.allowed = *objectives.rows[row].allowed(kind);
        input.period = objectives.period;
        input.begin = builder.begin();
        input.end = builder.end();
        return measure(input, kind);
    }

    void add_causes(std::size_t row, const objective_burn& burn, row_burn& target) const
    {
        if (!burn.too_fast())
            return;
        const wall_time from =
            builder.end() - std::chrono::duration_cast<milliseconds>(alarm_window(burn));
        for (likely_cause& cause :
             find_causes(summarize(builder.slots(), row, burn.kind, from)))
        {
            const bool is_known = std::any_of(target.causes.begin(), target.causes.end(),
                                              [&cause](const likely_cause& known)
                                              { return known.name == cause.name; });
            if (!is_known)
                target.causes.push_back(std::move(cause));
        }
    }

    row_burn measure_row(std::size_t row) const
    {
        row_burn burn;
        burn.row = objectives.rows[row].row;
        for (std::size_t i = 0; i < objective_kinds; ++i)
        {
            const objective_kind kind = static_cast<objective_kind>(i);
            if (!objectives.rows[row].allowed(kind))
                continue;
            burn.objectives.push_back(measure_objective(row, kind));
            add_causes(row, burn.objectives.back(), burn);
            burn.has_data = burn.has_data || burn.objectives.back().events > 0;
        }
        return burn;
    }

    service_objectives objectives;
    slot_builder builder;
};

burn_calculator::burn_calculator(service_objectives objectives)
    : implementation_(std::make_unique<implementation>(std::move(objectives)))
{
}

burn_calculator::~burn_calculator() = default;

result<bool> burn_calculator::add(const metrics_sample& sample)
{
    return implementation_->builder.add(sample);
}

burn_report burn_calculator::report() const
{
    const slot_builder& builder = implementation_->builder;
    burn_report report;
    report.period = implementation_->objectives.period;
    report.samples = builder.samples();
    report.instances = builder.instances();
    std::set<row_id> unmeasured = builder.observed_rows();
    for (const row_objectives& row : implementation_->objectives.rows)
        unmeasured.erase(row.row);
    report.without_objectives.assign(unmeasured.begin(), unmeasured.end());
    if (report.samples == 0)
    {
        report.faults.push_back(finding{"", 0, "", "no sample was read", ""});
        return report;
    }
    report.begin = builder.begin();
    report.end = builder.end();
    for (std::size_t i = 0; i < implementation_->objectives.rows.size(); ++i)
        report.rows.push_back(implementation_->measure_row(i));
    return report;
}

} // namespace hawthornbeam
