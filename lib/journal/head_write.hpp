/// \file
/// Compare-and-swap of a journal's head that determines the outcome of lost answers.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_HEAD_WRITE_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_HEAD_WRITE_HPP

#include "stored_form.hpp"

namespace hawthornbeam
{

/// Outcome of a write of the head.
enum class head_outcome
{
    written,
    not_written,        ///< Known not to be written; a retry is allowed.
    fenced_not_written, ///< Another instance has claimed before this write.
    fenced_written,     ///< Another instance has claimed after it was written.
    unknown             ///< The head does not show whether it was written.
};

struct head_result
{
    head_outcome status = head_outcome::unknown;
    kv_revision revision; ///< New revision of the head if it was written.
    std::string message;  ///< Reason, unless it was written.
};

/// True if \p failure guarantees that the write did not take effect.
bool is_known_not_applied(const error& failure);

/// Writes a head exactly once. After an unknown outcome it reads the head. While the head
/// is unchanged, the write may still be in transit, so it is repeated with the same
/// change id until the revision changes. Destroying the object abandons the write.
class head_write : public std::enable_shared_from_this<head_write>
{
public:
    struct call_context
    {
        kv_service& kv;
        event_loop& loop;
        random_source& random;
        partition_id partition;
        duration min_back_off{};
        duration max_back_off{};
        /// Called after each call to the service, with true if the call succeeded.
        std::function<void(bool)> on_call_finished;
        /// Called before each call to the service.
        std::function<void()> on_call_started;
    };

    head_write(call_context context, journal_form::stored_head next, kv_revision expected,
               std::function<void(head_result)> done);

    void start();
    /// True while the write may have taken effect but its outcome is not known yet.
    bool is_unresolved() const { return may_be_written_; }
    const journal_form::stored_head& next() const { return next_; }

private:
    void handle_write(const result<kv_revision>& answer);
    void read_back();
    void resolve_from_entry(const std::optional<kv_entry>& entry);
    void resolve_from_claims(const journal_form::stored_head& found);
    void schedule_read_back();
    void finish(head_outcome status, kv_revision revision, std::string message);

    call_context context_;
    journal_form::stored_head next_;
    std::string value_;
    kv_revision expected_;
    std::function<void(head_result)> done_;
    bool may_be_written_ = false;
    duration back_off_;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
