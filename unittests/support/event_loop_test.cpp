/// \file
/// Tests of the manual event loop, which all deterministic tests use.
#include "hawthornbeam/support/event_loop.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace hawthornbeam
{
namespace
{

using std::chrono::milliseconds;

// Guards against callbacks that do not run in the order of their due times.
TEST(manual_event_loop_test, runs_callbacks_in_order_of_due_time)
{
    manual_event_loop loop;
    std::vector<int> order;
    timer_handle late = loop.after(milliseconds(20), [&] { order.push_back(2); });
    timer_handle early = loop.after(milliseconds(10), [&] { order.push_back(1); });
    loop.post([&] { order.push_back(0); });
    loop.advance(milliseconds(30));
    EXPECT_EQ(order, (std::vector<int>{0, 1, 2}));
}

// Guards against a timer that fires after its handle was destroyed.
TEST(manual_event_loop_test, destroying_handle_cancels_timer)
{
    manual_event_loop loop;
    int fired = 0;
    timer_handle once = loop.after(milliseconds(10), [&] { ++fired; });
    timer_handle repeating = loop.every(milliseconds(10), [&] { ++fired; });
    loop.advance(milliseconds(15));
    EXPECT_EQ(fired, 2);
    once.reset();
    repeating.reset();
    loop.advance(milliseconds(100));
    EXPECT_EQ(fired, 2);
}

// Guards against a repeating timer that stops or is leaked when its own action cancels
// it.
TEST(manual_event_loop_test, repeating_timer_can_cancel_itself)
{
    manual_event_loop loop;
    int fired = 0;
    timer_handle repeating;
    repeating = loop.every(milliseconds(10),
                           [&]
                           {
                               if (++fired == 3)
                                   repeating.reset();
                           });
    loop.advance(milliseconds(100));
    EXPECT_EQ(fired, 3);
}

} // namespace
} // namespace hawthornbeam
