/// \file
/// A scheduler with a table, workers and an injected clock, whose every decision is
/// checked against the invariants of the package.
#ifndef HAWTHORNBEAM_UNITTESTS_POLICY_FIXTURE_HPP
#define HAWTHORNBEAM_UNITTESTS_POLICY_FIXTURE_HPP

#include "hawthornbeam/policy/scheduler.hpp"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace hawthornbeam::policy
{

inline resources cores_and_gib(double cores, double gib, std::int64_t accelerators = 0)
{
    return {millicores(static_cast<std::int64_t>(cores * 1000)),
            byte_count(static_cast<std::int64_t>(gib * (1 << 30))),
            accelerator_count(accelerators)};
}

inline table_row make_row(const std::string& id, workload kind, std::uint8_t priority,
                          double guaranteed = 0, double weight = 1)
{
    table_row row;
    row.id = row_id(id);
    row.kind = kind;
    row.priority = urgency(priority);
    row.guaranteed = guaranteed;
    row.weight = weight;
    return row;
}

/// Drives a scheduler and keeps its own account of what runs where.
class cluster_fixture
{
public:
    struct run
    {
        worker_id worker;
        resources reserved;
        waiting_task task;
    };

    explicit cluster_fixture(std::vector<table_row> rows, std::uint64_t seed = 7)
        : subject(options_with(seed))
    {
        set_rows(std::move(rows));
    }

    static scheduler::options options_with(std::uint64_t seed)
    {
        scheduler::options options;
        options.seed = seed;
        return options;
    }

    void set_rows(std::vector<table_row> rows)
    {
        table.version = table.version.next();
        table.rows = std::move(rows);
        subject.set_table(table);
    }

    void add_workers(int count, const resources& capacity, int per_rack = 8,
                     int domains = 1)
    {
        for (int i = 0; i < count; ++i)
        {
            const int number = static_cast<int>(capacities.size());
            const worker_id id("w" + std::to_string(number));
            capacities[id] = capacity;
            domain_of[id] = number % domains;
            subject.add_worker(
                {id, failure_domain_id("d" + std::to_string(number % domains)),
                 rack_id("r" + std::to_string(number / per_rack)), capacity});
        }
    }

    waiting_task make(const std::string& row, const resources& size,
                      std::uint32_t gang_size = 0)
    {
        waiting_task task;
        task.id = task_id{job_id(1, next_job), 0, 0};
        if (gang_size == 0)
            ++next_job;
        task.row = row_id(row);
        task.size = size;
        task.enqueued = now;
        task.idempotent = true;
        task.gang_size = gang_size;
        return task;
    }

    std::optional<refusal> add(const waiting_task& task)
    {
        const std::optional<refusal> refused = subject.enqueue(task, now);
        if (!refused)
            waiting[task.id] = task;
        return refused;
    }

    void add_many(const std::string& row, const resources& size, int count)
    {
        for (int i = 0; i < count; ++i)
            add(make(row, size));
    }

    job_id add_gang(const std::string& row, const resources& size, std::uint32_t count,
                    duration run_time = {})
    {
        waiting_task task = make(row, size, count);
        task.run_time = run_time;
        for (std::uint32_t i = 0; i < count; ++i)
        {
            task.id.index = i;
            add(task);
        }
        ++next_job;
        return task.id.job;
    }

    /// Runs rounds until one decides nothing more, and checks each.
    decisions decide(std::size_t most = 64)
    {
        decisions all;
        for (;;)
        {
            const decisions round = subject.decide(now, most);
            account(round);
            all.placements.insert(all.placements.end(), round.placements.begin(),
                                  round.placements.end());
            all.preemptions.insert(all.preemptions.end(), round.preemptions.begin(),
                                   round.preemptions.end());
            all.refusals.insert(all.refusals.end(), round.refusals.begin(),
                                round.refusals.end());
            if (round.placements.empty())
                return all;
        }
    }

    void account(const decisions& round)
    {
        for (const refusal& entry : round.refusals)
        {
            EXPECT_EQ(waiting.erase(entry.id), 1U) << "refused twice or while running";
            ++ended;
        }
        for (const placement& entry : round.placements)
        {
            ASSERT_EQ(waiting.count(entry.task), 1U) << "placed twice or not waiting";
            EXPECT_TRUE(waiting[entry.task].size.fits_in(entry.reserved));
            running[entry.task] = {entry.worker, entry.reserved, waiting[entry.task]};
            waiting.erase(entry.task);
            used[entry.worker] += entry.reserved;
            EXPECT_TRUE(used[entry.worker].fits_in(capacities[entry.worker]))
                << "worker " << entry.worker.value() << " is over its capacity";
        }
        for (const preemption& entry : round.preemptions)
        {
            ASSERT_EQ(running.count(entry.task), 1U) << "preempts a task that is gone";
            EXPECT_TRUE(entry.action != preemption_action::stop ||
                        running[entry.task].task.idempotent)
                << "a non-idempotent task must not be stopped";
        }
        EXPECT_EQ(subject.waiting(), waiting.size());
        EXPECT_EQ(subject.running(), running.size());
    }

    /// By value: callers pass the key of the entry that is erased here.
    void end(task_id task, task_outcome how = task_outcome::success)
    {
        const run entry = running.at(task);
        running.erase(task);
        used[entry.worker] -= entry.reserved;
        subject.task_ended(task, how, now);
        ++ended;
    }

    std::size_t running_in(const std::string& row) const
    {
        std::size_t count = 0;
        for (const auto& [id, entry] : running)
            count += entry.task.row == row_id(row) ? 1 : 0;
        return count;
    }

    std::size_t running_of(const job_id& job) const
    {
        std::size_t count = 0;
        for (const auto& [id, entry] : running)
            count += id.job == job ? 1 : 0;
        return count;
    }

    /// Stops what is told to stop or to checkpoint, as a worker would.
    void obey(const decisions& round)
    {
        for (const preemption& entry : round.preemptions)
        {
            if (entry.action != preemption_action::throttle && running.count(entry.task))
                end(entry.task, task_outcome::preempted);
        }
    }

    scheduler subject;
    operators_table table;
    boot_time now{std::chrono::seconds(1000)};
    std::map<worker_id, resources> capacities;
    std::map<worker_id, int> domain_of;
    std::map<worker_id, resources> used;
    std::map<task_id, waiting_task> waiting;
    std::map<task_id, run> running;
    std::uint64_t next_job = 1;
    std::size_t ended = 0;
};

} // namespace hawthornbeam::policy

#endif
