/// \file
/// Tests of the command that shows the log lines of one job.
#include "fake_instances.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{

namespace
{

const std::string mixed_lines =
    R"(host-b {"time":"2026-01-01T00:00:02.000Z","level":"info","component":"cell","instance":"b","message":"start ordered","job":"j1","worker":"w7"}
{"time":"2026-01-01T00:00:03.000Z","level":"info","component":"cell","instance":"b","message":"start ordered","job":"j2"}
not a log line {
{"time":"2026-01-01T00:00:01.000Z","level":"info","component":"ingress","instance":"a","message":"request answered","job":"j1","status":200}
)";

} // namespace

// Guards against showing the lines of several hosts in input order instead of time order.
TEST(logs_test, lines_of_one_job_are_sorted_by_time)
{
    command_run run;
    run.in.str(mixed_lines);
    EXPECT_EQ(run.run({"logs", "j1"}), 0) << run.err.str();
    const std::string shown = run.out.str();
    const std::size_t accepted = shown.find("request answered");
    const std::size_t started = shown.find("worker=w7");
    ASSERT_NE(accepted, std::string::npos) << shown;
    ASSERT_NE(started, std::string::npos) << shown;
    EXPECT_LT(accepted, started);
    EXPECT_EQ(shown.find("j2"), std::string::npos);
}

TEST(logs_test, job_without_log_lines_is_an_error)
{
    command_run run;
    run.in.str(mixed_lines);
    EXPECT_EQ(run.run({"logs", "j3"}), 1);
    EXPECT_NE(run.err.str().find("j3"), std::string::npos);
}

TEST(logs_test, unreadable_file_is_named_in_the_error)
{
    command_run run;
    EXPECT_EQ(run.run({"logs", "j1", "/no/such/file"}), 2);
    EXPECT_NE(run.err.str().find("/no/such/file"), std::string::npos);
}

} // namespace hawthornbeam
