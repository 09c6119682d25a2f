/// \file
/// Tests how recently an owner counts its claim as confirmed.
#include "lib/cell/claim_evidence.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

boot_time at(int seconds)
{
    return boot_time() + std::chrono::seconds(seconds);
}

/// Instances a and b have answered messages sent at 12 s and 14 s.
class claim_evidence_test : public testing::Test
{
protected:
    claim_evidence_test()
    {
        evidence.add_instance({instance_id("a"), endpoint("a:1")}, at(10));
        evidence.add_instance({instance_id("b"), endpoint("b:1")}, at(10));
        evidence.record_answer(instance_id("a"), at(12));
        evidence.record_answer(instance_id("b"), at(14));
    }

    claim_evidence evidence;
};

TEST_F(claim_evidence_test, all_instances_together_confirm_the_claim)
{
    EXPECT_EQ(evidence.confirmed_at(at(10)), at(12));
    EXPECT_EQ(evidence.confirmed_at(at(13)), at(13)) << "the store suffices";
    EXPECT_EQ(evidence.silent_since(at(13)), 1U);
}

// Guards against an answer that arrives late and seems new.
TEST_F(claim_evidence_test, answer_counts_from_the_time_of_its_question)
{
    evidence.record_answer(instance_id("a"), at(11));
    EXPECT_EQ(evidence.confirmed_at(at(10)), at(12));
}

// Guards against an instance that was cut off and is forgotten: it may own the cell.
TEST_F(claim_evidence_test, silent_instance_withholds_its_confirmation)
{
    evidence.add_instance({instance_id("c"), endpoint("c:1")}, at(10));
    EXPECT_EQ(evidence.confirmed_at(at(10)), at(10));
    evidence.remove_instance(instance_id("c"));
    EXPECT_EQ(evidence.confirmed_at(at(10)), at(12));
}

TEST_F(claim_evidence_test, process_replaces_an_earlier_one_at_its_address)
{
    evidence.add_instance({instance_id("a2"), endpoint("a:1")}, at(10));
    evidence.record_answer(instance_id("a2"), at(20));
    EXPECT_EQ(evidence.confirmed_at(at(10)), at(14));
}

// Guards against a host that was taken out of service and withholds its confirmation for
// ever.
TEST_F(claim_evidence_test, instance_that_is_unheard_for_long_counts_no_more)
{
    evidence.add_instance({instance_id("c"), endpoint("c:1")}, at(10));
    EXPECT_FALSE(evidence.remove_unheard(at(600)));
    evidence.add_instance({instance_id("a"), endpoint("a:1")}, at(600));
    evidence.add_instance({instance_id("b"), endpoint("b:1")}, at(600));
    EXPECT_TRUE(evidence.remove_unheard(at(611)));
    EXPECT_EQ(evidence.instances().size(), 2U);
}

// Guards against an owner that has never heard another instance and counts that as proof.
TEST(claim_evidence_alone_test, only_the_store_confirms_the_claim_of_a_single_instance)
{
    EXPECT_EQ(claim_evidence().confirmed_at(at(10)), at(10));
}

} // namespace

} // namespace hawthornbeam::cell
