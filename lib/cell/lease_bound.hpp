/// \file
/// Decides how long a worker that has stopped answering may go on with its runs. Performs
/// no I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_LEASE_BOUND_HPP
#define HAWTHORNBEAM_LIB_CELL_LEASE_BOUND_HPP

#include "hawthornbeam/cell/scheduler.hpp"

namespace hawthornbeam::cell
{

/// What the owner knows of the calls that a worker has received.
struct worker_contact
{
    bool polled = false;    ///< By this owner.
    boot_time contact_at{}; ///< Last answer, or when the worker was added.
    /// Until then, the incarnation that answers may execute calls that were meant for an
    /// earlier one.
    boot_time misdirected_until{};
    /// Before the first poll of this owner: the latest call of a former one that can have
    /// extended the lease; empty if it is not known.
    std::optional<boot_time> former_call_at;
};

/// Times at which the leases of a silent worker have ended at the latest. A deadline on
/// the clock of another incarnation does not bound a lease: the worker shortens it to the
/// longest that it grants.
struct lease_bound
{
    boot_time listed; ///< For runs that the incarnation which answered last has listed.
    boot_time other;  ///< For all others: a later incarnation may have begun them.
};

/// Returns the bounds for a worker with this last contact.
lease_bound bound_leases(const scheduler_limits& limits, const worker_contact& contact);

/// Returns until when a new incarnation may execute calls that were meant for the one
/// that this owner heard last at \p former_contact_at.
boot_time misdirected_calls_end(boot_time former_contact_at);

} // namespace hawthornbeam::cell

#endif
