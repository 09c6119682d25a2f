/// \file
/// The member list and the queue of updates that are still to be sent.
#ifndef HAWTHORNBEAM_LIB_MEMBERSHIP_MEMBER_TABLE_HPP
#define HAWTHORNBEAM_LIB_MEMBERSHIP_MEMBER_TABLE_HPP

#include "gossip.hpp"

#include <map>

namespace hawthornbeam
{

/// Status of one instance in the member list.
struct member_record
{
    member info; ///< Includes the state reported to callers.
    liveness status = liveness::alive;
    bool leaving = false;
    bool own_probe_failed = false; ///< Suspected after a probe by this instance failed.
    boot_time status_since{}; ///< When the status was set or the suspicion restarted.
};

/// Merges updates by incarnation and status. Does no I/O.
class member_table
{
public:
    enum class merge_effect
    {
        none,
        changed, ///< The record changed.
        revived, ///< A dead member is alive again.
        refuted  ///< An update about this instance was overridden by a new incarnation.
    };

    explicit member_table(const member& self);

    /// Merges \p update. A death reported by a full sync (\p from_sync) is treated as a
    /// suspicion, because the member may be alive on this side of a network partition.
    merge_effect merge(const member_update& update, bool from_sync, boot_time now);
    /// Marks \p id as suspected after a probe by this instance failed. Returns false if
    /// the member is unknown or dead.
    bool suspect(const instance_id& id, boot_time now);
    void declare_dead(const instance_id& id, boot_time now);
    /// Restarts the suspicion timeout of all suspected members.
    void restart_suspicions(boot_time now);
    /// Removes members that were declared dead before \p limit.
    void forget_dead(boot_time limit);
    void announce_leaving();

    /// Records the table version that \p id reported; returns nullptr for unknown
    /// members.
    const member_record* record_table_version(const instance_id& id,
                                              table_version version);
    void set_own_table_version(table_version version);

    const member& self() const { return records_.at(self_id_).info; }
    const member_record* find(const instance_id& id) const;
    const std::map<instance_id, member_record>& records() const { return records_; }
    /// Number of members that are not dead, including this instance.
    std::size_t live_count() const { return live_count_; }
    std::size_t suspected_count() const { return suspected_count_; }
    /// Digest of the (id, incarnation) pairs of all members that are not dead. Equal sets
    /// have equal digests.
    std::uint64_t digest() const { return digest_; }

    /// Returns the update to send about \p record.
    static member_update update_of(const member_record& record);
    /// Returns the next pending updates to send, least often sent first, limited to
    /// \p bytes and \p max_count. Each update is sent a number of times that grows with
    /// the logarithm of the number of members.
    std::vector<member_update> take_updates(std::size_t bytes, std::size_t max_count);

private:
    merge_effect merge_self(const member_update& update);
    void set_status(member_record& record, liveness status, boot_time now);
    void remove_from_counts(const member_record& record);
    void add_to_counts(const member_record& record);
    void enqueue_update(const instance_id& id) { send_counts_[id] = 0; }

    instance_id self_id_;
    std::map<instance_id, member_record> records_;
    /// Pending updates: number of times the update about each member has been sent.
    std::map<instance_id, unsigned> send_counts_;
    std::size_t live_count_ = 0;
    std::size_t suspected_count_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace hawthornbeam

#endif
