/// \file
/// Authentication by bearer token, authorization and rate limits.
#ifndef HAWTHORNBEAM_LIB_API_ACCESS_HPP
#define HAWTHORNBEAM_LIB_API_ACCESS_HPP

#include "hawthornbeam/settings/settings.hpp"

#include <map>

namespace hawthornbeam
{

/// Authenticated caller. When no tokens are configured, every caller is an anonymous
/// operator.
struct caller_identity
{
    std::string name;
    bool is_operator = false;
    partner_id partner;

    /// Returns true when the caller may access jobs of partner \p owner.
    bool may_act_for(const partner_id& owner) const
    {
        return is_operator || partner == owner;
    }
};

/// Verifies tokens in constant time and limits the request rate of each token.
class access_control
{
public:
    explicit access_control(const instance_settings& settings);

    /// \p authorization is the value of the Authorization header, empty when absent.
    /// Fails with denied when the token is missing or unknown.
    result<caller_identity> identify(std::string_view authorization) const;
    /// Takes one token from the caller's token bucket; returns false when it is empty.
    bool admit_request(const caller_identity& caller, boot_time now);

private:
    struct bucket
    {
        double tokens = 0;
        boot_time refilled{};
    };

    const instance_settings& settings_;
    std::map<std::string, bucket> buckets_;
};

} // namespace hawthornbeam

#endif
