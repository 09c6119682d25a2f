/// \file
/// Error codes, result types and the findings of input checks.
#ifndef HAWTHORNBEAM_SUPPORT_RESULT_HPP
#define HAWTHORNBEAM_SUPPORT_RESULT_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// Kind of a failure. Callers branch on the code; the message is for people.
enum class error_code
{
    invalid_input,     ///< The input is malformed; a retry fails again.
    not_found,         ///< The requested object does not exist.
    conflict,          ///< A compare-and-swap or generation check failed; not applied.
    unavailable,       ///< The request did not take effect; it may be retried.
    outcome_unknown,   ///< The request may or may not have taken effect.
    deadline_exceeded, ///< The local deadline passed before the request was sent.
    limit_exceeded,    ///< A size, rate or quota limit was hit; not applied.
    denied,            ///< The caller lacks permission.
    internal           ///< An internal invariant was violated.
};

/// Lower-case name of \p code for logs and problem documents.
const char* to_string(error_code code);

/// An error with a message for people.
struct error
{
    error_code code = error_code::internal;
    std::string message;
    /// The remote host answered that nothing listens at the address.
    bool no_listener = false;
};

/// A value or an error. Accessing the one that is not present terminates the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Builds the failure value of a result.
inline error make_error(error_code code, std::string message)
{
    return error{code, std::move(message), false};
}

/// One error in an input, with its location. Checks report all findings of an input
/// together.
struct finding
{
    std::string source;   ///< File or document name; empty for a request body.
    int line = 0;         ///< Line, counted from 1; zero when unknown.
    std::string place;    ///< Key, row/column or JSON pointer.
    std::string message;  ///< Description of the error.
    std::string expected; ///< Description of accepted values; may be empty.

    /// Formats the finding as "FILE:LINE: PLACE: MESSAGE (expected EXPECTED)".
    std::string text() const;

    friend bool operator==(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

} // namespace hawthornbeam

#endif
