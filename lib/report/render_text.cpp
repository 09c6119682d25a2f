/// \file
/// Renders the burn report as a text table and as JSON.
#include "render.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using text_row = std::vector<std::string>;

/// Formats a table with columns padded to their widest cell. The first two columns are
/// left-aligned, the others right-aligned.
std::string table_text(const std::vector<text_row>& rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const text_row& row : rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string text;
    for (const text_row& row : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += i < 2 ? fmt::format("{:<{}}  ", row[i], widths[i])
                          : fmt::format("{:>{}}  ", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

text_row cells(const row_burn& row, const objective_burn& burn)
{
    text_row cells{row.row.value(),
                   to_string(burn.kind),
                   state_of(burn),
                   percent(burn.budget_left),
                   percent(burn.allowed),
                   burn.events > 0 ? percent(burn.bad / burn.events) : "-",
                   fmt::format("{:.0f}", burn.events)};
    for (const window_burn& window : burn.windows)
        cells.push_back(fmt::format("{:.1f}/{:.1f}{}", window.long_rate,
                                    window.short_rate, window.covered ? "" : "~"));
    return cells;
}

std::string header_text(const burn_report& report)
{
    return fmt::format("Service-level burn report\n{} to {} ({}), {} samples of {} "
                       "instances, budget period {}\n\n",
                       format_wall_time(report.begin), format_wall_time(report.end),
                       span_text(report.end - report.begin), report.samples,
                       report.instances, span_text(report.period));
}

std::string causes_text(const burn_report& report)
{
    std::string text;
    for (const row_burn* row : by_urgency(report))
    {
        if (!row->too_fast())
            continue;
        text += fmt::format("\n{} burns too fast; likely cause:\n", row->row.value());
        if (row->causes.empty())
            text += "  unknown: the recorded metrics do not explain it\n";
        for (const likely_cause& cause : row->causes)
            text += fmt::format("  {}: {}\n    {}\n", cause.name, cause.evidence,
                                cause.advice);
    }
    return text;
}

nlohmann::ordered_json objective_json(const objective_burn& burn)
{
    nlohmann::ordered_json json;
    json["objective"] = to_string(burn.kind);
    json["state"] = state_of(burn);
    json["allowed"] = burn.allowed;
    json["events"] = burn.events;
    json["bad"] = burn.bad;
    json["budget_left"] = burn.budget_left;
    json["windows"] = nlohmann::ordered_json::array();
    for (std::size_t i = 0; i < burn.windows.size(); ++i)
    {
        const window_burn& window = burn.windows[i];
        nlohmann::ordered_json one;
        one["windows"] = burn_windows[i].name;
        one["long_rate"] = window.long_rate;
        one["short_rate"] = window.short_rate;
        one["threshold"] = window.threshold;
        one["events"] = window.events;
        one["covered"] = window.covered;
        one["too_fast"] = window.too_fast;
        json["windows"].push_back(std::move(one));
    }
    return json;
}

nlohmann::ordered_json row_json(const row_burn& row)
{
    nlohmann::ordered_json json;
    json["row"] = row.row.value();
    json["too_fast"] = row.too_fast();
    json["has_data"] = row.has_data;
    json["objectives"] = nlohmann::ordered_json::array();
    for (const objective_burn& burn : row.objectives)
        json["objectives"].push_back(objective_json(burn));
    json["causes"] = nlohmann::ordered_json::array();
    for (const likely_cause& cause : row.causes)
        json["causes"].push_back({{"name", cause.name},
                                  {"evidence", cause.evidence},
                                  {"advice", cause.advice}});
    return json;
}

} // namespace

const char* state_of(const objective_burn& burn)
{
    if (burn.events <= 0)
        return "no data";
    for (std::size_t i = 0; i < burn.windows.size(); ++i)
        if (burn.windows[i].too_fast)
            return burn_windows[i].action;
    return burn.budget_left <= 0 ? "used up" : "ok";
}

std::vector<const row_burn*> by_urgency(const burn_report& report)
{
    std::vector<const row_burn*> rows;
    for (const row_burn& row : report.rows)
        rows.push_back(&row);
    std::stable_partition(rows.begin(), rows.end(),
                          [](const row_burn* row) { return row->too_fast(); });
    return rows;
}

std::string percent(double fraction)
{
    const double value = 100 * fraction;
    // Small target fractions such as 0.01% would otherwise be shown as 0.0%.
    if (value != 0 && std::abs(value) < 0.1)
        return fmt::format("{:.3f}%", value);
    return fmt::format("{:.1f}%", value);
}

std::string span_text(duration span)
{
    const double minutes =
        std::chrono::duration<double, std::chrono::minutes::period>(span).count();
    if (minutes < 60)
        return fmt::format("{:.0f} min", minutes);
    if (minutes < 24 * 60)
        return fmt::format("{:.1f} h", minutes / 60);
    return fmt::format("{:.1f} d", minutes / (24 * 60));
}

std::string to_text(const burn_report& report)
{
    std::string text = header_text(report);
    std::vector<text_row> rows{
        {"ROW", "OBJECTIVE", "STATE", "BUDGET LEFT", "ALLOWED", "BAD", "EVENTS"}};
    for (const window_pair& pair : burn_windows)
        rows.front().push_back(pair.name);
    for (const row_burn* row : by_urgency(report))
        for (const objective_burn& burn : row->objectives)
            rows.push_back(cells(*row, burn));
    text += table_text(rows);
    text += "\nBurn rates are of the long and the short window; ~ marks a window that is "
            "longer than the recording.\n";
    text += causes_text(report);
    if (!report.without_objectives.empty())
        text += "\nRows without objectives:\n";
    for (const row_id& row : report.without_objectives)
        text += fmt::format("  {}\n", row.value());
    if (!report.faults.empty())
        text += "\nFindings:\n";
    for (const finding& fault : report.faults)
        text += fmt::format("  {}\n", fault.text());
    return text;
}

std::string to_json(const burn_report& report)
{
    nlohmann::ordered_json json;
    json["begin"] = format_wall_time(report.begin);
    json["end"] = format_wall_time(report.end);
    json["period_s"] =
        std::chrono::duration_cast<std::chrono::seconds>(report.period).count();
    json["samples"] = report.samples;
    json["instances"] = report.instances;
    json["rows"] = nlohmann::ordered_json::array();
    for (const row_burn& row : report.rows)
        json["rows"].push_back(row_json(row));
    json["without_objectives"] = nlohmann::ordered_json::array();
    for (const row_id& row : report.without_objectives)
        json["without_objectives"].push_back(row.value());
    json["findings"] = nlohmann::ordered_json::array();
    for (const finding& fault : report.faults)
        json["findings"].push_back(fault.text());
    return json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace hawthornbeam
