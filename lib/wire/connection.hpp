/// \file
/// TCP connection between two instances that carries frames in both directions.
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

/// Sends and receives frames on a non-blocking socket in the default GLib context.
/// All frames but the own hello stay queued until the peer's hello has arrived.
class connection : public std::enable_shared_from_this<connection>
{
public:
    struct events
    {
        /// The peer's hello was accepted.
        std::function<void()> ready;
        std::function<void(frame)> received;
        /// The first byte of the request with this id was passed to the kernel.
        std::function<void(std::uint64_t request)> written;
        /// The connection failed. Called at most once, and never after close().
        std::function<void(const error& reason)> lost;
    };
    struct limits
    {
        std::size_t frame_bytes = 0;
        std::size_t queue_bytes = 0;
    };

    connection(const clock_source& clock, traffic& totals, limits bounds);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects and sends \p own. If the attempt fails at once, is_open() is false
    /// afterwards; later errors are reported through events::lost, never from within this
    /// call.
    void connect(const std::string& address, const hello& own, events handlers);
    /// Takes over an accepted socket and sends \p own.
    void accept(object_ptr<GSocket> socket, const hello& own, events handlers);
    void close();

    /// Queues an encoded frame. Returns false when the queue is full or the connection is
    /// closed. \p request is the request id, or zero for frames of other kinds.
    bool send(std::string bytes, std::uint64_t request);
    /// Removes a request from the queue unless a part of it was already sent.
    void remove_unsent(std::uint64_t request);

    bool is_open() const { return socket_ != nullptr; }
    bool is_ready() const { return ready_; }
    const hello& peer() const { return peer_; }
    boot_time last_received() const { return last_received_; }
    /// "IP:PORT" of the peer.
    const std::string& remote() const { return remote_; }

private:
    struct queued_frame
    {
        std::string bytes;
        std::uint64_t request = 0;
    };
    using io_handler = bool (connection::*)();

    void queue_hello(const hello& own);
    void watch(GSource*& source, GIOCondition condition, io_handler action);
    void unwatch(GSource*& source);
    static gboolean dispatch(GSocket* socket, GIOCondition condition, gpointer data);
    bool on_connected();
    bool on_readable();
    bool on_writable();
    bool write_some();
    void record_written(std::size_t bytes);
    bool process_input();
    bool handle_frame(std::string_view bytes);
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
    /// Until the peer's hello has arrived, only the own hello is written.
    std::deque<queued_frame> output_;
    std::size_t output_offset_ = 0;
    std::size_t output_bytes_ = 0;
    bool hello_written_ = false;
    boot_time last_received_{};
};

} // namespace hawthornbeam::wire

#endif
