#include "hawthornbeam/support/adaptive_timeout.hpp"

#include "hawthornbeam/support/event_loop.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{

namespace
{

using std::chrono::milliseconds;

constexpr adaptive_timeout::bounds limits{milliseconds(600), milliseconds(1200)};

class adaptive_timeout_test : public testing::Test
{
protected:
    manual_clock clock;
    adaptive_timeout timeout{clock, limits};
};

TEST_F(adaptive_timeout_test, fast_responses_keep_the_minimum)
{
    EXPECT_EQ(timeout.current(), limits.min);
    timeout.record_response(milliseconds(4));
    EXPECT_EQ(timeout.current(), limits.min);
}

// Guards against calls that a slow service executes and that count as failed.
TEST_F(adaptive_timeout_test, exceeds_the_slowest_of_the_latest_responses)
{
    timeout.record_response(milliseconds(350));
    timeout.record_response(milliseconds(300));
    EXPECT_EQ(timeout.current(), milliseconds(1050));
    timeout.record_response(milliseconds(500));
    EXPECT_EQ(timeout.current(), limits.max);
}

TEST_F(adaptive_timeout_test, returns_to_the_minimum_after_the_service_has_recovered)
{
    timeout.record_response(milliseconds(400));
    for (int second = 0; second < 5; ++second)
    {
        clock.advance(milliseconds(1000));
        timeout.record_response(milliseconds(4));
    }
    EXPECT_EQ(timeout.current(), limits.min);
}

TEST_F(adaptive_timeout_test, returns_to_the_minimum_without_calls)
{
    timeout.record_response(milliseconds(400));
    clock.advance(milliseconds(5000));
    EXPECT_EQ(timeout.current(), limits.min);
}

// Guards against a service that answers just after the minimum and never in time.
TEST_F(adaptive_timeout_test, grows_with_each_timeout_up_to_the_maximum)
{
    timeout.record_timeout(timeout.current());
    EXPECT_EQ(timeout.current(), milliseconds(900));
    timeout.record_timeout(timeout.current());
    timeout.record_timeout(timeout.current());
    EXPECT_EQ(timeout.current(), limits.max);
}

} // namespace

} // namespace hawthornbeam
