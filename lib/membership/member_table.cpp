/// \file
/// Merging of status updates and selection of the updates to send.
#include "member_table.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <xxhash.h>

namespace hawthornbeam
{

namespace
{

/// Minimum number of times that each update is sent; one more is added per doubling of
/// the number of members. After k sends by each member, a fraction e^-k of the members
/// has not received the update. The minimum tolerates the loss of a fifth of all
/// datagrams.
constexpr unsigned min_sends = 6;
/// Limits the memory that forged members can use.
constexpr std::size_t max_members = 100'000;

std::uint64_t record_digest(const member& info)
{
    const std::string& id = info.id.value();
    return XXH3_64bits_withSeed(id.data(), id.size(), info.incarnation_number.value());
}

member_state visible_state(const member_record& record)
{
    if (record.status == liveness::dead)
        return member_state::dead;
    if (record.leaving)
        return member_state::leaving;
    return record.status == liveness::suspected ? member_state::suspected
                                                : member_state::alive;
}

} // namespace

member_table::member_table(const member& self) : self_id_(self.id)
{
    member_record record;
    record.info = self;
    record.leaving = self.state == member_state::leaving;
    record.info.state = visible_state(record);
    records_.emplace(self_id_, record);
    add_to_counts(record);
    enqueue_update(self_id_);
}

void member_table::add_to_counts(const member_record& record)
{
    if (record.status == liveness::dead)
        return;
    ++live_count_;
    digest_ ^= record_digest(record.info);
    if (record.status == liveness::suspected)
        ++suspected_count_;
}

void member_table::remove_from_counts(const member_record& record)
{
    if (record.status == liveness::dead)
        return;
    --live_count_;
    digest_ ^= record_digest(record.info);
    if (record.status == liveness::suspected)
        --suspected_count_;
}

void member_table::set_status(member_record& record, liveness status, boot_time now)
{
    remove_from_counts(record);
    record.status = status;
    record.status_since = now;
    record.own_probe_failed = false;
    record.info.state = visible_state(record);
    add_to_counts(record);
    enqueue_update(record.info.id);
}

member_table::merge_effect member_table::merge(const member_update& update,
                                               bool from_sync, boot_time now)
{
    if (update.subject.id == self_id_)
        return merge_self(update);
    const auto found = records_.find(update.subject.id);
    if (found == records_.end())
    {
        // Ignores the death of an unknown member; otherwise updates about removed members
        // would circulate forever.
        if (update.status == liveness::dead || records_.size() >= max_members)
            return merge_effect::none;
        member_record& record = records_[update.subject.id];
        record.info = update.subject;
        record.leaving = update.leaving;
        // set_status() first removes the record from the counts. Marking the new record
        // as dead makes this a no-op.
        record.status = liveness::dead;
        set_status(record, update.status, now);
        return merge_effect::changed;
    }
    member_record& record = found->second;
    const bool downgrade =
        from_sync && update.status == liveness::dead && record.status != liveness::dead;
    const liveness status = downgrade ? liveness::suspected : update.status;
    const bool newer = update.subject.incarnation_number > record.info.incarnation_number;
    if (update.subject.incarnation_number < record.info.incarnation_number ||
        (!newer && status <= record.status))
        return merge_effect::none;
    const bool was_dead = record.status == liveness::dead;
    if (newer)
    {
        const table_version table = std::max(record.info.table, update.subject.table);
        remove_from_counts(record);
        record.info = update.subject;
        record.info.table = table;
        record.leaving = update.leaving;
        add_to_counts(record);
    }
    set_status(record, status, now);
    return was_dead && status == liveness::alive ? merge_effect::revived
                                                 : merge_effect::changed;
}

member_table::merge_effect member_table::merge_self(const member_update& update)
{
    member_record& record = records_.at(self_id_);
    const bool newer = update.subject.incarnation_number > record.info.incarnation_number;
    if (update.subject.incarnation_number < record.info.incarnation_number ||
        (!newer && update.status == liveness::alive))
        return merge_effect::none;
    remove_from_counts(record);
    record.info.incarnation_number = update.subject.incarnation_number.next();
    add_to_counts(record);
    enqueue_update(self_id_);
    return merge_effect::refuted;
}

bool member_table::suspect(const instance_id& id, boot_time now)
{
    const auto found = records_.find(id);
    if (found == records_.end() || found->second.status == liveness::dead)
        return false;
    if (found->second.status == liveness::alive)
        set_status(found->second, liveness::suspected, now);
    found->second.own_probe_failed = true;
    return true;
}

void member_table::declare_dead(const instance_id& id, boot_time now)
{
    const auto found = records_.find(id);
    assert(found != records_.end() && id != self_id_ &&
           "must be a known member other than this instance");
    set_status(found->second, liveness::dead, now);
}

void member_table::restart_suspicions(boot_time now)
{
    for (auto& [id, record] : records_)
        if (record.status == liveness::suspected)
            record.status_since = now;
}

void member_table::forget_dead(boot_time limit)
{
    std::erase_if(records_,
                  [this, limit](const std::pair<const instance_id, member_record>& item)
                  {
                      if (item.second.status != liveness::dead ||
                          item.second.status_since >= limit)
                          return false;
                      send_counts_.erase(item.first);
                      return true;
                  });
}

void member_table::announce_leaving()
{
    member_record& record = records_.at(self_id_);
    remove_from_counts(record);
    record.info.incarnation_number = record.info.incarnation_number.next();
    record.leaving = true;
    record.info.state = visible_state(record);
    add_to_counts(record);
    enqueue_update(self_id_);
}

const member_record* member_table::record_table_version(const instance_id& id,
                                                        table_version version)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return nullptr;
    found->second.info.table = std::max(found->second.info.table, version);
    return &found->second;
}

void member_table::set_own_table_version(table_version version)
{
    records_.at(self_id_).info.table = version;
}

const member_record* member_table::find(const instance_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

member_update member_table::update_of(const member_record& record)
{
    return member_update{record.info, record.status, record.leaving};
}

std::vector<member_update> member_table::take_updates(std::size_t bytes,
                                                      std::size_t max_count)
{
    std::vector<member_update> updates;
    if (send_counts_.empty())
        return updates;
    std::vector<std::pair<unsigned, const instance_id*>> by_send_count;
    by_send_count.reserve(send_counts_.size());
    for (const auto& [id, sends] : send_counts_)
        by_send_count.emplace_back(sends, &id);
    std::stable_sort(by_send_count.begin(), by_send_count.end(),
                     [](const std::pair<unsigned, const instance_id*>& a,
                        const std::pair<unsigned, const instance_id*>& b)
                     { return a.first < b.first; });
    const unsigned limit =
        min_sends + static_cast<unsigned>(std::bit_width(live_count_ + 1));
    std::vector<instance_id> exhausted;
    for (const auto& [sends, id] : by_send_count)
    {
        const member_update update = update_of(records_.at(*id));
        const std::size_t size = encoded_size(update);
        if (size > bytes || updates.size() == max_count)
            break;
        bytes -= size;
        updates.push_back(update);
        if (++send_counts_.at(*id) >= limit)
            exhausted.push_back(*id);
    }
    for (const instance_id& id : exhausted)
        send_counts_.erase(id);
    return updates;
}

} // namespace hawthornbeam
