/// \file
/// Polling of the host list and assignment of slices to instances.
#include "lib/instance/fleet.hpp"

#include "hawthornbeam/membership/rendezvous.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

constexpr duration unaccounted_loss_retention = std::chrono::minutes(10);

std::int64_t quotient(std::int64_t capacity, std::int64_t size)
{
    return size <= 0 ? std::numeric_limits<std::int64_t>::max() : capacity / size;
}

bool same_host(const host_entry& a, const host_entry& b)
{
    return a.address == b.address && a.failure_domain == b.failure_domain &&
           a.rack == b.rack && a.capacity == b.capacity && a.leaving == b.leaving;
}

} // namespace

slice_id slice_of(const host_entry& host)
{
    return make_slice_id(host.failure_domain, host.rack);
}

bool owner_share::can_hold(const resources& size) const
{
    return std::any_of(shapes.begin(), shapes.end(),
                       [&](const resources& shape) { return size.fits_in(shape); });
}

std::uint64_t owner_share::max_tasks(const resources& size) const
{
    const std::int64_t max_count =
        std::min({quotient(capacity.processors.value(), size.processors.value()),
                  quotient(capacity.memory.value(), size.memory.value()),
                  quotient(capacity.accelerators.value(), size.accelerators.value())});
    return static_cast<std::uint64_t>(std::max<std::int64_t>(max_count, 0));
}

fleet::fleet(context& shared) : shared_(shared) {}

void fleet::start()
{
    poll();
    timer_ =
        shared_.parts.loop.every(shared_.options.host_list_period, [this] { poll(); });
}

void fleet::poll()
{
    if (polling_)
        return;
    polling_ = true;
    shared_.parts.hosts.list(shared_.guarded(
        [this](result<std::vector<host_entry>> hosts)
        {
            polling_ = false;
            if (!hosts)
            {
                shared_.parts.log.debug("fleet", "the host list did not answer",
                                        {{"error", hosts.error().message}});
                return;
            }
            install(hosts.value());
        }));
}

void fleet::install(const std::vector<host_entry>& hosts)
{
    std::map<worker_id, host_entry> next;
    for (const host_entry& host : hosts)
        next.emplace(host.id, host);
    const bool unchanged =
        known_ && next.size() == workers_.size() &&
        std::equal(next.begin(), next.end(), workers_.begin(),
                   [](const auto& a, const auto& b)
                   { return a.first == b.first && same_host(a.second, b.second); });
    if (unchanged)
        return;
    for (const auto& [id, host] : workers_)
        if (!next.contains(id))
            record_removed(host);
    known_ = true;
    workers_ = std::move(next);
    slices_.clear();
    capacity_ = resources();
    largest_ = resources();
    for (const auto& [id, host] : workers_)
    {
        slices_.insert(slice_of(host));
        capacity_ += host.capacity;
        largest_ = component_max(largest_, host.capacity);
    }
    assign_owners();
    if (change_handler_)
        change_handler_();
}

void fleet::record_removed(const host_entry& host)
{
    const member* owner = shared_.parts.members.find(owner_of(slice_of(host)));
    removed_worker removed;
    if (owner != nullptr)
        removed = removed_worker{owner->id, owner->incarnation_number, boot_time()};
    removed.at = shared_.now();
    removed_.push_back(removed);
    while (shared_.now() - removed_.front().at > unaccounted_loss_retention)
        removed_.pop_front();
}

bool fleet::has_unaccounted_loss() const
{
    return std::any_of(
        removed_.begin(), removed_.end(),
        [this](const removed_worker& removed)
        {
            const member* owner = shared_.parts.members.find(removed.owner);
            const bool is_recent =
                shared_.now() - removed.at <= unaccounted_loss_retention;
            return is_recent && (owner == nullptr ||
                                 owner->incarnation_number != removed.owner_incarnation);
        });
}

void fleet::members_changed()
{
    assign_owners();
    if (known_ && change_handler_)
        change_handler_();
}

instance_id fleet::owner_of(const slice_id& slice) const
{
    const auto found = owners_.find(slice);
    return found == owners_.end() ? instance_id() : found->second;
}

void fleet::assign_owners()
{
    std::map<failure_domain_id, std::vector<instance_id>> candidates_by_domain;
    const std::vector<instance_id> candidates = shared_.parts.members.candidates();
    for (const instance_id& id : candidates)
    {
        const member* candidate = shared_.parts.members.find(id);
        if (candidate != nullptr)
            candidates_by_domain[candidate->failure_domain].push_back(id);
    }
    owners_.clear();
    std::map<instance_id, owner_share> shares;
    for (const auto& [id, host] : workers_)
    {
        const slice_id slice = slice_of(host);
        if (!owners_.contains(slice))
        {
            const auto local = candidates_by_domain.find(host.failure_domain);
            owners_[slice] = rendezvous_owner(
                "slice/" + slice.value(),
                local == candidates_by_domain.end() ? candidates : local->second);
        }
        const instance_id& owner = owners_[slice];
        if (owner.empty() || host.leaving)
            continue;
        owner_share& share = shares[owner];
        share.owner = owner;
        share.capacity += host.capacity;
        if (std::find(share.shapes.begin(), share.shapes.end(), host.capacity) ==
            share.shapes.end())
            share.shapes.push_back(host.capacity);
    }
    shares_.clear();
    for (const auto& [owner, share] : shares)
        shares_.push_back(share);
}

bool fleet::is_impossible(const resources& size) const
{
    if (!known_ || workers_.empty())
        return false;
    return std::none_of(workers_.begin(), workers_.end(),
                        [&](const auto& worker)
                        { return size.fits_in(worker.second.capacity); });
}

} // namespace hawthornbeam
