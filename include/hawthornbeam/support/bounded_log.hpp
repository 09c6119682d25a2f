/// \file
/// Writes log lines without ever blocking, within bounds of volume.
#ifndef HAWTHORNBEAM_SUPPORT_BOUNDED_LOG_HPP
#define HAWTHORNBEAM_SUPPORT_BOUNDED_LOG_HPP

#include "hawthornbeam/support/log.hpp"

#include <cstddef>
#include <memory>

namespace hawthornbeam
{

/// Bounds of a log.
struct log_bounds
{
    /// Lines of one message in a second; at 48 workers an owner orders 250 starts a
    /// second.
    std::size_t lines_a_second = 300;
    /// The same for warnings and errors, which explain failures.
    std::size_t urgent_lines_a_second = 1000;
    /// Bytes that wait while nobody reads.
    std::size_t waiting_bytes = std::size_t{256} << 10U;
};

/// Writes to a file descriptor, which becomes non-blocking. Lines beyond the bounds are
/// counted, and a line says once a second how many were left out.
class bounded_log
{
public:
    bounded_log(const clock_source& clock, int descriptor, log_bounds bounds = {});
    ~bounded_log();

    /// True when a line of this message is within its budget of the current second.
    bool admit(log_level level, std::string_view component, std::string_view message);
    /// Queues \p line and writes what the reader takes.
    void write(const std::string& line);
    /// Writes what still waits.
    void flush();
    /// Lines that were left out so far.
    std::uint64_t left_out() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
