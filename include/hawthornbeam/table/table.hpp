/// \file
/// The operators' table: rows of weights and limits, with a version.
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

/// How work of a row is scheduled.
enum class workload : std::uint8_t
{
    request, ///< One task, answered while the caller waits.
    batch,   ///< Independent tasks that may be preempted.
    gang,    ///< All tasks at once or none.
    service  ///< Long-running tasks with a disruption limit.
};

/// Parses "request", "batch", "gang" or "service".
std::optional<workload> parse_workload(std::string_view text);
const char* to_string(workload kind);

/// Urgency classes; a lower number is more urgent.
using urgency = strong_number<struct urgency_tag, std::uint8_t>;
/// Urgency classes run from 0 to this one.
inline constexpr urgency least_urgent{9};

/// Upper bounds of a row. Zero means no limit, except for the queue length.
struct row_limits
{
    resources running;                  ///< Sum of sizes of running tasks.
    std::uint32_t tasks_running = 0;    ///< Tasks.
    std::uint32_t queue_length = 1000;  ///< Tasks that wait, per job owner.
    std::uint32_t tasks_per_second = 0; ///< Task starts a second.

    friend bool operator==(const row_limits&, const row_limits&) = default;
};

/// One row of the table.
struct table_row
{
    row_id id;
    workload kind = workload::batch;
    double weight = 1.0;     ///< Relative share among rows with demand; positive.
    double guaranteed = 0.0; ///< Fraction of the cluster kept for it; all rows at most 1.
    urgency priority{5};
    row_limits limits;
    std::uint32_t disruption_limit = 1; ///< Service tasks that may be down at once.

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// A version of the whole table. Rows are ordered by id.
struct operators_table
{
    table_version version;
    change_id change;
    std::string author;
    wall_time accepted{};
    std::vector<table_row> rows;

    /// The row named \p id, or nullptr.
    const table_row* find(const row_id& id) const;
};

/// Checks all rows, names the faults by JSON pointers into {"rows": [...]} in the given
/// order and then sorts the rows by id. All findings are reported together.
findings check_rows(std::vector<table_row>& rows);

/// Format of the stored form; raised when an older reader would misread the value.
inline constexpr std::uint64_t table_format = 1;

/// Writes a table in the form of docs/api.md.
std::string to_json(const operators_table& table);
/// Writes to_json()'s form with a field "format" for the key-value service.
std::string to_stored_json(const operators_table& table);
/// Result of parse_table_json().
struct parsed_table
{
    std::optional<operators_table> table;
    findings faults;
};
/// Parses both forms. Unknown fields, wrong types, a newer format and faulty rows are
/// findings; the table is present only when there is none.
parsed_table parse_table_json(std::string_view text);

/// Rows of an edit; present only when they have no findings.
struct parsed_rows
{
    std::optional<std::vector<table_row>> rows;
    findings faults;
};
/// Parses and checks the body of a whole-table edit, {"rows": [...]}.
parsed_rows parse_rows_json(std::string_view text);
/// Applies a JSON merge patch to the row \p id of \p rows, or to a new row with default
/// values, and checks all rows. Null restores a field's default. Pointers of faults in
/// the patched row are relative to \p patch; other pointers begin with "/rows".
parsed_rows patch_row(std::vector<table_row> rows, const row_id& id,
                      std::string_view patch);

/// A field of a row that differs between two tables.
struct changed_field
{
    row_id row;
    std::string field;  ///< For example "weight" or "limits/queue_length".
    std::string before; ///< JSON text.
    std::string after;  ///< JSON text.

    friend bool operator==(const changed_field&, const changed_field&) = default;
};
/// What distinguishes two tables, ordered by row id and field.
struct table_difference
{
    std::vector<row_id> added;
    std::vector<row_id> removed;
    std::vector<changed_field> changed;
};
table_difference difference(const operators_table& before, const operators_table& after);

} // namespace hawthornbeam

#endif
