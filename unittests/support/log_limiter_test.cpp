/// \file
/// Limit on log lines that others can cause.
#include "hawthornbeam/support/log_limiter.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

// Guards against lines without bound, and against lines that are left out uncounted.
TEST(log_limiter_test, admits_ten_lines_a_second_and_counts_the_others)
{
    log_limiter lines;
    boot_time now{std::chrono::hours(1)};
    for (int line = 0; line < 10; ++line)
        EXPECT_EQ(lines.admit(now), 0U);
    now += std::chrono::milliseconds(999);
    EXPECT_EQ(lines.admit(now), std::nullopt);
    EXPECT_EQ(lines.admit(now), std::nullopt);
    now += std::chrono::milliseconds(1);
    EXPECT_EQ(lines.admit(now), 2U);
    EXPECT_EQ(lines.admit(now), 0U);
}

} // namespace
} // namespace hawthornbeam
