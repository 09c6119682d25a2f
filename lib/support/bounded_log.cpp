#include "hawthornbeam/support/bounded_log.hpp"

#include <cerrno>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>
#include <unordered_map>

namespace hawthornbeam
{

namespace
{
constexpr duration budget_period = std::chrono::seconds(1);
}

class bounded_log::implementation
{
public:
    implementation(const clock_source& given_clock, int given_descriptor,
                   log_bounds given_bounds)
        : clock(given_clock), descriptor(given_descriptor), bounds(given_bounds)
    {
        const int flags = ::fcntl(descriptor, F_GETFL);
        if (flags >= 0)
            ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }

    void begin_period(boot_time now);
    void append(const std::string& line);
    void write_buffer();

    const clock_source& clock;
    int descriptor;
    log_bounds bounds;
    boot_time period_start{};
    /// Lines of the current period by component and message.
    std::unordered_map<std::string, std::size_t> lines_by_message;
    std::uint64_t dropped_lines = 0;
    std::uint64_t reported_dropped_lines = 0;
    std::string buffer;
};

void bounded_log::implementation::begin_period(boot_time now)
{
    if (period_start != boot_time() && now - period_start < budget_period)
        return;
    period_start = now;
    lines_by_message.clear();
    if (dropped_lines == reported_dropped_lines)
        return;
    const std::string line = fmt::format(
        R"({{"time":"{}","level":"warning","component":"log","message":"lines left out","lines":{}}})"
        "\n",
        format_wall_time(clock.wall_now()), dropped_lines - reported_dropped_lines);
    reported_dropped_lines = dropped_lines;
    append(line);
}

void bounded_log::implementation::append(const std::string& line)
{
    if (buffer.size() + line.size() > bounds.max_buffered_bytes)
        ++dropped_lines;
    else
        buffer += line;
}

void bounded_log::implementation::write_buffer()
{
    while (!buffer.empty())
    {
        const ssize_t written = ::write(descriptor, buffer.data(), buffer.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return;
        buffer.erase(0, static_cast<std::size_t>(written));
    }
}

bounded_log::bounded_log(const clock_source& clock, int descriptor, log_bounds bounds)
    : implementation_(std::make_unique<implementation>(clock, descriptor, bounds))
{
}

bounded_log::~bounded_log()
{
    flush();
}

bool bounded_log::admit(log_level level, std::string_view component,
                        std::string_view message)
{
    implementation& self = *implementation_;
    self.begin_period(self.clock.now());
    const std::size_t max_lines = level >= log_level::warning
                                      ? self.bounds.max_urgent_lines_per_second
                                      : self.bounds.max_lines_per_second;
    std::size_t& count = self.lines_by_message[fmt::format("{}/{}", component, message)];
    if (++count <= max_lines)
        return true;
    ++self.dropped_lines;
    return false;
}

void bounded_log::write(const std::string& line)
{
    implementation_->append(line);
    implementation_->write_buffer();
}

void bounded_log::flush()
{
    implementation_->write_buffer();
}

std::uint64_t bounded_log::dropped_lines() const
{
    return implementation_->dropped_lines;
}

} // namespace hawthornbeam
