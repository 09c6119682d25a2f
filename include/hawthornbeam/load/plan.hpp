/// \file
/// A plan of load: which jobs are sent, when and how.
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

/// Jobs of one row, sent evenly from `start` to `end`.
struct load_stream
{
    std::string name; ///< Unique in the plan; part of the request ids.
    std::string partner;
    std::string kind;
    std::uint64_t count = 0; ///< Jobs in all.
    duration start{};        ///< From the beginning of the run.
    duration end{};
    std::uint32_t tasks = 1;
    resources size; ///< Declared for each task.
    duration run_time{};
    duration deadline{}; ///< Zero is none.
    bool synchronous = false;
    bool idempotent = false;
    bool spread_failure_domains = false;
    /// Jobs that have not ended at `end` are cancelled; for services.
    bool cancel_at_end = false;
    /// Submissions again after refusals that say when to come back.
    std::uint32_t retries = 0;
    std::string payload; ///< "{number}" is replaced by the job's number in the stream.
};

/// All streams of a run.
struct load_plan
{
    std::uint32_t max_open = 64; ///< Requests that may be open at once.
    /// How long jobs may take to end after the end of the last stream.
    duration drain = std::chrono::seconds(30);
    std::vector<load_stream> streams;
};

/// A plan, or everything that is wrong with its text.
struct parsed_load_plan
{
    std::optional<load_plan> plan;
    findings faults;
};

/// Parses the TOML form; examples/load-mixed.toml describes the keys.
parsed_load_plan parse_load_plan(std::string_view text, const std::string& file);

/// The payload of job \p number of \p stream.
std::string payload_of(const load_stream& stream, std::uint64_t number);

/// When job \p number of \p stream is due, from the beginning of the run.
duration due_time(const load_stream& stream, std::uint64_t number);

} // namespace hawthornbeam

#endif
