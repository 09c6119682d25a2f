#include "listener.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hawthornbeam::wire
{

namespace
{

/// Connections that the kernel completes before they are accepted.
constexpr int listen_backlog = 1024;
/// Limit on connections accepted in one dispatch, so that a crowd cannot block the event
/// loop.
constexpr int max_accepts_per_dispatch = 16;
/// Pause after a failed accept, during which the socket stays readable.
constexpr duration accept_pause = std::chrono::milliseconds(100);

} // namespace

result<std::unique_ptr<listener>> listener::open(event_loop& loop,
                                                 GSocketAddress* address,
                                                 std::size_t receive_buffer,
                                                 events handlers)
{
    const std::string name = socket_address_text(address);
    gio_error failure;
    object_ptr<GSocket> socket(g_socket_new(g_socket_address_get_family(address),
                                            G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                            failure.out()));
    if (!socket)
        return make_error(error_code::unavailable,
                          "cannot create a socket: " + failure.message());
    g_socket_set_blocking(socket.get(), FALSE);
    g_socket_set_listen_backlog(socket.get(), listen_backlog);
    // The kernel doubles the size, for its own data. Accepted sockets inherit it.
    if (receive_buffer > 0)
        g_socket_set_option(socket.get(), SOL_SOCKET, SO_RCVBUF,
                            static_cast<gint>(receive_buffer / 2), nullptr);
    if (g_socket_bind(socket.get(), address, TRUE, failure.out()) == FALSE ||
        g_socket_listen(socket.get(), failure.out()) == FALSE)
        return make_error(error_code::unavailable, fmt::format("cannot listen on {}: {}",
                                                               name, failure.message()));
    return std::unique_ptr<listener>(
        new listener(loop, std::move(socket), std::move(handlers)));
}

listener::listener(event_loop& loop, object_ptr<GSocket> socket, events handlers)
    : loop_(loop), socket_(std::move(socket)), events_(std::move(handlers))
{
    watch();
}

listener::~listener()
{
    unwatch();
    g_socket_close(socket_.get(), nullptr);
}

std::uint16_t listener::port() const
{
    return local_port(socket_.get());
}

void listener::watch()
{
    source_ = g_socket_create_source(socket_.get(), G_IO_IN, nullptr);
    g_source_set_callback(
        source_, reinterpret_cast<GSourceFunc>(reinterpret_cast<void*>(&on_acceptable)),
        this, nullptr);
    g_source_attach(source_, nullptr);
}

void listener::unwatch()
{
    if (source_ == nullptr)
        return;
    g_source_destroy(source_);
    g_source_unref(source_);
    source_ = nullptr;
}

gboolean listener::on_acceptable(GSocket* /*socket*/, GIOCondition /*condition*/,
                                 gpointer data)
{
    listener& self = *static_cast<listener*>(data);
    if (self.accept_some())
        return G_SOURCE_CONTINUE;
    // The socket stays readable, so the source would fire again at once.
    self.unwatch();
    self.pause_ = self.loop_.after(accept_pause, [&self] { self.watch(); });
    return G_SOURCE_REMOVE;
}

bool listener::accept_some()
{
    for (int i = 0; i < max_accepts_per_dispatch; ++i)
    {
        gio_error failure;
        object_ptr<GSocket> socket(
            g_socket_accept(socket_.get(), nullptr, failure.out()));
        if (socket)
        {
            // Otherwise the end of a response waits until its beginning is acknowledged.
            g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
            events_.accepted(std::move(socket));
            continue;
        }
        if (failure.matches(G_IO_ERROR_WOULD_BLOCK))
            return true;
        events_.failed(failure.message());
        return false;
    }
    return true;
}

} // namespace hawthornbeam::wire
