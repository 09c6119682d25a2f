/// \file
/// Claim of a cell: lease, renewal and takeover.
#include "hawthornbeam/cell/claim.hpp"

#include "hawthornbeam/cell/prefix_follower.hpp"
#include "stored_form.hpp"

#include <cassert>

namespace hawthornbeam::cell
{

namespace
{

/// Time to live of the claim without renewal. A takeover starts when it expires; the
/// minimum that the store allows is 1 s.
constexpr duration claim_lease_duration = std::chrono::milliseconds(1200);
constexpr duration renewal_period = std::chrono::milliseconds(300);
/// Maximum duration of a watch of the claim without changes. Its answers also show that
/// the store can be reached.
constexpr duration watch_wait = std::chrono::milliseconds(1000);
/// When there is no claim, each instance waits a random time up to this limit.
constexpr duration max_claim_jitter = std::chrono::milliseconds(80);
/// Additional delay of the smallest hosts: longer than the largest host needs to detect
/// that the cell has no claim and to claim it.
constexpr duration small_host_delay = std::chrono::milliseconds(400);
/// Other instances delay their claims for this long after a message from the owner, so
/// that it can restore its own claim.
constexpr duration owner_message_delay = std::chrono::milliseconds(1200);

} // namespace

class claim::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& given_loop, cell_store& given_store,
                   random_source& given_random, const logger& given_log,
                   owner_identity identity, events given_handlers)
        : loop(given_loop), store(given_store), random(given_random), log(given_log),
          self(std::move(identity)), handlers(std::move(given_handlers))
    {
    }

    template <class T>
    std::function<void(result<T>)> guarded(void (implementation::*step)(result<T>))
    {
        return [weak = weak_from_this(), step](result<T> answer)
        {
            const std::shared_ptr<implementation> target = weak.lock();
            if (target)
                (target.get()->*step)(std::move(answer));
        };
    }

    void follow();
    void handle_listing(const store_listing& listing);
    void handle_changes(const std::vector<store_event>& events);
    void handle_claim_key(const std::optional<store_item>& item);
    /// Reads the term of the latest claim.
    void handle_term(const store_item& item);
    void set_owner(const owner_identity& shown);
    void on_owner_stopped(fence_token token, const char* reason);
    bool may_replace() const
    {
        return !owning && current && stopped_owner != fence_token() &&
               stopped_owner == current->token;
    }
    void schedule_claim();
    void begin_claim();
    void handle_lease(result<lease_id> answer);
    /// Handles the answer to a claim with a lease that was sent then.
    void handle_commit(const result<store_commit>& answer, lease_id attempted,
                       boot_time sent);
    /// Learns of the claim that made an attempt of this instance fail.
    void handle_conflicts(const std::vector<store_item>& current);
    void on_acquired(kv_revision revision);
    void step_down(const char* reason);
    void remove_claim(const char* reason);
    void renew();
    void handle_renewal(const result<bool>& answer, lease_id renewed, boot_time sent);

    event_loop& loop;
    cell_store& store;
    random_source& random;
    const logger& log;
    owner_identity self;
    events handlers;

    std::optional<owner_identity> current;
    bool owning = false;
    bool enabled = false; ///< See enable().
    bool released = false;
    bool claiming = false;
    boot_time confirmed_at{};   ///< See claim::confirmed_at().
    lease_id lease;             ///< Of the own claim.
    kv_revision own_last_claim; ///< Own latest claim; none after stepping down.
    kv_revision latest_claim;   ///< Latest claim of any instance.
    owner_term latest_term;     ///< Of latest_claim.
    kv_revision term_revision;  ///< Of the record of latest_term; zero if there is none.
    /// Value of latest_claim when the commit was sent.
    kv_revision expected_latest_claim;
    bool is_free = false;      ///< No claim in the store at the last read.
    fence_token stopped_owner; ///< Token of a stopped owner whose claim remains.
    double relative_size = 1;  ///< Size of this host relative to the largest.
    std::optional<prefix_follower> follower;
    std::optional<boot_time> owner_message_at; ///< Empty after the owner has stopped.
    /// Set by a resignation so that other instances claim first.
    boot_time claim_not_before{};
    timer_handle claim_timer;
    timer_handle renewal_timer;
};

void claim::implementation::follow()
{
    follower.emplace(
        loop, store, std::string(owner_key),
        prefix_follower::times{watch_wait, duration::zero()},
        prefix_follower::events{[this](const store_listing& listing)
                                { handle_listing(listing); },
                                [this](const std::vector<store_event>& changes)
                                { handle_changes(changes); }});
    follower->start();
}

void claim::implementation::handle_listing(const store_listing& listing)
{
    std::optional<store_item> claim_item;
    for (const store_item& item : listing.items)
        if (item.key == owner_key)
            claim_item = item;
        else if (item.key == last_claim_key)
            latest_claim = std::max(latest_claim, item.revision);
        else if (item.key == term_key)
            handle_term(item);
    handle_claim_key(claim_item);
}

void claim::implementation::handle_term(const store_item& item)
{
    if (item.revision <= term_revision)
        return;
    term_revision = item.revision;
    const result<owner_term> term = decode_term(item.value);
    if (!term)
        return log.error("claim", "term cannot be read",
                         {{"reason", term.error().message}});
    latest_term = std::max(latest_term, term.value());
}

void claim::implementation::handle_changes(const std::vector<store_event>& changes)
{
    for (const store_event& event : changes)
    {
        if (event.item.key == last_claim_key && !event.removed)
            latest_claim = std::max(latest_claim, event.item.revision);
        if (event.item.key == term_key && !event.removed)
            handle_term(event.item);
        if (event.item.key != owner_key)
            continue;
        handle_claim_key(event.removed ? std::nullopt
                                       : std::optional<store_item>(event.item));
    }
    // Retry in case an earlier attempt to claim has failed.
    if ((is_free || may_replace()) && !claiming)
        schedule_claim();
}

void claim::implementation::handle_claim_key(const std::optional<store_item>& item)
{
    is_free = !item;
    if (!item)
    {
        if (!claiming)
            schedule_claim();
        return;
    }
    const result<owner_record> record = decode_owner(item->value);
    if (!record)
        return log.error("claim", "claim cannot be read",
                         {{"reason", record.error().message}});
    const fence_token token(item->revision.value());
    if (current && current->token >= token)
        return;
    if (record.value().instance != self.instance)
        return set_owner({record.value().instance, record.value().address, token});
    // While owning: the claim was continued, and the answer to that is late or lost.
    lease = item->lease;
    on_acquired(item->revision);
}

void claim::implementation::set_owner(const owner_identity& shown)
{
    current = shown;
    claim_timer.reset();
    if (owning)
        step_down("another instance has claimed the cell");
    log.info("claim", "owner changed",
             {{"owner", current->instance.value()}, {"token", current->token.value()}});
    handlers.changed(current);
    // Two processes cannot listen on the same address, so this claim was written by an
    // earlier process on this host, which has ended.
    if (current && current->address == self.address)
        on_owner_stopped(current->token, "claimed by an earlier process on this host");
}

void claim::implementation::on_owner_stopped(fence_token token, const char* reason)
{
    if (owning || !current || current->token != token || stopped_owner == token)
        return;
    log.info("claim", "owner stopped", {{"token", token.value()}, {"reason", reason}});
    stopped_owner = token;
    owner_message_at.reset();
    if (!claiming)
        schedule_claim();
}

void claim::implementation::schedule_claim()
{
    if (!enabled || released || claiming)
        return;
    const boot_time now = loop.clock().now();
    duration delay = duration::zero();
    if (!owning)
        delay = duration(static_cast<std::int64_t>(
            random.unit() * static_cast<double>(max_claim_jitter.count())));
    if (!owning)
        delay += std::chrono::duration_cast<duration>(small_host_delay *
                                                      (1.0 - relative_size));
    if (!owning && owner_message_at && now - *owner_message_at < owner_message_delay)
        delay += owner_message_delay - (now - *owner_message_at);
    delay = std::max(delay, claim_not_before - now);
    claim_timer = loop.after(delay, [this] { begin_claim(); });
}

void claim::implementation::begin_claim()
{
    if (released || claiming || !(owning || is_free || may_replace()))
        return;
    claiming = true;
    store.grant(claim_lease_duration, guarded(&implementation::handle_lease));
}

void claim::implementation::handle_lease(result<lease_id> answer)
{
    if (!answer)
    {
        claiming = false;
        return;
    }
    const lease_id granted = answer.value();
    expected_latest_claim = latest_claim;
    const kv_revision replaced =
        may_replace() && !is_free ? kv_revision(current->token.value()) : kv_revision();
    const std::string value = encode(owner_record{self.instance, self.address});
    store_transaction change;
    // A claim that is based on an outdated term fails, so that no term is used twice.
    change.expect = {{std::string(owner_key), replaced},
                     {std::string(last_claim_key), expected_latest_claim},
                     {std::string(term_key), term_revision}};
    change.puts = {{std::string(owner_key), value, granted},
                   {std::string(last_claim_key), value, lease_id()},
                   {std::string(term_key), encode(latest_term.next()), lease_id()}};
    store.commit(std::move(change),
                 [weak = weak_from_this(), granted,
                  sent = loop.clock().now()](const result<store_commit>& committed)
                 {
                     const std::shared_ptr<implementation> target = weak.lock();
                     if (target)
                         target->handle_commit(committed, granted, sent);
                 });
}

void claim::implementation::handle_commit(const result<store_commit>& answer,
                                          lease_id attempted, boot_time sent)
{
    claiming = false;
    // If the outcome of the commit is unknown, the watch shows whether it took effect.
    if (!answer)
        return;
    if (!answer.value().committed)
        return handle_conflicts(answer.value().conflicts);
    lease = attempted;
    confirmed_at = std::max(confirmed_at, sent);
    on_acquired(answer.value().revision);
}

void claim::implementation::handle_conflicts(const std::vector<store_item>& current)
{
    std::optional<store_item> claim_item;
    for (const store_item& item : current)
    {
        if (item.revision == kv_revision())
            continue;
        if (item.key == owner_key)
            claim_item = item;
        else if (item.key == last_claim_key)
            latest_claim = std::max(latest_claim, item.revision);
        else if (item.key == term_key)
            handle_term(item);
    }
    if (claim_item)
        handle_claim_key(claim_item);
}

void claim::implementation::on_acquired(kv_revision revision)
{
    if (released)
        return;
    if (current && current->token >= fence_token(revision.value()))
        return;
    const bool continued = owning && own_last_claim != kv_revision() &&
                           expected_latest_claim == own_last_claim;
    if (owning && !continued)
        step_down("another instance owned the cell in between");
    owning = true;
    own_last_claim = revision;
    latest_claim = std::max(latest_claim, revision);
    // The claim's own changes are skipped below.
    if (term_revision < revision)
    {
        latest_term = latest_term.next();
        term_revision = revision;
    }
    is_free = false;
    follower->advance_to(revision);
    current = owner_identity{self.instance, self.address, fence_token(revision.value())};
    log.info("claim", "cell claimed",
             {{"token", revision.value()}, {"continued", continued ? 1 : 0}});
    renewal_timer = loop.every(renewal_period, [this] { renew(); });
    handlers.acquired(current->token, continued);
    handlers.changed(current);
}

void claim::implementation::step_down(const char* reason)
{
    if (!owning)
        return;
    log.warning("claim", "stepped down", {{"reason", reason}});
    owning = false;
    own_last_claim = kv_revision();
    renewal_timer.reset();
    handlers.lost();
}

void claim::implementation::remove_claim(const char* reason)
{
    store_transaction change;
    change.expect = {{std::string(owner_key), kv_revision(current->token.value())}};
    change.removals = {std::string(owner_key)};
    store.commit(std::move(change), [](const result<store_commit>&) {});
    step_down(reason);
}

void claim::implementation::renew()
{
    store.renew(lease,
                [weak = weak_from_this(), renewed = lease,
                 sent = loop.clock().now()](const result<bool>& answer)
                {
                    const std::shared_ptr<implementation> target = weak.lock();
                    if (target)
                        target->handle_renewal(answer, renewed, sent);
                });
}

void claim::implementation::handle_renewal(const result<bool>& answer, lease_id renewed,
                                           boot_time sent)
{
    if (!owning || !answer || renewed != lease)
        return;
    if (answer.value())
    {
        confirmed_at = std::max(confirmed_at, sent);
        return;
    }
    // The lease expired while the store was unavailable or this process was suspended.
    log.warning("claim", "claim lapsed", {});
    if (!claiming)
        begin_claim();
}

claim::claim(event_loop& loop, cell_store& store, random_source& random,
             const logger& log, owner_identity self, events handlers)
    : implementation_(std::make_shared<implementation>(
          loop, store, random, log, std::move(self), std::move(handlers)))
{
}

claim::~claim() = default;

void claim::start()
{
    implementation_->follow();
}

void claim::enable()
{
    implementation& self = *implementation_;
    if (std::exchange(self.enabled, true))
        return;
    if (self.is_free || self.may_replace())
        self.schedule_claim();
}

void claim::release()
{
    implementation_->released = true;
    if (implementation_->owning)
        implementation_->remove_claim("planned stop");
}

void claim::resign(duration pause, const char* reason)
{
    implementation& self = *implementation_;
    if (!self.owning)
        return;
    self.claim_not_before = self.loop.clock().now() + pause;
    self.remove_claim(reason);
}

void claim::superseded(fence_token higher)
{
    if (implementation_->owning && higher > implementation_->current->token)
    {
        implementation_->step_down("a higher token was received");
        implementation_->current.reset();
    }
}

void claim::on_owner_leaving()
{
    implementation_->owner_message_at.reset();
}

void claim::on_owner_message(const owner_identity& sender)
{
    on_owner_reported(sender);
    implementation& self = *implementation_;
    if (self.stopped_owner != sender.token)
        self.owner_message_at = self.loop.clock().now();
}

void claim::on_owner_reported(const owner_identity& known)
{
    implementation& self = *implementation_;
    if (known.token == fence_token() ||
        (self.current && self.current->token >= known.token))
        return;
    self.is_free = false;
    self.set_owner(known);
}

void claim::set_relative_size(double relative_size)
{
    assert(relative_size > 0 && relative_size <= 1 &&
           "size must be relative to the largest host");
    implementation_->relative_size = relative_size;
}

void claim::on_owner_stopped(fence_token token, const char* reason)
{
    implementation_->on_owner_stopped(token, reason);
}

bool claim::is_owner() const
{
    return implementation_->owning;
}

fence_token claim::token() const
{
    return implementation_->current ? implementation_->current->token : fence_token();
}

boot_time claim::confirmed_at() const
{
    return implementation_->confirmed_at;
}

const std::optional<owner_identity>& claim::owner() const
{
    return implementation_->current;
}

} // namespace hawthornbeam::cell
