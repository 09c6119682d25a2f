/// \file
/// Batching and resending of task updates.
#include "lib/instance/update_sender.hpp"

#include <algorithm>
#include <unordered_set>

namespace hawthornbeam
{

namespace
{

constexpr std::size_t max_updates_per_request = 200;
constexpr std::size_t max_output_bytes_per_request = std::size_t{512} << 10U;
constexpr duration coalescing_delay = std::chrono::milliseconds(2);
constexpr duration retry_delay = std::chrono::milliseconds(500);
constexpr duration call_deadline = std::chrono::seconds(2);

} // namespace

update_sender::update_sender(context& shared, route find_owner, recorded on_recorded)
    : shared_(shared), route_(std::move(find_owner)), recorded_(std::move(on_recorded))
{
}

void update_sender::send(wire::task_update update)
{
    entry& slot = pending_[update.id];
    slot.update = std::move(update);
    slot.in_flight = false;
    slot.revision = next_revision_++;
    schedule(coalescing_delay);
}

void update_sender::schedule(duration delay)
{
    if (scheduled_)
        return;
    scheduled_ = true;
    timer_ = shared_.parts.loop.after(delay,
                                      [this]
                                      {
                                          scheduled_ = false;
                                          flush();
                                      });
}

void update_sender::flush()
{
    std::map<instance_id, std::vector<task_id>> batches;
    std::map<instance_id, std::size_t> bytes;
    bool has_deferred = false;
    for (const auto& [id, slot] : pending_)
    {
        if (slot.in_flight)
            continue;
        const instance_id owner = route_(id);
        std::vector<task_id>& batch = batches[owner];
        const std::size_t size = slot.update.output.size();
        const bool fits =
            batch.empty() || (batch.size() < max_updates_per_request &&
                              bytes[owner] + size <= max_output_bytes_per_request);
        if (owner.empty() || !fits)
        {
            has_deferred = true;
            continue;
        }
        bytes[owner] += size;
        batch.push_back(id);
    }
    for (auto& [owner, ids] : batches)
        if (!ids.empty())
            send_batch(owner, std::move(ids));
    if (has_deferred)
        schedule(coalescing_delay * 10);
}

void update_sender::send_batch(const instance_id& to, std::vector<task_id> ids)
{
    const member* target = shared_.parts.members.find(to);
    if (target == nullptr)
        return schedule(retry_delay);
    wire::update_request message;
    std::vector<std::pair<task_id, std::uint64_t>> sent;
    for (const task_id& id : ids)
    {
        entry& slot = pending_.at(id);
        slot.in_flight = true;
        sent.emplace_back(id, slot.revision);
        message.updates.push_back(slot.update);
    }
    shared_.parts.peers.call(
        target->peer, std::move(message), call_deadline,
        shared_.guarded(
            [this, sent = std::move(sent)](result<wire::reply> response)
            {
                const wire::update_reply* reply =
                    response ? std::get_if<wire::update_reply>(&response.value())
                             : nullptr;
                handle_recorded(sent, reply != nullptr ? reply->recorded
                                                       : std::vector<task_id>());
            }));
}

void update_sender::handle_recorded(
    const std::vector<std::pair<task_id, std::uint64_t>>& sent,
    const std::vector<task_id>& confirmed)
{
    const std::unordered_set<task_id> accepted(confirmed.begin(), confirmed.end());
    bool retry_needed = false;
    for (const auto& [id, revision] : sent)
    {
        const auto found = pending_.find(id);
        if (found == pending_.end() || found->second.revision != revision)
            continue;
        found->second.in_flight = false;
        if (!accepted.contains(id))
        {
            retry_needed = true;
            continue;
        }
        const wire::task_update update = std::move(found->second.update);
        pending_.erase(found);
        recorded_(update);
    }
    if (retry_needed)
        schedule(retry_delay);
    else if (!pending_.empty())
        schedule(coalescing_delay);
}

} // namespace hawthornbeam
