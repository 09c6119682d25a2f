/// \file
/// Mapping of HTTP responses to error codes.
#include "lib/platform/json_call.hpp"

#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

error_code unknown_outcome_code(call_effect effect)
{
    return effect == call_effect::read ? error_code::unavailable
                                       : error_code::outcome_unknown;
}

/// Any status not listed here leaves open whether a write was applied.
error_code code_of_status(unsigned status, call_effect effect)
{
    switch (status)
    {
    case 400:
        return error_code::invalid_input;
    case 401:
    case 403:
        return error_code::denied;
    case 404:
        return error_code::not_found;
    case 409:
        return error_code::conflict;
    case 413:
    case 429:
        return error_code::limit_exceeded;
    case 503:
        return error_code::unavailable;
    default:
        return unknown_outcome_code(effect);
    }
}

std::string error_message_in(const json& response, unsigned status)
{
    if (response.is_object() && response.contains("error") &&
        response["error"].is_string())
        return response["error"].get<std::string>();
    return fmt::format("the answer has status {}", status);
}

} // namespace

error malformed_response(call_effect effect, const std::string& reason)
{
    return make_error(unknown_outcome_code(effect), "malformed answer: " + reason);
}

result<json> parse_reply(result<http_reply> reply, call_effect effect)
{
    if (!reply)
    {
        error failure = std::move(reply).error();
        if (failure.code == error_code::outcome_unknown)
            failure.code = unknown_outcome_code(effect);
        return failure;
    }
    const unsigned status = reply.value().status;
    json response = parse_json(reply.value().body);
    if (status < 200 || status > 299)
        return make_error(code_of_status(status, effect),
                          error_message_in(response, status));
    if (response.is_discarded())
        return malformed_response(effect, "it is no JSON");
    return response;
}

} // namespace hawthornbeam
