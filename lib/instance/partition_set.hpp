/// \file
/// Which job partitions this instance owns, and their journals and inventories.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_PARTITION_SET_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_PARTITION_SET_HPP

#include "hawthornbeam/journal/journal.hpp"
#include "lib/instance/fleet.hpp"

namespace hawthornbeam
{

/// The instance that should own \p partition; empty when there is no candidate.
instance_id partition_owner_of(const membership& members, partition_id partition);

/// Claims partitions, takes their inventories and gives them up.
class partition_set
{
public:
    /// Learns what happens to partitions.
    class observer
    {
    public:
        virtual ~observer() = default;
        /// The claim succeeded; \p jobs comes from the journal.
        virtual void on_claimed(partition_id partition,
                                const std::vector<journaled_job>& jobs) = 0;
        /// A round of the inventory begins.
        virtual void on_inventory_begun(partition_id partition) = 0;
        /// One slice owner's answer to the inventory.
        virtual void on_inventory(partition_id partition, const instance_id& from,
                                  const wire::inventory_reply& reply) = 0;
        /// All slices have been covered: what was not found does not run.
        virtual void on_inventory_complete(partition_id partition) = 0;
        /// Another instance owns the partition now, or it was given up.
        virtual void on_lost(partition_id partition) = 0;
        /// The claim was confirmed; tasks may be started again.
        virtual void on_confirmed(partition_id partition) = 0;
    };

    partition_set(context& shared, fleet& hosts, observer& watcher);
    ~partition_set();

    /// Claims and gives up partitions so that they match the member list.
    void follow_assignment();
    /// Takes the inventory of all owned partitions again, after a slice owner was lost.
    void repeat_inventories();
    void repeat_inventory(partition_id partition);
    /// A slice owner knows a higher epoch than this instance's.
    void fenced(partition_id partition, epoch known);
    /// Reads all claims again, after others have taken this instance for dead. Until a
    /// claim is confirmed, no task of its partition is started.
    void confirm_all();
    /// Gives up all partitions and claims those again that are still assigned here; for a
    /// process that has been paused and cannot know what it still owns.
    void claim_anew();
    /// Gives all partitions up.
    void leave(std::function<void()> done);

    /// True when the partition is owned and its first inventory is complete.
    bool is_active(partition_id partition) const;
    /// True when owned, active or not yet.
    bool is_owned(partition_id partition) const;
    /// True when owned and not waiting for a confirmation of the claim.
    bool may_start(partition_id partition) const;
    epoch epoch_of(partition_id partition) const;
    /// Number of the next start request of an owned partition.
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
        std::uint64_t sequence = 0; ///< Of the last start request.
        std::uint64_t fenced = 0;   ///< Sequence that the running inventory fences.
        /// Counts inventories; answers to an earlier one are ignored.
        std::uint64_t round = 0;
        std::set<slice_id> covered;
        timer_handle retry;
        timer_handle confirm_retry;
    };

    entry& at(partition_id partition);
    void claim(partition_id partition);
    void claim_later(partition_id partition);
    void give_up(partition_id partition);
    void confirm(partition_id partition);
    void begin_inventory(partition_id partition);
    void ask_for_inventory(partition_id partition);
    void inventory_answered(partition_id partition, std::uint64_t round,
                            const instance_id& from, const wire::inventory_reply& reply);
    void check_coverage(partition_id partition);

    context& shared_;
    fleet& fleet_;
    observer& watcher_;
    std::map<partition_id, entry> entries_;
    /// Journals whose release is in flight.
    std::map<std::uint64_t, std::unique_ptr<partition_journal>> releasing_;
    std::uint64_t next_release_ = 0;
    std::size_t claims_in_flight_ = 0;
    /// Claims in a row that the key-value service did not answer.
    unsigned unanswered_claims_ = 0;
    bool leaving_ = false;
    std::function<void()> left_;
};

} // namespace hawthornbeam

#endif
