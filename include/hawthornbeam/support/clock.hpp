/// \file
/// A monotonic clock for leases, which includes suspended time, and wall time for
/// records.
#ifndef HAWTHORNBEAM_SUPPORT_CLOCK_HPP
#define HAWTHORNBEAM_SUPPORT_CLOCK_HPP

#include <chrono>
#include <string>

namespace hawthornbeam
{

using duration = std::chrono::nanoseconds;

/// Clock type of CLOCK_BOOTTIME time points. This clock keeps running while a machine is
/// suspended. Values from two machines cannot be compared.
struct boot_time_line
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_time_line>;
    static constexpr bool is_steady = true;
};

using boot_time = boot_time_line::time_point;
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Source of the current time; tests inject a manual one.
class clock_source
{
public:
    virtual ~clock_source() = default;
    /// Time of CLOCK_BOOTTIME.
    virtual boot_time now() const = 0;
    /// Time of CLOCK_REALTIME. It can jump, so it is used only in records for people,
    /// never for leases.
    virtual wall_time wall_now() const = 0;
};

/// Reads the clocks of the operating system.
class system_clock_source final : public clock_source
{
public:
    boot_time now() const override;
    wall_time wall_now() const override;
};

/// A clock for tests that changes only through advance() and set().
class manual_clock final : public clock_source
{
public:
    boot_time now() const override { return now_; }
    wall_time wall_now() const override
    {
        return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
            now_.time_since_epoch()));
    }
    void advance(duration step) { now_ += step; }
    void set(boot_time now) { now_ = now; }

private:
    boot_time now_{std::chrono::seconds(1000)};
};

/// Formats \p time in UTC, for example "2026-01-31T23:59:59.123Z".
std::string format_wall_time(wall_time time);

} // namespace hawthornbeam

#endif
