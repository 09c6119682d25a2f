/// \file
/// Structured log that writes one JSON object per line.
#ifndef HAWTHORNBEAM_SUPPORT_LOG_HPP
#define HAWTHORNBEAM_SUPPORT_LOG_HPP

#include "hawthornbeam/support/clock.hpp"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornbeam
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

/// Parses "debug", "info", "warning" or "error".
std::optional<log_level> parse_log_level(std::string_view text);

/// A named value of a log line; numbers are written without quotes.
struct log_field
{
    log_field(std::string_view field_name, std::string_view text);
    log_field(std::string_view field_name, const char* text);
    log_field(std::string_view field_name, const std::string& text);
    log_field(std::string_view field_name, std::int64_t number);
    log_field(std::string_view field_name, std::uint64_t number);
    log_field(std::string_view field_name, int number);

    std::string name;
    std::string json; ///< The value as JSON text.
};

/// Formats \p text as a quoted JSON string; bytes that are not valid UTF-8 become U+FFFD.
std::string json_quote(std::string_view text);

class bounded_log;

/// Writes lines such as
/// {"time":"...","level":"info","component":"journal","instance":"entry-1","message":"..."}.
class logger
{
public:
    using sink = std::function<void(const std::string& line)>;

    /// Writes to standard error.
    logger(const clock_source& clock, std::string instance, log_level min_level);
    logger(const clock_source& clock, std::string instance, log_level min_level,
           sink write);
    /// Writes to \p bounded, which must outlive the logger.
    logger(const clock_source& clock, std::string instance, log_level min_level,
           bounded_log& bounded);

    void debug(std::string_view component, std::string_view message,
               std::initializer_list<log_field> fields = {}) const;
    void info(std::string_view component, std::string_view message,
              std::initializer_list<log_field> fields = {}) const;
    void warning(std::string_view component, std::string_view message,
                 std::initializer_list<log_field> fields = {}) const;
    void error(std::string_view component, std::string_view message,
               std::initializer_list<log_field> fields = {}) const;

private:
    void write(log_level level, std::string_view component, std::string_view message,
               std::initializer_list<log_field> fields) const;

    const clock_source& clock_;
    std::string instance_;
    log_level min_level_;
    sink write_;
    bounded_log* bounded_ = nullptr;
};

} // namespace hawthornbeam

#endif
