#include "lib/cell/order_window.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t initial = 16;
constexpr duration acceptable = milliseconds(200);

/// How the calls of a series end, and the size of the window after it.
struct answer_case
{
    std::string name;
    duration time{};
    bool is_answered = true;
    std::uint32_t orders = initial; ///< Under way at each answer.
    std::uint32_t least = 0;
    std::uint32_t most = 0;
};

void PrintTo(const answer_case& value, std::ostream* out)
{
    *out << value.name;
}

class order_window_test : public testing::TestWithParam<answer_case>
{
};

// Guards against a window that is a constant, or that never recovers.
TEST_P(order_window_test, follows_the_time_of_answers)
{
    const answer_case& given = GetParam();
    order_window window({initial, acceptable});
    boot_time now(seconds(100));
    for (int call = 0; call < 100; ++call)
    {
        now += milliseconds(20);
        while (window.under_way() < given.orders)
            window.add();
        if (given.is_answered)
            window.record_answer(given.time, now);
        else
            window.record_timeout(now);
    }
    EXPECT_GE(window.limit(), given.least);
    EXPECT_LE(window.limit(), given.most);
}

INSTANTIATE_TEST_SUITE_P(
    answers, order_window_test,
    testing::Values(answer_case{"in_time_grows", milliseconds(5), true, 100, 100, 200},
                    answer_case{"in_time_but_not_in_use_stays", milliseconds(5), true, 2,
                                initial, initial},
                    answer_case{"none_shrinks", milliseconds(0), false, initial, 2, 4},
                    answer_case{"always_slow_is_the_distance", milliseconds(400), true,
                                initial, initial, 200}),
    [](const testing::TestParamInfo<answer_case>& info) { return info.param.name; });

TEST(order_window, shrinks_when_answers_become_late_and_grows_again)
{
    order_window window({initial, acceptable});
    boot_time now(seconds(100));
    window.add();
    window.record_answer(milliseconds(5), now);
    for (int call = 0; call < 20; ++call)
    {
        now += acceptable;
        window.add();
        window.record_answer(milliseconds(900), now);
    }
    const std::uint32_t reduced = window.limit();
    EXPECT_LT(reduced, initial / 2);
    for (int call = 0; call < 100; ++call)
    {
        now += milliseconds(20);
        while (window.has_room(order_share::all))
            window.add();
        window.record_answer(milliseconds(5), now);
    }
    EXPECT_GT(window.limit(), reduced + 4);
}

TEST(order_window, reserves_a_part_for_senders_with_few_orders)
{
    order_window window({initial, acceptable});
    while (window.has_room(order_share::common))
        window.add();
    EXPECT_EQ(window.under_way(), initial - initial / 4);
    EXPECT_TRUE(window.has_room(order_share::all));
    EXPECT_GE(window.few_orders(), 1U);
}

} // namespace

} // namespace hawthornbeam::cell
