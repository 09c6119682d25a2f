/// \file
/// Probing, suspicion timeouts and rejoining of unreached members.
#include "implementation.hpp"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace hawthornbeam
{

namespace
{

/// Interval between checks of suspected members.
constexpr duration suspicion_check_interval = std::chrono::milliseconds(250);
/// Dead members are kept this long, so that they can be contacted after a partition.
constexpr duration dead_retention = std::chrono::minutes(10);
/// Ticks (probe periods) between attempts to contact dead members and seeds that are not
/// members.
constexpr std::uint64_t rejoin_interval_ticks = 6;
/// Bounds of the ticks between full syncs with a random member, which recover updates
/// from lost datagrams. The interval starts at the minimum, because many instances may
/// join at once, and doubles up to the maximum.
constexpr std::uint64_t min_sync_interval_ticks = 2;
constexpr std::uint64_t max_sync_interval_ticks = 60;

std::uint64_t mix_seed(std::uint64_t seed, const instance_id& id)
{
    return XXH3_64bits_withSeed(id.value().data(), id.value().size(), seed);
}

member prepare_self(const clock_source& clock, member self)
{
    assert(!self.id.empty() && "instance id must not be empty");
    // A restarted instance must override the records of its previous incarnation.
    if (self.incarnation_number == incarnation())
        self.incarnation_number = incarnation(
            static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count()));
    return self;
}

} // namespace

membership::implementation::implementation(event_loop& loop, datagram_channel& channel,
                                           const logger& log, options settings)
    : loop_(loop), channel_(channel), log_(log), settings_(std::move(settings)),
      random_(mix_seed(settings_.seed, settings_.self.id)),
      members_(prepare_self(loop.clock(), settings_.self)),
      newest_table_version_(members_.self().table), last_activity_(loop.clock().now())
{
    const member& self = members_.self();
    for (const std::size_t size :
         {self.id.value().size(), self.gossip.value().size(), self.peer.value().size(),
          self.http.size(), self.failure_domain.value().size()})
        assert(size <= max_gossip_text_bytes && "string too long for a datagram");
    add_seeds(settings_.seeds);
    next_sync_tick_ = min_sync_interval_ticks;
    sync_interval_ticks_ = min_sync_interval_ticks;
}

void membership::implementation::start()
{
    channel_.on_receive([this](const gossip_address& from, const std::string& bytes)
                        { receive(from, bytes); });
    last_activity_ = loop_.clock().now();
    // A random phase staggers the probes of instances that start at the same time.
    const duration phase =
        std::chrono::duration_cast<duration>(settings_.probe_period * random_.unit());
    first_tick_timer_ = loop_.after(phase,
                                    [this]
                                    {
                                        tick_timer_ = loop_.every(settings_.probe_period,
                                                                  [this] { tick(); });
                                        tick();
                                    });
}

void membership::implementation::add_seeds(const std::vector<gossip_address>& seeds)
{
    for (const gossip_address& seed : seeds)
        if (seed != settings_.self.gossip &&
            std::find(seeds_.begin(), seeds_.end(), seed) == seeds_.end())
            seeds_.push_back(seed);
}

void membership::implementation::announce_leaving()
{
    if (members_.find(members_.self().id)->leaving)
        return;
    members_.announce_leaving();
    changed_ = true;
    ping_random_members();
    notify_if_changed();
}

void membership::implementation::ping_random_members()
{
    for (std::size_t i = 0; i < settings_.indirect_probes; ++i)
        if (const member_record* target = random_live_member())
            ping(target->info, next_sequence_++);
}

void membership::implementation::set_table_version(table_version version)
{
    members_.set_own_table_version(version);
    newest_table_version_ = std::max(newest_table_version_, version);
}

void membership::implementation::detect_pause()
{
    const boot_time now = loop_.clock().now();
    const duration gap = now - last_activity_;
    last_activity_ = now;
    if (gap <= settings_.probe_period + settings_.probe_timeout)
        return;
    // Replies may be missing because this process did not run, so members must not be
    // suspected for them.
    probe_.reset();
    probe_timer_.reset();
    relays_.clear();
    members_.restart_suspicions(now);
    log_.warning(
        "membership", "paused, probes start anew",
        {{"pause_ms", static_cast<std::int64_t>(gap / std::chrono::milliseconds(1))}});
}

void membership::implementation::tick()
{
    detect_pause();
    ++tick_count_;
    if (probe_)
    {
        const instance_id target = probe_->target;
        probe_.reset();
        on_probe_failed(target);
    }
    const boot_time limit = last_activity_ - settings_.probe_period;
    std::erase_if(relays_, [limit](const std::pair<const std::uint32_t, relay>& item)
                  { return item.second.created_at < limit; });
    start_probe();
    maintain();
    notify_if_changed();
}

void membership::implementation::start_probe()
{
    const member_record* target = next_probe_target();
    if (target == nullptr)
        return;
    probe_ = running_probe{target->info.id, next_sequence_++};
    ping(target->info, probe_->sequence);
    probe_timer_ =
        loop_.after(settings_.probe_timeout,
                    [this]
                    {
                        detect_pause();
                        if (probe_)
                            send_indirect_probes(probe_->target, probe_->sequence);
                    });
}

void membership::implementation::send_indirect_probes(const instance_id& target,
                                                      std::uint32_t sequence)
{
    const member_record* record = members_.find(target);
    if (record == nullptr)
        return;
    std::vector<instance_id> excluded{target};
    for (std::size_t i = 0; i < settings_.indirect_probes; ++i)
    {
        const member_record* relay_member = random_live_member();
        if (relay_member == nullptr || std::find(excluded.begin(), excluded.end(),
                                                 relay_member->info.id) != excluded.end())
            continue;
        excluded.push_back(relay_member->info.id);
        gossip_message message = make_message(gossip_kind::ping_request, sequence);
        message.target = target;
        message.target_address = record->info.gossip;
        send(relay_member->info.gossip, std::move(message),
             {target, relay_member->info.id});
    }
}

void membership::implementation::on_probe_failed(const instance_id& target)
{
    const member_record* record = members_.find(target);
    if (record == nullptr || record->status == liveness::dead)
        return;
    const bool was_alive = record->status == liveness::alive;
    members_.suspect(target, loop_.clock().now());
    if (!was_alive)
        return;
    changed_ = true;
    log_state(*record);
    schedule_suspicion_check();
    ping(record->info, next_sequence_++);
    ping_random_members();
}

void membership::implementation::schedule_suspicion_check()
{
    if (suspicion_check_scheduled_ || members_.suspected_count() == 0)
        return;
    suspicion_check_scheduled_ = true;
    suspicion_timer_ = loop_.after(suspicion_check_interval,
                                   [this]
                                   {
                                       suspicion_check_scheduled_ = false;
                                       detect_pause();
                                       check_suspicions();
                                       schedule_suspicion_check();
                                       notify_if_changed();
                                   });
}

void membership::implementation::check_suspicions()
{
    const boot_time now = loop_.clock().now();
    std::vector<instance_id> suspects;
    for (const auto& [id, record] : members_.records())
        if (record.status == liveness::suspected)
            suspects.push_back(id);
    bool any_died = false;
    for (const instance_id& id : suspects)
    {
        const member_record& record = *members_.find(id);
        const duration age = now - record.status_since;
        if (age >= settings_.suspicion)
        {
            members_.declare_dead(id, now);
            any_died = true;
            log_state(record);
        }
        // An instance whose own probe failed keeps probing the suspect. Others probe it
        // only after two thirds of the suspicion timeout without a refutation. Repeated
        // probes let a live member refute the suspicion despite datagram loss.
        else if (record.own_probe_failed || 3 * age >= 2 * settings_.suspicion)
        {
            const std::uint32_t sequence = next_sequence_++;
            ping(record.info, sequence);
            send_indirect_probes(id, sequence);
        }
    }
    if (!any_died)
        return;
    changed_ = true;
    ping_random_members();
}

void membership::implementation::maintain()
{
    const boot_time now = loop_.clock().now();
    members_.forget_dead(now - dead_retention);
    if (sync_)
        return;
    const bool alone = members_.live_count() == 1;
    if (alone || !joined_ || tick_count_ % rejoin_interval_ticks == 0)
    {
        const std::vector<gossip_address> addresses = unreached_addresses();
        if (!addresses.empty())
            return start_sync(addresses[random_.below(addresses.size())]);
    }
    if (tick_count_ < next_sync_tick_)
        return;
    sync_interval_ticks_ = std::min(2 * sync_interval_ticks_, max_sync_interval_ticks);
    next_sync_tick_ = tick_count_ + sync_interval_ticks_;
    if (const member_record* peer = random_live_member())
        start_sync(peer->info.gossip);
}

std::vector<gossip_address> membership::implementation::unreached_addresses() const
{
    std::vector<gossip_address> addresses = seeds_;
    for (const auto& [id, record] : members_.records())
        if (record.status == liveness::dead)
            addresses.push_back(record.info.gossip);
    if (!joined_)
        return addresses;
    for (const auto& [id, record] : members_.records())
        if (record.status != liveness::dead)
            std::erase(addresses, record.info.gossip);
    return addresses;
}

const member_record* membership::implementation::next_probe_target()
{
    // Each round probes all members once in random order, which bounds the time until a
    // dead member is probed. If no id left in the current round is a live member, a new
    // round is started.
    for (int round = 0; round < 2; ++round)
    {
        while (!probe_order_.empty())
        {
            const member_record* record = members_.find(probe_order_.back());
            probe_order_.pop_back();
            if (record != nullptr && record->status != liveness::dead &&
                record->info.id != members_.self().id)
                return record;
        }
        for (const auto& [id, record] : members_.records())
            if (record.status != liveness::dead && id != members_.self().id)
                probe_order_.push_back(id);
        for (std::size_t i = probe_order_.size(); i > 1; --i)
            std::swap(probe_order_[i - 1], probe_order_[random_.below(i)]);
    }
    return nullptr;
}

const member_record* membership::implementation::random_live_member()
{
    if (members_.live_count() < 2)
        return nullptr;
    std::uint64_t skip = random_.below(members_.live_count() - 1);
    for (const auto& [id, record] : members_.records())
        if (record.status != liveness::dead && id != members_.self().id && skip-- == 0)
            return &record;
    return nullptr;
}

} // namespace hawthornbeam
