/// \file
/// One HTTP exchange with an instance.
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

/// A request of docs/api.md.
struct api_request
{
    std::string method;
    std::string path; ///< With query, already escaped.
    std::string body; ///< JSON; empty for none.
    std::vector<std::pair<std::string, std::string>> headers;
};

/// What an instance answered.
struct api_response
{
    int status = 0;
    std::string body;
    std::string etag;        ///< Header ETag; may be empty.
    std::string retry_after; ///< Header Retry-After; may be empty.
};

/// Sends one request to one instance. Tests inject a fake.
class api_transport
{
public:
    virtual ~api_transport() = default;
    /// \p address is "IP:PORT". The error is `unavailable` when the request was certainly
    /// not sent, and `outcome_unknown` when it may have taken effect.
    virtual result<api_response> send(const std::string& address,
                                      const api_request& request) = 0;
};

/// Sends over HTTP by libsoup; gives up after \p limit without progress.
std::unique_ptr<api_transport> make_http_transport(duration limit);

} // namespace hawthornbeam

#endif
