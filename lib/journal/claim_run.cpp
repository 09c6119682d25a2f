/// \file
/// Implements the claim of a partition.
#include "claim_run.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// An append of the former owner between the read and the write costs one attempt.
constexpr int max_attempts = 8;
constexpr double back_off_spread = 0.5;
/// Former owners find their last write among these. Each needs a few dozen bytes.
constexpr std::size_t max_claims = 64;

} // namespace

claim_run::claim_run(head_write::environment around, instance_id self, std::string change,
                     std::function<void(result<claimed_journal>)> done)
    : around_(std::move(around)), self_(std::move(self)), change_(std::move(change)),
      done_(std::move(done)), back_off_(around_.min_back_off)
{
}

void claim_run::start()
{
    ++attempts_;
    around_.calling();
    around_.kv.list(kv_cause::claim, journal_form::journal_prefix(around_.partition),
                    [self = weak_from_this()](result<std::vector<kv_entry>> answer)
                    {
                        const std::shared_ptr<claim_run> claim = self.lock();
                        if (!claim)
                            return;
                        claim->around_.answered(answer.has_value());
                        if (answer)
                            return claim->listed(answer.value());
                        if (!claim->maybe_written_)
                            return claim->finish(make_error(error_code::unavailable,
                                                            answer.error().message));
                        claim->try_again(answer.error());
                    });
}

void claim_run::listed(const std::vector<kv_entry>& entries)
{
    result<claimed_journal> journal = read_journal(entries);
    if (!journal)
    {
        // A compaction between two reads of a list that is not atomic; once more tells.
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
    const std::string prefix = journal_form::journal_prefix(around_.partition);
    const std::string head_key = journal_form::head_key(around_.partition);
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
            journal.leftovers.push_back(leftover_value{entry.key, entry.revision});
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
    around_.calling();
    around_.kv.write(kv_cause::claim, journal_form::head_key(around_.partition),
                     journal_form::encode_head(head), journal->revision,
                     [self = weak_from_this(), journal](result<kv_revision> answer)
                     {
                         if (const std::shared_ptr<claim_run> claim = self.lock())
                             claim->written(answer, *journal);
                     });
}

void claim_run::written(const result<kv_revision>& answer, claimed_journal& journal)
{
    const bool is_conflict = !answer && answer.error().code == error_code::conflict;
    around_.answered(answer.has_value() || is_conflict);
    if (answer)
    {
        journal.revision = answer.value();
        return finish(std::move(journal));
    }
    if (!is_known_not_applied(answer.error()))
        maybe_written_ = true;
    if (is_conflict && attempts_ < max_attempts)
        return start();
    if (is_conflict || !maybe_written_)
        return finish(answer.error());
    try_again(answer.error());
}

void claim_run::try_again(const error& cause)
{
    // Giving up is safe: a claim that took effect unnoticed only costs an epoch.
    if (attempts_ >= max_attempts)
        return finish(make_error(error_code::unavailable, cause.message));
    const duration delay = around_.random.jitter(back_off_, back_off_spread);
    back_off_ = std::min(back_off_ * 2, around_.max_back_off);
    timer_ =
        around_.loop.after(delay,
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
