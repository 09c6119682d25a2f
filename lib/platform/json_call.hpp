/// \file
/// HTTP calls with a JSON response: maps statuses and malformed responses to error codes.
#ifndef HAWTHORNBEAM_LIB_PLATFORM_JSON_CALL_HPP
#define HAWTHORNBEAM_LIB_PLATFORM_JSON_CALL_HPP

#include "lib/platform/http_client.hpp"
#include "lib/platform/json_values.hpp"

namespace hawthornbeam
{

/// Determines the error code when it is unknown whether a call was applied.
enum class call_effect
{
    read, ///< Has no side effects; an unknown outcome is reported as unavailable.
    write ///< May have been applied; reported as outcome_unknown.
};

/// Returns the parsed body of a response with a 2xx status, otherwise the error for the
/// status.
result<json> parse_reply(result<http_reply> reply, call_effect effect);
/// Returns the error for a response that cannot be decoded.
error malformed_response(call_effect effect, const std::string& reason);

/// Sends \p request, decodes the JSON response with \p decode and passes the result to
/// \p done. \p decode may throw json::exception or malformed_json. \p count_bytes, if
/// given, is called with the size of the response body.
template <class T>
void call_json(http_client& client, http_request request, call_effect effect,
               std::function<T(const json&)> decode, std::function<void(result<T>)> done,
               std::function<void(std::size_t)> count_bytes = {})
{
    client.send(std::move(request),
                [effect, decode = std::move(decode), done = std::move(done),
                 count_bytes = std::move(count_bytes)](result<http_reply> reply)
                {
                    if (reply && count_bytes)
                        count_bytes(reply.value().body.size());
                    result<json> response = parse_reply(std::move(reply), effect);
                    if (!response)
                    {
                        done(std::move(response).error());
                        return;
                    }
                    const result<T> decoded = [&]() -> result<T>
                    {
                        try
                        {
                            return decode(response.value());
                        }
                        catch (const json::exception& fault)
                        {
                            return malformed_response(effect, fault.what());
                        }
                        catch (const malformed_json& fault)
                        {
                            return malformed_response(effect, fault.what());
                        }
                    }();
                    done(decoded);
                });
}

} // namespace hawthornbeam

#endif
