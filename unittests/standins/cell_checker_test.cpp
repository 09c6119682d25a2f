/// \file
/// Tests that the checker of cells accepts a sound history and finds each forged fault.
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

run_event event(int ms, const char* on, run_event::kind what, std::uint32_t step,
                std::uint32_t index, std::uint32_t run, run_end outcome = run_end::done)
{
    run_event made;
    made.at = at(ms);
    made.worker = worker_id(on);
    made.incarnation = worker_incarnation(1);
    made.what = what;
    made.run = {{job_key("a"), step, index}, run_number(run)};
    made.outcome = outcome;
    made.payload = "payload";
    return made;
}

constexpr run_event::kind started = run_event::kind::started;
constexpr run_event::kind ended = run_event::kind::ended;
constexpr run_event::kind acknowledged = run_event::kind::acknowledged;

/// A job of two steps: two tasks, one of which fails once, then a gang of two.
cell_history sound_history()
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
    history.runs = {event(100, "w0", started, 0, 0, 1),
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
    history.shown = {{at(50), job.id, true, job_state::queued},
                     {at(700), job.id, true, job_state::running},
                     {at(2100), job.id, true, job_state::done}};
    history.ended_at = at(3000);
    return history;
}

struct forgery
{
    const char* name;
    const char* rule;
    void (*forge)(cell_history&);
};

void PrintTo(const forgery& value, std::ostream* out)
{
    *out << value.name;
}

void insert(cell_history& history, std::size_t before, const run_event& added)
{
    history.runs.insert(history.runs.begin() + static_cast<std::ptrdiff_t>(before),
                        added);
}

/// One run, which ends as stopped at \p end ms.
std::vector<run_event> run_beside_cancel(int end)
{
    return {event(100, "w0", started, 0, 0, 1),
            event(end, "w0", ended, 0, 0, 1, run_end::stopped)};
}

/// The job is cancelled at 100 ms, so that its runs have to end by 3,500 ms.
void confirm_cancel(cell_history& history)
{
    history.answers.push_back({at(100), job_key("a"), true, verdict::done});
    history.shown = {{at(30000), job_key("a"), true, job_state::cancelled}};
}

class cell_checker_test : public testing::TestWithParam<forgery>
{
};

// Guards against a checker that overlooks a broken rule.
TEST_P(cell_checker_test, finds_the_forged_fault)
{
    cell_history history = sound_history();
    GetParam().forge(history);
    const std::vector<broken_rule> found = check_cell(history);
    ASSERT_FALSE(found.empty());
    EXPECT_EQ(found[0].rule, GetParam().rule) << found[0].text;
}

TEST(sound_cell_checker_test, accepts_a_sound_history)
{
    for (const broken_rule& each : check_cell(sound_history()))
        ADD_FAILURE() << each.rule << ' ' << each.text;
}

// An end that was never taken note of may be lost with its worker.
TEST(sound_cell_checker_test, accepts_a_repeated_task_whose_end_was_lost)
{
    cell_history history = sound_history();
    history.runs.erase(history.runs.begin() + 6);
    insert(history, 6, event(950, "w1", started, 0, 1, 2));
    insert(history, 7, event(1000, "w1", ended, 0, 1, 2));
    insert(history, 8, event(1010, "w1", acknowledged, 0, 1, 2));
    EXPECT_TRUE(check_cell(history).empty());
}

// The next life of a worker may begin a run of the same number when nobody learned of the
// first one; the end of the second is not that of the first.
TEST(sound_cell_checker_test, tells_lives_of_a_worker_apart)
{
    cell_history history = sound_history();
    worker_record next = worker("w0");
    next.info.incarnation = worker_incarnation(2);
    history.workers.push_back(next);
    history.runs.erase(history.runs.begin() + 6);
    insert(history, 6, event(950, "w0", started, 0, 1, 1));
    insert(history, 7, event(1000, "w0", ended, 0, 1, 1));
    insert(history, 8, event(1010, "w0", acknowledged, 0, 1, 1));
    for (int each = 6; each < 9; ++each)
        history.runs[static_cast<std::size_t>(each)].incarnation = worker_incarnation(2);
    EXPECT_TRUE(check_cell(history).empty());
}

const forgery forgeries[] = {
    {"two_runs_at_once", "TWICE",
     [](cell_history& history)
     { insert(history, 2, event(200, "w1", started, 0, 0, 2)); }},
    {"start_after_done", "TWICE",
     [](cell_history& history)
     { insert(history, 7, event(1000, "w1", started, 0, 1, 2)); }},
    {"gang_after_done", "TWICE",
     [](cell_history& history)
     { history.runs.push_back(event(2500, "w1", started, 1, 1, 2)); }},
    {"room_exceeded", "LIMIT",
     [](cell_history& history)
     {
         history.workers[0].info.capacity =
             resources{millicores(3000), byte_count(1000), accelerator_count()};
     }},
    {"step_too_early", "ORDER",
     [](cell_history& history)
     {
         std::swap(history.runs[7], history.runs[9]);
         std::swap(history.runs[8], history.runs[9]);
     }},
    {"other_service", "ROUTE",
     [](cell_history& history)
     { history.workers[1].info.service = service_name("other"); }},
    {"missing_label", "ROUTE",
     [](cell_history& history) { history.workers[1].info.labels.clear(); }},
    {"too_many_on_a_worker", "ROUTE",
     [](cell_history& history)
     {
         history.runs[10].worker = worker_id("w0");
         history.runs[12].worker = worker_id("w0");
     }},
    {"too_many_attempts", "BUDGET",
     [](cell_history& history) { history.queues.begin()->second.attempts = 1; }},
    {"member_left_alone", "GANG",
     [](cell_history& history) { history.runs[11].outcome = run_end::alone; }},
    {"unknown_job", "UNASKED",
     [](cell_history& history) { history.runs[0].run.task.job = job_key("forged"); }},
    {"other_payload", "UNASKED",
     [](cell_history& history) { history.runs[0].payload = "forged"; }},
    {"start_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.answers.push_back({at(20), job_key("a"), true, verdict::done});
         for (run_event& each : history.runs)
             each.at += seconds(4);
     }},
    {"run_goes_on_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.runs = run_beside_cancel(3600);
         confirm_cancel(history);
     }},
    {"run_never_ends_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.runs = run_beside_cancel(3600);
         history.runs.pop_back();
         history.ended_at = at(30000);
         confirm_cancel(history);
     }},
    {"run_goes_on_long_after_a_failure", "UNASKED",
     [](cell_history& history)
     {
         history.runs = run_beside_cancel(14000);
         history.disturbances = {at(3500)};
         confirm_cancel(history);
     }},
    {"late_run_goes_on_after_cancel", "UNASKED",
     [](cell_history& history)
     {
         history.runs = run_beside_cancel(6600);
         history.runs[0].at = at(3000);
         history.late_commands = {at(3000)};
         confirm_cancel(history);
     }},
    {"refused_and_run", "REFUSED",
     [](cell_history& history)
     {
         history.answers.pop_back();
         history.shown.clear();
     }},
    {"done_too_early", "MIXED",
     [](cell_history& history) { history.shown[1].state = job_state::done; }},
    {"unknown_job_shown", "MIXED",
     [](cell_history& history)
     {
         history.shown.insert(history.shown.begin(),
                              {at(1), job_key("forged"), true, job_state::queued});
     }},
    {"accepted_and_unknown", "LOST",
     [](cell_history& history) { history.shown[0].found = false; }},
    {"never_ended", "LOST", [](cell_history& history) { history.shown.pop_back(); }},
    {"failed_without_failures", "LOST",
     [](cell_history& history) { history.shown[1].state = job_state::failed; }},
    {"cancelled_by_nobody", "LOST",
     [](cell_history& history) { history.shown[1].state = job_state::cancelled; }},
    {"start_on_a_draining_worker", "DRAIN",
     [](cell_history& history)
     {
         history.workers[1].draining_since = at(100);
         for (std::size_t each = 4; each < history.runs.size(); ++each)
             history.runs[each].at += seconds(3);
         history.shown.back().at += seconds(3);
     }},
};

INSTANTIATE_TEST_SUITE_P(forgeries, cell_checker_test, testing::ValuesIn(forgeries),
                         [](const testing::TestParamInfo<forgery>& each)
                         { return std::string(each.param.name); });

// Rules with a bound in time do not hold right after a failure.
TEST(sound_cell_checker_test, excuses_bounds_after_a_disturbance)
{
    cell_history history = sound_history();
    history.runs[11].outcome = run_end::alone;
    history.disturbances = {at(1900)};
    EXPECT_TRUE(check_cell(history).empty());
}

TEST(sound_cell_checker_test, accepts_a_run_that_ends_in_time_after_its_cancel)
{
    cell_history history = sound_history();
    history.runs = run_beside_cancel(3500);
    confirm_cancel(history);
    EXPECT_TRUE(check_cell(history).empty());
}

// A worker that was cut off is told of the cancel only after the failure.
TEST(sound_cell_checker_test, excuses_a_run_beside_a_disturbance_after_its_cancel)
{
    for (const int disturbed : {0, 3500})
    {
        cell_history history = sound_history();
        history.runs = run_beside_cancel(disturbed + 10000);
        history.disturbances = {at(disturbed)};
        confirm_cancel(history);
        EXPECT_TRUE(check_cell(history).empty()) << disturbed;
    }
}

// The owner learns of a run that began late only after its start.
TEST(sound_cell_checker_test, counts_from_the_start_of_a_late_run)
{
    cell_history history = sound_history();
    history.runs = run_beside_cancel(6400);
    history.runs[0].at = at(3000);
    history.late_commands = {at(3000)};
    confirm_cancel(history);
    EXPECT_TRUE(check_cell(history).empty());
}

} // namespace

} // namespace hawthornbeam::standins
