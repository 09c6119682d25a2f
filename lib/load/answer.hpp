/// \file
/// Parses the HTTP responses that docs/api.md specifies.
#ifndef HAWTHORNBEAM_LIB_LOAD_ANSWER_HPP
#define HAWTHORNBEAM_LIB_LOAD_ANSWER_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <string>
#include <vector>

namespace hawthornbeam
{

/// Content of a response about a job.
struct load_answer
{
    bool not_run = false;    ///< The request was refused and no task ran.
    bool has_status = false; ///< `verdict` and `results` are valid.
    wire::job_verdict verdict = wire::job_verdict::accepted;
    std::vector<wire::task_result> results;
    duration retry_after{}; ///< Zero when a retry cannot succeed.
    std::string title;
};

/// Parses a job status or a problem document; for any other body `has_status` is false.
load_answer read_answer(unsigned status, const std::string& body);

} // namespace hawthornbeam

#endif
