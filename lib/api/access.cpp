#include "lib/api/access.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

constexpr std::string_view bearer_prefix = "Bearer ";

/// Compares all bytes regardless of earlier differences, so that the timing reveals
/// nothing about the token.
bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    const std::size_t length = std::max(a.size(), b.size());
    unsigned difference = a.size() == b.size() ? 0U : 1U;
    for (std::size_t i = 0; i < length; ++i)
    {
        const unsigned char left = i < a.size() ? static_cast<unsigned char>(a[i])
                                                : static_cast<unsigned char>(0);
        const unsigned char right = i < b.size() ? static_cast<unsigned char>(b[i])
                                                 : static_cast<unsigned char>(0);
        difference |= static_cast<unsigned>(left ^ right);
    }
    return difference == 0;
}

} // namespace

access_control::access_control(const instance_settings& settings) : settings_(settings) {}

result<caller_identity> access_control::identify(std::string_view authorization) const
{
    if (settings_.tokens.empty())
        return caller_identity{"anonymous", true, partner_id()};
    if (!authorization.starts_with(bearer_prefix))
        return make_error(error_code::denied, "a bearer token is required");
    const std::string_view token = authorization.substr(bearer_prefix.size());
    const access_token* match = nullptr;
    for (const access_token& known : settings_.tokens)
        if (equal_in_constant_time(known.token, token))
            match = &known;
    if (match == nullptr)
        return make_error(error_code::denied, "the token is unknown");
    return caller_identity{match->name, match->role == access_role::operator_,
                           match->partner};
}

bool access_control::admit_request(const caller_identity& caller, boot_time now)
{
    const double rate = settings_.max_requests_per_second;
    const auto inserted = buckets_.try_emplace(caller.name, bucket{rate, now});
    bucket& tokens = inserted.first->second;
    const double elapsed = std::chrono::duration<double>(now - tokens.refilled).count();
    tokens.tokens = std::min(tokens.tokens + elapsed * rate, std::max(rate, 1.0));
    tokens.refilled = now;
    if (tokens.tokens < 1.0)
        return false;
    tokens.tokens -= 1.0;
    return true;
}

} // namespace hawthornbeam
