#include "lib/api/exchange.hpp"

#include <array>
#include <fmt/format.h>
#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr std::int64_t ms_per_second = 1000;
/// Status recorded in the metrics when the client closes the connection before the
/// response.
constexpr unsigned client_closed_request = 499;

/// Serializes \p document. Invalid UTF-8, for example in a task's output, is replaced,
/// because the response could not be written otherwise.
std::string dump(const json& document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json problem_json(const problem& details)
{
    json faults = json::array();
    for (const finding& fault : details.faults)
        faults.push_back(json{{"place", fault.place},
                              {"message", fault.message},
                              {"expected", fault.expected}});
    json document{{"type", "about:blank"},
                  {"title", details.title},
                  {"status", details.status},
                  {"code", to_string(details.code)},
                  {"not_run", details.not_run}};
    if (!details.faults.empty())
        document["findings"] = std::move(faults);
    if (details.retry_after_ms > 0)
        document["retry_after_ms"] = details.retry_after_ms;
    return document;
}

} // namespace

std::string problem_text(const problem& details)
{
    return dump(problem_json(details));
}

exchange::exchange(const received_request& request,
                   std::map<std::string, std::string> query,
                   std::function<void(unsigned)> finished)
    : message_(SOUP_SERVER_MESSAGE(g_object_ref(request.message))), body_(request.body),
      query_(std::move(query)), finished_(std::move(finished))
{
    closed_signal_ = g_signal_connect(message_, "finished", G_CALLBACK(on_closed), this);
}

exchange::~exchange()
{
    if (!answered_)
        respond_problem(
            problem{500, error_code::internal, "the request was dropped", false, 0, {}});
    g_signal_handler_disconnect(message_, closed_signal_);
    g_object_unref(message_);
}

void exchange::on_closed(SoupServerMessage*, void* self)
{
    exchange& closed = *static_cast<exchange*>(self);
    if (closed.answered_)
        return;
    closed.answered_ = true;
    closed.finished_(client_closed_request);
}

std::string exchange::header(const char* name) const
{
    const char* value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message_), name);
    return value == nullptr ? std::string() : std::string(value);
}

const std::string& exchange::body() const
{
    return body_;
}

std::string exchange::parameter(const std::string& name) const
{
    const auto found = query_.find(name);
    return found == query_.end() ? std::string() : found->second;
}

void exchange::set_header(const char* name, const std::string& value)
{
    soup_message_headers_replace(soup_server_message_get_response_headers(message_), name,
                                 value.c_str());
}

void exchange::respond_text(unsigned status, const char* content_type,
                            const std::string& text)
{
    if (answered_)
        return;
    answered_ = true;
    const std::string request = header("X-Request-Id");
    if (!request.empty())
        set_header("X-Request-Id", request);
    http_server::respond(message_, status, content_type, text);
    finished_(status);
}

void exchange::respond_json(unsigned status, const json& document)
{
    respond_text(status, "application/json", dump(document));
}

void exchange::respond_problem(const problem& details)
{
    respond_problem(details, nullptr, json());
}

void exchange::respond_problem(const problem& details, const char* member,
                               const json& value)
{
    json document = problem_json(details);
    if (member != nullptr)
        document[member] = value;
    if (details.retry_after_ms > 0)
        set_header(
            "Retry-After",
            std::to_string((details.retry_after_ms + ms_per_second - 1) / ms_per_second));
    respond_text(details.status, "application/problem+json", dump(document));
}

problem problem_of(const error& failure)
{
    struct status_mapping
    {
        error_code code;
        unsigned status;
        bool not_run;
        std::int64_t retry_after_ms;
    };
    static constexpr std::array<status_mapping, 9> status_mappings{{
        {error_code::invalid_input, 422, true, 0},
        {error_code::not_found, 404, false, 0},
        {error_code::conflict, 409, false, 0},
        {error_code::unavailable, 503, true, 1000},
        {error_code::outcome_unknown, 504, false, 0},
        {error_code::deadline_exceeded, 503, true, 1000},
        {error_code::limit_exceeded, 429, true, 1000},
        {error_code::denied, 403, true, 0},
        {error_code::internal, 500, false, 0},
    }};
    problem details;
    details.code = failure.code;
    details.title = failure.message;
    for (const status_mapping& mapping : status_mappings)
    {
        if (mapping.code != failure.code)
            continue;
        details.status = mapping.status;
        details.not_run = mapping.not_run;
        details.retry_after_ms = mapping.retry_after_ms;
    }
    return details;
}

} // namespace hawthornbeam
