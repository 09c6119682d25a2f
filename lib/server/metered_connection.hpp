/// \file
/// Socket connection that reports how many bytes are read from it.
#ifndef HAWTHORNBEAM_LIB_SERVER_METERED_CONNECTION_HPP
#define HAWTHORNBEAM_LIB_SERVER_METERED_CONNECTION_HPP

#include "lib/wire/socket_address.hpp"

#include <functional>

namespace hawthornbeam
{

/// Creates a connection on \p socket. \p on_read is called with the size of each
/// successful read until the connection is closed; zero means
/// that the stream has ended or failed.
wire::object_ptr<GSocketConnection>
make_metered_connection(GSocket* socket, std::function<void(std::size_t bytes)> on_read);

} // namespace hawthornbeam

#endif
