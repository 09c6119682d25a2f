/// \file
/// A log writer that never blocks and that limits the volume of its output.
#ifndef HAWTHORNBEAM_SUPPORT_BOUNDED_LOG_HPP
#define HAWTHORNBEAM_SUPPORT_BOUNDED_LOG_HPP

#include "hawthornbeam/support/log.hpp"

#include <cstddef>
#include <memory>

namespace hawthornbeam
{

/// Volume limits of a log.
struct log_bounds
{
    /// Lines per second with the same component and message; with 48 workers, one
    /// owner commands 250 starts per second.
    std::size_t max_lines_per_second = 300;
    /// The same limit for warnings and errors; it is higher because they explain
    /// failures.
    std::size_t max_urgent_lines_per_second = 1000;
    /// Bytes that are buffered while the reader does not read.
    std::size_t max_buffered_bytes = std::size_t{256} << 10U;
};

/// Writes to a file descriptor, which it makes non-blocking. Lines beyond the limits are
/// dropped and counted; at most once a second, a log line reports how many were dropped.
class bounded_log
{
public:
    bounded_log(const clock_source& clock, int descriptor, log_bounds bounds = {});
    ~bounded_log();

    /// Counts a line; returns true when it is within its limit for the current second.
    bool admit(log_level level, std::string_view component, std::string_view message);
    /// Buffers \p line and writes as much of the buffer as the descriptor accepts.
    void write(const std::string& line);
    /// Writes as much of the buffer as the descriptor accepts.
    void flush();
    /// Number of lines dropped so far.
    std::uint64_t dropped_lines() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
