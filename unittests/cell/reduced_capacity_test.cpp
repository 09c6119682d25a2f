/// \file
/// Tests placement on workers whose capacity shrinks below what runs on them.
#include "fleet.hpp"
#include "lib/cell/cell_state.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::seconds;

struct fit_case
{
    const char* name;
    resources size;
    resources free_capacity;
    std::int64_t expected;
};

resources amounts(std::int64_t cores, std::int64_t bytes)
{
    return resources{millicores(cores * 1000), byte_count(bytes), accelerator_count()};
}

class tasks_that_fit_test : public testing::TestWithParam<fit_case>
{
};

// Guards against free capacity below zero that is taken for room.
TEST_P(tasks_that_fit_test, overused_worker_has_no_room)
{
    EXPECT_EQ(tasks_that_fit(GetParam().size, GetParam().free_capacity),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    workers, tasks_that_fit_test,
    testing::Values(
        fit_case{"free", amounts(2, 1), amounts(5, 10), 2},
        fit_case{"processors_overused", amounts(2, 1), amounts(-3, 10), 0},
        fit_case{"unused_resource_overused", amounts(2, 0), amounts(5, -1), 0},
        fit_case{"nothing_needed_but_overused", amounts(0, 0), amounts(-1, 0), 0}),
    [](const testing::TestParamInfo<fit_case>& each) { return each.param.name; });

// Guards against starts that bring a worker over its reduced capacity.
TEST(reduced_capacity_test, worker_gets_starts_again_only_when_they_fit)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 1, 4, seconds(10)));
    ASSERT_EQ(workers.decide().starts.size(), 1U);
    workers.info("w0").capacity.processors = millicores(3000);
    workers.publish("w0");
    workers.submit(fleet::job("b", "q", 1, 1));
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.info("w0").capacity.processors = millicores(5000);
    workers.publish("w0");
    EXPECT_EQ(workers.decide().starts.size(), 1U);
}

// Guards against a gang that keeps a plan on capacity that is gone.
TEST(reduced_capacity_test, gang_is_planned_on_another_worker)
{
    fleet workers(2);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("a", "q", 2, 8, seconds(10)));
    ASSERT_EQ(workers.decide().starts.size(), 2U);
    job_spec gang = fleet::job("g", "q", 2, 4);
    gang.steps[0].gang = true;
    workers.submit(gang);
    EXPECT_TRUE(workers.decide().starts.empty());
    workers.info("w0").capacity.processors = millicores(2000);
    workers.publish("w0");
    workers.end_all(run_end::done);
    workers.poll_all();
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 2U);
    for (const start_command& each : decided.starts)
        EXPECT_EQ(each.worker, worker_id("w1"));
}

} // namespace

} // namespace hawthornbeam::cell
