#include "hawthornbeam/settings/settings.hpp"

#include "hawthornbeam/support/text_file.hpp"
#include "hawthornbeam/support/toml_tree.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <gio/gio.h>
#include <limits>
#include <map>

namespace hawthornbeam
{

namespace
{

constexpr std::int64_t max_port = 65535;
constexpr std::size_t min_token_length = 16;
constexpr std::string_view ip_format = "a literal IPv4 or IPv6 address";
constexpr std::string_view seed_format = "IP:PORT, an IPv6 address in brackets";
constexpr std::string_view url_format = "http://IP:PORT";

bool is_literal_ip(const std::string& text)
{
    return g_hostname_is_ip_address(text.c_str()) != FALSE;
}

bool is_port(std::string_view text)
{
    std::uint16_t port = 0;
    const std::from_chars_result read =
        std::from_chars(text.data(), text.data() + text.size(), port);
    return read.ec == std::errc() && read.ptr == text.data() + text.size() && port > 0;
}

/// Returns true for an address such as "1.2.3.4:5" or "[::1]:5".
bool is_ip_and_port(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1)))
        return false;
    std::string_view host = text.substr(0, colon);
    const bool in_brackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (in_brackets)
        host = host.substr(1, host.size() - 2);
    const bool is_ipv6 = host.find(':') != std::string_view::npos;
    return is_ipv6 == in_brackets && is_literal_ip(std::string(host));
}

bool is_base_url(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    return text.starts_with(scheme) && is_ip_and_port(text.substr(scheme.size()));
}

/// Checks an id. Ids are used in keys, paths and labels, so they must not contain
/// separators or control characters.
bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= 64 &&
           std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return g_ascii_isalnum(c) != FALSE || c == '-' || c == '_' ||
                                  c == '.';
                       });
}

std::string read_name(toml_table_reader& reader, std::string_view key, presence need)
{
    const std::optional<std::string> value = reader.text(key, need);
    if (!value)
        return "";
    if (!is_name(*value))
        reader.report(key, fmt::format("is \"{}\"", *value),
                      "1 to 64 letters, digits, '-', '_' or '.'");
    return *value;
}

std::string read_url(toml_table_reader& reader, std::string_view key)
{
    const std::optional<std::string> value = reader.text(key, presence::required);
    if (value && !is_base_url(*value))
        reader.report(key, fmt::format("is \"{}\"", *value), std::string(url_format));
    return value.value_or("");
}

std::uint16_t read_port(toml_table_reader& reader, std::string_view key, std::int64_t min)
{
    return static_cast<std::uint16_t>(
        reader.integer(key, presence::required, min, max_port).value_or(0));
}

void read_identity(toml_table_reader& reader, instance_settings& settings)
{
    settings.id = instance_id(read_name(reader, "id", presence::required));
    settings.region = read_name(reader, "region", presence::required);
    settings.failure_domain =
        failure_domain_id(read_name(reader, "failure_domain", presence::required));
}

void read_addresses(toml_table_reader& reader, instance_settings& settings)
{
    settings.listen_ip = reader.text("listen_ip", presence::required).value_or("");
    if (!settings.listen_ip.empty() && !is_literal_ip(settings.listen_ip))
        reader.report("listen_ip", fmt::format("is \"{}\"", settings.listen_ip),
                      std::string(ip_format));
    settings.http_port = read_port(reader, "http_port", 0);
    settings.peer_port = read_port(reader, "peer_port", 1);
    settings.gossip_port = read_port(reader, "gossip_port", 1);
    if (settings.http_port != 0 && settings.http_port == settings.peer_port)
        reader.report("peer_port", "is also the http_port", "a TCP port of its own");
    const toml_node* seeds =
        reader.array("seeds", presence::optional, toml_node::kind::text);
    for (std::size_t i = 0; seeds != nullptr && i < seeds->items.size(); ++i)
    {
        const std::string& seed = seeds->items[i].text;
        settings.seeds.push_back(seed);
        if (!is_ip_and_port(seed))
            reader.report("seeds", fmt::format("item {} is \"{}\"", i, seed),
                          std::string(seed_format));
    }
    settings.kv_url = read_url(reader, "kv_url");
    settings.host_list_url = read_url(reader, "host_list_url");
}

/// Assigns the value of \p key to \p target when the key is present and valid.
template <class T>
void read_integer(toml_table_reader& reader, std::string_view key, std::int64_t min,
                  std::int64_t max, T& target)
{
    const std::optional<std::int64_t> value =
        reader.integer(key, presence::optional, min, max);
    if (value)
        target = static_cast<T>(*value);
}

/// The same for a value whose default depends on other things.
void read_integer(toml_table_reader& reader, std::string_view key, std::int64_t min,
                  std::int64_t max, std::optional<std::size_t>& target)
{
    const std::optional<std::int64_t> value =
        reader.integer(key, presence::optional, min, max);
    if (value)
        target = static_cast<std::size_t>(*value);
}

void read_limits(toml_table_reader& reader, instance_settings& settings)
{
    read_integer(reader, "partitions", 1, 4096, settings.partitions);
    // A request body must fit in a frame (1 MiB) of the protocol between instances,
    // together with the frame header.
    read_integer(reader, "most_body_bytes", 1024, 1000000, settings.max_body_bytes);
    read_integer(reader, "most_open_requests", 1, 1000000, settings.max_open_requests);
    read_integer(reader, "most_connections", 1, 1000000, settings.max_connections);
    read_integer(reader, "most_request_memory_bytes", 65536, 1000000000000,
                 settings.request_memory_bytes);
    settings.max_requests_per_second =
        reader.number("most_requests_per_second", presence::optional, 0.1, 1e6)
            .value_or(settings.max_requests_per_second);
    settings.drain_limit = reader
                               .time_span("drain_limit", presence::optional,
                                          std::chrono::seconds(1), std::chrono::hours(1))
                               .value_or(settings.drain_limit);
    read_integer(reader, "seed", 0, std::numeric_limits<std::int64_t>::max(),
                 settings.seed);
}

void check_partner(toml_table_reader& reader, const access_token& token)
{
    if (token.role == access_role::partner && token.partner.empty())
        reader.report("partner", "is missing",
                      "the partner whose work the token may act on");
    if (token.role == access_role::operator_ && !token.partner.empty())
        reader.report("partner", "is given for an operator's token", "no partner");
}

access_token read_token(toml_table_reader& reader)
{
    access_token token;
    token.name = read_name(reader, "name", presence::required);
    token.token = reader.text("token", presence::required).value_or("");
    const bool printable =
        std::all_of(token.token.begin(), token.token.end(),
                    [](char c) { return g_ascii_isgraph(c) != FALSE; });
    // The message must not contain the token, because findings are written to logs.
    if (!token.token.empty() && (token.token.size() < min_token_length || !printable))
        reader.report("token",
                      fmt::format("has {} characters{}", token.token.size(),
                                  printable ? "" : ", some not printable"),
                      fmt::format("at least {} printable ASCII characters, no spaces",
                                  min_token_length));
    const std::optional<std::string> role = reader.text("role", presence::required);
    token.partner = partner_id(read_name(reader, "partner", presence::optional));
    if (role && *role == "operator")
        token.role = access_role::operator_;
    else if (role && *role != "partner")
        reader.report("role", fmt::format("is \"{}\"", *role), "partner or operator");
    if (role && (*role == "operator" || *role == "partner"))
        check_partner(reader, token);
    reader.finish();
    return token;
}

/// Reports a duplicate \p value. \p seen maps each value to the line of the first token
/// that has it.
void check_unique(toml_table_reader& reader, std::string_view key,
                  const std::string& value, int line, std::map<std::string, int>& seen)
{
    if (value.empty())
        return;
    const std::pair<std::map<std::string, int>::iterator, bool> added =
        seen.emplace(value, line);
    if (!added.second)
        reader.report(key, fmt::format("repeats that of line {}", added.first->second),
                      fmt::format("a different {} for each token", key));
}

void read_tokens(toml_table_reader& reader, const std::string& file, findings& faults,
                 instance_settings& settings)
{
    const toml_node* list =
        reader.array("tokens", presence::optional, toml_node::kind::table);
    std::map<std::string, int> names;
    std::map<std::string, int> secrets;
    for (std::size_t i = 0; list != nullptr && i < list->items.size(); ++i)
    {
        const toml_node& item = list->items[i];
        toml_table_reader entry(item, fmt::format("tokens[{}]", i), file, faults);
        const access_token token = read_token(entry);
        check_unique(entry, "name", token.name, item.line, names);
        check_unique(entry, "token", token.token, item.line, secrets);
        settings.tokens.push_back(token);
    }
}

} // namespace

parsed_settings parse_settings(std::string_view text, const std::string& file)
{
    const parsed_toml document = parse_toml(text, file);
    if (!document.root)
        return {std::nullopt, document.faults};
    parsed_settings parsed;
    instance_settings settings;
    toml_table_reader reader(*document.root, "", file, parsed.faults);
    read_identity(reader, settings);
    read_addresses(reader, settings);
    read_limits(reader, settings);
    read_tokens(reader, file, parsed.faults, settings);
    reader.finish();
    std::stable_sort(parsed.faults.begin(), parsed.faults.end(),
                     [](const finding& a, const finding& b) { return a.line < b.line; });
    if (parsed.faults.empty())
        parsed.settings = std::move(settings);
    return parsed;
}

parsed_settings load_settings(const std::string& file)
{
    const std::optional<std::string> text = read_text_file(file);
    if (!text)
        return {std::nullopt, {finding{file, 0, "", "cannot be read", "a TOML file"}}};
    return parse_settings(*text, file);
}

} // namespace hawthornbeam
