/// \file
/// Implements the bounded log.
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
    void write_waiting();

    const clock_source& clock;
    int descriptor;
    log_bounds bounds;
    boot_time period{};
    std::unordered_map<std::string, std::size_t> lines; ///< Of this period, by message.
    std::uint64_t left_out = 0;
    std::uint64_t reported = 0;
    std::string waiting;
};

void bounded_log::implementation::begin_period(boot_time now)
{
    if (period != boot_time() && now - period < budget_period)
        return;
    period = now;
    lines.clear();
    if (left_out == reported)
        return;
    const std::string line = fmt::format(
        R"({{"time":"{}","level":"warning","component":"log","message":"lines left out","lines":{}}})"
        "\n",
        format_wall_time(clock.wall_now()), left_out - reported);
    reported = left_out;
    append(line);
}

void bounded_log::implementation::append(const std::string& line)
{
    if (waiting.size() + line.size() > bounds.waiting_bytes)
        ++left_out;
    else
        waiting += line;
}

void bounded_log::implementation::write_waiting()
{
    while (!waiting.empty())
    {
        const ssize_t written = ::write(descriptor, waiting.data(), waiting.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return;
        waiting.erase(0, static_cast<std::size_t>(written));
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
    const std::size_t most = level >= log_level::warning
                                 ? self.bounds.urgent_lines_a_second
                                 : self.bounds.lines_a_second;
    std::size_t& count = self.lines[fmt::format("{}/{}", component, message)];
    if (++count <= most)
        return true;
    ++self.left_out;
    return false;
}

void bounded_log::write(const std::string& line)
{
    implementation_->append(line);
    implementation_->write_waiting();
}

void bounded_log::flush()
{
    implementation_->write_waiting();
}

std::uint64_t bounded_log::left_out() const
{
    return implementation_->left_out;
}

} // namespace hawthornbeam
