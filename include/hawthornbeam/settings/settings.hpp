/// \file
/// Settings of an instance, which are read from a TOML file and validated.
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

/// Permissions of a token.
enum class access_role : std::uint8_t
{
    partner, ///< Submits and reads its partner's jobs; reads the table.
    /// Also edits the table and controls all jobs and workers. The underscore avoids the
    /// C++ keyword.
    operator_ // NOLINT(readability-identifier-naming)
};

/// A token that callers present as "Authorization: Bearer TOKEN".
struct access_token
{
    std::string name;  ///< Shown in logs and the table's history instead of the token.
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
    std::uint16_t peer_port = 0;    ///< TCP port of the protocol between instances.
    std::uint16_t gossip_port = 0;  ///< UDP port for gossip.
    std::vector<std::string> seeds; ///< Gossip addresses of other instances, "IP:PORT".

    std::string kv_url;        ///< "http://IP:PORT".
    std::string host_list_url; ///< "http://IP:PORT".

    std::uint16_t partitions = 64; ///< Must be equal on all instances.
    std::size_t max_body_bytes = std::size_t{256} << 10U;
    std::size_t max_open_requests = 10000;
    /// Connections of clients, and bytes that their unfinished requests may hold. The
    /// defaults are derived from the limit on descriptors, and 32 MiB.
    std::optional<std::size_t> max_connections;
    std::optional<std::size_t> request_memory_bytes;
    double max_requests_per_second = 1000; ///< Limit per token.
    duration drain_limit = std::chrono::seconds(30);
    std::uint64_t seed = 0; ///< Zero derives a seed from the clock.

    std::vector<access_token> tokens;
};

/// Valid settings, or all findings about the file.
struct parsed_settings
{
    std::optional<instance_settings> settings;
    findings faults;
};

/// Parses TOML text; \p file is the file name in findings.
parsed_settings parse_settings(std::string_view text, const std::string& file);
/// Reads and parses \p file. An unreadable file is reported as a finding.
parsed_settings load_settings(const std::string& file);

} // namespace hawthornbeam

#endif
