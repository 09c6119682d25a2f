#include "lib/instance/job_state.hpp"

#include <algorithm>

namespace hawthornbeam
{

std::uint16_t first_attempt_of(epoch owner_epoch)
{
    constexpr std::uint64_t attempts_per_owner = 256;
    constexpr std::uint64_t owners = 256;
    return static_cast<std::uint16_t>((owner_epoch.value() % owners) *
                                      attempts_per_owner);
}

void begin_attempt(const job_state& job, task_slot& slot)
{
    const std::uint16_t following = static_cast<std::uint16_t>(slot.attempt + 1);
    slot.attempt = std::max(following, job.first_attempt);
    slot.attempt_known = true;
}

wire::job_status status_of(const job_state& job)
{
    wire::job_status status;
    status.id = job.spec.id;
    status.request = job.spec.request;
    status.row = job.spec.row;
    status.verdict = job.verdict;
    status.running = job.placed;
    status.ended = job.ended;
    status.waiting = job.is_ended() ? 0
                                    : static_cast<std::uint32_t>(job.slots.size()) -
                                          job.placed - job.ended;
    status.reason = job.reason;
    status.retry_after_ms = job.retry_after_ms;
    status.results = job.results;
    std::sort(status.results.begin(), status.results.end(),
              [](const wire::task_result& a, const wire::task_result& b)
              { return a.index < b.index; });
    return status;
}

job_state restore(const journaled_job& journaled, partition_id partition,
                  epoch owner_epoch, boot_time now)
{
    job_state job;
    job.spec = journaled.job;
    job.partition = partition;
    job.durable = true;
    job.journaled = true;
    job.restored = true;
    job.first_attempt = first_attempt_of(owner_epoch);
    job.accepted = now;
    job.cancelling = journaled.cancelling;
    job.slots.resize(journaled.job.tasks);
    for (task_slot& slot : job.slots)
    {
        slot.phase = slot_phase::orphaned;
        slot.since = now;
        slot.attempt = job.first_attempt;
        slot.attempt_known = false;
    }
    for (const wire::task_result& ended : journaled.ended)
    {
        // A result may be in the journal twice, because a write is repeated when the
        // reply to the first one was lost.
        if (ended.index >= job.slots.size() ||
            job.slots[ended.index].phase == slot_phase::ended)
            continue;
        job.results.push_back(ended);
        job.slots[ended.index].phase = slot_phase::ended;
        job.slots[ended.index].was_placed = true;
        ++job.ended;
    }
    if (journaled.has_verdict)
    {
        job.verdict = journaled.verdict;
        job.reason = journaled.reason;
        job.ended_at = now;
    }
    return job;
}

wire::job_verdict final_verdict(const job_state& job)
{
    const bool any_unknown =
        std::any_of(job.results.begin(), job.results.end(),
                    [](const wire::task_result& task) { return !task.known; });
    if (any_unknown)
        return wire::job_verdict::unknown;
    if (!job.cancelling)
        return job.results.size() == job.slots.size() ? wire::job_verdict::done
                                                      : wire::job_verdict::not_run;
    const bool any_run =
        std::any_of(job.slots.begin(), job.slots.end(),
                    [](const task_slot& slot) { return slot.was_placed; });
    return any_run ? wire::job_verdict::cancelled : wire::job_verdict::not_run;
}

} // namespace hawthornbeam
