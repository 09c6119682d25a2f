/// \file
/// Tests that the cell checker accepts valid histories and reports injected violations.
#include "test/standins/cell_checker.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::standins
{

namespace
{

using namespace cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

boot_time at(int ms)
{
    return boot_time(milliseconds(ms));
}

worker_record worker(const std::string& name)
{
    worker_record record;
    record.info.id = worker_id(name);
    record.info.service = service_name("pool");
    record.info.incarnation = worker_incarnation(1);
    record.info.labels = {"fast"};
    record.info.capacity =
        resources{millicores(4000), byte_count(1000), accelerator_count()};
    return record;
}

run_event event(int ms, const char* worker_name, run_event::kind type, std::uint32_t step,
                std::uint32_t index, std::uint32_t run, run_end outcome = run_end::done)
{
    run_event result;
    result.at = at(ms);
    result.worker = worker_id(worker_name);
    result.incarnation = worker_incarnation(1);
    result.type = type;
    result.run = {{job_key("a"), step, index}, run_number(run)};
    result.outcome = outcome;
    result.payload = "payload";
    return result;
}

constexpr run_event::kind started = run_event::kind::started;
constexpr run_event::kind ended = run_event::kind::ended;
constexpr run_event::kind acknowledged = run_event::kind::acknowledged;

/// A history without violations. Its job has two steps: two tasks, one of which fails
/// once, and then a gang of two.
cell_history valid_history()
{
    cell_history history;
    history.workers = {worker("w0"), worker("w1")};
    queue_policy queue;
    queue.name = queue_name("q");
    queue.service = service_name("pool");
    queue.attempts = 2;
    history.queues[queue.name] = queue;
    job_spec job;
    job.id = job_key("a");
    job.queue = queue.name;
    job.payload = "payload";
    step_spec step;
    step.count = 2;
    step.size = resources{millicores(2000), byte_count(10), accelerator_count()};
    step.label = "fast";
    job.steps = {step, step};
    job.steps[1].gang = true;
    job.steps[1].per_worker = 1;
    job.steps[1].after = {0};
    history.submitted[job.id] = job;
    history.answers = {{at(5), job.id, false, verdict::refused},
                       {at(10), job.id, false, verdict::done}};
    history.run_events = {event(100, "w0", started, 0, 0, 1),
                          event(100, "w0", started, 0, 1, 1),
                          event(500, "w0", ended, 0, 0, 1, run_end::failed),
                          event(520, "w0", acknowledged, 0, 0, 1),
                          event(600, "w1", started, 0, 0, 2),
                          event(900, "w0", ended, 0, 1, 1),
                          event(920, "w0", acknowledged, 0, 1, 1),
                          event(1200, "w1", ended, 0, 0, 2),
                          event(1220, "w1", acknowledged, 0, 0, 2),
                          event(1300, "w0", started, 1, 0, 1),
                          event(1300, "w1", started, 1, 1, 1),
                          event(2000, "w0", ended, 1, 0, 1),
                          event(2000, "w1", ended, 1, 1, 1),
                          event(2020, "w0", acknowledged, 1, 0, 1),
                          event(2020, "w1", acknowledged, 1, 1, 1)};
    history.reported_states = {{at(50), job.id, true, job_state::queued},
                               {at(700), job.id, true, job_state::running},
                               {at(2100), job.id, true, job_state::done}};
    history.ended_at = at(3000);
    return history;
}

struct rule_violation
{
    const char* name;
    const char* rule;
    void (*apply)(cell_history&);
};

void PrintTo(const rule_violation& value, std::ostream* out)
{
    *out << value.name;
}

void insert(cell_history& history, std::size_t before, const run_event& added)
{
    history.run_events.insert(
        history.run_events.begin() + static_cast<std::ptrdiff_t>(before), added);
}

/// Returns the events of one run, which is stopped at \p end_ms.
std::vector<run_event> stopped_run(int end_ms)
{
    return {event(100, "w0", started, 0, 0, 1),
            event(end_ms, "w0", ended, 0, 0, 1, run_end::stopped)};
}

/// Cancels the job at 100 ms, so that its runs have to end by 3,500 ms.
void confirm_cancel(cell_history& history)
{
    history.answers.push_back({at(100), job_key("a"), true, verdict::done});
    history.reported_states = {{at(30000), job_key("a"), true, job_state::cancelled}};
}

/// Lets task 0 of step 0 crash its worker \p times times before its first listed run.
void crash_first(cell_history& history, std::uint32_t times)
{
    history.crashing_tasks[{job_key("a"), 0, 0}] = milliseconds(1);
    for (std::uint32_t run = times; run >= 1; --run)
    {
        const int ms = static_cast<int>(run);
        insert(history, 0, event(ms, "w1", run_event::kind::lost, 0, 0, run));
        insert(history, 0, event(ms, "w1", started, 0, 0, run));
    }
}

class cell_checker_test : public testing::TestWithParam<rule_violation>
{
};

// Guards against a checker that misses a violation.
TEST_P(cell_checker_test, reports_the_injected_violation)
{
    cell_history history = valid_history();
    GetParam().apply(history);
    const std::vector<broken_rule> found = check_cell(history);
    ASSERT_FALSE(found.empty());
    EXPECT_EQ(found[0].rule, GetParam().rule) << found[0].text;
}

TEST(cell_checker_valid_history_test, accepts_tasks_that_run_as_submitted)
{
    for (const broken_rule& each : check_cell(valid_history()))
        ADD_FAILURE() << each.rule << ' ' << each.text;
}

// An end that no instance acknowledged may be lost with its worker, and the task then
// runs again.
TEST(cell_checker_valid_history_test, accepts_a_repeated_run_after_an_unacknowledged_end)
{
    cell_history history = valid_history();
    history.run_events.erase(history.run_events.begin() + 6);
    insert(history, 6, event(950, "w1", started, 0, 1, 2));
    insert(history, 7, event(1000, "w1", ended, 0, 1, 2));
    insert(history, 8, event(1010, "w1", acknowledged, 0, 1, 2));
    EXPECT_TRUE(check_cell(history).empty());
}

// The next incarnation of a worker may start a run of the same number when no instance
// received the answer to the first start. The end of the second run must not count as the
// end of the first.
TEST(cell_checker_valid_history_test, distinguishes_incarnations_of_a_worker)
{
    cell_history history = valid_history();
    worker_record next = worker("w0");
    next.info.incarnation = worker_incarnation(2);
    history.workers.push_back(next);
    history.run_events.erase(history.run_events.begin() + 6);
    insert(history, 6, event(950, "w0", started, 0, 1, 1));
    insert(history, 7, event(1000, "w0", ended, 0, 1, 1));
    insert(history, 8, event(1010, "w0", acknowledged, 0, 1, 1));
    for (int each = 6; each < 9; ++each)
        history.run_events[static_cast<std::size_t>(each)].incarnation =
            worker_incarnation(2);
    EXPECT_TRUE(check_cell(history).empty());
}

const rule_violation rule_violations[] = {
    {"two_runs_at_once", "TWICE",
     [](cell_history& history)
     { insert(history, 2, event(200, "w1", started, 0, 0, 2)); }},
    {"start_after_done", "TWICE",
     [](cell_history& history)
     { insert(history, 7, event(1000, "w1", started, 0, 1, 2)); }},
    {"start_beside_a_run_on_a_worker_cut_off_by_resets", "TWICE",
     [](cell_history& history)
     { insert(history, 5, event(650, "w0", started, 0, 0, 3)); }},
    {"start_after_done_whose_lease_expired_before_the_end", "TWICE",
     [](cell_history& history)
     {
         insert(history, 7, event(1000, "w1", started, 0, 1, 2));
         insert(history, 5, event(890, "w0", run_event::kind::lapsed, 0, 0, 0));
     }},
    {"gang_start_after_done", "TWICE",
     [](cell_history& history)
     { history.run_events.push_back(event(2500, "w1", started, 1, 1, 2)); }},
    // The end was reported from the memory of an owner, and lost with it and the worker.
    {"start_after_an_unacknowledged_end_was_reported", "TWICE",
     [](cell_history& history)
     {
         history.run_events.resize(history.run_events.size() - 2);
         history.run_events.push_back(event(4000, "w1", started, 1, 0, 2));
         history.run_events.push_back(event(4000, "w0", started, 1, 1, 2));
         history.ended_at = at(5000);
     }},
    {"capacity_exceeded", "LIMIT",
     [](cell_history& history)
     {
         history.workers[0].info.capacity =
             resources{millicores(3000), byte_count(1000), accelerator_count()};
     }},
    {"step_started_before_its_predecessor_ended", "ORDER",
     [](cell_history& history)
     {
         std::swap(history.run_events[7], history.run_events[9]);
         std::swap(history.run_events[8], history.run_events[9]);
     }},
    {"worker_of_another_service", "ROUTE",
     [](cell_history& history)
     { history.workers[1].info.service = service_name("other"); }},
    {"worker_without_the_label", "ROUTE",
     [](cell_history& history) { history.workers[1].info.labels.clear(); }},
    {"too_many_tasks_of_a_step_on_a_worker", "ROUTE",
     [](cell_history& history)
     {
         history.run_events[10].worker = worker_id("w0");
         history.run_events[12].worker = worker_id("w0");
     }},
    {"start_after_the_last_attempt", "BUDGET",
     [](cell_history& history) { history.queues.begin()->second.attempts = 1; }},
    {"gang_member_without_the_rest", "GANG",
     [](cell_history& history) { history.run_events[11].outcome = run_end::alone; }},
    {"start_of_an_unknown_job", "UNASKED",
     [](cell_history& history)
     { history.run_events[0].run.task.job = job_key("forged"); }},
    {"start_with_another_payload", "UNASKED",
     [](cell_history& history) { history.run_events[0].payload = "forged"; }},
    {"start_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.answers.push_back({at(20), job_key("a"), true, verdict::done});
         for (run_event& each : history.run_events)
             each.at += seconds(4);
         for (reported_state& each : history.reported_states)
             each.at += seconds(4);
     }},
    {"start_after_cancel_of_an_unknown_job", "UNASKED",
     [](cell_history& history)
     {
         history.answers.push_back({at(1), job_key("a"), true, verdict::not_found});
         for (run_event& each : history.run_events)
             each.at += seconds(4);
         for (reported_state& each : history.reported_states)
             each.at += seconds(4);
     }},
    {"run_continues_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.run_events = stopped_run(3600);
         confirm_cancel(history);
     }},
    {"run_never_ends_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.run_events = stopped_run(3600);
         history.run_events.pop_back();
         history.ended_at = at(30000);
         confirm_cancel(history);
     }},
    {"run_continues_after_cancel_and_failure", "UNASKED",
     [](cell_history& history)
     {
         history.run_events = stopped_run(14000);
         history.disturbances = {at(3500)};
         confirm_cancel(history);
     }},
    {"late_run_continues_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.run_events = stopped_run(6600);
         history.run_events[0].at = at(3000);
         history.late_commands = {at(3000)};
         confirm_cancel(history);
     }},
    {"refused_job_runs", "REFUSED",
     [](cell_history& history)
     {
         history.answers.pop_back();
         history.reported_states.clear();
     }},
    {"reported_done_too_early", "MIXED",
     [](cell_history& history) { history.reported_states[1].state = job_state::done; }},
    {"unknown_job_reported", "MIXED",
     [](cell_history& history)
     {
         history.reported_states.insert(
             history.reported_states.begin(),
             {at(1), job_key("forged"), true, job_state::queued});
     }},
    {"waiting_jobs_left_out_of_a_count", "MIXED",
     [](cell_history& history)
     {
         for (run_event& each : history.run_events)
             each.at += seconds(8);
         history.reported_states.back().at += seconds(8);
         history.reported_states.erase(std::next(history.reported_states.begin()));
         history.reported_counts = {{at(6000), queue_name("q"), 0}};
     }},
    {"accepted_job_reported_unknown", "LOST",
     [](cell_history& history) { history.reported_states[0].found = false; }},
    {"accepted_job_never_ended", "LOST",
     [](cell_history& history) { history.reported_states.pop_back(); }},
    {"reported_failed_without_failures", "LOST",
     [](cell_history& history) { history.reported_states[1].state = job_state::failed; }},
    {"reported_cancelled_without_a_cancel", "LOST",
     [](cell_history& history)
     { history.reported_states[1].state = job_state::cancelled; }},
    {"start_on_a_draining_worker", "DRAIN",
     [](cell_history& history)
     {
         history.workers[1].draining_since = at(100);
         for (std::size_t each = 4; each < history.run_events.size(); ++each)
             history.run_events[each].at += seconds(3);
         history.reported_states.back().at += seconds(3);
     }},
    {"started_after_crashing_many_workers", "BUDGET",
     [](cell_history& history) { crash_first(history, 4); }},
    {"started_beyond_a_reduced_capacity", "LIMIT",
     [](cell_history& history)
     {
         history.workers[0].capacity_changes = {
             {at(-5000),
              resources{millicores(3000), byte_count(1000), accelerator_count()}}};
     }},
};

INSTANTIATE_TEST_SUITE_P(rule_violations, cell_checker_test,
                         testing::ValuesIn(rule_violations),
                         [](const testing::TestParamInfo<rule_violation>& each)
                         { return std::string(each.param.name); });

// The users' rule: an end is not taken note of if the lease lapsed before the note.
TEST(cell_checker_valid_history_test,
     accepts_a_restart_after_a_lease_that_expired_unnoted)
{
    cell_history history = valid_history();
    insert(history, 7, event(1250, "w0", ended, 0, 1, 2));
    insert(history, 6, event(940, "w0", started, 0, 1, 2));
    insert(history, 6, event(910, "w0", run_event::kind::lapsed, 0, 0, 0));
    EXPECT_TRUE(check_cell(history).empty());
}

// A task may be started twice more after its third crash, and may be given up after two.
TEST(cell_checker_valid_history_test, accepts_a_task_that_crashed_three_workers)
{
    cell_history history = valid_history();
    crash_first(history, 3);
    EXPECT_TRUE(check_cell(history).empty());
}

TEST(cell_checker_valid_history_test, accepts_starts_right_after_a_capacity_was_reduced)
{
    cell_history history = valid_history();
    history.workers[0].capacity_changes = {
        {at(50), resources{millicores(1000), byte_count(1000), accelerator_count()}}};
    EXPECT_TRUE(check_cell(history).empty());
}

// Rules with a time bound don't apply right after a failure.
TEST(cell_checker_valid_history_test, applies_no_time_bound_right_after_a_failure)
{
    cell_history history = valid_history();
    history.run_events[11].outcome = run_end::alone;
    history.disturbances = {at(1900)};
    EXPECT_TRUE(check_cell(history).empty());
}

TEST(cell_checker_valid_history_test, accepts_a_run_that_ends_in_time_after_its_cancel)
{
    cell_history history = valid_history();
    history.run_events = stopped_run(3500);
    confirm_cancel(history);
    EXPECT_TRUE(check_cell(history).empty());
}

// A worker that was cut off receives the stop command only after the failure.
TEST(cell_checker_valid_history_test, extends_the_cancel_bound_after_a_failure)
{
    for (const int disturbed_ms : {0, 3500})
    {
        cell_history history = valid_history();
        history.run_events = stopped_run(disturbed_ms + 10000);
        history.disturbances = {at(disturbed_ms)};
        confirm_cancel(history);
        EXPECT_TRUE(check_cell(history).empty()) << disturbed_ms;
    }
}

// The owner learns of a run that started late only after its start, so the bound for its
// stop counts from there.
TEST(cell_checker_valid_history_test,
     measures_the_cancel_bound_of_a_late_run_from_its_start)
{
    cell_history history = valid_history();
    history.run_events = stopped_run(6400);
    history.run_events[0].at = at(3000);
    history.late_commands = {at(3000)};
    confirm_cancel(history);
    EXPECT_TRUE(check_cell(history).empty());
}

} // namespace

} // namespace hawthornbeam::standins
