/// \file
/// Encoding, decoding and validation of gossip datagrams.
#include "gossip.hpp"

#include "../wire/codec.hpp"

#include <cassert>

namespace hawthornbeam
{

template <class Archive>
void serialize(Archive& archive, member_update& update)
{
    member& m = update.subject;
    archive(m.id, m.gossip, m.peer, m.http, m.failure_domain, m.incarnation_number,
            m.table);
    wire::enumeration(archive, update.status, liveness::dead);
    archive(update.leaving);
}

namespace
{

using output_archive = wire::bounded_output<std::uint8_t>;
using input_archive = wire::bounded_input<std::uint8_t>;

constexpr std::uint32_t magic = 0x6862'676fU;
constexpr std::uint8_t version = 1;
/// Incarnations start at the wall-clock time in milliseconds and are incremented. A
/// value above this bound can only be an attempt to make the counter overflow.
constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 62U;

template <class Archive>
void serialize_body(Archive& archive, gossip_message& m)
{
    wire::enumeration(archive, m.kind, gossip_kind::sync_reply);
    archive(m.sequence, m.from, m.from_incarnation, m.table);
    switch (m.kind)
    {
    case gossip_kind::ping:
    case gossip_kind::ack:
        archive(m.target);
        break;
    case gossip_kind::ping_request:
        archive(m.target, m.target_address);
        break;
    case gossip_kind::sync_request:
        archive(m.after_id, m.digest);
        break;
    case gossip_kind::sync_reply:
        archive(m.after_id, m.has_more);
        break;
    }
    archive(m.updates);
}

bool has_valid_fields(const gossip_message& m)
{
    if (m.from.empty() || m.from_incarnation.value() > max_incarnation)
        return false;
    for (const member_update& update : m.updates)
        if (update.subject.id.empty() ||
            update.subject.incarnation_number.value() > max_incarnation)
            return false;
    return true;
}

} // namespace

std::string encode_gossip(const gossip_message& message)
{
    std::string bytes;
    output_archive archive(bytes);
    archive(magic, version);
    serialize_body(archive, const_cast<gossip_message&>(message));
    return bytes;
}

result<gossip_message> decode_gossip(std::string_view bytes)
{
    try
    {
        std::uint32_t sent_magic = 0;
        std::uint8_t sent_version = 0;
        gossip_message message;
        input_archive archive(bytes);
        archive(sent_magic, sent_version);
        if (sent_magic != magic || sent_version != version)
            return make_error(error_code::invalid_input,
                              "unknown magic number or version");
        serialize_body(archive, message);
        archive.finish();
        if (!has_valid_fields(message))
            return make_error(error_code::invalid_input,
                              "empty instance id or incarnation out of range");
        return message;
    }
    catch (const std::exception& error)
    {
        return make_error(error_code::invalid_input, error.what());
    }
}

std::size_t encoded_size(const member_update& update)
{
    std::string bytes;
    output_archive archive(bytes);
    const std::size_t before = bytes.size();
    archive(update);
    return bytes.size() - before;
}

} // namespace hawthornbeam
