/// \file
/// Calls with a JSON answer: maps statuses and malformed answers to error codes.
#ifndef HAWTHORNBEAM_LIB_PLATFORM_JSON_CALL_HPP
#define HAWTHORNBEAM_LIB_PLATFORM_JSON_CALL_HPP

#include "lib/platform/http_client.hpp"
#include "lib/platform/json_values.hpp"

namespace hawthornbeam
{

/// Decides what an unclear outcome means.
enum class call_effect
{
    read, ///< Changes nothing; an unclear outcome is unavailable.
    write ///< May have taken effect; an unclear outcome is outcome_unknown.
};

/// The answer's JSON when its status is 2xx, otherwise the error for its status.
result<json> accept_reply(result<http_reply> reply, call_effect effect);
/// The error for an answer that cannot be read.
error malformed_answer(call_effect effect, const std::string& reason);

/// Sends \p request and hands \p done what \p decode makes of the JSON answer. \p decode
/// may throw json::exception or malformed_json. \p count_bytes, when given, is told the
/// size of the answer's body.
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
                    result<json> answer = accept_reply(std::move(reply), effect);
                    if (!answer)
                    {
                        done(std::move(answer).error());
                        return;
                    }
                    const result<T> decoded = [&]() -> result<T>
                    {
                        try
                        {
                            return decode(answer.value());
                        }
                        catch (const json::exception& fault)
                        {
                            return malformed_answer(effect, fault.what());
                        }
                        catch (const malformed_json& fault)
                        {
                            return malformed_answer(effect, fault.what());
                        }
                    }();
                    done(decoded);
                });
}

} // namespace hawthornbeam

#endif
