/// \file
/// Sending and handling of gossip messages, including the full member list sync.
#include "implementation.hpp"

namespace hawthornbeam
{

namespace
{

constexpr int max_sync_attempts = 4;
constexpr std::size_t max_updates_per_datagram = 64;
constexpr std::size_t max_relays = 1024;
/// Only the first and then every n-th malformed datagram is logged, to limit the log.
constexpr std::uint64_t malformed_log_interval = 1000;

const char* state_name(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspected:
        return "suspected";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

} // namespace

void membership::implementation::start_sync(const gossip_address& peer)
{
    if (sync_)
        return;
    sync_ = running_sync{peer, instance_id(), 0, 0};
    send_sync();
}

void membership::implementation::send_sync()
{
    if (++sync_->attempts > max_sync_attempts)
    {
        sync_.reset();
        return;
    }
    sync_->sequence = next_sequence_++;
    gossip_message message = make_message(gossip_kind::sync_request, sync_->sequence);
    message.after_id = sync_->after_id;
    message.digest = members_.digest();
    const instance_id self = members_.self().id;
    send(sync_->peer, std::move(message), {self});
    sync_timer_ = loop_.after(settings_.probe_timeout,
                              [this]
                              {
                                  detect_pause();
                                  if (sync_)
                                      send_sync();
                              });
}

void membership::implementation::on_sync_request(const gossip_address& from,
                                                 const gossip_message& message)
{
    gossip_message reply = make_message(gossip_kind::sync_reply, message.sequence);
    reply.after_id = message.after_id;
    const bool is_in_sync =
        message.after_id.empty() && message.digest == members_.digest();
    std::size_t remaining = remaining_bytes(reply);
    auto next = members_.records().upper_bound(message.after_id);
    for (; !is_in_sync && next != members_.records().end(); ++next)
    {
        const member_update update = member_table::update_of(next->second);
        const std::size_t size = encoded_size(update);
        if (size > remaining || reply.updates.size() == max_updates_per_datagram)
            break;
        remaining -= size;
        reply.updates.push_back(update);
    }
    reply.has_more = !is_in_sync && next != members_.records().end();
    channel_.send(from, encode_gossip(reply));
}

void membership::implementation::on_sync_reply(const gossip_message& message)
{
    if (!sync_ || message.sequence != sync_->sequence)
        return;
    joined_ = true;
    if (!message.has_more || message.updates.empty())
    {
        sync_.reset();
        sync_timer_.reset();
        return;
    }
    sync_->after_id = message.updates.back().subject.id;
    sync_->attempts = 0;
    send_sync();
}

void membership::implementation::receive(const gossip_address& from,
                                         const std::string& bytes)
{
    detect_pause();
    result<gossip_message> message =
        bytes.size() > settings_.max_datagram_bytes
            ? make_error(error_code::invalid_input, "datagram exceeds the size limit")
            : decode_gossip(bytes);
    if (!message)
    {
        if (malformed_datagrams++ % malformed_log_interval == 0)
            log_.warning("membership", "malformed datagram dropped",
                         {{"from", from.value()},
                          {"reason", message.error().message},
                          {"dropped", malformed_datagrams}});
        return;
    }
    // Ignores messages with our own id. Another process that runs with the same id is
    // detected by the updates about this instance that other members relay.
    if (message.value().from == members_.self().id)
        return;
    dispatch(from, message.value());
    notify_if_changed();
}

bool membership::implementation::reports_self_not_alive(
    const gossip_message& message) const
{
    for (const member_update& update : message.updates)
        if (update.subject.id == members_.self().id && update.status != liveness::alive)
            return true;
    return false;
}

void membership::implementation::dispatch(const gossip_address& from,
                                          const gossip_message& message)
{
    last_contact = loop_.clock().now();
    merge_updates(message);
    switch (message.kind)
    {
    case gossip_kind::ping:
        if (message.target == members_.self().id)
        {
            gossip_message reply = make_message(gossip_kind::ack, message.sequence);
            reply.target = message.target;
            if (reports_self_not_alive(message))
                send(from, std::move(reply), {message.from, message.target});
            else
                send(from, std::move(reply), {message.from});
        }
        break;
    case gossip_kind::ack:
        on_ack(message);
        break;
    case gossip_kind::ping_request:
        on_ping_request(from, message);
        break;
    case gossip_kind::sync_request:
        on_sync_request(from, message);
        break;
    case gossip_kind::sync_reply:
        on_sync_reply(message);
        break;
    }
    on_sender(from, message);
}

void membership::implementation::merge_updates(const gossip_message& message)
{
    const boot_time now = loop_.clock().now();
    const bool from_sync = message.kind == gossip_kind::sync_reply;
    for (const member_update& update : message.updates)
    {
        const instance_id& id = update.subject.id;
        const member_table::merge_effect effect = members_.merge(update, from_sync, now);
        if (effect == member_table::merge_effect::none)
            continue;
        if (effect == member_table::merge_effect::refuted)
        {
            log_.warning("membership", "refuted a statement about this instance",
                         {{"incarnation", members_.self().incarnation_number.value()},
                          {"told_by", message.from.value()}});
            continue;
        }
        changed_ = true;
        const member_record& record = *members_.find(id);
        log_state(record);
        // A member that was unreachable may know of others that have become reachable
        // too.
        if (effect == member_table::merge_effect::revived && id == message.from)
            start_sync(record.info.gossip);
        if (record.status != liveness::suspected)
            continue;
        schedule_suspicion_check();
        // A suspicion derived from a sync reply has no other member that probes the
        // suspect, so it is probed here.
        if (from_sync)
            ping(record.info, next_sequence_++);
    }
}

void membership::implementation::on_sender(const gossip_address& from,
                                           const gossip_message& message)
{
    const member_record* sender =
        members_.record_table_version(message.from, message.table);
    // An unknown sender may know further members that are missing here.
    if (sender == nullptr)
        return start_sync(from);
    if (message.table <= newest_table_version_)
        return;
    newest_table_version_ = message.table;
    if (newer_table_handler)
        newer_table_handler(sender->info);
}

void membership::implementation::on_ack(const gossip_message& message)
{
    if (probe_ && message.sequence == probe_->sequence &&
        message.target == probe_->target)
    {
        probe_.reset();
        probe_timer_.reset();
    }
    const auto found = relays_.find(message.sequence);
    if (found == relays_.end())
        return;
    const relay pending = found->second;
    relays_.erase(found);
    gossip_message forwarded = make_message(gossip_kind::ack, pending.sequence);
    forwarded.target = message.target;
    send(pending.requester, std::move(forwarded), {message.target});
}

void membership::implementation::on_ping_request(const gossip_address& from,
                                                 const gossip_message& message)
{
    if (relays_.size() >= max_relays)
        return;
    const std::uint32_t sequence = next_sequence_++;
    relays_[sequence] = relay{from, message.sequence, loop_.clock().now()};
    gossip_message request = make_message(gossip_kind::ping, sequence);
    request.target = message.target;
    send(message.target_address, std::move(request), {message.target});
}

gossip_message membership::implementation::make_message(gossip_kind kind,
                                                        std::uint32_t sequence) const
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.from = members_.self().id;
    message.from_incarnation = members_.self().incarnation_number;
    message.table = members_.self().table;
    return message;
}

std::size_t
membership::implementation::remaining_bytes(const gossip_message& message) const
{
    const std::size_t used = encode_gossip(message).size();
    return settings_.max_datagram_bytes - std::min(settings_.max_datagram_bytes, used);
}

void membership::implementation::send(const gossip_address& to, gossip_message message,
                                      std::initializer_list<instance_id> about)
{
    std::size_t remaining = remaining_bytes(message);
    for (const instance_id& id : about)
    {
        const member_record* record = members_.find(id);
        if (record == nullptr)
            continue;
        // A member must receive false updates about itself to be able to refute them, and
        // the requester of an indirect probe must learn of an earlier refutation.
        const bool is_relayed = message.kind == gossip_kind::ack && id == message.target;
        if (record->status == liveness::alive && id != members_.self().id && !is_relayed)
            continue;
        member_update update = member_table::update_of(*record);
        remaining -= std::min(remaining, encoded_size(update));
        message.updates.push_back(std::move(update));
    }
    for (member_update& update : members_.take_updates(
             remaining, max_updates_per_datagram - message.updates.size()))
        message.updates.push_back(std::move(update));
    channel_.send(to, encode_gossip(message));
}

void membership::implementation::ping(const member& target, std::uint32_t sequence)
{
    gossip_message message = make_message(gossip_kind::ping, sequence);
    message.target = target.id;
    send(target.gossip, std::move(message), {target.id});
}

void membership::implementation::log_state(const member_record& record) const
{
    log_.info("membership", "member state",
              {{"member", record.info.id.value()},
               {"state", state_name(record.info.state)},
               {"incarnation", record.info.incarnation_number.value()}});
}

void membership::implementation::notify_if_changed()
{
    if (!std::exchange(changed_, false))
        return;
    if (change_handler)
        change_handler();
}

} // namespace hawthornbeam
