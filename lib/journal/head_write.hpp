/// \file
/// One compare-and-swap of a journal's head, resolved to a known outcome.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_HEAD_WRITE_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_HEAD_WRITE_HPP

#include "stored_form.hpp"

namespace hawthornbeam
{

/// What a write of the head led to.
enum class head_outcome
{
    written,
    refused,      ///< Known not to be written; may be tried again.
    fenced,       ///< Another instance has claimed; known not to be written.
    fenced_after, ///< Another instance has claimed and found this write.
    lost          ///< The head does not tell whether it was written.
};

struct head_result
{
    head_outcome what = head_outcome::lost;
    kv_revision revision; ///< Of the head when written.
    std::string message;  ///< Why it was refused or lost.
};

/// Whether an error says that a write did not take effect.
bool is_known_not_applied(const error& failure);

/// Writes a head once. After an unknown outcome it reads the head back; while the head is
/// unchanged the write may still be on its way, so it is repeated with the same change id
/// until the revision has moved. Dropping the object abandons it.
class head_write : public std::enable_shared_from_this<head_write>
{
public:
    struct environment
    {
        kv_service& kv;
        event_loop& loop;
        random_source& random;
        partition_id partition;
        duration min_back_off{};
        duration max_back_off{};
        /// Called after each call with its success.
        std::function<void(bool)> answered;
        /// Called before each call.
        std::function<void()> calling;
    };

    head_write(environment around, journal_form::stored_head next, kv_revision expected,
               std::function<void(head_result)> done);

    void start();
    /// True after an answer was lost and before the outcome is known.
    bool is_unresolved() const { return maybe_written_; }
    const journal_form::stored_head& next() const { return next_; }

private:
    void written(const result<kv_revision>& answer);
    void read_back();
    void compare(const std::optional<kv_entry>& entry);
    void compare_owner(const journal_form::stored_head& found);
    void later();
    void finish(head_outcome what, kv_revision revision, std::string message);

    environment around_;
    journal_form::stored_head next_;
    std::string value_;
    kv_revision expected_;
    std::function<void(head_result)> done_;
    bool maybe_written_ = false;
    duration back_off_;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
