/// \file
/// Implementation class of tcp_peer_network.
#ifndef HAWTHORNBEAM_LIB_WIRE_TCP_IMPLEMENTATION_HPP
#define HAWTHORNBEAM_LIB_WIRE_TCP_IMPLEMENTATION_HPP

#include "connection.hpp"
#include "hawthornbeam/support/log_limiter.hpp"
#include "hawthornbeam/wire/peer_network.hpp"
#include "listener.hpp"

#include <map>
#include <unordered_map>
#include <unordered_set>

namespace hawthornbeam::wire
{

using reply_callback = std::function<void(result<reply>)>;

/// Upper bound on the bytes that a frame adds to its encoded message.
inline constexpr std::size_t frame_overhead = 32;

/// A request that was sent or queued and has not been answered.
struct open_request
{
    reply_callback done;
    timer_handle deadline;
    bool written = false; ///< A part was passed to the kernel, so it may take effect.
};

/// A connection that this instance opened to send requests.
struct outgoing_peer
{
    std::shared_ptr<connection> link;
    std::unordered_map<std::uint64_t, open_request> open_requests;
    timer_handle probe_timer;
    /// Silence is counted from here when nothing was received later.
    boot_time silence_start{};
    boot_time last_check{};
    boot_time last_used{};
};

/// A connection that a peer opened.
struct incoming_peer
{
    std::shared_ptr<connection> link;
    /// Ids of requests not answered yet.
    std::unordered_set<std::uint64_t> open_requests;
    timer_handle hello_deadline;
};

class tcp_peer_network::implementation
{
public:
    implementation(event_loop& loop, const logger& log, options settings);
    ~implementation() { shut_down(); }

    result<bool> listen();
    std::uint16_t port() const { return listener_->port(); }
    void call(const peer_address& to, const request& message, duration deadline,
              reply_callback done);
    void serve(request_handler handler) { handler_ = std::move(handler); }
    const traffic& traffic_totals() const { return traffic_; }

private:
    void accept_connection(object_ptr<GSocket> socket);
    bool evict_idle_incoming();
    bool evict_idle_outgoing();
    std::shared_ptr<outgoing_peer> connect_to(const peer_address& to);
    void post_failure(reply_callback done, error_code code, std::string message);
    void complete_request(outgoing_peer& peer, std::uint64_t id, result<reply> outcome);
    void expire_request(const std::shared_ptr<outgoing_peer>& peer, std::uint64_t id,
                        duration deadline);
    void probe_peer(const peer_address& to);
    void receive_reply(const peer_address& to, frame value);
    void drop_outgoing(const peer_address& to, const error& reason);
    void fail_open(outgoing_peer& peer, const std::string& reason);
    void receive_request(const std::shared_ptr<incoming_peer>& peer, frame value);
    void send_reply(const std::weak_ptr<incoming_peer>& target, std::uint64_t id,
                    const reply& message);
    void drop_incoming(std::uint64_t key, const error& reason);
    void shut_down();

    event_loop& loop_;
    const logger& log_;
    options settings_;
    hello own_;
    connection::limits limits_;
    traffic traffic_;
    request_handler handler_;
    std::unique_ptr<listener> listener_;
    std::map<peer_address, std::shared_ptr<outgoing_peer>> outgoing_;
    std::map<std::uint64_t, std::shared_ptr<incoming_peer>> incoming_;
    std::uint64_t next_request_id_ = 1;
    std::uint64_t next_incoming_key_ = 1;
    log_limiter refused_lines_;
    log_limiter closed_lines_;
    log_limiter repeated_id_lines_;
    log_limiter malformed_lines_;
    bool closing_ = false;
    /// Expires on destruction, so that replies given afterwards do not access the
    /// network.
    std::shared_ptr<bool> lifetime_;
};

} // namespace hawthornbeam::wire

#endif
