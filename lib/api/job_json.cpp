#include "lib/api/job_json.hpp"

#include <array>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr std::int64_t max_tasks = 100000;
constexpr std::size_t max_id_length = 128;
constexpr double max_cores = 1e6;
constexpr std::int64_t max_memory = std::int64_t{1} << 50;
constexpr std::int64_t max_accelerators = 100000;
constexpr std::int64_t max_milliseconds = std::int64_t{366} * 24 * 3600 * 1000;
constexpr double millicores_per_core = 1000.0;

/// Reads the fields of one JSON object and collects the faults.
class object_reader
{
public:
    object_reader(const json& object, findings& faults) : object_(object), faults_(faults)
    {
    }

    std::string text(const char* name, bool required, std::size_t maximum)
    {
        const json* value = find(name, required);
        if (value == nullptr)
            return std::string();
        if (!value->is_string())
        {
            report(name, "is not a string", "a string");
            return std::string();
        }
        std::string read = value->get<std::string>();
        if (read.size() > maximum || (required && read.empty()))
            report(name, fmt::format("has {} bytes", read.size()),
                   fmt::format("{} to {} bytes", required ? 1 : 0, maximum));
        return read;
    }
    std::int64_t integer(const char* name, bool required, std::int64_t minimum,
                         std::int64_t maximum, std::int64_t fallback)
    {
        const json* value = find(name, required);
        if (value == nullptr)
            return fallback;
        const std::string expected =
            fmt::format("an integer from {} to {}", minimum, maximum);
        if (!value->is_number_integer())
        {
            report(name, "is not an integer", expected);
            return fallback;
        }
        const bool too_large =
            value->is_number_unsigned() &&
            value->get<std::uint64_t>() > static_cast<std::uint64_t>(maximum);
        const std::int64_t read = too_large ? maximum : value->get<std::int64_t>();
        if (too_large || read < minimum || read > maximum)
        {
            report(name, fmt::format("is {}", value->dump()), expected);
            return fallback;
        }
        return read;
    }
    double number(const char* name, double minimum, double maximum)
    {
        const json* value = find(name, true);
        if (value == nullptr)
            return 0;
        const std::string expected =
            fmt::format("a number from {} to {}", minimum, maximum);
        if (!value->is_number())
        {
            report(name, "is not a number", expected);
            return 0;
        }
        const double read = value->get<double>();
        if (!std::isfinite(read) || read < minimum || read > maximum)
        {
            report(name, fmt::format("is {}", value->dump()), expected);
            return 0;
        }
        return read;
    }
    bool flag(const char* name)
    {
        const json* value = find(name, false);
        if (value == nullptr)
            return false;
        if (!value->is_boolean())
        {
            report(name, "is not a boolean", "true or false");
            return false;
        }
        return value->get<bool>();
    }
    /// Reports all fields that were not read as unknown.
    void finish()
    {
        for (auto field = object_.begin(); field != object_.end(); ++field)
            if (std::find(known_.begin(), known_.end(), field.key()) == known_.end())
                report(field.key().c_str(), "is an unknown field", "");
    }
    void report(const char* name, std::string message, std::string expected)
    {
        faults_.push_back(finding{std::string(), 0, std::string("/") + name,
                                  std::move(message), std::move(expected)});
    }

private:
    const json* find(const char* name, bool required)
    {
        known_.emplace_back(name);
        const auto found = object_.find(name);
        if (found != object_.end())
            return &*found;
        if (required)
            report(name, "is missing", "");
        return nullptr;
    }

    const json& object_;
    findings& faults_;
    std::vector<std::string> known_;
};

std::optional<json> parse_object(std::string_view body, findings& faults)
{
    json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded())
        faults.push_back(
            finding{std::string(), 0, "/", "is not valid JSON", "an object"});
    else if (!parsed.is_object())
        faults.push_back(finding{std::string(), 0, "/", "is not an object", "an object"});
    if (!faults.empty())
        return std::nullopt;
    return parsed;
}

const char* state_name(task_state state)
{
    static constexpr std::array<const char*, 4> names{"running", "finished", "failed",
                                                      "stopped"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace

parsed_job parse_job(std::string_view body)
{
    parsed_job parsed;
    const std::optional<json> object = parse_object(body, parsed.faults);
    if (!object)
        return parsed;
    object_reader reader(*object, parsed.faults);
    wire::job_spec job;
    const partner_id partner(reader.text("partner", true, max_id_length));
    job.row = make_row_id(partner, reader.text("kind", true, max_id_length));
    job.request = request_id(reader.text("request_id", true, max_id_length));
    job.tasks =
        static_cast<std::uint32_t>(reader.integer("tasks", false, 1, max_tasks, 1));
    job.size.processors = millicores(static_cast<std::int64_t>(
        std::ceil(reader.number("processors", 0.001, max_cores) * millicores_per_core)));
    job.size.memory = byte_count(reader.integer("memory", true, 1, max_memory, 1));
    job.size.accelerators =
        accelerator_count(reader.integer("accelerators", false, 0, max_accelerators, 0));
    job.idempotent = reader.flag("idempotent");
    job.synchronous = reader.flag("synchronous");
    job.run_time_ms = reader.integer("run_time_ms", false, 0, max_milliseconds, 0);
    job.deadline_ms = reader.integer("deadline_ms", false, 0, max_milliseconds, 0);
    job.spread_domains = reader.flag("spread_failure_domains");
    job.payload = reader.text("payload", false, std::numeric_limits<std::size_t>::max());
    if (job.synchronous && job.tasks != 1)
        reader.report("tasks", fmt::format("is {}", job.tasks),
                      "1 for a synchronous request");
    if (job.synchronous && job.deadline_ms == 0)
        reader.report("deadline_ms", "is missing or 0",
                      "a deadline for a synchronous request");
    reader.finish();
    if (!parsed.faults.empty())
        return parsed;
    job.id = job_id::derive(partner, job.request);
    parsed.job = std::move(job);
    return parsed;
}

parsed_selector parse_cancel_selector(std::string_view body)
{
    parsed_selector parsed;
    const std::optional<json> object = parse_object(body, parsed.faults);
    if (!object)
        return parsed;
    object_reader reader(*object, parsed.faults);
    wire::cancel_request selector;
    selector.partner = partner_id(reader.text("partner", true, max_id_length));
    const std::string kind = reader.text("kind", false, max_id_length);
    if (!kind.empty())
        selector.row = make_row_id(selector.partner, kind);
    reader.finish();
    if (parsed.faults.empty())
        parsed.selector = selector;
    return parsed;
}

json job_status_json(const wire::job_status& status)
{
    const std::string& row = status.row.value();
    const partner_id partner = partner_of(status.row);
    json results = json::array();
    for (const wire::task_result& task : status.results)
        results.push_back(json{{"index", task.index},
                               {"state", state_name(task.state)},
                               {"known", task.known},
                               {"output", task.output}});
    return json{{"id", status.id.text()},
                {"request_id", status.request.value()},
                {"partner", partner.value()},
                {"kind", partner.empty() ? row : row.substr(partner.value().size() + 1)},
                {"verdict", wire::to_string(status.verdict)},
                {"waiting", status.waiting},
                {"running", status.running},
                {"ended", status.ended},
                {"reason", status.reason},
                {"results", std::move(results)}};
}

json resources_json(const resources& amounts)
{
    return json{{"processors",
                 static_cast<double>(amounts.processors.value()) / millicores_per_core},
                {"memory", amounts.memory.value()},
                {"accelerators", amounts.accelerators.value()}};
}

} // namespace hawthornbeam
