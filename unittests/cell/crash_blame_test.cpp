/// \file
/// Tests which runs are blamed for a crash, and when a task is given up.
#include "lib/cell/crash_blame.hpp"

#include "fleet.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct blame_case
{
    const char* name;
    std::vector<crashed_run> runs;
    std::size_t other_crashes;
    std::vector<run_end> expected;
};

class assign_blame_test : public testing::TestWithParam<blame_case>
{
};

// Guards against blaming work that only ran beside the cause.
TEST_P(assign_blame_test, blames_the_likely_cause)
{
    EXPECT_EQ(assign_blame(GetParam().runs, GetParam().other_crashes),
              GetParam().expected);
}

constexpr run_end cause = run_end::crashed;
constexpr run_end suspect = run_end::crash_suspect;
constexpr run_end bystander = run_end::crash_bystander;

INSTANTIATE_TEST_SUITE_P(
    crashes, assign_blame_test,
    testing::Values(blame_case{"young_run_alone", {{milliseconds(20)}}, 0, {cause}},
                    blame_case{"young_run_beside_old_ones",
                               {{seconds(3)}, {milliseconds(20)}, {seconds(5)}},
                               0,
                               {bystander, cause, bystander}},
                    blame_case{"two_young_runs",
                               {{milliseconds(20)}, {milliseconds(30)}},
                               0,
                               {suspect, suspect}},
                    blame_case{"suspect_beside_an_equally_young_run",
                               {{milliseconds(20)}, {milliseconds(20), 4}},
                               0,
                               {suspect, cause}},
                    blame_case{"old_run_alone", {{seconds(10)}}, 0, {suspect}},
                    blame_case{
                        "old_run_in_the_loss_of_a_rack", {{seconds(3)}}, 7, {bystander}},
                    blame_case{"no_run", {}, 0, {}}),
    [](const testing::TestParamInfo<blame_case>& each) { return each.param.name; });

/// Crashes of the workers of one task, and the number of the first one after which the
/// task is given up; 0: never.
struct record_case
{
    const char* name;
    std::vector<std::pair<run_end, std::optional<duration>>> crashes;
    std::size_t given_up_after;
};

class crash_record_test : public testing::TestWithParam<record_case>
{
};

// Guards against giving up innocent tasks, and against starting a guilty one for ever.
TEST_P(crash_record_test, gives_up_only_with_enough_evidence)
{
    crash_record record;
    std::size_t given_up_after = 0;
    for (std::size_t each = 0; each < GetParam().crashes.size(); ++each)
    {
        record.add(GetParam().crashes[each].first, GetParam().crashes[each].second);
        if (given_up_after == 0 && record.is_conclusive())
            given_up_after = each + 1;
    }
    EXPECT_EQ(given_up_after, GetParam().given_up_after);
}

constexpr milliseconds young(20);

INSTANTIATE_TEST_SUITE_P(
    tasks, crash_record_test,
    testing::Values(
        record_case{"one_certain_crash", {{cause, young}}, 0},
        record_case{"in_company_and_then_alone", {{suspect, young}, {cause, young}}, 2},
        record_case{"always_in_company",
                    {{suspect, young}, {suspect, young}, {suspect, young}},
                    3},
        record_case{"late_in_its_run",
                    {{bystander, milliseconds(900)},
                     {suspect, milliseconds(900)},
                     {suspect, milliseconds(900)},
                     {suspect, milliseconds(900)}},
                    4},
        record_case{"outlived_the_age_of_the_first_crash",
                    {{suspect, young}, {cause, milliseconds(600)}},
                    0},
        record_case{"counted_by_former_owners",
                    {{suspect, std::nullopt}, {cause, std::nullopt}, {cause, young}},
                    3},
        record_case{"always_a_bystander",
                    {{bystander, seconds(1)},
                     {bystander, seconds(1)},
                     {bystander, seconds(1)},
                     {bystander, seconds(1)},
                     {bystander, seconds(1)}},
                    0}),
    [](const testing::TestParamInfo<record_case>& each) { return each.param.name; });

// Guards against a suspect task that takes the work of others down with it again.
TEST(suspect_task_test, worker_of_a_suspect_takes_no_other_start_until_it_has_lasted)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    const std::string first = workers.decide().starts.at(0).worker.value();
    workers.end_process(first);
    const std::string second = workers.decide().starts.at(0).worker.value();
    EXPECT_NE(second, first);
    workers.submit(fleet::job("b", "q", 1, 1, seconds(10)));
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.advance(milliseconds(300));
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

constexpr std::uint32_t lasting_tasks = 7;

/// A service with a task on each worker, and ordinary jobs beside it.
class lasting_tasks_test : public testing::Test
{
protected:
    lasting_tasks_test()
    {
        cell.add_queue("q", 0);
        job_spec service = fleet::job("service", "q", lasting_tasks, 1, seconds(1));
        service.steps[0].persistent = true;
        service.steps[0].per_worker = 1;
        cell.submit(service);
        run(seconds(1));
    }
    void run(duration time)
    {
        for (duration passed{}; passed < time; passed += milliseconds(100))
        {
            cell.advance(milliseconds(100));
            cell.poll_all();
            cell.decide();
        }
    }
    /// Crashes each worker once; it is back at once.
    void crash_all()
    {
        for (std::uint32_t number = 0; number < lasting_tasks; ++number)
        {
            cell.restart("w" + std::to_string(number));
            run(seconds(3));
        }
    }

    fleet cell{lasting_tasks};
};

// Guards against a service whose tasks keep all workers from other jobs after a few
// crashes of these workers.
TEST_F(lasting_tasks_test, do_not_keep_their_workers_from_other_jobs)
{
    run(seconds(28));
    for (int round = 0; round < 4; ++round)
    {
        crash_all();
        ASSERT_EQ(cell.runs("service").size(), lasting_tasks) << "round " << round;
        const std::string job = "job" + std::to_string(round);
        cell.submit(fleet::job(job, "q", 1, 1));
        run(milliseconds(200));
        EXPECT_EQ(cell.runs(job).size(), 1U) << "round " << round;
    }
}

// Guards against an observation that lasts as long as the task has run before, and
// against one without an end.
TEST(crash_record, observation_ends_however_old_and_however_often_crashed)
{
    crash_record record;
    for (int crash = 0; crash < 5; ++crash)
    {
        record.add(run_end::crash_bystander, std::chrono::hours(24 * 7));
        EXPECT_LE(record.observation_time(), seconds(10));
    }
    EXPECT_TRUE(record.add_survival(std::chrono::hours(1)));
    EXPECT_FALSE(record.is_suspect());
}

// Guards against crashes that count again with the next owner after the task has
// outlived them.
TEST(suspect_task_test, crashes_that_were_outlived_do_not_count_under_a_new_owner)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1), true);
    const task_ref task{job_key("a"), 0, 0};
    workers.cell.restore_end({{task, run_number(1)}, cause});
    workers.cell.restore_end({{task, run_number(2)}, run_end::crashes_outlived});
    workers.cell.restore_end({{task, run_number(2)}, cause});
    EXPECT_EQ(workers.decide().starts.size(), 1U);
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::running);
}

// Guards against forgetting crashes in memory only.
TEST(suspect_task_test, outliving_crashes_is_stored)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    workers.end_process(workers.decide().starts.at(0).worker.value());
    ASSERT_EQ(workers.decide().starts.size(), 1U);
    workers.store_changes();
    workers.advance(seconds(1));
    workers.poll_all();
    const pending_changes stored = workers.store_changes();
    ASSERT_EQ(stored.ends.size(), 1U);
    EXPECT_EQ(stored.ends[0].outcome, run_end::crashes_outlived);
}

// Guards against a new owner that does not know of earlier crashes.
TEST(suspect_task_test, crashes_counted_by_a_former_owner_count)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1), true);
    const task_ref task{job_key("a"), 0, 0};
    workers.cell.restore_end({{task, run_number(1)}, cause});
    workers.cell.restore_end({{task, run_number(2)}, cause});
    workers.cell.restore_end({{task, run_number(3)}, run_end::suspect_started});
    // The third run is on no worker, so its worker has crashed too.
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("a")), job_state::failed);
}

/// Whether connections to a worker were refused before its lease expired.
class expired_worker_test : public testing::TestWithParam<bool>
{
};

// Guards against a task that crashes worker after worker, none of which comes back,
// without end; and against blaming tasks for workers that were cut off in silence.
TEST_P(expired_worker_test, counts_against_its_tasks_if_it_refused_connections)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    workers.decide();
    workers.advance(milliseconds(20));
    if (GetParam())
        workers.end_process("w0", false);
    workers.advance(milliseconds(13100));
    workers.decide();
    EXPECT_EQ(workers.store_changes().ends.size(), GetParam() ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(refused, expired_worker_test, testing::Bool());

// Guards against a lost worker that keeps its entry and counts as a crash again and
// again, which would clear the tasks of other crashes.
TEST(suspect_task_test, lost_worker_counts_as_one_crash)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    const decisions first = workers.decide();
    ASSERT_EQ(first.starts.size(), 1U);
    const std::string lost = first.starts[0].worker.value();
    const std::string other = lost == "w0" ? "w1" : "w0";
    workers.end_process(lost, false);
    workers.advance(milliseconds(13100));
    workers.poll(other);
    workers.decide();
    workers.advance(milliseconds(1000));
    workers.poll(other);
    workers.submit(fleet::job("b", "q", 1, 4, seconds(10)));
    ASSERT_EQ(workers.decide().starts.size(), 1U);
    for (int decision = 0; decision < 15; ++decision)
    {
        workers.advance(milliseconds(2));
        workers.decide();
    }
    workers.store_changes();
    workers.end_process(other);
    std::vector<run_end> roles;
    for (const stored_end& each : workers.store_changes().ends)
        if (each.run.task.job == job_key("b"))
            roles.push_back(each.outcome);
    EXPECT_EQ(roles, std::vector<run_end>{run_end::crashed});
}

// Guards against a task that crashes each worker before it can answer the start.
TEST(suspect_task_test, start_without_an_answer_before_the_crash_counts)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    const decisions decided = workers.decide(delivery::lost);
    ASSERT_EQ(decided.starts.size(), 1U);
    const std::string ended = decided.starts[0].worker.value();
    workers.advance(milliseconds(20));
    workers.end_process(ended, false);
    workers.advance(milliseconds(3000));
    workers.end_process(ended);
    EXPECT_EQ(workers.store_changes().ends.size(), 1U);
}

// Guards against blaming a task whose start was sent to a worker that was down already.
TEST(suspect_task_test, start_after_the_crash_does_not_count)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    workers.decide(delivery::lost);
    refused_poll refused = workers.refuse_poll("w0", true);
    refused.failing_ms = 100;
    workers.cell.observe(refused, workers.clock.now());
    EXPECT_TRUE(workers.store_changes().ends.empty());
}

// Guards against counting the planned exit of a worker against its tasks.
TEST(suspect_task_test, exit_of_a_draining_worker_counts_against_no_task)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 1, seconds(10)));
    workers.decide();
    workers.info("w0").draining = true;
    workers.publish("w0");
    workers.end_process("w0");
    EXPECT_TRUE(workers.store_changes().ends.empty());
}

} // namespace

} // namespace hawthornbeam::cell
