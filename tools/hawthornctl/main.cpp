/// \file
/// Command line client of the HTTP API.
#include "hawthornbeam/cli/command.hpp"
#include "hawthornbeam/support/toml_tree.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

ABSL_FLAG(std::string, instances, "127.0.0.1:8080", "instances to try in turn");
ABSL_FLAG(std::string, token_file, "", "file with the token");
ABSL_FLAG(std::string, output, "table", "table or json; html for the burn report");
ABSL_FLAG(std::string, timeout, "30 s", "longest wait for an instance");
ABSL_FLAG(bool, yes, false, "do not ask for confirmation");
ABSL_FLAG(std::string, partner, "", "partner");
ABSL_FLAG(std::string, kind, "", "kind of work");
ABSL_FLAG(std::string, request_id, "", "the caller's id of a job");
ABSL_FLAG(int64_t, limit, 0, "most entries to list");
ABSL_FLAG(int64_t, tasks, 1, "tasks of a job");
ABSL_FLAG(double, processors, 0, "cores of each task");
ABSL_FLAG(std::string, memory, "", "bytes of each task, with Ki, Mi or Gi");
ABSL_FLAG(int64_t, accelerators, 0, "accelerators of each task");
ABSL_FLAG(bool, idempotent, false, "tasks may run again after a failure");
ABSL_FLAG(bool, synchronous, false, "wait for the result");
ABSL_FLAG(bool, spread, false, "spread tasks over failure domains");
ABSL_FLAG(std::string, run_time, "", "declared run time");
ABSL_FLAG(std::string, deadline, "", "time until a start is pointless");
ABSL_FLAG(std::string, payload, "", "text for the worker");
ABSL_FLAG(std::string, file, "", "recorded metrics");
ABSL_FLAG(std::string, objectives, "", "objectives file");
ABSL_FLAG(std::string, every, "5 min", "time between samples");
ABSL_FLAG(int64_t, count, 1, "number of samples; 0 goes on until interrupted");
ABSL_FLAG(bool, help, false, "show help");
ABSL_FLAG(bool, version, false, "show the version");

namespace
{

using hawthornbeam::cli_options;
using hawthornbeam::exit_code;

int report_usage_error(const std::string& message)
{
    std::cerr << "hawthornctl: " << message << "; see hawthornctl --help\n";
    return static_cast<int>(exit_code::usage);
}

/// Sets the flag at \p index, whose value may be the next argument. Abseil's own parser
/// is not used because it exits with 1 on errors, which is the exit code for "refused".
std::string set_flag(const std::vector<std::string>& arguments, std::size_t& index,
                     std::set<std::string>& given_flags)
{
    const std::string& argument = arguments[index];
    const std::size_t equals = argument.find('=');
    const std::string written = argument.substr(0, equals);
    std::string name = written.substr(2);
    std::replace(name.begin(), name.end(), '-', '_');
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    // Libraries also define flags; these are not accepted here.
    const bool is_own =
        flag != nullptr && absl::EndsWith(flag->Filename(), "hawthornctl/main.cpp");
    if (!is_own)
        return "unknown flag " + written;
    std::string value = "true";
    if (equals != std::string::npos)
        value = argument.substr(equals + 1);
    else if (!flag->IsOfType<bool>())
    {
        if (index + 1 == arguments.size())
            return written + " needs a value";
        value = arguments[++index];
    }
    std::string fault;
    if (!flag->ParseFrom(value, &fault))
        return written + " is \"" + value + "\": " + fault;
    given_flags.insert(name);
    return "";
}

/// Separates flags from command words. Returns an error message, or an empty string.
std::string parse_arguments(const std::vector<std::string>& arguments,
                            std::vector<std::string>& words,
                            std::set<std::string>& given_flags)
{
    bool flags_ended = false;
    for (std::size_t i = 0; i < arguments.size(); ++i)
    {
        const bool is_flag = !flags_ended && arguments[i].starts_with("--");
        if (!is_flag)
        {
            words.push_back(arguments[i]);
            continue;
        }
        flags_ended = arguments[i] == "--";
        const std::string fault = flags_ended ? "" : set_flag(arguments, i, given_flags);
        if (!fault.empty())
            return fault;
    }
    return "";
}

cli_options read_options(std::set<std::string> given_flags)
{
    cli_options options;
    options.given_flags = std::move(given_flags);
    options.instances =
        absl::StrSplit(absl::GetFlag(FLAGS_instances), ',', absl::SkipEmpty());
    options.output = absl::GetFlag(FLAGS_output);
    options.yes = absl::GetFlag(FLAGS_yes);
    options.partner = absl::GetFlag(FLAGS_partner);
    options.kind = absl::GetFlag(FLAGS_kind);
    options.request_id = absl::GetFlag(FLAGS_request_id);
    options.limit = absl::GetFlag(FLAGS_limit);
    options.tasks = absl::GetFlag(FLAGS_tasks);
    options.processors = absl::GetFlag(FLAGS_processors);
    options.memory = absl::GetFlag(FLAGS_memory);
    options.accelerators = absl::GetFlag(FLAGS_accelerators);
    options.idempotent = absl::GetFlag(FLAGS_idempotent);
    options.synchronous = absl::GetFlag(FLAGS_synchronous);
    options.spread = absl::GetFlag(FLAGS_spread);
    options.run_time = absl::GetFlag(FLAGS_run_time);
    options.deadline = absl::GetFlag(FLAGS_deadline);
    options.payload = absl::GetFlag(FLAGS_payload);
    options.file = absl::GetFlag(FLAGS_file);
    options.objectives = absl::GetFlag(FLAGS_objectives);
    options.every = absl::GetFlag(FLAGS_every);
    options.count = absl::GetFlag(FLAGS_count);
    return options;
}

/// Reads the token. Returns false if the file cannot be read or is empty.
bool read_token(const std::string& file, std::string& token)
{
    std::ifstream stream(file);
    std::getline(stream, token);
    token = std::string(absl::StripAsciiWhitespace(token));
    return !token.empty();
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> words;
    std::set<std::string> given_flags;
    const std::string fault = parse_arguments(
        std::vector<std::string>(argv + 1, argv + argc), words, given_flags);
    if (!fault.empty())
        return report_usage_error(fault);
    if (absl::GetFlag(FLAGS_version))
    {
        std::cout << "hawthornctl " HAWTHORNBEAM_VERSION "\n";
        return 0;
    }
    if (absl::GetFlag(FLAGS_help))
    {
        std::cout << hawthornbeam::help_text(words);
        return 0;
    }
    if (words.empty())
        return report_usage_error("no command");
    cli_options options = read_options(std::move(given_flags));
    const std::string token_file = absl::GetFlag(FLAGS_token_file);
    if (!token_file.empty() && !read_token(token_file, options.token))
        return report_usage_error(token_file + " holds no token");
    const std::optional<hawthornbeam::duration> limit =
        hawthornbeam::parse_duration(absl::GetFlag(FLAGS_timeout));
    if (!limit || *limit < std::chrono::seconds(1))
        return report_usage_error(
            "--timeout is no time of at least 1 s, such as \"30 s\"");
    // The response to a synchronous job may take until the deadline of the job.
    const hawthornbeam::duration request_timeout =
        *limit + hawthornbeam::parse_duration(options.deadline)
                     .value_or(hawthornbeam::duration::zero());
    const std::unique_ptr<hawthornbeam::api_transport> transport =
        hawthornbeam::make_http_transport(request_timeout);
    const hawthornbeam::system_clock_source clock;
    const hawthornbeam::cli_environment environment{
        *transport,
        clock,
        std::cin,
        std::cout,
        std::cerr,
        isatty(STDIN_FILENO) != 0 && isatty(STDERR_FILENO) != 0,
        [](hawthornbeam::duration time) { std::this_thread::sleep_for(time); }};
    return static_cast<int>(hawthornbeam::run_command(words, options, environment));
}
