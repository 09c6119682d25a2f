/// \file
/// Load plan: which jobs a load run submits, when and how.
#ifndef HAWTHORNBEAM_LOAD_PLAN_HPP
#define HAWTHORNBEAM_LOAD_PLAN_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"
#include "hawthornbeam/support/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// Jobs of one row, submitted at even intervals from `start` to `end`.
struct load_stream
{
    std::string name; ///< Unique in the plan; part of the request ids.
    std::string partner;
    std::string kind;
    std::uint64_t count = 0; ///< Total number of jobs.
    duration start{};        ///< Relative to the beginning of the run.
    duration end{};          ///< Relative to the beginning of the run.
    std::uint32_t tasks = 1;
    resources size; ///< Resources declared for each task.
    duration run_time{};
    duration deadline{}; ///< Zero means no deadline.
    bool synchronous = false;
    bool idempotent = false;
    bool spread_failure_domains = false;
    /// Cancels the jobs that have not ended at `end`; meant for services.
    bool cancel_at_end = false;
    /// Maximum number of resubmissions of a job after refusals that give a retry delay.
    std::uint32_t retries = 0;
    std::string payload; ///< "{number}" is replaced by the job's number in the stream.
};

/// Settings and streams of a load run.
struct load_plan
{
    std::uint32_t max_open = 64; ///< Maximum number of concurrent requests.
    /// Time that jobs have to finish after the end of the last stream.
    duration drain = std::chrono::seconds(30);
    std::vector<load_stream> streams;
};

/// A parsed plan, or all faults found in its text.
struct parsed_load_plan
{
    std::optional<load_plan> plan;
    findings faults;
};

/// Parses a plan in TOML; examples/load-mixed.toml describes the keys.
parsed_load_plan parse_load_plan(std::string_view text, const std::string& file);

/// Returns the payload of job \p number of \p stream, with "{number}" replaced.
std::string payload_of(const load_stream& stream, std::uint64_t number);

/// Returns the submission time of job \p number of \p stream, relative to the beginning
/// of the run.
duration due_time(const load_stream& stream, std::uint64_t number);

} // namespace hawthornbeam

#endif
