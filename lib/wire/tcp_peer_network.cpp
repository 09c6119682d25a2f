/// \file
/// Construction, shutdown and public interface of the TCP network.
#include "hawthornbeam/wire/peer_network.hpp"

#include "tcp_implementation.hpp"

namespace hawthornbeam::wire
{

namespace
{

/// Limit on the send queue of a connection, in frames of the largest size.
constexpr std::size_t send_queue_frames = 4;

} // namespace

tcp_peer_network::implementation::implementation(event_loop& loop, const logger& log,
                                                 options settings)
    : loop_(loop), log_(log), settings_(std::move(settings)),
      lifetime_(std::make_shared<bool>(true))
{
    own_.version = protocol_version;
    own_.id = settings_.self;
    own_.session = static_cast<std::uint64_t>(g_random_int()) << 32U | g_random_int();
    limits_ = {settings_.max_frame_bytes,
               send_queue_frames * (settings_.max_frame_bytes + length_bytes)};
}

void tcp_peer_network::implementation::shut_down()
{
    closing_ = true;
    lifetime_.reset();
    listener_.reset();
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
    return implementation_->traffic_totals().sent;
}

std::uint64_t tcp_peer_network::bytes_received() const
{
    return implementation_->traffic_totals().received;
}

} // namespace hawthornbeam::wire
