/// \file
/// Decides how long a worker that has stopped answering may go on with its runs.
#include "lease_bound.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Returns the time that passes while the clock of a worker advances by \p time.
duration real_time(const scheduler_limits& limits, duration time)
{
    return std::chrono::duration_cast<duration>(time / (1 - limits.clock_drift));
}

} // namespace

lease_bound bound_leases(const scheduler_limits& limits, const worker_contact& contact)
{
    const duration longest_lease = real_time(limits, limits.max_granted_lease);
    if (!contact.polled)
    {
        // The worker may have restarted unseen, so that any call has set its longest
        // lease. The claim of the former owner had ended when the worker was expected.
        const boot_time last_call = contact.former_call_at
                                        ? *contact.former_call_at + limits.answer_limit
                                        : contact.contact_at + max_unconfirmed_time;
        return {last_call + longest_lease, last_call + longest_lease};
    }
    const boot_time asked_for =
        contact.contact_at + real_time(limits, limits.max_lease + max_unconfirmed_time);
    const boot_time misdirected = contact.misdirected_until + longest_lease;
    // The calls that follow the last answer may all be executed by a later incarnation.
    const boot_time unseen =
        contact.contact_at +
        real_time(limits,
                  limits.max_granted_lease + max_unconfirmed_time + limits.answer_limit);
    const boot_time listed = std::max(asked_for, misdirected);
    return {listed, std::max(listed, unseen)};
}

boot_time misdirected_calls_end(boot_time former_contact_at)
{
    return former_contact_at + max_unconfirmed_time + late_command_limit;
}

} // namespace hawthornbeam::cell
