/// \file
/// Converts between "IP:PORT" and GIO socket addresses.
#ifndef HAWTHORNBEAM_LIB_WIRE_SOCKET_ADDRESS_HPP
#define HAWTHORNBEAM_LIB_WIRE_SOCKET_ADDRESS_HPP

#include <gio/gio.h>
#include <memory>
#include <string>

namespace hawthornbeam::wire
{

/// Deleter that drops a GObject reference.
struct object_unref
{
    template <class T>
    void operator()(T* object) const
    {
        g_object_unref(object);
    }
};
template <class T>
using object_ptr = std::unique_ptr<T, object_unref>;

/// Owns the GError that a GLib call returns through its last parameter.
class gio_error
{
public:
    gio_error() = default;
    gio_error(const gio_error&) = delete;
    gio_error& operator=(const gio_error&) = delete;
    ~gio_error() { g_clear_error(&error_); }

    GError** out()
    {
        g_clear_error(&error_);
        return &error_;
    }
    bool matches(GIOErrorEnum code) const
    {
        return g_error_matches(error_, G_IO_ERROR, code);
    }
    std::string message() const { return error_ == nullptr ? "" : error_->message; }

private:
    GError* error_ = nullptr;
};

/// Parses "IP:PORT", with an IPv6 address optionally in brackets. Returns null when
/// \p text is malformed or the port is zero.
object_ptr<GSocketAddress> parse_socket_address(const std::string& text);
/// Returns null when \p ip is malformed.
object_ptr<GSocketAddress> make_socket_address(const std::string& ip, std::uint16_t port);
/// Formats an address as "IP:PORT", with an IPv6 address in brackets.
std::string socket_address_text(GSocketAddress* address);
/// Returns the port to which \p socket is bound, or zero on error.
std::uint16_t local_port(GSocket* socket);

} // namespace hawthornbeam::wire

#endif
