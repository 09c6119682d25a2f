/// \file
/// Measures the bytes, calls, times and memory that the journal and the operators' table
/// need with the in-process key-value service. Prints one line per measurement; the
/// results are in docs/durable-state.md.
#include "hawthornbeam/journal/journal.hpp"
#include "hawthornbeam/table/table_store.hpp"
#include "test/standins/fake_kv.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <malloc.h>

namespace hawthornbeam
{
namespace
{

using standins::fake_kv_service;
using standins::fake_kv_store;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t payload_bytes = 200;
/// Longer than ended jobs are retained, so that snapshots have reached their full size.
constexpr int warm_up_seconds = 660;
constexpr int measured_seconds = 120;
constexpr int repeats = 20;

job_accepted make_job(std::uint64_t number)
{
    job_accepted record;
    record.job.request = request_id(fmt::format("request-{:08}", number));
    record.job.id = job_id::derive(partner_id("partner"), record.job.request);
    record.job.row = row_id("partner/kind");
    record.job.payload = std::string(payload_bytes, 'x');
    return record;
}

double milliseconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() -
                                                     start)
        .count();
}

/// Journals of the partitions of one owner, on one key-value store.
class cluster
{
public:
    explicit cluster(std::uint16_t partitions)
    {
        kv.faults().latency = milliseconds(2);
        for (std::uint16_t i = 0; i < partitions; ++i)
            claim(i);
        loop.advance(seconds(1));
    }

    void claim(std::uint16_t partition)
    {
        partition_journal::options settings;
        settings.partition = partition_id(partition);
        settings.self = instance_id("entry-1");
        journals.push_back(std::make_unique<partition_journal>(kv, loop, log, settings));
        journals.back()->claim([](const result<claimed_partition>&) {});
    }
    void append(const job_id& id, journal_record record)
    {
        const std::uint16_t count = static_cast<std::uint16_t>(journals.size());
        journals[id.partition(count).value()]->append(std::move(record),
                                                      [this](const result<bool>& outcome)
                                                      { failed += outcome ? 0 : 1; });
    }
    void accept(std::uint64_t number)
    {
        job_accepted record = make_job(number);
        record.at = loop.clock().wall_now();
        append(record.job.id, record);
    }
    void end(std::uint64_t number)
    {
        const job_id id = make_job(number).job.id;
        append(id, job_progress{id, {{0, task_state::finished, true, "output"}}});
        append(id, job_ended{id, wire::job_verdict::done, ""});
    }

    manual_event_loop loop;
    std::shared_ptr<fake_kv_store> store = std::make_shared<fake_kv_store>();
    fake_kv_service kv{loop, store};
    logger log{loop.clock(), "measure", log_level::error};
    std::vector<std::unique_ptr<partition_journal>> journals;
    std::uint64_t failed = 0;
};

/// Measures the journal's writes at a constant rate of jobs that run for 1 s each.
void measure_jobs(std::uint16_t partitions, int rate)
{
    cluster measured(partitions);
    std::uint64_t number = 0;
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
    const std::uint64_t delay =
        static_cast<std::uint64_t>(rate); // Each job runs for 1 s.
    for (int second = 0; second < warm_up_seconds + measured_seconds; ++second)
    {
        if (second == warm_up_seconds)
        {
            calls = measured.kv.total_calls();
            bytes = measured.kv.bytes_written();
        }
        for (int i = 0; i < rate; ++i)
        {
            measured.accept(number);
            if (number >= delay)
                measured.end(number - delay);
            ++number;
            measured.loop.advance(milliseconds(1000 / rate));
        }
    }
    const double jobs = static_cast<double>(rate) * measured_seconds;
    fmt::print("jobs: partitions {:2} rate {:3}/s  bytes/job {:8.0f}  calls/job {:6.3f}  "
               "calls/s {:6.1f}  failed {}\n",
               partitions, rate,
               static_cast<double>(measured.kv.bytes_written() - bytes) / jobs,
               static_cast<double>(measured.kv.total_calls() - calls) / jobs,
               static_cast<double>(measured.kv.total_calls() - calls) / measured_seconds,
               measured.failed);
}

/// Measures how long a claim of a partition takes to load its live jobs, and their size.
void measure_claim(std::uint64_t live_jobs)
{
    cluster measured(1);
    const std::size_t before = mallinfo2().uordblks;
    std::size_t stored = 0;
    for (std::uint64_t number = 0; number < live_jobs; ++number)
    {
        measured.accept(number);
        measured.loop.advance(milliseconds(5));
    }
    measured.loop.advance(seconds(10));
    for (const kv_entry& entry : measured.store->state.list("journal/"))
        stored += entry.value.size() + entry.key.size();
    const std::size_t used = mallinfo2().uordblks - before - stored;
    std::vector<double> times;
    const std::uint64_t calls = measured.kv.total_calls();
    measured.kv.faults().latency = duration::zero();
    for (int i = 0; i < repeats; ++i)
    {
        const std::chrono::steady_clock::time_point start =
            std::chrono::steady_clock::now();
        measured.claim(0);
        measured.loop.run_ready();
        times.push_back(milliseconds_since(start));
    }
    std::sort(times.begin(), times.end());
    fmt::print(
        "claim: live jobs {:5}  calls {:.1f}  processor time {:6.2f} ms (median of "
        "{})  stored {} bytes  memory/job {} bytes  failed {}\n",
        live_jobs, static_cast<double>(measured.kv.total_calls() - calls) / repeats,
        times[times.size() / 2], repeats, stored, used / live_jobs, measured.failed);
}

/// Measures the check, parsing and installation of a table.
void measure_table(std::size_t rows)
{
    operators_table table;
    table.version = table_version(1);
    for (std::size_t i = 0; i < rows; ++i)
    {
        table_row row;
        row.id = row_id(fmt::format("partner-{}/kind-{}", i / 4, i % 4));
        row.weight = 1.0 + static_cast<double>(i) / 7.0;
        row.guaranteed = 0.5 / static_cast<double>(rows);
        table.rows.push_back(row);
    }
    const std::string json = to_stored_json(table);
    manual_event_loop loop;
    fake_kv_service kv(loop, std::make_shared<fake_kv_store>());
    const logger log(loop.clock(), "measure", log_level::error);
    std::vector<double> checks;
    std::vector<double> installs;
    for (int i = 0; i < repeats; ++i)
    {
        std::vector<table_row> checked = table.rows;
        std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        if (!check_rows(checked).empty())
            return;
        checks.push_back(milliseconds_since(start));
        table_store store(kv, loop, log, table_store::options());
        start = std::chrono::steady_clock::now();
        store.install(*parse_table_json(json).table);
        installs.push_back(milliseconds_since(start));
    }
    std::sort(checks.begin(), checks.end());
    std::sort(installs.begin(), installs.end());
    fmt::print("table: rows {:4}  check {:.3f} ms  parse, check and install {:.3f} ms  "
               "{} bytes\n",
               rows, checks[checks.size() / 2], installs[installs.size() / 2],
               json.size());
}

} // namespace
} // namespace hawthornbeam

int main()
{
    for (const std::uint16_t partitions : {1, 64})
        for (const int rate : {1, 10, 100})
            hawthornbeam::measure_jobs(partitions, rate);
    for (const std::uint64_t live_jobs : {100, 1000, 3000})
        hawthornbeam::measure_claim(live_jobs);
    for (const std::size_t rows : {10, 83, 400, 1600})
        hawthornbeam::measure_table(rows);
    return 0;
}
