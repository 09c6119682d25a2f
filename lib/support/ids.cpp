#include "hawthornbeam/support/ids.hpp"

#include <cassert>
#include <charconv>
#include <fmt/format.h>
#include <xxhash.h>

namespace hawthornbeam
{

namespace
{

constexpr std::size_t hex_digits_per_word = 16;

template <class Number>
std::optional<Number> parse_number(std::string_view text, int base)
{
    Number number = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data(), end, number, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

job_id job_id::derive(const partner_id& partner, const request_id& request)
{
    const std::string key =
        fmt::format("{}:{}{}", partner.value().size(), partner.value(), request.value());
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    return {hash.high64, hash.low64};
}

std::optional<job_id> job_id::parse(std::string_view text)
{
    if (text.size() != 2 * hex_digits_per_word)
        return std::nullopt;
    if (text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint64_t> high =
        parse_number<std::uint64_t>(text.substr(0, hex_digits_per_word), 16);
    const std::optional<std::uint64_t> low =
        parse_number<std::uint64_t>(text.substr(hex_digits_per_word), 16);
    if (!high || !low)
        return std::nullopt;
    return job_id(*high, *low);
}

std::string job_id::text() const
{
    return fmt::format("{:016x}{:016x}", high_, low_);
}

partition_id job_id::partition(std::uint16_t count) const
{
    assert(count > 0 && "there must be at least one partition");
    return partition_id(static_cast<std::uint16_t>(high_ % count));
}

std::string task_id::text() const
{
    return fmt::format("{}-{}-{}", job.text(), index, attempt);
}

std::optional<task_id> task_id::parse(std::string_view text)
{
    const std::size_t first = text.find('-');
    if (first == std::string_view::npos)
        return std::nullopt;
    const std::size_t second = text.find('-', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    const std::optional<job_id> job = job_id::parse(text.substr(0, first));
    const std::optional<std::uint32_t> index =
        parse_number<std::uint32_t>(text.substr(first + 1, second - first - 1), 10);
    const std::optional<std::uint16_t> attempt =
        parse_number<std::uint16_t>(text.substr(second + 1), 10);
    if (!job || !index || !attempt)
        return std::nullopt;
    return task_id{*job, *index, *attempt};
}

slice_id make_slice_id(const failure_domain_id& domain, const rack_id& rack)
{
    return slice_id(domain.value() + "/" + rack.value());
}

row_id make_row_id(const partner_id& partner, std::string_view kind)
{
    return row_id(fmt::format("{}/{}", partner.value(), kind));
}

partner_id partner_of(const row_id& row)
{
    const std::size_t slash = row.value().find('/');
    if (slash == std::string::npos)
        return partner_id();
    return partner_id(row.value().substr(0, slash));
}

} // namespace hawthornbeam
