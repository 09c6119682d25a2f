/// \file
/// Limit on log lines that others can cause.
#ifndef HAWTHORNBEAM_SUPPORT_LOG_LIMITER_HPP
#define HAWTHORNBEAM_SUPPORT_LOG_LIMITER_HPP

#include "hawthornbeam/support/clock.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace hawthornbeam
{

/// Admits at most ten lines a second of one kind, and counts the others.
class log_limiter
{
public:
    /// Returns how many lines were left out since the latest admitted one; nothing if
    /// this line has to be left out as well.
    std::optional<std::uint64_t> admit(boot_time now)
    {
        if (now - since_ >= period)
        {
            since_ = now;
            lines_ = 0;
        }
        if (lines_ == max_lines)
        {
            ++left_out_;
            return std::nullopt;
        }
        ++lines_;
        return std::exchange(left_out_, 0);
    }

private:
    static constexpr std::uint64_t max_lines = 10;
    static constexpr duration period = std::chrono::seconds(1);

    boot_time since_{};
    std::uint64_t lines_ = 0;
    std::uint64_t left_out_ = 0;
};

} // namespace hawthornbeam

#endif
