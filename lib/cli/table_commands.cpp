/// \file
/// Commands that show and edit the operators' table.
#include "context.hpp"
#include "table_file.hpp"

#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

const std::vector<column> row_columns{{"PARTNER", "/partner"},
                                      {"KIND", "/kind"},
                                      {"WORKLOAD", "/workload"},
                                      {"WEIGHT", "/weight"},
                                      {"GUARANTEED", "/guaranteed"},
                                      {"URGENCY", "/urgency"},
                                      {"DISRUPTION", "/disruption_limit"},
                                      {"CORES", "/limits/processors"},
                                      {"MEMORY", "/limits/memory"},
                                      {"ACCELERATORS", "/limits/accelerators"},
                                      {"TASKS", "/limits/tasks_running"},
                                      {"QUEUE", "/limits/queue_length"},
                                      {"STARTS/S", "/limits/tasks_per_second"}};

/// Reads the table and its ETag, which an edit sends as If-Match.
exit_code read_table(command_context& context, nlohmann::json& table, std::string& etag)
{
    api_response response;
    const exit_code code =
        context.call({"GET", "/v1/table", "", {}}, retry_policy::safe, response);
    if (code != exit_code::done)
        return code;
    table = nlohmann::json::parse(response.body, nullptr, false);
    etag = response.etag;
    const bool is_valid_table = table.is_object() && table.contains("rows") &&
                                table["rows"].is_array() && !etag.empty();
    if (is_valid_table)
        return exit_code::done;
    return context.fail(exit_code::refused, "GET /v1/table: no table or no ETag");
}

exit_code send_edit(command_context& context, const char* method, const std::string& path,
                    const nlohmann::json& body, const std::string& etag)
{
    nlohmann::json table;
    const exit_code code = context.call_json(
        {method, path, body.is_null() ? "" : body.dump(), {{"If-Match", etag}}},
        retry_policy::unsafe, table);
    if (code == exit_code::done)
        context.print(table, "rows", row_columns);
    return code;
}

const nlohmann::json* find_row(const nlohmann::json& rows, const std::string& id)
{
    for (const nlohmann::json& row : rows)
        if (row.is_object() &&
            text_member(row, "partner") + "/" + text_member(row, "kind") == id)
            return &row;
    return nullptr;
}

/// Converts \p text to a JSON number or boolean if it is one, otherwise to a string.
nlohmann::json parse_field_value(const std::string& text)
{
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    return value.is_number() || value.is_boolean() ? value : nlohmann::json(text);
}

} // namespace

exit_code table_show(command_context& context)
{
    nlohmann::json table;
    const exit_code code =
        context.call_json({"GET", "/v1/table", "", {}}, retry_policy::safe, table);
    if (code == exit_code::done)
        context.print(table, "rows", row_columns);
    return code;
}

exit_code table_set(command_context& context)
{
    const std::string path = row_path(context.operands()[0]);
    if (path.empty())
        return context.fail(exit_code::usage, "ROW is PARTNER/KIND");
    nlohmann::json table;
    std::string etag;
    const exit_code code = read_table(context, table, etag);
    if (code != exit_code::done)
        return code;
    const std::string& field = context.operands()[1];
    const nlohmann::json value = parse_field_value(context.operands()[2]);
    constexpr std::string_view limits = "limits.";
    nlohmann::json body = nlohmann::json::object();
    if (field.starts_with(limits))
    {
        // Limits that are not sent would be reset to their defaults, so the current
        // values of the other limits are sent too.
        const nlohmann::json* row = find_row(table["rows"], context.operands()[0]);
        if (row != nullptr && row->contains("limits") && (*row)["limits"].is_object())
            body["limits"] = (*row)["limits"];
        body["limits"][field.substr(limits.size())] = value;
    }
    else
        body[field] = value;
    return send_edit(context, "PATCH", path, body, etag);
}

exit_code table_delete(command_context& context)
{
    const std::string path = row_path(context.operands()[0]);
    if (path.empty())
        return context.fail(exit_code::usage, "ROW is PARTNER/KIND");
    exit_code code = exit_code::done;
    if (!context.confirm("delete row " + context.operands()[0], code))
        return code;
    nlohmann::json table;
    std::string etag;
    code = read_table(context, table, etag);
    if (code != exit_code::done)
        return code;
    return send_edit(context, "DELETE", path, nullptr, etag);
}

exit_code table_apply(command_context& context)
{
    const std::string& file = context.operands()[0];
    const result<std::string> text = read_file(file);
    if (!text)
        return context.fail(exit_code::usage, text.error().message);
    nlohmann::json rows;
    const findings faults = parse_table_file(text.value(), file, rows);
    if (!faults.empty())
        return context.fail(faults);
    nlohmann::json table;
    std::string etag;
    exit_code code = read_table(context, table, etag);
    if (code != exit_code::done)
        return code;
    const std::vector<std::string> changes = difference(table["rows"], rows);
    for (const std::string& line : changes)
        context.environment().err << line << "\n";
    if (changes.empty())
    {
        context.environment().err << "no difference to version " << etag << "\n";
        return exit_code::done;
    }
    if (!context.confirm(
            fmt::format("apply {} changes to version {}", changes.size(), etag), code))
        return code;
    return send_edit(context, "PUT", "/v1/table", {{"rows", rows}}, etag);
}

exit_code table_history(command_context& context)
{
    const std::int64_t limit = context.options().limit;
    nlohmann::json edits;
    const exit_code code = context.call_json(
        {"GET",
         "/v1/table/history" +
             query_string({{"limit", limit > 0 ? fmt::to_string(limit) : ""}}),
         "",
         {}},
        retry_policy::safe, edits);
    if (code == exit_code::done)
        context.print(edits, "edits",
                      {{"VERSION", "/version"},
                       {"AUTHOR", "/author"},
                       {"ACCEPTED", "/accepted_ms"},
                       {"CHANGE", "/change"}});
    return code;
}

exit_code table_status(command_context& context)
{
    nlohmann::json status;
    const exit_code code = context.call_json({"GET", "/v1/table/status", "", {}},
                                             retry_policy::safe, status);
    if (code == exit_code::done)
        context.print(status, "instances",
                      {{"INSTANCE", "/id"}, {"VERSION", "/version"}});
    return code;
}

} // namespace hawthornbeam
