/// \file
/// The membership protocol: probes, suspicion and full-state exchange.
#include "hawthornbeam/membership/membership.hpp"

#include "member_table.hpp"

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
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
/// repair what lost datagrams have hidden.
constexpr std::uint64_t compare_periods = 60;
constexpr int most_sync_attempts = 4;
constexpr std::size_t most_updates = 64;
constexpr std::size_t most_relays = 1024;
/// The log of malformed datagrams is limited to the first and each such one.
constexpr std::uint64_t malformed_per_line = 1000;

std::uint64_t mix_seed(std::uint64_t seed, const instance_id& id)
{
    return XXH3_64bits_withSeed(id.value().data(), id.value().size(), seed);
}

const char* name_of(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspected:
        return "suspected";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
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

class membership::implementation
{
public:
    implementation(event_loop& loop, datagram_channel& channel, const logger& log,
                   options settings)
        : loop_(loop), channel_(channel), log_(log), settings_(std::move(settings)),
          random_(mix_seed(settings_.seed, settings_.self.id)),
          table_(prepare_self(loop.clock(), settings_.self)),
          newest_table_(table_.self().table), last_seen_(loop.clock().now())
    {
        const member& self = table_.self();
        for (const std::size_t size : {self.id.value().size(), self.gossip.value().size(),
                                       self.peer.value().size(), self.http.size(),
                                       self.failure_domain.value().size()})
            assert(size <= most_gossip_text && "must fit into a datagram");
        add_seeds(settings_.seeds);
    }
    ~implementation() { channel_.on_receive(nullptr); }

    void start();
    void announce_leaving();
    void set_table_version(table_version version);
    void add_seeds(const std::vector<gossip_address>& seeds);
    const member_table& table() const { return table_; }

    std::function<void()> change_handler;
    std::function<void(const member&)> table_handler;
    boot_time last_contact = boot_time::min();
    std::uint64_t malformed = 0;

private:
    struct running_probe
    {
        instance_id target;
        std::uint32_t sequence = 0;
    };
    struct relay
    {
        gossip_address requester;
        std::uint32_t sequence = 0;
        boot_time since{};
    };
    struct running_sync
    {
        gossip_address peer;
        instance_id after;
        std::uint32_t sequence = 0;
        int attempts = 0;
    };

    void notice_pause();
    void tick();
    void begin_probe();
    void ask_helpers(const instance_id& target, std::uint32_t sequence);
    void probe_failed(const instance_id& target);
    void check_suspicions();
    void watch_suspicions();
    void maintain();
    std::vector<gossip_address> unreached() const;
    const member_record* next_target();
    const member_record* random_live();

    void start_sync(const gossip_address& peer);
    void send_sync();
    void on_sync_request(const gossip_address& from, const gossip_message& message);
    void on_sync_reply(const gossip_message& message);

    void receive(const gossip_address& from, const std::string& bytes);
    void dispatch(const gossip_address& from, const gossip_message& message);
    void merge_updates(const gossip_message& message);
    void note_sender(const gossip_address& from, const gossip_message& message);
    void on_ack(const gossip_message& message);
    void on_ping_request(const gossip_address& from, const gossip_message& message);

    gossip_message make(gossip_kind kind, std::uint32_t sequence) const;
    std::size_t room_in(const gossip_message& message) const;
    void send(const gossip_address& to, gossip_message message,
              std::initializer_list<instance_id> about);
    void ping(const member& target, std::uint32_t sequence);
    void log_state(const member_record& record) const;
    void notify();

    event_loop& loop_;
    datagram_channel& channel_;
    const logger& log_;
    options settings_;
    random_source random_;
    member_table table_;
    table_version newest_table_;
    boot_time last_seen_;
    std::vector<gossip_address> seeds_;
    std::vector<instance_id> probe_order_;
    std::optional<running_probe> probe_;
    std::optional<running_sync> sync_;
    std::map<std::uint32_t, relay> relays_;
    std::uint32_t next_sequence_ = 1;
    std::uint64_t ticks_ = 0;
    bool joined_ = false;
    bool changed_ = false;
    bool watching_ = false; ///< The suspicion timer runs.
    timer_handle first_tick_;
    timer_handle ticker_;
    timer_handle probe_timer_;
    timer_handle suspicion_timer_;
    timer_handle sync_timer_;
};

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
    // Several members are told at once, so that the news survives a quick exit.
    for (std::size_t i = 0; i < settings_.indirect_probes; ++i)
        if (const member_record* target = random_live())
            ping(target->info, next_sequence_++);
    notify();
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
    for (const instance_id& id : suspects)
    {
        const member_record& record = *table_.find(id);
        const duration age = now - record.since;
        if (age >= settings_.suspicion)
        {
            table_.declare_dead(id, now);
            changed_ = true;
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
    // The phase differs between instances.
    if (ticks_ % compare_periods != mix_seed(0, table_.self().id) % compare_periods)
        return;
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

void membership::implementation::start_sync(const gossip_address& peer)
{
    if (sync_)
        return;
    sync_ = running_sync{peer, instance_id(), 0, 0};
    send_sync();
}

void membership::implementation::send_sync()
{
    if (++sync_->attempts > most_sync_attempts)
    {
        sync_.reset();
        return;
    }
    sync_->sequence = next_sequence_++;
    gossip_message message = make(gossip_kind::sync_request, sync_->sequence);
    message.after = sync_->after;
    message.digest = table_.digest();
    const instance_id self = table_.self().id;
    send(sync_->peer, std::move(message), {self});
    sync_timer_ = loop_.after(settings_.probe_timeout,
                              [this]
                              {
                                  notice_pause();
                                  if (sync_)
                                      send_sync();
                              });
}

void membership::implementation::on_sync_request(const gossip_address& from,
                                                 const gossip_message& message)
{
    gossip_message answer = make(gossip_kind::sync_reply, message.sequence);
    answer.after = message.after;
    const bool same = message.after.empty() && message.digest == table_.digest();
    std::size_t room = room_in(answer);
    auto next = table_.records().upper_bound(message.after);
    for (; !same && next != table_.records().end(); ++next)
    {
        const member_update update = member_table::update_of(next->second);
        const std::size_t size = encoded_size(update);
        if (size > room || answer.updates.size() == most_updates)
            break;
        room -= size;
        answer.updates.push_back(update);
    }
    answer.more = !same && next != table_.records().end();
    channel_.send(from, encode_gossip(answer));
}

void membership::implementation::on_sync_reply(const gossip_message& message)
{
    if (!sync_ || message.sequence != sync_->sequence)
        return;
    joined_ = true;
    if (!message.more || message.updates.empty())
    {
        sync_.reset();
        sync_timer_.reset();
        return;
    }
    sync_->after = message.updates.back().subject.id;
    sync_->attempts = 0;
    send_sync();
}

void membership::implementation::receive(const gossip_address& from,
                                         const std::string& bytes)
{
    notice_pause();
    result<gossip_message> message =
        bytes.size() > settings_.most_datagram_bytes
            ? make_error(error_code::invalid_input, "longer than a datagram may be")
            : decode_gossip(bytes);
    if (!message)
    {
        if (malformed++ % malformed_per_line == 0)
            log_.warning("membership", "malformed datagram dropped",
                         {{"from", from.value()},
                          {"reason", message.error().message},
                          {"dropped", malformed}});
        return;
    }
    // Another process with our id is noticed by its statements about us.
    if (message.value().from == table_.self().id)
        return;
    dispatch(from, message.value());
    notify();
}

void membership::implementation::dispatch(const gossip_address& from,
                                          const gossip_message& message)
{
    last_contact = loop_.clock().now();
    merge_updates(message);
    switch (message.kind)
    {
    case gossip_kind::ping:
        if (message.target == table_.self().id)
        {
            gossip_message answer = make(gossip_kind::ack, message.sequence);
            answer.target = message.target;
            send(from, std::move(answer), {message.from});
        }
        break;
    case gossip_kind::ack:
        on_ack(message);
        break;
    case gossip_kind::ping_request:
        on_ping_request(from, message);
        break;
    case gossip_kind::sync_request:
        on_sync_request(from, message);
        break;
    case gossip_kind::sync_reply:
        on_sync_reply(message);
        break;
    }
    note_sender(from, message);
}

void membership::implementation::merge_updates(const gossip_message& message)
{
    const boot_time now = loop_.clock().now();
    const bool hearsay = message.kind == gossip_kind::sync_reply;
    for (const member_update& update : message.updates)
    {
        const instance_id& id = update.subject.id;
        const member_table::merge_effect effect = table_.merge(update, hearsay, now);
        if (effect == member_table::merge_effect::none)
            continue;
        if (effect == member_table::merge_effect::refuted)
        {
            log_.warning("membership", "refuted a statement about this instance",
                         {{"incarnation", table_.self().life.value()},
                          {"told_by", message.from.value()}});
            continue;
        }
        changed_ = true;
        const member_record& record = *table_.find(id);
        log_state(record);
        // A member that was cut off may know others that are back as well.
        if (effect == member_table::merge_effect::returned && id == message.from)
            start_sync(record.info.gossip);
        if (record.claim != standing::suspected)
            continue;
        watch_suspicions();
        // A suspicion from hearsay has no other member that asks the suspect.
        if (hearsay)
            ping(record.info, next_sequence_++);
    }
}

void membership::implementation::note_sender(const gossip_address& from,
                                             const gossip_message& message)
{
    const member_record* sender = table_.note_table(message.from, message.table);
    // A member that knows us but that we do not know may know others that we lack.
    if (sender == nullptr)
        return start_sync(from);
    if (message.table <= newest_table_)
        return;
    newest_table_ = message.table;
    if (table_handler)
        table_handler(sender->info);
}

void membership::implementation::on_ack(const gossip_message& message)
{
    if (probe_ && message.sequence == probe_->sequence &&
        message.target == probe_->target)
    {
        probe_.reset();
        probe_timer_.reset();
    }
    const auto waiting = relays_.find(message.sequence);
    if (waiting == relays_.end())
        return;
    const relay back = waiting->second;
    relays_.erase(waiting);
    gossip_message forwarded = make(gossip_kind::ack, back.sequence);
    forwarded.target = message.target;
    send(back.requester, std::move(forwarded), {message.target});
}

void membership::implementation::on_ping_request(const gossip_address& from,
                                                 const gossip_message& message)
{
    if (relays_.size() >= most_relays)
        return;
    const std::uint32_t sequence = next_sequence_++;
    relays_[sequence] = relay{from, message.sequence, loop_.clock().now()};
    gossip_message request = make(gossip_kind::ping, sequence);
    request.target = message.target;
    send(message.target_at, std::move(request), {message.target});
}

gossip_message membership::implementation::make(gossip_kind kind,
                                                std::uint32_t sequence) const
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.from = table_.self().id;
    message.life = table_.self().life;
    message.table = table_.self().table;
    return message;
}

std::size_t membership::implementation::room_in(const gossip_message& message) const
{
    const std::size_t used = encode_gossip(message).size();
    return settings_.most_datagram_bytes - std::min(settings_.most_datagram_bytes, used);
}

void membership::implementation::send(const gossip_address& to, gossip_message message,
                                      std::initializer_list<instance_id> about)
{
    std::size_t room = room_in(message);
    for (const instance_id& id : about)
    {
        const member_record* record = table_.find(id);
        if (record == nullptr)
            continue;
        // Whoever is talked about must learn what is wrong to be able to refute it.
        if (record->claim == standing::alive && id != table_.self().id)
            continue;
        member_update update = member_table::update_of(*record);
        room -= std::min(room, encoded_size(update));
        message.updates.push_back(std::move(update));
    }
    for (member_update& update :
         table_.take_news(room, most_updates - message.updates.size()))
        message.updates.push_back(std::move(update));
    channel_.send(to, encode_gossip(message));
}

void membership::implementation::ping(const member& target, std::uint32_t sequence)
{
    gossip_message message = make(gossip_kind::ping, sequence);
    message.target = target.id;
    send(target.gossip, std::move(message), {target.id});
}

void membership::implementation::log_state(const member_record& record) const
{
    log_.info("membership", "member state",
              {{"member", record.info.id.value()},
               {"state", name_of(record.info.state)},
               {"incarnation", record.info.life.value()}});
}

void membership::implementation::notify()
{
    if (!std::exchange(changed_, false))
        return;
    if (change_handler)
        change_handler();
}

membership::membership(event_loop& loop, datagram_channel& channel, const logger& log,
                       options settings)
    : implementation_(
          std::make_unique<implementation>(loop, channel, log, std::move(settings)))
{
}

membership::~membership() = default;

void membership::start()
{
    implementation_->start();
}

void membership::announce_leaving()
{
    implementation_->announce_leaving();
}

void membership::set_table_version(table_version version)
{
    implementation_->set_table_version(version);
}

void membership::add_seeds(const std::vector<gossip_address>& seeds)
{
    implementation_->add_seeds(seeds);
}

const member& membership::self() const
{
    return implementation_->table().self();
}

std::vector<member> membership::members() const
{
    std::vector<member> list;
    for (const auto& [id, record] : implementation_->table().records())
        if (record.claim != standing::dead)
            list.push_back(record.info);
    return list;
}

std::vector<instance_id> membership::candidates() const
{
    std::vector<instance_id> list;
    for (const auto& [id, record] : implementation_->table().records())
        if (record.claim != standing::dead && !record.leaving)
            list.push_back(id);
    return list;
}

const member* membership::find(const instance_id& id) const
{
    const member_record* record = implementation_->table().find(id);
    return record == nullptr ? nullptr : &record->info;
}

void membership::on_change(std::function<void()> handler)
{
    implementation_->change_handler = std::move(handler);
}

void membership::on_newer_table(std::function<void(const member& from)> handler)
{
    implementation_->table_handler = std::move(handler);
}

boot_time membership::last_contact() const
{
    return implementation_->last_contact;
}

std::uint64_t membership::malformed_datagrams() const
{
    return implementation_->malformed;
}

} // namespace hawthornbeam
