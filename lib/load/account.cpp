#include "hawthornbeam/load/account.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr std::array<const char*, 6> fate_names{"open",    "done",    "cancelled",
                                                "refused", "unknown", "lost"};
constexpr std::array<const char*, 4> state_names{"running", "finished", "failed",
                                                 "stopped"};

const char* fate_name(job_fate fate)
{
    return fate_names.at(static_cast<std::size_t>(fate));
}

/// Seconds of the boot clock, the time base of the workers' history.
double seconds_of(boot_time at)
{
    return std::chrono::duration<double>(at.time_since_epoch()).count();
}

/// Totals over the jobs of one row.
struct row_sum
{
    std::uint64_t submitted = 0;
    std::array<std::uint64_t, fate_names.size()> fates{};
    std::uint64_t refusals = 0;
    std::uint64_t unknown_outcomes = 0;
    std::vector<double>
        response_seconds; ///< Of the jobs with fate `done`; sorted by sum_rows().

    double quantile(double q) const
    {
        if (response_seconds.empty())
            return -1;
        const double last = static_cast<double>(response_seconds.size() - 1);
        return response_seconds[static_cast<std::size_t>(std::lround(q * last))];
    }
};

std::map<std::string, row_sum> sum_rows(const load_run& run)
{
    std::map<std::string, row_sum> rows;
    for (const load_job& job : run.jobs())
    {
        const load_stream& stream = run.plan().streams[job.stream];
        row_sum& row = rows[stream.partner + "/" + stream.kind];
        if (job.submitted != boot_time())
            ++row.submitted;
        ++row.fates.at(static_cast<std::size_t>(job.fate));
        row.refusals += job.refusals;
        row.unknown_outcomes += job.unknown_outcomes;
        if (job.fate == job_fate::done)
            row.response_seconds.push_back(
                std::chrono::duration<double>(job.ended - job.submitted).count());
    }
    for (std::pair<const std::string, row_sum>& row : rows)
        std::sort(row.second.response_seconds.begin(), row.second.response_seconds.end());
    return rows;
}

double mean(double sum, std::uint64_t samples)
{
    return samples == 0 ? 0 : sum / static_cast<double>(samples);
}

load_observations::row observed_row(const load_observations& observations,
                                    const std::string& name)
{
    const std::map<std::string, load_observations::row>::const_iterator found =
        observations.rows.find(name);
    return found == observations.rows.end() ? load_observations::row() : found->second;
}

std::string seconds_text(double seconds)
{
    return seconds < 0 ? std::string("-") : fmt::format("{:.3f}", seconds);
}

json seconds_json(double seconds)
{
    return seconds < 0 ? json() : json(seconds);
}

json row_json(const row_sum& sum, const load_observations::row& row,
              std::uint64_t samples)
{
    json encoded{{"submitted", sum.submitted},
                 {"refusals", sum.refusals},
                 {"unknown_outcomes", sum.unknown_outcomes},
                 {"response_p50_seconds", seconds_json(sum.quantile(0.5))},
                 {"response_p99_seconds", seconds_json(sum.quantile(0.99))},
                 {"wait_p50_seconds", seconds_json(row.wait_p50_seconds)},
                 {"wait_p99_seconds", seconds_json(row.wait_p99_seconds)},
                 {"share_promised", row.promised},
                 {"share_received", mean(row.share_sum, samples)}};
    for (std::size_t i = 0; i < fate_names.size(); ++i)
        encoded[fate_names[i]] = sum.fates[i];
    return encoded;
}

} // namespace

load_verdict judge(const load_run& run)
{
    load_verdict verdict;
    for (const load_job& job : run.jobs())
    {
        if (!answer_fault(run.plan().streams[job.stream], job).empty())
            ++verdict.wrong_answers;
        if (job.fate == job_fate::lost)
            ++verdict.lost;
        if (job.fate == job_fate::open)
            ++verdict.open;
    }
    return verdict;
}

std::string account_text(const load_run& run, const load_observations& observations)
{
    std::string text = fmt::format(
        "{:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>6}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}\n",
        "row", "sent", "done", "refused", "unknown", "cancel", "lost", "open", "resp p50",
        "resp p99", "wait p50", "wait p99", "promise", "share");
    for (const auto& [name, sum] : sum_rows(run))
    {
        const load_observations::row row = observed_row(observations, name);
        text += fmt::format(
            "{:<18}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>6}{:>9}{:>9}{:>9}{:>9}{:>8.3f}"
            "{:>8.3f}\n",
            name, sum.submitted, sum.fates[1], sum.fates[3], sum.fates[4], sum.fates[2],
            sum.fates[5], sum.fates[0], seconds_text(sum.quantile(0.5)),
            seconds_text(sum.quantile(0.99)), seconds_text(row.wait_p50_seconds),
            seconds_text(row.wait_p99_seconds), row.promised,
            mean(row.share_sum, observations.share_samples));
    }
    text += "Times are in seconds; response times include the run; waiting times are of "
            "all tasks since the instances started.\n";
    text +=
        fmt::format("packing: {:.3f} of all cores in use, {:.3f} of the cores of "
                    "workers that run something\n",
                    mean(observations.used_of_all, observations.packing_samples),
                    mean(observations.used_of_occupied, observations.packing_samples));
    for (const auto& [name, traffic] : observations.platform)
        text += fmt::format("control cost: {} calls and {} bytes at {}\n", traffic.calls,
                            traffic.bytes, name);
    for (const load_job& job : run.jobs())
    {
        const std::string fault = answer_fault(run.plan().streams[job.stream], job);
        if (!fault.empty())
            text += fmt::format("WRONG ANSWER to {}: {}\n", job.request, fault);
        if (job.fate == job_fate::lost)
            text += fmt::format("LOST: {} ({})\n", job.request, job.id.text());
    }
    return text;
}

std::string account_json(const load_run& run, const load_observations& observations)
{
    json rows = json::object();
    for (const auto& [name, sum] : sum_rows(run))
        rows[name] =
            row_json(sum, observed_row(observations, name), observations.share_samples);
    json platform = json::object();
    for (const auto& [name, traffic] : observations.platform)
        platform[name] = json{{"calls", traffic.calls}, {"bytes", traffic.bytes}};
    const load_verdict verdict = judge(run);
    return json{{"rows", std::move(rows)},
                {"packing",
                 {{"used_of_all",
                   mean(observations.used_of_all, observations.packing_samples)},
                  {"used_of_occupied",
                   mean(observations.used_of_occupied, observations.packing_samples)}}},
                {"platform", std::move(platform)},
                {"wrong_answers", verdict.wrong_answers},
                {"lost", verdict.lost},
                {"open", verdict.open}}
               .dump() +
           "\n";
}

std::string job_record_lines(const load_run& run)
{
    std::string lines;
    for (const load_job& job : run.jobs())
    {
        const load_stream& stream = run.plan().streams[job.stream];
        json results = json::array();
        for (const wire::task_result& task : job.results)
            results.push_back(
                json{{"index", task.index},
                     {"state", state_names.at(static_cast<std::size_t>(task.state))},
                     {"known", task.known},
                     {"output", task.output}});
        lines +=
            json{{"job", job.id.text()},
                 {"request_id", job.request},
                 {"first_instance", job.first_instance},
                 {"idempotent", stream.idempotent},
                 {"synchronous", stream.synchronous},
                 {"tasks", stream.tasks},
                 {"payload", job.payload},
                 {"verdict", job.verdict ? json(wire::to_string(*job.verdict)) : json()},
                 {"answered", job.answered},
                 {"accepted", job.accepted},
                 {"refusals", job.refusals},
                 {"unknown_outcomes", job.unknown_outcomes},
                 {"submitted_at_seconds", seconds_of(job.submitted)},
                 {"ended_at_seconds", seconds_of(job.ended)},
                 {"fate", fate_name(job.fate)},
                 {"reason", job.reason},
                 {"results", std::move(results)}}
                .dump() +
            "\n";
    }
    return lines;
}

} // namespace hawthornbeam
