#include "hawthornbeam/support/toml_tree.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <iterator>

#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

namespace hawthornbeam
{

namespace
{

struct unit_name
{
    std::string_view name;
    double nanoseconds;
};

constexpr std::array<unit_name, 7> units{{{"ns", 1.0},
                                          {"us", 1e3},
                                          {"ms", 1e6},
                                          {"s", 1e9},
                                          {"min", 60e9},
                                          {"h", 3600e9},
                                          {"d", 86400e9}}};

constexpr std::string_view duration_format = "a time with its unit, such as \"30 s\"";

const char* kind_name(toml_node::kind kind)
{
    constexpr std::array<const char*, 7> names{
        "a string",       "an integer", "a number", "true or false",
        "a date or time", "an array",   "a table"};
    return names[static_cast<std::size_t>(kind)];
}

toml_node convert(const toml::node& source);

void convert_value(const toml::node& source, toml_node& node)
{
    if (source.is_string())
    {
        node.what = toml_node::kind::text;
        node.text = source.as_string()->get();
    }
    else if (source.is_integer())
    {
        node.what = toml_node::kind::integer;
        node.integer = source.as_integer()->get();
        node.number = static_cast<double>(node.integer);
    }
    else if (source.is_floating_point())
    {
        node.what = toml_node::kind::number;
        node.number = source.as_floating_point()->get();
    }
    else if (source.is_boolean())
    {
        node.what = toml_node::kind::boolean;
        node.boolean = source.as_boolean()->get();
    }
    else
        node.what = toml_node::kind::time;
}

toml_node convert(const toml::node& source)
{
    toml_node node;
    node.line = static_cast<int>(source.source().begin.line);
    if (const toml::table* table = source.as_table())
    {
        for (toml::table::const_iterator i = table->cbegin(); i != table->cend(); ++i)
            node.members.push_back({std::string(i->first.str()), convert(i->second)});
    }
    else if (const toml::array* array = source.as_array())
    {
        node.what = toml_node::kind::array;
        for (const toml::node& item : *array)
            node.items.push_back(convert(item));
    }
    else
        convert_value(source, node);
    return node;
}

} // namespace

const toml_node* toml_node::find(std::string_view key) const
{
    for (const toml_member& member : members)
        if (member.key == key)
            return &member.value;
    return nullptr;
}

parsed_toml parse_toml(std::string_view text, const std::string& file)
{
    const toml::parse_result parsed = toml::parse(text, file);
    if (!parsed)
    {
        const toml::parse_error& fault = parsed.error();
        return {std::nullopt,
                {finding{file, static_cast<int>(fault.source().begin.line), "",
                         std::string(fault.description()), "a TOML document"}}};
    }
    return {convert(parsed.table()), {}};
}

std::optional<duration> parse_duration(std::string_view text)
{
    double amount = 0;
    const std::from_chars_result read = std::from_chars(
        text.data(), text.data() + text.size(), amount, std::chars_format::fixed);
    if (read.ec != std::errc() || !std::isfinite(amount) || std::signbit(amount))
        return std::nullopt;
    std::string_view unit = text.substr(static_cast<std::size_t>(read.ptr - text.data()));
    while (!unit.empty() && unit.front() == ' ')
        unit.remove_prefix(1);
    for (const unit_name& known : units)
    {
        const double count = amount * known.nanoseconds;
        // Beyond 2^62 ns (146 years) the conversion to 64 bits could overflow.
        if (known.name == unit && count < 0x1.0p62)
            return duration(std::llround(count));
    }
    return std::nullopt;
}

toml_table_reader::toml_table_reader(const toml_node& table, std::string place,
                                     const std::string& file, findings& faults)
    : table_(table), place_(std::move(place)), file_(file), faults_(faults)
{
}

std::string toml_table_reader::path(std::string_view key) const
{
    if (place_.empty() || key.empty())
        return place_ + std::string(key);
    return place_ + "." + std::string(key);
}

void toml_table_reader::report(std::string_view key, std::string message,
                               std::string expected)
{
    const toml_node* node = table_.find(key);
    faults_.push_back(finding{file_, node != nullptr ? node->line : table_.line,
                              path(key), std::move(message), std::move(expected)});
}

const toml_node* toml_table_reader::find(std::string_view key, presence need,
                                         toml_node::kind expected)
{
    read_keys_.emplace(key);
    const toml_node* node = table_.find(key);
    if (node == nullptr)
    {
        if (need == presence::required)
            report(key, "is missing", kind_name(expected));
        return nullptr;
    }
    const bool is_integer_for_number =
        expected == toml_node::kind::number && node->what == toml_node::kind::integer;
    if (node->what == expected || is_integer_for_number)
        return node;
    report(key, fmt::format("is {}", kind_name(node->what)), kind_name(expected));
    return nullptr;
}

std::optional<std::string> toml_table_reader::text(std::string_view key, presence need)
{
    const toml_node* node = find(key, need, toml_node::kind::text);
    if (node == nullptr)
        return std::nullopt;
    return node->text;
}

std::optional<bool> toml_table_reader::boolean(std::string_view key, presence need)
{
    const toml_node* value = find(key, need, toml_node::kind::boolean);
    return value != nullptr ? std::optional<bool>(value->boolean) : std::nullopt;
}

std::optional<std::int64_t> toml_table_reader::integer(std::string_view key,
                                                       presence need, std::int64_t min,
                                                       std::int64_t max)
{
    const toml_node* node = find(key, need, toml_node::kind::integer);
    if (node == nullptr)
        return std::nullopt;
    if (node->integer >= min && node->integer <= max)
        return node->integer;
    report(key, fmt::format("is {}", node->integer), fmt::format("{} to {}", min, max));
    return std::nullopt;
}

std::optional<double> toml_table_reader::number(std::string_view key, presence need,
                                                double min, double max)
{
    const toml_node* node = find(key, need, toml_node::kind::number);
    if (node == nullptr)
        return std::nullopt;
    // NaN fails both comparisons and is therefore rejected.
    if (node->number >= min && node->number <= max)
        return node->number;
    report(key, fmt::format("is {}", node->number), fmt::format("{} to {}", min, max));
    return std::nullopt;
}

std::optional<duration> toml_table_reader::time_span(std::string_view key, presence need,
                                                     duration min, duration max)
{
    read_keys_.emplace(key);
    const toml_node* raw = table_.find(key);
    if (raw != nullptr && raw->what != toml_node::kind::text)
    {
        report(key, fmt::format("is {}", kind_name(raw->what)),
               std::string(duration_format));
        return std::nullopt;
    }
    const std::optional<std::string> written = text(key, need);
    if (!written)
        return std::nullopt;
    const std::optional<duration> value = parse_duration(*written);
    if (value && *value >= min && *value <= max)
        return value;
    if (!value)
        report(key, fmt::format("\"{}\" is not a time", *written),
               std::string(duration_format));
    else
        report(key, fmt::format("is \"{}\"", *written),
               fmt::format("{} s to {} s", std::chrono::duration<double>(min).count(),
                           std::chrono::duration<double>(max).count()));
    return std::nullopt;
}

const toml_node* toml_table_reader::array(std::string_view key, presence need,
                                          toml_node::kind items)
{
    const toml_node* node = find(key, need, toml_node::kind::array);
    if (node == nullptr)
        return nullptr;
    bool all_valid = true;
    for (std::size_t i = 0; i < node->items.size(); ++i)
    {
        if (node->items[i].what == items)
            continue;
        all_valid = false;
        faults_.push_back(finding{
            file_, node->items[i].line, fmt::format("{}[{}]", path(key), i),
            fmt::format("is {}", kind_name(node->items[i].what)), kind_name(items)});
    }
    return all_valid ? node : nullptr;
}

const toml_node* toml_table_reader::table(std::string_view key, presence need)
{
    return find(key, need, toml_node::kind::table);
}

void toml_table_reader::finish()
{
    std::string expected;
    for (const std::string& key : read_keys_)
        expected += (expected.empty() ? "" : ", ") + key;
    for (const toml_member& member : table_.members)
        if (!read_keys_.contains(member.key))
            report(member.key,
                   member.value.what == toml_node::kind::table ? "is an unknown table"
                                                               : "is an unknown key",
                   "one of " + expected);
}

} // namespace hawthornbeam
