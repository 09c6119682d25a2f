/// \file
/// Tests of total_counters and of the resource usage of the process.
#include "hawthornbeam/metrics/totals.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{

namespace
{

struct follow_case
{
    const char* name;
    std::vector<double> totals; ///< Values at successive updates.
    double expected;
};

class follow_test : public testing::TestWithParam<follow_case>
{
};

// Guards against counting a total again at each update, and against a counter that
// decreases or that counts the same increase twice after its total has decreased.
TEST_P(follow_test, counter_equals_highest_total)
{
    metrics_registry metrics;
    total_counters counters(metrics);
    double total = 0;
    counters.follow("calls_total", {{"cause", "table"}}, [&total] { return total; });
    for (const double value : GetParam().totals)
    {
        total = value;
        counters.update();
    }
    EXPECT_EQ(metrics.counter("calls_total", {{"cause", "table"}}), GetParam().expected);
    // A scraper sees the first increase only if the counter existed before.
    EXPECT_EQ(metrics.label_sets("calls_total").size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(totals, follow_test,
                         testing::Values(follow_case{"never_updated", {}, 0},
                                         follow_case{"grows", {3, 3, 10}, 10},
                                         follow_case{"falls", {5, 2, 4, 6}, 6}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against a wrong field of statm or a wrong unit: this program occupies more than
// one page and less than a gigabyte, and its processor time does not decrease.
TEST(process_usage_test, process_usage_is_plausible)
{
    const process_usage before = read_process_usage();
    const process_usage after = read_process_usage();
    EXPECT_GE(after.cpu_seconds, before.cpu_seconds);
    EXPECT_GT(after.resident_bytes, std::uint64_t{1} << 16U);
    EXPECT_LT(after.resident_bytes, std::uint64_t{1} << 30U);
}

} // namespace

} // namespace hawthornbeam
