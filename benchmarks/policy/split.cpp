/// \file
/// Measures how fast the shares of rows follow a change of the table and by how much they
/// overshoot, with one instance and with four that exchange their usage every 2 s.
#include "hawthornbeam/policy/scheduler.hpp"
#include "hawthornbeam/support/random_source.hpp"

#include <algorithm>
#include <cmath>
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
constexpr duration summary_period = seconds(2);
constexpr int workers = 52;
constexpr std::int64_t cores = 16;
constexpr double change_at_seconds = 20;
constexpr double end_at_seconds = 60;
constexpr double tolerance = 0.02;

struct split_case
{
    const char* name;
    int instances;
    double run_seconds;
    /// Weight, guarantee and limit (in cores) of row "b/x" after the change.
    double weight;
    double guaranteed;
    std::int64_t limit;
    double target; ///< Share of "b/x" after the change.
};

class split_run
{
public:
    explicit split_run(const split_case& values) : values_(values)
    {
        for (int i = 0; i < values.instances; ++i)
        {
            scheduler::options options;
            options.seed = static_cast<std::uint64_t>(i + 1);
            instances_.push_back(std::make_unique<scheduler>(options));
        }
        install(1, 0, 0);
        for (int i = 0; i < workers; ++i)
            instances_[static_cast<std::size_t>(i % values.instances)]->add_worker(
                {worker_id(fmt::format("w{}", i)),
                 failure_domain_id("d"),
                 rack_id(fmt::format("r{}", i / 8)),
                 {millicores(1000 * cores), byte_count(1LL << 36),
                  accelerator_count(0)}});
    }

    void run()
    {
        bool changed = false;
        for (; elapsed() < end_at_seconds; now_ += step)
        {
            if (!changed && elapsed() >= change_at_seconds)
            {
                install(values_.weight, values_.guaranteed, values_.limit);
                changed = true;
            }
            end_due();
            if ((now_ - start_) % summary_period == duration(0))
                exchange_usage();
            for (const std::unique_ptr<scheduler>& instance : instances_)
                fill_and_decide(*instance);
            if (changed)
                measure();
        }
        const std::string settled_after =
            settled_at_ < 0 ? "not"
                            : fmt::format("{:.2f} s", settled_at_ - change_at_seconds);
        fmt::print("{:<34} {:>9} {:>8.1f} {:>8.3f} {:>8} {:>10.2f}%\n", values_.name,
                   values_.instances, values_.run_seconds, values_.target, settled_after,
                   100 * overshoot_);
    }

private:
    struct task_end
    {
        boot_time at;
        task_id task;
        scheduler* instance;
        bool preempted;
        bool operator<(const task_end& other) const { return at > other.at; }
    };

    double elapsed() const
    {
        return std::chrono::duration<double>(now_ - start_).count();
    }

    void install(double weight, double guaranteed, std::int64_t limit)
    {
        table_row a;
        a.id = row_id("a/x");
        table_row b;
        b.id = row_id("b/x");
        b.weight = weight;
        b.guaranteed = guaranteed;
        b.limits.running.processors = millicores(1000 * limit);
        operators_table table;
        table.rows = {a, b};
        for (const std::unique_ptr<scheduler>& instance : instances_)
            instance->set_table(table);
    }

    void exchange_usage()
    {
        resources cluster;
        for (const std::unique_ptr<scheduler>& instance : instances_)
            cluster += instance->capacity();
        for (const std::unique_ptr<scheduler>& instance : instances_)
        {
            std::vector<row_usage> others;
            for (const std::unique_ptr<scheduler>& other : instances_)
            {
                if (other == instance)
                    continue;
                const std::vector<row_usage> usage = other->usage();
                others.insert(others.end(), usage.begin(), usage.end());
            }
            instance->set_remote_usage(
                others, cluster,
                {millicores(1000 * cores), byte_count(1LL << 36), accelerator_count(0)});
        }
    }

    void fill_and_decide(scheduler& instance)
    {
        for (const char* row : {"a/x", "b/x"})
        {
            for (int i = 0; i < 200; ++i)
            {
                waiting_task task;
                task.id = task_id{job_id(1, ++next_job_), 0, 0};
                task.row = row_id(row);
                task.size = {millicores(1000), byte_count(1LL << 30),
                             accelerator_count(0)};
                task.idempotent = true;
                if (instance.enqueue(task, now_))
                    break;
            }
        }
        const decisions round = instance.decide(now_, 4096);
        for (const placement& entry : round.placements)
        {
            const double run_seconds = values_.run_seconds * (0.5 + random_.unit());
            due_.push({now_ + milliseconds(int(1000 * run_seconds)), entry.task,
                       &instance, false});
        }
        for (const preemption& entry : round.preemptions)
        {
            if (entry.action != preemption_action::throttle)
                due_.push({now_ + milliseconds(50), entry.task, &instance, true});
        }
    }

    void end_due()
    {
        while (!due_.empty() && due_.top().at <= now_)
        {
            const task_end entry = due_.top();
            due_.pop();
            entry.instance->task_ended(
                entry.task,
                entry.preempted ? task_outcome::preempted : task_outcome::success, now_);
        }
    }

    void measure()
    {
        std::int64_t used = 0;
        for (const std::unique_ptr<scheduler>& instance : instances_)
        {
            for (const row_usage& row : instance->usage())
                used += row.row == row_id("b/x") ? row.running.processors.value() : 0;
        }
        const double share = static_cast<double>(used) / (1000.0 * cores * workers);
        const bool is_within_tolerance = std::abs(share - values_.target) <= tolerance;
        if (is_within_tolerance && settled_at_ < 0)
            settled_at_ = elapsed();
        if (settled_at_ < 0)
            return;
        // A share that shrinks overshoots downwards, one that grows overshoots upwards.
        const double excess =
            values_.target < 0.5 ? values_.target - share : share - values_.target;
        overshoot_ =
            std::max(overshoot_, values_.limit > 0 ? share - values_.target : excess);
    }

    split_case values_;
    std::vector<std::unique_ptr<scheduler>> instances_;
    random_source random_{23};
    boot_time start_{seconds(1000)};
    boot_time now_ = start_;
    std::priority_queue<task_end> due_;
    std::uint64_t next_job_ = 0;
    double settled_at_ = -1;
    double overshoot_ = 0;
};

constexpr split_case cases[] = {
    {"weight 1:1 to 1:4, short tasks", 1, 1.0, 4, 0, 0, 0.8},
    {"weight 1:1 to 1:4, long tasks", 1, 5.0, 4, 0, 0, 0.8},
    {"weight 1:1 to 1:4, short tasks", 4, 1.0, 4, 0, 0, 0.8},
    {"weight 1:1 to 4:1, short tasks", 4, 1.0, 0.25, 0, 0, 0.2},
    {"guarantee 0 to 0.8, hour-long tasks", 1, 3600.0, 1, 0.8, 0, 0.8},
    {"guarantee 0 to 0.8, hour-long tasks", 4, 3600.0, 1, 0.8, 0, 0.8},
    {"limit none to 20%, short tasks", 1, 1.0, 1, 0, cores* workers / 5, 0.2},
    {"limit none to 20%, short tasks", 4, 1.0, 1, 0, cores* workers / 5, 0.2},
};

} // namespace
} // namespace hawthornbeam::policy

int main()
{
    fmt::print("{:<34} {:>9} {:>8} {:>8} {:>8} {:>11}\n", "change", "instances", "run s",
               "target", "within", "overshoot");
    for (const hawthornbeam::policy::split_case& entry : hawthornbeam::policy::cases)
        hawthornbeam::policy::split_run(entry).run();
    return 0;
}
