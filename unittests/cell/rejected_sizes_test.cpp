/// \file
/// Tests which tasks are known to fit on no worker.
#include "lib/cell/rejected_sizes.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::seconds;

resources size_of(std::int64_t processors, std::int64_t memory)
{
    return {millicores(processors), byte_count(memory), accelerator_count()};
}

struct covered_case
{
    resources size;
    duration run_time{};
    bool is_covered = false;
};

class rejected_sizes_test : public testing::TestWithParam<covered_case>
{
};

} // namespace

// Guards against a task that is left out although it is smaller or shorter than each of
// the rejected ones.
TEST_P(rejected_sizes_test, cover_tasks_that_are_as_large_and_long_as_a_rejected_one)
{
    rejected_sizes rejected;
    rejected.add(size_of(5000, 50), seconds(5));
    rejected.add(size_of(4000, 40), seconds(4));
    rejected.add(size_of(1000, 90), seconds(4));
    EXPECT_EQ(rejected.covers(GetParam().size, GetParam().run_time),
              GetParam().is_covered);
}

INSTANTIATE_TEST_SUITE_P(
    sizes, rejected_sizes_test,
    testing::Values(covered_case{size_of(4000, 40), seconds(4), true},
                    covered_case{size_of(4500, 40), seconds(9), true},
                    covered_case{size_of(1000, 91), seconds(4), true},
                    covered_case{size_of(3999, 40), seconds(9), false},
                    covered_case{size_of(4000, 39), seconds(9), false},
                    covered_case{size_of(9000, 90), seconds(3), false},
                    covered_case{size_of(999, 99), seconds(9), false}));

} // namespace hawthornbeam::cell
