/// \file
/// Ends a connection so that its client can still read the last response.
#ifndef HAWTHORNBEAM_LIB_SERVER_LINGERING_CLOSE_HPP
#define HAWTHORNBEAM_LIB_SERVER_LINGERING_CLOSE_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "lib/wire/socket_address.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hawthornbeam
{

/// Closing a socket with unread bytes resets the connection, which may discard a response
/// that the client has not read. This sends the response, discards a limited number of
/// bytes from the client, and closes the socket at the end of its bytes or of a time
/// limit. Destroying it closes the socket at once.
class lingering_close
{
public:
    /// \p closed is called once, unless this is destroyed before; it may destroy this.
    lingering_close(event_loop& loop, wire::object_ptr<GSocketConnection> connection,
                    const std::string& response, std::function<void()> closed);
    ~lingering_close();
    lingering_close(const lingering_close&) = delete;
    lingering_close& operator=(const lingering_close&) = delete;

private:
    static gboolean on_readable(GSocket* socket, GIOCondition condition, gpointer data);
    bool discard_some();
    void finish();

    wire::object_ptr<GSocketConnection> connection_;
    std::function<void()> closed_;
    GSource* source_ = nullptr;
    timer_handle timeout_;
    std::size_t discarded_bytes_ = 0;
};

} // namespace hawthornbeam

#endif
