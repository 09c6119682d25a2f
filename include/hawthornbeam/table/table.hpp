/// \file
/// The operators' table, a versioned list of rows with weights and limits, and its JSON
/// form.
#ifndef HAWTHORNBEAM_TABLE_TABLE_HPP
#define HAWTHORNBEAM_TABLE_TABLE_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"
#include "hawthornbeam/support/units.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// How the jobs of a row are scheduled.
enum class workload : std::uint8_t
{
    request, ///< A single task whose result the caller waits for.
    batch,   ///< Independent tasks that may be preempted.
    gang,    ///< Tasks that start all together or not at all.
    service  ///< Long-running tasks with a disruption limit.
};

/// Parses "request", "batch", "gang" or "service".
std::optional<workload> parse_workload(std::string_view text);
const char* to_string(workload kind);

/// Urgency classes; a lower number is more urgent.
using urgency = strong_number<struct urgency_tag, std::uint8_t>;
/// The class with the lowest urgency. Valid classes are 0 to this one.
inline constexpr urgency least_urgent{9};

/// Upper bounds of a row. Zero means no limit, except for `queue_length`.
struct row_limits
{
    resources running;                  ///< Total resources of the running tasks.
    std::uint32_t tasks_running = 0;    ///< Number of running tasks.
    std::uint32_t queue_length = 1000;  ///< Number of waiting tasks per job owner.
    std::uint32_t tasks_per_second = 0; ///< Task starts per second.

    friend bool operator==(const row_limits&, const row_limits&) = default;
};

/// One row of the table.
struct table_row
{
    row_id id;
    workload kind = workload::batch;
    double weight = 1.0;     ///< Relative share among rows with demand; positive.
    double guaranteed = 0.0; ///< Fraction of the cluster; at most 1 in sum over all rows.
    urgency priority{5};
    row_limits limits;
    std::uint32_t disruption_limit = 1; ///< Service tasks that may be down at once.

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// One version of the whole table. Rows are sorted by id.
struct operators_table
{
    table_version version;
    change_id change;
    std::string author;
    wall_time accepted{};
    std::vector<table_row> rows;

    /// Returns the row with the given \p id, or nullptr if there is none.
    const table_row* find(const row_id& id) const;
};

/// Checks all rows and then sorts them by id. Reports all faults together, each with a
/// JSON pointer into
/// {"rows": [...]} that refers to the order before sorting.
findings check_rows(std::vector<table_row>& rows);

/// Version of the stored format. It is incremented when older software would misread the
/// new format.
inline constexpr std::uint64_t table_format = 1;

/// Serializes a table to the JSON form described in docs/api.md.
std::string to_json(const operators_table& table);
/// Serializes a table to the form stored in the key-value service: the output of
/// to_json() with an additional field "format".
std::string to_stored_json(const operators_table& table);
/// Result of parse_table_json().
struct parsed_table
{
    std::optional<operators_table> table;
    findings faults;
};
/// Parses the output of to_json() or to_stored_json(). Unknown fields, wrong types, an
/// unsupported format and faulty rows are reported as findings. The table is present only
/// when there are no findings.
parsed_table parse_table_json(std::string_view text);

/// Rows of an edit. They are present only when there are no findings.
struct parsed_rows
{
    std::optional<std::vector<table_row>> rows;
    findings faults;
};
/// Parses and checks the body of a whole-table edit, {"rows": [...]}.
parsed_rows parse_rows_json(std::string_view text);
/// Applies a JSON merge patch to the row \p id of \p rows, or to a new row with default
/// values, and checks all rows. Null restores a field's default. JSON pointers of faults
/// in the patched row are relative to \p patch. All other pointers begin with "/rows".
parsed_rows patch_row(std::vector<table_row> rows, const row_id& id,
                      std::string_view patch);

/// A field of a row whose value differs between two tables.
struct changed_field
{
    row_id row;
    std::string field;  ///< For example "weight" or "limits/queue_length".
    std::string before; ///< JSON text.
    std::string after;  ///< JSON text.

    friend bool operator==(const changed_field&, const changed_field&) = default;
};
/// Differences between two tables, sorted by row id and field.
struct table_difference
{
    std::vector<row_id> added;
    std::vector<row_id> removed;
    std::vector<changed_field> changed;
};
/// Returns the changes that lead from \p before to \p after.
table_difference difference(const operators_table& before, const operators_table& after);

} // namespace hawthornbeam

#endif
