/// \file
/// Errors, results and findings.
#ifndef HAWTHORNBEAM_SUPPORT_RESULT_HPP
#define HAWTHORNBEAM_SUPPORT_RESULT_HPP

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// What kind of failure an error reports; callers decide on it, people read the message.
enum class error_code
{
    invalid_input, ///< The input is malformed; repeating it will not help.
    not_found,     ///< The named thing does not exist.
    conflict,      ///< A compare-and-swap or generation check failed; known not applied.
    unavailable,   ///< Known not to have taken effect; may be tried again.
    outcome_unknown,   ///< The request may or may not have taken effect.
    deadline_exceeded, ///< The local deadline passed before the request was sent.
    limit_exceeded,    ///< A size, rate or quota limit; known not to have taken effect.
    denied,            ///< The caller may not do this.
    internal           ///< A violated expectation inside the process.
};

/// Lower-case name of \p code for logs and problem documents.
const char* to_string(error_code code);

/// An error with a message for people.
struct error
{
    error_code code = error_code::internal;
    std::string message;
};

/// A value or an error. Reading the wrong one ends the process.
template <class T>
using result =
    boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::terminate>;

/// Builds the failure value of a result.
inline error make_error(error_code code, std::string message)
{
    return error{code, std::move(message)};
}

/// One fault found in an input, with its place. Checks collect all findings of an input
/// and report them together.
struct finding
{
    std::string source;   ///< File or document name; empty for a request body.
    int line = 0;         ///< Line, counted from 1; zero when unknown.
    std::string place;    ///< Key, row/column or JSON pointer.
    std::string message;  ///< What is wrong.
    std::string expected; ///< What would be accepted; may be empty.

    /// "FILE:LINE: PLACE: MESSAGE (expected EXPECTED)".
    std::string text() const;

    friend bool operator==(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

} // namespace hawthornbeam

#endif
