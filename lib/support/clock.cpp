#include "hawthornbeam/support/clock.hpp"

#include <cassert>
#include <ctime>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

duration read_clock(clockid_t id)
{
    timespec now{};
    const int status = clock_gettime(id, &now);
    assert(status == 0 && "the clock must be readable");
    static_cast<void>(status);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

} // namespace

boot_time system_clock_source::now() const
{
    return boot_time(read_clock(CLOCK_BOOTTIME));
}

wall_time system_clock_source::wall_now() const
{
    return wall_time(std::chrono::duration_cast<std::chrono::milliseconds>(
        read_clock(CLOCK_REALTIME)));
}

std::string format_wall_time(wall_time time)
{
    const std::int64_t milliseconds = time.time_since_epoch().count();
    const std::time_t seconds = static_cast<std::time_t>(milliseconds / 1000);
    std::tm fields{};
    gmtime_r(&seconds, &fields);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                       fields.tm_year + 1900, fields.tm_mon + 1, fields.tm_mday,
                       fields.tm_hour, fields.tm_min, fields.tm_sec, milliseconds % 1000);
}

} // namespace hawthornbeam
