/// \file
/// Takeover of jobs from a previous owner, and recovery of tasks whose state is
/// uncertain.
#include "lib/instance/job_owner.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

/// Upper bound on the time for which an unreachable worker continues to run its tasks,
/// with an allowance for clock drift.
constexpr duration max_task_lease = std::chrono::seconds(66);
/// A task that a slice owner reports but whose job is unknown is abandoned if no caller
/// repeats the request within this time.
constexpr duration recovered_job_timeout = std::chrono::seconds(60);

constexpr duration refused_start_retry = std::chrono::milliseconds(200);

} // namespace

job_state& job_owner::add_recovered_job(const task_id& task, const row_id& row)
{
    // This is a synchronous job whose previous owner was lost. Its result is kept for
    // callers that repeat the request.
    job_state& job = jobs_[task.job];
    job.spec.id = task.job;
    job.spec.row = row;
    job.spec.synchronous = true;
    job.spec.tasks = task.index + 1;
    job.partition = task.job.partition(shared_.options.partitions);
    job.slots.resize(job.spec.tasks);
    job.slots[task.index].phase = slot_phase::orphaned;
    job.slots[task.index].attempt = task.attempt;
    job.restored = true;
    job.has_spec = false;
    job.first_attempt = first_attempt_of(partitions_.epoch_of(job.partition));
    start_deadlines_.emplace(shared_.now() + recovered_job_timeout, task.job);
    job.accepted = shared_.now();
    return job;
}

void job_owner::on_claimed(partition_id partition, const std::vector<journaled_job>& jobs)
{
    for (const journaled_job& journaled : jobs)
    {
        job_state& job = jobs_[journaled.job.id];
        job =
            restore(journaled, partition, partitions_.epoch_of(partition), shared_.now());
        if (job.is_ended())
            ended_jobs_.push_back(job.spec.id);
        else
            finish_if_ended(job);
    }
}

void job_owner::on_inventory_begun(partition_id partition)
{
    rounds_[partition] = inventory_round{shared_.now(), {}};
}

void job_owner::on_inventory(partition_id partition, const instance_id& from,
                             const wire::inventory_reply& reply)
{
    for (const wire::task_update& update : reply.tasks)
    {
        // Outcomes are also sent as updates, which are recorded before they are
        // acknowledged. The inventory is only used to learn that the task was started.
        wire::task_update as_placed = update;
        as_placed.event = wire::task_event::placed;
        rounds_[partition].reported.insert(update.id);
        const auto existing = jobs_.find(update.id.job);
        job_state& job = existing != jobs_.end()
                             ? existing->second
                             : add_recovered_job(update.id, update.row);
        apply(job, as_placed, from);
    }
    for (const wire::queued_task& queued : reply.queued)
    {
        rounds_[partition].reported.insert(queued.id);
        const auto existing = jobs_.find(queued.id.job);
        job_state& job = existing != jobs_.end()
                             ? existing->second
                             : add_recovered_job(queued.id, queued.row);
        task_slot& slot = job.slots.at(queued.id.index);
        if (slot.phase != slot_phase::orphaned)
            continue;
        if (slot.attempt_known && queued.id.attempt < slot.attempt)
            continue;
        slot.phase = slot_phase::dispatched;
        slot.attempt = queued.id.attempt;
        slot.dispatch = queued.dispatch;
        slot.attempt_known = true;
        slot.owner = from;
        slot.since = shared_.now();
    }
}

void job_owner::on_inventory_complete(partition_id partition)
{
    const inventory_round round = std::move(rounds_[partition]);
    rounds_.erase(partition);
    std::vector<job_id> affected;
    for (const auto& [id, job] : jobs_)
        if (job.partition == partition && !job.is_ended())
            affected.push_back(id);
    for (const job_id& id : affected)
    {
        job_state& job = jobs_.at(id);
        for (std::uint32_t index = 0; index < job.slots.size(); ++index)
        {
            task_slot& slot = job.slots[index];
            const bool should_be_reported = (slot.phase == slot_phase::placed ||
                                             slot.phase == slot_phase::dispatched) &&
                                            slot.since < round.begun;
            if (should_be_reported &&
                !round.reported.contains(task_id{id, index, slot.attempt}))
                orphan(job, slot);
            if (slot.phase == slot_phase::orphaned)
                resolve_missing_task(job, index);
        }
        append_progress(job, {job.unrecorded.begin(), job.unrecorded.end()}, [](bool) {});
    }
    dispatcher_.schedule();
}

void job_owner::on_lost(partition_id partition)
{
    std::vector<std::pair<wire::job_spec, std::vector<status_callback>>> open;
    for (auto entry = jobs_.begin(); entry != jobs_.end();)
    {
        job_state& job = entry->second;
        if (job.partition != partition)
        {
            ++entry;
            continue;
        }
        for (task_slot& slot : job.slots)
            record_left_queue(job, slot);
        if (!job.waiters.empty())
            open.emplace_back(job.spec, std::move(job.waiters));
        entry = jobs_.erase(entry);
    }
    for (auto& [spec, waiters] : open)
    {
        // The receiver then queries the new owner, whose inventory shows the running
        // tasks.
        wire::job_status moved;
        moved.id = spec.id;
        moved.verdict = wire::job_verdict::accepted;
        moved.reason = "the partition has moved";
        for (const status_callback& waiter : waiters)
            waiter(moved);
    }
}

void job_owner::on_confirmed(partition_id partition)
{
    // While the claim was unconfirmed, other instances may have claimed slices of this
    // one.
    partitions_.repeat_inventory(partition);
    dispatcher_.schedule();
}

void job_owner::orphan(job_state& job, task_slot& slot)
{
    if (slot.phase == slot_phase::dispatched)
        record_left_queue(job, slot);
    else
        --job.placed;
    slot.phase = slot_phase::orphaned;
    slot.since = shared_.now();
}

void job_owner::resolve_missing_task(job_state& job, std::uint32_t index)
{
    task_slot& slot = job.slots[index];
    const bool worker_has_left = !slot.worker.empty() && !fleet_.contains(slot.worker);
    if (worker_has_left || fleet_.has_unaccounted_loss())
    {
        // The task may have been started on a worker that is now lost, and may run there
        // until the worker's task lease expires. A later audit checks it again.
        if (shared_.now() - slot.since < max_task_lease)
            return;
        return end_or_retry_lost(job, index);
    }
    // A task that was started but is unknown to its worker was lost with the state of
    // that worker. A task that no worker has ever reported was not started.
    if (slot.was_placed)
        end_or_retry_lost(job, index);
    else
        requeue(job, index);
}

void job_owner::audit_one_partition()
{
    // The audit finds tasks whose updates were lost, and tasks that wait for the expiry
    // of a task lease.
    const std::vector<partition_id> owned = partitions_.owned();
    if (owned.empty())
        return;
    auto next = std::upper_bound(owned.begin(), owned.end(), last_audited_);
    if (next == owned.end())
        next = owned.begin();
    last_audited_ = *next;
    const bool has_live_jobs = std::any_of(jobs_.begin(), jobs_.end(),
                                           [&](const auto& entry) {
                                               return entry.second.partition == *next &&
                                                      !entry.second.is_ended();
                                           });
    if (has_live_jobs && partitions_.is_active(*next))
        partitions_.repeat_inventory(*next);
}

void job_owner::mark_orphans()
{
    std::map<instance_id, incarnation> present;
    for (const member& one : shared_.parts.members.members())
        present.emplace(one.id, one.incarnation_number);
    // A higher incarnation means that the process was restarted, or that peers had marked
    // it dead.
    std::set<instance_id> lost;
    for (const auto& [id, previous] : known_members_)
    {
        const auto now = present.find(id);
        if (now == present.end() || now->second != previous)
            lost.insert(id);
    }
    known_members_ = std::move(present);
    if (lost.empty())
        return;
    for (auto& [id, job] : jobs_)
    {
        if (job.is_ended())
            continue;
        for (task_slot& slot : job.slots)
        {
            if (!lost.contains(slot.owner))
                continue;
            if (slot.phase == slot_phase::dispatched || slot.phase == slot_phase::placed)
                orphan(job, slot);
        }
    }
    partitions_.repeat_inventories();
}

void job_owner::start_refused(const std::vector<slot_ref>& slots, epoch known)
{
    if (!slots.empty())
        partitions_.fenced(slots.front().job.partition(shared_.options.partitions),
                           known);
    for (const slot_ref& ref : slots)
    {
        const auto found = jobs_.find(ref.job);
        if (found == jobs_.end())
            continue;
        task_slot& slot = found->second.slots[ref.index];
        if (slot.phase != slot_phase::dispatched || slot.dispatch != ref.dispatch)
            continue;
        record_left_queue(found->second, slot);
        back_off(found->second, ref.index, refused_start_retry);
    }
}

void job_owner::start_uncertain(const std::vector<slot_ref>& slots)
{
    std::set<partition_id> uncertain_partitions;
    for (const slot_ref& ref : slots)
    {
        const auto found = jobs_.find(ref.job);
        if (found == jobs_.end())
            continue;
        task_slot& slot = found->second.slots[ref.index];
        if (slot.phase != slot_phase::dispatched || slot.dispatch != ref.dispatch)
            continue;
        orphan(found->second, slot);
        uncertain_partitions.insert(found->second.partition);
    }
    for (const partition_id& partition : uncertain_partitions)
        partitions_.repeat_inventory(partition);
}

} // namespace hawthornbeam
