/// \file
/// Bounds the orders to one agent or worker that have no answer yet, by the time that
/// answers take. Performs no I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_ORDER_WINDOW_HPP
#define HAWTHORNBEAM_LIB_CELL_ORDER_WINDOW_HPP

#include "hawthornbeam/support/clock.hpp"

#include <cstdint>

namespace hawthornbeam::cell
{

/// Whose orders a window is asked to take.
enum class order_share
{
    all,    ///< May use the whole window.
    common, ///< Leaves the reserved part to senders with few orders under way.
};

/// A congestion window: it grows while answers are in time and the window is in use, and
/// shrinks when they are late.
class order_window
{
public:
    struct limits
    {
        std::uint32_t initial = 1;
        /// An answer is in time if it takes no longer than this, or no longer than twice
        /// the fastest recent one.
        duration acceptable{};
    };

    explicit order_window(const limits& given);

    std::uint32_t limit() const;
    std::uint32_t under_way() const { return under_way_; }
    /// Returns whether another order may be sent.
    bool has_room(order_share share) const;
    /// Number of orders up to which a sender has few orders under way.
    std::uint32_t few_orders() const;

    void add();
    /// Records the end of an order that shows nothing about the speed of answers.
    void remove();
    /// Records an answer, \p time after the order.
    void record_answer(duration time, boot_time now);
    /// Records the end of an order that was not answered in time.
    void record_timeout(boot_time now);

private:
    duration acceptable(boot_time now);
    void grow();
    void shrink(boot_time now);

    limits limits_;
    double size_;
    std::uint32_t under_way_ = 0;
    bool was_reduced_ = false;
    boot_time reduced_at_{};
    boot_time period_began_at_{};
    duration fastest_in_period_ = duration::max();
    duration fastest_in_last_period_ = duration::max();
};

} // namespace hawthornbeam::cell

#endif
