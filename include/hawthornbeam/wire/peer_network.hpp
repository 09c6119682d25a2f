/// \file
/// Interface to send requests to other instances, and its implementation over TCP.
#ifndef HAWTHORNBEAM_WIRE_PEER_NETWORK_HPP
#define HAWTHORNBEAM_WIRE_PEER_NETWORK_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/wire/messages.hpp"

namespace hawthornbeam::wire
{

/// "IP:PORT" at which an instance serves the inner protocol.
using peer_address = string_id<struct peer_address_tag>;

/// Handles a request of another instance. It must call \p answer exactly once, possibly
/// after it has returned.
using request_handler = std::function<void(const instance_id& from, request message,
                                           std::function<void(reply)> answer)>;

/// Sends requests to other instances and serves theirs. Tests use an in-memory network.
class peer_network
{
public:
    virtual ~peer_network() = default;

    /// Sends \p message and calls \p done exactly once. Fails with unavailable when the
    /// request was certainly not delivered, and with outcome_unknown when it may have
    /// been. A failure_reply of the peer is passed to \p done as an error with its code.
    virtual void call(const peer_address& to, request message, duration deadline,
                      std::function<void(result<reply>)> done) = 0;
    /// Sets the handler for requests of other instances.
    virtual void serve(request_handler handler) = 0;
};

/// Network over TCP on a GLib loop. Frames are limited to 1 MiB by default, and the
/// handshake checks the protocol version. While requests are open, the peer is probed,
/// and a connection on which nothing arrives for the silence limit is replaced.
class tcp_peer_network final : public peer_network
{
public:
    struct options
    {
        instance_id self;
        std::string listen_ip;
        std::uint16_t port = 0; ///< Zero picks a free port.
        duration probe_period = std::chrono::seconds(1);
        duration silence_limit = std::chrono::seconds(3);
        std::size_t max_frame_bytes = std::size_t{1} << 20U;
        std::size_t max_connections = 1024;
        /// Called for each failure to accept a connection, if set.
        std::function<void()> accept_failed;
    };

    /// Listens; fails when the address cannot be bound.
    static result<std::unique_ptr<tcp_peer_network>>
    open(event_loop& loop, const logger& log, options settings);
    ~tcp_peer_network() override;

    /// The bound port.
    std::uint16_t port() const;
    void call(const peer_address& to, request message, duration deadline,
              std::function<void(result<reply>)> done) override;
    void serve(request_handler handler) override;

    /// Bytes sent and received so far, for measuring the control traffic.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class implementation;
    explicit tcp_peer_network(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::wire

#endif
