/// \file
/// Replays a mixed load with two floods of tasks in simulated time, for the policy and
/// the baselines on both current sizes of workers. Prints waiting times, shares and the
/// fraction of cores in use.
#include "baselines.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <memory>
#include <queue>
#include <unordered_map>

namespace hawthornbeam::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(10);
constexpr int workers = 50;
constexpr double flood_factor = 20;
/// Time that a worker takes to checkpoint or stop a task.
constexpr duration stop_time = milliseconds(50);

struct deployment
{
    const char* name;
    double cores;
    double gib;
};
constexpr std::array<deployment, 2> deployments{
    deployment{"first (64 cores, 256 GB)", 64, 256},
    deployment{"second (16 cores, 32 GB)", 16, 32}};

/// The load of one row. Task sizes are fractions of a worker.
struct row_load
{
    table_row row;
    double smallest;
    double largest;
    double run_seconds;
    double load; ///< Fraction of the cluster's cores.
    std::uint32_t gang_size;
    double deadline_seconds; ///< Zero for none.
};

row_load make_load(const char* id, workload kind, std::uint8_t priority,
                   double guaranteed, double smallest, double largest, double run_seconds,
                   double load)
{
    row_load result;
    result.row.id = row_id(id);
    result.row.kind = kind;
    result.row.priority = urgency(priority);
    result.row.guaranteed = guaranteed;
    result.smallest = smallest;
    result.largest = largest;
    result.run_seconds = run_seconds;
    result.load = load;
    result.gang_size = kind == workload::gang ? 8 : 0;
    result.deadline_seconds = kind == workload::request ? 2 : 0;
    return result;
}

std::vector<row_load> mixed_load()
{
    return {make_load("a/request", workload::request, 0, 0.10, 0.03, 0.03, 0.5, 0.15),
            make_load("a/service", workload::service, 2, 0.10, 0.06, 0.06, 60, 0.15),
            make_load("b/gang", workload::gang, 5, 0.10, 0.25, 0.25, 10, 0.12),
            make_load("b/batch", workload::batch, 7, 0.15, 0.02, 0.5, 5, 0.20),
            make_load("a/night", workload::batch, 9, 0.05, 0.03, 0.03, 8, 0.10)};
}

enum phase
{
    normal_load,
    least_urgent_flood,
    most_urgent_flood,
    phase_count
};

phase phase_at(double time)
{
    if (time >= 30 && time < 60)
        return least_urgent_flood;
    return time >= 90 && time < 120 ? most_urgent_flood : normal_load;
}

struct row_figures
{
    std::array<std::vector<float>, phase_count> waits;
    std::array<double, phase_count> core_seconds{};
    std::array<std::size_t, phase_count> refused{};
    std::size_t preempted = 0;
};

class replay
{
public:
    replay(replay_subject& subject, const deployment& size)
        : subject_(subject), size_(size), loads_(mixed_load()), figures_(loads_.size())
    {
        operators_table table;
        for (const row_load& load : loads_)
            table.rows.push_back(load.row);
        subject_.set_table(table);
        for (int i = 0; i < workers; ++i)
            subject_.add_worker(
                {worker_id(fmt::format("w{}", i)),
                 failure_domain_id(fmt::format("d{}", i % 3)),
                 rack_id(fmt::format("r{}", i / 8)),
                 {millicores(std::int64_t(size.cores * 1000)),
                  byte_count(std::int64_t(size.gib * (1 << 30))), accelerator_count(0)}});
    }

    void run(double total_seconds)
    {
        for (; elapsed() < total_seconds; now_ += step)
        {
            end_due();
            add_arrivals();
            apply_decisions(subject_.decide(now_));
            add_usage();
        }
    }

    void print(const char* name) const;

private:
    struct live_task
    {
        waiting_task task;
        std::size_t load;
        boot_time first_enqueued;
        duration remaining_run_time;
        boot_time started;
        bool running = false;
    };
    struct task_end
    {
        boot_time at;
        task_id task;
        bool preempted;
        bool operator<(const task_end& other) const { return at > other.at; }
    };

    double elapsed() const
    {
        return std::chrono::duration<double>(now_ - start_).count();
    }
    phase current() const { return phase_at(elapsed()); }

    void add_arrivals()
    {
        const double step_seconds = std::chrono::duration<double>(step).count();
        for (std::size_t i = 0; i < loads_.size(); ++i)
        {
            const row_load& load = loads_[i];
            const bool flooded =
                (current() == least_urgent_flood && i + 1 == loads_.size()) ||
                (current() == most_urgent_flood && i == 0);
            const double unit = std::max<std::uint32_t>(1, load.gang_size);
            const double core_seconds = (load.smallest + load.largest) / 2 * size_.cores *
                                        load.run_seconds * unit;
            const double rate = (flooded ? flood_factor : load.load) * workers *
                                size_.cores / core_seconds;
            due_arrivals_[i] += rate * step_seconds * 2 * random_.unit();
            for (; due_arrivals_[i] >= 1; due_arrivals_[i] -= 1)
                submit(i);
        }
    }

    void submit(std::size_t position)
    {
        const row_load& load = loads_[position];
        const double fraction =
            load.smallest + (load.largest - load.smallest) * random_.unit();
        waiting_task task;
        task.id = task_id{job_id(1, ++next_job_), 0, 0};
        task.row = load.row.id;
        task.size = {millicores(std::int64_t(fraction * size_.cores * 1000)),
                     byte_count(std::int64_t(fraction * size_.gib * (1 << 30) *
                                             (0.5 + 0.5 * random_.unit()))),
                     accelerator_count(0)};
        task.run_time = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(load.run_seconds * (0.5 + random_.unit())));
        task.enqueued = now_;
        task.idempotent = true;
        task.spread_domains = load.row.kind == workload::service;
        task.gang_size = load.gang_size;
        if (load.deadline_seconds > 0)
            task.start_by = now_ + milliseconds(int(1000 * load.deadline_seconds));
        for (std::uint32_t i = 0; i < std::max<std::uint32_t>(1, load.gang_size); ++i)
        {
            task.id.index = i;
            enqueue({task, position, now_, task.run_time, {}, false});
        }
    }

    void enqueue(const live_task& live)
    {
        if (subject_.enqueue(live.task, now_))
            live_[live.task.id] = live;
        else
            ++figures_[live.load].refused[current()];
    }

    void apply_decisions(const decisions& round)
    {
        for (const placement& entry : round.placements)
        {
            live_task& live = live_.at(entry.task);
            live.running = true;
            live.started = now_;
            if (live.task.id.attempt == 0)
                figures_[live.load].waits[current()].push_back(
                    std::chrono::duration<float>(now_ - live.first_enqueued).count());
            millicores_in_use_[live.load] +=
                static_cast<double>(live.task.size.processors.value());
            due_.push({now_ + live.remaining_run_time, entry.task, false});
        }
        for (const preemption& entry : round.preemptions)
        {
            if (entry.action != preemption_action::throttle)
                due_.push({now_ + stop_time, entry.task, true});
        }
        for (const refusal& entry : round.refusals)
        {
            const std::unordered_map<task_id, live_task>::iterator found =
                live_.find(entry.id);
            ++figures_[found->second.load].refused[current()];
            live_.erase(found);
        }
    }

    void end_due()
    {
        while (!due_.empty() && due_.top().at <= now_)
        {
            const task_end entry = due_.top();
            due_.pop();
            const std::unordered_map<task_id, live_task>::iterator found =
                live_.find(entry.task);
            if (found == live_.end() || !found->second.running)
                continue;
            live_task live = found->second;
            live_.erase(found);
            millicores_in_use_[live.load] -=
                static_cast<double>(live.task.size.processors.value());
            subject_.task_ended(
                entry.task,
                entry.preempted ? task_outcome::preempted : task_outcome::success, now_);
            if (!entry.preempted)
                continue;
            // A preempted task continues from its checkpoint, and a member of a gang
            // continues alone.
            ++figures_[live.load].preempted;
            live.remaining_run_time -= now_ - live.started;
            live.running = false;
            ++live.task.id.attempt;
            live.task.gang_size = 0;
            live.task.run_time = live.remaining_run_time;
            enqueue(live);
        }
    }

    void add_usage()
    {
        const double step_seconds = std::chrono::duration<double>(step).count();
        for (std::size_t i = 0; i < loads_.size(); ++i)
            figures_[i].core_seconds[current()] +=
                millicores_in_use_[i] / 1000 * step_seconds;
        phase_seconds_[current()] += step_seconds;
    }

    replay_subject& subject_;
    const deployment& size_;
    std::vector<row_load> loads_;
    std::vector<row_figures> figures_;
    random_source random_{17};
    boot_time start_{seconds(1000)};
    boot_time now_ = start_;
    std::array<double, 8> due_arrivals_{};
    std::array<double, 8> millicores_in_use_{};
    std::array<double, phase_count> phase_seconds_{};
    std::unordered_map<task_id, live_task> live_;
    std::priority_queue<task_end> due_;
    std::uint64_t next_job_ = 0;
};

double percentile(std::vector<float> values, double fraction)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    return static_cast<double>(
        values[std::size_t(fraction * static_cast<double>(values.size() - 1))]);
}

void replay::print(const char* name) const
{
    static const std::array<const char*, phase_count> names{
        "calm", "flood of least urgent", "flood of most urgent"};
    for (std::size_t p = 0; p < phase_count; ++p)
    {
        double packing = 0;
        for (std::size_t i = 0; i < loads_.size(); ++i)
        {
            const row_figures& row = figures_[i];
            const double share =
                row.core_seconds[p] / (phase_seconds_[p] * workers * size_.cores);
            packing += share;
            fmt::print("{:<12} {:<22} {:<10} {:>8} {:>8} {:>8.3f} {:>8.3f} {:>7.1f}%\n",
                       name, names[p], loads_[i].row.id.value(), row.waits[p].size(),
                       row.refused[p], percentile(row.waits[p], 0.5),
                       percentile(row.waits[p], 0.99), 100 * share);
        }
        fmt::print("{:<12} {:<22} cores in use {:.1f}%\n", name, names[p], 100 * packing);
    }
    fmt::print("{:<12} preempted:", name);
    for (std::size_t i = 0; i < loads_.size(); ++i)
        fmt::print(" {} {}", loads_[i].row.id.value(), figures_[i].preempted);
    fmt::print("\n");
}

struct named_subject
{
    const char* name;
    std::unique_ptr<replay_subject> subject;
};

std::vector<named_subject> all_subjects()
{
    std::vector<named_subject> result;
    result.push_back({"policy", std::make_unique<policy_subject>()});
    result.push_back({"first-come", std::make_unique<baseline_subject>(
                                        baseline_order::arrival, baseline_fit::first)});
    result.push_back({"first-fit", std::make_unique<baseline_subject>(
                                       baseline_order::urgency, baseline_fit::first)});
    result.push_back({"best-fit", std::make_unique<baseline_subject>(
                                      baseline_order::urgency, baseline_fit::best)});
    result.push_back({"random", std::make_unique<baseline_subject>(
                                    baseline_order::urgency, baseline_fit::random)});
    return result;
}

void replay_all()
{
    for (const deployment& size : deployments)
    {
        fmt::print("\n{}: {} workers; waiting times in seconds of simulated time\n"
                   "{:<12} {:<22} {:<10} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
                   size.name, workers, "scheduler", "phase", "row", "started", "refused",
                   "p50", "p99", "share");
        for (const named_subject& entry : all_subjects())
        {
            replay run(*entry.subject, size);
            run.run(150);
            run.print(entry.name);
        }
    }
}

} // namespace
} // namespace hawthornbeam::policy

int main()
{
    hawthornbeam::policy::replay_all();
    return 0;
}
