/// \file
/// Choice of slice owners for waiting tasks, and the start requests sent to them.
#include "lib/instance/dispatcher.hpp"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Maximum number of tasks of one row that one job owner keeps queued at one slice owner.
/// Large enough to keep a slice owner busy for one round trip at its peak rate.
constexpr std::size_t max_outstanding = 64;
constexpr std::size_t max_tasks_per_request = 64;
constexpr std::size_t max_payload_bytes_per_request = std::size_t{512} << 10U;
constexpr duration dispatch_delay = std::chrono::milliseconds(1);
constexpr duration start_deadline = std::chrono::seconds(2);

std::int64_t remaining_ms(const job_state& job, boot_time now)
{
    if (job.start_by == boot_time::max())
        return 0;
    const std::int64_t remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(job.start_by - now).count();
    return std::max<std::int64_t>(remaining, 1);
}

} // namespace

dispatcher::dispatcher(context& shared, fleet& hosts, load_view& loads, jobs& owner)
    : shared_(shared), fleet_(hosts), loads_(loads), jobs_(owner)
{
}

void dispatcher::add(const job_state& job, std::uint32_t index)
{
    queues_[job.spec.row].slots.push_back(slot_ref{job.spec.id, index, {}});
    schedule();
}

void dispatcher::schedule()
{
    if (scheduled_)
        return;
    scheduled_ = true;
    timer_ = shared_.parts.loop.after(dispatch_delay,
                                      [this]
                                      {
                                          scheduled_ = false;
                                          dispatch();
                                      });
}

std::size_t& dispatcher::outstanding(const instance_id& owner, const row_id& row)
{
    return outstanding_[{owner, row}];
}

void dispatcher::left_queue(const instance_id& owner, const row_id& row)
{
    std::size_t& count = outstanding(owner, row);
    if (count > 0)
        --count;
    schedule();
}

std::size_t dispatcher::waiting(const row_id& row) const
{
    const auto found = queues_.find(row);
    return found == queues_.end() ? 0 : found->second.slots.size();
}

void dispatcher::dispatch()
{
    std::vector<const table_row*> rows;
    for (const table_row& row : shared_.parts.table.current().rows)
        rows.push_back(&row);
    std::stable_sort(rows.begin(), rows.end(),
                     [](const table_row* a, const table_row* b)
                     { return a->priority < b->priority; });
    bool more = false;
    for (const table_row* row : rows)
    {
        const auto queue = queues_.find(row->id);
        if (queue != queues_.end())
            more = dispatch_row(*row, queue->second) || more;
    }
    if (more)
        schedule();
}

bool dispatcher::dispatch_row(const table_row& row, row_queue& queue)
{
    std::map<instance_id, batch> batches;
    const std::size_t max_sent = max_tasks_per_request * (fleet_.shares().size() + 1);
    std::size_t sent = 0;
    std::deque<slot_ref> postponed;
    while (!queue.slots.empty() && sent < max_sent)
    {
        const slot_ref slot = queue.slots.front();
        job_state* job = jobs_.find_job(slot.job);
        if (job == nullptr || job->slots[slot.index].phase != slot_phase::waiting)
        {
            queue.slots.pop_front();
            continue;
        }
        const std::optional<epoch> owner_epoch = jobs_.epoch_of(job->partition);
        if (!owner_epoch)
        {
            postponed.push_back(slot);
            queue.slots.pop_front();
            continue;
        }
        if (row.kind == workload::gang)
        {
            if (dispatch_gang(*job, queue))
                sent += job->slots.size();
            else
            {
                postponed.push_back(slot);
                queue.slots.pop_front();
            }
            continue;
        }
        const std::optional<instance_id> owner = choose(row.id, job->spec.size, 1);
        if (!owner)
            break;
        queue.slots.pop_front();
        batch& target = batches[*owner];
        const bool same_kind =
            target.slots.empty() ||
            (target.message.partition == job->partition &&
             target.message.spread_domains == job->spec.spread_domains &&
             (target.message.deadline_ms == 0) == (job->start_by == boot_time::max()) &&
             target.slots.size() < max_tasks_per_request &&
             target.slots.size() * job->spec.payload.size() <
                 max_payload_bytes_per_request);
        if (!same_kind)
            send(*owner, std::exchange(target, batch()));
        append(target, *job, slot.index, *owner_epoch, *owner);
        ++sent;
    }
    for (auto& [owner, ready] : batches)
        if (!ready.slots.empty())
            send(owner, std::move(ready));
    queue.slots.insert(queue.slots.end(), postponed.begin(), postponed.end());
    return sent >= max_sent;
}

bool dispatcher::dispatch_gang(job_state& job, row_queue& queue)
{
    // After the loss of a worker, only the lost tasks of a gang are started again, all at
    // once.
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t index = 0; index < job.slots.size(); ++index)
    {
        const slot_phase phase = job.slots[index].phase;
        if (phase == slot_phase::waiting)
            waiting.push_back(index);
        else if (phase != slot_phase::placed && phase != slot_phase::ended)
            return false;
    }
    const std::optional<instance_id> owner =
        choose(job.spec.row, job.spec.size, waiting.size());
    const std::optional<epoch> owner_epoch = jobs_.epoch_of(job.partition);
    if (!owner || !owner_epoch)
        return false;
    batch ready;
    ready.message.all_at_once = true;
    for (const std::uint32_t index : waiting)
        append(ready, job, index, *owner_epoch, *owner);
    std::erase_if(queue.slots,
                  [&](const slot_ref& slot) { return slot.job == job.spec.id; });
    send(*owner, std::move(ready));
    return true;
}

std::optional<instance_id> dispatcher::choose(const row_id& row, const resources& size,
                                              std::uint64_t tasks)
{
    std::vector<const owner_share*> eligible;
    for (const owner_share& share : fleet_.shares())
    {
        const bool has_window =
            tasks > 1 || outstanding(share.owner, row) < max_outstanding;
        if (share.can_hold(size) && share.max_tasks(size) >= tasks && has_window)
            eligible.push_back(&share);
    }
    if (eligible.empty())
        return std::nullopt;
    const auto load = [&](const owner_share& share)
    {
        const wire::status_reply* status = loads_.find(share.owner);
        const double capacity = static_cast<double>(share.capacity.processors.value());
        const double free = status == nullptr
                                ? capacity
                                : static_cast<double>(status->free.processors.value());
        const double queued = static_cast<double>(outstanding(share.owner, row) + tasks);
        return (queued * static_cast<double>(size.processors.value()) - free) / capacity;
    };
    const owner_share& first = *eligible[shared_.random.below(eligible.size())];
    const owner_share& second = *eligible[shared_.random.below(eligible.size())];
    return load(first) <= load(second) ? first.owner : second.owner;
}

void dispatcher::append(batch& target, job_state& job, std::uint32_t index,
                        epoch owner_epoch, const instance_id& owner)
{
    wire::start_request& message = target.message;
    if (target.slots.empty())
    {
        message.partition = job.partition;
        message.owner_epoch = owner_epoch;
        message.sequence = jobs_.next_sequence(job.partition);
        message.job_owner = shared_.options.self;
        message.row = job.spec.row;
        message.spread_domains = job.spec.spread_domains;
        message.deadline_ms = remaining_ms(job, shared_.now());
    }
    task_slot& slot = job.slots[index];
    assert(slot.phase == slot_phase::waiting && "a task is dispatched once");
    slot.phase = slot_phase::dispatched;
    slot.owner = owner;
    slot.dispatch = wire::dispatch_id{owner_epoch, message.sequence};
    slot.since = shared_.now();
    ++outstanding(owner, job.spec.row);
    task_start start;
    start.id = task_id{job.spec.id, index, slot.attempt};
    start.row = job.spec.row;
    start.size = job.spec.size;
    start.declared_run_time = std::chrono::milliseconds(job.spec.run_time_ms);
    start.idempotent = job.spec.idempotent;
    start.job_owner = shared_.options.self;
    start.payload = job.spec.payload;
    message.tasks.push_back(std::move(start));
    target.slots.push_back(slot_ref{job.spec.id, index, slot.dispatch});
}

void dispatcher::send(const instance_id& owner, batch ready)
{
    const member* target = shared_.parts.members.find(owner);
    if (target == nullptr)
        return jobs_.start_refused(ready.slots, epoch());
    shared_.parts.peers.call(
        target->peer, std::move(ready.message), start_deadline,
        shared_.guarded(
            [this, slots = std::move(ready.slots)](result<wire::reply> response)
            {
                const wire::start_reply* reply =
                    response ? std::get_if<wire::start_reply>(&response.value())
                             : nullptr;
                if (reply != nullptr && reply->queued)
                    return;
                const bool not_queued =
                    reply != nullptr ||
                    (!response && response.error().code != error_code::outcome_unknown);
                if (not_queued)
                    jobs_.start_refused(slots,
                                        reply == nullptr ? epoch() : reply->known_epoch);
                else
                    jobs_.start_uncertain(slots);
            }));
}

bool dispatcher::has_room_elsewhere(const resources& size, const instance_id& busy) const
{
    return std::any_of(fleet_.shares().begin(), fleet_.shares().end(),
                       [&](const owner_share& share)
                       {
                           const wire::status_reply* status = loads_.find(share.owner);
                           return share.owner != busy && share.can_hold(size) &&
                                  status != nullptr && size.fits_in(status->free);
                       });
}

std::string dispatcher::explain(const job_state& job) const
{
    const table_row* row = shared_.parts.table.current().find(job.spec.row);
    if (row == nullptr)
        return "the row is not in the table any more";
    if (!fleet_.is_known())
        return "the host list has not answered yet";
    std::size_t eligible = 0;
    for (const owner_share& share : fleet_.shares())
        if (share.can_hold(job.spec.size) &&
            (row->kind != workload::gang ||
             share.max_tasks(job.spec.size) >= job.slots.size()))
            ++eligible;
    if (eligible == 0)
        return "no instance owns workers that can hold it at present";
    return fmt::format("{} tasks of the row wait here; each of {} slice owners already "
                       "has {} waiting",
                       waiting(job.spec.row), eligible, max_outstanding);
}

} // namespace hawthornbeam
