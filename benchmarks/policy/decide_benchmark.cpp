/// \file
/// Measures the time of decisions and cancellations and the memory of the scheduler's
/// state at several cluster sizes.
#include "hawthornbeam/policy/scheduler.hpp"
#include "hawthornbeam/support/random_source.hpp"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <malloc.h>

namespace hawthornbeam::policy
{
namespace
{

constexpr std::size_t running_tasks = 160000;
constexpr int partners = 83;
constexpr int rows_per_partner = 4;
constexpr int domains = 18;
constexpr int workers_per_rack = 8;
constexpr double load = 0.8;
/// Time between decisions at the target of 12,000 starts a second.
constexpr duration step = std::chrono::nanoseconds(1000000000 / 12000);

std::size_t heap_in_use()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// A cluster that runs a given number of tasks (160,000 in all benchmarks) at 80% load.
/// The fewer workers it has, the larger they are, so that the tasks fit.
class loaded_cluster
{
public:
    loaded_cluster(std::int64_t workers, std::size_t tasks)
        : subject_({}), random_(11), tasks_(tasks)
    {
        operators_table table;
        for (int i = 0; i < partners * rows_per_partner; ++i)
        {
            table_row row;
            row.id = row_id(
                fmt::format("p{}/k{}", i / rows_per_partner, i % rows_per_partner));
            row.priority = urgency(static_cast<std::uint8_t>(2 * (i % 4)));
            row.weight = 1 + i % 3;
            row.limits.queue_length = 200000;
            rows_.push_back(row.id);
            table.rows.push_back(row);
        }
        subject_.set_table(table);
        const std::size_t before = heap_in_use();
        add_workers(workers);
        worker_bytes_ = heap_in_use() - before;
        fill();
    }

    waiting_task next_task()
    {
        waiting_task task;
        task.id = task_id{job_id(1, ++next_job_), 0, 0};
        task.row = rows_[random_.below(rows_.size())];
        task.size = {
            millicores(500 * static_cast<std::int64_t>(1 + random_.below(8))),
            byte_count((1LL << 30) * static_cast<std::int64_t>(1 + random_.below(8))),
            accelerator_count(0)};
        task.idempotent = true;
        return task;
    }

    void enqueue() { subject_.enqueue(next_task(), now_); }
    void end_one()
    {
        const std::size_t position = random_.below(running_.size());
        subject_.task_ended(running_[position], task_outcome::success, now_);
        running_[position] = running_.back();
        running_.pop_back();
    }
    std::size_t decide(std::size_t max_starts)
    {
        const decisions round = subject_.decide(now_, max_starts);
        preempted_.insert(preempted_.end(), round.preemptions.begin(),
                          round.preemptions.end());
        for (const placement& entry : round.placements)
            running_.push_back(entry.task);
        return round.placements.size();
    }
    void advance() { now_ += step; }
    /// Ends the tasks that the last decisions preempted other than by throttling, as
    /// workers do.
    void end_preempted_tasks()
    {
        for (const preemption& entry : preempted_)
        {
            if (entry.action != preemption_action::throttle)
                subject_.task_ended(entry.task, task_outcome::preempted, now_);
        }
        preempted_.clear();
    }

    scheduler& subject() { return subject_; }
    boot_time now() const { return now_; }
    std::size_t worker_bytes() const { return worker_bytes_; }
    std::size_t running_bytes() const { return running_bytes_; }

private:
    void add_workers(std::int64_t workers)
    {
        // A task has 2.25 cores and 4.5 GiB on average.
        const double each =
            static_cast<double>(tasks_) / static_cast<double>(workers) / load;
        const resources capacity{millicores(std::max<std::int64_t>(
                                     8000, static_cast<std::int64_t>(2250 * each))),
                                 byte_count(static_cast<std::int64_t>(
                                     std::max(16.0, 4.5 * each) * (1LL << 30))),
                                 accelerator_count(2)};
        for (int i = 0; i < workers; ++i)
            subject_.add_worker({worker_id(fmt::format("worker-{}", i)),
                                 failure_domain_id(fmt::format("domain-{}", i % domains)),
                                 rack_id(fmt::format("rack-{}", i / workers_per_rack)),
                                 capacity});
    }

    void fill()
    {
        const std::size_t before = heap_in_use();
        while (running_.size() < tasks_)
        {
            for (int i = 0; i < 1000; ++i)
                enqueue();
            while (decide(1000) > 0)
                advance();
            advance();
        }
        running_bytes_ = heap_in_use() - before - running_.capacity() * sizeof(task_id);
    }

    scheduler subject_;
    random_source random_;
    std::size_t tasks_;
    std::vector<row_id> rows_;
    std::vector<task_id> running_; ///< May hold preempted tasks; their end is ignored.
    std::vector<preemption> preempted_;
    boot_time now_{std::chrono::seconds(1000)};
    std::uint64_t next_job_ = 0;
    std::size_t worker_bytes_ = 0;
    std::size_t running_bytes_ = 0;
};

double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction *
                                           static_cast<double>(values.size() - 1))];
}

/// Measures steps that end as many tasks as they start. The arguments are the number of
/// workers and the tasks per step. The time covers the end of each task, the arrival of
/// its successor and the decision.
void bm_start(benchmark::State& state)
{
    loaded_cluster cluster(state.range(0), running_tasks);
    const int batch = static_cast<int>(state.range(1));
    std::vector<double> micros;
    std::int64_t starts = 0;
    for (auto _ : state)
    {
        for (int i = 0; i < batch; ++i)
        {
            cluster.end_one();
            cluster.enqueue();
            cluster.advance();
        }
        const std::chrono::steady_clock::time_point begin =
            std::chrono::steady_clock::now();
        starts += static_cast<std::int64_t>(
            cluster.decide(static_cast<std::size_t>(2 * batch)));
        micros.push_back(std::chrono::duration<double, std::micro>(
                             std::chrono::steady_clock::now() - begin)
                             .count());
    }
    state.SetItemsProcessed(starts);
    state.counters["decide_p50_us"] = percentile(micros, 0.5);
    state.counters["decide_p99_us"] = percentile(micros, 0.99);
    state.counters["decide_max_us"] = percentile(micros, 1.0);
}
BENCHMARK(bm_start)
    ->ArgsProduct({{50, 1000, 29000}, {1, 64}})
    ->ArgNames({"workers", "batch"})
    ->Unit(benchmark::kMicrosecond);

/// Like bm_start, but with 40,000 tasks waiting over all rows and no free capacity except
/// that of the tasks that end.
void bm_start_saturated(benchmark::State& state)
{
    loaded_cluster cluster(state.range(0), running_tasks);
    for (int i = 0; i < 120000; ++i)
        cluster.enqueue();
    while (cluster.decide(1000) > 0)
        cluster.advance();
    std::vector<double> micros;
    std::int64_t starts = 0;
    for (auto _ : state)
    {
        cluster.end_preempted_tasks();
        for (int i = 0; i < 16; ++i)
        {
            cluster.end_one();
            cluster.enqueue();
            cluster.advance();
        }
        const std::chrono::steady_clock::time_point begin =
            std::chrono::steady_clock::now();
        starts += static_cast<std::int64_t>(cluster.decide(64));
        micros.push_back(std::chrono::duration<double, std::micro>(
                             std::chrono::steady_clock::now() - begin)
                             .count());
    }
    state.SetItemsProcessed(starts);
    state.counters["waiting"] = static_cast<double>(cluster.subject().waiting());
    state.counters["decide_p50_us"] = percentile(micros, 0.5);
    state.counters["decide_p99_us"] = percentile(micros, 0.99);
    state.counters["decide_max_us"] = percentile(micros, 1.0);
}
BENCHMARK(bm_start_saturated)
    ->Arg(50)
    ->Arg(1000)
    ->Arg(29000)
    ->ArgName("workers")
    ->Unit(benchmark::kMicrosecond);

/// Measures heap bytes per worker, running task and waiting task, as mallinfo2() counts
/// them.
void bm_state(benchmark::State& state)
{
    constexpr std::size_t added_tasks = 100000;
    for (auto _ : state)
    {
        loaded_cluster cluster(29000, running_tasks);
        const std::size_t before = heap_in_use();
        for (std::size_t i = 0; i < added_tasks; ++i)
            cluster.enqueue();
        state.counters["bytes_per_worker"] =
            static_cast<double>(cluster.worker_bytes()) / 29000;
        state.counters["bytes_per_running_task"] =
            static_cast<double>(cluster.running_bytes()) / running_tasks;
        state.counters["bytes_per_waiting_task"] =
            static_cast<double>(heap_in_use() - before) / added_tasks;
    }
}
BENCHMARK(bm_state)->Iterations(1)->Unit(benchmark::kMillisecond);

/// Measures the cancellation of many waiting tasks in random order.
void bm_cancel(benchmark::State& state)
{
    loaded_cluster cluster(1000, running_tasks);
    random_source random(5);
    const std::size_t count = static_cast<std::size_t>(state.range(0));
    for (auto _ : state)
    {
        state.PauseTiming();
        std::vector<task_id> ids;
        for (std::size_t i = 0; i < count; ++i)
        {
            waiting_task task = cluster.next_task();
            task.start_by = cluster.now() + std::chrono::hours(1);
            cluster.subject().enqueue(task, cluster.now());
            ids.push_back(task.id);
        }
        for (std::size_t i = ids.size(); i > 1; --i)
            std::swap(ids[i - 1], ids[random.below(i)]);
        state.ResumeTiming();
        for (const task_id& id : ids)
            benchmark::DoNotOptimize(cluster.subject().cancel(id));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(bm_cancel)->Arg(100)->Arg(100000)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace hawthornbeam::policy

BENCHMARK_MAIN();
