/// \file
/// GIO types of the metered connection: a socket connection whose input stream is wrapped
/// by a filter that counts.
#include "lib/server/metered_connection.hpp"

#include <gio/gio.h>

// GObject's type macros define names outside the project's conventions.
// NOLINTBEGIN(readability-identifier-naming,bugprone-*)
namespace
{

using read_callback = std::function<void(std::size_t)>;

struct metered_input
{
    GFilterInputStream parent;
    read_callback* on_read;
};
struct metered_inputClass
{
    GFilterInputStreamClass parent;
};

struct metered_socket
{
    GSocketConnection parent;
    GInputStream* input;
};
struct metered_socketClass
{
    GSocketConnectionClass parent;
};

GType metered_input_get_type();
GType metered_socket_get_type();

void metered_input_poll_init(GPollableInputStreamInterface* interface);

G_DEFINE_TYPE_WITH_CODE(metered_input, metered_input, G_TYPE_FILTER_INPUT_STREAM,
                        G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM,
                                              metered_input_poll_init))
G_DEFINE_TYPE(metered_socket, metered_socket, G_TYPE_SOCKET_CONNECTION)

GInputStream* base_of(gpointer stream)
{
    return g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(stream));
}

/// Reports the outcome of a read to the owner of the stream, and passes it on.
gssize record_read(gpointer stream, gssize bytes, GError* fault, GError** failure)
{
    const metered_input* self = static_cast<metered_input*>(stream);
    const bool ended =
        bytes == 0 ||
        (bytes < 0 && !g_error_matches(fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK));
    if (fault != nullptr)
        g_propagate_error(failure, fault);
    if (self->on_read != nullptr && (bytes > 0 || ended))
        (*self->on_read)(ended ? 0 : static_cast<std::size_t>(bytes));
    return bytes;
}

gssize read_blocking(GInputStream* stream, void* buffer, gsize size,
                     GCancellable* cancellable, GError** failure)
{
    GError* fault = nullptr;
    const gssize bytes =
        g_input_stream_read(base_of(stream), buffer, size, cancellable, &fault);
    return record_read(stream, bytes, fault, failure);
}

gssize read_nonblocking(GPollableInputStream* stream, void* buffer, gsize size,
                        GError** failure)
{
    GError* fault = nullptr;
    const gssize bytes = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(base_of(stream)), buffer, size, nullptr, &fault);
    return record_read(stream, bytes, fault, failure);
}

gboolean is_readable(GPollableInputStream* stream)
{
    return g_pollable_input_stream_is_readable(G_POLLABLE_INPUT_STREAM(base_of(stream)));
}

GSource* create_source(GPollableInputStream* stream, GCancellable* cancellable)
{
    GSource* base = g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(base_of(stream)), cancellable);
    GSource* source = g_pollable_source_new_full(stream, base, nullptr);
    g_source_unref(base);
    return source;
}

void metered_input_finalize(GObject* object)
{
    delete reinterpret_cast<metered_input*>(object)->on_read;
    G_OBJECT_CLASS(metered_input_parent_class)->finalize(object);
}

void metered_input_poll_init(GPollableInputStreamInterface* interface)
{
    interface->is_readable = is_readable;
    interface->create_source = create_source;
    interface->read_nonblocking = read_nonblocking;
}

void metered_input_class_init(metered_inputClass* type)
{
    G_OBJECT_CLASS(type)->finalize = metered_input_finalize;
    G_INPUT_STREAM_CLASS(type)->read_fn = read_blocking;
}

void metered_input_init(metered_input* self)
{
    self->on_read = nullptr;
}

GInputStream* input_of(GIOStream* stream)
{
    return reinterpret_cast<metered_socket*>(stream)->input;
}

void metered_socket_finalize(GObject* object)
{
    g_clear_object(&reinterpret_cast<metered_socket*>(object)->input);
    G_OBJECT_CLASS(metered_socket_parent_class)->finalize(object);
}

void metered_socket_class_init(metered_socketClass* type)
{
    G_OBJECT_CLASS(type)->finalize = metered_socket_finalize;
    G_IO_STREAM_CLASS(type)->get_input_stream = input_of;
}

void metered_socket_init(metered_socket* self)
{
    self->input = nullptr;
}

} // namespace
// NOLINTEND(readability-identifier-naming,bugprone-*)

namespace hawthornbeam
{

wire::object_ptr<GSocketConnection>
make_metered_connection(GSocket* socket, std::function<void(std::size_t bytes)> on_read)
{
    gpointer connection =
        g_object_new(metered_socket_get_type(), "socket", socket, nullptr);
    GInputStream* plain = G_IO_STREAM_CLASS(metered_socket_parent_class)
                              ->get_input_stream(G_IO_STREAM(connection));
    gpointer input =
        g_object_new(metered_input_get_type(), "base-stream", plain, nullptr);
    static_cast<metered_input*>(input)->on_read = new read_callback(std::move(on_read));
    static_cast<metered_socket*>(connection)->input = G_INPUT_STREAM(input);
    return wire::object_ptr<GSocketConnection>(G_SOCKET_CONNECTION(connection));
}

} // namespace hawthornbeam
