#include "head_write.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

constexpr double back_off_jitter = 0.5;

} // namespace

bool is_known_not_applied(const error& failure)
{
    return failure.code != error_code::outcome_unknown &&
           failure.code != error_code::internal;
}

head_write::head_write(call_context context, journal_form::stored_head next,
                       kv_revision expected, std::function<void(head_result)> done)
    : context_(std::move(context)), next_(std::move(next)),
      value_(journal_form::encode_head(next_)), expected_(expected),
      done_(std::move(done)), back_off_(context_.min_back_off)
{
}

void head_write::start()
{
    context_.on_call_started();
    context_.kv.write(kv_cause::journal, journal_form::head_key(context_.partition),
                      value_, expected_,
                      [self = weak_from_this()](result<kv_revision> answer)
                      {
                          if (const std::shared_ptr<head_write> write = self.lock())
                              write->handle_write(answer);
                      });
}

void head_write::handle_write(const result<kv_revision>& answer)
{
    const bool is_conflict = !answer && answer.error().code == error_code::conflict;
    context_.on_call_finished(answer.has_value() || is_conflict);
    if (answer)
        return finish(head_outcome::written, answer.value(), "");
    if (is_conflict)
        return read_back();
    if (!is_known_not_applied(answer.error()))
        may_be_written_ = true;
    else if (!may_be_written_)
        return finish(head_outcome::not_written, kv_revision(), answer.error().message);
    schedule_read_back();
}

void head_write::read_back()
{
    context_.on_call_started();
    context_.kv.read(kv_cause::journal, journal_form::head_key(context_.partition),
                     [self = weak_from_this()](result<std::optional<kv_entry>> answer)
                     {
                         const std::shared_ptr<head_write> write = self.lock();
                         if (!write)
                             return;
                         write->context_.on_call_finished(answer.has_value());
                         if (!answer)
                             return write->schedule_read_back();
                         write->resolve_from_entry(answer.value());
                     });
}

void head_write::resolve_from_entry(const std::optional<kv_entry>& entry)
{
    if (!entry && expected_ != kv_revision())
        return finish(head_outcome::unknown, kv_revision(), "the head is gone");
    if (!entry || entry->revision == expected_)
        return start(); // The write has not taken effect yet. It can be repeated safely,
                        // because at most one of the two can match the expected revision.
    const result<journal_form::stored_head> found = journal_form::decode_head(*entry);
    if (!found)
        return finish(head_outcome::unknown, kv_revision(), found.error().message);
    if (found.value().change == next_.change)
        return finish(head_outcome::written, entry->revision, "");
    resolve_from_claims(found.value());
}

void head_write::resolve_from_claims(const journal_form::stored_head& found)
{
    for (const journal_form::stored_claim& claim : found.claims)
    {
        if (claim.epoch != next_.epoch + 1)
            continue;
        const bool is_durable = claim.previous_change == next_.change;
        return finish(is_durable ? head_outcome::fenced_written
                                 : head_outcome::fenced_not_written,
                      kv_revision(),
                      fmt::format("{} has claimed epoch {}", claim.owner, claim.epoch));
    }
    finish(head_outcome::unknown, kv_revision(),
           fmt::format("the head has epoch {} and does not name the claim after {}",
                       found.epoch, next_.epoch));
}

void head_write::schedule_read_back()
{
    const duration delay = context_.random.jitter(back_off_, back_off_jitter);
    back_off_ = std::min(back_off_ * 2, context_.max_back_off);
    timer_ =
        context_.loop.after(delay,
                            [self = weak_from_this()]
                            {
                                if (const std::shared_ptr<head_write> write = self.lock())
                                    write->read_back();
                            });
}

void head_write::finish(head_outcome status, kv_revision revision, std::string message)
{
    may_be_written_ = false;
    const std::function<void(head_result)> done = std::move(done_);
    done(head_result{status, revision, std::move(message)});
}

} // namespace hawthornbeam
