/// \file
/// Property test of the journal: random interleavings of owners, appends, faults and
/// claims.
#include "journal_fixture.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace hawthornbeam
{
namespace
{

enum class action : std::uint8_t
{
    append,
    append_three,
    claim,
    confirm,
    lose_answer,
    lose_write,
    delay_write,
    reject_remove,
    hold_requests,
    hold_answers,
    release_held,
    disconnect,
    reconnect,
    slow,
    crash,
    advance_short,
    advance_long
};

struct step
{
    action kind = action::append;
    bool uses_second_owner = false;
    std::uint8_t amount = 0;
};

/// The weights are chosen so that owners append between faults in most runs.
rc::Gen<step> generate_step()
{
    return rc::gen::build<step>(
        rc::gen::set(&step::kind,
                     rc::gen::weightedElement<action>({{9, action::append},
                                                       {3, action::append_three},
                                                       {4, action::claim},
                                                       {1, action::confirm},
                                                       {3, action::lose_answer},
                                                       {2, action::lose_write},
                                                       {2, action::delay_write},
                                                       {1, action::reject_remove},
                                                       {3, action::hold_requests},
                                                       {2, action::hold_answers},
                                                       {4, action::release_held},
                                                       {1, action::disconnect},
                                                       {3, action::reconnect},
                                                       {1, action::slow},
                                                       {1, action::crash},
                                                       {9, action::advance_short},
                                                       {6, action::advance_long}})),
        rc::gen::set(&step::uses_second_owner, rc::gen::arbitrary<bool>()),
        rc::gen::set(&step::amount, rc::gen::arbitrary<std::uint8_t>()));
}

partition_journal::options tiny_options()
{
    partition_journal::options settings;
    settings.max_segment_bytes = 150;
    settings.max_segments = 2;
    settings.snapshot_part_bytes = 200;
    return settings;
}

std::multiset<int> record_numbers(const claimed_partition& claimed)
{
    std::multiset<int> numbers;
    for (const journaled_job& job : claimed.jobs)
        for (const wire::task_result& task : job.ended)
            numbers.insert(static_cast<int>(task.index));
    return numbers;
}

/// Runs the steps of one history against two owners. All records are progress of the same
/// job, so a record that is applied twice is found twice.
class history_runner
{
public:
    history_runner()
    {
        restart(0);
        restart(1);
        owners_[0]->start_claim();
        loop_.advance(seconds(1));
        owners_[0]->append(0);
        loop_.advance(seconds(1));
    }

    void run(const step& next)
    {
        const std::size_t index = next.uses_second_owner ? 1 : 0;
        journal_owner& owner = *owners_[index];
        standins::fake_kv_faults& faults = owner.kv.faults();
        switch (next.kind)
        {
        case action::append_three:
            append(owner);
            append(owner);
            [[fallthrough]];
        case action::append:
            return append(owner);
        case action::claim:
            return claim(owner);
        case action::confirm:
            return owner.journal->confirm([](const result<bool>&) {});
        case action::lose_answer:
            faults.lost_answers = 1 + next.amount % 2;
            return;
        case action::lose_write:
            faults.lost_writes = 1 + next.amount % 2;
            return;
        case action::delay_write:
            faults.delayed_writes = 1;
            return;
        case action::reject_remove:
            faults.rejected_removes = 1;
            return;
        case action::hold_requests:
            faults.holds_requests = true;
            return;
        case action::hold_answers:
            faults.holds_answers = true;
            return;
        case action::release_held:
            for (const std::unique_ptr<journal_owner>& crashed : crashed_)
                crashed->kv.release_held();
            return owner.kv.release_held();
        case action::disconnect:
            faults.is_cut = true;
            return;
        case action::reconnect:
            faults.is_cut = false;
            return;
        case action::slow:
            faults.latency = milliseconds(next.amount);
            return;
        case action::crash:
            return restart(index);
        case action::advance_short:
            return loop_.advance(milliseconds(next.amount % 16));
        case action::advance_long:
            return loop_.advance(milliseconds(8 * next.amount));
        }
    }

    void finish()
    {
        for (const std::unique_ptr<journal_owner>& crashed : crashed_)
            crashed->kv.release_held();
        for (const std::unique_ptr<journal_owner>& owner : owners_)
        {
            owner->kv.release_held();
            owner->kv.faults() = standins::fake_kv_faults();
        }
        loop_.advance(std::chrono::minutes(5));
        journal_owner reader(loop_, store_, "reader", tiny_options());
        claim(reader);
        loop_.advance(seconds(10));
        RC_ASSERT(reader.claimed.has_value());
        if (!reader.claimed->has_value())
            RC_FAIL(reader.claimed->error().message);
        check(record_numbers(reader.claimed->value()));
    }

private:
    struct appended
    {
        epoch owner_epoch;
        std::vector<result<bool>> answers;
    };

    void restart(std::size_t index)
    {
        if (owners_[index])
            crashed_.push_back(std::move(owners_[index]));
        if (!crashed_.empty())
            crashed_.back()->journal.reset(); // Its requests may still be in transit.
        owners_[index] = std::make_unique<journal_owner>(
            loop_, store_, index == 0 ? "first" : "second", tiny_options());
    }

    void append(journal_owner& owner)
    {
        const int number = ++last_number_;
        records_[number].owner_epoch = owner.journal->owner_epoch();
        owner.journal->append(job_progress{make_job(0).job.id,
                                           {{static_cast<std::uint32_t>(number),
                                             task_state::finished, true, "output"}}},
                              [this, number](result<bool> outcome)
                              { records_[number].answers.push_back(outcome); });
    }

    void claim(journal_owner& owner)
    {
        owner.journal->claim(
            [this, &owner](result<claimed_partition> outcome)
            {
                if (outcome)
                    claims_[outcome.value().owner_epoch] =
                        record_numbers(outcome.value());
                owner.claimed = std::move(outcome);
            });
    }

    void check(const std::multiset<int>& found) const
    {
        for (const std::pair<const int, appended>& record : records_)
        {
            const std::size_t times = found.count(record.first);
            RC_ASSERT(times <= 1U);
            RC_ASSERT(record.second.answers.size() <= 1U);
            if (record.second.answers.empty()) // The owner crashed before the answer.
                continue;
            const result<bool>& answer = record.second.answers.front();
            RC_ASSERT((answer || answer.error().code != error_code::outcome_unknown));
            RC_ASSERT(times == (answer ? 1U : 0U));
            for (const std::pair<const epoch, std::multiset<int>>& claim : claims_)
                if (answer && claim.first > record.second.owner_epoch)
                    RC_ASSERT(claim.second.count(record.first) == 1U);
        }
    }

    manual_event_loop loop_;
    std::shared_ptr<fake_kv_store> store_ = std::make_shared<fake_kv_store>();
    std::vector<std::unique_ptr<journal_owner>> crashed_;
    std::unique_ptr<journal_owner> owners_[2];
    int last_number_ = 0;
    std::map<int, appended> records_;
    std::map<epoch, std::multiset<int>> claims_; ///< Records that each claim recovered.
};

// Guards against acknowledged records that are lost or duplicated, rejected records that
// are durable, and acknowledged records of a fenced owner that its successor did not
// recover. Mutations tried by hand, each of which makes the test fail with the fixed
// seed: a writer that adopts the successor's revision instead of being fenced (after 4
// cases), an unknown outcome reported as not written, and a segment name reused after its
// batch was rejected.
RC_GTEST_PROP(journal_property_test, acknowledged_records_are_found_exactly_once, ())
{
    // Each case runs 20 histories, because 100 cases with a single history (the default
    // number of the library) miss rare interleavings.
    const std::vector<std::vector<step>> histories =
        *rc::gen::container<std::vector<std::vector<step>>>(
            20,
            rc::gen::scale(4.0, rc::gen::container<std::vector<step>>(generate_step())));
    for (const std::vector<step>& steps : histories)
    {
        history_runner history;
        for (const step& next : steps)
            history.run(next);
        history.finish();
    }
}

} // namespace
} // namespace hawthornbeam
