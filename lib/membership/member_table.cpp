/// \file
/// Implements the member list.
#include "member_table.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <xxhash.h>

namespace hawthornbeam
{

namespace
{

/// Each item of news is sent this often, and once more per doubling of the members. After
/// k sends by each member, a share of e^-k of the members has not heard it; the constant
/// covers the loss of a fifth of all datagrams.
constexpr unsigned least_sends = 6;
/// Bounds the memory that forged members can take.
constexpr std::size_t most_members = 100'000;

std::uint64_t record_digest(const member& info)
{
    const std::string& id = info.id.value();
    return XXH3_64bits_withSeed(id.data(), id.size(), info.life.value());
}

member_state visible_state(const member_record& record)
{
    if (record.claim == standing::dead)
        return member_state::dead;
    if (record.leaving)
        return member_state::leaving;
    return record.claim == standing::suspected ? member_state::suspected
                                               : member_state::alive;
}

} // namespace

member_table::member_table(const member& self) : self_(self.id)
{
    member_record record;
    record.info = self;
    record.leaving = self.state == member_state::leaving;
    record.info.state = visible_state(record);
    records_.emplace(self_, record);
    count(record);
    spread(self_);
}

void member_table::count(const member_record& record)
{
    if (record.claim == standing::dead)
        return;
    ++live_;
    digest_ ^= record_digest(record.info);
    if (record.claim == standing::suspected)
        ++suspected_;
}

void member_table::uncount(const member_record& record)
{
    if (record.claim == standing::dead)
        return;
    --live_;
    digest_ ^= record_digest(record.info);
    if (record.claim == standing::suspected)
        --suspected_;
}

void member_table::change(member_record& record, standing claim, boot_time now)
{
    uncount(record);
    record.claim = claim;
    record.since = now;
    record.probed_here = false;
    record.info.state = visible_state(record);
    count(record);
    spread(record.info.id);
}

member_table::merge_effect member_table::merge(const member_update& update, bool hearsay,
                                               boot_time now)
{
    if (update.subject.id == self_)
        return merge_self(update);
    const auto known = records_.find(update.subject.id);
    if (known == records_.end())
    {
        // Deaths of unknown members are ignored, or forgotten ones would circulate.
        if (update.claim == standing::dead || records_.size() >= most_members)
            return merge_effect::none;
        member_record& record = records_[update.subject.id];
        record.info = update.subject;
        record.leaving = update.leaving;
        // A new record is not counted yet, and change() first takes it off the counts.
        record.claim = standing::dead;
        change(record, update.claim, now);
        return merge_effect::changed;
    }
    member_record& record = known->second;
    const bool doubtful =
        hearsay && update.claim == standing::dead && record.claim != standing::dead;
    const standing claim = doubtful ? standing::suspected : update.claim;
    const bool newer = update.subject.life > record.info.life;
    if (update.subject.life < record.info.life || (!newer && claim <= record.claim))
        return merge_effect::none;
    const bool was_dead = record.claim == standing::dead;
    if (newer)
    {
        const table_version table = std::max(record.info.table, update.subject.table);
        uncount(record);
        record.info = update.subject;
        record.info.table = table;
        record.leaving = update.leaving;
        count(record);
    }
    change(record, claim, now);
    return was_dead && claim == standing::alive ? merge_effect::returned
                                                : merge_effect::changed;
}

member_table::merge_effect member_table::merge_self(const member_update& update)
{
    member_record& record = records_.at(self_);
    const bool newer = update.subject.life > record.info.life;
    if (update.subject.life < record.info.life ||
        (!newer && update.claim == standing::alive))
        return merge_effect::none;
    uncount(record);
    record.info.life = update.subject.life.next();
    count(record);
    spread(self_);
    return merge_effect::refuted;
}

bool member_table::suspect(const instance_id& id, boot_time now)
{
    const auto known = records_.find(id);
    if (known == records_.end() || known->second.claim == standing::dead)
        return false;
    if (known->second.claim == standing::alive)
        change(known->second, standing::suspected, now);
    known->second.probed_here = true;
    return true;
}

void member_table::declare_dead(const instance_id& id, boot_time now)
{
    const auto known = records_.find(id);
    assert(known != records_.end() && id != self_ && "only others are declared dead");
    change(known->second, standing::dead, now);
}

void member_table::restart_suspicions(boot_time now)
{
    for (auto& [id, record] : records_)
        if (record.claim == standing::suspected)
            record.since = now;
}

void member_table::forget_dead(boot_time limit)
{
    std::erase_if(records_,
                  [this, limit](const std::pair<const instance_id, member_record>& item)
                  {
                      if (item.second.claim != standing::dead ||
                          item.second.since >= limit)
                          return false;
                      news_.erase(item.first);
                      return true;
                  });
}

void member_table::announce_leaving()
{
    member_record& record = records_.at(self_);
    uncount(record);
    record.info.life = record.info.life.next();
    record.leaving = true;
    record.info.state = visible_state(record);
    count(record);
    spread(self_);
}

const member_record* member_table::note_table(const instance_id& id,
                                              table_version version)
{
    const auto known = records_.find(id);
    if (known == records_.end())
        return nullptr;
    known->second.info.table = std::max(known->second.info.table, version);
    return &known->second;
}

void member_table::set_own_table(table_version version)
{
    records_.at(self_).info.table = version;
}

const member_record* member_table::find(const instance_id& id) const
{
    const auto known = records_.find(id);
    return known == records_.end() ? nullptr : &known->second;
}

member_update member_table::update_of(const member_record& record)
{
    return member_update{record.info, record.claim, record.leaving};
}

std::vector<member_update> member_table::take_news(std::size_t bytes, std::size_t most)
{
    std::vector<member_update> taken;
    if (news_.empty())
        return taken;
    std::vector<std::pair<unsigned, const instance_id*>> order;
    order.reserve(news_.size());
    for (const auto& [id, sends] : news_)
        order.emplace_back(sends, &id);
    std::stable_sort(order.begin(), order.end(),
                     [](const std::pair<unsigned, const instance_id*>& a,
                        const std::pair<unsigned, const instance_id*>& b)
                     { return a.first < b.first; });
    const unsigned limit = least_sends + static_cast<unsigned>(std::bit_width(live_ + 1));
    std::vector<instance_id> finished;
    for (const auto& [sends, id] : order)
    {
        const member_update update = update_of(records_.at(*id));
        const std::size_t size = encoded_size(update);
        if (size > bytes || taken.size() == most)
            break;
        bytes -= size;
        taken.push_back(update);
        if (++news_.at(*id) >= limit)
            finished.push_back(*id);
    }
    for (const instance_id& id : finished)
        news_.erase(id);
    return taken;
}

} // namespace hawthornbeam
