/// \file
/// Parsing and formatting of socket addresses.
#include "socket_address.hpp"

#include <charconv>
#include <fmt/format.h>

namespace hawthornbeam::wire
{

object_ptr<GSocketAddress> make_socket_address(const std::string& ip, std::uint16_t port)
{
    return object_ptr<GSocketAddress>(
        g_inet_socket_address_new_from_string(ip.c_str(), port));
}

object_ptr<GSocketAddress> parse_socket_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        return nullptr;
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return nullptr;
    std::string ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        ip = ip.substr(1, ip.size() - 2);
    return make_socket_address(ip, port);
}

std::string socket_address_text(GSocketAddress* address)
{
    if (address == nullptr || !G_IS_INET_SOCKET_ADDRESS(address))
        return "unknown";
    GInetSocketAddress* inet = G_INET_SOCKET_ADDRESS(address);
    GInetAddress* host = g_inet_socket_address_get_address(inet);
    gchar* ip = g_inet_address_to_string(host);
    const bool is_v6 = g_inet_address_get_family(host) == G_SOCKET_FAMILY_IPV6;
    const std::uint16_t port = g_inet_socket_address_get_port(inet);
    std::string text =
        is_v6 ? fmt::format("[{}]:{}", ip, port) : fmt::format("{}:{}", ip, port);
    g_free(ip);
    return text;
}

std::uint16_t local_port(GSocket* socket)
{
    const object_ptr<GSocketAddress> address(g_socket_get_local_address(socket, nullptr));
    if (!address || !G_IS_INET_SOCKET_ADDRESS(address.get()))
        return 0;
    return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address.get()));
}

} // namespace hawthornbeam::wire
