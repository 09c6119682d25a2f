/// \file
/// Command that shows the log lines of one job.
#include "context.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

namespace hawthornbeam
{

namespace
{

using json = nlohmann::json;

/// Fields that every line has. All other fields are shown as details.
constexpr std::array standard_fields{"time",     "level",   "component",
                                     "instance", "message", "job"};

/// Parses the JSON object of a log line. Text before the first brace, such as a host name
/// added by a log collector, is skipped.
json parse_line(const std::string& line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos)
        return json();
    return json::parse(line.substr(begin), nullptr, false);
}

std::string format_details(const json& line)
{
    std::string details;
    for (const auto& [name, value] : line.items())
        if (std::ranges::find(standard_fields, name) == standard_fields.end())
            details += fmt::format("{}{}={}", details.empty() ? "" : " ", name,
                                   plain_text(value));
    return details;
}

void collect_job_lines(std::istream& input, const std::string& id,
                       std::vector<json>& found)
{
    std::string text;
    while (std::getline(input, text))
    {
        json line = parse_line(text);
        if (line.is_object() && text_member(line, "job") == id)
            found.push_back(std::move(line));
    }
}

} // namespace

exit_code logs_of_job(command_context& context)
{
    const std::string& id = context.operands().front();
    std::vector<json> found;
    for (std::size_t index = 1; index < context.operands().size(); ++index)
    {
        const result<std::string> text = read_file(context.operands()[index]);
        if (!text)
            return context.fail(exit_code::usage, text.error().message);
        std::istringstream input(text.value());
        collect_job_lines(input, id, found);
    }
    if (context.operands().size() == 1)
        collect_job_lines(context.environment().in, id, found);
    if (found.empty())
        return context.fail(exit_code::refused,
                            fmt::format("no line names the job {}", id));
    // All times are in UTC and one format, so they sort correctly as text.
    std::ranges::stable_sort(found, {},
                             [](const json& line) { return text_member(line, "time"); });
    json body{{"lines", json::array()}};
    for (json& line : found)
    {
        line["details"] = format_details(line);
        body["lines"].push_back(std::move(line));
    }
    context.print(body, "lines",
                  {{"TIME", "/time"},
                   {"INSTANCE", "/instance"},
                   {"COMPONENT", "/component"},
                   {"MESSAGE", "/message"},
                   {"DETAILS", "/details"}});
    return exit_code::done;
}

} // namespace hawthornbeam
