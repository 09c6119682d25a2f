/// \file
/// Reads the answers of docs/api.md.
#ifndef HAWTHORNBEAM_LIB_LOAD_ANSWER_HPP
#define HAWTHORNBEAM_LIB_LOAD_ANSWER_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <string>
#include <vector>

namespace hawthornbeam
{

/// What an answer says about a job.
struct load_answer
{
    bool not_run = false;    ///< A refusal that says that nothing ran.
    bool has_status = false; ///< `verdict` and `results` are filled in.
    wire::job_verdict verdict = wire::job_verdict::accepted;
    std::vector<wire::task_result> results;
    duration retry_after{}; ///< Zero: coming back is pointless.
    std::string title;
};

/// Reads a job status or a problem document; a body that is neither gives an answer
/// without status.
load_answer read_answer(unsigned status, const std::string& body);

} // namespace hawthornbeam

#endif
