/// \file
/// Tests the measurement of the time that decisions take.
#include "lib/cell/decision_pacer.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;

constexpr boot_time start = boot_time(std::chrono::seconds(1000));

TEST(decision_pacer_test, reports_the_share_of_each_second_that_decisions_take)
{
    decision_pacer pacer;
    std::optional<decision_load> load;
    int decisions = 0;
    for (boot_time now = start; !load; now += milliseconds(50), ++decisions)
        load = pacer.record(now, now + milliseconds(now == start ? 30 : 10));
    EXPECT_EQ(load->decisions, static_cast<std::uint32_t>(decisions));
    EXPECT_EQ(load->longest, milliseconds(30));
    EXPECT_NEAR(static_cast<double>(load->busy_percent()), 22, 2);
}

} // namespace

} // namespace hawthornbeam::cell
