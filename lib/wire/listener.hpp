/// \file
/// Accepts TCP connections, also after the process was out of descriptors.
#ifndef HAWTHORNBEAM_LIB_WIRE_LISTENER_HPP
#define HAWTHORNBEAM_LIB_WIRE_LISTENER_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/result.hpp"
#include "socket_address.hpp"

#include <functional>
#include <memory>

namespace hawthornbeam::wire
{

/// A listening socket. Its callbacks run on the event loop.
class listener
{
public:
    struct events
    {
        std::function<void(object_ptr<GSocket>)> accepted;
        /// No connection can be accepted now, for example for lack of descriptors. The
        /// listener tries again after a pause.
        std::function<void(const std::string& reason)> failed;
    };

    /// Fails if \p address cannot be bound. Accepted sockets have receive buffers of
    /// \p receive_buffer bytes; zero: as the system sets them.
    static result<std::unique_ptr<listener>> open(event_loop& loop,
                                                  GSocketAddress* address,
                                                  std::size_t receive_buffer,
                                                  events handlers);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    std::uint16_t port() const;

private:
    listener(event_loop& loop, object_ptr<GSocket> socket, events handlers);
    static gboolean on_acceptable(GSocket* socket, GIOCondition condition, gpointer data);
    bool accept_some();
    void watch();
    void unwatch();

    event_loop& loop_;
    object_ptr<GSocket> socket_;
    events events_;
    GSource* source_ = nullptr;
    timer_handle pause_;
};

} // namespace hawthornbeam::wire

#endif
