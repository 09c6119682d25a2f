/// \file
/// HTTP server whose memory and descriptors stay bounded whatever clients send.
#ifndef HAWTHORNBEAM_SERVER_HTTP_SERVER_HPP
#define HAWTHORNBEAM_SERVER_HTTP_SERVER_HPP

#include "hawthornbeam/metrics/metrics.hpp"
#include "hawthornbeam/server/admission.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>
#include <string>

// Forward declarations of GLib and libsoup types, whose names are reserved.
// NOLINTBEGIN(bugprone-reserved-identifier)
typedef struct _SoupServerMessage SoupServerMessage;
typedef struct _GHashTable GHashTable;
// NOLINTEND(bugprone-reserved-identifier)

namespace hawthornbeam
{

/// Returns how many descriptors the process may open.
std::size_t descriptor_limit();

/// A request whose body has been received.
struct received_request
{
    SoupServerMessage* message; ///< Paused; respond() ends the pause.
    std::string path;
    GHashTable* query; ///< Null if there is none.
    std::string body;
    client_class from;
};

/// What a server asks its owner. The callbacks must not destroy the server.
struct server_policy
{
    /// Handles a request, and responds to it at some time by respond().
    std::function<void(received_request)> handle;
    /// Limit on the body of a request, in bytes.
    std::function<std::size_t()> max_body_bytes;
    /// Returns the JSON body of the response to a refused request.
    std::function<std::string(const refusal_rule&)> describe;
    /// Time after which a client may repeat a request that was refused with 503.
    std::function<std::chrono::seconds()> retry_after;
};

/// Accepts connections, receives requests within the limits of an admission, and refuses
/// the others before they are handled: such requests had no effect.
class http_server
{
public:
    struct parts
    {
        event_loop& loop;
        const logger& log;
        metrics_registry& metrics;
    };

    http_server(const parts& given, const admission_limits& limits, server_policy policy);
    ~http_server();

    /// Serves \p of at an IP address; port zero picks a free port. Returns the port.
    result<std::uint16_t> listen(const std::string& ip, std::uint16_t port,
                                 client_class of);

    std::size_t connections(client_class of) const;
    /// Bytes that unfinished requests hold, except small ones.
    std::size_t request_bytes() const;

    /// Sends the response to a request; \p content_type may be null if \p body is empty.
    /// Does nothing if its connection has been closed.
    static void respond(SoupServerMessage* message, unsigned status,
                        const char* content_type, const std::string& body);

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
