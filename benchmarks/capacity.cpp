/// \file
/// Measures how the cost of each role grows with the numbers of instances, workers,
/// tasks, rows and jobs. Prints a line fitted over several sizes for each cost; the
/// results are in docs/CAPACITY.md. The cells run in this process against the stand-ins,
/// so processor times include the stand-ins and the in-memory network.
///
/// usage: capacity [cell|http]
#include "benchmarks/capacity_cell.hpp"
#include "benchmarks/capacity_http.hpp"
#include "hawthornbeam/membership/rendezvous.hpp"
#include "unittests/membership/cluster.hpp"

#include <ctime>
#include <malloc.h>

namespace hawthornbeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Measures cells without load over all combinations of instance and worker counts.
void measure_idle_cells()
{
    print_header("At rest; processor ms/s of the whole cell by workers (54, 162, 486)");
    std::vector<measured_point> by_instances;
    std::vector<measured_point> intercepts;
    std::vector<measured_point> kv;
    std::vector<measured_point> messages;
    std::vector<measured_point> summaries;
    std::vector<measured_point> gossip;
    for (const std::size_t instances : {3, 9, 27})
    {
        std::vector<measured_point> points;
        for (const std::size_t workers : {54, 162, 486})
        {
            test_cluster measured(sizes(instances, workers));
            measured.start();
            const cell_totals cost = run(measured, instances, measured_seconds);
            points.push_back(
                {static_cast<double>(workers), min_processor(measured, instances) * 1e3});
            if (workers != 162)
                continue;
            const double size = static_cast<double>(instances);
            const double each = size * measured_seconds;
            messages.push_back({size, cost.messages / each});
            summaries.push_back({size, cost.status_bytes / each});
            gossip.push_back({size, cost.gossip_bytes / each});
            const cell_totals minutes = run(measured, instances, 300);
            kv.push_back({size, kv_calls(minutes) / 300});
        }
        const linear_fit line =
            print_fit(fmt::format("ms/s, {} instances", instances), points);
        by_instances.push_back({static_cast<double>(instances), line.slope * 1e3});
        intercepts.push_back({static_cast<double>(instances), line.intercept * 1e3});
    }
    print_header("At rest, by instances (3, 9, 27)");
    print_fit("processor us/s per worker, all instances", by_instances);
    print_fit("processor us/s without workers, all instances", intercepts);
    print_fit("KV calls/s, whole cell", kv);
    print_fit("messages/s sent per instance (requests and replies)", messages);
    print_fit("summary bytes/s sent per instance, 4 rows", summaries);
    print_fit("gossip bytes/s sent per instance", gossip);
}

/// Measures cells without load by the number of rows in the operators' table.
void measure_rows()
{
    constexpr std::size_t instances = 9;
    print_header("At rest, by rows of the table; 9 instances, 54 workers");
    std::vector<measured_point> bytes;
    std::vector<measured_point> processor;
    std::vector<measured_point> size;
    for (const std::size_t rows : {4, 83, 332})
    {
        test_cluster measured(sizes(instances, 54));
        measured.start();
        install_rows(measured, rows, true);
        const cell_totals cost = run(measured, instances, measured_seconds);
        const double count = static_cast<double>(rows);
        bytes.push_back({count, cost.bytes / instances / measured_seconds});
        processor.push_back(
            {count, min_processor(measured, instances) * 1e6 / instances});
        size.push_back({count, cost.status_bytes / (cost.messages / 2)});
    }
    print_fit("bytes/s sent per instance (8 summaries asked, 8 answered)", bytes);
    print_fit("bytes of one summary, request and reply", size);
    print_fit("processor us/s per instance", processor);
}

/// Measures the processor time of one instance by the number of instances. An instance
/// adds up the summaries of all instances whenever one arrives, so its processor time
/// grows with their number.
void measure_summaries()
{
    print_header("At rest, by instances (9, 18, 27, 54); 54 workers, 83 rows");
    std::vector<measured_point> processor;
    for (const std::size_t instances : {9, 18, 27, 54})
    {
        test_cluster measured(sizes(instances, 54));
        measured.start();
        install_rows(measured, 83, true);
        const double count = static_cast<double>(instances);
        processor.push_back({count, min_processor(measured, instances) * 1e6 / count});
    }
    print_fit("processor us/s per instance", processor);
}

/// Measures the choice of a slice's owner. Each change of members or hosts ranks the
/// members of the failure domain again for each of its slices.
void measure_assignment()
{
    print_header("Choice of a slice's owner, by instances of the failure domain");
    std::vector<measured_point> times;
    for (const std::size_t count : {30, 90, 270})
    {
        std::vector<instance_id> members;
        for (std::size_t index = 0; index < count; ++index)
            members.push_back(test_cluster::name(index));
        constexpr int slices = 5000;
        const std::clock_t begin = std::clock();
        std::size_t found = 0;
        for (int slice = 0; slice < slices; ++slice)
            found +=
                rendezvous_owner(fmt::format("slice/domain-1/rack-{}", slice), members)
                    .value()
                    .size();
        const double elapsed = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
        if (found > 0)
            times.push_back({static_cast<double>(count), elapsed * 1e6 / slices});
    }
    print_fit("processor us per slice", times);
}

/// Submits \p tasks idempotent tasks in jobs of 100 and advances until they run or wait.
void submit_tasks(test_cluster& measured, std::size_t instances, std::size_t tasks,
                  int run_ms)
{
    for (std::size_t first = 0; first < tasks; first += 100)
    {
        wire::job_spec job =
            measured.job("p/batch", fmt::format("fill-{}", first), 100, run_ms, true);
        job.size.processors = millicores(500);
        measured.submit(first / 100 % instances, std::move(job));
        measured.advance(milliseconds(100));
    }
    measured.advance(seconds(20));
}

void measure_tasks(const char* title, std::size_t workers,
                   const std::vector<std::size_t>& counts)
{
    constexpr std::size_t instances = 9;
    print_header(title);
    std::vector<measured_point> processor;
    std::vector<measured_point> memory;
    std::vector<measured_point> bytes;
    for (const std::size_t tasks : counts)
    {
        test_cluster measured(sizes(instances, workers));
        measured.start();
        const std::size_t before = mallinfo2().uordblks;
        submit_tasks(measured, instances, tasks, 3600000);
        const std::size_t after = mallinfo2().uordblks;
        const cell_totals cost = run(measured, instances, measured_seconds);
        const double size = static_cast<double>(tasks);
        processor.push_back({size, min_processor(measured, instances) * 1e6});
        memory.push_back(
            {size, static_cast<double>(after) - static_cast<double>(before)});
        bytes.push_back({size, cost.bytes / measured_seconds});
    }
    print_fit("processor us/s, whole cell", processor);
    print_fit("bytes of memory, whole cell with stand-ins", memory);
    print_fit("bytes/s between instances, whole cell", bytes);
}

/// Sends \p rate synchronous requests of 50 ms per second, in turn to each instance.
void send_requests(test_cluster& measured, std::size_t instances, int rate,
                   int duration_seconds)
{
    for (int number = 0; number < rate * duration_seconds; ++number)
    {
        measured.submit(static_cast<std::size_t>(number) % instances,
                        measured.request(fmt::format("request-{}", number)));
        measured.advance(std::chrono::microseconds(1000000 / rate));
    }
}

/// Submits \p rate durable jobs of ten tasks of 1 s per second, in turn to each instance.
void send_jobs(test_cluster& measured, std::size_t instances, int rate,
               int duration_seconds)
{
    for (int number = 0; number < rate * duration_seconds; ++number)
    {
        measured.submit(
            static_cast<std::size_t>(number) % instances,
            measured.job("p/batch", fmt::format("job-{}", number), 10, 1000, true));
        measured.advance(milliseconds(1000 / rate));
    }
}

void measure_load(const char* title, const std::vector<int>& rates,
                  void (*send)(test_cluster&, std::size_t, int, int))
{
    constexpr std::size_t instances = 9;
    constexpr int load_seconds = 10;
    print_header(title);
    std::vector<measured_point> processor;
    std::vector<measured_point> messages;
    std::vector<measured_point> bytes;
    std::vector<measured_point> journal;
    for (const int rate : rates)
    {
        test_cluster measured(sizes(instances, 54));
        measured.start();
        const std::vector<std::size_t> all = first_instances(instances);
        const cell_totals begin = totals_of(measured, all);
        send(measured, instances, rate, load_seconds);
        const cell_totals cost = difference(totals_of(measured, all), begin);
        const double size = rate;
        processor.push_back({size, cost.processor * 1e6 / load_seconds});
        messages.push_back({size, cost.messages / load_seconds});
        bytes.push_back({size, cost.bytes / load_seconds});
        journal.push_back({size, cost.kv.at(kv_cause::journal) / load_seconds});
        std::size_t answered = 0;
        for (const call_record& call : measured.calls())
            answered += call.has_status ? 1 : 0;
        fmt::print("<!-- rate {}: {} of {} answered -->\n", rate, answered,
                   measured.calls().size());
    }
    print_fit("processor us/s, whole cell", processor);
    print_fit("messages/s, whole cell", messages);
    print_fit("bytes/s between instances, whole cell", bytes);
    print_fit("journal calls/s, whole cell", journal);
}

/// Measures the time until all instances have installed an edit and the cost beyond that
/// of an idle cell.
void measure_table_edits()
{
    print_header("One edit of a table of 83 rows, by instances (3, 9, 27)");
    std::vector<measured_point> times;
    std::vector<measured_point> calls;
    std::vector<measured_point> bytes;
    for (const std::size_t instances : {3, 9, 27})
    {
        test_cluster measured(sizes(instances, 54));
        measured.start();
        install_rows(measured, 83, true);
        const double count = static_cast<double>(instances);
        double worst = 0;
        constexpr int edits = 10;
        const std::vector<std::size_t> all = first_instances(instances);
        const cell_totals idle = run(measured, instances, edits * 5);
        const cell_totals begin = totals_of(measured, all);
        for (int edit = 0; edit < edits; ++edit)
        {
            const boot_time start = measured.now();
            const table_version next(measured.table(0).current().version.value() + 1);
            install_rows(measured, 83, false);
            measured.advance_until(seconds(10),
                                   [&]
                                   {
                                       for (const std::size_t index : all)
                                           if (measured.table(index).current().version <
                                               next)
                                               return false;
                                       return true;
                                   });
            worst = std::max(
                worst, std::chrono::duration<double>(measured.now() - start).count());
            measured.advance(start + seconds(5) - measured.now());
        }
        const cell_totals cost = difference(totals_of(measured, all), begin);
        times.push_back({count, worst});
        calls.push_back({count, (kv_calls(cost) - kv_calls(idle)) / edits});
        bytes.push_back({count, (cost.bytes - idle.bytes) / edits});
    }
    print_fit("s until in force everywhere, worst of 10 edits", times);
    print_fit("KV calls per edit, whole cell", calls);
    print_fit("bytes between instances per edit, whole cell", bytes);
}

/// Measures how fast gossip spreads a new table version. An instance has the table as
/// soon as it learns of the version: fetches count as instantaneous.
void measure_spread()
{
    print_header(
        "Spread of a table version by gossip from 3 instances, by log2(instances)");
    std::vector<measured_point> times;
    for (const std::size_t count : {9, 27, 100, 300})
    {
        cluster instances(count);
        instances.time_until([&] { return instances.all_alive(); }, seconds(60));
        std::size_t reached = 0;
        for (std::size_t index = 0; index < count; ++index)
            instances.at(index).on_newer_table(
                [&, index](const member& from)
                {
                    if (instances.at(index).self().table >= from.table)
                        return;
                    ++reached;
                    instances.at(index).set_table_version(from.table);
                });
        double worst = 0;
        for (std::uint64_t version = 1; version <= 5; ++version)
        {
            reached = 3;
            for (std::size_t index = 0; index < 3; ++index)
                instances.at(index).set_table_version(table_version(version));
            const duration elapsed =
                instances.time_until([&] { return reached >= count; }, seconds(30));
            worst = std::max(worst, std::chrono::duration<double>(elapsed).count());
        }
        times.push_back({std::log2(static_cast<double>(count)), worst});
    }
    print_fit("s until all have it, worst of 5", times);
}

/// Returns the workers whose last lease in the history belongs to \p owner.
std::set<worker_id> workers_owned_by(test_cluster& measured, const instance_id& owner)
{
    std::map<worker_id, std::string> owners;
    for (const standins::history_entry& entry : measured.workers().history())
        if (entry.event == "acquire")
            owners[entry.worker] = entry.subject;
    std::set<worker_id> owned;
    for (const auto& [worker, name] : owners)
        if (name == owner.value())
            owned.insert(worker);
    return owned;
}

/// Cost to the surviving instances in the 10 s after an instance that owns workers dies.
struct takeover_cost
{
    double lost_workers = 0;
    double running_tasks = 0;      ///< On the lost workers.
    double reacquired_seconds = 0; ///< Until the last lost worker has a new owner.
    cell_totals cost;              ///< Of the survivors, beyond that of an idle cell.
};

takeover_cost measure_death(std::size_t instances, std::size_t workers, std::size_t tasks)
{
    constexpr int after_seconds = 10;
    test_cluster measured(sizes(instances, workers));
    measured.start();
    submit_tasks(measured, instances, tasks, 3600000);
    std::size_t victim = instances;
    std::set<worker_id> lost;
    while (lost.empty())
        lost = workers_owned_by(measured, test_cluster::name(--victim));
    takeover_cost found;
    found.lost_workers = static_cast<double>(lost.size());
    for (const standins::history_entry& entry : measured.workers().history())
        if (entry.event == "start" && lost.contains(entry.worker))
            ++found.running_tasks;
    std::vector<std::size_t> survivors = first_instances(instances);
    std::erase(survivors, victim);
    const cell_totals start = totals_of(measured, survivors);
    measured.advance(seconds(after_seconds));
    const cell_totals idle = difference(totals_of(measured, survivors), start);
    measured.kill(victim);
    const boot_time killed = measured.now();
    const cell_totals begin = totals_of(measured, survivors);
    measured.advance(seconds(after_seconds));
    found.cost = difference(difference(totals_of(measured, survivors), begin), idle);
    for (const standins::history_entry& entry : measured.workers().history())
        if (entry.event == "acquire" && entry.at > killed && lost.contains(entry.worker))
            found.reacquired_seconds =
                std::max(found.reacquired_seconds,
                         std::chrono::duration<double>(entry.at - killed).count());
    return found;
}

void measure_takeover()
{
    print_header(
        "Death of one of 9 instances (72 workers, 9 slices), by tasks running on "
        "its workers; beyond rest in 10 s");
    std::vector<measured_point> reacquired;
    std::vector<measured_point> messages;
    std::vector<measured_point> bytes;
    for (const std::size_t tasks : {0, 1000, 3000, 6000})
    {
        const takeover_cost found = measure_death(9, 72, tasks);
        reacquired.push_back({found.running_tasks, found.reacquired_seconds});
        messages.push_back({found.running_tasks, found.cost.messages});
        bytes.push_back({found.running_tasks, found.cost.bytes});
    }
    print_fit("s until all its workers have a new owner", reacquired);
    print_fit("messages", messages);
    print_fit("bytes between instances", bytes);

    print_header("Death of one instance, by instances (3, 9, 27) with 8 workers each");
    std::vector<measured_point> total;
    std::vector<measured_point> claims;
    std::vector<measured_point> recovery;
    std::vector<measured_point> other;
    for (const std::size_t instances : {3, 9, 27})
    {
        takeover_cost found = measure_death(instances, instances * 8, 0);
        const double size = static_cast<double>(instances);
        total.push_back({size, found.cost.messages});
        claims.push_back({size, found.cost.kv[kv_cause::claim]});
        recovery.push_back({size, found.cost.kv[kv_cause::recovery]});
        other.push_back({size, found.cost.kv[kv_cause::table]});
    }
    print_fit("messages", total);
    print_fit("KV calls for claims", claims);
    print_fit("KV calls for recovery", recovery);
    print_fit("KV calls for the table", other);
}

/// Measures the time from the death of an instance to the first task start on one of its
/// workers.
void measure_first_start()
{
    constexpr std::size_t instances = 9;
    print_header("First start by the new owner after a death, under 100 requests/s, by "
                 "tasks running in the test_cluster");
    std::vector<measured_point> first;
    for (const std::size_t tasks : {0, 1000, 3000, 6000})
    {
        test_cluster measured(sizes(instances, 72));
        measured.start();
        submit_tasks(measured, instances, tasks, 3600000);
        std::size_t victim = 0;
        std::set<worker_id> lost;
        for (std::size_t index = instances; index-- > 1 && lost.empty();)
        {
            victim = index;
            lost = workers_owned_by(measured, test_cluster::name(index));
        }
        measured.kill(victim);
        const boot_time killed = measured.now();
        for (int number = 0; number < 900; ++number)
        {
            measured.submit(0, measured.request(fmt::format("after-{}", number)));
            measured.advance(milliseconds(10));
        }
        double first_start = -1;
        for (const standins::history_entry& entry : measured.workers().history())
            if (first_start < 0 && entry.event == "start" && entry.at > killed &&
                lost.contains(entry.worker))
                first_start = std::chrono::duration<double>(entry.at - killed).count();
        first.push_back({static_cast<double>(tasks), first_start});
    }
    print_fit("s until the first start there", first);
}

void measure_cells()
{
    measure_idle_cells();
    measure_rows();
    measure_summaries();
    measure_assignment();
    measure_tasks("Running tasks; 9 instances, 54 workers", 54, {0, 1000, 3000, 6000});
    measure_tasks("Queued tasks (8 workers are full with 1,000 of them); 9 instances", 8,
                  {1000, 3000, 6000, 9000});
    measure_load("Synchronous requests a second; 9 instances, 54 workers", {50, 200, 800},
                 send_requests);
    measure_load("Durable jobs of 10 tasks a second; 9 instances, 54 workers",
                 {5, 20, 50}, send_jobs);
    measure_table_edits();
    measure_spread();
    measure_takeover();
    measure_first_start();
}

} // namespace
} // namespace hawthornbeam

int main(int argc, char** argv)
{
    const std::string part = argc > 1 ? argv[1] : "";
    // Forks the processes of the stand-ins, which has to come before any use of GLib.
    if (part != "test_cluster")
        hawthornbeam::measure_http();
    if (part != "http")
        hawthornbeam::measure_cells();
    return 0;
}
