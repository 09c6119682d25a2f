/// \file
/// Interface that sends one HTTP request to an instance, and its implementation.
#ifndef HAWTHORNBEAM_CLI_TRANSPORT_HPP
#define HAWTHORNBEAM_CLI_TRANSPORT_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/result.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hawthornbeam
{

/// A request of the HTTP API, which docs/api.md describes.
struct api_request
{
    std::string method;
    std::string path; ///< Includes the query string; already escaped.
    std::string body; ///< JSON; empty if the request has no body.
    std::vector<std::pair<std::string, std::string>> headers;
};

/// The HTTP response of an instance.
struct api_response
{
    int status = 0;
    std::string body;
    std::string etag;        ///< Header ETag; may be empty.
    std::string retry_after; ///< Header Retry-After; may be empty.
};

/// Sends a request to one instance. Tests inject a fake.
class api_transport
{
public:
    virtual ~api_transport() = default;
    /// Sends \p request to \p address ("IP:PORT"). Fails with `unavailable` if the
    /// request was certainly not sent, and with `outcome_unknown` if it may have taken
    /// effect.
    virtual result<api_response> send(const std::string& address,
                                      const api_request& request) = 0;
};

/// Creates a transport that uses libsoup. A request fails after \p timeout without
/// progress.
std::unique_ptr<api_transport> make_http_transport(duration timeout);

} // namespace hawthornbeam

#endif
