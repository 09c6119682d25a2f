/// \file
/// Asynchronous HTTP client shared by the platform bindings.
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

/// One request. Waiting calls set a timeout longer than their wait.
struct http_request
{
    std::string method;
    std::string url;
    std::string body;
    duration timeout{};
    std::string content_type = "application/octet-stream";
    std::vector<std::pair<std::string, std::string>> headers = {};
};

/// How requests that may change something use connections.
enum class connection_use
{
    fresh, ///< Each has its own, so that none is sent twice or on a silent connection.
    kept   ///< They share kept ones. libsoup repeats a request whose kept connection
           ///< breaks, so the receiver has to bear repeated ones.
};

/// The whole answer to a request, whatever its status.
struct http_reply
{
    unsigned status = 0;
    std::string body;
};

/// Sends requests with a bounded number of connections per host. GETs share kept
/// connections; every other request is sent at most once. A request
/// fails with unavailable when it was not sent, and with outcome_unknown when it was sent
/// but no whole answer came in time.
class http_client
{
public:
    using callback = std::function<void(result<http_reply>)>;

    http_client(event_loop& loop, const logger& log, unsigned connections_per_host,
                connection_use use = connection_use::fresh);
    /// Cancels open calls; their callbacks do not run.
    ~http_client();

    /// \p done runs exactly once on the loop, never inside send().
    void send(http_request request, callback done);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

/// \p text with everything percent-encoded that is not allowed in a path segment or a
/// query value; '/' is kept.
std::string percent_encode(const std::string& text);

} // namespace hawthornbeam

#endif
