/// \file
/// Who may do what: tokens and their request rates.
#ifndef HAWTHORNBEAM_LIB_API_ACCESS_HPP
#define HAWTHORNBEAM_LIB_API_ACCESS_HPP

#include "hawthornbeam/settings/settings.hpp"

#include <map>

namespace hawthornbeam
{

/// The holder of a token, or anyone when the settings have no tokens.
struct caller_identity
{
    std::string name;
    bool is_operator = false;
    partner_id partner;

    /// True when the caller may act on work of \p owner.
    bool may_act_for(const partner_id& owner) const
    {
        return is_operator || partner == owner;
    }
};

/// Checks tokens in constant time and counts requests by token.
class access_control
{
public:
    explicit access_control(const instance_settings& settings);

    /// \p authorization is the header's value, empty when absent. Fails with denied.
    result<caller_identity> identify(std::string_view authorization) const;
    /// Takes one request from the caller's rate; false when it is used up.
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
