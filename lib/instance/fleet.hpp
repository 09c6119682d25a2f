/// \file
/// The workers of the host list and their assignment to instances.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_FLEET_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_FLEET_HPP

#include "lib/instance/context.hpp"

#include <deque>
#include <map>
#include <set>

namespace hawthornbeam
{

/// Capacity of the workers that rendezvous hashing assigns to one instance.
struct owner_share
{
    instance_id owner;
    resources capacity;
    std::vector<resources> shapes; ///< Distinct capacities of its workers.

    /// True when at least one worker has a total capacity of \p size or more.
    bool can_hold(const resources& size) const;
    /// Upper bound on the number of tasks of \p size that fit on the workers together.
    std::uint64_t max_tasks(const resources& size) const;
};

/// Polls the host list, keeps the last response while the list is unavailable, and
/// assigns slices to instances.
class fleet
{
public:
    explicit fleet(context& shared);

    void start();
    void on_change(std::function<void()> handler)
    {
        change_handler_ = std::move(handler);
    }

    /// True once a host list has been received.
    bool is_known() const { return known_; }
    const std::map<worker_id, host_entry>& workers() const { return workers_; }
    const std::set<slice_id>& slices() const { return slices_; }
    /// The instance that should own \p slice. Instances in the failure domain of the
    /// slice take precedence over others.
    instance_id owner_of(const slice_id& slice) const;
    /// Shares of all instances; recomputed when workers or members change.
    const std::vector<owner_share>& shares() const { return shares_; }
    resources capacity() const { return capacity_; }
    /// True when \p size exceeds the capacity of every worker; false until a host list
    /// has been received.
    bool is_impossible(const resources& size) const;
    /// The component-wise maximum over all workers.
    resources largest_worker() const { return largest_; }

    bool contains(const worker_id& worker) const { return workers_.contains(worker); }
    /// True when a worker left the host list and the instance that owned it was lost as
    /// well, so that no instance has reported the tasks of that worker. Such losses are
    /// remembered for ten minutes.
    bool has_unaccounted_loss() const;

    /// Recomputes owners after the member list has changed.
    void members_changed();

private:
    void poll();
    void install(const std::vector<host_entry>& hosts);
    void assign_owners();
    void record_removed(const host_entry& host);

    struct removed_worker
    {
        instance_id owner;
        incarnation owner_incarnation;
        boot_time at{};
    };

    context& shared_;
    std::function<void()> change_handler_;
    std::map<worker_id, host_entry> workers_;
    std::set<slice_id> slices_;
    std::map<slice_id, instance_id> owners_;
    std::vector<owner_share> shares_;
    std::deque<removed_worker> removed_;
    resources capacity_;
    resources largest_;
    bool known_ = false;
    bool polling_ = false;
    timer_handle timer_;
};

/// The slice of \p host.
slice_id slice_of(const host_entry& host);

} // namespace hawthornbeam

#endif
