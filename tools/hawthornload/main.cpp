/// \file
/// Load generator: submits the jobs of a load plan and reports the outcome of each.
#include "hawthornbeam/load/account.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

ABSL_FLAG(std::string, plan, "", "TOML plan; see examples/load-mixed.toml");
ABSL_FLAG(std::vector<std::string>, instances, {"127.0.0.1:8080"},
          "instances, used in turn");
ABSL_FLAG(std::string, name, "load", "begins the request ids; new for every run");
ABSL_FLAG(std::string, json, "", "file for the account as JSON");
ABSL_FLAG(std::string, records, "", "file for one JSON line for each job");
ABSL_FLAG(std::string, control, "",
          "IP:PORT of the platform stand-in's control port, for its call counts");
ABSL_FLAG(bool, require_end, false, "fail when a job has not ended");

namespace
{

using namespace hawthornbeam;

constexpr int exit_done = 0;
constexpr int exit_violated = 1;
constexpr int exit_usage = 2;

constexpr const char* usage = R"(Sends the jobs of a plan and accounts for them.

Examples:
  hawthornload --plan=examples/load-mixed.toml --instances=127.0.0.1:8080
  hawthornload --plan=examples/load-flood.toml --instances=127.0.0.1:8080,127.0.0.2:8080 \
    --name=trial-7 --json=trial-7.json --records=trial-7.jsonl

Exit codes: 0 every answer was whole and the caller's own and no accepted job was lost,
1 otherwise or a file could not be written, 2 faulty command line or plan.)";

std::optional<load_plan> read_plan(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
    {
        fmt::print(stderr, "{}: cannot be read\n", file);
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(input),
                           std::istreambuf_iterator<char>()};
    parsed_load_plan parsed = parse_load_plan(text, file);
    for (const finding& fault : parsed.faults)
        fmt::print(stderr, "{}\n", fault.text());
    return std::move(parsed.plan);
}

/// Writes \p text to \p file; does nothing if \p file is empty.
bool write_file(const std::string& file, const std::string& text)
{
    if (file.empty())
        return true;
    std::ofstream output(file);
    output << text;
    output.flush();
    if (!output)
        fmt::print(stderr, "{}: cannot be written\n", file);
    return static_cast<bool>(output);
}

int report_outcome(const load_run& run, const load_observations& observations)
{
    fmt::print("{}", account_text(run, observations));
    const bool written =
        write_file(absl::GetFlag(FLAGS_json), account_json(run, observations)) &&
        write_file(absl::GetFlag(FLAGS_records), job_record_lines(run));
    const load_verdict verdict = judge(run);
    const bool ended = verdict.open == 0 || !absl::GetFlag(FLAGS_require_end);
    return written && ended && verdict.wrong_answers == 0 && verdict.lost == 0
               ? exit_done
               : exit_violated;
}

int send_load(load_plan plan)
{
    glib_event_loop loop;
    const logger log(loop.clock(), "hawthornload", log_level::warning);
    const std::vector<std::string> instances = absl::GetFlag(FLAGS_instances);
    const std::unique_ptr<load_transport> transport =
        make_load_transport(loop, log, plan.max_open);
    load_observer observer(loop, *transport, instances, absl::GetFlag(FLAGS_control));
    load_run run(
        loop, *transport,
        load_run::options{std::move(plan), instances, absl::GetFlag(FLAGS_name)});
    observer.start();
    run.start([&loop, &observer] { observer.finish([&loop] { loop.quit(); }); });
    loop.run();
    return report_outcome(run, observer.seen());
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage);
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_plan).empty() || absl::GetFlag(FLAGS_instances).empty())
    {
        fmt::print(stderr, "--plan and --instances are required\n");
        return exit_usage;
    }
    std::optional<load_plan> plan = read_plan(absl::GetFlag(FLAGS_plan));
    return plan ? send_load(std::move(*plan)) : exit_usage;
}
