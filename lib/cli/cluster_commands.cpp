/// \file
/// Commands for workers, instances and the burn report.
#include "context.hpp"
#include "hawthornbeam/report/burn.hpp"
#include "hawthornbeam/support/toml_tree.hpp"

#include <fmt/format.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

exit_code change_worker(command_context& context, const char* action)
{
    api_response response;
    const exit_code code = context.call(
        {"POST",
         fmt::format("/v1/workers/{}/{}", escape_segment(context.operands()[0]), action),
         "",
         {}},
        retry_policy::unsafe, response);
    if (code != exit_code::done)
        return code;
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    if (body.is_object() && !body.empty())
        context.print(body);
    return code;
}

struct instance_address
{
    std::string id;
    std::string address;
};

/// Lists the instances in the membership that are not marked dead.
exit_code list_live_instances(command_context& context,
                              std::vector<instance_address>& found)
{
    nlohmann::json body;
    const exit_code code =
        context.call_json({"GET", "/v1/instances", "", {}}, retry_policy::safe, body);
    if (code != exit_code::done)
        return code;
    const nlohmann::json::const_iterator list = body.find("instances");
    for (const nlohmann::json& one :
         list != body.end() && list->is_array() ? *list : nlohmann::json::array())
    {
        if (!one.is_object() || text_member(one, "state") == "dead")
            continue;
        std::string address = text_member(one, "http");
        constexpr std::string_view scheme = "http://";
        if (address.starts_with(scheme))
            address.erase(0, scheme.size());
        if (!address.empty())
            found.push_back({text_member(one, "id"), address});
    }
    if (found.empty())
        return context.fail(exit_code::unreachable, "no live instance is listed");
    return exit_code::done;
}

/// Appends one metrics sample of each instance to \p file. An instance that does not
/// respond is reported as an error, and the samples of the others are still recorded.
exit_code record_samples(command_context& context, const std::string& file)
{
    std::vector<instance_address> found;
    const exit_code code = list_live_instances(context, found);
    if (code != exit_code::done)
        return code;
    const wall_time now = context.environment().clock.wall_now();
    std::vector<metrics_sample> samples;
    for (const instance_address& one : found)
    {
        cli_options options = context.options();
        options.instances = {one.address};
        command_context direct({}, options, context.environment());
        api_response response;
        if (direct.call({"GET", "/v1/metrics/snapshot", "", {}}, retry_policy::safe,
                        response) == exit_code::done)
            samples.push_back({now, instance_id(one.id), response.body});
    }
    if (samples.empty())
        return context.fail(exit_code::unreachable, "no instance gave its metrics");
    const result<bool> appended = append_samples(file, samples);
    if (!appended)
        return context.fail(exit_code::refused, appended.error().message);
    return exit_code::done;
}

struct burn_format
{
    const char* name;
    std::string (*render)(const burn_report&);
};

constexpr std::array<burn_format, 3> burn_formats{
    {{"table", to_text}, {"json", to_json}, {"html", to_html}}};

} // namespace

exit_code workers_list(command_context& context)
{
    nlohmann::json body;
    const exit_code code =
        context.call_json({"GET", "/v1/workers", "", {}}, retry_policy::safe, body);
    if (code == exit_code::done)
        context.print(body, "workers",
                      {{"WORKER", "/id"},
                       {"DOMAIN", "/failure_domain"},
                       {"RACK", "/rack"},
                       {"OWNER", "/owner"},
                       {"LEAVING", "/leaving"},
                       {"FREE", "/free"},
                       {"CAPACITY", "/capacity"},
                       {"TASKS", "/tasks"},
                       {"UNSCHEDULABLE", "/unschedulable_reason"}});
    return code;
}

exit_code workers_drain(command_context& context)
{
    return change_worker(context, "drain");
}

exit_code workers_undrain(command_context& context)
{
    return change_worker(context, "undrain");
}

exit_code list_instances(command_context& context)
{
    nlohmann::json body;
    const exit_code code =
        context.call_json({"GET", "/v1/instances", "", {}}, retry_policy::safe, body);
    if (code == exit_code::done)
        context.print(body, "instances",
                      {{"INSTANCE", "/id"},
                       {"DOMAIN", "/failure_domain"},
                       {"HTTP", "/http"},
                       {"STATE", "/state"},
                       {"TABLE", "/table_version"},
                       {"SLICES", "/slices"},
                       {"PARTITIONS", "/partitions"},
                       {"KV", "/kv_reachable"},
                       {"LEAVING", "/leaving"}});
    return code;
}

exit_code report_record(command_context& context)
{
    const cli_options& options = context.options();
    if (options.file.empty())
        return context.fail(exit_code::usage, "report record needs --file");
    const std::optional<duration> every = parse_duration(options.every);
    if (!every || *every < std::chrono::seconds(1))
        return context.fail(exit_code::usage,
                            "--every is no time of at least 1 s, such as \"5 min\"");
    exit_code last = exit_code::done;
    for (std::int64_t round = 1;; ++round)
    {
        // A failed round leaves a gap in the recording. The instances may be reachable
        // again in the next round, so recording continues.
        last = record_samples(context, options.file);
        if (options.count > 0 && round >= options.count)
            return last;
        context.environment().sleep(*every);
    }
}

exit_code report_burn(command_context& context)
{
    const cli_options& options = context.options();
    if (options.file.empty() || options.objectives.empty())
        return context.fail(exit_code::usage,
                            "report burn needs --file and --objectives");
    const parsed_objectives parsed = load_objectives(options.objectives);
    if (!parsed.objectives)
        return context.fail(parsed.faults);
    burn_calculator calculator(*parsed.objectives);
    const findings faults =
        read_recording(options.file, [&calculator](const metrics_sample& sample)
                       { return calculator.add(sample); });
    burn_report report = calculator.report();
    report.faults.insert(report.faults.end(), faults.begin(), faults.end());
    if (report.samples == 0)
        return context.fail(report.faults);
    for (const burn_format& format : burn_formats)
        if (options.output == format.name)
            context.environment().out << format.render(report);
    return exit_code::done;
}

} // namespace hawthornbeam
