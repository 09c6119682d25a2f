/// \file
/// Service-level objectives of the rows, parsed from TOML. All errors of a file are
/// reported together.
#ifndef HAWTHORNBEAM_REPORT_OBJECTIVES_HPP
#define HAWTHORNBEAM_REPORT_OBJECTIVES_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// What an objective measures.
enum class objective_kind : std::uint8_t
{
    wait,    ///< Fraction of tasks that started within the waiting time limit.
    refused, ///< Fraction of offered tasks that were refused.
    share ///< Fraction of time in which a row with waiting work had its guaranteed share.
};
inline constexpr std::size_t objective_kinds = 3;

/// Returns "wait", "refused" or "share".
const char* to_string(objective_kind kind);

/// Objectives of one row; each is optional.
struct row_objectives
{
    row_id row;
    std::optional<duration> wait_limit;
    std::optional<double> wait_target;  ///< Min fraction of starts within the limit.
    std::optional<double> refused_most; ///< Max fraction of offered tasks.
    double share_floor = 0.95;          ///< Fraction of the guarantee that counts as met.
    std::optional<double> share_target; ///< Min fraction of time.

    /// Returns the fraction of bad events that the objective \p kind allows, or nullopt
    /// when the row has no such objective.
    std::optional<double> allowed(objective_kind kind) const;
};

/// Objectives of all rows.
struct service_objectives
{
    duration period = std::chrono::hours(24 * 30); ///< Period of the error budget.
    std::vector<row_objectives> rows;
};

/// The result of parsing: the objectives, or all faults of the file.
struct parsed_objectives
{
    std::optional<service_objectives> objectives;
    findings faults;
};

/// Parses TOML text; \p file is the file name shown in findings.
parsed_objectives parse_objectives(std::string_view text, const std::string& file);
/// Reads and parses a file. An unreadable file is reported as a finding.
parsed_objectives load_objectives(const std::string& file);

} // namespace hawthornbeam

#endif
