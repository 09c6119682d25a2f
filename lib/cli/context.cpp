/// \file
/// API calls with failover, output of results and confirmation prompts.
#include "context.hpp"

#include "hawthornbeam/support/text_file.hpp"

#include <fmt/format.h>
#include <glib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr int precondition_failed = 412;

bool is_success(int status)
{
    return status >= 200 && status < 300;
}

/// A 503 response means that the request did not run. The instance may be draining, so
/// another instance may accept the request.
bool should_try_next(const api_response& response)
{
    return response.status == service_unavailable;
}

void write_findings(std::ostream& err, const nlohmann::json& problem)
{
    const nlohmann::json::const_iterator list = problem.find("findings");
    if (list == problem.end() || !list->is_array())
        return;
    for (const nlohmann::json& one : *list)
        if (one.is_object())
            err << "  "
                << finding{"", 0, text_member(one, "place"), text_member(one, "message"),
                           text_member(one, "expected")}
                       .text()
                << "\n";
}

bool is_resources(const nlohmann::json& value)
{
    for (const char* part : {"processors", "memory", "accelerators"})
        if (!value.is_object() || !value.contains(part) || !value[part].is_number())
            return false;
    return true;
}

/// Formats the value at \p pointer for a table cell: an array as its length, resources
/// with units and timestamps as dates.
std::string format_cell(const nlohmann::json& object, const char* pointer)
{
    const nlohmann::json::json_pointer place(pointer);
    if (!object.contains(place))
        return "-";
    const nlohmann::json& value = object.at(place);
    if (value.is_array())
        return fmt::to_string(value.size());
    if (is_resources(value))
        return fmt::format(
            "{:g} cores {:.1f} GiB {} acc.", value["processors"].get<double>(),
            value["memory"].get<double>() / 0x1.0p30, plain_text(value["accelerators"]));
    if (std::string_view(pointer).ends_with("_ms") && value.is_number_integer())
        return format_wall_time(
            wall_time(std::chrono::milliseconds(value.get<std::int64_t>())));
    return plain_text(value);
}

} // namespace

command_context::command_context(std::vector<std::string> operands,
                                 const cli_options& options,
                                 const cli_environment& environment)
    : operands_(std::move(operands)), options_(options), environment_(environment)
{
}

exit_code command_context::call(api_request request, retry_policy rule,
                                api_response& response)
{
    if (!options_.token.empty())
        request.headers.emplace_back("Authorization", "Bearer " + options_.token);
    bool answered = false;
    bool may_have_run = false;
    std::string failures;
    const std::size_t count = options_.instances.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t index = (preferred_ + i) % count;
        const std::string& address = options_.instances[index];
        const result<api_response> sent = environment_.transport.send(address, request);
        if (sent)
        {
            answered = true;
            response = sent.value();
            if (should_try_next(response))
                continue;
            preferred_ = index;
            break;
        }
        failures += fmt::format("{}{}: {}", failures.empty() ? "" : "; ", address,
                                sent.error().message);
        may_have_run = may_have_run || sent.error().code == error_code::outcome_unknown;
        if (may_have_run && rule == retry_policy::unsafe)
            return fail(exit_code::outcome_unknown,
                        fmt::format("{} {} may have taken effect ({}); look before "
                                    "repeating it",
                                    request.method, request.path, failures));
    }
    // A 503 response from a later instance does not tell whether an earlier attempt with
    // an unknown outcome took effect.
    const bool has_final_response = answered && !should_try_next(response);
    if (!has_final_response && may_have_run && request.method != "GET")
        return fail(exit_code::outcome_unknown,
                    fmt::format("{} {} may have taken effect ({})", request.method,
                                request.path, failures));
    if (!answered)
        return fail(exit_code::unreachable,
                    fmt::format("no instance reachable ({})", failures));
    return is_success(response.status) ? exit_code::done
                                       : report_problem(request, response);
}

exit_code command_context::call_json(api_request request, retry_policy rule,
                                     nlohmann::json& body)
{
    const bool is_read = request.method == "GET";
    api_response response;
    const exit_code code = call(std::move(request), rule, response);
    if (code != exit_code::done)
        return code;
    body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object())
        return exit_code::done;
    return fail(is_read ? exit_code::refused : exit_code::outcome_unknown,
                fmt::format("status {} without a JSON object", response.status));
}

exit_code command_context::report_problem(const api_request& request,
                                          const api_response& response) const
{
    const nlohmann::json problem = nlohmann::json::parse(response.body, nullptr, false);
    const bool is_object = problem.is_object();
    std::string message =
        fmt::format("{} {}: {}", request.method, request.path, response.status);
    if (is_object)
        message += fmt::format(" {}: {}", text_member(problem, "code"),
                               text_member(problem, "title"));
    if (is_object && !text_member(problem, "detail").empty())
        message += fmt::format(" ({})", text_member(problem, "detail"));
    if (!response.retry_after.empty())
        message += fmt::format("; retry after {} s", response.retry_after);
    if (response.status == precondition_failed)
        message += "; the table has changed meanwhile, look at it and repeat";
    const bool not_run =
        is_object && problem.contains("not_run") && problem["not_run"] == true;
    // The outcome of a write is unknown after a server error, unless the response states
    // that the request did not run.
    const bool unknown = response.status == gateway_timeout ||
                         (response.status >= 500 && !not_run && request.method != "GET" &&
                          !should_try_next(response));
    fail(unknown ? exit_code::outcome_unknown : exit_code::refused, message);
    if (is_object)
        write_findings(environment_.err, problem);
    return unknown ? exit_code::outcome_unknown : exit_code::refused;
}

exit_code command_context::fail(exit_code code, const std::string& message) const
{
    environment_.err << "hawthornctl: " << message << "\n";
    return code;
}

exit_code command_context::fail(const findings& faults) const
{
    for (const finding& fault : faults)
        environment_.err << fault.text() << "\n";
    return exit_code::usage;
}

bool command_context::confirm(const std::string& question, exit_code& code) const
{
    if (options_.yes)
        return true;
    if (!environment_.interactive)
    {
        code = fail(exit_code::usage, question + " needs --yes when nobody can be asked");
        return false;
    }
    environment_.err << question << "? [y/N] " << std::flush;
    std::string answer;
    std::getline(environment_.in, answer);
    if (answer == "y" || answer == "yes")
        return true;
    code = fail(exit_code::refused, "not confirmed; nothing was changed");
    return false;
}

void command_context::print(const nlohmann::json& body, const char* list,
                            const std::vector<column>& columns) const
{
    const nlohmann::json::const_iterator items = body.find(list);
    if (options_.output == "json" || items == body.end() || !items->is_array())
    {
        print(body);
        return;
    }
    std::vector<std::vector<std::string>> rows(1);
    for (const column& one : columns)
        rows[0].push_back(one.title);
    for (const nlohmann::json& item : *items)
    {
        rows.emplace_back();
        for (const column& one : columns)
            rows.back().push_back(format_cell(item, one.pointer));
    }
    std::vector<std::size_t> widths(columns.size());
    for (const std::vector<std::string>& row : rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    for (const std::vector<std::string>& row : rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        environment_.out << line.erase(line.find_last_not_of(' ') + 1) << "\n";
    }
}

void command_context::print(const nlohmann::json& body) const
{
    if (options_.output == "json" || !body.is_object())
    {
        environment_.out << body.dump(2, ' ', false,
                                      nlohmann::json::error_handler_t::replace)
                         << "\n";
        return;
    }
    for (nlohmann::json::const_iterator i = body.begin(); i != body.end(); ++i)
        environment_.out << fmt::format("{}: {}\n", i.key(), plain_text(i.value()));
}

std::string escape_segment(const std::string& text)
{
    gchar* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
    std::string copy(escaped);
    g_free(escaped);
    return copy;
}

std::string query_string(const std::vector<std::pair<std::string, std::string>>& parts)
{
    std::string text;
    for (const std::pair<std::string, std::string>& part : parts)
        if (!part.second.empty())
            text += fmt::format("{}{}={}", text.empty() ? "?" : "&", part.first,
                                escape_segment(part.second));
    return text;
}

std::string row_path(const std::string& row)
{
    const std::size_t slash = row.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == row.size())
        return "";
    return fmt::format("/v1/table/rows/{}/{}", escape_segment(row.substr(0, slash)),
                       escape_segment(row.substr(slash + 1)));
}

std::string text_member(const nlohmann::json& object, const char* key)
{
    const nlohmann::json::const_iterator found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

std::string plain_text(const nlohmann::json& value)
{
    return value.is_string()
               ? value.get<std::string>()
               : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<std::string> read_file(const std::string& path)
{
    const std::optional<std::string> text = read_text_file(path);
    if (!text)
        return make_error(error_code::not_found, path + ": cannot be read");
    return *text;
}

} // namespace hawthornbeam
