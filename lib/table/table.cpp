/// \file
/// Validates the rows of the operators' table.
#include "hawthornbeam/table/table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <map>

namespace hawthornbeam
{

namespace
{

constexpr std::array<const char*, 4> workload_names{"request", "batch", "gang",
                                                    "service"};
constexpr std::size_t max_name_characters = 64;
/// Sums of decimal fractions can differ from 1 by rounding errors, for example ten times
/// 0.1.
constexpr double rounding_tolerance = 1e-9;
/// The bounds of processors and accelerators are 100 times those of the target
/// cluster size. Sums of such limits over all rows stay far below the maximum of a 64-bit
/// integer.
constexpr std::int64_t max_processors_milli = 1'000'000'000'000;
constexpr std::int64_t max_memory_bytes = std::int64_t{1} << 50;
constexpr std::int64_t max_accelerators = 10'000'000;
constexpr std::int64_t max_tasks = 10'000'000;
constexpr std::int64_t max_queue_length = 10'000'000;
constexpr std::int64_t max_tasks_per_second = 1'000'000;
/// Callers wait for the results of requests, so a longer queue would only hold requests
/// that miss their deadlines.
constexpr std::int64_t max_request_queue_length = 100'000;

/// A numeric field of a row and its largest permitted value.
struct bounded_field
{
    const char* name;
    std::int64_t (*value)(const table_row&);
    std::int64_t max_value;
    const char* expected;
};

const std::array<bounded_field, 7> bounded_fields{{
    {"limits/processors",
     [](const table_row& row) { return row.limits.running.processors.value(); },
     max_processors_milli, "0 to 1000000000 cores"},
    {"limits/memory",
     [](const table_row& row) { return row.limits.running.memory.value(); },
     max_memory_bytes, "0 to 2^50 bytes"},
    {"limits/accelerators",
     [](const table_row& row) { return row.limits.running.accelerators.value(); },
     max_accelerators, "0 to 10000000"},
    {"limits/tasks_running",
     [](const table_row& row) { return std::int64_t{row.limits.tasks_running}; },
     max_tasks, "0 to 10000000"},
    {"limits/queue_length",
     [](const table_row& row) { return std::int64_t{row.limits.queue_length}; },
     max_queue_length, "0 to 10000000"},
    {"limits/tasks_per_second",
     [](const table_row& row) { return std::int64_t{row.limits.tasks_per_second}; },
     max_tasks_per_second, "0 to 1000000"},
    {"disruption_limit",
     [](const table_row& row) { return std::int64_t{row.disruption_limit}; }, max_tasks,
     "0 to 10000000"},
}};

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
           c == '-' || c == '_' || c == '.';
}

bool is_name(std::string_view name)
{
    return !name.empty() && name.size() <= max_name_characters &&
           std::all_of(name.begin(), name.end(), is_name_character);
}

/// Checks one row and collects its faults.
class row_check
{
public:
    row_check(const table_row& row, std::size_t index, findings& faults)
        : row_(row), place_(fmt::format("/rows/{}", index)), faults_(faults)
    {
    }

    void run()
    {
        check_name();
        check_shares();
        for (const bounded_field& field : bounded_fields)
            check_bound(field);
        check_workload();
    }

private:
    void add(std::string_view field, std::string message, std::string expected)
    {
        faults_.push_back(finding{"", 0, fmt::format("{}/{}", place_, field),
                                  std::move(message), std::move(expected)});
    }
    void check_name()
    {
        const std::string& name = row_.id.value();
        const std::size_t slash = name.find('/');
        const std::string_view partner = std::string_view(name).substr(0, slash);
        const std::string_view kind = slash == std::string::npos
                                          ? std::string_view()
                                          : std::string_view(name).substr(slash + 1);
        const std::string expected =
            fmt::format("1 to {} letters, digits, '-', '_' or '.'", max_name_characters);
        if (!is_name(partner))
            add("partner", "is not a valid name", expected);
        if (!is_name(kind))
            add("kind", "is not a valid name", expected);
    }
    void check_shares()
    {
        if (!std::isfinite(row_.weight) || row_.weight <= 0.0)
            add("weight", fmt::format("is {}", row_.weight), "positive and finite");
        if (!(row_.guaranteed >= 0.0 && row_.guaranteed <= 1.0))
            add("guaranteed", fmt::format("is {}", row_.guaranteed), "0 to 1");
        if (row_.priority > least_urgent)
            add("urgency", fmt::format("is {}", row_.priority.value()), "0 to 9");
    }
    void check_bound(const bounded_field& field)
    {
        const std::int64_t value = field.value(row_);
        if (value < 0 || value > field.max_value)
            add(field.name, fmt::format("is {}", value), field.expected);
    }
    void check_workload()
    {
        if (row_.kind == workload::gang && row_.limits.tasks_per_second != 0)
            add("limits/tasks_per_second",
                "limits the rate of gangs, which start all tasks at once", "0");
        if (row_.kind == workload::gang && row_.limits.tasks_running == 1)
            add("limits/tasks_running", "is 1, so that no gang can start",
                "0 or at least 2");
        if (row_.kind == workload::request &&
            row_.limits.queue_length > max_request_queue_length)
            add("limits/queue_length", fmt::format("is {}", row_.limits.queue_length),
                fmt::format("at most {} for requests", max_request_queue_length));
        if (row_.kind == workload::service && row_.disruption_limit == 0)
            add("disruption_limit", "is 0, so that no worker of it can be drained",
                "at least 1 for services");
    }

    const table_row& row_;
    std::string place_;
    findings& faults_;
};

void check_duplicates(const std::vector<table_row>& rows, findings& faults)
{
    std::map<row_id, std::size_t> first;
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        const auto found = first.emplace(rows[i].id, i);
        if (!found.second)
            faults.push_back(finding{"", 0, fmt::format("/rows/{}", i),
                                     fmt::format("row {} is already at /rows/{}",
                                                 rows[i].id.value(), found.first->second),
                                     "one row for each partner and kind"});
    }
}

void check_guarantees(const std::vector<table_row>& rows, findings& faults)
{
    double sum = 0.0;
    for (const table_row& row : rows)
        if (row.guaranteed > 0.0)
            sum += row.guaranteed;
    if (sum > 1.0 + rounding_tolerance)
        faults.push_back(finding{"", 0, "/rows",
                                 fmt::format("the sum of guaranteed is {}", sum),
                                 "at most 1"});
}

} // namespace

std::optional<workload> parse_workload(std::string_view text)
{
    for (std::size_t i = 0; i < workload_names.size(); ++i)
        if (text == workload_names[i])
            return static_cast<workload>(i);
    return std::nullopt;
}

const char* to_string(workload kind)
{
    return workload_names[static_cast<std::size_t>(kind)];
}

const table_row* operators_table::find(const row_id& id) const
{
    const auto found =
        std::lower_bound(rows.begin(), rows.end(), id,
                         [](const table_row& row, const row_id& searched_id)
                         { return row.id < searched_id; });
    return found != rows.end() && found->id == id ? &*found : nullptr;
}

findings check_rows(std::vector<table_row>& rows)
{
    findings faults;
    for (std::size_t i = 0; i < rows.size(); ++i)
        row_check(rows[i], i, faults).run();
    check_duplicates(rows, faults);
    check_guarantees(rows, faults);
    std::stable_sort(rows.begin(), rows.end(),
                     [](const table_row& a, const table_row& b) { return a.id < b.id; });
    return faults;
}

} // namespace hawthornbeam
