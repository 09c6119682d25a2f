/// \file
/// Command-line tool that runs the invariant checker on recorded files.
#include "lib/platform/json_values.hpp"
#include "test/standins/invariant_checker.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <set>

ABSL_FLAG(std::string, history, "", "what GET /history of the stand-in answered");
ABSL_FLAG(std::string, records, "", "job records of hawthornload; may be absent");
ABSL_FLAG(std::string, observations, "",
          "JSON lines with one of the members capacity, leaving, table, accepted and "
          "open_at_stop; may be absent");

namespace
{

using namespace hawthornbeam;
using namespace hawthornbeam::standins;

constexpr int exit_valid = 0;
constexpr int exit_violated = 1;
constexpr int exit_usage = 2;

/// Parses each line of \p file as a JSON object and passes it to \p read.
void for_each_line(const std::string& file, const std::function<void(const json&)>& read)
{
    if (file.empty())
        return;
    std::ifstream input(file);
    if (!input)
        throw malformed_json(file + " cannot be read");
    std::string line;
    for (int number = 1; std::getline(input, line); ++number)
    {
        const json parsed = parse_json(line);
        if (!parsed.is_object())
            throw malformed_json(fmt::format("{}:{}: is no JSON object", file, number));
        read(parsed);
    }
}

job_id parse_job_id(const std::string& text)
{
    const std::optional<job_id> id = job_id::parse(text);
    if (!id)
        throw malformed_json(text + " is no job id");
    return *id;
}

template <class T, std::size_t N>
T enum_from_name(const std::array<const char*, N>& names, const std::string& name)
{
    const auto* const found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        throw malformed_json(name + " is an unknown name");
    return static_cast<T>(found - names.begin());
}

/// Reads the worker events. A kill event is expanded to an end event for each task that
/// was running on the worker.
void read_history(const std::string& file, recorded_history& history)
{
    std::map<std::string, std::map<task_id, resources>> running;
    for_each_line(file,
                  [&](const json& line)
                  {
                      worker_event event;
                      event.at_seconds =
                          static_cast<double>(integer_at(line, "at_ms")) / 1000;
                      event.worker = text_at(line, "worker");
                      event.event = text_at(line, "event");
                      std::map<task_id, resources>& tasks = running[event.worker];
                      if (event.event == "kill")
                      {
                          event.event = "end";
                          for (const auto& [task, size] : tasks)
                          {
                              event.task = task;
                              event.size = size;
                              history.events.push_back(event);
                          }
                          tasks.clear();
                          return;
                      }
                      if (event.event != "start" && event.event != "end")
                          return;
                      const std::optional<task_id> task =
                          task_id::parse(text_at(line, "subject"));
                      if (!task)
                          throw malformed_json("a subject is no task id");
                      event.task = *task;
                      event.size = resources_at(line, "size");
                      if (event.event == "start")
                          tasks[*task] = event.size;
                      else
                          tasks.erase(*task);
                      history.events.push_back(std::move(event));
                  });
}

caller_record read_record(const json& line)
{
    static constexpr std::array<const char*, 5> verdicts{"accepted", "done", "not_run",
                                                         "unknown", "cancelled"};
    static constexpr std::array<const char*, 4> states{"running", "finished", "failed",
                                                       "stopped"};
    caller_record record;
    record.job = parse_job_id(text_at(line, "job"));
    record.idempotent = flag_at(line, "idempotent");
    record.tasks = static_cast<std::uint32_t>(unsigned_at(line, "tasks"));
    record.payload = text_at(line, "payload");
    record.answered = flag_at(line, "answered");
    if (line.contains("verdict") && line["verdict"].is_string())
        record.verdict =
            enum_from_name<wire::job_verdict>(verdicts, text_at(line, "verdict"));
    for (const json& one : array_at(line, "results"))
        record.results.push_back(
            wire::task_result{static_cast<std::uint32_t>(unsigned_at(one, "index")),
                              enum_from_name<task_state>(states, text_at(one, "state")),
                              flag_at(one, "known"), text_at(one, "output")});
    return record;
}

double seconds_from(const json& object)
{
    return object.at("at_seconds").get<double>();
}

void read_observation(const json& line, recorded_history& history)
{
    if (line.contains("capacity"))
        history.capacities[text_at(line["capacity"], "worker")] =
            resources_at(line["capacity"], "size");
    else if (line.contains("leaving"))
        history.leaving.push_back(leaving_record{text_at(line["leaving"], "worker"),
                                                 seconds_from(line["leaving"])});
    else if (line.contains("table"))
        history.tables.push_back(table_record{seconds_from(line["table"]),
                                              text_at(line["table"], "instance"),
                                              unsigned_at(line["table"], "version")});
    else if (line.contains("accepted"))
        history.acceptances.push_back(table_acceptance{
            seconds_from(line["accepted"]), unsigned_at(line["accepted"], "version")});
    else if (line.contains("open_at_stop"))
        history.open_at_planned_stop.push_back(
            parse_job_id(text_at(line, "open_at_stop")));
    else
        throw malformed_json("an observation has an unknown member");
}

recorded_history read_files()
{
    recorded_history history;
    read_history(absl::GetFlag(FLAGS_history), history);
    for_each_line(absl::GetFlag(FLAGS_records), [&history](const json& line)
                  { history.callers.push_back(read_record(line)); });
    for_each_line(absl::GetFlag(FLAGS_observations),
                  [&history](const json& line) { read_observation(line, history); });
    return history;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Checks the invariants of docs/design.md section 1 over recorded files. Exit "
        "codes: 0 none is broken, 1 some is, 2 the files cannot be used.");
    absl::ParseCommandLine(argc, argv);
    try
    {
        const recorded_history history = read_files();
        const std::vector<violation> found = check_invariants(history);
        for (const violation& one : found)
            fmt::print("invariant {}: {}\n", one.invariant, one.text);
        fmt::print("{} events, {} jobs, {} table records: {} violations\n",
                   history.events.size(), history.callers.size(), history.tables.size(),
                   found.size());
        return found.empty() ? exit_valid : exit_violated;
    }
    catch (const std::exception& fault)
    {
        fmt::print(stderr, "{}\n", fault.what());
        return exit_usage;
    }
}
