/// \file
/// Test fixture: a scheduler with a table, workers and an injected clock. Every decision
/// of the scheduler is checked against the invariants of the policy package.
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

/// Drives a scheduler and records independently which task runs on which worker.
class cluster_fixture
{
public:
    struct running_task
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

    waiting_task make_task(const std::string& row, const resources& size,
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

    std::optional<refusal> enqueue(const waiting_task& task)
    {
        const std::optional<refusal> refused = subject.enqueue(task, now);
        if (!refused)
            waiting[task.id] = task;
        return refused;
    }

    void enqueue_many(const std::string& row, const resources& size, int count)
    {
        for (int i = 0; i < count; ++i)
            enqueue(make_task(row, size));
    }

    job_id enqueue_gang(const std::string& row, const resources& size,
                        std::uint32_t count, duration run_time = {})
    {
        waiting_task task = make_task(row, size, count);
        task.run_time = run_time;
        for (std::uint32_t i = 0; i < count; ++i)
        {
            task.id.index = i;
            enqueue(task);
        }
        ++next_job;
        return task.id.job;
    }

    /// Runs and checks rounds until one places no task; returns all their decisions.
    decisions decide(std::size_t max_placements = 64)
    {
        decisions all;
        for (;;)
        {
            const decisions round = subject.decide(now, max_placements);
            check_and_record(round);
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

    /// Checks the decisions of one round and applies them to the records.
    void check_and_record(const decisions& round)
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
            ASSERT_EQ(running.count(entry.task), 1U)
                << "preempts a task that is not running";
            EXPECT_TRUE(entry.action != preemption_action::stop ||
                        running[entry.task].task.idempotent)
                << "a non-idempotent task must not be stopped";
        }
        EXPECT_EQ(subject.waiting(), waiting.size());
        EXPECT_EQ(subject.running(), running.size());
    }

    /// Takes the id by value, because callers pass the key of the entry erased here.
    void end_task(task_id task, task_outcome result = task_outcome::success)
    {
        const running_task entry = running.at(task);
        running.erase(task);
        used[entry.worker] -= entry.reserved;
        subject.task_ended(task, result, now);
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

    /// Ends the tasks that are told to stop or to checkpoint, as a worker would.
    void end_preempted_tasks(const decisions& round)
    {
        for (const preemption& entry : round.preemptions)
        {
            if (entry.action != preemption_action::throttle && running.count(entry.task))
                end_task(entry.task, task_outcome::preempted);
        }
    }

    scheduler subject;
    operators_table table;
    boot_time now{std::chrono::seconds(1000)};
    std::map<worker_id, resources> capacities;
    std::map<worker_id, int> domain_of;
    std::map<worker_id, resources> used;
    std::map<task_id, waiting_task> waiting;
    std::map<task_id, running_task> running;
    std::uint64_t next_job = 1;
    std::size_t ended = 0;
};

} // namespace hawthornbeam::policy

#endif
