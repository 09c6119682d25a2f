/// \file
/// Decides how long a worker that has stopped answering may go on with its runs.
#include "lease_bound.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Difference between the times of day of an instance and a worker.
constexpr duration clock_difference = std::chrono::milliseconds(3000);

/// Returns the time that passes while the clock of a worker advances by \p time.
duration real_time(const scheduler_limits& limits, duration time)
{
    return std::chrono::duration_cast<duration>(time / (1 - limits.clock_drift));
}

} // namespace

lease_bound bound_leases(const scheduler_limits& limits, const worker_contact& contact)
{
    const boot_time asked_for =
        contact.contact_at + real_time(limits, limits.max_lease + max_unconfirmed_time);
    if (!contact.polled)
    {
        // Only a former owner, whose claim had ended by then, may have sent calls. Those
        // for a former incarnation follow its last answer, so they come soon after the
        // start of this one.
        const boot_time last_call = std::min(contact.contact_at + max_unconfirmed_time,
                                             contact.started_at + max_unconfirmed_time +
                                                 limits.answer_limit + clock_difference);
        const boot_time end =
            std::max(asked_for, last_call + real_time(limits, limits.max_granted_lease));
        return {end, end};
    }
    const boot_time misdirected =
        contact.misdirected_until + real_time(limits, limits.max_granted_lease);
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
