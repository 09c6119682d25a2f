/// \file
/// Probes, suspicion and the search for lost members.
#include "implementation.hpp"

#include <algorithm>
#include <cassert>
#include <xxhash.h>

namespace hawthornbeam
{

namespace
{

/// Suspected members are checked this often.
constexpr duration suspicion_check = std::chrono::milliseconds(250);
/// Dead members are remembered this long, so that they are found again after a partition.
constexpr duration dead_memory = std::chrono::minutes(10);
/// Probe periods between attempts to reach dead members and seeds that are not members.
constexpr std::uint64_t rejoin_periods = 6;
/// Probe periods between comparisons of the whole list with a random member, which
/// repair what lost datagrams have hidden. The time doubles from the first to the second,
/// because many instances may join at once.
constexpr std::uint64_t first_compare_periods = 2;
constexpr std::uint64_t most_compare_periods = 60;

std::uint64_t mix_seed(std::uint64_t seed, const instance_id& id)
{
    return XXH3_64bits_withSeed(id.value().data(), id.value().size(), seed);
}

member prepare_self(const clock_source& clock, member self)
{
    assert(!self.id.empty() && "an instance has an id");
    // A restarted instance must override what is known of its former life.
    if (self.life == incarnation())
        self.life = incarnation(
            static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count()));
    return self;
}

} // namespace

membership::implementation::implementation(event_loop& loop, datagram_channel& channel,
                                           const logger& log, options settings)
    : loop_(loop), channel_(channel), log_(log), settings_(std::move(settings)),
      random_(mix_seed(settings_.seed, settings_.self.id)),
      table_(prepare_self(loop.clock(), settings_.self)),
      newest_table_(table_.self().table), last_seen_(loop.clock().now())
{
    const member& self = table_.self();
    for (const std::size_t size :
         {self.id.value().size(), self.gossip.value().size(), self.peer.value().size(),
          self.http.size(), self.failure_domain.value().size()})
        assert(size <= most_gossip_text && "must fit into a datagram");
    add_seeds(settings_.seeds);
    next_compare_ = first_compare_periods;
    compare_interval_ = first_compare_periods;
}

void membership::implementation::start()
{
    channel_.on_receive([this](const gossip_address& from, const std::string& bytes)
                        { receive(from, bytes); });
    last_seen_ = loop_.clock().now();
    // A random phase spreads the probes of instances that start together.
    const duration phase =
        std::chrono::duration_cast<duration>(settings_.probe_period * random_.unit());
    first_tick_ =
        loop_.after(phase,
                    [this]
                    {
                        ticker_ = loop_.every(settings_.probe_period, [this] { tick(); });
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
    if (table_.find(table_.self().id)->leaving)
        return;
    table_.announce_leaving();
    changed_ = true;
    tell_several();
    notify();
}

void membership::implementation::tell_several()
{
    for (std::size_t i = 0; i < settings_.indirect_probes; ++i)
        if (const member_record* target = random_live())
            ping(target->info, next_sequence_++);
}

void membership::implementation::set_table_version(table_version version)
{
    table_.set_own_table(version);
    newest_table_ = std::max(newest_table_, version);
}

void membership::implementation::notice_pause()
{
    const boot_time now = loop_.clock().now();
    const duration gap = now - last_seen_;
    last_seen_ = now;
    if (gap <= settings_.probe_period + settings_.probe_timeout)
        return;
    // Others were silent because this process did not listen; judge none of them by it.
    probe_.reset();
    probe_timer_.reset();
    relays_.clear();
    table_.restart_suspicions(now);
    log_.warning(
        "membership", "paused, probes start anew",
        {{"pause_ms", static_cast<std::int64_t>(gap / std::chrono::milliseconds(1))}});
}

void membership::implementation::tick()
{
    notice_pause();
    ++ticks_;
    if (probe_)
    {
        const instance_id target = probe_->target;
        probe_.reset();
        probe_failed(target);
    }
    const boot_time limit = last_seen_ - settings_.probe_period;
    std::erase_if(relays_, [limit](const std::pair<const std::uint32_t, relay>& item)
                  { return item.second.since < limit; });
    begin_probe();
    maintain();
    notify();
}

void membership::implementation::begin_probe()
{
    const member_record* target = next_target();
    if (target == nullptr)
        return;
    probe_ = running_probe{target->info.id, next_sequence_++};
    ping(target->info, probe_->sequence);
    probe_timer_ = loop_.after(settings_.probe_timeout,
                               [this]
                               {
                                   notice_pause();
                                   if (probe_)
                                       ask_helpers(probe_->target, probe_->sequence);
                               });
}

void membership::implementation::ask_helpers(const instance_id& target,
                                             std::uint32_t sequence)
{
    const member_record* record = table_.find(target);
    if (record == nullptr)
        return;
    std::vector<instance_id> asked{target};
    for (std::size_t i = 0; i < settings_.indirect_probes; ++i)
    {
        const member_record* helper = random_live();
        if (helper == nullptr ||
            std::find(asked.begin(), asked.end(), helper->info.id) != asked.end())
            continue;
        asked.push_back(helper->info.id);
        gossip_message message = make(gossip_kind::ping_request, sequence);
        message.target = target;
        message.target_at = record->info.gossip;
        send(helper->info.gossip, std::move(message), {target, helper->info.id});
    }
}

void membership::implementation::probe_failed(const instance_id& target)
{
    const member_record* record = table_.find(target);
    if (record == nullptr || record->claim == standing::dead)
        return;
    const bool fresh = record->claim == standing::alive;
    table_.suspect(target, loop_.clock().now());
    if (!fresh)
        return;
    changed_ = true;
    log_state(*record);
    watch_suspicions();
    ping(record->info, next_sequence_++);
    tell_several();
}

void membership::implementation::watch_suspicions()
{
    if (watching_ || table_.suspected_count() == 0)
        return;
    watching_ = true;
    suspicion_timer_ = loop_.after(suspicion_check,
                                   [this]
                                   {
                                       watching_ = false;
                                       notice_pause();
                                       check_suspicions();
                                       watch_suspicions();
                                       notify();
                                   });
}

void membership::implementation::check_suspicions()
{
    const boot_time now = loop_.clock().now();
    std::vector<instance_id> suspects;
    for (const auto& [id, record] : table_.records())
        if (record.claim == standing::suspected)
            suspects.push_back(id);
    bool any_died = false;
    for (const instance_id& id : suspects)
    {
        const member_record& record = *table_.find(id);
        const duration age = now - record.since;
        if (age >= settings_.suspicion)
        {
            table_.declare_dead(id, now);
            any_died = true;
            log_state(record);
        }
        // Whoever suspects first keeps asking; others ask only when no refutation has
        // come for most of the time. This lets a live member refute despite loss.
        else if (record.probed_here || 3 * age >= 2 * settings_.suspicion)
        {
            const std::uint32_t sequence = next_sequence_++;
            ping(record.info, sequence);
            ask_helpers(id, sequence);
        }
    }
    if (!any_died)
        return;
    changed_ = true;
    tell_several();
}

void membership::implementation::maintain()
{
    const boot_time now = loop_.clock().now();
    table_.forget_dead(now - dead_memory);
    if (sync_)
        return;
    const bool alone = table_.live_count() == 1;
    if (alone || !joined_ || ticks_ % rejoin_periods == 0)
    {
        const std::vector<gossip_address> addresses = unreached();
        if (!addresses.empty())
            return start_sync(addresses[random_.below(addresses.size())]);
    }
    if (ticks_ < next_compare_)
        return;
    compare_interval_ = std::min(2 * compare_interval_, most_compare_periods);
    next_compare_ = ticks_ + compare_interval_;
    if (const member_record* peer = random_live())
        start_sync(peer->info.gossip);
}

std::vector<gossip_address> membership::implementation::unreached() const
{
    std::vector<gossip_address> addresses = seeds_;
    for (const auto& [id, record] : table_.records())
        if (record.claim == standing::dead)
            addresses.push_back(record.info.gossip);
    if (!joined_)
        return addresses;
    for (const auto& [id, record] : table_.records())
        if (record.claim != standing::dead)
            std::erase(addresses, record.info.gossip);
    return addresses;
}

const member_record* membership::implementation::next_target()
{
    // Each round probes all members once in random order, which bounds the time until a
    // dead member is probed. A second round is tried when all ids of one are gone.
    for (int round = 0; round < 2; ++round)
    {
        while (!probe_order_.empty())
        {
            const member_record* record = table_.find(probe_order_.back());
            probe_order_.pop_back();
            if (record != nullptr && record->claim != standing::dead &&
                record->info.id != table_.self().id)
                return record;
        }
        for (const auto& [id, record] : table_.records())
            if (record.claim != standing::dead && id != table_.self().id)
                probe_order_.push_back(id);
        for (std::size_t i = probe_order_.size(); i > 1; --i)
            std::swap(probe_order_[i - 1], probe_order_[random_.below(i)]);
    }
    return nullptr;
}

const member_record* membership::implementation::random_live()
{
    if (table_.live_count() < 2)
        return nullptr;
    std::uint64_t skip = random_.below(table_.live_count() - 1);
    for (const auto& [id, record] : table_.records())
        if (record.claim != standing::dead && id != table_.self().id && skip-- == 0)
            return &record;
    return nullptr;
}

} // namespace hawthornbeam
