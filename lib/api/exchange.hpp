/// \file
/// HTTP request and its response, over libsoup.
#ifndef HAWTHORNBEAM_LIB_API_EXCHANGE_HPP
#define HAWTHORNBEAM_LIB_API_EXCHANGE_HPP

#include "hawthornbeam/server/http_server.hpp"
#include "hawthornbeam/support/result.hpp"
#include "lib/api/access.hpp"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// Content of a problem document, the error response of the API.
struct problem
{
    unsigned status = 500;
    error_code code = error_code::internal;
    std::string title;
    /// True only when it is certain that no task ran.
    bool not_run = false;
    std::int64_t retry_after_ms = 0;
    findings faults;
};

/// One HTTP request, which is answered exactly once, possibly asynchronously. The
/// destructor responds with 500 when no response was given. Responses are discarded once
/// the client has closed the connection.
class exchange
{
public:
    /// \p finished runs once, when a response is given or the client closes the
    /// connection.
    exchange(const received_request& request, std::map<std::string, std::string> query,
             std::function<void(unsigned status)> finished);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    std::string header(const char* name) const;
    const std::string& body() const;
    /// Returns a query parameter; empty when absent.
    std::string parameter(const std::string& name) const;

    void respond_json(unsigned status, const nlohmann::json& document);
    void respond_text(unsigned status, const char* content_type, const std::string& text);
    void respond_problem(const problem& details);
    /// Adds \p member with \p value to the problem document.
    void respond_problem(const problem& details, const char* member,
                         const nlohmann::json& value);
    void set_header(const char* name, const std::string& value);

    caller_identity caller;
    std::vector<std::string> captures; ///< Path segments matched by '*' in the route.

private:
    static void on_closed(SoupServerMessage* message, void* self);

    SoupServerMessage* message_;
    unsigned long closed_signal_ = 0;
    std::string body_;
    std::map<std::string, std::string> query_;
    std::function<void(unsigned)> finished_;
    bool answered_ = false;
};

/// Serializes \p details as the body of an error response.
std::string problem_text(const problem& details);
/// Returns the problem document for the error \p failure of a failed operation.
problem problem_of(const error& failure);

} // namespace hawthornbeam

#endif
