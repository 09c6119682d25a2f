/// \file
/// The commands of hawthornctl.
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
    refused = 1,        ///< Refused or known not to have run.
    usage = 2,          ///< The command line or an input file is faulty.
    unreachable = 3,    ///< No instance could be reached.
    outcome_unknown = 4 ///< It may or may not have taken effect.
};

/// Values of the flags.
struct cli_options
{
    std::set<std::string> given; ///< Names of the flags on the command line.
    std::vector<std::string> instances;
    std::string token;
    std::string output = "table"; ///< table, json; html for the burn report.
    bool yes = false;
    std::string partner;
    std::string kind;
    std::string request_id;
    std::int64_t limit = 0; ///< Zero takes the default of the API.
    std::int64_t tasks = 1;
    double processors = 0;
    std::string memory; ///< Bytes, with an optional suffix Ki, Mi or Gi.
    std::int64_t accelerators = 0;
    bool idempotent = false;
    bool synchronous = false;
    bool spread = false;
    std::string run_time; ///< Time with unit.
    std::string deadline; ///< Time with unit.
    std::string payload;
    std::string file;
    std::string objectives;
    std::string every = "5 min";
    std::int64_t count = 1; ///< Zero goes on until interrupted.
};

/// What a command works with; tests inject their own.
struct cli_environment
{
    api_transport& transport;
    const clock_source& clock;
    std::istream& in;
    std::ostream& out;        ///< Data only.
    std::ostream& err;        ///< Errors, questions and the difference before an edit.
    bool interactive = false; ///< A person can answer questions.
    std::function<void(duration)> sleep;
};

/// Runs the command that \p words name, such as {"table", "set", ROW, FIELD, VALUE}.
exit_code run_command(const std::vector<std::string>& words, const cli_options& options,
                      const cli_environment& environment);

/// Help with examples for the commands that begin with \p words; of all when empty.
std::string help_text(const std::vector<std::string>& words);

} // namespace hawthornbeam

#endif
