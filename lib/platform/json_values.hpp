/// \file
/// Strict access to JSON members, used by the platform bindings and the stand-ins.
#ifndef HAWTHORNBEAM_LIB_PLATFORM_JSON_VALUES_HPP
#define HAWTHORNBEAM_LIB_PLATFORM_JSON_VALUES_HPP

#include "hawthornbeam/support/units.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace hawthornbeam
{

using json = nlohmann::json;

/// Thrown, as is json::exception, by the functions below; caught where a response is
/// decoded.
class malformed_json : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Each of these functions reads member \p name of \p object and throws when it is absent
/// or of another type. Numbers with a fraction are not integers.
std::uint64_t unsigned_at(const json& object, const char* name);
std::int64_t integer_at(const json& object, const char* name);
std::string text_at(const json& object, const char* name);
bool flag_at(const json& object, const char* name);
/// Decodes base64.
std::string bytes_at(const json& object, const char* name);
resources resources_at(const json& object, const char* name);
const json& array_at(const json& object, const char* name);
/// Reads a number or one of "NaN", "Infinity", "-Infinity". Usage reports are advisory,
/// so any other value, or none, reads as NaN instead of invalidating the whole response.
double usage_at(const json& object, const char* name);

std::string encode_bytes(const std::string& bytes);
json encode_resources(const resources& amounts);
/// Encodes NaN and infinities as strings, because JSON numbers cannot represent them.
json encode_usage(double value);

/// Parses \p text; returns a discarded value when it is not valid JSON.
json parse_json(const std::string& text);
/// Serializes \p value; invalid UTF-8 is replaced.
std::string print_json(const json& value);

} // namespace hawthornbeam

#endif
