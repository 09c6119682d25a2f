#include "lib/server/lingering_close.hpp"

#include <array>

namespace hawthornbeam
{

namespace
{

constexpr duration linger_timeout = std::chrono::seconds(2);
constexpr std::size_t max_discarded_bytes = std::size_t{256} << 10U;
constexpr std::size_t discard_buffer_bytes = std::size_t{16} << 10U;

} // namespace

lingering_close::lingering_close(event_loop& loop,
                                 wire::object_ptr<GSocketConnection> connection,
                                 const std::string& response,
                                 std::function<void()> closed)
    : connection_(std::move(connection)), closed_(std::move(closed))
{
    GSocket* socket = g_socket_connection_get_socket(connection_.get());
    g_socket_set_blocking(socket, FALSE);
    // The response is small. Where the socket does not take all of it, the client has
    // left earlier responses unread.
    g_socket_send(socket, response.data(), response.size(), nullptr, nullptr);
    g_socket_shutdown(socket, FALSE, TRUE, nullptr);
    source_ = g_socket_create_source(socket, G_IO_IN, nullptr);
    g_source_set_callback(
        source_, reinterpret_cast<GSourceFunc>(reinterpret_cast<void*>(&on_readable)),
        this, nullptr);
    g_source_attach(source_, nullptr);
    timeout_ = loop.after(linger_timeout, [this] { finish(); });
}

lingering_close::~lingering_close()
{
    if (source_ != nullptr)
    {
        g_source_destroy(source_);
        g_source_unref(source_);
    }
    g_io_stream_close(G_IO_STREAM(connection_.get()), nullptr, nullptr);
}

gboolean lingering_close::on_readable(GSocket* /*socket*/, GIOCondition /*condition*/,
                                      gpointer data)
{
    lingering_close& self = *static_cast<lingering_close*>(data);
    if (self.discard_some())
        return G_SOURCE_CONTINUE;
    self.finish();
    return G_SOURCE_REMOVE;
}

bool lingering_close::discard_some()
{
    std::array<char, discard_buffer_bytes> buffer;
    wire::gio_error failure;
    const gssize size =
        g_socket_receive(g_socket_connection_get_socket(connection_.get()), buffer.data(),
                         buffer.size(), nullptr, failure.out());
    if (size < 0)
        return failure.matches(G_IO_ERROR_WOULD_BLOCK);
    discarded_bytes_ += static_cast<std::size_t>(size);
    return size > 0 && discarded_bytes_ <= max_discarded_bytes;
}

void lingering_close::finish()
{
    const std::function<void()> closed = std::move(closed_);
    closed();
}

} // namespace hawthornbeam
