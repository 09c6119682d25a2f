/// \file
/// The job partitions owned by an instance, with their journals and inventories.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_PARTITION_SET_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_PARTITION_SET_HPP

#include "hawthornbeam/journal/journal.hpp"
#include "lib/instance/fleet.hpp"

namespace hawthornbeam
{

/// Returns the instance to which \p partition is assigned; empty without candidates.
instance_id partition_owner_of(const membership& members, partition_id partition);

/// Claims job partitions, takes their inventories and releases them.
class partition_set
{
public:
    /// Receives the events of partitions.
    class observer
    {
    public:
        virtual ~observer() = default;
        /// The claim succeeded; \p jobs was read from the journal.
        virtual void on_claimed(partition_id partition,
                                const std::vector<journaled_job>& jobs) = 0;
        /// A new inventory round starts.
        virtual void on_inventory_begun(partition_id partition) = 0;
        /// A slice owner has replied to the inventory request.
        virtual void on_inventory(partition_id partition, const instance_id& from,
                                  const wire::inventory_reply& reply) = 0;
        /// The replies cover all slices: a task that none of them reports is not running.
        virtual void on_inventory_complete(partition_id partition) = 0;
        /// Another instance has claimed the partition, or this one has released it.
        virtual void on_lost(partition_id partition) = 0;
        /// The claim was confirmed; tasks may be started again.
        virtual void on_confirmed(partition_id partition) = 0;
    };

    partition_set(context& shared, fleet& hosts, observer& watcher);
    ~partition_set();

    /// Claims and releases partitions to match their assignment by the member list.
    void follow_assignment();
    /// Repeats the inventory of all owned partitions after the loss of a slice owner.
    void repeat_inventories();
    void repeat_inventory(partition_id partition);
    /// Handles the report of a slice owner that knows a higher epoch of the partition.
    void fenced(partition_id partition, epoch known);
    /// Confirms all claims in the key-value service after peers have marked this instance
    /// dead. No task of a partition is started until its claim is confirmed.
    void confirm_all();
    /// Releases all partitions and claims those that are still assigned to this instance.
    /// Used after a pause of the process, when other instances may have claimed them.
    void reclaim_all();
    /// Releases all partitions; \p done runs once the releases have ended.
    void leave(std::function<void()> done);

    /// Returns true if the partition is owned and its first inventory is complete.
    bool is_active(partition_id partition) const;
    /// Returns true if the partition is owned, whether or not it is active.
    bool is_owned(partition_id partition) const;
    /// Returns true if the partition is owned and its claim needs no confirmation.
    bool may_start(partition_id partition) const;
    epoch epoch_of(partition_id partition) const;
    /// Returns the sequence number for the next start request of an owned partition.
    std::uint64_t next_sequence(partition_id partition);
    partition_journal& journal(partition_id partition);
    std::vector<partition_id> owned() const;

private:
    enum class phase : std::uint8_t
    {
        unowned,
        claiming,
        taking_inventory,
        active
    };
    struct entry
    {
        std::unique_ptr<partition_journal> journal;
        phase current = phase::unowned;
        bool inventory_running = false;
        bool confirming = false;
        std::uint64_t sequence = 0; ///< Number of the last start request.
        std::uint64_t fenced = 0;   ///< Last number fenced by the inventory.
        /// Number of the current inventory round; replies to earlier rounds are ignored.
        std::uint64_t round = 0;
        std::set<slice_id> covered;
        timer_handle retry;
        timer_handle confirm_retry;
    };

    entry& at(partition_id partition);
    void claim(partition_id partition);
    void schedule_claim(partition_id partition);
    void release_partition(partition_id partition);
    void confirm(partition_id partition);
    void begin_inventory(partition_id partition);
    void request_inventory(partition_id partition);
    void handle_inventory_reply(partition_id partition, std::uint64_t round,
                                const instance_id& from,
                                const wire::inventory_reply& reply);
    void check_coverage(partition_id partition);

    context& shared_;
    fleet& fleet_;
    observer& observer_;
    std::map<partition_id, entry> entries_;
    /// Journals whose release is in progress.
    std::map<std::uint64_t, std::unique_ptr<partition_journal>> releasing_;
    std::uint64_t next_release_ = 0;
    std::size_t claims_in_flight_ = 0;
    /// Number of consecutive claims without a reply from the key-value service.
    unsigned unanswered_claims_ = 0;
    bool leaving_ = false;
    std::function<void()> leave_callback_;
};

} // namespace hawthornbeam

#endif
