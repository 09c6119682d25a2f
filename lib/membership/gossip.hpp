/// \file
/// Gossip messages and their encoding as datagrams.
#ifndef HAWTHORNBEAM_LIB_MEMBERSHIP_GOSSIP_HPP
#define HAWTHORNBEAM_LIB_MEMBERSHIP_GOSSIP_HPP

#include "hawthornbeam/membership/membership.hpp"

#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// Status of a member within one incarnation. A higher value overrides a lower one of the
/// same incarnation.
enum class liveness : std::uint8_t
{
    alive,
    suspected,
    dead
};

/// A status update about a member. The leaving flag is separate from the status, so that
/// it survives a suspicion.
struct member_update
{
    member subject; ///< The state field is not sent.
    liveness status = liveness::alive;
    bool leaving = false;
};

enum class gossip_kind : std::uint8_t
{
    ping,         ///< Only the target replies, with an ack.
    ack,          ///< Forwarded by the relay of an indirect probe.
    ping_request, ///< Asks the receiver to ping the target as a relay.
    sync_request, ///< Requests the page of members after an id.
    sync_reply    ///< Carries one page of members.
};

struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    std::uint32_t sequence = 0;
    instance_id from;
    incarnation from_incarnation;
    table_version table;
    instance_id target;            ///< ping, ack, ping_request: the probed member.
    gossip_address target_address; ///< ping_request: address of the target.
    instance_id after_id; ///< sync_request, sync_reply: the page starts after this id.
    std::uint64_t digest = 0; ///< sync_request: digest of the sender's member list.
    bool has_more = false;    ///< sync_reply: more pages follow.
    std::vector<member_update> updates;
};

/// Maximum length of a string in a datagram; string lengths are encoded in one byte.
inline constexpr std::size_t max_gossip_text_bytes = 255;

/// Encodes \p message; asserts that no string exceeds max_gossip_text_bytes.
std::string encode_gossip(const gossip_message& message);
/// Decodes and validates a message; fails with invalid_input.
result<gossip_message> decode_gossip(std::string_view bytes);
/// Returns the number of bytes that \p update adds to a datagram.
std::size_t encoded_size(const member_update& update);

} // namespace hawthornbeam

#endif
