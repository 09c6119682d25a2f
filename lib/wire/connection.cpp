/// \file
/// Connections between instances on GIO sockets.
#include "connection.hpp"

#include "hawthornbeam/wire/messages.hpp"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hawthornbeam::wire
{

namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{64} << 10U;
/// Limit on reads per dispatch, so that a fast peer cannot block the event loop.
constexpr int max_reads_per_dispatch = 8;
/// Limit on frames passed to the kernel in one call.
constexpr std::size_t max_frames_per_send = 64;
/// Limit on the first frame of a peer, which is not yet known; a hello is smaller.
constexpr std::size_t max_hello_bytes = 1024;

void configure_socket(GSocket* socket)
{
    g_socket_set_blocking(socket, FALSE);
    // Detects incoming connections whose peer is gone without closing them.
    g_socket_set_keepalive(socket, TRUE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

} // namespace

/// User data of a GSource, which may outlive the connection.
struct source_data
{
    std::weak_ptr<connection> target;
    bool (connection::*action)();
};

connection::connection(const clock_source& clock, traffic& totals, limits bounds)
    : clock_(clock), traffic_(totals), limits_(bounds)
{
}

connection::~connection()
{
    close();
}

void connection::connect(const std::string& address, const hello& own, events handlers)
{
    events_ = std::move(handlers);
    remote_ = address;
    last_received_ = clock_.now();
    const object_ptr<GSocketAddress> target = parse_socket_address(address);
    gio_error fault;
    if (target)
        socket_.reset(g_socket_new(g_socket_address_get_family(target.get()),
                                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                   fault.out()));
    if (!socket_)
        return;
    configure_socket(socket_.get());
    queue_hello(own);
    if (!g_socket_connect(socket_.get(), target.get(), nullptr, fault.out()) &&
        !fault.matches(G_IO_ERROR_PENDING))
    {
        close();
        return;
    }
    watch(writer_, G_IO_OUT, &connection::on_connected);
}

void connection::accept(object_ptr<GSocket> socket, const hello& own, events handlers)
{
    events_ = std::move(handlers);
    socket_ = std::move(socket);
    configure_socket(socket_.get());
    const object_ptr<GSocketAddress> address(
        g_socket_get_remote_address(socket_.get(), nullptr));
    remote_ = socket_address_text(address.get());
    last_received_ = clock_.now();
    queue_hello(own);
    watch(reader_, G_IO_IN, &connection::on_readable);
    watch(writer_, G_IO_OUT, &connection::on_writable);
}

void connection::queue_hello(const hello& own)
{
    std::string bytes = encode_frame(frame{frame_kind::hello, 0, 0, encode_hello(own)});
    output_bytes_ = bytes.size();
    output_.push_front(queued_frame{std::move(bytes), 0});
}

void connection::close()
{
    unwatch(reader_);
    unwatch(writer_);
    if (!socket_)
        return;
    g_socket_close(socket_.get(), nullptr);
    socket_.reset();
    ready_ = false;
    // events_ is not cleared, because close() may be called from one of its handlers.
}

bool connection::send(std::string bytes, std::uint64_t request)
{
    if (!socket_ || output_bytes_ + bytes.size() > limits_.queue_bytes)
        return false;
    output_bytes_ += bytes.size();
    output_.push_back(queued_frame{std::move(bytes), request});
    if (ready_ && writer_ == nullptr)
        watch(writer_, G_IO_OUT, &connection::on_writable);
    return true;
}

void connection::remove_unsent(std::uint64_t request)
{
    for (auto item = output_.begin(); item != output_.end(); ++item)
    {
        if (item->request != request)
            continue;
        // A partially sent frame must be completed, or the peer could not find the start
        // of the next one.
        if (item == output_.begin() && output_offset_ > 0)
            return;
        output_bytes_ -= item->bytes.size();
        output_.erase(item);
        return;
    }
}

void connection::watch(GSource*& source, GIOCondition condition, io_handler action)
{
    unwatch(source);
    source = g_socket_create_source(socket_.get(), condition, nullptr);
    g_source_set_callback(
        source, reinterpret_cast<GSourceFunc>(reinterpret_cast<void*>(&dispatch)),
        new source_data{weak_from_this(), action},
        [](gpointer data) { delete static_cast<source_data*>(data); });
    g_source_attach(source, nullptr);
}

void connection::unwatch(GSource*& source)
{
    if (source == nullptr)
        return;
    g_source_destroy(source);
    g_source_unref(source);
    source = nullptr;
}

gboolean connection::dispatch(GSocket* /*socket*/, GIOCondition /*condition*/,
                              gpointer data)
{
    const source_data call = *static_cast<source_data*>(data);
    const std::shared_ptr<connection> self = call.target.lock();
    if (!self || !self->socket_)
        return G_SOURCE_REMOVE;
    return (self.get()->*call.action)() ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

bool connection::on_connected()
{
    gio_error fault;
    if (!g_socket_check_connect_result(socket_.get(), fault.out()))
    {
        fail(error_code::unavailable, "cannot connect: " + fault.message());
        return false;
    }
    watch(reader_, G_IO_IN, &connection::on_readable);
    watch(writer_, G_IO_OUT, &connection::on_writable);
    return false;
}

bool connection::on_writable()
{
    const bool more = write_some();
    // The socket stays writable, so the source would fire again at once.
    if (!more)
        unwatch(writer_);
    return more;
}

bool connection::write_some()
{
    while (socket_ && !output_.empty())
    {
        if (!ready_ && hello_written_)
            return false;
        std::array<GOutputVector, max_frames_per_send> vectors{};
        const std::size_t count =
            ready_ ? std::min(output_.size(), max_frames_per_send) : std::size_t{1};
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::size_t skip = i == 0 ? output_offset_ : 0;
            vectors[i].buffer = output_[i].bytes.data() + skip;
            vectors[i].size = output_[i].bytes.size() - skip;
        }
        gio_error fault;
        const gssize sent = g_socket_send_message(
            socket_.get(), nullptr, vectors.data(), static_cast<gint>(count), nullptr, 0,
            G_SOCKET_MSG_NONE, nullptr, fault.out());
        if (sent < 0 && fault.matches(G_IO_ERROR_WOULD_BLOCK))
            return true;
        if (sent < 0)
        {
            fail(error_code::unavailable, "cannot send: " + fault.message());
            return false;
        }
        record_written(static_cast<std::size_t>(sent));
    }
    return false;
}

void connection::record_written(std::size_t bytes)
{
    traffic_.sent += bytes;
    while (bytes > 0)
    {
        queued_frame& first = output_.front();
        if (output_offset_ == 0 && first.request != 0)
            events_.written(first.request);
        const std::size_t step = std::min(bytes, first.bytes.size() - output_offset_);
        bytes -= step;
        output_offset_ += step;
        if (output_offset_ < first.bytes.size())
            return;
        hello_written_ = true;
        output_offset_ = 0;
        output_bytes_ -= first.bytes.size();
        output_.pop_front();
    }
}

bool connection::on_readable()
{
    std::array<char, read_buffer_bytes> chunk;
    for (int i = 0; i < max_reads_per_dispatch; ++i)
    {
        gio_error fault;
        const gssize size = g_socket_receive(socket_.get(), chunk.data(), chunk.size(),
                                             nullptr, fault.out());
        if (size < 0 && fault.matches(G_IO_ERROR_WOULD_BLOCK))
            return true;
        if (size <= 0)
        {
            fail(error_code::unavailable, size == 0
                                              ? "the peer closed the connection"
                                              : "cannot receive: " + fault.message());
            return false;
        }
        traffic_.received += static_cast<std::uint64_t>(size);
        last_received_ = clock_.now();
        input_.append(chunk.data(), static_cast<std::size_t>(size));
        if (!process_input())
            return false;
        if (static_cast<std::size_t>(size) < chunk.size())
            return true;
    }
    return true;
}

bool connection::process_input()
{
    std::size_t start = 0;
    while (input_.size() - start >= length_bytes)
    {
        const std::string_view rest = std::string_view(input_).substr(start);
        const std::size_t length = read_length(rest);
        const std::size_t max_bytes = ready_ ? limits_.frame_bytes : max_hello_bytes;
        if (length > max_bytes)
        {
            fail(error_code::invalid_input,
                 fmt::format("a frame of {} bytes exceeds the limit of {}", length,
                             max_bytes));
            return false;
        }
        if (rest.size() < length_bytes + length)
            break;
        if (!handle_frame(rest.substr(length_bytes, length)))
            return false;
        start += length_bytes + length;
    }
    input_.erase(0, start);
    return true;
}

bool connection::handle_frame(std::string_view bytes)
{
    result<frame> value = decode_frame(bytes);
    if (!value)
    {
        fail(value.error().code, value.error().message);
        return false;
    }
    if (!ready_)
        return handle_hello(value.value());
    if (value.value().kind == frame_kind::hello)
    {
        fail(error_code::invalid_input, "a second hello");
        return false;
    }
    events_.received(std::move(value).value());
    return socket_ != nullptr;
}

bool connection::handle_hello(const frame& value)
{
    if (value.kind != frame_kind::hello)
    {
        fail(error_code::invalid_input, "the first frame is not a hello");
        return false;
    }
    const result<hello> peer = decode_hello(value.body);
    if (!peer)
    {
        fail(peer.error().code, peer.error().message);
        return false;
    }
    if (peer.value().version != protocol_version)
    {
        // Sends the own hello before closing, so that the peer logs the mismatch too.
        write_some();
        fail(error_code::unavailable,
             fmt::format("the peer speaks version {} of the inner protocol, this "
                         "instance speaks version {}",
                         peer.value().version, protocol_version));
        return false;
    }
    peer_ = peer.value();
    ready_ = true;
    if (!output_.empty() && writer_ == nullptr)
        watch(writer_, G_IO_OUT, &connection::on_writable);
    events_.ready();
    return socket_ != nullptr;
}

void connection::fail(error_code code, const std::string& message)
{
    if (!socket_)
        return;
    const std::function<void(const error&)> lost = std::move(events_.lost);
    close();
    lost(make_error(code, message));
}

} // namespace hawthornbeam::wire
