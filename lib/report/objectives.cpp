/// \file
/// Parses and validates the objectives file.
#include "hawthornbeam/report/objectives.hpp"

#include "hawthornbeam/support/text_file.hpp"
#include "hawthornbeam/support/toml_tree.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace hawthornbeam
{

namespace
{

using std::chrono::hours;

/// The budget fractions of the alarm windows are designed for periods of about a month.
constexpr duration min_period = hours(24 * 28);
constexpr duration max_period = hours(24 * 92);
/// The waiting time histograms cover 0.1 ms to 1000 s.
constexpr duration min_wait_limit = std::chrono::microseconds(100);
constexpr duration max_wait_limit = std::chrono::seconds(1000);
constexpr double min_target = 0.5;
constexpr double max_target = 0.99999;

void read_wait(toml_table_reader& reader, const toml_node& table, row_objectives& row)
{
    row.wait_limit = reader.time_span("wait_limit", presence::optional, min_wait_limit,
                                      max_wait_limit);
    row.wait_target =
        reader.number("wait_target", presence::optional, min_target, max_target);
    const bool has_limit = table.find("wait_limit") != nullptr;
    if (has_limit == (table.find("wait_target") != nullptr))
        return;
    reader.report(has_limit ? "wait_target" : "wait_limit", "is missing",
                  "wait_limit and wait_target together");
}

row_objectives read_row(toml_table_reader& reader, const toml_node& table)
{
    row_objectives row;
    row.row = row_id(reader.text("row", presence::required).value_or(""));
    const std::size_t slash = row.row.value().find('/');
    const bool is_valid_name =
        slash != std::string::npos && slash > 0 && slash + 1 < row.row.value().size();
    if (!row.row.empty() && !is_valid_name)
        reader.report("row", fmt::format("is \"{}\"", row.row.value()), "PARTNER/KIND");
    read_wait(reader, table, row);
    row.refused_most =
        reader.number("refused_most", presence::optional, 1 - max_target, 1 - min_target);
    row.share_floor = reader.number("share_floor", presence::optional, 0.01, 1.0)
                          .value_or(row.share_floor);
    row.share_target =
        reader.number("share_target", presence::optional, min_target, max_target);
    const bool has_any =
        table.find("wait_target") != nullptr || table.find("wait_limit") != nullptr ||
        table.find("refused_most") != nullptr || table.find("share_target") != nullptr;
    if (!has_any)
        reader.report("", "has no objective",
                      "wait_limit with wait_target, refused_most or share_target");
    reader.finish();
    return row;
}

} // namespace

const char* to_string(objective_kind kind)
{
    constexpr std::array<const char*, objective_kinds> names{"wait", "refused", "share"};
    return names[static_cast<std::size_t>(kind)];
}

std::optional<double> row_objectives::allowed(objective_kind kind) const
{
    if (kind == objective_kind::refused)
        return refused_most;
    const std::optional<double>& target =
        kind == objective_kind::wait ? wait_target : share_target;
    if (!target)
        return std::nullopt;
    return 1 - *target;
}

parsed_objectives parse_objectives(std::string_view text, const std::string& file)
{
    const parsed_toml document = parse_toml(text, file);
    if (!document.root)
        return {std::nullopt, document.faults};
    parsed_objectives parsed;
    service_objectives objectives;
    toml_table_reader reader(*document.root, "", file, parsed.faults);
    objectives.period =
        reader.time_span("period", presence::optional, min_period, max_period)
            .value_or(objectives.period);
    const toml_node* rows =
        reader.array("rows", presence::required, toml_node::kind::table);
    std::map<row_id, int> lines;
    for (std::size_t i = 0; rows != nullptr && i < rows->items.size(); ++i)
    {
        const toml_node& item = rows->items[i];
        toml_table_reader entry(item, fmt::format("rows[{}]", i), file, parsed.faults);
        const row_objectives row = read_row(entry, item);
        const std::pair<std::map<row_id, int>::iterator, bool> added =
            lines.emplace(row.row, item.line);
        if (!added.second && !row.row.empty())
            entry.report("row",
                         fmt::format("repeats that of line {}", added.first->second),
                         "one entry for each row");
        objectives.rows.push_back(row);
    }
    reader.finish();
    if (parsed.faults.empty())
        parsed.objectives = std::move(objectives);
    return parsed;
}

parsed_objectives load_objectives(const std::string& file)
{
    const std::optional<std::string> text = read_text_file(file);
    if (!text)
        return {std::nullopt, {finding{file, 0, "", "cannot be read", "a TOML file"}}};
    return parse_objectives(*text, file);
}

} // namespace hawthornbeam
