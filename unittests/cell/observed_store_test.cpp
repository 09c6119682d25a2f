/// \file
/// Tests of detecting a store that does not answer.
#include "hawthornbeam/cell/observed_store.hpp"

#include "memory_store.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;

class observed_store_test : public testing::Test
{
protected:
    void call(int times)
    {
        for (int each = 0; each < times; ++each)
            store.read("a", [](const result<std::optional<store_item>>&) {});
        loop.advance(milliseconds(20));
    }

    manual_event_loop loop;
    memory_store_state state{loop};
    memory_store inner{state};
    observed_store store{loop, inner};
};

// Callers must not be refused because of a short series of failed calls.
TEST_F(observed_store_test, failed_calls_within_a_short_time_do_not_mean_a_failing_store)
{
    call(1);
    EXPECT_LT(store.silence(), milliseconds(50));
    inner.condition = store_condition::refusing;
    call(5);
    EXPECT_FALSE(store.is_failing());
    loop.advance(milliseconds(500));
    EXPECT_TRUE(store.is_failing());
    inner.condition = store_condition::well;
    call(1);
    EXPECT_FALSE(store.is_failing());
}

// An instance that makes no calls gets no answers either, so the time without an answer
// alone does not show that the store fails.
TEST_F(observed_store_test, time_without_calls_does_not_mean_a_failing_store)
{
    loop.advance(milliseconds(5000));
    inner.condition = store_condition::refusing;
    call(1);
    EXPECT_FALSE(store.is_failing());
    call(1);
    EXPECT_TRUE(store.is_failing());
}

} // namespace

} // namespace hawthornbeam::cell
