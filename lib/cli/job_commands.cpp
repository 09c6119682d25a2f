/// \file
/// Commands that submit, show, watch, list and cancel jobs.
#include "context.hpp"
#include "hawthornbeam/support/toml_tree.hpp"

#include <charconv>
#include <fmt/format.h>
#include <glib.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

constexpr duration watch_poll_period = std::chrono::seconds(1);

/// Larger integers lose precision in JSON readers that use doubles.
constexpr std::int64_t max_bytes = std::int64_t{1} << 53U;

const std::vector<column> job_columns{{"ID", "/id"},           {"PARTNER", "/partner"},
                                      {"KIND", "/kind"},       {"REQUEST", "/request_id"},
                                      {"VERDICT", "/verdict"}, {"WAITING", "/waiting"},
                                      {"RUNNING", "/running"}, {"ENDED", "/ended"},
                                      {"REASON", "/reason"}};

struct verdict_code
{
    std::string_view verdict;
    exit_code code;
};

constexpr std::array<verdict_code, 5> verdicts{{{"accepted", exit_code::done},
                                                {"done", exit_code::done},
                                                {"not_run", exit_code::refused},
                                                {"cancelled", exit_code::refused},
                                                {"unknown", exit_code::outcome_unknown}}};

exit_code exit_code_of(const nlohmann::json& job)
{
    const std::string verdict = text_member(job, "verdict");
    for (const verdict_code& known : verdicts)
        if (known.verdict == verdict)
            return known.code;
    return exit_code::outcome_unknown;
}

/// Parses a number of bytes with an optional suffix Ki, Mi or Gi.
std::optional<std::int64_t> parse_bytes(std::string_view text)
{
    std::int64_t amount = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), amount);
    if (read.ec != std::errc() || amount < 0)
        return std::nullopt;
    const std::string_view suffix =
        text.substr(static_cast<std::size_t>(read.ptr - text.data()));
    constexpr std::array<std::pair<std::string_view, unsigned>, 4> suffixes{
        {{"", 0U}, {"Ki", 10U}, {"Mi", 20U}, {"Gi", 30U}}};
    for (const std::pair<std::string_view, unsigned>& known : suffixes)
        if (known.first == suffix && amount <= (max_bytes >> known.second))
            return amount << known.second;
    return std::nullopt;
}

/// Sets \p field to the duration \p text in milliseconds. Returns false if \p text is
/// malformed; an empty \p text leaves the field unset.
bool set_duration_ms(nlohmann::json& job, const char* field, const std::string& text)
{
    if (text.empty())
        return true;
    const std::optional<duration> time = parse_duration(text);
    if (time)
        job[field] = std::chrono::ceil<std::chrono::milliseconds>(*time).count();
    return time.has_value();
}

exit_code job_from_flags(command_context& context, nlohmann::json& job)
{
    const cli_options& options = context.options();
    for (const char* flag : {"partner", "kind", "processors", "memory"})
        if (!context.has(flag))
            return context.fail(exit_code::usage,
                                fmt::format("jobs submit needs FILE or --{}", flag));
    const std::optional<std::int64_t> memory = parse_bytes(options.memory);
    if (!memory)
        return context.fail(exit_code::usage,
                            fmt::format("--memory is \"{}\" (expected bytes, such as "
                                        "\"512Mi\")",
                                        options.memory));
    job = {{"partner", options.partner},
           {"kind", options.kind},
           {"tasks", options.tasks},
           {"processors", options.processors},
           {"memory", *memory},
           {"accelerators", options.accelerators},
           {"idempotent", options.idempotent},
           {"synchronous", options.synchronous},
           {"spread_failure_domains", options.spread},
           {"payload", options.payload}};
    if (!options.request_id.empty())
        job["request_id"] = options.request_id;
    if (!set_duration_ms(job, "run_time_ms", options.run_time))
        return context.fail(exit_code::usage, "--run-time is no time, such as \"30 s\"");
    if (!set_duration_ms(job, "deadline_ms", options.deadline))
        return context.fail(exit_code::usage, "--deadline is no time, such as \"30 s\"");
    return exit_code::done;
}

exit_code job_from_file(command_context& context, nlohmann::json& job)
{
    const result<std::string> text = read_file(context.operands()[0]);
    if (!text)
        return context.fail(exit_code::usage, text.error().message);
    job = nlohmann::json::parse(text.value(), nullptr, false);
    if (!job.is_object())
        return context.fail(exit_code::usage,
                            context.operands()[0] + ": is no JSON object");
    if (context.has("request_id"))
        job["request_id"] = context.options().request_id;
    return exit_code::done;
}

std::string job_path(const command_context& context)
{
    return "/v1/jobs/" + escape_segment(context.operands()[0]);
}

exit_code read_job(command_context& context, nlohmann::json& job)
{
    return context.call_json({"GET", job_path(context), "", {}}, retry_policy::safe, job);
}

std::int64_t integer_member(const nlohmann::json& job, const char* key)
{
    const nlohmann::json::const_iterator found = job.find(key);
    return found != job.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                            : 0;
}

bool has_ended(const nlohmann::json& job)
{
    return text_member(job, "verdict") != "accepted";
}

std::string progress_line(const nlohmann::json& job)
{
    return fmt::format(
        "{} {}: {} waiting, {} running, {} ended{}{}", text_member(job, "id"),
        text_member(job, "verdict"), integer_member(job, "waiting"),
        integer_member(job, "running"), integer_member(job, "ended"),
        text_member(job, "reason").empty() ? "" : "; ", text_member(job, "reason"));
}

} // namespace

exit_code jobs_submit(command_context& context)
{
    nlohmann::json job;
    exit_code code = context.operands().empty() ? job_from_flags(context, job)
                                                : job_from_file(context, job);
    if (code != exit_code::done)
        return code;
    if (!job.contains("request_id"))
    {
        gchar* generated_id = g_uuid_string_random();
        job["request_id"] = generated_id;
        g_free(generated_id);
    }
    const nlohmann::json request = job["request_id"];
    nlohmann::json status;
    // The request id makes the submission idempotent: a retry returns the same job.
    code = context.call_json(
        {"POST",
         "/v1/jobs",
         job.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
         {}},
        retry_policy::safe, status);
    if (code == exit_code::outcome_unknown)
        context.fail(code,
                     fmt::format("repeat it with --request-id={} to find the same job",
                                 plain_text(request)));
    if (code != exit_code::done)
        return code;
    context.print(status);
    return exit_code_of(status);
}

exit_code jobs_show(command_context& context)
{
    nlohmann::json job;
    const exit_code code = read_job(context, job);
    if (code == exit_code::done)
        context.print(job);
    return code;
}

exit_code jobs_watch(command_context& context)
{
    std::string last;
    while (true)
    {
        nlohmann::json job;
        const exit_code code = read_job(context, job);
        if (code != exit_code::done)
            return code;
        const std::string line =
            context.options().output == "json"
                ? job.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                : progress_line(job);
        if (line != last)
            context.environment().out << line << std::endl;
        last = line;
        if (has_ended(job))
            return exit_code_of(job);
        context.environment().sleep(watch_poll_period);
    }
}

exit_code jobs_result(command_context& context)
{
    nlohmann::json job;
    const exit_code code = read_job(context, job);
    if (code != exit_code::done)
        return code;
    if (!has_ended(job))
        return context.fail(exit_code::refused,
                            progress_line(job) + "; it has not ended");
    if (context.options().output == "json")
        context.print(job.contains("results") ? job["results"] : nlohmann::json::array());
    else
        context.print(job, "results",
                      {{"INDEX", "/index"},
                       {"STATE", "/state"},
                       {"KNOWN", "/known"},
                       {"OUTPUT", "/output"}});
    return exit_code_of(job);
}

exit_code jobs_list(command_context& context)
{
    const cli_options& options = context.options();
    nlohmann::json jobs;
    const exit_code code = context.call_json(
        {"GET",
         "/v1/jobs" +
             query_string(
                 {{"partner", options.partner},
                  {"kind", options.kind},
                  {"limit", options.limit > 0 ? fmt::to_string(options.limit) : ""}}),
         "",
         {}},
        retry_policy::safe, jobs);
    if (code == exit_code::done)
        context.print(jobs, "jobs", job_columns);
    return code;
}

exit_code jobs_cancel(command_context& context)
{
    const cli_options& options = context.options();
    const bool by_selector = context.has("partner") || context.has("kind");
    if (by_selector != context.operands().empty())
        return context.fail(exit_code::usage,
                            "jobs cancel needs either ID or --partner and --kind");
    nlohmann::json counts;
    exit_code code = exit_code::done;
    if (!by_selector)
    {
        // Cancelling a job is idempotent, so the request can be retried.
        code = context.call_json({"DELETE", job_path(context), "", {}},
                                 retry_policy::safe, counts);
    }
    else
    {
        nlohmann::json body = nlohmann::json::object();
        if (!options.partner.empty())
            body["partner"] = options.partner;
        if (!options.kind.empty())
            body["kind"] = options.kind;
        if (!context.confirm("cancel all jobs of " + body.dump(), code))
            return code;
        code = context.call_json({"POST", "/v1/jobs/cancel", body.dump(), {}},
                                 retry_policy::unsafe, counts);
    }
    if (code == exit_code::done)
        context.print(counts);
    return code;
}

exit_code explain_job(command_context& context)
{
    nlohmann::json answer;
    const exit_code code = context.call_json(
        {"GET", job_path(context) + "/explain", "", {}}, retry_policy::safe, answer);
    if (code == exit_code::done)
        context.print(answer);
    return code;
}

} // namespace hawthornbeam
