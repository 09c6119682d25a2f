/// \file
/// Decides which connections and requests of clients an HTTP server takes, so that its
/// memory and descriptors stay bounded whatever clients send.
#ifndef HAWTHORNBEAM_SERVER_ADMISSION_HPP
#define HAWTHORNBEAM_SERVER_ADMISSION_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/strong.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace hawthornbeam
{

using connection_id = strong_number<struct connection_id_tag, std::uint64_t>;

/// Classes of clients. Each has connections of its own, so that none can take those of
/// another.
enum class client_class : std::uint8_t
{
    callers, ///< Submit and query work.
    monitors ///< Check readiness and read metrics.
};
inline constexpr std::size_t client_class_count = 2;

/// Why a connection is closed before its client has ended it.
enum class refusal : std::uint8_t
{
    header_too_large,
    body_too_large,
    memory_exhausted,      ///< Unfinished requests hold all memory for requests.
    request_too_slow,      ///< The request did not arrive in time.
    response_not_read,     ///< The client did not read its response in time.
    connections_exhausted, ///< All connections of the class serve requests.
    connection_replaced    ///< Closed in favour of a new connection.
};
inline constexpr std::size_t refusal_count = 7;

/// How a connection ends after a refusal.
struct refusal_rule
{
    refusal why;
    const char* name; ///< Value of the label `reason` of the metric.
    /// HTTP status of the response, after which the connection is closed. Zero: it is
    /// closed without a response.
    unsigned status;
    const char* message; ///< Explains the response to the client.
};
const refusal_rule& rule_of(refusal why);

struct admission_limits
{
    /// Connections of each class.
    std::size_t max_connections[client_class_count] = {1024, 32};
    /// Memory that all unfinished requests may take, except small ones. A request is
    /// unfinished until its response is sent.
    std::size_t request_memory_bytes = std::size_t{32} << 20U;
    /// Memory that a byte of a body takes at most until its request is answered: in the
    /// parsed job, in its stored form in base64, and in copies of that for a call.
    std::size_t memory_per_body_byte = 4;
    /// Leading bytes of a body that are not charged, so that small requests are served
    /// while large ones hold all of the memory.
    std::size_t small_body_bytes = std::size_t{8} << 10U;
    /// Bytes received before the header is complete, including those of the body that
    /// came with it.
    std::size_t max_header_bytes = std::size_t{16} << 10U;
    /// Bytes of responses that clients have not read, except small ones; while there are
    /// more, requests that only read state are refused.
    std::size_t response_memory_bytes = std::size_t{32} << 20U;
    duration receive_timeout = std::chrono::seconds(30);
    duration send_timeout = std::chrono::seconds(30);
    /// A request waits so long for memory, without being read, before it or a slower one
    /// is refused.
    duration memory_wait = std::chrono::seconds(1);
    /// Requests that have been arriving for longer may be refused in favour of others.
    duration min_receive_time = std::chrono::seconds(1);
    /// The same until the header has arrived, and for a new connection. Ordinary clients
    /// send the header at once.
    duration min_header_time = std::chrono::milliseconds(100);
};

/// Resources of a process that its limits are derived from.
struct process_resources
{
    std::size_t memory_bytes = 0;
    std::size_t descriptors = 0;
};

/// Receive buffer of the kernel for each connection, in bytes.
inline constexpr std::size_t receive_buffer_bytes = std::size_t{32} << 10U;

/// Returns limits that leave half of the descriptors and of the memory to other uses.
admission_limits limits_for(const process_resources& available);

/// What happens to a request of which a further part has arrived.
struct request_verdict
{
    enum class action : std::uint8_t
    {
        proceed,
        wait, ///< Read no more until check() or take_resumed() names the connection.
        refuse
    };
    action next = action::proceed;
    refusal why{}; ///< Valid if refused.
};

/// Keeps account of connections and unfinished requests. Callers report what arrives, and
/// carry out the verdicts. Ids must not be used twice.
class admission
{
public:
    explicit admission(const admission_limits& limits);
    ~admission();

    struct open_verdict
    {
        bool admitted = false;
        /// Connection to close in favour of the new one.
        std::optional<connection_id> replaced;
    };
    open_verdict open(connection_id id, client_class of, boot_time now);
    /// The connection is closed. Has no effect on unknown ids.
    void close(connection_id id);

    /// \p bytes of the connection were read.
    request_verdict received(connection_id id, std::size_t bytes, boot_time now);
    /// The header of a request is complete. \p announced_bytes: of the body, if known.
    request_verdict header_received(connection_id id,
                                    std::optional<std::uint64_t> announced_bytes,
                                    std::size_t max_body_bytes, boot_time now);
    request_verdict body_received(connection_id id, std::size_t bytes, boot_time now);
    /// The request is complete and will be handled.
    void request_received(connection_id id);
    /// Returns whether a complete request awaits its response or the end of it.
    bool awaits_response(connection_id id) const;
    /// Returns false if the response to a request that only reads state must be refused.
    bool may_read_state() const;
    void response_started(connection_id id, std::size_t bytes, boot_time now);
    void response_finished(connection_id id, boot_time now);
    /// The connection stays open until its client has read the refusal.
    void refused(connection_id id, boot_time now);

    /// Returns the connections that waited and may be read again.
    std::vector<connection_id> take_resumed();

    struct overdue
    {
        connection_id id;
        refusal why;
    };
    /// Returns the connections to refuse because of the time or of requests that wait.
    std::vector<overdue> check(boot_time now);
    /// Returns whether check() has to be called from time to time.
    bool needs_checks() const;

    std::size_t connections(client_class of) const;
    /// Bytes charged to request_memory_bytes.
    std::size_t request_bytes() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
