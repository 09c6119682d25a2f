/// \file
/// Tests that failures of jobs do not take sound workers out of use, and that workers on
/// which everything fails are left out.
#include "fleet.hpp"

#include <gtest/gtest.h>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick = milliseconds(100);
constexpr duration run_time = milliseconds(300);
/// The users' bound for an accepted job that could run and has nothing running.
constexpr duration max_wait = seconds(3);
constexpr std::size_t worker_count = 16;

/// Shares of the jobs, and of the workers, on which each run fails.
struct failure_shares
{
    std::uint32_t failing_jobs_percent = 0;
    std::uint32_t faulty_workers = 0;
};

/// A load of small jobs that leaves most of the room free.
class failing_load
{
public:
    explicit failing_load(const failure_shares& shares) : shares_(shares)
    {
        workers_.add_queue("q", 0, 3, 10, seconds(10));
    }

    void simulate(duration length)
    {
        for (duration passed{}; passed < length; passed += tick)
        {
            for (int job = 0; job < 4; ++job)
                submit();
            step();
        }
        for (duration passed{}; passed < seconds(12); passed += tick)
            step();
    }

    duration longest_wait() const { return longest_wait_; }
    std::size_t unstarted() const { return submitted_.size(); }
    std::size_t sound_jobs_failed() const { return sound_jobs_failed_; }
    /// Starts on a faulty worker after the first second.
    std::size_t starts_on_faulty() const { return starts_on_faulty_; }

private:
    struct running
    {
        run_ref run;
        boot_time ends_at{};
        bool fails = false;
    };

    bool is_failing(const job_key& job) const
    {
        return std::stoul(job.value()) % 100 < shares_.failing_jobs_percent;
    }

    void submit()
    {
        // Consecutive numbers times a prime spread the failing jobs evenly.
        ++last_job_;
        const std::string id = std::to_string(last_job_ * 37 % 100 + last_job_ * 100);
        const job_spec spec = fleet::job(id, "q", 1, 1, run_time);
        submitted_[spec.id] = workers_.clock.now();
        workers_.submit(spec);
    }

    void step()
    {
        workers_.advance(tick);
        const boot_time now = workers_.clock.now();
        std::erase_if(running_,
                      [this, now](const running& each)
                      {
                          if (each.ends_at > now)
                              return false;
                          workers_.end(each.run,
                                       each.fails ? run_end::failed : run_end::done);
                          return true;
                      });
        workers_.poll_all();
        for (const auto& [job, state] : workers_.store_changes().final_jobs)
            sound_jobs_failed_ +=
                state == job_state::failed && !is_failing(job) ? 1U : 0U;
        for (const start_command& command : workers_.decide().starts)
            record_start(command, now);
        for (const auto& [job, at] : submitted_)
            longest_wait_ = std::max(longest_wait_, now - at);
    }

    void record_start(const start_command& command, boot_time now)
    {
        const job_key& job = command.run.task.job;
        submitted_.erase(job);
        const std::string name = command.worker.value();
        const bool on_faulty = std::stoul(name.substr(1)) < shares_.faulty_workers;
        starts_on_faulty_ += on_faulty ? 1U : 0U;
        running_.push_back({command.run, now + run_time, on_faulty || is_failing(job)});
    }

    failure_shares shares_;
    fleet workers_{worker_count};
    std::map<job_key, boot_time> submitted_; ///< Jobs without a start.
    std::vector<running> running_;
    std::uint64_t last_job_ = 0;
    duration longest_wait_{};
    std::size_t sound_jobs_failed_ = 0;
    std::size_t starts_on_faulty_ = 0;
};

class failing_load_test : public testing::TestWithParam<failure_shares>
{
};

} // namespace

TEST_P(failing_load_test, accepted_jobs_start_in_time_while_many_jobs_fail)
{
    failing_load load(GetParam());
    load.simulate(seconds(15));
    EXPECT_EQ(load.unstarted(), 0U);
    EXPECT_LT(load.longest_wait(), max_wait);
}

TEST_P(failing_load_test, faulty_workers_do_not_fail_sound_jobs)
{
    failing_load load(GetParam());
    load.simulate(seconds(15));
    EXPECT_EQ(load.sound_jobs_failed(), 0U);
}

INSTANTIATE_TEST_SUITE_P(shares, failing_load_test,
                         testing::Values(failure_shares{60, 0}, failure_shares{90, 0},
                                         failure_shares{0, 2}, failure_shares{40, 2},
                                         failure_shares{60, 2}));

/// Share of the jobs that fail, and the most starts that may go to two of sixteen workers
/// on which all runs fail, of 600 jobs.
class faulty_worker_test
    : public testing::TestWithParam<std::pair<std::uint32_t, std::size_t>>
{
};

// Guards against faulty workers that hide behind jobs that fail everywhere.
TEST_P(faulty_worker_test, gets_few_starts)
{
    failing_load load({GetParam().first, 2});
    load.simulate(seconds(15));
    EXPECT_LE(load.starts_on_faulty(), GetParam().second);
}

INSTANTIATE_TEST_SUITE_P(shares, faulty_worker_test,
                         testing::Values(std::pair(0U, std::size_t{40}),
                                         std::pair(40U, std::size_t{60})));

// Guards against a task that loses its attempts on one faulty worker after another before
// any of them is quarantined.
TEST(quarantine_test, retry_goes_to_a_worker_without_failures)
{
    fleet workers(3);
    workers.add_queue("q", 0, 5, 10, seconds(60));
    workers.submit(fleet::job("a", "q", 1, 8));
    workers.submit(fleet::job("b", "q", 1, 8));
    const decisions first = workers.decide();
    ASSERT_EQ(first.starts.size(), 2U);
    workers.end_all(run_end::failed);
    workers.poll_all();
    const decisions second = workers.decide();
    ASSERT_EQ(second.starts.size(), 2U);
    for (const start_command& command : first.starts)
        EXPECT_NE(command.worker, second.starts[0].worker);
}

// Guards against gangs that lose their attempts on one faulty worker, by another member
// each time.
TEST(quarantine_test, gang_does_not_return_to_the_worker_on_which_a_member_failed)
{
    fleet workers(6);
    workers.add_queue("q", 0, 5, 10, seconds(60));
    job_spec gang = fleet::job("g", "q", 3, 8);
    gang.steps[0].gang = true;
    workers.submit(gang);
    const decisions first = workers.decide();
    ASSERT_EQ(first.starts.size(), 3U);
    const worker_id faulty = first.starts[0].worker;
    workers.end(first.starts[0].run, run_end::failed);
    workers.end(first.starts[1].run, run_end::broken);
    workers.end(first.starts[2].run, run_end::broken);
    workers.poll_all();
    workers.advance(tick);
    workers.poll_all();
    const decisions second = workers.decide();
    ASSERT_EQ(second.starts.size(), 3U);
    for (const start_command& command : second.starts)
        EXPECT_NE(command.worker, faulty);
}

// Guards against one job that no worker can parse and that takes one worker after another
// out of use.
TEST(quarantine_test, job_that_no_worker_accepts_does_not_stop_other_jobs)
{
    fleet workers(6);
    workers.add_queue("q", 0, 5, 10, seconds(60));
    workers.submit(fleet::job("odd", "q", 3, 1));
    for (int round = 0; round < 30; ++round)
    {
        workers.advance(tick);
        workers.poll_all();
        const std::string id = "sound" + std::to_string(round);
        workers.submit(fleet::job(id, "q", 1, 1));
        for (const start_command& command :
             workers.cell.decide(workers.clock.now()).starts)
            workers.deliver(command, command.run.task.job == job_key("odd")
                                         ? delivery::invalid
                                         : delivery::executed);
        EXPECT_EQ(workers.runs(id).size(), 1U) << "round " << round;
        workers.end_all(run_end::done);
    }
}

// Guards against sound workers that are left out for the failures of a lasting task.
TEST(quarantine_test, failures_of_lasting_tasks_do_not_count_against_workers)
{
    fleet workers(4);
    workers.add_queue("q", 0, 5, 10, seconds(60));
    for (const char* id : {"a", "b", "c"})
    {
        job_spec lasting = fleet::job(id, "q", 1, 1);
        lasting.steps[0].persistent = true;
        workers.submit(lasting);
    }
    for (int round = 0; round < 20; ++round)
    {
        workers.advance(tick);
        EXPECT_EQ(workers.decide().starts.size(), 3U) << "round " << round;
        workers.end_all(run_end::failed);
        workers.poll_all();
    }
    EXPECT_EQ(workers.metrics.counter("hawthornbeam_quarantines_total", {}), 0);
}

// Guards against a gang that no worker can parse and that is ordered without a pause.
TEST(quarantine_test, gang_that_no_worker_accepts_is_started_once_a_second)
{
    fleet workers(4);
    workers.add_queue("q", 0, 5, 10, seconds(60));
    job_spec gang = fleet::job("g", "q", 2, 1);
    gang.steps[0].gang = true;
    workers.submit(gang);
    std::size_t starts = 0;
    for (int round = 0; round < 30; ++round)
    {
        workers.advance(tick);
        workers.poll_all();
        starts += workers.decide(delivery::invalid).starts.size();
    }
    EXPECT_LE(starts, 6U);
}

// Guards against a task that never starts because all workers that could run it are
// quarantined.
TEST(quarantine_test, task_that_only_quarantined_workers_can_run_starts_in_time)
{
    fleet workers(8);
    workers.add_queue("q", 0, 100, 10, seconds(60));
    for (const char* name : {"w0", "w1"})
    {
        workers.info(name).labels = {"special"};
        workers.publish(name);
    }
    for (int job = 0; job < 12; ++job)
    {
        job_spec spec = fleet::job("f" + std::to_string(job), "q", 1, 1);
        spec.steps[0].label = "special";
        workers.submit(spec);
    }
    duration waited{};
    for (int round = 0; round < 60; ++round)
    {
        workers.advance(tick);
        workers.end_all(run_end::failed);
        workers.poll_all();
        waited = workers.decide().starts.empty() ? waited + tick : duration();
        ASSERT_LT(waited, max_wait);
    }
}

// Guards against a gang that never starts because one of its workers, which gets no other
// task, is left out after its quarantine.
TEST(quarantine_test, gang_that_needs_all_workers_starts_in_time)
{
    fleet workers(4);
    workers.add_queue("q", 0, 100, 10, seconds(60));
    const worker_id faulty("w0");
    for (int job = 0; job < 40; ++job)
    {
        workers.submit(fleet::job("j" + std::to_string(job), "q", 1, 8));
        const decisions decided = workers.decide();
        workers.advance(tick);
        for (const start_command& each : decided.starts)
            workers.end(each.run,
                        each.worker == faulty ? run_end::failed : run_end::done);
        workers.poll_all();
    }
    for (duration passed{}; passed < seconds(20); passed += tick)
    {
        workers.advance(tick);
        workers.end_all(run_end::done);
        workers.poll_all();
        workers.decide();
    }
    job_spec gang = fleet::job("g", "q", 4, 8);
    gang.steps[0].gang = true;
    workers.submit(gang);
    for (duration passed{}; passed < max_wait; passed += tick)
    {
        workers.decide();
        workers.advance(tick);
        workers.poll_all();
    }
    EXPECT_EQ(workers.runs("g").size(), 4U);
}

} // namespace hawthornbeam::cell
