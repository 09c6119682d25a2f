/// \file
/// Tests of the bounded log, which must not block the event loop when nothing reads it.
#include "hawthornbeam/support/bounded_log.hpp"

#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

namespace hawthornbeam
{

namespace
{

class bounded_log_test : public testing::Test
{
protected:
    bounded_log_test() { EXPECT_EQ(pipe(ends.data()), 0); }
    ~bounded_log_test() override
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string read_all(std::size_t most)
    {
        std::string text(most, '\0');
        const ssize_t size = read(ends[0], text.data(), text.size());
        text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
        return text;
    }

    std::array<int, 2> ends{};
    manual_clock clock;
};

TEST_F(bounded_log_test, writes_whole_lines)
{
    bounded_log bounded(clock, ends[1]);
    const logger log(clock, "test", log_level::info, bounded);
    log.info("part", "something", {{"value", 7}});
    const std::string text = read_all(1000);
    EXPECT_NE(text.find("\"value\":7"), std::string::npos);
    EXPECT_EQ(text.back(), '\n');
}

TEST_F(bounded_log_test, never_blocks_on_a_full_pipe)
{
    log_bounds bounds;
    bounds.max_lines_per_second = 1000000;
    bounded_log bounded(clock, ends[1], bounds);
    const std::string line(1000, 'x');
    // The lines exceed the capacity of the pipe and of the buffer, so a blocking write
    // would hang here.
    for (int count = 0; count < 2000; ++count)
        bounded.write(line);
    EXPECT_GT(bounded.dropped_lines(), 0U);
}

TEST_F(bounded_log_test, limits_lines_per_message_and_reports_dropped_lines)
{
    log_bounds bounds;
    bounds.max_lines_per_second = 2;
    bounds.max_urgent_lines_per_second = 4;
    bounded_log bounded(clock, ends[1], bounds);
    const logger log(clock, "test", log_level::info, bounded);
    for (int count = 0; count < 5; ++count)
    {
        log.info("part", "often", {});
        log.warning("part", "failure", {});
    }
    EXPECT_EQ(bounded.dropped_lines(), 4U);
    clock.advance(std::chrono::seconds(2));
    log.info("part", "later", {});
    const std::string text = read_all(10000);
    EXPECT_NE(text.find("\"message\":\"lines left out\",\"lines\":4"), std::string::npos);
    EXPECT_NE(text.find("later"), std::string::npos);
}

} // namespace

} // namespace hawthornbeam
