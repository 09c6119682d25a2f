/// \file
/// Asynchronous HTTP client used by the platform bindings.
#ifndef HAWTHORNBEAM_LIB_PLATFORM_HTTP_CLIENT_HPP
#define HAWTHORNBEAM_LIB_PLATFORM_HTTP_CLIENT_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hawthornbeam
{

/// Order in which requests to one host are sent when they wait for a connection.
enum class call_priority
{
    normal,
    high ///< Before normal ones, and over the reserved connections too.
};

/// An HTTP request. For a long poll, the timeout must exceed the wait time.
struct http_request
{
    std::string method;
    std::string url;
    std::string body;
    /// Limit for the wait for a connection, and again for the answer once it is sent.
    duration timeout{};
    std::string content_type = "application/octet-stream";
    std::vector<std::pair<std::string, std::string>> headers = {};
    call_priority priority = call_priority::normal;
};

/// Connection reuse for requests with side effects.
enum class connection_use
{
    fresh, ///< A new connection for each request, so that none is sent twice or on a
           ///< connection that has stopped responding.
    kept   ///< Requests share kept connections. libsoup resends a request when its kept
           ///< connection breaks, so the receiver must tolerate duplicates.
};

/// Limits on the connections of a client.
struct connection_limits
{
    unsigned per_host = 1;
    unsigned total = 4096; ///< Below the usual limit on descriptors.
    /// Connections to each host that only requests of high priority use; less than
    /// `per_host`.
    unsigned reserved = 0;
};

/// Requests that a client has not completed.
struct pending_calls
{
    std::size_t open = 0;    ///< Passed to the library.
    std::size_t waiting = 0; ///< Not sent, since all connections are in use.
};

/// Status and body of a complete response, including responses with an error status.
struct http_reply
{
    unsigned status = 0;
    std::string body;
};

/// Sends requests over a bounded number of connections per host. GET requests share kept
/// connections; with connection_use::fresh, every other request is sent at most once. A
/// request fails with unavailable when it was not sent, and with outcome_unknown when it
/// was sent but no complete response arrived before the timeout.
///
/// Requests without a connection wait here rather than in the library, which compares
/// every waiting request with every other one whenever any of them completes.
class http_client
{
public:
    using callback = std::function<void(result<http_reply>)>;

    http_client(event_loop& loop, const logger& log, const connection_limits& limits,
                connection_use use = connection_use::fresh);
    /// Cancels pending calls; their callbacks do not run.
    ~http_client();

    /// \p done runs exactly once, on the event loop, never from within send().
    void send(http_request request, callback done);
    pending_calls pending() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// Percent-encodes all characters of \p text that are not allowed in a path segment or a
/// query value, except '/'.
std::string percent_encode(const std::string& text);

} // namespace hawthornbeam

#endif
