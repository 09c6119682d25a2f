/// \file
/// Applies JSON merge patches to single rows and computes the difference between two
/// tables.
#include "row_json.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

/// Adds a finding if \p patch would change the member \p name, which is part of the row
/// id.
void check_key_unchanged(const json& patch, const char* name, const std::string& value,
                         findings& faults)
{
    const auto found = patch.find(name);
    if (found != patch.end() && *found != value)
        faults.push_back(fault_at(fmt::format("/{}", name),
                                  "differs from the row of the path", value));
}

/// Converts JSON pointers into the row at \p index to pointers relative to that row.
void make_pointers_relative(findings& faults, std::size_t index)
{
    const std::string prefix = fmt::format("/rows/{}", index);
    for (finding& fault : faults)
        if (fault.place == prefix || fault.place.starts_with(prefix + "/"))
            fault.place.erase(0, prefix.size());
}

void compare_rows(const table_row& before, const table_row& after,
                  std::vector<changed_field>& changed)
{
    if (before == after)
        return;
    const json old_fields = row_json(before).flatten();
    const json new_fields = row_json(after).flatten();
    for (auto field = old_fields.begin(); field != old_fields.end(); ++field)
        if (new_fields[field.key()] != *field)
            changed.push_back(changed_field{before.id, field.key().substr(1),
                                            field->dump(),
                                            new_fields[field.key()].dump()});
}

} // namespace

parsed_rows patch_row(std::vector<table_row> rows, const row_id& id,
                      std::string_view patch)
{
    parsed_rows parsed;
    const json changes = parse_object(patch, parsed.faults);
    if (!parsed.faults.empty())
        return parsed;
    auto row =
        std::find_if(rows.begin(), rows.end(),
                     [&id](const table_row& candidate) { return candidate.id == id; });
    if (row == rows.end())
    {
        rows.emplace_back();
        row = std::prev(rows.end());
        row->id = id;
    }
    json merged = row_json(*row);
    check_key_unchanged(changes, "partner", merged["partner"], parsed.faults);
    check_key_unchanged(changes, "kind", merged["kind"], parsed.faults);
    if (!parsed.faults.empty())
        return parsed;
    merged.merge_patch(changes);
    *row = read_row(merged, "", parsed.faults);
    if (!parsed.faults.empty())
        return parsed;
    const std::size_t index = static_cast<std::size_t>(row - rows.begin());
    parsed.faults = check_rows(rows);
    make_pointers_relative(parsed.faults, index);
    if (parsed.faults.empty())
        parsed.rows = std::move(rows);
    return parsed;
}

table_difference difference(const operators_table& before, const operators_table& after)
{
    table_difference found;
    for (const table_row& row : before.rows)
    {
        const table_row* const other = after.find(row.id);
        if (other == nullptr)
            found.removed.push_back(row.id);
        else
            compare_rows(row, *other, found.changed);
    }
    for (const table_row& row : after.rows)
        if (before.find(row.id) == nullptr)
            found.added.push_back(row.id);
    return found;
}

} // namespace hawthornbeam
