/// \file
/// The workers of the host list and who should own them.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_FLEET_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_FLEET_HPP

#include "lib/instance/context.hpp"

#include <deque>
#include <map>
#include <set>

namespace hawthornbeam
{

/// The workers of one instance as rendezvous hashing assigns them.
struct owner_share
{
    instance_id owner;
    resources capacity;
    std::vector<resources> shapes; ///< Distinct capacities of its workers.

    /// True when some worker can hold \p size while it is empty.
    bool can_hold(const resources& size) const;
    /// Upper bound of how many tasks of \p size its workers hold.
    std::uint64_t max_tasks(const resources& size) const;
};

/// Polls the host list and keeps the last answer while the list is away.
class fleet
{
public:
    explicit fleet(context& shared);

    void start();
    void on_change(std::function<void()> handler) { changed_ = std::move(handler); }

    /// True once the host list has answered.
    bool is_known() const { return known_; }
    const std::map<worker_id, host_entry>& workers() const { return workers_; }
    const std::set<slice_id>& slices() const { return slices_; }
    /// The instance that should own \p slice: of its failure domain when one lives there.
    instance_id owner_of(const slice_id& slice) const;
    /// Shares of all instances; recomputed after a change of workers or members.
    const std::vector<owner_share>& shares() const { return shares_; }
    resources capacity() const { return capacity_; }
    /// True when no worker of the fleet can ever hold \p size; false while unknown.
    bool is_impossible(const resources& size) const;
    /// The component-wise maximum over all workers.
    resources largest_worker() const { return largest_; }

    bool contains(const worker_id& worker) const { return workers_.contains(worker); }
    /// True when a worker left the list while the instance that owned it was lost too, so
    /// that nobody has reported what ran there. Remembered for ten minutes.
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
    std::function<void()> changed_;
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
