/// \file
/// Tests that jobs which could run and do not are reported, and no others.
#include "test/standins/liveness_checker.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::standins
{

namespace
{

using namespace cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr run_event::kind started = run_event::kind::started;
constexpr run_event::kind ended = run_event::kind::ended;
constexpr run_event::kind acknowledged = run_event::kind::acknowledged;

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

run_event event(int ms, run_event::kind type, std::uint32_t step, std::uint32_t index,
                std::uint32_t run, run_end outcome = run_end::done)
{
    run_event result;
    result.at = at(ms);
    result.worker = worker_id("w0");
    result.incarnation = worker_incarnation(1);
    result.type = type;
    result.run = {{job_key("a"), step, index}, run_number(run)};
    result.outcome = outcome;
    result.payload = "payload";
    return result;
}

step_spec step(std::uint32_t count)
{
    step_spec result;
    result.count = count;
    result.size = resources{millicores(2000), byte_count(10), accelerator_count()};
    result.label = "fast";
    return result;
}

/// A job of one task that is accepted at 10 ms and starts 3.5 s later, on one of two
/// workers that take two such tasks each.
cell_history late_start()
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
    job.steps = {step(1)};
    history.submitted[job.id] = job;
    history.answers = {{at(10), job.id, false, verdict::done}};
    history.run_events = {event(3510, started, 0, 0, 1), event(4000, ended, 0, 0, 1),
                          event(4020, acknowledged, 0, 0, 1)};
    history.reported_states = {{at(4500), job.id, true, job_state::done}};
    history.ended_at = at(5000);
    return history;
}

std::vector<step_spec>& steps_of(cell_history& history)
{
    return history.submitted.at(job_key("a")).steps;
}

void make_gang(cell_history& history, std::uint32_t count)
{
    steps_of(history) = {step(count)};
    steps_of(history)[0].gang = true;
    history.run_events.clear();
    for (std::uint32_t index = 0; index < count; ++index)
        history.run_events.push_back(event(3510, started, 0, index, 1));
}

/// Adds a first step, whose end is acknowledged at \p ms.
void add_first_step(cell_history& history, int ms)
{
    steps_of(history) = {step(1), step(1)};
    steps_of(history)[1].after = {0};
    history.run_events = {event(20, started, 0, 0, 1), event(100, ended, 0, 0, 1),
                          event(ms, acknowledged, 0, 0, 1),
                          event(4000, started, 1, 0, 1)};
}

/// Lets a run of the job fail first, with \p attempts allowed.
void fail_first(cell_history& history, std::uint32_t attempts)
{
    history.queues.begin()->second.attempts = attempts;
    history.run_events = {event(20, started, 0, 0, 1),
                          event(100, ended, 0, 0, 1, run_end::failed),
                          event(110, acknowledged, 0, 0, 1, run_end::failed)};
}

/// Lets another job use \p processors of w0 all the while.
void occupy(cell_history& history, std::int64_t processors)
{
    job_spec other = history.submitted.at(job_key("a"));
    other.id = job_key("b");
    other.steps[0].size.processors = millicores(processors);
    history.submitted[other.id] = other;
    run_event start = event(0, started, 0, 0, 1);
    start.run.task.job = other.id;
    history.run_events.insert(history.run_events.begin(), start);
}

struct forged_history
{
    const char* name;
    void (*apply)(cell_history&);
};

void PrintTo(const forged_history& value, std::ostream* out)
{
    *out << value.name;
}

std::string name_of(const testing::TestParamInfo<forged_history>& each)
{
    return each.param.name;
}

cell_history forge(const forged_history& how)
{
    cell_history history = late_start();
    how.apply(history);
    return history;
}

class waiting_job_test : public testing::TestWithParam<forged_history>
{
};

// Guards against a checker that misses an accepted job which could run and does not.
TEST_P(waiting_job_test, is_reported)
{
    const std::vector<broken_rule> found = check_liveness(forge(GetParam()));
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].rule, "LOST");
    EXPECT_EQ(found[0].text.substr(0, 2), "a:") << found[0].text;
}

const forged_history violations[] = {
    {"starts_late", [](cell_history&) {}},
    {"never_starts", [](cell_history& history) { history.run_events.clear(); }},
    {"gang_with_room_twice_over", [](cell_history& history) { make_gang(history, 2); }},
    {"second_step", [](cell_history& history) { add_first_step(history, 120); }},
    {"failed_task_with_attempts_left",
     [](cell_history& history) { fail_first(history, 2); }},
    {"under_half_of_the_capacity_in_use",
     [](cell_history& history) { occupy(history, 3900); }},
    {"room_on_admitted_workers",
     [](cell_history& history) {
         history.admitted[{job_key("a"), 0}] = {worker_id("w0")};
     }},
    {"disturbance_long_before",
     [](cell_history& history) { history.disturbances = {at(-4000)}; }},
    {"failure_long_before",
     [](cell_history& history) {
         history.failures = {{at(-9000), at(-4000)}};
     }},
    {"worker_faulty_long_before",
     [](cell_history& history) {
         history.workers[0].faulty = {{at(-9000), at(-4000)}};
     }},
    {"run_lost_long_before",
     [](cell_history& history)
     {
         history.run_events = {event(20, started, 0, 0, 1),
                               event(100, run_event::kind::lost, 0, 0, 1)};
         history.ended_at = at(8000);
     }},
};

INSTANTIATE_TEST_SUITE_P(forged, waiting_job_test, testing::ValuesIn(violations),
                         name_of);

class excused_job_test : public testing::TestWithParam<forged_history>
{
};

// Guards against a checker that reports jobs which may wait by the users' rule.
TEST_P(excused_job_test, is_not_reported)
{
    for (const broken_rule& each : check_liveness(forge(GetParam())))
        ADD_FAILURE() << each.rule << ' ' << each.text;
}

const forged_history excuses[] = {
    {"starts_in_time",
     [](cell_history& history) { history.run_events[0].at = at(3000); }},
    {"not_accepted",
     [](cell_history& history) { history.answers[0].outcome = verdict::unknown; }},
    {"cancelled",
     [](cell_history& history) {
         history.answers.push_back({at(3000), job_key("a"), true, verdict::unknown});
     }},
    {"no_room_twice_over",
     [](cell_history& history)
     {
         history.workers[0].info.capacity.processors = millicores(3000);
         history.workers[1].info.capacity.processors = millicores(1000);
     }},
    {"room_only_for_a_moment",
     [](cell_history& history)
     {
         const resources small{millicores(1000), byte_count(1000), accelerator_count()};
         const resources large = history.workers[0].info.capacity;
         for (worker_record& each : history.workers)
             each.capacity_changes = {{at(1000), small}, {at(1200), large}};
     }},
    {"gang_without_places_twice_over",
     [](cell_history& history) { make_gang(history, 3); }},
    {"gang_beyond_the_tasks_of_a_worker",
     [](cell_history& history)
     {
         make_gang(history, 2);
         steps_of(history)[0].per_worker = 1;
     }},
    {"predecessor_is_not_acknowledged",
     [](cell_history& history) { add_first_step(history, 3900); }},
    {"predecessor_has_no_room",
     [](cell_history& history)
     {
         steps_of(history) = {step(1), step(1)};
         steps_of(history)[0].size.processors = millicores(8000);
         steps_of(history)[1].after = {0};
         history.run_events.clear();
     }},
    {"attempts_are_used_up", [](cell_history& history) { fail_first(history, 1); }},
    {"half_of_the_capacity_in_use", [](cell_history& history) { occupy(history, 4000); }},
    {"no_worker_has_the_label",
     [](cell_history& history) { steps_of(history)[0].label = "slow"; }},
    {"workers_of_another_service", [](cell_history& history)
     { history.queues.begin()->second.service = service_name("other"); }},
    {"no_room_on_admitted_workers",
     [](cell_history& history) {
         history.admitted[{job_key("a"), 0}] = {worker_id("w9")};
     }},
    {"workers_drain",
     [](cell_history& history)
     {
         history.workers[0].draining_since = at(1000);
         history.workers[1].draining_since = at(2000);
     }},
    {"workers_are_faulty",
     [](cell_history& history)
     {
         history.workers[0].faulty = {{at(-9000), at(-2000)}};
         history.workers[1].faulty = {{at(1000), at(2000)}};
     }},
    {"workers_have_just_started",
     [](cell_history& history)
     {
         history.workers[0].up_since = at(-1000);
         history.workers[1].up_until = at(2000);
     }},
    {"disturbance_near",
     [](cell_history& history) { history.disturbances = {at(-3000)}; }},
    {"disturbance_meanwhile",
     [](cell_history& history) { history.disturbances = {at(2000)}; }},
    {"failure_lasts",
     [](cell_history& history) {
         history.failures = {{at(-9000), at(-2000)}};
     }},
    {"late_command_near",
     [](cell_history& history) { history.late_commands = {at(-2000)}; }},
    {"run_lost_with_its_worker",
     [](cell_history& history)
     {
         history.run_events = {event(20, started, 0, 0, 1),
                               event(100, run_event::kind::lost, 0, 0, 1),
                               event(5000, started, 0, 0, 2)};
     }},
    {"another_task_runs",
     [](cell_history& history)
     {
         steps_of(history)[0].count = 2;
         history.run_events.insert(history.run_events.begin(),
                                   event(20, started, 0, 1, 1));
     }},
};

INSTANTIATE_TEST_SUITE_P(forged, excused_job_test, testing::ValuesIn(excuses), name_of);

// Guards against a check of the whole history that leaves out this rule.
TEST(liveness_checker_test, is_part_of_the_check_of_a_cell)
{
    const std::vector<broken_rule> found = check_cell(late_start());
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].rule, "LOST") << found[0].text;
}

} // namespace

} // namespace hawthornbeam::standins
