/// \file
/// Asynchronous claim of a partition with retries.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_CLAIM_RUN_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_CLAIM_RUN_HPP

#include "head_write.hpp"
#include "partition_state.hpp"

namespace hawthornbeam
{

/// A stored value that the head does not reference and that can be deleted.
struct unreferenced_value
{
    std::string key;
    kv_revision revision;
};

/// Journal contents after a successful claim.
struct claimed_journal
{
    journal_form::stored_head head;
    kv_revision revision;
    partition_state state;
    std::map<std::string, kv_revision> values; ///< Revisions of the values that the
                                               ///< head references, by key.
    std::vector<unreferenced_value> unreferenced_values;
};

/// Lists the journal and replaces the head by one with the next epoch, using
/// compare-and-swap. Destroying the object abandons the claim.
class claim_run : public std::enable_shared_from_this<claim_run>
{
public:
    claim_run(head_write::call_context context, instance_id self, std::string change,
              std::function<void(result<claimed_journal>)> done);

    void start();

private:
    void handle_list(const std::vector<kv_entry>& entries);
    result<claimed_journal> read_journal(const std::vector<kv_entry>& entries) const;
    void write(claimed_journal read);
    void handle_write(const result<kv_revision>& answer, claimed_journal& journal);
    void schedule_retry(const error& cause);
    void finish(result<claimed_journal> outcome);

    head_write::call_context context_;
    instance_id self_;
    std::string change_;
    std::function<void(result<claimed_journal>)> done_;
    int attempts_ = 0;
    bool may_be_written_ = false;
    std::optional<std::uint64_t> former_epoch_; ///< Epoch at the first read.
    duration back_off_;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
