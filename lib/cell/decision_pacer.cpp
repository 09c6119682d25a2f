#include "decision_pacer.hpp"

#include <algorithm>
#include <utility>

namespace hawthornbeam::cell
{

namespace
{

constexpr duration report_period = std::chrono::milliseconds(1000);
/// Longest pause after a decision. One that seems to take longer may have been suspended
/// with its process.
constexpr duration max_pause = std::chrono::milliseconds(200);

} // namespace

std::int64_t decision_load::busy_percent() const
{
    return period <= duration::zero() ? 0 : 100 * busy / period;
}

std::optional<decision_load> decision_pacer::record(boot_time begin, boot_time end)
{
    const duration took = end - begin;
    not_before_ = end + std::min(took, max_pause);
    if (period_begin_ == boot_time())
        period_begin_ = begin;
    ++load_.decisions;
    load_.busy += took;
    load_.longest = std::max(load_.longest, took);
    if (end - period_begin_ < report_period)
        return std::nullopt;
    load_.period = end - std::exchange(period_begin_, end);
    return std::exchange(load_, decision_load());
}

} // namespace hawthornbeam::cell
