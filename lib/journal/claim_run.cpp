#include "claim_run.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// An append by the former owner between the read and the write uses up one attempt.
constexpr int max_attempts = 8;
constexpr double back_off_jitter = 0.5;
/// Former owners look up here whether their last write took effect. An entry takes a few
/// dozen bytes.
constexpr std::size_t max_claims = 64;

} // namespace

claim_run::claim_run(head_write::call_context context, instance_id self,
                     std::string change,
                     std::function<void(result<claimed_journal>)> done)
    : context_(std::move(context)), self_(std::move(self)), change_(std::move(change)),
      done_(std::move(done)), back_off_(context_.min_back_off)
{
}

void claim_run::start()
{
    ++attempts_;
    context_.on_call_started();
    context_.kv.list(kv_cause::claim, journal_form::journal_prefix(context_.partition),
                     [self = weak_from_this()](result<std::vector<kv_entry>> answer)
                     {
                         const std::shared_ptr<claim_run> claim = self.lock();
                         if (!claim)
                             return;
                         claim->context_.on_call_finished(answer.has_value());
                         if (answer)
                             return claim->handle_list(answer.value());
                         if (!claim->may_be_written_)
                             return claim->finish(make_error(error_code::unavailable,
                                                             answer.error().message));
                         claim->schedule_retry(answer.error());
                     });
}

void claim_run::handle_list(const std::vector<kv_entry>& entries)
{
    result<claimed_journal> journal = read_journal(entries);
    if (!journal)
    {
        // The list is not atomic, so a compaction that runs meanwhile can make a value
        // look absent. A second list shows whether it really is.
        if (journal.error().code == error_code::not_found && attempts_ == 1)
            return start();
        return finish(make_error(error_code::invalid_input, journal.error().message));
    }
    const journal_form::stored_head& head = journal.value().head;
    if (head.change == change_)
        return finish(std::move(journal));
    if (!former_epoch_)
        former_epoch_ = head.epoch;
    if (head.epoch != *former_epoch_)
        return finish(
            make_error(error_code::conflict,
                       fmt::format("{} has claimed epoch {}",
                                   head.owner.empty() ? "another instance" : head.owner,
                                   head.epoch)));
    write(std::move(journal).value());
}

result<claimed_journal>
claim_run::read_journal(const std::vector<kv_entry>& entries) const
{
    const std::string prefix = journal_form::journal_prefix(context_.partition);
    const std::string head_key = journal_form::head_key(context_.partition);
    claimed_journal journal;
    if (const kv_entry* const entry = find_entry(entries, head_key))
    {
        BOOST_OUTCOME_TRY(head, journal_form::decode_head(*entry));
        journal.head = std::move(head);
        journal.revision = entry->revision;
    }
    else if (!entries.empty())
        return make_error(error_code::not_found,
                          fmt::format("key {} is absent, but {} exists", head_key,
                                      entries.front().key));
    BOOST_OUTCOME_TRY(state, partition_state::load(prefix, journal.head, entries));
    journal.state = std::move(state);
    for (const std::vector<std::string>* names :
         {&journal.head.snapshot, &journal.head.segments})
        for (const std::string& name : *names)
            journal.values[prefix + name] = find_entry(entries, prefix + name)->revision;
    for (const kv_entry& entry : entries)
        if (entry.key != head_key && journal.values.count(entry.key) == 0)
            journal.unreferenced_values.push_back(
                unreferenced_value{entry.key, entry.revision});
    return journal;
}

void claim_run::write(claimed_journal read)
{
    const std::shared_ptr<claimed_journal> journal =
        std::make_shared<claimed_journal>(std::move(read));
    journal_form::stored_head& head = journal->head;
    ++head.epoch;
    head.claims.push_back(
        journal_form::stored_claim{head.epoch, self_.value(), head.change});
    if (head.claims.size() > max_claims)
        head.claims.erase(head.claims.begin());
    head.owner = self_.value();
    head.change = change_;
    context_.on_call_started();
    context_.kv.write(kv_cause::claim, journal_form::head_key(context_.partition),
                      journal_form::encode_head(head), journal->revision,
                      [self = weak_from_this(), journal](result<kv_revision> answer)
                      {
                          if (const std::shared_ptr<claim_run> claim = self.lock())
                              claim->handle_write(answer, *journal);
                      });
}

void claim_run::handle_write(const result<kv_revision>& answer, claimed_journal& journal)
{
    const bool is_conflict = !answer && answer.error().code == error_code::conflict;
    context_.on_call_finished(answer.has_value() || is_conflict);
    if (answer)
    {
        journal.revision = answer.value();
        return finish(std::move(journal));
    }
    if (!is_known_not_applied(answer.error()))
        may_be_written_ = true;
    if (is_conflict && attempts_ < max_attempts)
        return start();
    if (is_conflict || !may_be_written_)
        return finish(answer.error());
    schedule_retry(answer.error());
}

void claim_run::schedule_retry(const error& cause)
{
    // Giving up is safe: if the claim took effect unnoticed, it only uses up an epoch.
    if (attempts_ >= max_attempts)
        return finish(make_error(error_code::unavailable, cause.message));
    const duration delay = context_.random.jitter(back_off_, back_off_jitter);
    back_off_ = std::min(back_off_ * 2, context_.max_back_off);
    timer_ =
        context_.loop.after(delay,
                            [self = weak_from_this()]
                            {
                                if (const std::shared_ptr<claim_run> claim = self.lock())
                                    claim->start();
                            });
}

void claim_run::finish(result<claimed_journal> outcome)
{
    const std::function<void(result<claimed_journal>)> done = std::move(done_);
    done(std::move(outcome));
}

} // namespace hawthornbeam
