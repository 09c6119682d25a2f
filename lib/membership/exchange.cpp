/// \file
/// Datagrams: answers, news and the exchange of the whole list.
#include "implementation.hpp"

namespace hawthornbeam
{

namespace
{

constexpr int most_sync_attempts = 4;
constexpr std::size_t most_updates = 64;
constexpr std::size_t most_relays = 1024;
/// The log of malformed datagrams is limited to the first and each such one.
constexpr std::uint64_t malformed_per_line = 1000;

const char* name_of(member_state state)
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
    if (++sync_->attempts > most_sync_attempts)
    {
        sync_.reset();
        return;
    }
    sync_->sequence = next_sequence_++;
    gossip_message message = make(gossip_kind::sync_request, sync_->sequence);
    message.after = sync_->after;
    message.digest = table_.digest();
    const instance_id self = table_.self().id;
    send(sync_->peer, std::move(message), {self});
    sync_timer_ = loop_.after(settings_.probe_timeout,
                              [this]
                              {
                                  notice_pause();
                                  if (sync_)
                                      send_sync();
                              });
}

void membership::implementation::on_sync_request(const gossip_address& from,
                                                 const gossip_message& message)
{
    gossip_message answer = make(gossip_kind::sync_reply, message.sequence);
    answer.after = message.after;
    const bool same = message.after.empty() && message.digest == table_.digest();
    std::size_t room = room_in(answer);
    auto next = table_.records().upper_bound(message.after);
    for (; !same && next != table_.records().end(); ++next)
    {
        const member_update update = member_table::update_of(next->second);
        const std::size_t size = encoded_size(update);
        if (size > room || answer.updates.size() == most_updates)
            break;
        room -= size;
        answer.updates.push_back(update);
    }
    answer.more = !same && next != table_.records().end();
    channel_.send(from, encode_gossip(answer));
}

void membership::implementation::on_sync_reply(const gossip_message& message)
{
    if (!sync_ || message.sequence != sync_->sequence)
        return;
    joined_ = true;
    if (!message.more || message.updates.empty())
    {
        sync_.reset();
        sync_timer_.reset();
        return;
    }
    sync_->after = message.updates.back().subject.id;
    sync_->attempts = 0;
    send_sync();
}

void membership::implementation::receive(const gossip_address& from,
                                         const std::string& bytes)
{
    notice_pause();
    result<gossip_message> message =
        bytes.size() > settings_.most_datagram_bytes
            ? make_error(error_code::invalid_input, "longer than a datagram may be")
            : decode_gossip(bytes);
    if (!message)
    {
        if (malformed++ % malformed_per_line == 0)
            log_.warning("membership", "malformed datagram dropped",
                         {{"from", from.value()},
                          {"reason", message.error().message},
                          {"dropped", malformed}});
        return;
    }
    // Another process with our id is noticed by its statements about us.
    if (message.value().from == table_.self().id)
        return;
    dispatch(from, message.value());
    notify();
}

bool membership::implementation::is_accused(const gossip_message& message) const
{
    for (const member_update& update : message.updates)
        if (update.subject.id == table_.self().id && update.claim != standing::alive)
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
        if (message.target == table_.self().id)
        {
            gossip_message answer = make(gossip_kind::ack, message.sequence);
            answer.target = message.target;
            if (is_accused(message))
                send(from, std::move(answer), {message.from, message.target});
            else
                send(from, std::move(answer), {message.from});
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
    note_sender(from, message);
}

void membership::implementation::merge_updates(const gossip_message& message)
{
    const boot_time now = loop_.clock().now();
    const bool hearsay = message.kind == gossip_kind::sync_reply;
    for (const member_update& update : message.updates)
    {
        const instance_id& id = update.subject.id;
        const member_table::merge_effect effect = table_.merge(update, hearsay, now);
        if (effect == member_table::merge_effect::none)
            continue;
        if (effect == member_table::merge_effect::refuted)
        {
            log_.warning("membership", "refuted a statement about this instance",
                         {{"incarnation", table_.self().life.value()},
                          {"told_by", message.from.value()}});
            continue;
        }
        changed_ = true;
        const member_record& record = *table_.find(id);
        log_state(record);
        // A member that was cut off may know others that are back as well.
        if (effect == member_table::merge_effect::returned && id == message.from)
            start_sync(record.info.gossip);
        if (record.claim != standing::suspected)
            continue;
        watch_suspicions();
        // A suspicion from hearsay has no other member that asks the suspect.
        if (hearsay)
            ping(record.info, next_sequence_++);
    }
}

void membership::implementation::note_sender(const gossip_address& from,
                                             const gossip_message& message)
{
    const member_record* sender = table_.note_table(message.from, message.table);
    // A member that knows us but that we do not know may know others that we lack.
    if (sender == nullptr)
        return start_sync(from);
    if (message.table <= newest_table_)
        return;
    newest_table_ = message.table;
    if (table_handler)
        table_handler(sender->info);
}

void membership::implementation::on_ack(const gossip_message& message)
{
    if (probe_ && message.sequence == probe_->sequence &&
        message.target == probe_->target)
    {
        probe_.reset();
        probe_timer_.reset();
    }
    const auto waiting = relays_.find(message.sequence);
    if (waiting == relays_.end())
        return;
    const relay back = waiting->second;
    relays_.erase(waiting);
    gossip_message forwarded = make(gossip_kind::ack, back.sequence);
    forwarded.target = message.target;
    send(back.requester, std::move(forwarded), {message.target});
}

void membership::implementation::on_ping_request(const gossip_address& from,
                                                 const gossip_message& message)
{
    if (relays_.size() >= most_relays)
        return;
    const std::uint32_t sequence = next_sequence_++;
    relays_[sequence] = relay{from, message.sequence, loop_.clock().now()};
    gossip_message request = make(gossip_kind::ping, sequence);
    request.target = message.target;
    send(message.target_at, std::move(request), {message.target});
}

gossip_message membership::implementation::make(gossip_kind kind,
                                                std::uint32_t sequence) const
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.from = table_.self().id;
    message.life = table_.self().life;
    message.table = table_.self().table;
    return message;
}

std::size_t membership::implementation::room_in(const gossip_message& message) const
{
    const std::size_t used = encode_gossip(message).size();
    return settings_.most_datagram_bytes - std::min(settings_.most_datagram_bytes, used);
}

void membership::implementation::send(const gossip_address& to, gossip_message message,
                                      std::initializer_list<instance_id> about)
{
    std::size_t room = room_in(message);
    for (const instance_id& id : about)
    {
        const member_record* record = table_.find(id);
        if (record == nullptr)
            continue;
        // Whoever is talked about must learn what is wrong to be able to refute it, and
        // whoever asks through a helper must learn of an earlier refutation.
        const bool is_relayed = message.kind == gossip_kind::ack && id == message.target;
        if (record->claim == standing::alive && id != table_.self().id && !is_relayed)
            continue;
        member_update update = member_table::update_of(*record);
        room -= std::min(room, encoded_size(update));
        message.updates.push_back(std::move(update));
    }
    for (member_update& update :
         table_.take_news(room, most_updates - message.updates.size()))
        message.updates.push_back(std::move(update));
    channel_.send(to, encode_gossip(message));
}

void membership::implementation::ping(const member& target, std::uint32_t sequence)
{
    gossip_message message = make(gossip_kind::ping, sequence);
    message.target = target.id;
    send(target.gossip, std::move(message), {target.id});
}

void membership::implementation::log_state(const member_record& record) const
{
    log_.info("membership", "member state",
              {{"member", record.info.id.value()},
               {"state", name_of(record.info.state)},
               {"incarnation", record.info.life.value()}});
}

void membership::implementation::notify()
{
    if (!std::exchange(changed_, false))
        return;
    if (change_handler)
        change_handler();
}

} // namespace hawthornbeam
