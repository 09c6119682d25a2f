/// \file
/// The member list: what is known of each instance and which news is still to be spread.
#ifndef HAWTHORNBEAM_LIB_MEMBERSHIP_MEMBER_TABLE_HPP
#define HAWTHORNBEAM_LIB_MEMBERSHIP_MEMBER_TABLE_HPP

#include "gossip.hpp"

#include <map>

namespace hawthornbeam
{

/// What is known of one instance.
struct member_record
{
    member info; ///< With the state that callers see.
    standing claim = standing::alive;
    bool leaving = false;
    bool probed_here = false; ///< Suspected because our own probe failed.
    boot_time since{};        ///< When it became suspected or dead.
};

/// Merges statements by incarnation and standing. No I/O.
class member_table
{
public:
    enum class merge_effect
    {
        none,
        changed,  ///< The record changed.
        returned, ///< A dead member is alive again.
        refuted   ///< The statement was about this instance and was contradicted.
    };

    explicit member_table(const member& self);

    /// Merges \p update. A death that is only \p hearsay, from a full-state exchange, is
    /// taken as a suspicion, because the member may be alive on this side of a network
    /// partition.
    merge_effect merge(const member_update& update, bool hearsay, boot_time now);
    /// Marks as suspected after a failed probe of our own. False when it is not alive.
    bool suspect(const instance_id& id, boot_time now);
    void declare_dead(const instance_id& id, boot_time now);
    /// Restarts the time of all suspicions.
    void restart_suspicions(boot_time now);
    /// Removes members dead since before \p limit.
    void forget_dead(boot_time limit);
    void announce_leaving();

    /// Records the table version that a member reported; nullptr for unknown members.
    const member_record* note_table(const instance_id& id, table_version version);
    void set_own_table(table_version version);

    const member& self() const { return records_.at(self_).info; }
    const member_record* find(const instance_id& id) const;
    const std::map<instance_id, member_record>& records() const { return records_; }
    /// Members that are not dead, this one included.
    std::size_t live_count() const { return live_; }
    std::size_t suspected_count() const { return suspected_; }
    /// Equal for equal sets of (id, incarnation) of members that are not dead.
    std::uint64_t digest() const { return digest_; }

    /// The statement to send about \p record.
    static member_update update_of(const member_record& record);
    /// News to send, least often sent first, in at most \p bytes; each item is sent a
    /// number of times that grows with the logarithm of the number of members.
    std::vector<member_update> take_news(std::size_t bytes, std::size_t most);

private:
    merge_effect merge_self(const member_update& update);
    void change(member_record& record, standing claim, boot_time now);
    void uncount(const member_record& record);
    void count(const member_record& record);
    void spread(const instance_id& id) { news_[id] = 0; }

    instance_id self_;
    std::map<instance_id, member_record> records_;
    /// How often the news of a member has been sent.
    std::map<instance_id, unsigned> news_;
    std::size_t live_ = 0;
    std::size_t suspected_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace hawthornbeam

#endif
