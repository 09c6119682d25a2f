/// \file
/// Converts between "IP:PORT" and GIO socket addresses.
#ifndef HAWTHORNBEAM_LIB_WIRE_SOCKET_ADDRESS_HPP
#define HAWTHORNBEAM_LIB_WIRE_SOCKET_ADDRESS_HPP

#include <gio/gio.h>
#include <memory>
#include <string>

namespace hawthornbeam::wire
{

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

/// Owns a GError out-parameter.
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

/// Parses an address; IPv6 addresses may stand in brackets. Null when malformed.
object_ptr<GSocketAddress> parse_socket_address(const std::string& text);
/// Null when \p ip is malformed.
object_ptr<GSocketAddress> make_socket_address(const std::string& ip, std::uint16_t port);
/// Writes IPv6 addresses in brackets.
std::string socket_address_text(GSocketAddress* address);
/// The port \p socket is bound to.
std::uint16_t local_port(GSocket* socket);

} // namespace hawthornbeam::wire

#endif
