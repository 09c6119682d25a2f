/// \file
/// Tests forecasts of free capacity and the plans of gangs that rest on them.
#include "lib/cell/gang_plan.hpp"

#include "fleet.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr boot_time start{seconds(100)};

resources cores(std::int64_t count)
{
    return resources{millicores(count * 1000), byte_count(), accelerator_count()};
}

/// A worker with \p free cores now; its runs release capacity as listed.
capacity_forecast forecast(std::int64_t free,
                           const std::vector<std::pair<duration, std::int64_t>>& releases)
{
    capacity_forecast made(start, cores(free));
    for (const auto& [after, released] : releases)
        made.release(start + after, cores(released));
    return made;
}

} // namespace

TEST(capacity_forecast_test, capacity_is_free_from_the_last_time_at_which_it_is_taken)
{
    capacity_forecast worker = forecast(2, {{seconds(1), 4}, {seconds(3), 2}});
    EXPECT_EQ(worker.free_from(cores(2)), start);
    EXPECT_EQ(worker.free_from(cores(6)), start + seconds(1));
    EXPECT_EQ(worker.free_from(cores(8)), start + seconds(3));
    EXPECT_EQ(worker.free_from(cores(9)), std::nullopt);
    worker.hold(start + seconds(2), cores(4));
    EXPECT_EQ(worker.free_from(cores(4)), start + seconds(3));
}

TEST(capacity_forecast_test, task_fits_only_if_it_ends_before_the_held_capacity_is_taken)
{
    capacity_forecast worker = forecast(4, {});
    worker.hold(start + seconds(2), cores(4));
    EXPECT_TRUE(worker.fits(cores(4), start + seconds(2)));
    EXPECT_FALSE(worker.fits(cores(1), start + seconds(2) + milliseconds(1)));
    EXPECT_FALSE(worker.fits(cores(5), start + seconds(1)));
}

TEST(capacity_forecast_test, times_in_the_past_count_as_now)
{
    capacity_forecast worker = forecast(0, {{-seconds(1), 4}});
    EXPECT_TRUE(worker.fits(cores(4), start + seconds(1)));
    worker.hold(start - seconds(1), cores(4));
    EXPECT_FALSE(worker.fits(cores(1), start + milliseconds(1)));
}

TEST(capacity_forecast_test, least_free_capacity_ends_at_the_given_time)
{
    capacity_forecast worker = forecast(4, {{seconds(1), 4}});
    worker.hold(start + seconds(2), cores(6));
    EXPECT_EQ(worker.least_free(start), cores(4));
    EXPECT_EQ(worker.least_free(start + seconds(2)), cores(4));
    EXPECT_EQ(worker.least_free(start + seconds(3)), cores(2));
}

TEST(gang_plan_test, members_go_to_the_workers_that_are_free_first)
{
    const capacity_forecast early = forecast(0, {{seconds(1), 8}});
    const capacity_forecast late = forecast(4, {{seconds(5), 4}});
    const std::optional<gang_plan> plan = plan_gang(
        cores(4), 3, {{worker_id("early"), &early, 9}, {worker_id("late"), &late, 9}});
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->starts_at, start + seconds(1));
    EXPECT_EQ(plan->members.at(worker_id("early")), 2U);
    EXPECT_EQ(plan->members.at(worker_id("late")), 1U);
}

// Guards against a start that is planned for now on a worker that takes none yet.
TEST(gang_plan_test, member_starts_only_when_its_worker_takes_starts)
{
    const capacity_forecast worker = forecast(8, {});
    const boot_time later = start + seconds(2);
    const std::optional<gang_plan> plan =
        plan_gang(cores(8), 1, {{worker_id("w"), &worker, 1, later}});
    ASSERT_TRUE(plan);
    EXPECT_EQ(plan->starts_at, later);
}

TEST(gang_plan_test, limit_of_members_on_a_worker_is_kept)
{
    const capacity_forecast worker = forecast(8, {});
    EXPECT_TRUE(plan_gang(cores(1), 2, {{worker_id("w"), &worker, 2}}));
    EXPECT_FALSE(plan_gang(cores(1), 3, {{worker_id("w"), &worker, 2}}));
}

/// A cell of four workers of eight cores with a gang that waits for long runs on one.
class waiting_gang_test : public testing::Test
{
protected:
    waiting_gang_test()
    {
        workers.add_queue("gangs", 1, 3, 2, seconds(60));
        workers.add_queue("small", 2, 3, 2, seconds(60));
        workers.submit(fleet::job("running", "gangs", 1, 8, seconds(4)));
        workers.decide();
        job_spec gang = fleet::job("g", "gangs", 4, 8);
        gang.steps[0].gang = true;
        workers.advance(milliseconds(1));
        workers.submit(gang);
    }
    std::size_t starts_of_small_task(duration run_time)
    {
        workers.submit(fleet::job("small", "small", 1, 8, run_time));
        return workers.decide().starts.size();
    }

    fleet workers{4};
};

// Guards against workers that are idle while a gang waits for others.
TEST_F(waiting_gang_test, short_task_runs_on_capacity_that_the_gang_does_not_need_yet)
{
    EXPECT_EQ(starts_of_small_task(seconds(1)), 1U);
}

TEST_F(waiting_gang_test, long_task_does_not_delay_the_gang)
{
    EXPECT_EQ(starts_of_small_task(seconds(3)), 0U);
}

// Guards against a start that is put off by one short task after the other.
TEST_F(waiting_gang_test, no_task_passes_after_the_planned_start_was_missed)
{
    workers.decide();
    workers.advance(seconds(5));
    workers.poll_all();
    EXPECT_EQ(starts_of_small_task(milliseconds(10)), 0U);
}

} // namespace hawthornbeam::cell
