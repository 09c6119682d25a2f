/// \file
/// Parser of table files and comparison of rows.
#include "table_file.hpp"

#include "context.hpp"
#include "hawthornbeam/support/toml_tree.hpp"

#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

constexpr std::int64_t max_integer = std::int64_t{1} << 53U;
constexpr std::int64_t max_count = 4294967295;

struct integer_field
{
    const char* name;
    std::int64_t default_value;
    std::int64_t max_value;
};

constexpr std::array<integer_field, 5> limit_fields{{{"memory", 0, max_integer},
                                                     {"accelerators", 0, max_integer},
                                                     {"tasks_running", 0, max_count},
                                                     {"queue_length", 1000, max_count},
                                                     {"tasks_per_second", 0, max_count}}};

nlohmann::json read_limits(const toml_node* table, const std::string& place,
                           const std::string& file, findings& faults)
{
    const toml_node empty;
    toml_table_reader reader(table != nullptr ? *table : empty, place, file, faults);
    nlohmann::json limits;
    limits["processors"] =
        reader.number("processors", presence::optional, 0, 1e12).value_or(0);
    for (const integer_field& field : limit_fields)
        limits[field.name] =
            reader.integer(field.name, presence::optional, 0, field.max_value)
                .value_or(field.default_value);
    reader.finish();
    return limits;
}

std::string read_workload(toml_table_reader& reader)
{
    const std::optional<std::string> text = reader.text("workload", presence::optional);
    if (!text)
        return "batch";
    for (const char* known : {"request", "batch", "gang", "service"})
        if (*text == known)
            return *text;
    reader.report("workload", fmt::format("is \"{}\"", *text),
                  "request, batch, gang or service");
    return *text;
}

nlohmann::json read_row(toml_table_reader& reader, const toml_node& table,
                        const std::string& place, const std::string& file,
                        findings& faults)
{
    nlohmann::json row;
    for (const char* key : {"partner", "kind"})
    {
        row[key] = reader.text(key, presence::required).value_or("");
        if (table.find(key) != nullptr && row[key].get<std::string>().empty())
            reader.report(key, "is empty", "a name");
    }
    row["workload"] = read_workload(reader);
    row["weight"] = reader.number("weight", presence::optional, 1e-6, 1e6).value_or(1);
    row["guaranteed"] = reader.number("guaranteed", presence::optional, 0, 1).value_or(0);
    row["urgency"] = reader.integer("urgency", presence::optional, 0, 9).value_or(5);
    row["disruption_limit"] =
        reader.integer("disruption_limit", presence::optional, 0, max_count).value_or(1);
    const toml_node* limits = reader.table("limits", presence::optional);
    row["limits"] = read_limits(limits, place + ".limits", file, faults);
    reader.finish();
    return row;
}

std::string row_key(const nlohmann::json& row)
{
    return text_member(row, "partner") + "/" + text_member(row, "kind");
}

std::map<std::string, nlohmann::json> rows_by_id(const nlohmann::json& rows)
{
    std::map<std::string, nlohmann::json> sorted;
    for (const nlohmann::json& row : rows)
        if (row.is_object())
            sorted[row_key(row)] = row.flatten();
    return sorted;
}

/// Converts a JSON pointer such as "/limits/queue_length" to "limits.queue_length".
std::string field_name(const std::string& pointer)
{
    std::string name = pointer.substr(1);
    for (char& c : name)
        if (c == '/')
            c = '.';
    return name;
}

std::string changed_fields(const nlohmann::json& before, const nlohmann::json& after)
{
    std::string text;
    for (nlohmann::json::const_iterator i = after.begin(); i != after.end(); ++i)
    {
        const nlohmann::json::const_iterator found = before.find(i.key());
        const nlohmann::json old = found == before.end() ? nlohmann::json() : *found;
        if (old != i.value())
            text += fmt::format("{} {}: {} -> {}", text.empty() ? "" : ",",
                                field_name(i.key()), old.dump(), i.value().dump());
    }
    return text;
}

} // namespace

findings parse_table_file(std::string_view text, const std::string& file,
                          nlohmann::json& rows)
{
    const parsed_toml document = parse_toml(text, file);
    if (!document.root)
        return document.faults;
    findings faults;
    rows = nlohmann::json::array();
    toml_table_reader reader(*document.root, "", file, faults);
    const toml_node* list =
        reader.array("rows", presence::required, toml_node::kind::table);
    std::map<std::string, int> lines;
    for (std::size_t i = 0; list != nullptr && i < list->items.size(); ++i)
    {
        const toml_node& item = list->items[i];
        const std::string place = fmt::format("rows[{}]", i);
        toml_table_reader entry(item, place, file, faults);
        rows.push_back(read_row(entry, item, place, file, faults));
        const std::pair<std::map<std::string, int>::iterator, bool> added =
            lines.emplace(row_key(rows.back()), item.line);
        if (!added.second)
            entry.report("kind",
                         fmt::format("repeats the row of line {}", added.first->second),
                         "one entry for each row");
    }
    reader.finish();
    return faults;
}

std::vector<std::string> difference(const nlohmann::json& before,
                                    const nlohmann::json& after)
{
    const std::map<std::string, nlohmann::json> old_rows = rows_by_id(before);
    const std::map<std::string, nlohmann::json> new_rows = rows_by_id(after);
    std::vector<std::string> lines;
    for (const std::pair<const std::string, nlohmann::json>& row : old_rows)
        if (!new_rows.contains(row.first))
            lines.push_back("- " + row.first);
    for (const std::pair<const std::string, nlohmann::json>& row : new_rows)
    {
        const std::map<std::string, nlohmann::json>::const_iterator old =
            old_rows.find(row.first);
        const std::string fields = changed_fields(
            old == old_rows.end() ? nlohmann::json::object() : old->second, row.second);
        if (old == old_rows.end())
            lines.push_back(fmt::format("+ {}", row.first));
        else if (!fields.empty())
            lines.push_back(fmt::format("~ {}:{}", row.first, fields));
    }
    return lines;
}

} // namespace hawthornbeam
