/// \file
/// Tests of the time after which callers whose requests were refused should retry.
#include "hawthornbeam/cell/retry_time.hpp"

#include <gtest/gtest.h>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Length of an outage of the store, and the number of attempts that a caller makes.
struct outage
{
    seconds length;
    int attempts;
};

class retry_time_test : public testing::TestWithParam<outage>
{
};

// With a fixed wait of 1 s a caller with five attempts uses them up in an outage of 5 s.
TEST_P(retry_time_test, a_caller_does_not_run_out_of_attempts_during_an_outage)
{
    for (const double jitter : {0.0, 0.5, 1.0})
        for (duration first = milliseconds(400); first < GetParam().length;
             first += milliseconds(300))
        {
            duration at = first;
            int attempts = 1;
            for (; attempts < GetParam().attempts && at < GetParam().length; ++attempts)
                at += retry_time(at, jitter);
            EXPECT_GE(at, GetParam().length) << "first attempt at " << first.count();
            // The caller must also return soon after the outage.
            EXPECT_LE(at, GetParam().length + seconds(4));
        }
}

INSTANTIATE_TEST_SUITE_P(outages, retry_time_test,
                         testing::Values(outage{seconds(2), 5}, outage{seconds(5), 5},
                                         outage{seconds(9), 5}));

TEST(retry_time_jitter_test, callers_refused_together_do_not_retry_together)
{
    std::set<seconds> waits;
    for (int caller = 0; caller <= 10; ++caller)
        waits.insert(retry_time(seconds(3), caller / 10.0));
    EXPECT_GE(waits.size(), 2U);
}

TEST(retry_time_jitter_test, the_wait_is_one_second_without_an_outage)
{
    EXPECT_EQ(retry_time(duration::zero(), 1.0), seconds(1));
}

} // namespace

} // namespace hawthornbeam::cell
