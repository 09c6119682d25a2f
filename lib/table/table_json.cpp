/// \file
/// Parses and serializes the JSON form of the operators' table.
#include "row_json.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr double millicores_per_core = 1000.0;
/// Larger values would overflow the conversion to an integer. They exceed the range
/// accepted by check_rows() as well.
constexpr double max_convertible_cores = 1e15;

/// Reads the members of a JSON object and adds a finding for each member with a wrong
/// type.
class object_reader
{
public:
    object_reader(const json& object, std::string place, findings& faults)
        : object_(object), place_(std::move(place)), faults_(faults)
    {
    }

    void number(const char* name, double& target)
    {
        const json* const value = member(name);
        if (value == nullptr)
            return;
        if (!value->is_number())
            return wrong_type(name, *value, "a number");
        target = value->get<double>();
    }
    /// Reads a number of cores and converts it to millicores.
    void cores(const char* name, millicores& target)
    {
        double value = static_cast<double>(target.value()) / millicores_per_core;
        number(name, value);
        if (std::abs(value) > max_convertible_cores)
            return faults_.push_back(fault_at(pointer(name), fmt::format("is {}", value),
                                              "0 to 1000000000 cores"));
        target = millicores(std::llround(value * millicores_per_core));
    }
    template <class Integer>
    void integer(const char* name, Integer& target)
    {
        const json* const value = member(name);
        if (value == nullptr)
            return;
        if (!value->is_number_integer())
            return wrong_type(name, *value, "an integer");
        if (!fits<Integer>(*value))
            return faults_.push_back(
                fault_at(pointer(name), "is " + value->dump(),
                         fmt::format("0 to {}", std::numeric_limits<Integer>::max())));
        target = value->get<Integer>();
    }
    void text(const char* name, std::string& target, bool is_required)
    {
        const json* const value = member(name);
        if (value == nullptr)
        {
            if (is_required)
                faults_.push_back(fault_at(pointer(name), "is missing", "a string"));
            return;
        }
        if (!value->is_string())
            return wrong_type(name, *value, "a string");
        target = value->get<std::string>();
    }
    std::string pointer(const char* name) const
    {
        return fmt::format("{}/{}", place_, name);
    }
    void wrong_type(const char* name, const json& value, const char* expected)
    {
        faults_.push_back(
            fault_at(pointer(name), fmt::format("is {}", value.type_name()), expected));
    }
    const json* member(const char* name) const
    {
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

private:
    template <class Integer>
    static bool fits(const json& value)
    {
        if (value.is_number_unsigned())
            return value.get<std::uint64_t>() <=
                   static_cast<std::uint64_t>(std::numeric_limits<Integer>::max());
        // A negative number is out of range for every field. Signed fields accept it
        // here, and check_rows() reports it.
        return std::numeric_limits<Integer>::is_signed;
    }

    const json& object_;
    std::string place_;
    findings& faults_;
};

void read_limits(const json& value, const std::string& place, row_limits& limits,
                 findings& faults)
{
    check_fields(value, place,
                 {"processors", "memory", "accelerators", "tasks_running", "queue_length",
                  "tasks_per_second"},
                 faults);
    object_reader reader(value, place, faults);
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;
    reader.cores("processors", limits.running.processors);
    reader.integer("memory", memory);
    reader.integer("accelerators", accelerators);
    reader.integer("tasks_running", limits.tasks_running);
    reader.integer("queue_length", limits.queue_length);
    reader.integer("tasks_per_second", limits.tasks_per_second);
    limits.running.memory = byte_count(memory);
    limits.running.accelerators = accelerator_count(accelerators);
}

std::vector<table_row> read_rows(const json& object, findings& faults)
{
    std::vector<table_row> rows;
    const auto found = object.find("rows");
    if (found == object.end() || !found->is_array())
    {
        faults.push_back(fault_at("/rows", "is not an array", "an array of rows"));
        return rows;
    }
    for (const json& value : *found)
        rows.push_back(read_row(value, fmt::format("/rows/{}", rows.size()), faults));
    return rows;
}

/// Checks the value ranges only if there are no findings yet. A missing partner or kind
/// would otherwise be reported twice.
void check_rows_if_well_typed(std::vector<table_row>& rows, findings& faults)
{
    if (faults.empty())
        faults = check_rows(rows);
}

json table_json(const operators_table& table)
{
    json rows = json::array();
    for (const table_row& row : table.rows)
        rows.push_back(row_json(row));
    return json{{"version", table.version.value()},
                {"change", table.change.value()},
                {"author", table.author},
                {"accepted_ms", table.accepted.time_since_epoch().count()},
                {"rows", std::move(rows)}};
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

/// Escapes \p name as a reference token of a JSON pointer (RFC 6901).
static std::string pointer_token(const std::string& name)
{
    std::string token;
    for (const char c : name)
        token += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
    return token;
}

finding fault_at(std::string place, std::string message, std::string expected)
{
    return finding{"", 0, std::move(place), std::move(message), std::move(expected)};
}

void check_fields(const json& object, const std::string& place,
                  std::initializer_list<std::string_view> known, findings& faults)
{
    for (auto member = object.begin(); member != object.end(); ++member)
        if (std::find(known.begin(), known.end(), member.key()) == known.end())
            faults.push_back(
                fault_at(fmt::format("{}/{}", place, pointer_token(member.key())),
                         "is an unknown field", ""));
}

json parse_object(std::string_view text, findings& faults)
{
    try
    {
        json value = json::parse(text);
        if (value.is_object())
            return value;
        faults.push_back(
            fault_at("", fmt::format("is {}", value.type_name()), "an object"));
    }
    catch (const json::parse_error& malformed)
    {
        faults.push_back(fault_at(
            "", fmt::format("malformed JSON at byte {}", malformed.byte), "an object"));
    }
    catch (const json::out_of_range& number) // Thrown for numbers such as 1e999.
    {
        faults.push_back(fault_at("", number.what(), "numbers within range"));
    }
    return json::object();
}

json row_json(const table_row& row)
{
    const std::string& id = row.id.value();
    const std::size_t slash = id.find('/');
    const row_limits& limits = row.limits;
    return json{
        {"partner", id.substr(0, slash)},
        {"kind", slash == std::string::npos ? std::string() : id.substr(slash + 1)},
        {"workload", to_string(row.kind)},
        {"weight", row.weight},
        {"guaranteed", row.guaranteed},
        {"urgency", row.priority.value()},
        {"disruption_limit", row.disruption_limit},
        {"limits",
         {{"processors",
           static_cast<double>(limits.running.processors.value()) / millicores_per_core},
          {"memory", limits.running.memory.value()},
          {"accelerators", limits.running.accelerators.value()},
          {"tasks_running", limits.tasks_running},
          {"queue_length", limits.queue_length},
          {"tasks_per_second", limits.tasks_per_second}}}};
}

table_row read_row(const json& value, const std::string& place, findings& faults)
{
    table_row row;
    if (!value.is_object())
    {
        faults.push_back(
            fault_at(place, fmt::format("is {}", value.type_name()), "a row object"));
        return row;
    }
    check_fields(value, place,
                 {"partner", "kind", "workload", "weight", "guaranteed", "urgency",
                  "disruption_limit", "limits"},
                 faults);
    object_reader reader(value, place, faults);
    std::string partner;
    std::string kind;
    std::string workload_name = to_string(row.kind);
    std::uint8_t priority = row.priority.value();
    reader.text("partner", partner, true);
    reader.text("kind", kind, true);
    reader.text("workload", workload_name, false);
    reader.number("weight", row.weight);
    reader.number("guaranteed", row.guaranteed);
    reader.integer("urgency", priority);
    reader.integer("disruption_limit", row.disruption_limit);
    row.id = make_row_id(partner_id(partner), kind);
    row.priority = urgency(priority);
    const std::optional<workload> parsed = parse_workload(workload_name);
    if (!parsed)
        faults.push_back(fault_at(reader.pointer("workload"), "is " + workload_name,
                                  "request, batch, gang or service"));
    row.kind = parsed.value_or(workload::batch);
    const json* const limits = reader.member("limits");
    if (limits != nullptr && !limits->is_object())
        reader.wrong_type("limits", *limits, "an object");
    if (limits != nullptr && limits->is_object())
        read_limits(*limits, reader.pointer("limits"), row.limits, faults);
    return row;
}

std::string to_json(const operators_table& table)
{
    return dump(table_json(table));
}

std::string to_stored_json(const operators_table& table)
{
    json value = table_json(table);
    value["format"] = table_format;
    return dump(value);
}

parsed_table parse_table_json(std::string_view text)
{
    parsed_table parsed;
    const json object = parse_object(text, parsed.faults);
    if (!parsed.faults.empty())
        return parsed;
    object_reader reader(object, "", parsed.faults);
    std::uint64_t format = table_format;
    reader.integer("format", format);
    if (format != table_format)
        parsed.faults.push_back(fault_at("/format", fmt::format("is {}", format),
                                         fmt::format("{}", table_format)));
    if (!parsed.faults.empty())
        return parsed;
    check_fields(object, "",
                 {"format", "version", "change", "author", "accepted_ms", "rows"},
                 parsed.faults);
    operators_table table;
    std::uint64_t version = 0;
    std::string change;
    std::int64_t accepted = 0;
    reader.integer("version", version);
    reader.text("change", change, false);
    reader.text("author", table.author, false);
    reader.integer("accepted_ms", accepted);
    table.version = table_version(version);
    table.change = change_id(change);
    table.accepted = wall_time(std::chrono::milliseconds(accepted));
    table.rows = read_rows(object, parsed.faults);
    check_rows_if_well_typed(table.rows, parsed.faults);
    if (parsed.faults.empty())
        parsed.table = std::move(table);
    return parsed;
}

parsed_rows parse_rows_json(std::string_view text)
{
    parsed_rows parsed;
    const json object = parse_object(text, parsed.faults);
    if (!parsed.faults.empty())
        return parsed;
    check_fields(object, "", {"rows"}, parsed.faults);
    std::vector<table_row> rows = read_rows(object, parsed.faults);
    check_rows_if_well_typed(rows, parsed.faults);
    if (parsed.faults.empty())
        parsed.rows = std::move(rows);
    return parsed;
}

} // namespace hawthornbeam
