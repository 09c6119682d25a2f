/// \file
/// Partition fences and inventory replies of the slice owner. A fence holds the newest
/// known epoch of a partition and the sequence number up to which start requests of this
/// epoch are refused; start requests of earlier epochs are always refused.
#include "lib/instance/slice_owner.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

constexpr duration fence_collection_delay = std::chrono::milliseconds(10);
constexpr duration epochs_deadline = std::chrono::seconds(1);

} // namespace

void slice_owner::schedule_fence_collection()
{
    if (fence_collection_scheduled_)
        return;
    // The delay lets one collection cover all workers that are lost or acquired together.
    fence_collection_scheduled_ = true;
    fence_timer_ =
        shared_.parts.loop.after(fence_collection_delay, [this] { collect_fences(); });
}

void slice_owner::collect_fences()
{
    // While this instance did not own a worker, job owners may have concluded from the
    // inventories of other instances that a task does not run although its start request
    // was still in flight to this instance, and partitions may have changed owners.
    fence_collection_scheduled_ = false;
    ++fence_round_;
    pending_fence_replies_ = 0;
    for (const member& other : shared_.parts.members.members())
        if (other.id != shared_.options.self)
            request_fences(other);
}

void slice_owner::members_changed()
{
    // After a network partition heals, the members that reappear may have claimed
    // partitions in the meantime.
    std::map<instance_id, incarnation> present;
    for (const member& other : shared_.parts.members.members())
    {
        if (other.id == shared_.options.self)
            continue;
        present.emplace(other.id, other.incarnation_number);
        const auto known = fence_source_incarnations_.find(other.id);
        if (known == fence_source_incarnations_.end() ||
            known->second != other.incarnation_number)
            request_fences(other);
    }
    fence_source_incarnations_ = std::move(present);
}

void slice_owner::request_fences(const member& other)
{
    ++pending_fence_replies_;
    shared_.parts.peers.call(
        other.peer, wire::epochs_request{}, epochs_deadline,
        shared_.guarded(
            [this, round = fence_round_](result<wire::reply> response)
            {
                if (round != fence_round_)
                    return;
                --pending_fence_replies_;
                const wire::epochs_reply* reply =
                    response ? std::get_if<wire::epochs_reply>(&response.value())
                             : nullptr;
                if (reply == nullptr)
                    return;
                for (const wire::partition_fence& fence : reply->fences)
                    learn_fence(fence);
            }));
}

void slice_owner::learn_fence(const wire::partition_fence& fence)
{
    wire::partition_fence& known = fences_[fence.partition];
    known.partition = fence.partition;
    if (fence.known > known.known)
        known = fence;
    else if (fence.known == known.known)
        known.sequence = std::max(known.sequence, fence.sequence);
}

wire::epochs_reply slice_owner::epochs() const
{
    wire::epochs_reply reply;
    for (const auto& [partition, fence] : fences_)
        reply.fences.push_back(fence);
    return reply;
}

bool slice_owner::owns_workers() const
{
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [](const auto& session)
                       { return session.second->is_reconciled(); });
}

wire::task_update slice_owner::inventory_entry(const task_id& id,
                                               const tracked_task& task)
{
    wire::task_update update;
    update.id = id;
    update.row = task.start.row;
    update.event = task.phase == task_phase::ended ? wire::task_event::ended
                                                   : wire::task_event::placed;
    update.worker = task.worker;
    update.state = task.state;
    return update;
}

wire::inventory_reply slice_owner::inventory(const wire::inventory_request& message)
{
    wire::inventory_reply reply;
    learn_fence(wire::partition_fence{message.partition, message.owner_epoch, 0});
    wire::partition_fence& current = fences_[message.partition];
    reply.known_epoch = current.known;
    if (message.owner_epoch < current.known)
        return reply;
    current.sequence = std::max(current.sequence, message.fenced_sequence);
    reply.accepted = true;
    std::map<slice_id, bool> complete;
    for (const auto& [id, host] : fleet_.workers())
    {
        const slice_id slice = slice_of(host);
        if (fleet_.owner_of(slice) != shared_.options.self)
            continue;
        const auto session = sessions_.find(id);
        const bool known_worker =
            session != sessions_.end() && session->second->is_reconciled();
        const auto entry = complete.emplace(slice, true).first;
        entry->second = entry->second && known_worker;
    }
    for (const auto& [slice, is_complete] : complete)
        if (is_complete)
            reply.complete_slices.push_back(slice);
    for (auto& [id, task] : tasks_)
    {
        if (id.job.partition(shared_.options.partitions) != message.partition)
            continue;
        task.start.job_owner = message.job_owner;
        if (task.phase == task_phase::waiting)
            reply.queued.push_back(wire::queued_task{id, task.start.row, task.dispatch});
        else
        {
            reply.tasks.push_back(inventory_entry(id, task));
            // The previous job owner may have recorded the outcome and lost the record.
            if (task.phase == task_phase::ended)
                send_update(task, wire::task_event::ended, task.state, task.output);
        }
    }
    return reply;
}

} // namespace hawthornbeam
