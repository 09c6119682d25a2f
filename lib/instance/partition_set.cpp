/// \file
/// Claims, confirmations and inventories of job partitions.
#include "lib/instance/partition_set.hpp"

#include "hawthornbeam/membership/rendezvous.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Limit on concurrent claims, which bounds the load on the key-value service during a
/// takeover.
constexpr std::size_t max_claims_in_flight = 4;
constexpr duration claim_retry = std::chrono::milliseconds(500);
constexpr unsigned max_claim_doublings = 4;
constexpr duration inventory_retry = std::chrono::milliseconds(250);
constexpr duration inventory_deadline = std::chrono::seconds(2);
constexpr double retry_spread = 0.5;

} // namespace

instance_id partition_owner_of(const membership& members, partition_id partition)
{
    return rendezvous_owner(fmt::format("partition/{}", partition.value()),
                            members.candidates());
}

partition_set::partition_set(context& shared, fleet& hosts, observer& watcher)
    : shared_(shared), fleet_(hosts), observer_(watcher)
{
    for (std::uint16_t number = 0; number < shared.options.partitions; ++number)
        entries_[partition_id(number)];
}

partition_set::~partition_set() = default;

partition_set::entry& partition_set::at(partition_id partition)
{
    return entries_.at(partition);
}

void partition_set::follow_assignment()
{
    for (auto& [partition, state] : entries_)
    {
        const bool is_assigned =
            !leaving_ &&
            partition_owner_of(shared_.parts.members, partition) == shared_.options.self;
        if (is_assigned && state.current == phase::unowned)
            claim(partition);
        else if (!is_assigned && state.current != phase::unowned)
            release_partition(partition);
    }
}

void partition_set::claim(partition_id partition)
{
    // During an outage of the key-value service, claims are made one at a time, which is
    // enough to detect its return.
    const std::size_t limit = unanswered_claims_ == 0 ? max_claims_in_flight : 1;
    if (claims_in_flight_ >= limit)
        return schedule_claim(partition);
    entry& state = at(partition);
    state.current = phase::claiming;
    state.retry.reset();
    state.journal = std::make_unique<partition_journal>(
        shared_.parts.kv, shared_.parts.loop, shared_.parts.log,
        partition_journal::options{.partition = partition,
                                   .self = shared_.options.self,
                                   .seed = shared_.random.next(),
                                   .ended_job_retention =
                                       shared_.options.ended_job_retention});
    const std::uint64_t round = ++state.round;
    ++claims_in_flight_;
    state.journal->claim(shared_.guarded(
        [this, partition, round](result<claimed_partition> claimed)
        {
            --claims_in_flight_;
            entry& owned = at(partition);
            if (owned.round != round || owned.current != phase::claiming)
                return;
            if (!claimed)
            {
                shared_.parts.log.warning("partitions", "a claim failed",
                                          {{"partition", partition.value()},
                                           {"error", claimed.error().message}});
                owned.current = phase::unowned;
                if (claimed.error().code != error_code::conflict)
                    ++unanswered_claims_;
                return schedule_claim(partition);
            }
            unanswered_claims_ = 0;
            owned.journal->on_fenced(shared_.guarded(
                [this, partition]
                {
                    shared_.parts.log.warning("partitions", "another instance took over",
                                              {{"partition", partition.value()}});
                    release_partition(partition);
                    schedule_claim(partition);
                }));
            owned.current = phase::taking_inventory;
            observer_.on_claimed(partition, claimed.value().jobs);
            begin_inventory(partition);
        }));
}

void partition_set::schedule_claim(partition_id partition)
{
    const unsigned doublings = std::min(unanswered_claims_, max_claim_doublings);
    at(partition).retry = shared_.parts.loop.after(
        shared_.random.jitter(claim_retry * (1U << doublings), retry_spread),
        [this, partition]
        {
            const bool is_assigned =
                !leaving_ && partition_owner_of(shared_.parts.members, partition) ==
                                 shared_.options.self;
            if (is_assigned && at(partition).current == phase::unowned)
                claim(partition);
        });
}

void partition_set::release_partition(partition_id partition)
{
    entry& state = at(partition);
    if (state.current == phase::unowned)
        return;
    const bool was_owner = state.current != phase::claiming;
    state.current = phase::unowned;
    state.inventory_running = false;
    state.confirming = false;
    state.retry.reset();
    state.confirm_retry.reset();
    ++state.round;
    if (was_owner)
        observer_.on_lost(partition);
    const std::uint64_t number = next_release_++;
    partition_journal& journal = *(releasing_[number] = std::move(state.journal));
    const std::function<void()> finish = shared_.guarded(
        [this, number]
        {
            // The journal must not be destroyed inside its own callback, so this is
            // posted to the loop.
            shared_.parts.loop.post(shared_.guarded(
                [this, number]
                {
                    releasing_.erase(number);
                    if (leaving_ && releasing_.empty() && leave_callback_)
                        std::exchange(leave_callback_, nullptr)();
                }));
        });
    if (journal.is_owner())
        journal.release([finish](result<bool>) { finish(); });
    else
        finish();
}

void partition_set::reclaim_all()
{
    for (const auto& [partition, state] : entries_)
        if (state.current != phase::unowned)
        {
            release_partition(partition);
            schedule_claim(partition);
        }
}

void partition_set::leave(std::function<void()> done)
{
    leaving_ = true;
    leave_callback_ = std::move(done);
    follow_assignment();
    if (releasing_.empty() && leave_callback_)
        std::exchange(leave_callback_, nullptr)();
}

void partition_set::repeat_inventories()
{
    for (const auto& [partition, state] : entries_)
        if (state.current == phase::taking_inventory || state.current == phase::active)
            begin_inventory(partition);
}

void partition_set::repeat_inventory(partition_id partition)
{
    // A round in progress may have queried a slice owner before the task became
    // uncertain, so a new round is started.
    if (is_owned(partition))
        begin_inventory(partition);
}

void partition_set::fenced(partition_id partition, epoch known)
{
    if (!is_owned(partition) || known <= epoch_of(partition))
        return;
    release_partition(partition);
    schedule_claim(partition);
}

void partition_set::confirm_all()
{
    for (auto& [partition, state] : entries_)
    {
        if (!is_owned(partition) || state.confirming)
            continue;
        state.confirming = true;
        confirm(partition);
    }
}

void partition_set::confirm(partition_id partition)
{
    entry& state = at(partition);
    const epoch claimed = state.journal->owner_epoch();
    state.journal->confirm(shared_.guarded(
        [this, partition, claimed](const result<bool>& confirmed)
        {
            entry& owned = at(partition);
            if (!is_owned(partition) || owned.journal->owner_epoch() != claimed)
                return;
            if (confirmed)
            {
                owned.confirming = false;
                return observer_.on_confirmed(partition);
            }
            // A conflict is handled when the journal reports that it is fenced.
            if (confirmed.error().code == error_code::conflict)
                return;
            owned.confirm_retry = shared_.parts.loop.after(
                shared_.random.jitter(claim_retry, retry_spread),
                [this, partition]
                {
                    if (is_owned(partition) && at(partition).confirming)
                        confirm(partition);
                });
        }));
}

bool partition_set::may_start(partition_id partition) const
{
    return is_owned(partition) && !entries_.at(partition).confirming;
}

void partition_set::begin_inventory(partition_id partition)
{
    entry& state = at(partition);
    ++state.round;
    state.inventory_running = true;
    state.covered.clear();
    state.fenced = state.sequence;
    observer_.on_inventory_begun(partition);
    request_inventory(partition);
}

void partition_set::request_inventory(partition_id partition)
{
    entry& state = at(partition);
    const std::uint64_t round = state.round;
    wire::inventory_request message;
    message.partition = partition;
    message.owner_epoch = state.journal->owner_epoch();
    message.fenced_sequence = state.fenced;
    message.job_owner = shared_.options.self;
    std::set<instance_id> owners;
    for (const slice_id& slice : fleet_.slices())
        if (!state.covered.contains(slice))
            owners.insert(fleet_.owner_of(slice));
    for (const instance_id& owner : owners)
    {
        const member* target = shared_.parts.members.find(owner);
        if (target == nullptr)
            continue;
        shared_.parts.peers.call(
            target->peer, message, inventory_deadline,
            shared_.guarded(
                [this, partition, round, owner](result<wire::reply> answer)
                {
                    const wire::inventory_reply* reply =
                        answer ? std::get_if<wire::inventory_reply>(&answer.value())
                               : nullptr;
                    if (reply != nullptr)
                        handle_inventory_reply(partition, round, owner, *reply);
                }));
    }
    state.retry =
        shared_.parts.loop.after(shared_.random.jitter(inventory_retry, retry_spread),
                                 [this, partition]
                                 {
                                     if (at(partition).inventory_running)
                                         check_coverage(partition);
                                 });
}

void partition_set::handle_inventory_reply(partition_id partition, std::uint64_t round,
                                           const instance_id& from,
                                           const wire::inventory_reply& reply)
{
    entry& state = at(partition);
    if (state.round != round || !state.inventory_running)
        return;
    if (!reply.accepted)
    {
        // The partition has a newer owner, so further appends would fail, too.
        release_partition(partition);
        return schedule_claim(partition);
    }
    state.covered.insert(reply.complete_slices.begin(), reply.complete_slices.end());
    observer_.on_inventory(partition, from, reply);
    const std::set<slice_id>& slices = fleet_.slices();
    if (fleet_.is_known() && std::includes(state.covered.begin(), state.covered.end(),
                                           slices.begin(), slices.end()))
        check_coverage(partition);
}

void partition_set::check_coverage(partition_id partition)
{
    entry& state = at(partition);
    const std::set<slice_id>& slices = fleet_.slices();
    if (!fleet_.is_known() || !std::includes(state.covered.begin(), state.covered.end(),
                                             slices.begin(), slices.end()))
        return request_inventory(partition);
    state.inventory_running = false;
    state.retry.reset();
    state.current = phase::active;
    shared_.parts.log.debug("partitions", "the inventory is complete",
                            {{"partition", partition.value()}});
    observer_.on_inventory_complete(partition);
}

bool partition_set::is_active(partition_id partition) const
{
    return entries_.at(partition).current == phase::active;
}

bool partition_set::is_owned(partition_id partition) const
{
    const phase current = entries_.at(partition).current;
    return current == phase::active || current == phase::taking_inventory;
}

epoch partition_set::epoch_of(partition_id partition) const
{
    return entries_.at(partition).journal->owner_epoch();
}

std::uint64_t partition_set::next_sequence(partition_id partition)
{
    return ++at(partition).sequence;
}

partition_journal& partition_set::journal(partition_id partition)
{
    return *at(partition).journal;
}

std::vector<partition_id> partition_set::owned() const
{
    std::vector<partition_id> owned;
    for (const auto& [partition, state] : entries_)
        if (state.current == phase::active || state.current == phase::taking_inventory)
            owned.push_back(partition);
    return owned;
}

} // namespace hawthornbeam
