/// \file
/// Connections that this instance opens, and its open requests.
#include "tcp_implementation.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam::wire
{

namespace
{

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

bool tcp_peer_network::implementation::evict_idle_outgoing()
{
    if (outgoing_.size() < settings_.max_connections)
        return true;
    std::map<peer_address, std::shared_ptr<outgoing_peer>>::iterator victim =
        outgoing_.end();
    for (auto item = outgoing_.begin(); item != outgoing_.end(); ++item)
    {
        if (!item->second->open_requests.empty())
            continue;
        if (victim == outgoing_.end() ||
            item->second->last_used < victim->second->last_used)
            victim = item;
    }
    if (victim == outgoing_.end())
        return false;
    victim->second->link->close();
    outgoing_.erase(victim);
    return true;
}

std::shared_ptr<outgoing_peer>
tcp_peer_network::implementation::connect_to(const peer_address& to)
{
    const auto known = outgoing_.find(to);
    if (known != outgoing_.end())
        return known->second;
    if (!evict_idle_outgoing())
        return nullptr;
    const std::shared_ptr<outgoing_peer> peer = std::make_shared<outgoing_peer>();
    const std::weak_ptr<outgoing_peer> weak = peer;
    peer->link = std::make_shared<connection>(loop_.clock(), traffic_, limits_);
    outgoing_.emplace(to, peer);
    connection::events handlers;
    handlers.ready = [] {};
    handlers.received = [this, to](frame value) { receive_reply(to, std::move(value)); };
    handlers.written = [weak](std::uint64_t id)
    {
        const std::shared_ptr<outgoing_peer> self = weak.lock();
        if (!self)
            return;
        const auto found = self->open_requests.find(id);
        if (found != self->open_requests.end())
            found->second.written = true;
    };
    handlers.lost = [this, to](const error& reason) { drop_outgoing(to, reason); };
    peer->link->connect(to.value(), own_, std::move(handlers));
    return peer;
}

void tcp_peer_network::implementation::post_failure(reply_callback done, error_code code,
                                                    std::string message)
{
    loop_.post([done = std::move(done), code, message = std::move(message)]
               { done(make_error(code, message)); });
}

void tcp_peer_network::implementation::call(const peer_address& to,
                                            const request& message, duration deadline,
                                            reply_callback done)
{
    if (closing_)
        return post_failure(std::move(done), error_code::unavailable, "shutting down");
    std::string body = encode(message);
    if (body.size() + frame_overhead > settings_.max_frame_bytes)
        return post_failure(
            std::move(done), error_code::limit_exceeded,
            fmt::format("a request of {} bytes exceeds the limit of a frame",
                        body.size()));
    const std::shared_ptr<outgoing_peer> peer = connect_to(to);
    if (!peer)
        return post_failure(std::move(done), error_code::limit_exceeded,
                            "all connections are in use");
    if (!peer->link->is_open())
    {
        outgoing_.erase(to);
        return post_failure(std::move(done), error_code::unavailable,
                            "cannot connect to " + to.value());
    }
    const std::uint64_t id = next_request_id_++;
    std::string bytes = encode_frame(
        frame{frame_kind::request, id, milliseconds_of(deadline), std::move(body)});
    if (!peer->link->send(std::move(bytes), id))
        return post_failure(std::move(done), error_code::limit_exceeded,
                            "too many requests wait for " + to.value());
    peer->last_used = loop_.clock().now();
    if (peer->open_requests.empty())
    {
        peer->silence_start = peer->last_used;
        peer->last_check = peer->last_used;
        peer->probe_timer =
            loop_.every(settings_.probe_period, [this, to] { probe_peer(to); });
    }
    const std::weak_ptr<outgoing_peer> weak = peer;
    open_request& entry = peer->open_requests[id];
    entry.done = std::move(done);
    entry.deadline =
        loop_.after(deadline,
                    [this, weak, id, deadline]
                    {
                        if (const std::shared_ptr<outgoing_peer> self = weak.lock())
                            expire_request(self, id, deadline);
                    });
}

void tcp_peer_network::implementation::complete_request(outgoing_peer& peer,
                                                        std::uint64_t id,
                                                        result<reply> outcome)
{
    const auto found = peer.open_requests.find(id);
    // Drops a late reply to a request that has already ended.
    if (found == peer.open_requests.end())
        return;
    const open_request ended = std::move(found->second);
    peer.open_requests.erase(found);
    if (peer.open_requests.empty())
        peer.probe_timer.reset();
    ended.done(std::move(outcome));
}

void tcp_peer_network::implementation::expire_request(
    const std::shared_ptr<outgoing_peer>& peer, std::uint64_t id, duration deadline)
{
    const auto found = peer->open_requests.find(id);
    if (found == peer->open_requests.end())
        return;
    if (found->second.written)
        return complete_request(
            *peer, id,
            make_error(error_code::outcome_unknown,
                       fmt::format("{} did not answer within {} ms", peer->link->remote(),
                                   milliseconds_of(deadline))));
    peer->link->remove_unsent(id);
    complete_request(
        *peer, id,
        make_error(error_code::unavailable,
                   fmt::format("the deadline of {} ms passed before the request could "
                               "be sent to {}",
                               milliseconds_of(deadline), peer->link->remote())));
}

void tcp_peer_network::implementation::probe_peer(const peer_address& to)
{
    const auto found = outgoing_.find(to);
    if (found == outgoing_.end())
        return;
    outgoing_peer& peer = *found->second;
    const boot_time now = loop_.clock().now();
    // After a pause of this process, replies may still be unread in the socket buffer,
    // so the silence is counted anew.
    if (now - peer.last_check > 2 * settings_.probe_period)
        peer.silence_start = now;
    peer.last_check = now;
    const boot_time last_activity =
        std::max(peer.silence_start, peer.link->last_received());
    if (now - last_activity >= settings_.silence_limit)
        return drop_outgoing(
            to, make_error(error_code::unavailable,
                           fmt::format("nothing was received for {} ms",
                                       milliseconds_of(now - last_activity))));
    if (peer.link->is_ready())
        peer.link->send(encode_frame(frame{frame_kind::probe, 0, 0, ""}), 0);
}

void tcp_peer_network::implementation::receive_reply(const peer_address& to, frame value)
{
    const auto found = outgoing_.find(to);
    if (found == outgoing_.end() || value.kind == frame_kind::probe_answer)
        return;
    const std::shared_ptr<outgoing_peer> peer = found->second;
    if (value.kind != frame_kind::reply)
        return drop_outgoing(
            to, make_error(error_code::invalid_input, "a frame that is not an answer"));
    result<reply> message = decode_reply(value.body);
    if (!message)
        return drop_outgoing(to, message.error());
    if (const failure_reply* failure = std::get_if<failure_reply>(&message.value()))
        return complete_request(*peer, value.id,
                                make_error(failure->code, failure->message));
    complete_request(*peer, value.id, std::move(message));
}

void tcp_peer_network::implementation::drop_outgoing(const peer_address& to,
                                                     const error& reason)
{
    const auto found = outgoing_.find(to);
    if (found == outgoing_.end())
        return;
    const std::shared_ptr<outgoing_peer> peer = std::move(found->second);
    outgoing_.erase(found);
    peer->link->close();
    peer->probe_timer.reset();
    if (!peer->open_requests.empty())
        log_.warning("wire", "connection lost",
                     {{"peer", to.value()},
                      {"reason", reason.message},
                      {"open_requests", std::uint64_t{peer->open_requests.size()}}});
    fail_open(*peer, to.value() + ": " + reason.message);
}

void tcp_peer_network::implementation::fail_open(outgoing_peer& peer,
                                                 const std::string& reason)
{
    while (!peer.open_requests.empty())
    {
        const error_code code = peer.open_requests.begin()->second.written
                                    ? error_code::outcome_unknown
                                    : error_code::unavailable;
        complete_request(peer, peer.open_requests.begin()->first,
                         make_error(code, reason));
    }
}

} // namespace hawthornbeam::wire
