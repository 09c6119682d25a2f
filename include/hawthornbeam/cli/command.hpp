/// \file
/// Entry points, options and exit codes of the hawthornctl commands.
#ifndef HAWTHORNBEAM_CLI_COMMAND_HPP
#define HAWTHORNBEAM_CLI_COMMAND_HPP

#include "hawthornbeam/cli/transport.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// Exit codes of hawthornctl.
enum class exit_code : int
{
    done = 0,
    refused = 1,        ///< The request was refused or certainly did not run.
    usage = 2,          ///< The command line or an input file is invalid.
    unreachable = 3,    ///< No instance could be reached.
    outcome_unknown = 4 ///< The request may or may not have taken effect.
};

/// Values of the command line flags.
struct cli_options
{
    std::set<std::string> given_flags; ///< Names of the flags on the command line.
    std::vector<std::string> instances;
    std::string token;
    /// "table" or "json"; the burn report also accepts "html".
    std::string output = "table";
    bool yes = false;
    std::string partner;
    std::string kind;
    std::string request_id;
    std::int64_t limit = 0; ///< Zero selects the default of the API.
    std::int64_t tasks = 1;
    double processors = 0;
    std::string memory; ///< Bytes, with an optional suffix Ki, Mi or Gi.
    std::int64_t accelerators = 0;
    bool idempotent = false;
    bool synchronous = false;
    bool spread = false;
    std::string run_time; ///< Duration with a unit, such as "30 s".
    std::string deadline; ///< Duration with a unit, such as "30 s".
    std::string payload;
    std::string file;
    std::string objectives;
    std::string every = "5 min";
    std::int64_t count = 1; ///< Number of rounds; zero repeats until interrupted.
};

/// Transport, clock and streams that a command uses. Tests inject their own.
struct cli_environment
{
    api_transport& transport;
    const clock_source& clock;
    std::istream& in;
    std::ostream& out;        ///< Receives the output data and nothing else.
    std::ostream& err;        ///< Receives errors, prompts and the diff before an edit.
    bool interactive = false; ///< True if a user at a terminal can answer prompts.
    std::function<void(duration)> sleep;
};

/// Runs the command that \p words name, such as {"table", "set", ROW, FIELD, VALUE}.
exit_code run_command(const std::vector<std::string>& words, const cli_options& options,
                      const cli_environment& environment);

/// Returns the help and examples of the commands that begin with \p words, or of all
/// commands if \p words is empty.
std::string help_text(const std::vector<std::string>& words);

} // namespace hawthornbeam

#endif
