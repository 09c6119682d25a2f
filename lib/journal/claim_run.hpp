/// \file
/// A claim of a partition, from its first read to its outcome.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_CLAIM_RUN_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_CLAIM_RUN_HPP

#include "head_write.hpp"
#include "partition_state.hpp"

namespace hawthornbeam
{

/// A value that no head names any more.
struct leftover_value
{
    std::string key;
    kv_revision revision;
};

/// What a successful claim leaves to the journal.
struct claimed_journal
{
    journal_form::stored_head head;
    kv_revision revision;
    partition_state state;
    std::map<std::string, kv_revision> values; ///< Named values with their revisions.
    std::vector<leftover_value> leftovers;
};

/// Lists the journal and swaps the head for one with the next epoch. Dropping the object
/// abandons the claim.
class claim_run : public std::enable_shared_from_this<claim_run>
{
public:
    claim_run(head_write::environment around, instance_id self, std::string change,
              std::function<void(result<claimed_journal>)> done);

    void start();

private:
    void listed(const std::vector<kv_entry>& entries);
    result<claimed_journal> read_journal(const std::vector<kv_entry>& entries) const;
    void write(claimed_journal read);
    void written(const result<kv_revision>& answer, claimed_journal& journal);
    void try_again(const error& cause);
    void finish(result<claimed_journal> outcome);

    head_write::environment around_;
    instance_id self_;
    std::string change_;
    std::function<void(result<claimed_journal>)> done_;
    int attempts_ = 0;
    bool maybe_written_ = false;
    std::optional<std::uint64_t> former_epoch_; ///< Of the first read.
    duration back_off_;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
