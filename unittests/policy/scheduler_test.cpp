/// \file
/// Tests of fair shares, limits, refusals, placement and learned sizes through the public
/// interface of the scheduler.
#include "fixture.hpp"

#include <cmath>
#include <limits>

namespace hawthornbeam::policy
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const resources one_core = cores_and_gib(1, 1);

struct split_case
{
    int demand_of_a_one;
    double expected_a_one;
    double expected_a_two;
    double expected_b_one;
};

class capacity_split_test : public testing::TestWithParam<split_case>
{
};

// Guards against shares that ignore the weights of partners or of rows within a partner.
// Seeded fault that it catches: row_order::after() compares rows of all partners by
// their own key only.
TEST_P(capacity_split_test, capacity_is_split_by_partner_then_row)
{
    cluster_fixture cluster({make_row("a/one", workload::batch, 5, 0, 1),
                             make_row("a/two", workload::batch, 5, 0, 2),
                             make_row("b/one", workload::batch, 5, 0, 1)});
    cluster.add_workers(6, cores_and_gib(20, 100));
    cluster.enqueue_many("a/one", one_core, GetParam().demand_of_a_one);
    cluster.enqueue_many("a/two", one_core, 200);
    cluster.enqueue_many("b/one", one_core, 200);
    cluster.decide();
    EXPECT_NEAR(static_cast<double>(cluster.running_in("a/one")),
                GetParam().expected_a_one, 1);
    EXPECT_NEAR(static_cast<double>(cluster.running_in("a/two")),
                GetParam().expected_a_two, 1);
    EXPECT_NEAR(static_cast<double>(cluster.running_in("b/one")),
                GetParam().expected_b_one, 1);
}

INSTANTIATE_TEST_SUITE_P(demands, capacity_split_test,
                         testing::Values(split_case{200, 30, 60, 30},
                                         split_case{6, 6, 84, 30}));

// Guards against idle capacity that is not lent to rows with waiting tasks, and against a
// split that ignores what a row uses at other instances. Seeded fault that it catches:
// set_remote_usage() drops the usage.
TEST(fairness_test, remote_usage_counts_and_idle_share_is_lent)
{
    cluster_fixture cluster(
        {make_row("a/x", workload::batch, 5), make_row("b/x", workload::batch, 5)});
    cluster.add_workers(2, cores_and_gib(10, 100));
    cluster.subject.set_remote_usage({{row_id("a/x"), cores_and_gib(10, 1), 10, 0}},
                                     cores_and_gib(40, 400), cores_and_gib(10, 100));
    cluster.enqueue_many("a/x", one_core, 50);
    cluster.enqueue_many("b/x", one_core, 12);
    cluster.decide();
    EXPECT_EQ(cluster.running_in("b/x"), 12U);
    EXPECT_EQ(cluster.running_in("a/x"), 8U);
}

// Guards against a row below its guarantee that waits behind more urgent rows although
// capacity is free.
// Seeded fault that it catches: row_order::compute() never sets under_guarantee.
TEST(fairness_test, row_below_its_guarantee_is_served_before_urgent_rows)
{
    cluster_fixture cluster({make_row("a/urgent", workload::request, 0),
                             make_row("b/batch", workload::batch, 9, 0.25)});
    cluster.add_workers(2, cores_and_gib(10, 100));
    cluster.enqueue_many("a/urgent", one_core, 30);
    cluster.enqueue_many("b/batch", one_core, 30);
    cluster.decide();
    EXPECT_EQ(cluster.running_in("a/urgent"), 15U);
    EXPECT_EQ(cluster.running_in("b/batch"), 5U);
}

// Guards against several instances that each start tasks for the same headroom of a
// limit, or for the same unmet part of a guarantee, between two usage summaries. Seeded
// faults that it catches: own_headroom_left() returns true; state::usage() adds the
// remote usage unchanged.
TEST(fairness_test, instance_uses_only_its_part_of_limit_and_guarantee)
{
    table_row limited = make_row("a/limited", workload::batch, 0);
    limited.limits.running.processors = millicores(12000);
    cluster_fixture cluster({limited, make_row("a/urgent", workload::batch, 1),
                             make_row("b/batch", workload::batch, 9, 0.4)});
    cluster.add_workers(1, cores_and_gib(10, 100));
    cluster.subject.set_remote_usage({{row_id("a/limited"), cores_and_gib(4, 1), 4, 0},
                                      {row_id("b/batch"), cores_and_gib(8, 1), 8, 0}},
                                     cores_and_gib(40, 400), cores_and_gib(10, 100));
    for (const char* row : {"a/limited", "a/urgent", "b/batch"})
        cluster.enqueue_many(row, one_core, 20);
    cluster.decide();
    EXPECT_EQ(cluster.running_in("a/limited"), 2U);
    EXPECT_EQ(cluster.running_in("b/batch"), 2U);
    EXPECT_EQ(cluster.running_in("a/urgent"), 6U);
}

struct limit_case
{
    const char* name;
    row_limits limits;
    std::size_t expected;
};

class row_limit_test : public testing::TestWithParam<limit_case>
{
};

// Guards against a row that starts more tasks than one of its limits allows.
// Seeded fault that it catches: state::limits_admit() returns true.
TEST_P(row_limit_test, row_limit_bounds_the_started_tasks)
{
    table_row row = make_row("a/x", workload::batch, 5);
    row.limits = GetParam().limits;
    cluster_fixture cluster({row});
    cluster.add_workers(4, cores_and_gib(10, 100));
    cluster.enqueue_many("a/x", one_core, 30);
    std::size_t started = 0;
    for (int i = 0; i < 10; ++i)
    {
        started += cluster.decide().placements.size();
        cluster.now += milliseconds(99);
    }
    EXPECT_EQ(started, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    limits, row_limit_test,
    testing::Values(limit_case{"cores", {cores_and_gib(7.5, 0), 0, 1000, 0}, 7},
                    limit_case{"memory", {cores_and_gib(0, 5), 0, 1000, 0}, 5},
                    limit_case{"tasks", {resources(), 3, 1000, 0}, 3},
                    limit_case{"rate", {resources(), 0, 1000, 4}, 4},
                    limit_case{"queue", {resources(), 0, 9, 0}, 9}),
    [](const testing::TestParamInfo<limit_case>& entry) { return entry.param.name; });

struct task_size_case
{
    const char* name;
    resources size;
    std::uint32_t gang_size;
    bool workers_known;
    bool refused;
};

class task_size_test : public testing::TestWithParam<task_size_case>
{
};

// Guards against tasks that wait forever because no worker is large enough, and against a
// refusal before any worker is known.
// Seeded fault that it catches: impossible_reason() returns "".
TEST_P(task_size_test, task_that_can_never_fit_is_refused_on_enqueue)
{
    cluster_fixture cluster({make_row("a/x", workload::gang, 5)});
    if (GetParam().workers_known)
    {
        cluster.add_workers(2, cores_and_gib(4, 8));
        cluster.subject.set_remote_usage({}, cores_and_gib(16, 32), cores_and_gib(8, 8));
    }
    const std::optional<refusal> refused =
        cluster.enqueue(cluster.make_task("a/x", GetParam().size, GetParam().gang_size));
    ASSERT_EQ(refused.has_value(), GetParam().refused);
    if (!refused)
        return;
    EXPECT_FALSE(refused->reason.empty());
    EXPECT_EQ(refused->retry_after, duration(0));
}

INSTANTIATE_TEST_SUITE_P(
    sizes, task_size_test,
    testing::Values(task_size_case{"fits", cores_and_gib(4, 8), 0, true, false},
                    task_size_case{"fits_elsewhere", cores_and_gib(8, 8), 0, true, false},
                    task_size_case{"too_large", cores_and_gib(8.1, 8), 0, true, true},
                    task_size_case{"accelerator", cores_and_gib(1, 1, 1), 0, true, true},
                    task_size_case{"gang_fits", cores_and_gib(4, 8), 4, true, false},
                    task_size_case{"gang_too_large", cores_and_gib(4, 8), 5, true, true},
                    task_size_case{"negative", cores_and_gib(-1, 1), 0, true, true},
                    task_size_case{"nothing_known", cores_and_gib(99, 1), 0, false,
                                   false}),
    [](const testing::TestParamInfo<task_size_case>& entry) { return entry.param.name; });

// Guards against requests that are queued although they cannot start by their deadline,
// and against refusals without a retry delay. Seeded fault that it catches:
// drain_estimator::wait() returns zero.
TEST(request_test, request_with_unreachable_deadline_is_refused_with_retry_delay)
{
    cluster_fixture cluster({make_row("a/request", workload::request, 0)});
    cluster.add_workers(1, cores_and_gib(2, 8));
    std::optional<refusal> refused;
    // Two tasks end every 100 ms, so the queue drains by 20 tasks a second, and 10 tasks
    // start within 0.5 s.
    for (int step = 0; step < 40; ++step)
    {
        for (int i = 0; i < 6; ++i)
        {
            waiting_task task = cluster.make_task("a/request", one_core);
            task.start_by = cluster.now + milliseconds(500);
            const std::optional<refusal> result = cluster.enqueue(task);
            if (result)
                refused = result;
        }
        const decisions round = cluster.decide();
        EXPECT_LE(cluster.waiting.size(), 30U);
        if (step > 20)
        {
            EXPECT_LE(cluster.waiting.size(), 13U);
            EXPECT_TRUE(round.refusals.empty())
                << "a request that cannot meet its deadline was accepted";
        }
        cluster.now += milliseconds(100);
        while (!cluster.running.empty())
            cluster.end_task(cluster.running.begin()->first);
    }
    ASSERT_TRUE(refused.has_value());
    EXPECT_EQ(refused->code, error_code::deadline_exceeded);
    EXPECT_GT(refused->retry_after, duration(0));
}

// Guards against a request that stays in the queue after its deadline.
// Seeded fault that it catches: set_deadline_timer() inserts nothing.
TEST(request_test, queued_request_is_refused_after_its_deadline)
{
    cluster_fixture cluster({make_row("a/request", workload::request, 0)});
    cluster.add_workers(1, one_core);
    cluster.enqueue_many("a/request", one_core, 1);
    cluster.decide();
    waiting_task task = cluster.make_task("a/request", one_core);
    task.start_by = cluster.now + milliseconds(300);
    cluster.enqueue(task);
    cluster.now += milliseconds(300);
    EXPECT_TRUE(cluster.decide().refusals.empty());
    cluster.now += milliseconds(1);
    EXPECT_EQ(cluster.decide().refusals.size(), 1U);
}

// Guards against waiting tasks of a deleted row that are never refused.
// Seeded fault that it catches: rows_removed stays false in set_table().
TEST(table_test, waiting_tasks_of_a_removed_row_are_refused)
{
    cluster_fixture cluster(
        {make_row("a/x", workload::batch, 5), make_row("a/gang", workload::gang, 5)});
    cluster.add_workers(1, one_core);
    cluster.enqueue_many("a/x", one_core, 3);
    cluster.enqueue(cluster.make_task("a/gang", cores_and_gib(0.1, 0.1), 2));
    cluster.decide();
    cluster.set_rows({make_row("a/y", workload::batch, 5)});
    EXPECT_EQ(cluster.decide().refusals.size(), 3U);
    EXPECT_EQ(cluster.running.size(), 1U);
}

// Guards against spread tasks that are placed in one failure domain or rack.
// Seeded fault that it catches: placer::pick() ignores task.spread.
TEST(placement_test, spread_tasks_are_distributed_evenly_over_failure_domains)
{
    cluster_fixture cluster({make_row("a/service", workload::service, 3)});
    cluster.add_workers(18, cores_and_gib(16, 64), 3, 3);
    waiting_task task = cluster.make_task("a/service", one_core);
    task.spread_domains = true;
    for (std::uint32_t i = 0; i < 9; ++i)
    {
        task.id.index = i;
        cluster.enqueue(task);
    }
    cluster.decide();
    std::map<int, int> domains;
    for (const auto& [id, entry] : cluster.running)
        ++domains[cluster.domain_of[entry.worker]];
    EXPECT_EQ(domains, (std::map<int, int>{{0, 3}, {1, 3}, {2, 3}}));
}

// Guards against small tasks that fragment the free capacity of all workers, or that use
// the workers with accelerators.
// Seeded fault that it catches: placement_index::sample() begins with the buckets of most
// free capacity.
TEST(placement_test, small_tasks_leave_large_blocks_and_accelerators_free)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(36, cores_and_gib(16, 64));
    cluster.add_workers(4, cores_and_gib(16, 64, 4));
    cluster.enqueue_many("a/x", cores_and_gib(1, 4), 160);
    cluster.decide();
    cluster.enqueue_many("a/x", cores_and_gib(16, 64), 26);
    cluster.enqueue_many("a/x", cores_and_gib(16, 64, 4), 4);
    cluster.decide();
    EXPECT_EQ(cluster.running.size(), 190U);
}

struct report_case
{
    double cores;
    double bytes;
};

class implausible_report_test : public testing::TestWithParam<report_case>
{
};

// Guards against usage reports that make the tasks of a row too large to place, or count
// them as using nothing.
// Seeded fault that it catches: the range check in report_usage() is left out.
TEST_P(implausible_report_test, implausible_usage_report_is_rejected_with_a_finding)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(1, cores_and_gib(100, 200));
    cluster.enqueue_many("a/x", one_core, 30);
    cluster.decide();
    for (const auto& [id, entry] : cluster.running)
        EXPECT_TRUE(cluster.subject.report_usage(id, GetParam().cores, GetParam().bytes)
                        .has_value());
    cluster.enqueue_many("a/x", one_core, 1);
    EXPECT_EQ(cluster.decide().placements.at(0).reserved, one_core);
}

INSTANTIATE_TEST_SUITE_P(
    values, implausible_report_test,
    testing::Values(report_case{std::nan(""), 1}, report_case{1, std::nan("")},
                    report_case{std::numeric_limits<double>::infinity(), 1},
                    report_case{1, -std::numeric_limits<double>::infinity()},
                    report_case{-0.1, 1}, report_case{1, -1}, report_case{1000, 1},
                    report_case{1, 1e18}));

// Guards against tasks that are placed by a declared size far below their usage, and
// against learned sizes that exceed every worker.
// Seeded faults that it catches: reserved_size() returns the declared size; it does not
// call shapes.cap().
TEST(learned_size_test, reserved_size_follows_usage_up_to_worker_capacity)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(40, cores_and_gib(10, 100));
    cluster.enqueue_many("a/x", one_core, 40);
    cluster.decide();
    for (const auto& [id, entry] : cluster.running)
        EXPECT_FALSE(cluster.subject.report_usage(id, 4, 1 << 30).has_value());
    while (!cluster.running.empty())
        cluster.end_task(cluster.running.begin()->first);
    cluster.enqueue_many("a/x", one_core, 1);
    cluster.enqueue_many("a/x", cores_and_gib(5, 5), 1);
    const decisions round = cluster.decide();
    ASSERT_EQ(round.placements.size(), 2U);
    EXPECT_EQ(round.placements[0].reserved.processors, millicores(4000));
    EXPECT_EQ(round.placements[1].reserved.processors, millicores(10000));
}

// Guards against a failed start after which the task is lost or retried without limit.
// Seeded fault that it catches: placement_failed() does not count the failures.
TEST(retry_test, repeated_failed_starts_back_off_and_end_in_a_refusal)
{
    cluster_fixture cluster({make_row("a/x", workload::batch, 5)});
    cluster.add_workers(1, one_core);
    cluster.enqueue_many("a/x", one_core, 1);
    int starts = 0;
    std::size_t refusals = 0;
    for (int i = 0; i < 200; ++i)
    {
        const decisions round = cluster.decide();
        refusals += round.refusals.size();
        for (const placement& entry : round.placements)
        {
            ++starts;
            cluster.waiting[entry.task] = cluster.running[entry.task].task;
            cluster.running.erase(entry.task);
            cluster.used.clear();
            cluster.subject.placement_failed(entry.task, cluster.now);
        }
        cluster.now += milliseconds(50);
    }
    EXPECT_EQ(starts, 8);
    EXPECT_EQ(refusals, 1U);
}

// Guards against an explanation that lacks the reason or the figures.
// Seeded fault that it catches: explain() returns the same sentence for every task.
TEST(explain_test, explanation_names_the_reason_for_waiting)
{
    table_row limited = make_row("a/x", workload::batch, 5);
    limited.limits.tasks_running = 1;
    cluster_fixture cluster({limited, make_row("a/gang", workload::gang, 5),
                             make_row("b/x", workload::batch, 5)});
    const waiting_task first = cluster.make_task("a/x", one_core);
    cluster.enqueue(first);
    EXPECT_NE(cluster.subject.explain(first.id, cluster.now).find("no worker is known"),
              std::string::npos);
    cluster.add_workers(1, cores_and_gib(2, 8));
    cluster.decide();
    EXPECT_EQ(cluster.subject.explain(first.id, cluster.now), "");
    const waiting_task limited_task = cluster.make_task("a/x", one_core);
    const waiting_task member = cluster.make_task("a/gang", one_core, 2);
    ++cluster.next_job;
    const waiting_task large = cluster.make_task("b/x", cores_and_gib(2, 8));
    for (const waiting_task& task : {limited_task, member, large})
        EXPECT_FALSE(cluster.enqueue(task).has_value());
    cluster.decide();
    const auto expect_reason = [&](const waiting_task& task, const char* text)
    {
        const std::string reason = cluster.subject.explain(task.id, cluster.now);
        EXPECT_NE(reason.find(text), std::string::npos) << reason;
    };
    expect_reason(limited_task, "is at its limit");
    expect_reason(member, "1 of the 2 tasks");
    expect_reason(large, "no worker has 2.000 cores");
}

} // namespace
} // namespace hawthornbeam::policy
