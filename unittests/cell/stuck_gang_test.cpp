/// \file
/// Tests that gangs and other steps start soon while workers that they may use have free
/// capacity. The advice service is simulated: it admits the same workers each time, and
/// its tickets expire.
#include "fleet.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick = milliseconds(20);
constexpr int ticks_between_polls = 5;
/// A step with free capacity starts within this time.
constexpr duration start_limit = seconds(3);
constexpr duration long_time = seconds(60);

/// A cell of workers of eight cores. Queue "plain" has no advice and is less urgent than
/// the others, whose advice is slow; jobs of "urgent" and "idle" are
/// late soon.
class advised_cell
{
public:
    explicit advised_cell(std::size_t count) : workers(count), worker_count_(count)
    {
        queue_policy advised;
        advised.name = queue_name("advised");
        advised.service = service_name("pool");
        advised.priority = 1;
        advised.attempts = 3;
        advised.objective = long_time;
        advised.advice =
            advice_policy{milliseconds(450), milliseconds(6), milliseconds(1500)};
        queue_policy plain = advised;
        plain.name = queue_name("plain");
        plain.priority = 2;
        plain.advice.reset();
        queue_policy other = advised;
        other.name = queue_name("other");
        queue_policy third = advised;
        third.name = queue_name("third");
        queue_policy urgent = advised;
        urgent.name = queue_name("urgent");
        urgent.objective = seconds(1);
        queue_policy idle = plain;
        idle.name = queue_name("idle");
        idle.objective = duration::zero();
        workers.cell.configure({advised, other, third, urgent, plain, idle});
        workers.log_sink = [this](const std::string& line) { read_log(line); };
    }

    /// Submits a job whose runs end after \p run_time.
    void submit(const job_spec& spec, duration run_time)
    {
        run_times_[spec.id.value()] = run_time;
        specs_[spec.id.value()] = spec.steps[0];
        submitted_at_[spec.id.value()] = workers.clock.now();
        workers.submit(spec);
        // Jobs are sorted by the time of submission.
        workers.advance(std::chrono::microseconds(1));
    }

    /// Advice about the job admits only these workers; by default, it admits all.
    void admit(const std::string& job, std::set<worker_id> admitted)
    {
        admitted_[job] = std::move(admitted);
    }

    /// Lets each answer of the advice service take so much longer.
    void delay_answers(duration delay) { answer_delay_ = delay; }
    /// Loses the answer to the next request of each job.
    void lose_next_answers() { lose_answers_ = true; }
    void set_cores(const std::string& worker, std::int64_t cores)
    {
        workers.info(worker).capacity.processors = millicores(cores * 1000);
        workers.publish(worker);
    }
    /// Stops the polls of a worker.
    void cut_off(const std::string& worker) { cut_off_.insert(worker); }

    void simulate(duration length)
    {
        const boot_time end = workers.clock.now() + length;
        while (workers.clock.now() < end)
        {
            workers.advance(tick);
            pass_on_answers();
            end_runs();
            if (++ticks_ % ticks_between_polls == 0)
                for (std::size_t number = 0; number < worker_count_; ++number)
                    poll("w" + std::to_string(number));
            workers.store_changes();
            decide();
            if (ticks_ % ticks_between_polls == 0)
                watch_waiting_jobs();
        }
    }

    /// Jobs without a start for longer than `start_limit` while the workers that
    /// they may use had room for them twice over and most of the cell was free.
    const std::map<std::string, std::string>& stuck_jobs() const { return stuck_jobs_; }

    /// Time from submission to the first start; the time until now if there was none.
    duration wait_of(const std::string& job) const
    {
        const auto started = started_at_.find(job);
        return (started == started_at_.end() ? workers.clock.now() : started->second) -
               submitted_at_.at(job);
    }

    /// The reason for which a step of the job was last reported to wait.
    std::string reason_of(const std::string& job) const { return reasons_.at(job); }

    /// Describes the wait of a job for the messages of failed assertions.
    std::string describe(const std::string& job) const
    {
        const auto reason = reasons_.find(job);
        return job + (started_at_.contains(job) ? " started after " : " waits since ") +
               std::to_string(wait_of(job) / milliseconds(1)) + " ms, last reason " +
               (reason == reasons_.end() ? "none" : reason->second);
    }

    fleet workers;

private:
    void read_log(const std::string& line)
    {
        const nlohmann::json event = nlohmann::json::parse(line);
        if (event.at("message") == "step waits")
            reasons_[event.at("job").get<std::string>()] =
                event.at("reason").get<std::string>();
    }

    void watch_waiting_jobs()
    {
        std::map<worker_id, std::int64_t> used;
        std::int64_t used_in_all = 0;
        for (const auto& [job, step] : specs_)
            for (const auto& [worker, run] : workers.runs(job))
            {
                used[worker] += step.size.processors.value();
                used_in_all += step.size.processors.value();
            }
        std::int64_t capacity = 0;
        for (const worker_info& worker : workers.cell.workers())
            capacity += worker.capacity.processors.value();
        for (const auto& [job, step] : specs_)
        {
            std::int64_t places = 0;
            const auto admitted = admitted_.find(job);
            for (const worker_info& worker : workers.cell.workers())
                if (!cut_off_.contains(worker.id.value()) &&
                    (admitted == admitted_.end() || admitted->second.contains(worker.id)))
                    places += (worker.capacity.processors.value() - used[worker.id]) /
                              step.size.processors.value();
            const bool could_start = !started_at_.contains(job) &&
                                     !is_final(*workers.cell.state(job_key(job))) &&
                                     places >= 2 * std::int64_t{step.count} &&
                                     2 * used_in_all < capacity;
            const auto [since, added] =
                could_start_since_.try_emplace(job, workers.clock.now());
            if (!could_start)
                since->second = workers.clock.now();
            else if (workers.clock.now() - since->second > start_limit)
                stuck_jobs_.try_emplace(job, describe(job));
        }
    }

    void poll(const std::string& worker)
    {
        if (!cut_off_.contains(worker))
            workers.poll(worker);
    }

    void decide()
    {
        const decisions decided = workers.decide();
        for (const start_command& command : decided.starts)
        {
            const std::string job = command.run.task.job.value();
            started_at_.try_emplace(job, workers.clock.now());
            ends_.emplace(workers.clock.now() + run_times_.at(job), command.run);
        }
        for (const advice_command& command : decided.advice)
            answer(command);
    }

    void answer(const advice_command& command)
    {
        if (lose_answers_ && lost_.insert(command.job.value()).second)
            return;
        advice_result result;
        result.job = command.job;
        result.step = command.step;
        result.answered = true;
        result.asked = command.workers;
        const auto admitted = admitted_.find(command.job.value());
        for (const worker_id& id : command.workers)
            if (admitted == admitted_.end() || admitted->second.contains(id))
                result.tickets.emplace_back(id, ticket("t"));
        result.valid_ms = 1500;
        answers_.emplace(workers.clock.now() + answer_delay_ +
                             workers.cell.advice_duration(command),
                         result);
    }

    void pass_on_answers()
    {
        while (!answers_.empty() && answers_.begin()->first <= workers.clock.now())
        {
            workers.cell.observe(answers_.begin()->second, workers.clock.now());
            answers_.erase(answers_.begin());
        }
    }

    void end_runs()
    {
        while (!ends_.empty() && ends_.begin()->first <= workers.clock.now())
        {
            workers.end(ends_.begin()->second, run_end::done);
            ends_.erase(ends_.begin());
        }
    }

    std::size_t worker_count_;
    std::set<std::string> cut_off_;
    std::map<std::string, std::set<worker_id>> admitted_;
    std::map<std::string, duration> run_times_;
    std::map<std::string, boot_time> submitted_at_;
    std::map<std::string, boot_time> started_at_;
    std::map<std::string, std::string> reasons_;
    std::multimap<boot_time, advice_result> answers_;
    std::multimap<boot_time, run_ref> ends_;
    std::map<std::string, step_spec> specs_;
    std::map<std::string, boot_time> could_start_since_;
    std::map<std::string, std::string> stuck_jobs_;
    duration answer_delay_{};
    bool lose_answers_ = false;
    std::set<std::string> lost_;
    int ticks_ = 0;
};

job_spec gang_of(const std::string& id, std::uint32_t count, std::int64_t cores,
                 duration run_time = seconds(1), const std::string& queue = "advised")
{
    job_spec spec = fleet::job(id, queue, count, cores, run_time);
    spec.steps[0].gang = true;
    return spec;
}

/// The workers from \p first on.
std::set<worker_id> range_of(std::size_t first, std::size_t count)
{
    std::set<worker_id> chosen;
    for (std::size_t number = first; number < first + count; ++number)
        chosen.insert(worker_id("w" + std::to_string(number)));
    return chosen;
}

/// Additional time that each answer of the advice service takes.
class slow_advice_test : public testing::TestWithParam<duration>
{
};

// Guards against tickets of one gang that never are valid at the same time.
TEST_P(slow_advice_test, wide_gang_gets_all_of_its_tickets_at_once)
{
    advised_cell cell(100);
    cell.delay_answers(GetParam());
    std::set<worker_id> admitted;
    for (std::size_t number = 0; number < 100; number += 3)
        admitted.merge(range_of(number, 1));
    cell.admit("g", admitted);
    cell.submit(gang_of("g", 16, 8), seconds(1));
    cell.simulate(seconds(20));
    // One answer about all workers that the gang may need, and one more.
    EXPECT_LE(cell.wait_of("g"), start_limit + 3 * GetParam()) << cell.describe("g");
}

INSTANTIATE_TEST_SUITE_P(delays, slow_advice_test,
                         testing::Values(milliseconds(0), milliseconds(500),
                                         milliseconds(900), milliseconds(1200),
                                         milliseconds(2000)));

// Guards against a gang that is planned on the worker of a suspect task, where it cannot
// start, and asks about no other workers.
TEST(stuck_gang_test, gang_leaves_the_worker_of_a_suspect_task)
{
    advised_cell cell(60);
    // The largest worker, about which the gang asks first, is the only one for the task.
    cell.set_cores("w0", 64);
    cell.submit(fleet::job("suspect", "plain", 1, 9, long_time), long_time);
    cell.simulate(seconds(6));
    cell.workers.end_process("w0");
    cell.workers.restart("w0");
    cell.simulate(seconds(1));
    ASSERT_EQ(cell.workers.runs("suspect").size(), 1U);
    std::set<worker_id> admitted = range_of(55, 5);
    admitted.insert(worker_id("w0"));
    cell.admit("g", admitted);
    cell.submit(gang_of("g", 4, 8), seconds(1));
    cell.simulate(seconds(8));
    EXPECT_LE(cell.wait_of("g"), start_limit) << cell.describe("g");
}

// Guards against a gang that needs the room of several members on each worker and counts
// room that is held for another gang.
TEST(stuck_gang_test, gang_asks_beyond_workers_of_which_a_part_is_held)
{
    advised_cell cell(60);
    // The younger gang asks first about the workers that the older one shares with it.
    for (int number = 0; number < 10; ++number)
        cell.set_cores("w" + std::to_string(number), 10);
    cell.submit(fleet::job("busy", "plain", 1, 10, seconds(12)), seconds(12));
    cell.simulate(milliseconds(100));
    cell.admit("older", range_of(0, 10));
    cell.submit(gang_of("older", 10, 8, long_time), long_time);
    cell.simulate(seconds(3));
    std::set<worker_id> admitted = range_of(0, 10);
    admitted.merge(range_of(40, 8));
    cell.admit("younger", admitted);
    cell.submit(gang_of("younger", 30, 1, long_time, "other"), long_time);
    cell.simulate(seconds(8));
    EXPECT_LE(cell.wait_of("younger"), start_limit) << cell.describe("younger");
}

// Guards against idle workers that are held for a gang whose start is put off without an
// end, here since late steps may not renew their tickets before the others of the queue.
TEST(stuck_gang_test, gang_that_misses_its_start_gives_its_places_back)
{
    advised_cell cell(8);
    cell.submit(fleet::job("busy", "plain", 8, 8, seconds(6)), seconds(6));
    cell.simulate(milliseconds(100));
    cell.admit("late", range_of(0, 4));
    cell.submit(gang_of("late", 4, 8, milliseconds(100), "urgent"), seconds(1));
    cell.simulate(seconds(3));
    // None of these can start: only three workers are admitted.
    for (int number = 0; number < 12; ++number)
    {
        const std::string id = "g" + std::to_string(number);
        cell.admit(id, range_of(0, 3));
        cell.submit(gang_of(id, 4, 8, long_time, "urgent"), long_time);
    }
    cell.submit(fleet::job("next", "idle", 8, 8, milliseconds(500)), long_time);
    cell.simulate(seconds(6));
    EXPECT_EQ(cell.workers.runs("next").size(), 8U) << cell.describe("next");
}

// Guards against a report that blames the capacity that is held for the gang itself.
TEST(stuck_gang_test, gang_with_expired_tickets_is_not_reported_as_held_for_itself)
{
    advised_cell cell(8);
    cell.submit(fleet::job("busy", "plain", 8, 8, seconds(8)), seconds(8));
    cell.simulate(milliseconds(100));
    cell.submit(gang_of("g", 8, 8), seconds(1));
    cell.simulate(seconds(3));
    cell.delay_answers(long_time);
    cell.simulate(seconds(6));
    EXPECT_EQ(cell.reason_of("g"), "tickets_expired");
}

// Guards against idle workers that are held until the forecast end of a run.
TEST(stuck_gang_test, gang_that_waits_for_a_slow_run_does_not_stop_others)
{
    advised_cell cell(12);
    cell.submit(fleet::job("overdue", "plain", 1, 8, seconds(1)), seconds(30));
    cell.simulate(milliseconds(500));
    // Needs all workers, of which one is in use for much longer than expected.
    cell.submit(gang_of("g", 12, 8, long_time), long_time);
    cell.simulate(seconds(4));
    cell.submit(fleet::job("next", "plain", 2, 8, seconds(2)), seconds(2));
    cell.submit(gang_of("h", 3, 8, seconds(2)), seconds(2));
    cell.simulate(seconds(8));
    EXPECT_LE(cell.wait_of("next"), start_limit) << cell.describe("next");
    EXPECT_LE(cell.wait_of("h"), start_limit) << cell.describe("h");
}

// Guards against a gang that holds part of the cell until a member's place is free, while
// others wait and most of the cell is idle.
TEST(stuck_gang_test, long_hold_for_one_busy_worker_does_not_stop_others)
{
    advised_cell cell(24);
    cell.submit(fleet::job("busy", "plain", 1, 8, seconds(20)), seconds(20));
    cell.simulate(milliseconds(500));
    cell.submit(gang_of("g", 24, 8, long_time), long_time);
    cell.simulate(seconds(4));
    cell.submit(fleet::job("next", "plain", 2, 8, seconds(30)), seconds(30));
    cell.submit(gang_of("h", 6, 8, seconds(30)), seconds(30));
    cell.simulate(seconds(8));
    EXPECT_LE(cell.wait_of("next"), start_limit) << cell.describe("next");
    EXPECT_LE(cell.wait_of("h"), start_limit) << cell.describe("h");
}

// Guards against a gang that small tasks pass forever, on the few workers
// of a cell that both may use.
TEST(stuck_gang_test, flood_in_a_mostly_free_cell_does_not_pass_a_gang_for_long)
{
    advised_cell cell(16);
    for (const char* worker : {"w0", "w1", "w2", "w3"})
    {
        cell.workers.info(worker).labels = {"shared"};
        cell.workers.publish(worker);
    }
    for (int number = 0; number < 400; ++number)
    {
        job_spec task = fleet::job("f" + std::to_string(number), "plain", 1, 2);
        task.steps[0].label = "shared";
        cell.submit(task, milliseconds(700 + number % 7 * 100));
    }
    cell.simulate(seconds(4));
    job_spec gang = gang_of("g", 4, 8);
    gang.steps[0].label = "shared";
    cell.submit(gang, seconds(1));
    cell.simulate(seconds(12));
    EXPECT_LE(cell.wait_of("g"), seconds(4)) << cell.describe("g");
}

// Guards against a step that waits for a host that died, while the others could ask.
TEST(stuck_gang_test, lost_request_is_repeated_in_time)
{
    advised_cell cell(20);
    cell.lose_next_answers();
    cell.submit(gang_of("g", 10, 8), seconds(1));
    cell.submit(fleet::job("t", "advised", 1, 8), seconds(1));
    cell.simulate(seconds(8));
    EXPECT_LE(cell.wait_of("g"), start_limit) << cell.describe("g");
    EXPECT_LE(cell.wait_of("t"), start_limit) << cell.describe("t");
}

// Guards against a lasting task that may share no worker with the others of its step, and
// waits while advice about further workers is not requested.
TEST(stuck_gang_test, spread_tasks_ask_beyond_the_workers_of_their_step)
{
    advised_cell cell(100);
    job_spec spec = fleet::job("s", "advised", 8, 1, long_time);
    spec.steps[0].per_worker = 1;
    std::set<worker_id> admitted;
    for (std::size_t number = 0; number < 100; number += 8)
        admitted.merge(range_of(number, 1));
    cell.admit("s", admitted);
    cell.submit(spec, long_time);
    cell.simulate(seconds(4));
    EXPECT_EQ(cell.workers.runs("s").size(), 8U) << cell.describe("s");
}

// Guards against a gang after those that are planned, whose few renewed tickets never
// suffice.
TEST(stuck_gang_test, gang_after_the_planned_ones_renews_all_tickets_that_it_needs)
{
    advised_cell cell(200);
    cell.submit(fleet::job("busy", "plain", 1, 8, seconds(20)), seconds(20));
    cell.simulate(milliseconds(100));
    const worker_id busy = cell.workers.runs("busy").at(0).first;
    for (std::size_t number = 0; number < 14; ++number)
    {
        const std::string id = "g" + std::to_string(number);
        cell.admit(id, {busy, worker_id("w" + std::to_string(number))});
        cell.submit(gang_of(id, 2, 8, long_time, number < 7 ? "advised" : "other"),
                    long_time);
    }
    cell.simulate(seconds(6));
    std::set<worker_id> admitted;
    for (std::size_t number = 20; number < 200; number += 5)
        admitted.merge(range_of(number, 1));
    cell.admit("free", admitted);
    cell.delay_answers(milliseconds(500));
    cell.submit(gang_of("free", 24, 8, seconds(2), "third"), seconds(2));
    cell.simulate(seconds(14));
    EXPECT_LE(cell.wait_of("free"), seconds(5)) << cell.describe("free");
}

/// Seed of the jobs.
class mixed_load_test : public testing::TestWithParam<std::uint32_t>
{
};

// Guards against combinations of waiting gangs, wrong estimates and slow advice in which
// a job waits for others that do not start either.
TEST_P(mixed_load_test, no_job_waits_while_there_is_room_for_it_twice_over)
{
    std::mt19937 random(GetParam());
    const auto pick = [&random](std::uint32_t min, std::uint32_t max)
    { return std::uniform_int_distribution<std::uint32_t>(min, max)(random); };
    const std::uint32_t count = pick(24, 72);
    advised_cell cell(count);
    cell.workers.cell.set_advice_hosts(60);
    cell.delay_answers(milliseconds(pick(0, 4) * 100));
    for (int number = 0; number < 80; ++number)
    {
        const std::string id = "j" + std::to_string(number);
        const bool wide = pick(0, 2) == 0;
        const duration run_time = milliseconds(pick(3, wide ? 80 : 30) * 100);
        job_spec spec = fleet::job(id, pick(0, 3) == 0 ? "plain" : "advised",
                                   wide ? pick(4, count / 4) : pick(1, 3), pick(1, 8),
                                   run_time * pick(5, 20) / 10);
        spec.steps[0].gang = wide || pick(0, 1) == 0;
        if (spec.queue == queue_name("advised"))
        {
            const std::uint32_t share = pick(2, 10);
            std::set<worker_id> admitted;
            for (std::uint32_t worker = 0; worker < count; ++worker)
                if (pick(1, 10) <= share)
                    admitted.merge(range_of(worker, 1));
            cell.admit(id, admitted);
        }
        if (number == 20)
            cell.cut_off("w" + std::to_string(pick(0, count - 1)));
        cell.submit(spec, run_time);
        cell.simulate(milliseconds(pick(0, 30) * 20));
    }
    cell.simulate(seconds(10));
    for (const auto& [job, described] : cell.stuck_jobs())
        ADD_FAILURE() << described;
}

INSTANTIATE_TEST_SUITE_P(seeds, mixed_load_test, testing::Range(1U, 61U));
INSTANTIATE_TEST_SUITE_P(many_requests, mixed_load_test,
                         testing::Values(183U, 310U, 390U));

} // namespace

} // namespace hawthornbeam::cell
