/// \file
/// Tests of id derivation and parsing.
#include "hawthornbeam/support/ids.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

// Guards against equal job ids for requests of different partners.
TEST(job_id_test, job_id_depends_on_partner_and_request)
{
    const job_id a = job_id::derive(partner_id("ab"), request_id("c"));
    EXPECT_EQ(a, job_id::derive(partner_id("ab"), request_id("c")));
    EXPECT_NE(a, job_id::derive(partner_id("a"), request_id("bc")));
    EXPECT_NE(a, job_id::derive(partner_id("ab"), request_id("d")));
}

// Guards against ids that change when they are formatted and parsed.
TEST(task_id_test, task_id_survives_text_round_trip)
{
    const task_id id{job_id::derive(partner_id("p"), request_id("r")), 70000, 3};
    ASSERT_TRUE(task_id::parse(id.text()).has_value());
    EXPECT_EQ(*task_id::parse(id.text()), id);
}

struct bad_id
{
    const char* text;
};

class bad_task_id_test : public testing::TestWithParam<bad_id>
{
};

// Guards against accepting malformed ids from the network.
TEST_P(bad_task_id_test, malformed_task_id_is_rejected)
{
    EXPECT_FALSE(task_id::parse(GetParam().text).has_value());
}

INSTANTIATE_TEST_SUITE_P(malformed, bad_task_id_test,
                         testing::Values(bad_id{""}, bad_id{"-"}, bad_id{"--"},
                                         bad_id{"0000000000000000000000000000002a-1"},
                                         bad_id{"0000000000000000000000000000002A-1-0"},
                                         bad_id{"0000000000000000000000000000002a-x-0"},
                                         bad_id{"0000000000000000000000000000002a--0"},
                                         bad_id{
                                             "0000000000000000000000000000002a-1-70000"},
                                         bad_id{"2a-1-0"}));

} // namespace
} // namespace hawthornbeam
