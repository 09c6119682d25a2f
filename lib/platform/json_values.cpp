/// \file
/// Strict access to JSON members, and encoding of values as JSON.
#include "lib/platform/json_values.hpp"

#include <cmath>
#include <glib.h>
#include <limits>

namespace hawthornbeam
{

namespace
{

constexpr const char* base64_alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

bool is_base64(const std::string& text)
{
    // g_base64_decode skips invalid characters, which would hide corrupted data.
    if (text.size() % 4 != 0)
        return false;
    const std::size_t end = text.find_first_not_of(base64_alphabet);
    if (end == std::string::npos)
        return true;
    return end + 2 >= text.size() &&
           text.find_first_not_of('=', end) == std::string::npos;
}

[[noreturn]] void throw_malformed(const char* name, const char* expected)
{
    throw malformed_json(std::string(name) + " is not " + expected);
}

} // namespace

std::uint64_t unsigned_at(const json& object, const char* name)
{
    const json& member = object.at(name);
    if (!member.is_number_unsigned())
        throw_malformed(name, "a non-negative integer");
    return member.get<std::uint64_t>();
}

std::int64_t integer_at(const json& object, const char* name)
{
    const json& member = object.at(name);
    if (!member.is_number_integer())
        throw_malformed(name, "an integer");
    if (member.is_number_unsigned() &&
        member.get<std::uint64_t>() >
            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
        throw_malformed(name, "in the range of 64-bit integers");
    return member.get<std::int64_t>();
}

std::string text_at(const json& object, const char* name)
{
    return object.at(name).get_ref<const std::string&>();
}

bool flag_at(const json& object, const char* name)
{
    return object.at(name).get_ref<const bool&>();
}

std::string bytes_at(const json& object, const char* name)
{
    const std::string& text = object.at(name).get_ref<const std::string&>();
    if (!is_base64(text))
        throw_malformed(name, "base64");
    gsize size = 0;
    guchar* bytes = g_base64_decode(text.c_str(), &size);
    std::string decoded(reinterpret_cast<const char*>(bytes), size);
    g_free(bytes);
    return decoded;
}

resources resources_at(const json& object, const char* name)
{
    const json& member = object.at(name);
    return resources{millicores(integer_at(member, "millicores")),
                     byte_count(integer_at(member, "memory")),
                     accelerator_count(integer_at(member, "accelerators"))};
}

const json& array_at(const json& object, const char* name)
{
    const json& member = object.at(name);
    if (!member.is_array())
        throw_malformed(name, "an array");
    return member;
}

double usage_at(const json& object, const char* name)
{
    const double invalid_usage = std::numeric_limits<double>::quiet_NaN();
    const json::const_iterator member = object.find(name);
    if (member == object.end())
        return invalid_usage;
    if (member->is_number())
        return member->get<double>();
    if (*member == "Infinity")
        return std::numeric_limits<double>::infinity();
    if (*member == "-Infinity")
        return -std::numeric_limits<double>::infinity();
    return invalid_usage;
}

std::string encode_bytes(const std::string& bytes)
{
    gchar* text =
        g_base64_encode(reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
    std::string encoded(text);
    g_free(text);
    return encoded;
}

json encode_resources(const resources& amounts)
{
    return json{{"millicores", amounts.processors.value()},
                {"memory", amounts.memory.value()},
                {"accelerators", amounts.accelerators.value()}};
}

json encode_usage(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "Infinity" : "-Infinity";
    return value;
}

json parse_json(const std::string& text)
{
    return json::parse(text, nullptr, false);
}

std::string print_json(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace hawthornbeam
