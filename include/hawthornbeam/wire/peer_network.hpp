/// \file
/// Requests between instances.
#ifndef HAWTHORNBEAM_WIRE_PEER_NETWORK_HPP
#define HAWTHORNBEAM_WIRE_PEER_NETWORK_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/wire/messages.hpp"

namespace hawthornbeam::wire
{

/// "IP:PORT" of an instance's inner protocol.
using peer_address = string_id<struct peer_address_tag>;

/// Answers requests of other instances. The reply may be given later, exactly once.
using request_handler = std::function<void(const instance_id& from, request message,
                                           std::function<void(reply)> answer)>;

/// Sends requests to other instances; tests use an in-memory network.
class peer_network
{
public:
    virtual ~peer_network() = default;

    /// Sends \p message and calls \p done exactly once. Fails with unavailable when the
    /// request was certainly not delivered, else with outcome_unknown. A failure_reply
    /// of the peer arrives as an error with its code.
    virtual void call(const peer_address& to, request message, duration deadline,
                      std::function<void(result<reply>)> done) = 0;
    /// Sets who answers the requests of other instances.
    virtual void serve(request_handler handler) = 0;
};

/// TCP on a GLib loop: frames of at most 1 MiB, a versioned handshake, probes while
/// requests are open, and replacement of connections that went silent.
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

    /// Bytes sent and received so far, for the control cost.
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class implementation;
    explicit tcp_peer_network(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::wire

#endif
