/// \file
/// Requests between instances over TCP.
#include "hawthornbeam/wire/peer_network.hpp"

#include "connection.hpp"

#include <fmt/format.h>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace hawthornbeam::wire
{

namespace
{

using reply_callback = std::function<void(result<reply>)>;

/// Frames that wait for one peer; four of the largest ones.
constexpr std::size_t most_queued_frames = 4;
/// Requests of one peer that are being answered.
constexpr std::size_t most_served_requests = 4096;
/// Room of a frame around its message.
constexpr std::size_t frame_overhead = 32;

struct open_request
{
    reply_callback done;
    timer_handle deadline;
    bool written = false;
};

/// A connection this instance dialled to send requests.
struct outgoing_peer
{
    std::shared_ptr<connection> link;
    std::unordered_map<std::uint64_t, open_request> open;
    timer_handle probe;
    boot_time silent_since{};
    boot_time last_tick{};
    boot_time last_used{};
};

/// A connection that a peer dialled.
struct incoming_peer
{
    std::shared_ptr<connection> link;
    std::unordered_set<std::uint64_t> serving; ///< Requests that wait for an answer.
    timer_handle hello_deadline;
};

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

class tcp_peer_network::implementation
{
public:
    implementation(event_loop& loop, const logger& log, options settings)
        : loop_(loop), log_(log), settings_(std::move(settings)),
          alive_(std::make_shared<bool>(true))
    {
        own_.version = protocol_version;
        own_.id = settings_.self;
        own_.session = static_cast<std::uint64_t>(g_random_int()) << 32U | g_random_int();
        limits_ = {settings_.most_frame_bytes,
                   most_queued_frames * (settings_.most_frame_bytes + length_bytes)};
    }
    ~implementation() { shut_down(); }

    result<bool> listen();
    std::uint16_t port() const { return local_port(listener_.get()); }
    void call(const peer_address& to, const request& message, duration deadline,
              reply_callback done);
    void serve(request_handler handler) { handler_ = std::move(handler); }
    const traffic& counted() const { return traffic_; }

private:
    static gboolean on_acceptable(GSocket* socket, GIOCondition condition, gpointer data);
    void accept_one();
    bool make_room_incoming();
    bool make_room_outgoing();
    std::shared_ptr<outgoing_peer> dial(const peer_address& to);
    void reject(reply_callback done, error_code code, std::string message);
    void finish(outgoing_peer& peer, std::uint64_t id, result<reply> outcome);
    void expire(const std::shared_ptr<outgoing_peer>& peer, std::uint64_t id,
                duration deadline);
    void tick(const peer_address& to);
    void receive_reply(const peer_address& to, frame value);
    void lose_outgoing(const peer_address& to, const error& reason);
    void fail_open(outgoing_peer& peer, const std::string& reason);
    void receive_request(const std::shared_ptr<incoming_peer>& peer, frame value);
    void answer(const std::weak_ptr<incoming_peer>& target, std::uint64_t id,
                const reply& message);
    void lose_incoming(std::uint64_t key, const error& reason);
    void shut_down();

    event_loop& loop_;
    const logger& log_;
    options settings_;
    hello own_;
    connection::limits limits_;
    traffic traffic_;
    request_handler handler_;
    object_ptr<GSocket> listener_;
    GSource* acceptor_ = nullptr;
    std::map<peer_address, std::shared_ptr<outgoing_peer>> outgoing_;
    std::map<std::uint64_t, std::shared_ptr<incoming_peer>> incoming_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_incoming_ = 1;
    bool closing_ = false;
    /// Answers given after the network was destroyed must not reach it.
    std::shared_ptr<bool> alive_;
};

result<bool> tcp_peer_network::implementation::listen()
{
    const object_ptr<GSocketAddress> address =
        make_socket_address(settings_.listen_ip, settings_.port);
    if (!address)
        return make_error(error_code::invalid_input,
                          "not an IP address: " + settings_.listen_ip);
    gio_error fault;
    listener_.reset(g_socket_new(g_socket_address_get_family(address.get()),
                                 G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                 fault.out()));
    if (!listener_ || !g_socket_bind(listener_.get(), address.get(), TRUE, fault.out()))
        return make_error(error_code::unavailable,
                          fmt::format("cannot bind {}:{}: {}", settings_.listen_ip,
                                      settings_.port, fault.message()));
    g_socket_set_blocking(listener_.get(), FALSE);
    if (!g_socket_listen(listener_.get(), fault.out()))
        return make_error(error_code::unavailable, "cannot listen: " + fault.message());
    acceptor_ = g_socket_create_source(listener_.get(), G_IO_IN, nullptr);
    g_source_set_callback(
        acceptor_, reinterpret_cast<GSourceFunc>(reinterpret_cast<void*>(&on_acceptable)),
        this, nullptr);
    g_source_attach(acceptor_, nullptr);
    return true;
}

gboolean tcp_peer_network::implementation::on_acceptable(GSocket* /*socket*/,
                                                         GIOCondition /*condition*/,
                                                         gpointer data)
{
    static_cast<implementation*>(data)->accept_one();
    return G_SOURCE_CONTINUE;
}

void tcp_peer_network::implementation::accept_one()
{
    object_ptr<GSocket> socket(g_socket_accept(listener_.get(), nullptr, nullptr));
    if (!socket)
        return;
    if (!make_room_incoming())
    {
        log_.warning("wire", "connection refused, all connections are in use",
                     {{"limit", std::uint64_t{settings_.most_connections}}});
        return;
    }
    const std::uint64_t key = next_incoming_++;
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
    handlers.lost = [this, key](const error& reason) { lose_incoming(key, reason); };
    peer->hello_deadline = loop_.after(
        settings_.silence_limit, [this, key]
        { lose_incoming(key, make_error(error_code::unavailable, "no hello")); });
    peer->link->accept(std::move(socket), own_, std::move(handlers));
}

bool tcp_peer_network::implementation::make_room_incoming()
{
    if (incoming_.size() < settings_.most_connections)
        return true;
    std::optional<std::uint64_t> victim;
    boot_time oldest = boot_time::max();
    for (const auto& [key, peer] : incoming_)
    {
        if (!peer->serving.empty() || peer->link->last_received() >= oldest)
            continue;
        oldest = peer->link->last_received();
        victim = key;
    }
    if (!victim)
        return false;
    lose_incoming(*victim, make_error(error_code::limit_exceeded,
                                      "closed to make room for another connection"));
    return true;
}

bool tcp_peer_network::implementation::make_room_outgoing()
{
    if (outgoing_.size() < settings_.most_connections)
        return true;
    std::map<peer_address, std::shared_ptr<outgoing_peer>>::iterator victim =
        outgoing_.end();
    for (auto item = outgoing_.begin(); item != outgoing_.end(); ++item)
    {
        if (!item->second->open.empty())
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
tcp_peer_network::implementation::dial(const peer_address& to)
{
    const auto known = outgoing_.find(to);
    if (known != outgoing_.end())
        return known->second;
    if (!make_room_outgoing())
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
        const auto found = self->open.find(id);
        if (found != self->open.end())
            found->second.written = true;
    };
    handlers.lost = [this, to](const error& reason) { lose_outgoing(to, reason); };
    peer->link->connect(to.value(), own_, std::move(handlers));
    return peer;
}

void tcp_peer_network::implementation::reject(reply_callback done, error_code code,
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
        return reject(std::move(done), error_code::unavailable, "shutting down");
    std::string body = encode(message);
    if (body.size() + frame_overhead > settings_.most_frame_bytes)
        return reject(std::move(done), error_code::limit_exceeded,
                      fmt::format("a request of {} bytes exceeds the limit of a frame",
                                  body.size()));
    const std::shared_ptr<outgoing_peer> peer = dial(to);
    if (!peer)
        return reject(std::move(done), error_code::limit_exceeded,
                      "all connections are in use");
    if (!peer->link->is_open())
    {
        outgoing_.erase(to);
        return reject(std::move(done), error_code::unavailable,
                      "cannot connect to " + to.value());
    }
    const std::uint64_t id = next_request_++;
    std::string bytes = encode_frame(
        frame{frame_kind::request, id, milliseconds_of(deadline), std::move(body)});
    if (!peer->link->send(std::move(bytes), id))
        return reject(std::move(done), error_code::limit_exceeded,
                      "too many requests wait for " + to.value());
    peer->last_used = loop_.clock().now();
    if (peer->open.empty())
    {
        peer->silent_since = peer->last_used;
        peer->last_tick = peer->last_used;
        peer->probe = loop_.every(settings_.probe_period, [this, to] { tick(to); });
    }
    const std::weak_ptr<outgoing_peer> weak = peer;
    open_request& entry = peer->open[id];
    entry.done = std::move(done);
    entry.deadline =
        loop_.after(deadline,
                    [this, weak, id, deadline]
                    {
                        if (const std::shared_ptr<outgoing_peer> self = weak.lock())
                            expire(self, id, deadline);
                    });
}

void tcp_peer_network::implementation::finish(outgoing_peer& peer, std::uint64_t id,
                                              result<reply> outcome)
{
    const auto found = peer.open.find(id);
    // A late answer to a request that has already ended is dropped.
    if (found == peer.open.end())
        return;
    const open_request ended = std::move(found->second);
    peer.open.erase(found);
    if (peer.open.empty())
        peer.probe.reset();
    ended.done(std::move(outcome));
}

void tcp_peer_network::implementation::expire(const std::shared_ptr<outgoing_peer>& peer,
                                              std::uint64_t id, duration deadline)
{
    const auto found = peer->open.find(id);
    if (found == peer->open.end())
        return;
    if (found->second.written)
        return finish(
            *peer, id,
            make_error(error_code::outcome_unknown,
                       fmt::format("{} did not answer within {} ms", peer->link->remote(),
                                   milliseconds_of(deadline))));
    peer->link->withdraw(id);
    finish(*peer, id,
           make_error(error_code::unavailable,
                      fmt::format("the deadline of {} ms passed before the request could "
                                  "be sent to {}",
                                  milliseconds_of(deadline), peer->link->remote())));
}

void tcp_peer_network::implementation::tick(const peer_address& to)
{
    const auto found = outgoing_.find(to);
    if (found == outgoing_.end())
        return;
    outgoing_peer& peer = *found->second;
    const boot_time now = loop_.clock().now();
    // After a pause of this process the answers may wait in the socket buffer.
    if (now - peer.last_tick > 2 * settings_.probe_period)
        peer.silent_since = now;
    peer.last_tick = now;
    const boot_time heard = std::max(peer.silent_since, peer.link->last_received());
    if (now - heard >= settings_.silence_limit)
        return lose_outgoing(to, make_error(error_code::unavailable,
                                            fmt::format("nothing was received for {} ms",
                                                        milliseconds_of(now - heard))));
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
        return lose_outgoing(
            to, make_error(error_code::invalid_input, "a frame that is not an answer"));
    result<reply> message = decode_reply(value.body);
    if (!message)
        return lose_outgoing(to, message.error());
    if (const failure_reply* failure = std::get_if<failure_reply>(&message.value()))
        return finish(*peer, value.id, make_error(failure->code, failure->message));
    finish(*peer, value.id, std::move(message));
}

void tcp_peer_network::implementation::lose_outgoing(const peer_address& to,
                                                     const error& reason)
{
    const auto found = outgoing_.find(to);
    if (found == outgoing_.end())
        return;
    const std::shared_ptr<outgoing_peer> peer = std::move(found->second);
    outgoing_.erase(found);
    peer->link->close();
    peer->probe.reset();
    if (!peer->open.empty())
        log_.warning("wire", "connection lost",
                     {{"peer", to.value()},
                      {"reason", reason.message},
                      {"open_requests", std::uint64_t{peer->open.size()}}});
    fail_open(*peer, to.value() + ": " + reason.message);
}

void tcp_peer_network::implementation::fail_open(outgoing_peer& peer,
                                                 const std::string& reason)
{
    while (!peer.open.empty())
    {
        const error_code code = peer.open.begin()->second.written
                                    ? error_code::outcome_unknown
                                    : error_code::unavailable;
        finish(peer, peer.open.begin()->first, make_error(code, reason));
    }
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
    if (!peer->serving.insert(value.id).second)
    {
        log_.warning("wire", "request id used twice", {{"remote", peer->link->remote()}});
        return;
    }
    result<request> message = decode_request(value.body);
    // A message of this peer alone is faulty; its other requests are answered.
    if (!message)
        return answer(weak, value.id,
                      failure_reply{message.error().code, message.error().message});
    if (!handler_)
        return answer(weak, value.id,
                      failure_reply{error_code::unavailable, "not ready to serve"});
    if (peer->serving.size() > most_served_requests)
        return answer(weak, value.id,
                      failure_reply{error_code::limit_exceeded,
                                    "too many open requests on this connection"});
    const std::weak_ptr<bool> alive = alive_;
    handler_(peer->link->peer().id, std::move(message).value(),
             [this, alive, weak, id = value.id](const reply& given)
             {
                 if (!alive.expired())
                     answer(weak, id, given);
             });
}

void tcp_peer_network::implementation::answer(const std::weak_ptr<incoming_peer>& target,
                                              std::uint64_t id, const reply& message)
{
    const std::shared_ptr<incoming_peer> peer = target.lock();
    if (!peer || peer->serving.erase(id) == 0)
        return;
    std::string body = encode(message);
    if (body.size() + frame_overhead > settings_.most_frame_bytes)
        body = encode(reply(failure_reply{
            error_code::outcome_unknown,
            fmt::format("the answer of {} bytes exceeds the limit of a frame",
                        body.size())}));
    if (peer->link->send(encode_frame(frame{frame_kind::reply, id, 0, std::move(body)}),
                         0))
        return;
    for (const auto& [key, candidate] : incoming_)
        if (candidate == peer)
            return lose_incoming(key, make_error(error_code::limit_exceeded,
                                                 "the peer does not read its answers"));
}

void tcp_peer_network::implementation::lose_incoming(std::uint64_t key,
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
    else
        log_.warning("wire", "incoming connection closed",
                     {fields[0], fields[1], fields[2]});
    peer->link->close();
}

void tcp_peer_network::implementation::shut_down()
{
    closing_ = true;
    alive_.reset();
    if (acceptor_ != nullptr)
    {
        g_source_destroy(acceptor_);
        g_source_unref(acceptor_);
    }
    if (listener_)
        g_socket_close(listener_.get(), nullptr);
    for (const auto& [key, peer] : incoming_)
        peer->link->close();
    incoming_.clear();
    while (!outgoing_.empty())
    {
        const std::shared_ptr<outgoing_peer> peer = outgoing_.begin()->second;
        outgoing_.erase(outgoing_.begin());
        peer->link->close();
        fail_open(*peer, "this instance shuts down");
    }
}

tcp_peer_network::tcp_peer_network(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

tcp_peer_network::~tcp_peer_network() = default;

result<std::unique_ptr<tcp_peer_network>>
tcp_peer_network::open(event_loop& loop, const logger& log, options settings)
{
    std::unique_ptr<implementation> state =
        std::make_unique<implementation>(loop, log, std::move(settings));
    const result<bool> listening = state->listen();
    if (!listening)
        return listening.error();
    return std::unique_ptr<tcp_peer_network>(new tcp_peer_network(std::move(state)));
}

std::uint16_t tcp_peer_network::port() const
{
    return implementation_->port();
}

void tcp_peer_network::call(const peer_address& to, request message, duration deadline,
                            std::function<void(result<reply>)> done)
{
    implementation_->call(to, message, deadline, std::move(done));
}

void tcp_peer_network::serve(request_handler handler)
{
    implementation_->serve(std::move(handler));
}

std::uint64_t tcp_peer_network::bytes_sent() const
{
    return implementation_->counted().sent;
}

std::uint64_t tcp_peer_network::bytes_received() const
{
    return implementation_->counted().received;
}

} // namespace hawthornbeam::wire
