/// \file
/// Measures the burn report for a day of samples, taken every five minutes from nine
/// instances with 83 rows, and the cost of the metrics of one instance. ctest does not
/// run it; start it with
/// `build/benchmarks/report_measurement [DIRECTORY]`.
#include "hawthornbeam/metrics/metrics.hpp"
#include "hawthornbeam/report/burn.hpp"

#include <chrono>
#include <cmath>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sys/resource.h>

using namespace hawthornbeam;

namespace
{

constexpr int row_count = 83;
constexpr int instance_count = 9;
constexpr int step_count = 288;
constexpr int starts_per_step = 40;

double seconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
        .count();
}

/// Peak resident memory of the process.
double peak_megabytes()
{
    rusage usage = {};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_maxrss) / 1024;
}

std::string row_name(int row)
{
    return fmt::format("team-{:02}/batch", row);
}

/// Returns a uniform value in [0, 1).
double uniform(std::mt19937_64& random)
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

/// Records one step of one row, with log-uniform waiting times from 1 ms to 10 s.
void advance(metrics_registry& metrics, int row, std::mt19937_64& random)
{
    const std::pair<std::string, std::string> label{"row", row_name(row)};
    for (int i = 0; i < starts_per_step; ++i)
        metrics.observe(
            "hawthornbeam_wait_seconds", {label},
            duration(static_cast<std::int64_t>(1e6 * std::pow(10, 4 * uniform(random)))));
    for (const char* outcome : {"done", "failed", "not_run", "unknown", "cancelled"})
        metrics.add("hawthornbeam_tasks_total", {label, {"outcome", outcome}},
                    static_cast<double>(random() % 10));
    for (const char* reason :
         {"queue_full", "deadline", "limit", "impossible", "kv_unavailable"})
        metrics.add("hawthornbeam_refusals_total", {label, {"reason", reason}},
                    static_cast<double>(random() % 3));
    metrics.set_gauge("hawthornbeam_row_share", {label}, uniform(random) / 900);
    metrics.set_gauge("hawthornbeam_row_guaranteed", {label}, 0.01);
    metrics.set_gauge("hawthornbeam_row_waiting", {label},
                      static_cast<double>(random() % 5));
}

void advance(metrics_registry& metrics, std::mt19937_64& random)
{
    for (int row = 0; row < row_count; ++row)
        advance(metrics, row, random);
    metrics.set_gauge("hawthornbeam_capacity_free_fraction", {}, 0.01);
    metrics.set_gauge("hawthornbeam_kv_reachable", {}, 1);
    metrics.set_gauge("hawthornbeam_workers", {{"state", "schedulable"}}, 5);
}

void measure_metrics()
{
    constexpr int rounds = 200;
    metrics_registry metrics;
    std::mt19937_64 random(1);
    for (int step = 0; step < 10; ++step)
        advance(metrics, random);
    std::size_t text_size = 0;
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        text_size = metrics.prometheus_text().size();
    fmt::print("prometheus_text, {} rows: {:.2f} ms, {:.0f} kB\n", row_count,
               1e3 * seconds_since(start) / rounds, static_cast<double>(text_size) / 1e3);
    std::size_t snapshot_size = 0;
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        snapshot_size = metrics.snapshot().size();
    fmt::print("snapshot, {} rows: {:.2f} ms, {:.0f} kB\n", row_count,
               1e3 * seconds_since(start) / rounds,
               static_cast<double>(snapshot_size) / 1e3);
    const std::string snapshot = metrics.snapshot();
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        if (!metrics_registry().merge(snapshot))
            fmt::print("merge failed\n");
    fmt::print("merge of one snapshot: {:.2f} ms\n", 1e3 * seconds_since(start) / rounds);
    constexpr int observations = 1000000;
    start = std::chrono::steady_clock::now();
    for (int i = 0; i < observations; ++i)
        metrics.observe("hawthornbeam_wait_seconds", {{"row", "team-41/batch"}},
                        duration(i));
    fmt::print("observe: {:.0f} ns\n", 1e9 * seconds_since(start) / observations);
}

void write_day(const std::string& file)
{
    std::remove(file.c_str());
    std::mt19937_64 random(2);
    std::vector<metrics_registry> metrics(instance_count);
    for (int step = 0; step <= step_count; ++step)
    {
        const wall_time now(std::chrono::milliseconds(1800000000000) +
                            std::chrono::minutes(5 * step));
        std::vector<metrics_sample> samples;
        for (std::size_t i = 0; i < metrics.size(); ++i)
        {
            advance(metrics[i], random);
            samples.push_back(
                {now, instance_id(fmt::format("entry-{}", i)), metrics[i].snapshot()});
        }
        if (!append_samples(file, samples))
            fmt::print("{} cannot be written\n", file);
    }
}

service_objectives make_objectives()
{
    service_objectives objectives;
    for (int row = 0; row < row_count; ++row)
    {
        row_objectives objective;
        objective.row = row_id(row_name(row));
        objective.wait_limit = std::chrono::seconds(5);
        objective.wait_target = 0.999;
        objective.refused_most = 0.01;
        objective.share_target = 0.99;
        objectives.rows.push_back(objective);
    }
    return objectives;
}

void measure_report(const std::string& file)
{
    write_day(file);
    const double before = peak_megabytes();
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    burn_calculator calculator(make_objectives());
    const findings faults = read_recording(file, [&](const metrics_sample& sample)
                                           { return calculator.add(sample); });
    const double reading = seconds_since(start);
    start = std::chrono::steady_clock::now();
    const burn_report report = calculator.report();
    const double computing = seconds_since(start);
    start = std::chrono::steady_clock::now();
    const std::size_t size = to_html(report).size();
    fmt::print("burn report, {} samples, {} rows, {} findings: read {:.2f} s, compute "
               "{:.3f} s, HTML {:.3f} s ({:.1f} MB); peak memory {:.0f} MB, {:.0f} MB "
               "before reading\n",
               report.samples, report.rows.size(), faults.size(), reading, computing,
               seconds_since(start), static_cast<double>(size) / 1e6, peak_megabytes(),
               before);
    std::ifstream recorded(file, std::ios::ate | std::ios::binary);
    fmt::print("recorded file: {:.0f} MB\n", static_cast<double>(recorded.tellg()) / 1e6);
    std::remove(file.c_str());
}

} // namespace

int main(int argc, char** argv)
{
    const std::string directory = argc > 1 ? argv[1] : ".";
    measure_metrics();
    measure_report(directory + "/report_measurement.jsonl");
    return 0;
}
