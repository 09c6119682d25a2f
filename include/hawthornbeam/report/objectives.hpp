/// \file
/// Service-level objectives of the rows, read from TOML and checked as a whole.
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
    wait,    ///< Tasks that started within the waiting time limit.
    refused, ///< Tasks that were refused.
    share    ///< Time in which a row with waiting work had its guaranteed share.
};
inline constexpr std::size_t objective_kinds = 3;

/// "wait", "refused" or "share".
const char* to_string(objective_kind kind);

/// Objectives of one row; each is optional.
struct row_objectives
{
    row_id row;
    std::optional<duration> wait_limit;
    std::optional<double> wait_target;  ///< Fraction of starts within the limit.
    std::optional<double> refused_most; ///< Fraction of offered tasks.
    double share_floor = 0.95;          ///< Fraction of the guarantee that counts as met.
    std::optional<double> share_target; ///< Fraction of time.

    /// The fraction of bad events that \p kind allows; nothing when not set.
    std::optional<double> allowed(objective_kind kind) const;
};

/// Objectives of all rows.
struct service_objectives
{
    duration period = std::chrono::hours(24 * 30); ///< Of the error budget.
    std::vector<row_objectives> rows;
};

/// Objectives, or everything that is wrong with them.
struct parsed_objectives
{
    std::optional<service_objectives> objectives;
    findings faults;
};

/// Parses TOML text; \p file is used in findings.
parsed_objectives parse_objectives(std::string_view text, const std::string& file);
/// Reads and parses a file. A file that cannot be read is a finding.
parsed_objectives load_objectives(const std::string& file);

} // namespace hawthornbeam

#endif
