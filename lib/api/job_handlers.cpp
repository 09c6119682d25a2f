/// \file
/// Handlers of the job routes.
#include "lib/api/handlers.hpp"
#include "lib/api/job_json.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr std::uint32_t default_list_length = 100;
constexpr std::uint32_t max_list_length = 1000;

problem invalid(findings faults)
{
    problem details;
    details.status = 400;
    details.code = error_code::invalid_input;
    details.title = "invalid request";
    details.not_run = true;
    details.faults = std::move(faults);
    return details;
}

problem denied(const char* title)
{
    return problem{403, error_code::denied, title, true, 0, {}};
}

} // namespace

void api_handlers::submit(const exchange_ref& request)
{
    parsed_job parsed = parse_job(request->body());
    if (!parsed.job)
        return request->respond_problem(invalid(std::move(parsed.faults)));
    if (!request->caller.may_act_for(partner_of(parsed.job->row)))
        return request->respond_problem(denied("the token belongs to another partner"));
    if (!services_.scheduler.is_ready())
        return request->respond_problem(problem_of(
            make_error(error_code::unavailable, "the instance is starting or leaving")));
    services_.scheduler.submit(std::move(*parsed.job),
                               [this, request](result<wire::job_status> outcome)
                               { answer_submission(request, outcome); });
}

void api_handlers::answer_submission(const exchange_ref& request,
                                     const result<wire::job_status>& outcome)
{
    if (!outcome)
        return request->respond_problem(problem_of(outcome.error()));
    const wire::job_status& status = outcome.value();
    const json document = job_status_json(status);
    switch (status.verdict)
    {
    case wire::job_verdict::accepted:
        request->set_header("Location", "/v1/jobs/" + status.id.text());
        return request->respond_json(202, document);
    case wire::job_verdict::done:
    case wire::job_verdict::cancelled:
        return request->respond_json(200, document);
    case wire::job_verdict::not_run:
    {
        problem details = problem_of(
            make_error(error_code::unavailable,
                       status.reason.empty() ? "the job was not run" : status.reason));
        details.retry_after_ms = status.retry_after_ms;
        return request->respond_problem(details, "job", document);
    }
    case wire::job_verdict::unknown:
        return request->respond_problem(
            problem_of(make_error(error_code::outcome_unknown,
                                  "the outcome is unknown: the worker was lost")),
            "job", document);
    }
}

void api_handlers::with_job(const exchange_ref& request, bool explain,
                            std::function<void(const wire::job_status&)> continuation)
{
    const std::optional<job_id> id = job_id::parse(request->captures.at(0));
    if (!id)
        return request->respond_problem(
            problem_of(make_error(error_code::not_found, "the job id is malformed")));
    services_.scheduler.query(
        wire::job_query{*id, explain},
        [request, continuation = std::move(continuation)](result<wire::job_status> found)
        {
            if (!found)
                return request->respond_problem(problem_of(found.error()));
            if (!request->caller.may_act_for(partner_of(found.value().row)))
                return request->respond_problem(
                    problem_of(make_error(error_code::not_found, "no such job")));
            continuation(found.value());
        });
}

void api_handlers::show_job(const exchange_ref& request)
{
    with_job(request, false,
             [request](const wire::job_status& status)
             { request->respond_json(200, job_status_json(status)); });
}

void api_handlers::explain_job(const exchange_ref& request)
{
    with_job(request, true,
             [request](const wire::job_status& status)
             {
                 request->respond_json(
                     200, json{{"id", status.id.text()}, {"reason", status.reason}});
             });
}

void api_handlers::list_jobs(const exchange_ref& request)
{
    wire::job_list_request selector;
    selector.partner = partner_id(request->parameter("partner"));
    if (selector.partner.empty() && !request->caller.is_operator)
        selector.partner = request->caller.partner;
    if (!request->caller.may_act_for(selector.partner))
        return request->respond_problem(denied("the token belongs to another partner"));
    const std::string kind = request->parameter("kind");
    if (!kind.empty())
        selector.row = make_row_id(selector.partner, kind);
    selector.most = default_list_length;
    const std::string limit = request->parameter("limit");
    if (!limit.empty())
    {
        const char* end = limit.data() + limit.size();
        const std::from_chars_result parsed =
            std::from_chars(limit.data(), end, selector.most);
        const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                              selector.most >= 1 && selector.most <= max_list_length;
        if (!is_valid)
            return request->respond_problem(invalid({finding{
                std::string(), 0, "limit", "is " + limit, "an integer from 1 to 1000"}}));
    }
    services_.scheduler.list(selector,
                             [request](result<std::vector<wire::job_status>> jobs)
                             {
                                 json documents = json::array();
                                 for (const wire::job_status& status : jobs.value())
                                     documents.push_back(job_status_json(status));
                                 request->respond_json(200, json{{"jobs", documents}});
                             });
}

void api_handlers::cancel_job(const exchange_ref& request)
{
    with_job(request, false,
             [this, request](const wire::job_status& status)
             {
                 wire::cancel_request selector;
                 selector.id = status.id;
                 services_.scheduler.cancel(
                     selector,
                     [request](result<wire::cancel_reply> cancelled)
                     {
                         request->respond_json(200,
                                               json{{"jobs", cancelled.value().jobs},
                                                    {"tasks", cancelled.value().tasks}});
                     });
             });
}

void api_handlers::cancel_jobs(const exchange_ref& request)
{
    parsed_selector parsed = parse_cancel_selector(request->body());
    if (!parsed.selector)
        return request->respond_problem(invalid(std::move(parsed.faults)));
    if (!request->caller.may_act_for(parsed.selector->partner))
        return request->respond_problem(denied("the token belongs to another partner"));
    services_.scheduler.cancel(*parsed.selector,
                               [request](result<wire::cancel_reply> cancelled)
                               {
                                   request->respond_json(
                                       200, json{{"jobs", cancelled.value().jobs},
                                                 {"tasks", cancelled.value().tasks}});
                               });
}

} // namespace hawthornbeam
