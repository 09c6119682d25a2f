/// \file
/// Tests that the cost of a decision does not grow with the number of waiting steps.
#include "fleet.hpp"

#include <gtest/gtest.h>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Why the steps of a cell wait.
struct waiting_steps
{
    std::string name;
    bool gang = false;
    bool hosts_take_requests = true;
    bool cell_is_full = false;
};

void PrintTo(const waiting_steps& value, std::ostream* out)
{
    *out << value.name;
}

class decision_cost_test : public testing::TestWithParam<waiting_steps>
{
protected:
    decision_cost_test()
    {
        queue_policy busy;
        busy.name = queue_name("busy");
        busy.service = service_name("pool");
        queue_policy advised = busy;
        advised.name = queue_name("advised");
        advised.advice = advice_policy{milliseconds(100), milliseconds(1), seconds(2)};
        queue_policy background = advised;
        background.name = queue_name("background");
        background.priority = 1;
        cell.cell.configure({busy, advised, background});
        cell.cell.set_advice_hosts(hosts);
    }

    /// Decides and answers requests for advice, all of which permit no worker.
    void decide()
    {
        cell.advance(milliseconds(20));
        const decisions decided = cell.decide();
        for (const advice_command& command : decided.advice)
        {
            advice_result answer;
            answer.job = command.job;
            answer.step = command.step;
            answer.asked = command.workers;
            answer.answered = GetParam().hosts_take_requests;
            jobs_asked_about.insert(command.job);
            cell.cell.observe(answer, cell.clock.now());
        }
    }

    bool asked(const std::string& job) const
    {
        return jobs_asked_about.contains(job_key(job));
    }

    double comparisons() const
    {
        return cell.metrics.counter("hawthornbeam_step_comparisons_total", {});
    }

    static constexpr std::size_t workers = 100;
    static constexpr std::uint32_t hosts = 30;
    static constexpr int jobs = 400;
    static constexpr int decisions_counted = 50;
    static constexpr double max_comparisons = jobs / 10.0;

    fleet cell{workers};
    std::set<job_key> jobs_asked_about;
};

TEST_P(decision_cost_test, waiting_steps_do_not_use_up_the_time_of_the_owner)
{
    if (GetParam().cell_is_full)
    {
        cell.submit(fleet::job("busy", "busy", workers, 8, seconds(1000)));
        cell.decide();
        cell.poll_all();
    }
    for (int number = 0; number < jobs; ++number)
    {
        job_spec spec = fleet::job("j" + std::to_string(number), "advised", 2, 8);
        spec.steps[0].gang = GetParam().gang;
        cell.submit(spec);
    }
    cell.poll_all();
    decide();
    const double before = comparisons();
    for (int decision = 0; decision < decisions_counted; ++decision)
        decide();
    EXPECT_LE((comparisons() - before) / decisions_counted, max_comparisons);
    EXPECT_GT(comparisons(), before);
}

TEST_P(decision_cost_test, steps_before_it_do_not_keep_a_step_from_asking_for_advice)
{
    for (int number = 0; number < jobs; ++number)
    {
        job_spec spec = fleet::job("j" + std::to_string(number), "advised", 2, 8);
        spec.steps[0].gang = GetParam().gang;
        cell.submit(spec);
    }
    cell.submit(fleet::job("last", "background", 2, 1));
    cell.poll_all();
    for (int decision = 0; decision < decisions_counted && !asked("last"); ++decision)
        decide();
    EXPECT_TRUE(asked("last"));
}

// Guards against decisions that outlast the claim of the owner because they look for room
// for each member of gangs that can never fit.
TEST(hopeless_gang_test, is_not_compared_member_by_member)
{
    constexpr std::uint32_t members = 100'000;
    fleet cell(12);
    cell.add_queue("q", 0);
    for (int gang = 0; gang < 5; ++gang)
    {
        job_spec spec = fleet::job("g" + std::to_string(gang), "q", members, 1);
        spec.steps[0].size.processors = millicores(1);
        spec.steps[0].gang = true;
        cell.submit(spec);
    }
    cell.submit(fleet::job("ordinary", "q", 1, 1));
    const double before = cell.metrics.counter("hawthornbeam_step_comparisons_total", {});
    const decisions decided = cell.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_EQ(decided.starts[0].run.task.job, job_key("ordinary"));
    EXPECT_LE(cell.metrics.counter("hawthornbeam_step_comparisons_total", {}) - before,
              10);
}

INSTANTIATE_TEST_SUITE_P(
    kinds, decision_cost_test,
    testing::Values(waiting_steps{"tasks_that_no_worker_may_run"},
                    waiting_steps{"tasks_in_a_full_cell", false, true, true},
                    waiting_steps{"tasks_whose_requests_no_host_takes", false, false},
                    waiting_steps{"gangs_that_no_worker_may_run", true},
                    waiting_steps{"gangs_in_a_full_cell", true, true, true},
                    waiting_steps{"gangs_whose_requests_no_host_takes", true, false}),
    [](const testing::TestParamInfo<waiting_steps>& each) { return each.param.name; });

} // namespace

} // namespace hawthornbeam::cell
