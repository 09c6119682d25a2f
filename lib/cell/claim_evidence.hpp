/// \file
/// Decides how recently an owner was certain that no other instance owns the cell.
/// Performs no I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_CLAIM_EVIDENCE_HPP
#define HAWTHORNBEAM_LIB_CELL_CLAIM_EVIDENCE_HPP

#include "stored_form.hpp"

#include <map>

namespace hawthornbeam::cell
{

/// What the instances of a cell show about the claim of its owner. An owner that the
/// store does not answer cannot tell an outage of the store from its own isolation,
/// in which another instance may have claimed the cell. It is certain that none has only
/// if every instance that could claim the cell has answered it.
class claim_evidence
{
public:
    /// Records an instance that could claim the cell and was heard at \p now. A process
    /// replaces earlier ones at its address, which have ended. Returns whether
    /// instances() has changed, like the other functions.
    bool add_instance(const known_instance& heard, boot_time now);
    /// Records that the instance makes no claim any more.
    bool remove_instance(const instance_id& id);
    /// Removes the instances at an address that another process uses now.
    bool remove_at(const endpoint& address);
    /// Removes the instances that were not heard for so long that they have probably been
    /// removed from service.
    bool remove_unheard(boot_time now);
    /// Records that the instance answered a message that was sent at \p sent, and knew of
    /// no later claim.
    void record_answer(const instance_id& id, boot_time sent);
    /// Returns the latest time at which no other instance owned the cell, given that the
    /// store confirmed the claim at \p by_store.
    boot_time confirmed_at(boot_time by_store) const;
    /// Instances that have not answered a message sent after \p time.
    std::size_t silent_since(boot_time time) const;
    /// All instances that could claim the cell, for the next owner.
    std::vector<known_instance> instances() const;

private:
    struct instance
    {
        endpoint address;
        boot_time heard_at{};
        boot_time answered_at{}; ///< When the message that it answered last was sent.
    };

    std::map<instance_id, instance> instances_;
};

} // namespace hawthornbeam::cell

#endif
