/// \file
/// One HTTP request and its response.
#ifndef HAWTHORNBEAM_LIB_API_EXCHANGE_HPP
#define HAWTHORNBEAM_LIB_API_EXCHANGE_HPP

#include "hawthornbeam/support/result.hpp"
#include "lib/api/access.hpp"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

// libsoup's own names.
// NOLINTNEXTLINE(bugprone-reserved-identifier)
typedef struct _SoupServerMessage SoupServerMessage;

namespace hawthornbeam
{

/// A problem document before it is written.
struct problem
{
    unsigned status = 500;
    error_code code = error_code::internal;
    std::string title;
    /// True only where it is known that nothing ran.
    bool not_run = false;
    std::int64_t retry_after_ms = 0;
    findings faults;
};

/// Reads a request and answers it exactly once, now or later. An exchange that is
/// destroyed without an answer responds with 500. When the client has closed the
/// connection, answers are dropped.
class exchange
{
public:
    /// \p finished runs once when the response has been given.
    exchange(SoupServerMessage* message, std::map<std::string, std::string> query,
             std::function<void(unsigned status)> finished);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    std::string header(const char* name) const;
    std::string body() const;
    /// A query parameter; empty when absent.
    std::string parameter(const std::string& name) const;

    void respond_json(unsigned status, const nlohmann::json& document);
    void respond_text(unsigned status, const char* content_type, const std::string& text);
    void respond_problem(const problem& what);
    /// A problem document with one more member.
    void respond_problem(const problem& what, const char* member,
                         const nlohmann::json& value);
    void set_header(const char* name, const std::string& value);

    caller_identity caller;
    std::vector<std::string> captures; ///< Parts of the path that the route names.

private:
    static void on_closed(SoupServerMessage* message, void* self);

    SoupServerMessage* message_;
    unsigned long closed_signal_ = 0;
    std::map<std::string, std::string> query_;
    std::function<void(unsigned)> finished_;
    bool answered_ = false;
};

/// The problem that reports \p why of an operation that was not carried out.
problem problem_of(const error& why);

} // namespace hawthornbeam

#endif
