#include "snapshot.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Larger counts cannot be represented exactly as doubles.
constexpr std::uint64_t max_count = std::uint64_t{1} << 53U;

std::string header()
{
    return fmt::format("hawthornbeam-metrics 1 {}", histogram_bins);
}

bool is_letter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

bool is_valid_name(std::string_view name, bool allow_colon)
{
    if (name.empty() || !(is_letter(name[0]) || (allow_colon && name[0] == ':')))
        return false;
    return std::all_of(name.begin(), name.end(),
                       [allow_colon](char c) {
                           return is_letter(c) || (c >= '0' && c <= '9') ||
                                  (allow_colon && c == ':');
                       });
}

/// Escapes tabs and line feeds, which separate fields and series.
std::string escape(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
    {
        if (c == '\t')
            escaped += "\\t";
        else if (c == '\n')
            escaped += "\\n";
        else if (c == '\\')
            escaped += "\\\\";
        else
            escaped += c;
    }
    return escaped;
}

bool unescape(std::string_view text, std::string& plain)
{
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] != '\\')
        {
            plain += text[i];
            continue;
        }
        if (++i == text.size())
            return false;
        if (text[i] != 't' && text[i] != 'n' && text[i] != '\\')
            return false;
        plain += text[i] == 't' ? '\t' : text[i] == 'n' ? '\n' : '\\';
    }
    return true;
}

/// Removes the text before the first \p separator, or all text when there is none, from
/// \p rest and returns it. The separator is removed too.
std::string_view split_off(std::string_view& rest, char separator)
{
    const std::size_t end = rest.find(separator);
    const std::string_view head = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    return head;
}

template <class Number>
bool read_number(std::string_view text, Number& value)
{
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return read.ec == std::errc() && read.ptr == text.data() + text.size();
}

const char* read_bins(std::string_view text, snapshot_series& series)
{
    int previous = -2;
    while (!text.empty())
    {
        std::string_view pair = split_off(text, ',');
        int bin = 0;
        std::uint64_t count = 0;
        if (!read_number(split_off(pair, ':'), bin) || !read_number(pair, count))
            return "a bin is not INDEX:COUNT";
        if (bin <= previous || bin > histogram_bins)
            return "a bin index is out of range or out of order";
        if (count == 0 || count > max_count)
            return "a bin count is out of range";
        previous = bin;
        series.bins.emplace_back(bin, count);
    }
    return nullptr;
}

const char* read_labels(std::string_view text, bool has_text, snapshot_series& series)
{
    while (has_text)
    {
        const std::string_view name = split_off(text, '\t');
        if (!is_label_name(name))
            return "a label name is malformed";
        has_text = text.find('\t') != std::string_view::npos;
        std::string value;
        if (!unescape(split_off(text, '\t'), value))
            return "a label value has a malformed escape";
        series.labels.emplace_back(std::string(name), std::move(value));
    }
    return nullptr;
}

/// Parses one line. Returns an error message, or nullptr on success.
const char* read_series(std::string_view line, snapshot_series& series)
{
    const std::string_view kind = split_off(line, '\t');
    if (kind != "c" && kind != "g" && kind != "h")
        return "the kind is not c, g or h";
    series.kind = static_cast<metric_kind>(kind[0]);
    series.name = split_off(line, '\t');
    if (!is_metric_name(series.name))
        return "the metric name is malformed";
    bool has_more = line.find('\t') != std::string_view::npos;
    if (!read_number(split_off(line, '\t'), series.value) || !std::isfinite(series.value))
        return "the value is not a finite number";
    if (series.kind != metric_kind::gauge && series.value < 0)
        return "the value is negative";
    if (series.kind == metric_kind::histogram)
    {
        if (!has_more)
            return "the bins are missing";
        has_more = line.find('\t') != std::string_view::npos;
        const char* fault = read_bins(split_off(line, '\t'), series);
        if (fault != nullptr)
            return fault;
    }
    return read_labels(line, has_more, series);
}

error malformed(std::size_t line, std::string_view what)
{
    return make_error(error_code::invalid_input,
                      fmt::format("metrics snapshot, line {}: {}", line, what));
}

} // namespace

bool is_metric_name(std::string_view name)
{
    return is_valid_name(name, true);
}

bool is_label_name(std::string_view name)
{
    return is_valid_name(name, false) && name != "le" && !name.starts_with("__");
}

std::string write_snapshot(const std::vector<snapshot_series>& all)
{
    std::string text = header() + "\n";
    for (const snapshot_series& series : all)
    {
        fmt::format_to(std::back_inserter(text), "{}\t{}\t{}",
                       static_cast<char>(series.kind), series.name, series.value);
        if (series.kind == metric_kind::histogram)
            text += '\t';
        for (std::size_t i = 0; i < series.bins.size(); ++i)
            fmt::format_to(std::back_inserter(text), "{}{}:{}", i == 0 ? "" : ",",
                           series.bins[i].first, series.bins[i].second);
        for (const std::pair<std::string, std::string>& label : series.labels)
            fmt::format_to(std::back_inserter(text), "\t{}\t{}", label.first,
                           escape(label.second));
        text += '\n';
    }
    return text + fmt::format("end {}\n", all.size());
}

result<std::vector<snapshot_series>> parse_snapshot(std::string_view text)
{
    if (split_off(text, '\n') != header())
        return malformed(1, fmt::format("the header is not \"{}\"", header()));
    std::vector<snapshot_series> all;
    for (std::size_t line = 2; !text.empty(); ++line)
    {
        const std::string_view content = split_off(text, '\n');
        if (content.starts_with("end "))
        {
            if (content != fmt::format("end {}", all.size()) || !text.empty())
                return malformed(line, "the number of series does not agree");
            return all;
        }
        snapshot_series series;
        const char* fault = read_series(content, series);
        if (fault != nullptr)
            return malformed(line, fault);
        all.push_back(std::move(series));
    }
    return malformed(all.size() + 2, "the last line is missing; the text is cut off");
}

} // namespace hawthornbeam
