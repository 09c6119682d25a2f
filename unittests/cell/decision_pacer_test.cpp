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

/// A decision and the pause that has to follow it.
struct timed_decision
{
    const char* name;
    milliseconds took;
    milliseconds pause;
};

void PrintTo(const timed_decision& value, std::ostream* out)
{
    *out << value.name;
}

class decision_pause_test : public testing::TestWithParam<timed_decision>
{
};

TEST_P(decision_pause_test, slow_decisions_leave_time_for_other_work)
{
    decision_pacer pacer;
    EXPECT_LE(pacer.not_before(), start);
    const boot_time end = start + GetParam().took;
    pacer.record(start, end);
    EXPECT_EQ(pacer.not_before() - end, GetParam().pause);
}

INSTANTIATE_TEST_SUITE_P(
    decisions, decision_pause_test,
    testing::Values(timed_decision{"instant", milliseconds(0), milliseconds(0)},
                    timed_decision{"slow", milliseconds(80), milliseconds(80)},
                    timed_decision{"suspended", milliseconds(5000), milliseconds(200)}),
    [](const testing::TestParamInfo<timed_decision>& each)
    { return std::string(each.param.name); });

} // namespace

} // namespace hawthornbeam::cell
