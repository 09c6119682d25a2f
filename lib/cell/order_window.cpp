/// \file
/// Growth and reduction of the windows of orders.
#include "order_window.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam::cell
{

namespace
{

/// Smallest size of a window.
constexpr double min_size = 2;
/// Part of a window that is left when answers are late.
constexpr double reduction = 0.75;
/// One in this many orders is reserved for senders with few orders under way.
constexpr std::uint32_t reserved_divisor = 4;
/// A sender has few orders under way up to this part of the window.
constexpr std::uint32_t few_divisor = 8;
/// Time for which the fastest answer is remembered, once or twice.
constexpr duration fastest_period = std::chrono::seconds(5);

} // namespace

order_window::order_window(const limits& given) : limits_(given), size_(given.initial) {}

std::uint32_t order_window::limit() const
{
    return static_cast<std::uint32_t>(size_);
}

bool order_window::has_room(order_share share) const
{
    const std::uint32_t reserved =
        share == order_share::all ? 0 : limit() / reserved_divisor;
    return under_way_ + reserved < limit();
}

std::uint32_t order_window::few_orders() const
{
    return std::max(1U, limit() / few_divisor);
}

void order_window::add()
{
    ++under_way_;
}

void order_window::remove()
{
    assert(under_way_ > 0 && "each order ends once");
    --under_way_;
}

duration order_window::acceptable(boot_time now)
{
    if (now - period_began_at_ >= fastest_period)
    {
        fastest_in_last_period_ = now - period_began_at_ < 2 * fastest_period
                                      ? fastest_in_period_
                                      : duration::max();
        fastest_in_period_ = duration::max();
        period_began_at_ = now;
    }
    const duration fastest = std::min(fastest_in_period_, fastest_in_last_period_);
    return fastest == duration::max() ? limits_.acceptable
                                      : std::max(limits_.acceptable, 2 * fastest);
}

void order_window::grow()
{
    // A window that is not in use shows nothing about a larger one.
    if (2 * under_way_ < limit())
        return;
    size_ += was_reduced_ ? 1 / size_ : 1;
}

void order_window::shrink(boot_time now)
{
    // The orders that are under way now were sent before the reduction.
    if (was_reduced_ && now - reduced_at_ < limits_.acceptable)
        return;
    was_reduced_ = true;
    reduced_at_ = now;
    size_ = std::max(min_size, size_ * reduction);
}

void order_window::record_answer(duration time, boot_time now)
{
    if (time > acceptable(now))
        shrink(now);
    else
        grow();
    fastest_in_period_ = std::min(fastest_in_period_, time);
    remove();
}

void order_window::record_timeout(boot_time now)
{
    shrink(now);
    remove();
}

} // namespace hawthornbeam::cell
