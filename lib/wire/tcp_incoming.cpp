/// \file
/// Connections that peers open, and the replies to their requests.
#include "tcp_implementation.hpp"

#include <fmt/format.h>
#include <optional>

namespace hawthornbeam::wire
{

namespace
{

/// Limit on the open requests of one connection.
constexpr std::size_t max_served_requests = 4096;

} // namespace

result<bool> tcp_peer_network::implementation::listen()
{
    const object_ptr<GSocketAddress> address =
        make_socket_address(settings_.listen_ip, settings_.port);
    if (!address)
        return make_error(error_code::invalid_input,
                          "not an IP address: " + settings_.listen_ip);
    listener::events handlers;
    handlers.accepted = [this](object_ptr<GSocket> socket)
    { accept_connection(std::move(socket)); };
    handlers.failed = [this](const std::string& reason)
    {
        log_.warning("wire", "cannot accept connections", {{"reason", reason}});
        if (settings_.accept_failed)
            settings_.accept_failed();
    };
    result<std::unique_ptr<listener>> opened =
        listener::open(loop_, address.get(), 0, std::move(handlers));
    if (!opened)
        return opened.error();
    listener_ = std::move(opened).value();
    return true;
}

void tcp_peer_network::implementation::accept_connection(object_ptr<GSocket> socket)
{
    if (!evict_idle_incoming())
    {
        if (const std::optional<std::uint64_t> left_out =
                refused_lines_.admit(loop_.clock().now()))
            log_.warning("wire", "connection refused, all connections are in use",
                         {{"limit", std::uint64_t{settings_.max_connections}},
                          {"not_logged", *left_out}});
        return;
    }
    const std::uint64_t key = next_incoming_key_++;
    const std::shared_ptr<incoming_peer> peer = std::make_shared<incoming_peer>();
    peer->link = std::make_shared<connection>(loop_.clock(), traffic_, limits_);
    incoming_.emplace(key, peer);
    const std::weak_ptr<incoming_peer> weak = peer;
    connection::events handlers;
    handlers.ready = [weak]
    {
        if (const std::shared_ptr<incoming_peer> self = weak.lock())
            self->hello_deadline.reset();
    };
    handlers.received = [this, weak](frame value)
    {
        if (const std::shared_ptr<incoming_peer> self = weak.lock())
            receive_request(self, std::move(value));
    };
    handlers.written = [](std::uint64_t /*request*/) {};
    handlers.lost = [this, key](const error& reason) { drop_incoming(key, reason); };
    peer->hello_deadline = loop_.after(
        settings_.silence_limit, [this, key]
        { drop_incoming(key, make_error(error_code::unavailable, "no hello")); });
    peer->link->accept(std::move(socket), own_, std::move(handlers));
}

bool tcp_peer_network::implementation::evict_idle_incoming()
{
    if (incoming_.size() < settings_.max_connections)
        return true;
    // Connections without a hello may come from anyone, so they go first.
    std::optional<std::uint64_t> victim;
    std::pair<bool, boot_time> best{true, boot_time::max()};
    for (const auto& [key, peer] : incoming_)
    {
        const std::pair<bool, boot_time> rank{peer->link->is_ready(),
                                              peer->link->last_received()};
        if (!peer->open_requests.empty() || rank >= best)
            continue;
        best = rank;
        victim = key;
    }
    if (!victim)
        return false;
    drop_incoming(*victim, make_error(error_code::limit_exceeded,
                                      "closed to make room for another connection"));
    return true;
}

void tcp_peer_network::implementation::receive_request(
    const std::shared_ptr<incoming_peer>& peer, frame value)
{
    const std::weak_ptr<incoming_peer> weak = peer;
    if (value.kind == frame_kind::probe)
    {
        peer->link->send(encode_frame(frame{frame_kind::probe_answer, 0, 0, ""}), 0);
        return;
    }
    if (value.kind != frame_kind::request)
        return;
    if (!peer->open_requests.insert(value.id).second)
    {
        if (const std::optional<std::uint64_t> left_out =
                repeated_id_lines_.admit(loop_.clock().now()))
            log_.warning("wire", "request id used twice",
                         {{"remote", peer->link->remote()}, {"not_logged", *left_out}});
        return;
    }
    result<request> message = decode_request(value.body);
    // Only this message is malformed; other requests of the peer are still served.
    if (!message)
    {
        if (const std::optional<std::uint64_t> left_out =
                malformed_lines_.admit(loop_.clock().now()))
            log_.warning("wire", "malformed request",
                         {{"peer", peer->link->peer().id.value()},
                          {"reason", message.error().message},
                          {"not_logged", *left_out}});
        return send_reply(weak, value.id,
                          failure_reply{message.error().code, message.error().message});
    }
    if (!handler_)
        return send_reply(weak, value.id,
                          failure_reply{error_code::unavailable, "not ready to serve"});
    if (peer->open_requests.size() > max_served_requests)
        return send_reply(weak, value.id,
                          failure_reply{error_code::limit_exceeded,
                                        "too many open requests on this connection"});
    const std::weak_ptr<bool> lifetime = lifetime_;
    handler_(peer->link->peer().id, std::move(message).value(),
             [this, lifetime, weak, id = value.id](const reply& response)
             {
                 if (!lifetime.expired())
                     send_reply(weak, id, response);
             });
}

void tcp_peer_network::implementation::send_reply(
    const std::weak_ptr<incoming_peer>& target, std::uint64_t id, const reply& message)
{
    const std::shared_ptr<incoming_peer> peer = target.lock();
    if (!peer || peer->open_requests.erase(id) == 0)
        return;
    std::string body = encode(message);
    if (body.size() + frame_overhead > settings_.max_frame_bytes)
        body = encode(reply(failure_reply{
            error_code::outcome_unknown,
            fmt::format("the answer of {} bytes exceeds the limit of a frame",
                        body.size())}));
    if (peer->link->send(encode_frame(frame{frame_kind::reply, id, 0, std::move(body)}),
                         0))
        return;
    for (const auto& [key, candidate] : incoming_)
        if (candidate == peer)
            return drop_incoming(key, make_error(error_code::limit_exceeded,
                                                 "the peer does not read its answers"));
}

void tcp_peer_network::implementation::drop_incoming(std::uint64_t key,
                                                     const error& reason)
{
    const auto found = incoming_.find(key);
    if (found == incoming_.end())
        return;
    const std::shared_ptr<incoming_peer> peer = std::move(found->second);
    incoming_.erase(found);
    peer->hello_deadline.reset();
    const log_field fields[] = {{"peer", peer->link->peer().id.value()},
                                {"remote", peer->link->remote()},
                                {"reason", reason.message}};
    if (reason.code == error_code::unavailable && peer->link->peer().version != 0)
        log_.debug("wire", "incoming connection closed",
                   {fields[0], fields[1], fields[2]});
    else if (const std::optional<std::uint64_t> left_out =
                 closed_lines_.admit(loop_.clock().now()))
        log_.warning("wire", "incoming connection closed",
                     {fields[0], fields[1], fields[2], {"not_logged", *left_out}});
    peer->link->close();
}

} // namespace hawthornbeam::wire
