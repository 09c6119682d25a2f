/// \file
/// Tests of parsing the objectives file and of reading and appending recordings.
#include "hawthornbeam/report/objectives.hpp"
#include "hawthornbeam/report/recording.hpp"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace hawthornbeam
{
namespace
{

// Guards against an example file that does not pass validation.
TEST(objectives_test, example_file_parses)
{
    const parsed_objectives parsed =
        load_objectives(HAWTHORNBEAM_SOURCE "/examples/objectives.toml");
    ASSERT_TRUE(parsed.objectives.has_value()) << parsed.faults.at(0).text();
    EXPECT_NEAR(*parsed.objectives->rows.at(0).allowed(objective_kind::wait), 0.001,
                1e-9);
    EXPECT_FALSE(parsed.objectives->rows.at(1).allowed(objective_kind::wait));
}

// Guards against accepting faulty objectives and against reporting only the first fault.
TEST(objectives_test, faulty_file_reports_all_faults)
{
    const parsed_objectives parsed = parse_objectives(R"(period = "1 d"
[[rows]]
row = "p/k"
wait_limit = "5 s"
[[rows]]
row = "p/k"
refused_most = 0.0
[[rows]]
row = "p"
share = 1
)",
                                                      "o.toml");
    ASSERT_FALSE(parsed.objectives.has_value());
    std::string all;
    for (const finding& fault : parsed.faults)
        all += fault.text().substr(0, fault.text().find(" (")) + "\n";
    EXPECT_EQ(all, "o.toml:1: period: is \"1 d\"\n"
                   "o.toml:2: rows[0].wait_target: is missing\n"
                   "o.toml:7: rows[1].refused_most: is 0\n"
                   "o.toml:6: rows[1].row: repeats that of line 2\n"
                   "o.toml:9: rows[2].row: is \"p\"\n"
                   "o.toml:8: rows[2]: has no objective\n"
                   "o.toml:10: rows[2].share: is an unknown key\n");
}

// Guards against damaged lines that hide or change valid samples, and against an
// incomplete last line that is joined with the next appended sample.
TEST(recording_test, damaged_lines_become_findings_and_keep_valid_samples)
{
    const std::string file =
        testing::TempDir() + "recording_test." + std::to_string(::getpid());
    const metrics_sample one{wall_time(std::chrono::milliseconds(5)), instance_id("i"),
                             "text\twith \"marks\"\n"};
    ASSERT_TRUE(append_samples(file, {one}));
    std::ofstream(file, std::ios::app) << "{\"time_ms\": \"x\"}\n{\"time_ms\": 1, \"ins";
    ASSERT_TRUE(append_samples(file, {one, one}));
    int valid_samples = 0;
    const findings faults =
        read_recording(file,
                       [&](const metrics_sample& sample) -> result<bool>
                       {
                           EXPECT_EQ(sample.time, one.time);
                           EXPECT_EQ(sample.snapshot, one.snapshot);
                           ++valid_samples;
                           return true;
                       });
    std::remove(file.c_str());
    EXPECT_EQ(valid_samples, 3);
    ASSERT_EQ(faults.size(), 2U);
    EXPECT_EQ(faults[0].line, 2);
    EXPECT_EQ(faults[1].line, 3);
}

// Guards against an unbounded list of findings when a file of another format is read.
TEST(recording_test, findings_are_limited_to_100)
{
    std::string text;
    for (int i = 0; i < 1000; ++i)
        text += "x\n";
    std::istringstream lines(text);
    const findings faults = read_samples(
        lines, "f", [](const metrics_sample&) -> result<bool> { return true; });
    ASSERT_EQ(faults.size(), 101U);
    EXPECT_EQ(faults.back().message, "900 more lines are damaged");
}

} // namespace
} // namespace hawthornbeam
