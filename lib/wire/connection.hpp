/// \file
/// One TCP connection between instances: frames in both directions.
#ifndef HAWTHORNBEAM_LIB_WIRE_CONNECTION_HPP
#define HAWTHORNBEAM_LIB_WIRE_CONNECTION_HPP

#include "frame.hpp"
#include "hawthornbeam/support/clock.hpp"
#include "socket_address.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace hawthornbeam::wire
{

/// Bytes sent and received by all connections of a network.
struct traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Sends and receives frames on a non-blocking socket on the default GLib context.
/// Frames of requests and replies wait until the peer's hello has arrived.
class connection : public std::enable_shared_from_this<connection>
{
public:
    struct events
    {
        /// The peer's hello was accepted.
        std::function<void()> ready;
        std::function<void(frame)> received;
        /// The first byte of the request with this id was given to the system.
        std::function<void(std::uint64_t request)> written;
        /// Called once; not called after close().
        std::function<void(const error& reason)> lost;
    };
    struct limits
    {
        std::size_t frame_bytes = 0;
        std::size_t queue_bytes = 0;
    };

    connection(const clock_source& clock, traffic& counted, limits bounds);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects and sends \p own. Errors arrive through events.lost, never from inside.
    void connect(const std::string& address, const hello& own, events handlers);
    /// Takes over an accepted socket and sends \p own.
    void accept(object_ptr<GSocket> socket, const hello& own, events handlers);
    void close();

    /// Queues a frame; false when the queue is full. \p request is zero for frames that
    /// are not requests.
    bool send(std::string bytes, std::uint64_t request);
    /// Removes a request of which no byte was sent.
    void withdraw(std::uint64_t request);

    bool is_open() const { return socket_ != nullptr; }
    bool is_ready() const { return ready_; }
    const hello& peer() const { return peer_; }
    boot_time last_received() const { return last_received_; }
    /// "IP:PORT" of the other end.
    const std::string& remote() const { return remote_; }

private:
    struct queued_frame
    {
        std::string bytes;
        std::uint64_t request = 0;
    };
    using guarded = bool (connection::*)();

    void begin(const hello& own);
    void watch(GSource*& source, GIOCondition condition, guarded action);
    void unwatch(GSource*& source);
    static gboolean dispatch(GSocket* socket, GIOCondition condition, gpointer data);
    bool on_connected();
    bool on_readable();
    bool on_writable();
    bool write_some();
    void count_written(std::size_t bytes);
    bool parse_input();
    bool handle(std::string_view bytes);
    bool handle_hello(const frame& value);
    void fail(error_code code, const std::string& message);

    const clock_source& clock_;
    traffic& traffic_;
    limits limits_;
    events events_;
    object_ptr<GSocket> socket_;
    GSource* reader_ = nullptr;
    GSource* writer_ = nullptr;
    std::string remote_;
    hello peer_;
    bool ready_ = false;
    std::string input_;
    /// Before the hello of the peer, only our own hello may be written.
    std::deque<queued_frame> output_;
    std::size_t output_offset_ = 0;
    std::size_t output_bytes_ = 0;
    bool hello_written_ = false;
    boot_time last_received_{};
};

} // namespace hawthornbeam::wire

#endif
