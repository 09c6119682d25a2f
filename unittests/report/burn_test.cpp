/// \file
/// Tests of burn rates, error budgets and likely causes, and golden file tests of the
/// rendered reports. To update the golden files, run
/// `HAWTHORNBEAM_UPDATE_GOLDEN=1 build/unittests/report_tests`.
#include "hawthornbeam/metrics/metrics.hpp"
#include "hawthornbeam/report/burn.hpp"

#include <cstdlib>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <sstream>

namespace hawthornbeam
{
namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const wall_time start(std::chrono::milliseconds(1800000000000));

row_objectives make_row(const char* name)
{
    row_objectives row;
    row.row = row_id(name);
    row.wait_limit = seconds(1);
    row.wait_target = 0.99;
    row.refused_most = 0.01;
    row.share_target = 0.9;
    return row;
}

/// Events and gauge values of a cluster in one step of five minutes.
struct step
{
    int good = 100;
    int late = 0;
    int queue_full = 0;
    int kv_unavailable = 0;
    int failed = 0;
    double share = 0.3;
    double waiting = 0;
    double free = 0.4;
    double kv_reachable = 1;
    double quarantined = 0;
};

void apply(metrics_registry& metrics, const step& now, const std::string& row)
{
    const std::pair<std::string, std::string> label{"row", row};
    for (int i = 0; i < now.good; ++i)
        metrics.observe("hawthornbeam_wait_seconds", {label}, milliseconds(20));
    for (int i = 0; i < now.late; ++i)
        metrics.observe("hawthornbeam_wait_seconds", {label}, seconds(5));
    metrics.add("hawthornbeam_tasks_total", {label, {"outcome", "done"}}, now.good);
    metrics.add("hawthornbeam_tasks_total", {label, {"outcome", "failed"}}, now.failed);
    metrics.add("hawthornbeam_refusals_total", {label, {"reason", "queue_full"}},
                now.queue_full);
    metrics.add("hawthornbeam_refusals_total", {label, {"reason", "kv_unavailable"}},
                now.kv_unavailable);
    metrics.set_gauge("hawthornbeam_row_share", {label}, now.share);
    metrics.set_gauge("hawthornbeam_row_guaranteed", {label}, 0.3);
    metrics.set_gauge("hawthornbeam_row_waiting", {label}, now.waiting);
    metrics.set_gauge("hawthornbeam_capacity_free_fraction", {}, now.free);
    metrics.set_gauge("hawthornbeam_kv_reachable", {}, now.kv_reachable);
    metrics.set_gauge("hawthornbeam_workers", {{"state", "schedulable"}},
                      50 - now.quarantined);
    metrics.set_gauge("hawthornbeam_workers", {{"state", "quarantined"}},
                      now.quarantined);
}

/// Returns the report after one sample every five minutes of one instance for \p length.
burn_report simulate(duration length, const std::function<step(wall_time)>& behaviour)
{
    burn_calculator calculator({hours(24 * 30), {make_row("p/k")}});
    metrics_registry metrics;
    for (duration at{}; at <= length; at += minutes(5))
    {
        const wall_time now = start + std::chrono::duration_cast<milliseconds>(at);
        apply(metrics, behaviour(now), "p/k");
        EXPECT_TRUE(calculator.add({now, instance_id("i"), metrics.snapshot()}));
    }
    return calculator.report();
}

const objective_burn& objective(const burn_report& report, objective_kind kind)
{
    return report.rows.at(0).objectives.at(static_cast<std::size_t>(kind));
}

// Guards against wrong rates and budgets: 10% late starts with 1% allowed is a burn rate
// of 10, and six hours at this rate use 10 * 6 h / 30 d of the budget.
TEST(burn_test, steady_fault_has_expected_rates_and_budget)
{
    const burn_report report = simulate(hours(6), [](wall_time) { return step{90, 10}; });
    const objective_burn& burn = objective(report, objective_kind::wait);
    EXPECT_NEAR(burn.windows[0].long_rate, 10, 1e-3);
    EXPECT_NEAR(burn.windows[0].short_rate, 10, 1e-3);
    EXPECT_NEAR(burn.windows[0].threshold, 14.4, 1e-9);
    EXPECT_FALSE(burn.windows[0].too_fast);
    EXPECT_TRUE(burn.windows[1].too_fast);
    EXPECT_TRUE(burn.windows[2].too_fast);
    EXPECT_FALSE(burn.windows[2].covered);
    EXPECT_NEAR(burn.budget_left, 1 - 10.0 * 6 / 720, 1e-3);
    EXPECT_NEAR(burn.events, 7200, 1);
}

// Guards against an alarm that continues after the fault has ended because the long
// window still contains it.
TEST(burn_test, alarm_ends_when_short_window_recovers)
{
    const burn_report report =
        simulate(hours(3),
                 [](wall_time now) {
                     return now < start + hours(2) + minutes(45) ? step{50, 50} : step{};
                 });
    const objective_burn& burn = objective(report, objective_kind::wait);
    EXPECT_GT(burn.windows[0].long_rate, burn.windows[0].threshold);
    EXPECT_LT(burn.windows[0].short_rate, 0.1);
    EXPECT_FALSE(burn.windows[0].too_fast);
}

// Guards against negative increases and events counted twice when an instance restarts
// and its counters start from zero.
TEST(burn_test, restarted_counters_count_each_event_once)
{
    burn_calculator calculator({hours(24 * 30), {make_row("p/k")}});
    for (int i = 0; i <= 4; ++i)
    {
        metrics_registry metrics;
        apply(metrics, step{i < 3 ? 100 * (i + 1) : 40 * (i - 2)}, "p/k");
        ASSERT_TRUE(calculator.add(
            {start + minutes(5 * i), instance_id("i"), metrics.snapshot()}));
    }
    EXPECT_NEAR(objective(calculator.report(), objective_kind::wait).events, 280, 0.01);
}

// Guards against a lower computed share when one sample of one instance is missing.
TEST(burn_test, missing_sample_does_not_lower_share)
{
    burn_calculator calculator({hours(24 * 30), {make_row("p/k")}});
    metrics_registry metrics;
    step busy;
    busy.waiting = 5;
    apply(metrics, busy, "p/k");
    for (int i = 0; i < 24; ++i)
        for (const char* name : {"a", "b"})
        {
            if (i == 10 && *name == 'b')
                continue;
            ASSERT_TRUE(calculator.add(
                {start + minutes(5 * i), instance_id(name), metrics.snapshot()}));
        }
    const burn_report report = calculator.report();
    EXPECT_EQ(objective(report, objective_kind::share).bad, 0);
    EXPECT_EQ(objective(report, objective_kind::share).events, 24);
}

// Guards against counting a repeated sample, a sample with a faulty time or a malformed
// snapshot.
TEST(burn_test, rejects_repeated_distant_and_malformed_samples)
{
    burn_calculator calculator({hours(24 * 30), {make_row("p/k")}});
    const std::string empty = metrics_registry().snapshot();
    EXPECT_TRUE(calculator.add({start, instance_id("i"), empty}));
    EXPECT_FALSE(calculator.add({start, instance_id("i"), empty}));
    EXPECT_FALSE(calculator.add({start + hours(24 * 500), instance_id("j"), empty}));
    EXPECT_FALSE(calculator.add({start + minutes(5), instance_id("i"), "x"}));
    EXPECT_EQ(calculator.report().samples, 1U);
}

struct cause_case
{
    const char* name;
    step behaviour;
    const char* cause;
};

class cause_test : public testing::TestWithParam<cause_case>
{
};

// Guards against a wrong likely cause at the head of the list, which would mislead the
// operator.
TEST_P(cause_test, likely_cause_is_named_first)
{
    const burn_report report =
        simulate(hours(2), [](wall_time) { return GetParam().behaviour; });
    ASSERT_TRUE(report.rows[0].too_fast());
    ASSERT_FALSE(report.rows[0].causes.empty());
    EXPECT_EQ(report.rows[0].causes[0].name, GetParam().cause);
}

//                 good late full kv failed share waiting free reachable quarantined
INSTANTIATE_TEST_SUITE_P(
    causes, cause_test,
    testing::Values(
        cause_case{"share", {50, 50, 0, 0, 0, 0.1, 9, 0.0, 1, 0}, "share"},
        cause_case{"capacity", {50, 50, 0, 0, 0, 0.3, 9, 0.0, 1, 0}, "capacity"},
        cause_case{"kv", {50, 0, 5, 45, 0, 0.3, 0, 0.4, 0.5, 0}, "key-value service"},
        cause_case{"workers", {50, 50, 0, 0, 20, 0.3, 0, 0.4, 1, 25}, "bad workers"},
        cause_case{"refusals", {50, 0, 50, 0, 0, 0.3, 0, 0.4, 1, 0}, "refusals"}),
    [](const testing::TestParamInfo<cause_case>& info) { return info.param.name; });

burn_report golden_report()
{
    service_objectives objectives{hours(24 * 30),
                                  {make_row("a/request"), make_row("b/<batch>")}};
    objectives.rows.push_back(make_row("c/idle"));
    objectives.rows[1].wait_limit.reset();
    objectives.rows[1].wait_target.reset();
    burn_calculator calculator(objectives);
    std::array<metrics_registry, 2> metrics;
    for (int i = 0; i <= 12 * 24; ++i)
    {
        step first;
        first.late = i % 12;
        first.free = 0.2;
        step second = first;
        second.queue_full = i > 12 * 22 ? 80 : 0;
        second.waiting = i > 12 * 22 ? 3 : 0;
        for (std::size_t k = 0; k < metrics.size(); ++k)
        {
            apply(metrics[k], first, "a/request");
            apply(metrics[k], second, "b/<batch>");
            step fresh = first;
            fresh.share = 0;
            apply(metrics[k], fresh, "d/new");
            EXPECT_TRUE(calculator.add({start + minutes(5 * i),
                                        instance_id("entry-" + std::to_string(k)),
                                        metrics[k].snapshot()}));
        }
    }
    burn_report report = calculator.report();
    report.faults.push_back(finding{"metrics.jsonl", 7, "", "is not a JSON object", ""});
    return report;
}

struct golden_case
{
    const char* file;
    std::string (*render)(const burn_report&);
};

class golden_test : public testing::TestWithParam<golden_case>
{
};

// Guards against unintended changes of the rendered reports.
TEST_P(golden_test, rendered_report_matches_golden_file)
{
    const std::string path =
        std::string(HAWTHORNBEAM_SOURCE "/unittests/report/golden/") + GetParam().file;
    static const burn_report report = golden_report(); // Takes seconds under sanitizers.
    const std::string now = GetParam().render(report);
    if (std::getenv("HAWTHORNBEAM_UPDATE_GOLDEN") != nullptr)
        std::ofstream(path, std::ios::binary) << now;
    std::ostringstream expected;
    expected << std::ifstream(path, std::ios::binary).rdbuf();
    EXPECT_TRUE(now == expected.str()) << path << " differs from:\n"
                                       << now.substr(0, 4000);
}

INSTANTIATE_TEST_SUITE_P(outputs, golden_test,
                         testing::Values(golden_case{"burn.txt", to_text},
                                         golden_case{"burn.json", to_json},
                                         golden_case{"burn.html", to_html}),
                         [](const testing::TestParamInfo<golden_case>& info)
                         { return std::string(info.param.file).substr(5); });

} // namespace
} // namespace hawthornbeam
