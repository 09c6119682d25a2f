/// \file
/// Conversion of jobs, cancel selectors and resources from and to JSON.
#ifndef HAWTHORNBEAM_LIB_API_JOB_JSON_HPP
#define HAWTHORNBEAM_LIB_API_JOB_JSON_HPP

#include "hawthornbeam/wire/messages.hpp"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string_view>

namespace hawthornbeam
{

/// A job parsed from a request body, or all faults found in the body.
struct parsed_job
{
    std::optional<wire::job_spec> job;
    findings faults;
};

/// Parses the body of POST /v1/jobs.
parsed_job parse_job(std::string_view body);

/// A selector parsed from the body of POST /v1/jobs/cancel, or all faults found in it.
struct parsed_selector
{
    std::optional<wire::cancel_request> selector;
    findings faults;
};
parsed_selector parse_cancel_selector(std::string_view body);

nlohmann::json job_status_json(const wire::job_status& status);
nlohmann::json resources_json(const resources& amounts);

} // namespace hawthornbeam

#endif
