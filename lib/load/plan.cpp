#include "hawthornbeam/load/plan.hpp"

#include "hawthornbeam/support/toml_tree.hpp"

#include <cassert>
#include <cmath>
#include <fmt/format.h>
#include <set>

namespace hawthornbeam
{

namespace
{

constexpr std::int64_t max_jobs = 10000000;
constexpr double max_rate = 100000;
constexpr duration max_time_span = std::chrono::hours(24);
constexpr std::string_view number_placeholder = "{number}";

std::uint32_t read_count(toml_table_reader& reader, std::string_view key,
                         std::int64_t minimum, std::int64_t maximum,
                         std::uint32_t fallback)
{
    return static_cast<std::uint32_t>(
        reader.integer(key, presence::optional, minimum, maximum).value_or(fallback));
}

duration read_time_span(toml_table_reader& reader, std::string_view key,
                        duration fallback)
{
    return reader.time_span(key, presence::optional, duration::zero(), max_time_span)
        .value_or(fallback);
}

bool read_flag(toml_table_reader& reader, std::string_view key)
{
    return reader.boolean(key, presence::optional).value_or(false);
}

resources read_size(toml_table_reader& reader)
{
    const double cores =
        reader.number("processors", presence::required, 0.001, 1e6).value_or(1);
    const std::int64_t memory =
        reader.integer("memory", presence::required, 1, std::int64_t{1} << 50)
            .value_or(1);
    const std::int64_t accelerators =
        reader.integer("accelerators", presence::optional, 0, 100000).value_or(0);
    return resources{millicores(static_cast<std::int64_t>(std::ceil(cores * 1000))),
                     byte_count(memory), accelerator_count(accelerators)};
}

/// Returns the number of jobs from `count` or `rate`; exactly one of them must be given.
std::uint64_t read_jobs(toml_table_reader& reader, duration length)
{
    const std::optional<std::int64_t> count =
        reader.integer("count", presence::optional, 1, max_jobs);
    const std::optional<double> rate =
        reader.number("rate", presence::optional, 1e-4, max_rate);
    if (count.has_value() == rate.has_value())
        reader.report("count",
                      count ? "is given beside rate" : "and rate are both missing",
                      "either count or rate");
    if (count)
        return static_cast<std::uint64_t>(*count);
    const double seconds = std::chrono::duration<double>(length).count();
    return static_cast<std::uint64_t>(std::ceil(rate.value_or(0) * seconds));
}

load_stream read_stream(toml_table_reader& reader)
{
    load_stream stream;
    stream.name = reader.text("name", presence::required).value_or("");
    stream.partner = reader.text("partner", presence::required).value_or("");
    stream.kind = reader.text("kind", presence::required).value_or("");
    stream.start = read_time_span(reader, "start", duration::zero());
    stream.end = read_time_span(reader, "end", stream.start);
    if (stream.end < stream.start)
        reader.report("end", "is before start", "a time at or after start");
    stream.count = read_jobs(reader, stream.end - stream.start);
    stream.tasks = read_count(reader, "tasks", 1, 100000, 1);
    stream.size = read_size(reader);
    stream.run_time = read_time_span(reader, "run_time", duration::zero());
    stream.deadline = read_time_span(reader, "deadline", duration::zero());
    stream.synchronous = read_flag(reader, "synchronous");
    stream.idempotent = read_flag(reader, "idempotent");
    stream.spread_failure_domains = read_flag(reader, "spread_failure_domains");
    stream.cancel_at_end = read_flag(reader, "cancel_at_end");
    stream.retries = read_count(reader, "retries", 0, 1000, 0);
    stream.payload = reader.text("payload", presence::optional).value_or("");
    if (stream.synchronous && stream.tasks != 1)
        reader.report("tasks", fmt::format("is {}", stream.tasks),
                      "1 for synchronous requests");
    if (stream.synchronous && stream.deadline == duration::zero())
        reader.report("deadline", "is missing", "a deadline for synchronous requests");
    reader.finish();
    return stream;
}

void read_streams(const toml_node& streams, const std::string& file, findings& faults,
                  load_plan& plan)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < streams.items.size(); ++i)
    {
        toml_table_reader reader(streams.items[i], fmt::format("streams[{}]", i), file,
                                 faults);
        load_stream stream = read_stream(reader);
        if (!names.insert(stream.name).second)
            reader.report("name", fmt::format("\"{}\" is used twice", stream.name),
                          "a name of its own");
        plan.streams.push_back(std::move(stream));
    }
}

} // namespace

parsed_load_plan parse_load_plan(std::string_view text, const std::string& file)
{
    parsed_load_plan parsed;
    const parsed_toml document = parse_toml(text, file);
    parsed.faults = document.faults;
    if (!document.root)
        return parsed;
    load_plan plan;
    toml_table_reader reader(*document.root, "", file, parsed.faults);
    plan.max_open = read_count(reader, "most_open", 1, 10000, plan.max_open);
    plan.drain = read_time_span(reader, "drain", plan.drain);
    const toml_node* streams =
        reader.array("streams", presence::required, toml_node::kind::table);
    if (streams != nullptr)
        read_streams(*streams, file, parsed.faults, plan);
    reader.finish();
    if (parsed.faults.empty())
        parsed.plan = std::move(plan);
    return parsed;
}

std::string payload_of(const load_stream& stream, std::uint64_t number)
{
    std::string payload = stream.payload;
    for (std::size_t position = payload.find(number_placeholder);
         position != std::string::npos;
         position = payload.find(number_placeholder, position))
        payload.replace(position, number_placeholder.size(), std::to_string(number));
    return payload;
}

duration due_time(const load_stream& stream, std::uint64_t number)
{
    assert(number < stream.count &&
           "the job number must be less than the count of the stream");
    const double fraction =
        static_cast<double>(number) / static_cast<double>(stream.count);
    return stream.start +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double>(stream.end - stream.start) * fraction);
}

} // namespace hawthornbeam
