/// \file
/// Clocks: one that counts suspended time for leases, and wall time for records.
#ifndef HAWTHORNBEAM_SUPPORT_CLOCK_HPP
#define HAWTHORNBEAM_SUPPORT_CLOCK_HPP

#include <chrono>
#include <string>

namespace hawthornbeam
{

using duration = std::chrono::nanoseconds;

/// Tag of the time line of CLOCK_BOOTTIME, which goes on while a machine is suspended.
/// Values of two machines cannot be compared.
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
    /// CLOCK_BOOTTIME.
    virtual boot_time now() const = 0;
    /// CLOCK_REALTIME; only for records that people read, never for leases.
    virtual wall_time wall_now() const = 0;
};

/// Reads the clocks of the operating system.
class system_clock_source final : public clock_source
{
public:
    boot_time now() const override;
    wall_time wall_now() const override;
};

/// A clock that moves only when told to.
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

/// "2026-01-31T23:59:59.123Z".
std::string format_wall_time(wall_time time);

} // namespace hawthornbeam

#endif
