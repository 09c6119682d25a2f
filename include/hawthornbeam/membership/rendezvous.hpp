/// \file
/// Rendezvous (highest random weight) hashing.
#ifndef HAWTHORNBEAM_MEMBERSHIP_RENDEZVOUS_HPP
#define HAWTHORNBEAM_MEMBERSHIP_RENDEZVOUS_HPP

#include "hawthornbeam/support/ids.hpp"

#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// Returns the candidate that owns \p key, or an empty id when \p candidates is empty.
/// Adding or removing a candidate reassigns only the keys that this candidate owns.
instance_id rendezvous_owner(std::string_view key,
                             const std::vector<instance_id>& candidates);

/// Returns all candidates by descending score for \p key; the first one owns the key.
std::vector<instance_id> rendezvous_order(std::string_view key,
                                          std::vector<instance_id> candidates);

} // namespace hawthornbeam

#endif
