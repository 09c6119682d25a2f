/// \file
/// Gossip datagrams.
#ifndef HAWTHORNBEAM_LIB_MEMBERSHIP_GOSSIP_HPP
#define HAWTHORNBEAM_LIB_MEMBERSHIP_GOSSIP_HPP

#include "hawthornbeam/membership/membership.hpp"

#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// What is said about a member within one of its incarnations; a higher value overrides
/// a lower one of the same incarnation.
enum class standing : std::uint8_t
{
    alive,
    suspected,
    dead
};

/// A statement about a member. Whether it is leaving is kept beside its standing, so
/// that a suspected member does not lose it.
struct member_update
{
    member subject; ///< Its state field is not sent.
    standing claim = standing::alive;
    bool leaving = false;
};

enum class gossip_kind : std::uint8_t
{
    ping,         ///< Answered with an ack by the target alone.
    ack,          ///< Also forwarded by a helper.
    ping_request, ///< Asks the receiver to ping the target.
    sync_request, ///< Asks for the members after an id.
    sync_reply    ///< One page of members.
};

struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    std::uint32_t sequence = 0;
    instance_id from;
    incarnation life;
    table_version table;
    instance_id target;       ///< Ping, ack, ping_request: who is probed.
    gossip_address target_at; ///< ping_request.
    instance_id after;        ///< Sync: the page starts after this id.
    std::uint64_t digest = 0; ///< sync_request: digest of the sender's member list.
    bool more = false;        ///< sync_reply: more pages follow.
    std::vector<member_update> updates;
};

/// Longest text in a datagram; lengths take one byte.
inline constexpr std::size_t most_gossip_text = 255;

/// Asserts that no text exceeds most_gossip_text.
std::string encode_gossip(const gossip_message& message);
/// Fails with invalid_input.
result<gossip_message> decode_gossip(std::string_view bytes);
/// Bytes that \p update adds to a datagram.
std::size_t encoded_size(const member_update& update);

} // namespace hawthornbeam

#endif
