/// \file
/// Tests which workers are quarantined after failed runs.
#include "lib/cell/outlier_detector.hpp"

#include <gtest/gtest.h>
#include <sstream>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Ends of runs in the form "worker:job+" for success and "worker:job-" for failure, with
/// ".task" behind the job unless it is its first task, and the workers that are
/// quarantined afterwards.
struct ends_case
{
    std::string name;
    std::string ends;
    std::set<std::string> quarantined;
};

/// Workers whose ends a test lists, each with \p workers sound ones beside them.
class recorded_ends
{
public:
    explicit recorded_ends(std::size_t workers) { detector_.set_workers(workers); }

    void record(const std::string& ends)
    {
        std::istringstream words(ends);
        for (std::string word; words >> word;)
        {
            const std::size_t colon = word.find(':');
            const worker_id worker(word.substr(0, colon));
            const std::string name = word.substr(colon + 1, word.size() - colon - 2);
            const std::size_t dot = std::min(name.find('.'), name.size());
            const std::uint32_t index =
                dot < name.size()
                    ? static_cast<std::uint32_t>(std::stoul(name.substr(dot + 1)))
                    : 0;
            const task_ref task{job_key(name.substr(0, dot)), 0, index};
            apply(word.back() == '+' ? detector_.record_success(worker, task, now_)
                                     : detector_.record_failure(worker, task, now_));
        }
    }
    void advance(duration time) { now_ += time; }

    std::set<std::string> quarantined() const
    {
        std::set<std::string> found;
        for (const auto& [worker, until] : until_)
            if (until > now_)
                found.insert(worker.value());
        return found;
    }
    duration remaining(const std::string& worker) const
    {
        return until_.at(worker_id(worker)) - now_;
    }

private:
    void apply(const std::vector<quarantine_change>& changes)
    {
        for (const quarantine_change& each : changes)
            until_[each.worker] = each.until;
    }

    outlier_detector detector_;
    boot_time now_{seconds(100)};
    std::map<worker_id, boot_time> until_;
};

class outlier_test : public testing::TestWithParam<ends_case>
{
};

TEST_P(outlier_test, quarantines_workers_that_fail_more_than_the_others)
{
    recorded_ends ends(10);
    ends.record(GetParam().ends);
    EXPECT_EQ(ends.quarantined(), GetParam().quarantined);
}

INSTANTIATE_TEST_SUITE_P(
    ends, outlier_test,
    testing::Values(
        ends_case{"fails_three_jobs", "a:1- a:2- a:3-", {"a"}},
        ends_case{"two_failures", "a:1- a:2-", {}},
        ends_case{"one_job", "a:1- a:1- a:1- a:1-", {}},
        ends_case{"mostly_succeeds", "a:1+ a:2+ a:3+ a:4+ a:5- a:6- a:7-", {}},
        ends_case{
            "others_fail_as_well", "b:1- c:2- d:3- b:4- c:5- d:6- a:7- a:8- a:9-", {}},
        ends_case{
            "jobs_fail_elsewhere_too", "a:1- b:1- a:2- c:2- a:3- b:3- a:4- c:4-", {}},
        ends_case{"jobs_succeed_elsewhere",
                  "b:7- c:8- b:9- c:10- a:1- a:2- a:3- b:1+ c:2+ b:3+",
                  {"a"}},
        ends_case{"fails_a_wide_job_after_others",
                  "a:1- a:2- a:3- a:4- a:4.1- a:4.2- a:4.3- a:4.4- a:4.5- a:4.6- a:4.7-",
                  {"a"}},
        ends_case{"tasks_fail_once_on_all_workers",
                  "a:1- b:1+ b:2- c:2+ c:3- a:3+ a:4- b:4+ b:5- c:5+ c:6- a:6+ "
                  "a:7- b:7+ b:8- c:8+ c:9- a:9+ a:10- b:10+",
                  {}},
        ends_case{"failures_are_old",
                  "a:1- a:2- a:3+ a:4+ a:5+ a:6+ a:7+ a:8+ a:9+ a:10- a:11-",
                  {}},
        ends_case{"succeeds_there_later", "a:1- a:2- a:1+ a:2+ a:3- a:4+ a:5-", {}},
        ends_case{"fails_on_two_and_succeeds_on_a_third",
                  "e:0+ e:00+ e:01+ e:02+ a:1- b:1- a:2- b:2- a:3- b:3- c:1+ d:2+ c:3+",
                  {"a", "b"}}),
    [](const testing::TestParamInfo<ends_case>& info) { return info.param.name; });

// Guards against workers that stay out of use for failures of jobs.
TEST(quarantine_end_test, is_lifted_when_the_tasks_fail_elsewhere)
{
    recorded_ends ends(10);
    ends.record("a:1- a:2- a:3-");
    ASSERT_EQ(ends.quarantined(), std::set<std::string>{"a"});
    ends.record("b:1- c:2-");
    EXPECT_TRUE(ends.quarantined().empty());
}

TEST(quarantine_end_test, failures_before_a_quarantine_do_not_count_after_it)
{
    recorded_ends ends(10);
    ends.record("a:1- a:2- a:3-");
    ends.advance(milliseconds(2100));
    ends.record("a:4+ a:5-");
    EXPECT_TRUE(ends.quarantined().empty());
    ends.record("a:6-");
    EXPECT_EQ(ends.quarantined(), std::set<std::string>{"a"});
    EXPECT_EQ(ends.remaining("a"), seconds(4));
}

TEST(quarantine_end_test, probation_ends_with_successes)
{
    recorded_ends ends(10);
    ends.record("a:1- a:2- a:3-");
    ends.advance(milliseconds(2100));
    ends.record("a:4+ a:5+ a:6+ a:7- a:8-");
    EXPECT_TRUE(ends.quarantined().empty());
}

// Guards against a worker that never gets rid of its probation since it gets no runs.
TEST(quarantine_end_test, probation_ends_without_runs)
{
    outlier_detector detector;
    const boot_time start{seconds(100)};
    detector.set_workers(10);
    for (const char* job : {"1", "2", "3"})
        detector.record_failure(worker_id("a"), task_ref{job_key(job), 0, 0}, start);
    EXPECT_TRUE(detector.is_on_probation(worker_id("a"), start + milliseconds(2100)));
    EXPECT_FALSE(detector.is_on_probation(worker_id("a"), start + milliseconds(6100)));
}

// Guards against quarantines that stay long for ever after a few faults.
TEST(quarantine_end_test, becomes_short_again_after_successful_runs)
{
    recorded_ends ends(10);
    ends.record("a:1- a:2- a:3-");
    ends.advance(milliseconds(2100));
    ends.record("a:4+ a:5+ a:6+ a:7+ a:8+ a:9+ a:10+ a:11+");
    ends.record("a:12- a:13- a:14- a:15-");
    ASSERT_EQ(ends.quarantined(), std::set<std::string>{"a"});
    EXPECT_EQ(ends.remaining("a"), seconds(2));
}

// Guards against a cell without workers because of their failures.
TEST(quarantine_end_test, never_more_than_half_of_the_workers)
{
    recorded_ends ends(4);
    for (const char* worker : {"a", "b", "c", "d"})
    {
        const std::string name(worker);
        for (int job = 0; job < 3; ++job)
            ends.record(name + ":" + name + std::to_string(job) + "- x:" + name +
                        std::to_string(job) + "+");
    }
    EXPECT_EQ(ends.quarantined().size(), 2U);
}

} // namespace

} // namespace hawthornbeam::cell
