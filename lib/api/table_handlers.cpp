/// \file
/// Handlers of the routes of the operators' table.
#include "lib/api/handlers.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_history = 50;

json table_json(const operators_table& table)
{
    return json::parse(to_json(table));
}

std::string entity_tag(table_version version)
{
    return fmt::format("\"{}\"", version.value());
}

problem invalid_rows(findings faults)
{
    return problem{400, error_code::invalid_input, "invalid table", true,
                   0,   std::move(faults)};
}

} // namespace

void api_handlers::show_table(const exchange_ref& request)
{
    const operators_table& table = services_.table.current();
    request->set_header("ETag", entity_tag(table.version));
    request->respond_json(200, table_json(table));
}

std::optional<table_version> api_handlers::if_match(const exchange_ref& request) const
{
    const std::string header = request->header("If-Match");
    if (header.empty())
    {
        request->respond_problem(problem{428,
                                         error_code::invalid_input,
                                         "If-Match with the table's version is required",
                                         true,
                                         0,
                                         {}});
        return std::nullopt;
    }
    std::uint64_t version = 0;
    const bool quoted =
        header.size() > 2 && header.front() == '"' && header.back() == '"';
    const char* begin = header.data() + 1;
    const char* end = header.data() + header.size() - 1;
    const std::from_chars_result parsed =
        quoted ? std::from_chars(begin, end, version)
               : std::from_chars_result{begin, std::errc::invalid_argument};
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        request->respond_problem(problem{400,
                                         error_code::invalid_input,
                                         "If-Match is not a quoted version",
                                         true,
                                         0,
                                         {}});
        return std::nullopt;
    }
    return table_version(version);
}

void api_handlers::replace_table(const exchange_ref& request)
{
    const std::optional<table_version> expected = if_match(request);
    if (!expected)
        return;
    parsed_rows parsed = parse_rows_json(request->body());
    if (!parsed.rows)
        return request->respond_problem(invalid_rows(std::move(parsed.faults)));
    store_rows(request, std::move(*parsed.rows), *expected);
}

void api_handlers::patch_row(const exchange_ref& request)
{
    const std::optional<table_version> expected = if_match(request);
    if (!expected)
        return;
    const row_id id =
        make_row_id(partner_id(request->captures.at(0)), request->captures.at(1));
    parsed_rows parsed =
        hawthornbeam::patch_row(services_.table.current().rows, id, request->body());
    if (!parsed.rows)
        return request->respond_problem(invalid_rows(std::move(parsed.faults)));
    store_rows(request, std::move(*parsed.rows), *expected);
}

void api_handlers::delete_row(const exchange_ref& request)
{
    const std::optional<table_version> expected = if_match(request);
    if (!expected)
        return;
    const row_id id =
        make_row_id(partner_id(request->captures.at(0)), request->captures.at(1));
    std::vector<table_row> rows = services_.table.current().rows;
    const std::size_t removed =
        std::erase_if(rows, [&](const table_row& row) { return row.id == id; });
    if (removed == 0)
        return request->respond_problem(
            problem_of(make_error(error_code::not_found, "the table has no such row")));
    store_rows(request, std::move(rows), *expected);
}

void api_handlers::store_rows(const exchange_ref& request, std::vector<table_row> rows,
                              table_version expected)
{
    services_.table.replace(std::move(rows), expected, request->caller.name,
                            [this, request](const edit_outcome& outcome)
                            { answer_edit(request, outcome); });
}

void api_handlers::answer_edit(const exchange_ref& request, const edit_outcome& outcome)
{
    switch (outcome.what)
    {
    case edit_outcome::kind::accepted:
        request->set_header("ETag", entity_tag(outcome.current.version));
        return request->respond_json(200, table_json(outcome.current));
    case edit_outcome::kind::stale:
        request->set_header("ETag", entity_tag(outcome.current.version));
        return request->respond_problem(
            problem{412, error_code::conflict, "the table has changed", true, 0, {}},
            "current", table_json(outcome.current));
    case edit_outcome::kind::faulty:
        return request->respond_problem(invalid_rows(outcome.faults));
    case edit_outcome::kind::unavailable:
        return request->respond_problem(
            problem_of(make_error(error_code::unavailable, outcome.message)));
    case edit_outcome::kind::unknown:
        return request->respond_problem(
            problem_of(make_error(error_code::outcome_unknown, outcome.message)));
    }
}

void api_handlers::table_history(const exchange_ref& request)
{
    services_.table.history(
        max_history,
        [request](result<std::vector<operators_table>> edits)
        {
            if (!edits)
                return request->respond_problem(problem_of(edits.error()));
            json documents = json::array();
            for (const operators_table& edit : edits.value())
                documents.push_back(table_json(edit));
            request->respond_json(200, json{{"edits", std::move(documents)}});
        });
}

void api_handlers::table_status(const exchange_ref& request)
{
    services_.scheduler.statuses(
        wire::status_request{},
        [this, request](result<std::vector<wire::status_reply>> replies)
        {
            json instances = json::array();
            for (const wire::status_reply& reply : replies.value())
                instances.push_back(
                    json{{"id", reply.id.value()}, {"version", reply.table.value()}});
            request->respond_json(
                200, json{{"version", services_.table.current().version.value()},
                          {"instances", std::move(instances)}});
        });
}

} // namespace hawthornbeam
