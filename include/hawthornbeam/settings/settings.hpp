/// \file
/// Settings of an instance, read from TOML and checked as a whole.
#ifndef HAWTHORNBEAM_SETTINGS_SETTINGS_HPP
#define HAWTHORNBEAM_SETTINGS_SETTINGS_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// What a token's holder may do.
enum class access_role : std::uint8_t
{
    partner, ///< Submits and reads its own partner's work; reads the table.
    /// Also edits the table and acts on all work and workers. The underscore avoids the
    /// keyword.
    operator_ // NOLINT(readability-identifier-naming)
};

/// A token that callers present as "Authorization: Bearer TOKEN".
struct access_token
{
    std::string name;  ///< Shown in logs and the table's history, never the token.
    std::string token; ///< At least 16 characters.
    access_role role = access_role::partner;
    partner_id partner; ///< Empty for operators.
};

/// Settings of hawthornd.
struct instance_settings
{
    instance_id id;
    std::string region;
    failure_domain_id failure_domain;

    std::string listen_ip;          ///< Literal IP address.
    std::uint16_t http_port = 0;    ///< Zero picks a free port.
    std::uint16_t peer_port = 0;    ///< Inner protocol, TCP.
    std::uint16_t gossip_port = 0;  ///< Gossip, UDP.
    std::vector<std::string> seeds; ///< "IP:PORT" of gossip of other instances.

    std::string kv_url;        ///< "http://IP:PORT".
    std::string host_list_url; ///< "http://IP:PORT".

    std::uint16_t partitions = 64; ///< The same at every instance.
    std::size_t max_body_bytes = std::size_t{256} << 10U;
    std::size_t max_open_requests = 10000;
    double max_requests_per_second = 1000; ///< Per token.
    duration drain_limit = std::chrono::seconds(30);
    std::uint64_t seed = 0; ///< Zero takes one from the clock.

    std::vector<access_token> tokens;
};

/// Settings, or everything that is wrong with them.
struct parsed_settings
{
    std::optional<instance_settings> settings;
    findings faults;
};

/// Parses TOML text; \p file is used in findings.
parsed_settings parse_settings(std::string_view text, const std::string& file);
/// Reads and parses a file. A file that cannot be read is a finding.
parsed_settings load_settings(const std::string& file);

} // namespace hawthornbeam

#endif
