/// \file
/// Renders the burn report as one HTML page with inline SVG plots.
#include "render.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

constexpr double plot_width = 420;
constexpr double plot_height = 110;
constexpr double margin_left = 44;
constexpr double margin_right = 8;
constexpr double margin_top = 18;
constexpr double margin_bottom = 20;

constexpr std::string_view page_head = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn report</title>
<style>
body { font: 15px/1.5 sans-serif; color: #1c2430; background: #fff; margin: 2em auto; max-width: 1000px; padding: 0 1em; }
h1 { font-size: 1.5em; margin-bottom: 0; }
h2 { font-size: 1.15em; margin: 2em 0 .3em; }
p.note { color: #59636f; margin-top: .2em; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .25em .6em; text-align: right; border-bottom: 1px solid #dde2e8; white-space: nowrap; }
th { color: #59636f; font-weight: 600; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
.state { border-radius: .3em; padding: .05em .5em; font-weight: 600; }
.ok { background: #e2f2e6; color: #17602b; }
.page { background: #fbdcd9; color: #9b1c12; }
.ticket, .used-up { background: #fdeccb; color: #7a4b00; }
.no-data { background: #e9ecf0; color: #59636f; }
.hot { color: #9b1c12; font-weight: 600; }
.plots { display: flex; flex-wrap: wrap; gap: 1em; }
svg { background: #fafbfc; border: 1px solid #dde2e8; }
svg text { font: 11px sans-serif; fill: #59636f; }
svg .title { fill: #1c2430; font-weight: 600; }
.axis { stroke: #b8c0ca; stroke-width: 1; }
.limit { stroke: #c0392b; stroke-width: 1; stroke-dasharray: 4 3; }
.line { fill: none; stroke: #1f5fa8; stroke-width: 1.6; stroke-linejoin: round; }
.area { fill: #1f5fa8; fill-opacity: .12; stroke: none; }
</style>
</head>
<body>
)";

std::string escape(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
    {
        if (c == '&')
            escaped += "&amp;";
        else if (c == '<')
            escaped += "&lt;";
        else if (c == '>')
            escaped += "&gt;";
        else if (c == '"')
            escaped += "&quot;";
        else
            escaped += c;
    }
    return escaped;
}

std::string state_badge(const objective_burn& burn)
{
    const std::string state = state_of(burn);
    std::string style = state;
    std::replace(style.begin(), style.end(), ' ', '-');
    return fmt::format(R"(<span class="state {}">{}</span>)", style, state);
}

/// A plot of one curve with the labels of its axes and a horizontal limit line.
struct plot
{
    std::string title;
    std::string top_label;    ///< Label at the upper end of the value axis.
    std::string bottom_label; ///< Label at its lower end.
    double min_value = 0;
    double max_value = 1;
    double limit = 0;
    std::vector<double> values; ///< Evenly spaced in time.
    std::string start_label;
    std::string end_label;
};

double x_of(const plot& drawn, std::size_t index)
{
    const double steps = static_cast<double>(
        std::max<std::size_t>(1, drawn.values.empty() ? 1 : drawn.values.size() - 1));
    return margin_left +
           (plot_width - margin_left - margin_right) * static_cast<double>(index) / steps;
}

double y_of(const plot& drawn, double value)
{
    const double inner = plot_height - margin_top - margin_bottom;
    const double part =
        (std::clamp(value, drawn.min_value, drawn.max_value) - drawn.min_value) /
        (drawn.max_value - drawn.min_value);
    return margin_top + inner * (1 - part);
}

std::string curve(const plot& drawn)
{
    std::string points;
    for (std::size_t i = 0; i < drawn.values.size(); ++i)
        points += fmt::format("{}{:.1f},{:.1f}", i == 0 ? "" : " ", x_of(drawn, i),
                              y_of(drawn, drawn.values[i]));
    const double base = y_of(drawn, drawn.min_value);
    return fmt::format("<polygon class=\"area\" points=\"{:.1f},{:.1f} {} "
                       "{:.1f},{:.1f}\"/>\n<polyline class=\"line\" points=\"{}\"/>\n",
                       margin_left, base, points, plot_width - margin_right, base,
                       points);
}

std::string horizontal(const char* style, double y)
{
    return fmt::format("<line class=\"{}\" x1=\"{}\" x2=\"{}\" y1=\"{:.1f}\" "
                       "y2=\"{:.1f}\"/>\n",
                       style, margin_left, plot_width - margin_right, y, y);
}

std::string label(double x, double y, const char* anchor, std::string_view text,
                  const char* style = "")
{
    return fmt::format("<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"{}\" class=\"{}\">{}"
                       "</text>\n",
                       x, y, anchor, style, escape(text));
}

std::string svg(const plot& drawn)
{
    std::string text = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
        "viewBox=\"0 0 {0} {1}\" role=\"img\" aria-label=\"{2}\">\n",
        plot_width, plot_height, escape(drawn.title));
    const double lower = y_of(drawn, drawn.min_value);
    text += horizontal("axis", lower) + curve(drawn);
    text += horizontal("limit", y_of(drawn, drawn.limit));
    text += label(margin_left, 12, "start", drawn.title, "title");
    text +=
        label(margin_left - 5, y_of(drawn, drawn.max_value) + 4, "end", drawn.top_label);
    text += label(margin_left - 5, lower + 4, "end", drawn.bottom_label);
    text += label(margin_left, plot_height - 5, "start", drawn.start_label);
    text += label(plot_width - margin_right, plot_height - 5, "end", drawn.end_label);
    return text + "</svg>\n";
}

/// Formats a time like "12-31 23:59".
std::string short_time(wall_time time)
{
    const std::string text = format_wall_time(time);
    return text.substr(5, 5) + " " + text.substr(11, 5);
}

plot budget_plot(const objective_burn& burn)
{
    plot drawn;
    drawn.title = fmt::format("{}: error budget left", to_string(burn.kind));
    for (const burn_point& point : burn.points)
        drawn.values.push_back(point.budget_left);
    const double lowest = *std::min_element(drawn.values.begin(), drawn.values.end());
    // Rounding to whole multiples of 100% keeps the scales of different rows comparable.
    drawn.min_value = lowest < 0 ? std::floor(std::max(lowest, -10.0)) : 0;
    drawn.top_label = "100%";
    drawn.bottom_label = fmt::format("{:.0f}%", 100 * drawn.min_value);
    return drawn;
}

plot rate_plot(const objective_burn& burn)
{
    plot drawn;
    drawn.title = fmt::format("{}: burn rate over 1 h", to_string(burn.kind));
    for (const burn_point& point : burn.points)
        drawn.values.push_back(point.hour_rate);
    drawn.limit = burn.windows[0].threshold;
    const double highest = *std::max_element(drawn.values.begin(), drawn.values.end());
    drawn.max_value = std::max(1.25 * drawn.limit, std::ceil(highest));
    drawn.top_label = fmt::format("{:.0f}", drawn.max_value);
    drawn.bottom_label = "0";
    return drawn;
}

std::string plots(const row_burn& row)
{
    std::string text = "<div class=\"plots\">\n";
    for (const objective_burn& burn : row.objectives)
    {
        if (burn.events <= 0 || burn.points.size() < 2)
            continue;
        for (plot drawn : {budget_plot(burn), rate_plot(burn)})
        {
            drawn.start_label = short_time(burn.points.front().time);
            drawn.end_label = short_time(burn.points.back().time);
            text += svg(drawn);
        }
    }
    return text + "</div>\n";
}

std::string summary_row(const row_burn& row, const objective_burn& burn)
{
    std::string text = fmt::format(
        "<tr><td><a href=\"#{0}\">{0}</a></td><td>{1}</td><td>{2}</td><td>{3}</td>"
        "<td>{4}</td><td>{5}</td><td>{6:.0f}</td>",
        escape(row.row.value()), to_string(burn.kind), state_badge(burn),
        percent(burn.budget_left), percent(burn.allowed),
        burn.events > 0 ? percent(burn.bad / burn.events) : "-", burn.events);
    for (const window_burn& window : burn.windows)
        text += fmt::format("<td{}>{:.1f} / {:.1f}{}</td>",
                            window.too_fast ? " class=\"hot\"" : "", window.long_rate,
                            window.short_rate, window.covered ? "" : " ~");
    return text + "</tr>\n";
}

std::string summary(const burn_report& report)
{
    std::string text = "<table>\n<tr><th>row</th><th>objective</th><th>state</th>"
                       "<th>budget left</th><th>allowed</th><th>bad</th><th>events</th>";
    for (const window_pair& pair : burn_windows)
        text += fmt::format("<th>{}</th>", pair.name);
    text += "</tr>\n";
    for (const row_burn* row : by_urgency(report))
        for (const objective_burn& burn : row->objectives)
            text += summary_row(*row, burn);
    return text + "</table>\n";
}

std::string causes(const row_burn& row)
{
    if (!row.too_fast())
        return "";
    if (row.causes.empty())
        return "<p>Likely cause unknown: the recorded metrics do not explain it.</p>\n";
    std::string text = "<p>Likely cause:</p>\n<ol>\n";
    for (const likely_cause& cause : row.causes)
        text += fmt::format("<li><b>{}</b>: {}. <i>{}.</i></li>\n", escape(cause.name),
                            escape(cause.evidence), escape(cause.advice));
    return text + "</ol>\n";
}

std::string list(const char* title, const std::vector<std::string>& items)
{
    if (items.empty())
        return "";
    std::string text = fmt::format("<h2>{}</h2>\n<ul>\n", title);
    for (const std::string& item : items)
        text += fmt::format("<li>{}</li>\n", escape(item));
    return text + "</ul>\n";
}

} // namespace

std::string to_html(const burn_report& report)
{
    std::string text(page_head);
    text += fmt::format("<h1>Service-level burn report</h1>\n<p class=\"note\">{} to {} "
                        "({}), {} samples of {} instances, budget period {}</p>\n",
                        format_wall_time(report.begin), format_wall_time(report.end),
                        span_text(report.end - report.begin), report.samples,
                        report.instances, span_text(report.period));
    text += summary(report);
    text +=
        "<p class=\"note\">Burn rates are of the long and the short window of each "
        "pair; 1 uses up the budget exactly within its period. ~ marks a window that "
        "is longer than the recording. Dashed lines in the plots: budget used up, and "
        "the rate that pages.</p>\n";
    for (const row_burn* row : by_urgency(report))
        text += fmt::format("<h2 id=\"{0}\">{0}</h2>\n", escape(row->row.value())) +
                causes(*row) + plots(*row);
    std::vector<std::string> unmeasured;
    for (const row_id& row : report.without_objectives)
        unmeasured.push_back(row.value());
    text += list("Rows without objectives", unmeasured);
    std::vector<std::string> faults;
    for (const finding& fault : report.faults)
        faults.push_back(fault.text());
    text += list("Findings", faults);
    return text + "</body>\n</html>\n";
}

} // namespace hawthornbeam
