/// \file
/// Rendezvous (highest random weight) hashing.
#ifndef HAWTHORNBEAM_MEMBERSHIP_RENDEZVOUS_HPP
#define HAWTHORNBEAM_MEMBERSHIP_RENDEZVOUS_HPP

#include "hawthornbeam/support/ids.hpp"

#include <string_view>
#include <vector>

namespace hawthornbeam
{

/// The instance that owns \p key among \p candidates; empty id when there is none. When
/// a candidate is added or removed, only the keys it wins or owned move.
instance_id rendezvous_owner(std::string_view key,
                             const std::vector<instance_id>& candidates);

/// All candidates, best first.
std::vector<instance_id> rendezvous_order(std::string_view key,
                                          std::vector<instance_id> candidates);

} // namespace hawthornbeam

#endif
