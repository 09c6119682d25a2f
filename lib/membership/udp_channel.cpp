/// \file
/// UDP datagram channel on the default GLib main context.
#include "hawthornbeam/membership/membership.hpp"

#include "../wire/socket_address.hpp"

#include <array>
#include <fmt/format.h>
#include <map>

namespace hawthornbeam
{

namespace
{

using wire::gio_error;
using wire::object_ptr;

/// Larger than any valid datagram, so that a longer one is not truncated to a valid
/// length and is detected as malformed.
constexpr std::size_t receive_buffer_bytes = 2048;
/// Limits the datagrams read per dispatch, so that a flood does not starve other sources
/// of the event loop.
constexpr int max_reads_per_dispatch = 64;
constexpr std::size_t max_cached_addresses = 8192;

} // namespace

class udp_channel::implementation
{
public:
    ~implementation()
    {
        if (source_ != nullptr)
        {
            g_source_destroy(source_);
            g_source_unref(source_);
        }
        if (socket_)
            g_socket_close(socket_.get(), nullptr);
    }
    result<bool> open(const std::string& ip, std::uint16_t port);
    void send(const gossip_address& to, const std::string& bytes);
    void set_receiver(receiver handler)
    {
        handler_ = std::make_shared<receiver>(std::move(handler));
    }
    std::uint16_t port() const { return wire::local_port(socket_.get()); }
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

private:
    static gboolean on_readable(GSocket* socket, GIOCondition condition, gpointer data);
    bool receive_one();
    GSocketAddress* resolve(const gossip_address& to);

    object_ptr<GSocket> socket_;
    GSource* source_ = nullptr;
    std::shared_ptr<receiver> handler_;
    std::map<gossip_address, object_ptr<GSocketAddress>> addresses_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
};

result<bool> udp_channel::implementation::open(const std::string& ip, std::uint16_t port)
{
    const object_ptr<GSocketAddress> address = wire::make_socket_address(ip, port);
    if (!address)
        return make_error(error_code::invalid_input, "not an IP address: " + ip);
    gio_error error;
    socket_.reset(g_socket_new(g_socket_address_get_family(address.get()),
                               G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP,
                               error.out()));
    if (!socket_ || !g_socket_bind(socket_.get(), address.get(), FALSE, error.out()))
        return make_error(
            error_code::unavailable,
            fmt::format("cannot bind UDP {}:{}: {}", ip, port, error.message()));
    g_socket_set_blocking(socket_.get(), FALSE);
    source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
    g_source_set_callback(
        source_, reinterpret_cast<GSourceFunc>(reinterpret_cast<void*>(&on_readable)),
        this, nullptr);
    g_source_attach(source_, nullptr);
    return true;
}

gboolean udp_channel::implementation::on_readable(GSocket* /*socket*/,
                                                  GIOCondition /*condition*/,
                                                  gpointer data)
{
    for (int i = 0; i < max_reads_per_dispatch; ++i)
        if (!static_cast<implementation*>(data)->receive_one())
            break;
    return G_SOURCE_CONTINUE;
}

bool udp_channel::implementation::receive_one()
{
    std::array<char, receive_buffer_bytes> buffer;
    GSocketAddress* sender = nullptr;
    const gssize size = g_socket_receive_from(socket_.get(), &sender, buffer.data(),
                                              buffer.size(), nullptr, nullptr);
    const object_ptr<GSocketAddress> owned(sender);
    if (size < 0)
        return false;
    bytes_received_ += static_cast<std::uint64_t>(size);
    // The copy keeps the handler alive while it runs, even if it sets a new receiver.
    const std::shared_ptr<receiver> handler = handler_;
    if (handler && *handler)
        (*handler)(gossip_address(wire::socket_address_text(sender)),
                   std::string(buffer.data(), static_cast<std::size_t>(size)));
    return true;
}

GSocketAddress* udp_channel::implementation::resolve(const gossip_address& to)
{
    if (addresses_.size() >= max_cached_addresses)
        addresses_.clear();
    const auto found = addresses_.find(to);
    if (found != addresses_.end())
        return found->second.get();
    return addresses_.emplace(to, wire::parse_socket_address(to.value()))
        .first->second.get();
}

void udp_channel::implementation::send(const gossip_address& to, const std::string& bytes)
{
    GSocketAddress* address = resolve(to);
    if (address == nullptr)
        return;
    const gssize size = g_socket_send_to(socket_.get(), address, bytes.data(),
                                         bytes.size(), nullptr, nullptr);
    if (size > 0)
        bytes_sent_ += static_cast<std::uint64_t>(size);
}

udp_channel::udp_channel(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

udp_channel::~udp_channel() = default;

result<std::unique_ptr<udp_channel>> udp_channel::open(const std::string& ip,
                                                       std::uint16_t port)
{
    std::unique_ptr<implementation> state = std::make_unique<implementation>();
    const result<bool> opened = state->open(ip, port);
    if (!opened)
        return opened.error();
    return std::unique_ptr<udp_channel>(new udp_channel(std::move(state)));
}

void udp_channel::send(const gossip_address& to, const std::string& bytes)
{
    implementation_->send(to, bytes);
}

void udp_channel::on_receive(receiver handler)
{
    implementation_->set_receiver(std::move(handler));
}

std::uint16_t udp_channel::port() const
{
    return implementation_->port();
}

std::uint64_t udp_channel::bytes_sent() const
{
    return implementation_->bytes_sent();
}

std::uint64_t udp_channel::bytes_received() const
{
    return implementation_->bytes_received();
}

} // namespace hawthornbeam
