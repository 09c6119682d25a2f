#include "hawthornbeam/support/result.hpp"

#include <fmt/format.h>

namespace hawthornbeam
{

const char* to_string(error_code code)
{
    switch (code)
    {
    case error_code::invalid_input:
        return "invalid_input";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::outcome_unknown:
        return "outcome_unknown";
    case error_code::deadline_exceeded:
        return "deadline_exceeded";
    case error_code::limit_exceeded:
        return "limit_exceeded";
    case error_code::denied:
        return "denied";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

std::string finding::text() const
{
    std::string text = source;
    if (line > 0)
        text += fmt::format("{}{}", text.empty() ? "line " : ":", line);
    if (!place.empty())
        text += fmt::format("{}{}", text.empty() ? "" : ": ", place);
    text += fmt::format("{}{}", text.empty() ? "" : ": ", message);
    if (!expected.empty())
        text += fmt::format(" (expected {})", expected);
    return text;
}

} // namespace hawthornbeam
