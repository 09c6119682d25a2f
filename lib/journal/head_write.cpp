/// \file
/// Implements the compare-and-swap of a journal's head.
#include "head_write.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

constexpr double back_off_spread = 0.5;

} // namespace

bool is_known_not_applied(const error& failure)
{
    return failure.code != error_code::outcome_unknown &&
           failure.code != error_code::internal;
}

head_write::head_write(environment around, journal_form::stored_head next,
                       kv_revision expected, std::function<void(head_result)> done)
    : around_(std::move(around)), next_(std::move(next)),
      value_(journal_form::encode_head(next_)), expected_(expected),
      done_(std::move(done)), back_off_(around_.min_back_off)
{
}

void head_write::start()
{
    around_.calling();
    around_.kv.write(kv_cause::journal, journal_form::head_key(around_.partition), value_,
                     expected_,
                     [self = weak_from_this()](result<kv_revision> answer)
                     {
                         if (const std::shared_ptr<head_write> write = self.lock())
                             write->written(answer);
                     });
}

void head_write::written(const result<kv_revision>& answer)
{
    const bool is_conflict = !answer && answer.error().code == error_code::conflict;
    around_.answered(answer.has_value() || is_conflict);
    if (answer)
        return finish(head_outcome::written, answer.value(), "");
    if (is_conflict)
        return read_back();
    if (!is_known_not_applied(answer.error()))
        maybe_written_ = true;
    else if (!maybe_written_)
        return finish(head_outcome::refused, kv_revision(), answer.error().message);
    later();
}

void head_write::read_back()
{
    around_.calling();
    around_.kv.read(kv_cause::journal, journal_form::head_key(around_.partition),
                    [self = weak_from_this()](result<std::optional<kv_entry>> answer)
                    {
                        const std::shared_ptr<head_write> write = self.lock();
                        if (!write)
                            return;
                        write->around_.answered(answer.has_value());
                        if (!answer)
                            return write->later();
                        write->compare(answer.value());
                    });
}

void head_write::compare(const std::optional<kv_entry>& entry)
{
    if (!entry && expected_ != kv_revision())
        return finish(head_outcome::lost, kv_revision(), "the head is gone");
    if (!entry || entry->revision == expected_)
        return start(); // Not applied yet; only one of the two writes can succeed.
    const result<journal_form::stored_head> found = journal_form::decode_head(*entry);
    if (!found)
        return finish(head_outcome::lost, kv_revision(), found.error().message);
    if (found.value().change == next_.change)
        return finish(head_outcome::written, entry->revision, "");
    compare_owner(found.value());
}

void head_write::compare_owner(const journal_form::stored_head& found)
{
    for (const journal_form::stored_claim& claim : found.claims)
    {
        if (claim.epoch != next_.epoch + 1)
            continue;
        const bool is_durable = claim.previous_change == next_.change;
        return finish(is_durable ? head_outcome::fenced_after : head_outcome::fenced,
                      kv_revision(),
                      fmt::format("{} has claimed epoch {}", claim.owner, claim.epoch));
    }
    finish(head_outcome::lost, kv_revision(),
           fmt::format("the head has epoch {} and does not name the claim after {}",
                       found.epoch, next_.epoch));
}

void head_write::later()
{
    const duration delay = around_.random.jitter(back_off_, back_off_spread);
    back_off_ = std::min(back_off_ * 2, around_.max_back_off);
    timer_ =
        around_.loop.after(delay,
                           [self = weak_from_this()]
                           {
                               if (const std::shared_ptr<head_write> write = self.lock())
                                   write->read_back();
                           });
}

void head_write::finish(head_outcome what, kv_revision revision, std::string message)
{
    maybe_written_ = false;
    const std::function<void(head_result)> done = std::move(done_);
    done(head_result{what, revision, std::move(message)});
}

} // namespace hawthornbeam
