/// \file
/// Tests of metrics, their Prometheus output and the merging of snapshots.
#include "hawthornbeam/metrics/metrics.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hawthornbeam
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against text that Prometheus cannot parse: missing types, label values that are
// not escaped, buckets that are not cumulative.
TEST(metrics_test, prometheus_text_is_well_formed)
{
    metrics_registry metrics;
    metrics.describe("a_total", "Lines\nand \\ signs");
    metrics.add("a_total", {{"row", "p\"1\\\n"}}, 2);
    metrics.set_gauge("b", {}, 0.5);
    metrics.observe("c_seconds", {{"row", "r"}}, milliseconds(2));
    metrics.observe("c_seconds", {{"row", "r"}}, seconds(2000));
    const std::string text = metrics.prometheus_text();
    EXPECT_TRUE(text.starts_with("# HELP a_total Lines\\nand \\\\ signs\n"
                                 "# TYPE a_total counter\n"
                                 "a_total{row=\"p\\\"1\\\\\\n\"} 2\n"
                                 "# TYPE b gauge\nb 0.5\n"
                                 "# TYPE c_seconds histogram\n"
                                 "c_seconds_bucket{row=\"r\",le=\"0.0001\"} 0\n"))
        << text;
    EXPECT_TRUE(text.ends_with("c_seconds_bucket{row=\"r\",le=\"1000\"} 1\n"
                               "c_seconds_bucket{row=\"r\",le=\"+Inf\"} 2\n"
                               "c_seconds_sum{row=\"r\"} 2000.002\n"
                               "c_seconds_count{row=\"r\"} 2\n"))
        << text;
}

// Guards against series that are lost or changed when snapshots of instances are merged.
TEST(metrics_test, merge_adds_counters_gauges_and_histograms)
{
    metrics_registry one;
    one.add("a_total", {{"row", "tab\t, line\n, back\\slash"}}, 1.5);
    one.set_gauge("b", {{"row", ""}}, 0.25);
    for (const int ms : {0, 1, 100, 2000000})
        one.observe("c_seconds", {}, milliseconds(ms));
    metrics_registry both;
    ASSERT_TRUE(both.merge(one.snapshot()).has_value());
    EXPECT_EQ(both.snapshot(), one.snapshot());
    ASSERT_TRUE(both.merge(one.snapshot()).has_value());
    EXPECT_EQ(both.counter("a_total", {{"row", "tab\t, line\n, back\\slash"}}), 3);
    EXPECT_EQ(both.counter("b", {{"row", ""}}), 0.5);
    EXPECT_EQ(both.fraction_above("c_seconds", {}, seconds(10)), 0.25);
}

// Guards against merging a part of a damaged snapshot, whichever byte is damaged.
RC_GTEST_PROP(metrics_property_test, damaged_snapshot_does_not_change_registry, ())
{
    metrics_registry source;
    source.add("a_total", {{"row", "x"}}, 7);
    source.observe("c_seconds", {{"row", "x"}}, milliseconds(5));
    std::string text = source.snapshot();
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
    if (*rc::gen::arbitrary<bool>())
        text.resize(at);
    else
        text[at] = *rc::gen::arbitrary<char>();
    metrics_registry target;
    target.add("a_total", {{"row", "x"}}, 1);
    const std::string before = target.snapshot();
    if (!target.merge(text).has_value())
        RC_ASSERT(target.snapshot() == before);
}

struct malformed_case
{
    const char* name;
    std::string text;
    const char* message;
};

class malformed_snapshot_test : public testing::TestWithParam<malformed_case>
{
};

const std::string header = "hawthornbeam-metrics 1 140\n";

// Guards against malformed snapshots that are accepted or rejected without a clear error.
TEST_P(malformed_snapshot_test, malformed_snapshot_is_rejected_with_clear_error)
{
    metrics_registry metrics;
    metrics.set_gauge("g", {}, 1);
    const std::string before = metrics.snapshot();
    const result<bool> merged = metrics.merge(GetParam().text);
    ASSERT_FALSE(merged.has_value());
    EXPECT_NE(merged.error().message.find(GetParam().message), std::string::npos)
        << merged.error().message;
    EXPECT_EQ(metrics.snapshot(), before);
}

INSTANTIATE_TEST_SUITE_P(
    malformed, malformed_snapshot_test,
    testing::Values(
        malformed_case{"empty", "", "line 1: the header"},
        malformed_case{"other_bins", "hawthornbeam-metrics 1 70\nend 0\n", "header"},
        malformed_case{"cut_off", header + "c\ta\t1\n",
                       "line 3: the last line is missing"},
        malformed_case{"count", header + "c\ta\t1\nend 2\n", "line 3: the number"},
        malformed_case{"later_line", header + "c\ta\t1\nx\ta\t1\nend 2\n",
                       "line 3: the kind"},
        malformed_case{"negative", header + "c\ta\t-1\nend 1\n", "negative"},
        malformed_case{"nan", header + "g\ta\tnan\nend 1\n", "finite"},
        malformed_case{"bin", header + "h\ta\t1\t141:1\nend 1\n", "bin index"},
        malformed_case{"bin_order", header + "h\ta\t1\t3:1,3:1\nend 1\n", "bin index"},
        malformed_case{"bin_count", header + "h\ta\t1\t3:-1\nend 1\n", "INDEX:COUNT"},
        malformed_case{"label", header + "c\ta\t1\tle\tx\nend 1\n", "label name"},
        malformed_case{"kind", header + "c\tb\t1\nc\tg\t1\nend 2\n", "g is a counter"},
        malformed_case{"two_kinds", header + "c\tb\t1\ng\tb\t1\nend 2\n",
                       "b is a gauge"}),
    [](const testing::TestParamInfo<malformed_case>& info) { return info.param.name; });

// Guards against quantiles and fractions that are off by more than one bin (12%).
TEST(metrics_test, quantile_and_fraction_are_accurate_to_one_bin)
{
    metrics_registry metrics;
    for (int i = 1; i <= 1000; ++i)
        metrics.observe("c_seconds", {}, milliseconds(i));
    EXPECT_NEAR(metrics.quantile("c_seconds", {}, 0.5).count(), 0.5e9, 0.03e9);
    EXPECT_NEAR(metrics.quantile("c_seconds", {}, 0.99).count(), 0.99e9, 0.06e9);
    EXPECT_EQ(metrics.fraction_above("c_seconds", {}, seconds(1)), 0.001);
    EXPECT_EQ(metrics.fraction_above("c_seconds", {}, seconds(2)), 0);
    EXPECT_EQ(metrics.quantile("none_seconds", {}, 0.5), duration::zero());
}

// Guards against unbounded memory growth when label values never repeat.
TEST(metrics_test, label_sets_are_bounded)
{
    metrics_registry metrics;
    for (int i = 0; i < 5000; ++i)
        metrics.add("a_total", {{"row", std::to_string(i)}});
    EXPECT_EQ(metrics.label_sets("a_total").size(), 4097U);
    EXPECT_EQ(metrics.counter("a_total", {{"row", "other"}}), 5000 - 4096);
}

} // namespace
} // namespace hawthornbeam
