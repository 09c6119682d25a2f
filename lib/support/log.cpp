#include "hawthornbeam/support/log.hpp"

#include "hawthornbeam/support/bounded_log.hpp"

#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <glib.h>

namespace hawthornbeam
{

namespace
{

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning",
                                                      "error"};

void write_to_standard_error(const std::string& line)
{
    // A single call per line keeps lines from interleaving.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

std::string valid_utf8(std::string_view text)
{
    gchar* valid = g_utf8_make_valid(text.data(), static_cast<gssize>(text.size()));
    std::string copy(valid);
    g_free(valid);
    return copy;
}

} // namespace

std::optional<log_level> parse_log_level(std::string_view text)
{
    for (std::size_t i = 0; i < level_names.size(); ++i)
        if (level_names[i] == text)
            return static_cast<log_level>(i);
    return std::nullopt;
}

std::string json_quote(std::string_view text)
{
    std::string quoted = "\"";
    for (const char c : valid_utf8(text))
    {
        if (c == '"' || c == '\\')
        {
            quoted += '\\';
            quoted += c;
        }
        else if (static_cast<unsigned char>(c) < 0x20)
            quoted += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        else
            quoted += c;
    }
    quoted += '"';
    return quoted;
}

log_field::log_field(std::string_view field_name, std::string_view text)
    : name(field_name), json(json_quote(text))
{
}
log_field::log_field(std::string_view field_name, const char* text)
    : log_field(field_name, std::string_view(text))
{
}
log_field::log_field(std::string_view field_name, const std::string& text)
    : log_field(field_name, std::string_view(text))
{
}
log_field::log_field(std::string_view field_name, std::int64_t number)
    : name(field_name), json(fmt::to_string(number))
{
}
log_field::log_field(std::string_view field_name, std::uint64_t number)
    : name(field_name), json(fmt::to_string(number))
{
}
log_field::log_field(std::string_view field_name, int number)
    : name(field_name), json(fmt::to_string(number))
{
}

logger::logger(const clock_source& clock, std::string instance, log_level min_level)
    : logger(clock, std::move(instance), min_level, write_to_standard_error)
{
}

logger::logger(const clock_source& clock, std::string instance, log_level min_level,
               sink write)
    : clock_(clock), instance_(std::move(instance)), min_level_(min_level),
      write_(std::move(write))
{
}

logger::logger(const clock_source& clock, std::string instance, log_level min_level,
               bounded_log& bounded)
    : logger(clock, std::move(instance), min_level,
             [&bounded](const std::string& line) { bounded.write(line); })
{
    bounded_ = &bounded;
}

void logger::debug(std::string_view component, std::string_view message,
                   std::initializer_list<log_field> fields) const
{
    write(log_level::debug, component, message, fields);
}

void logger::info(std::string_view component, std::string_view message,
                  std::initializer_list<log_field> fields) const
{
    write(log_level::info, component, message, fields);
}

void logger::warning(std::string_view component, std::string_view message,
                     std::initializer_list<log_field> fields) const
{
    write(log_level::warning, component, message, fields);
}

void logger::error(std::string_view component, std::string_view message,
                   std::initializer_list<log_field> fields) const
{
    write(log_level::error, component, message, fields);
}

void logger::write(log_level level, std::string_view component, std::string_view message,
                   std::initializer_list<log_field> fields) const
{
    if (level < min_level_)
        return;
    if (bounded_ != nullptr && !bounded_->admit(level, component, message))
        return;
    std::string line = fmt::format(
        R"({{"time":"{}","level":"{}","component":{},"instance":{},"message":{})",
        format_wall_time(clock_.wall_now()), level_names[static_cast<std::size_t>(level)],
        json_quote(component), json_quote(instance_), json_quote(message));
    for (const log_field& field : fields)
        line += fmt::format(",{}:{}", json_quote(field.name), field.json);
    line += "}\n";
    write_(line);
}

} // namespace hawthornbeam
