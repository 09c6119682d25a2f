/// \file
/// Test fixture shared by the journal tests.
#ifndef HAWTHORNBEAM_UNITTESTS_JOURNAL_JOURNAL_FIXTURE_HPP
#define HAWTHORNBEAM_UNITTESTS_JOURNAL_JOURNAL_FIXTURE_HPP

#include "hawthornbeam/journal/journal.hpp"
#include "test/standins/fake_kv.hpp"

#include <fmt/format.h>
#include <optional>
#include <set>

namespace hawthornbeam
{

using standins::fake_kv_service;
using standins::fake_kv_store;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline job_accepted make_job(int number, std::size_t payload_bytes = 10)
{
    job_accepted record;
    record.job.request = request_id(fmt::format("r-{}", number));
    record.job.id = job_id::derive(partner_id("p"), record.job.request);
    record.job.row = row_id("p/k");
    record.job.payload = std::string(payload_bytes, 'x');
    return record;
}

/// A journal of one instance with its own connection to the shared store.
struct journal_owner
{
    journal_owner(manual_event_loop& event_loop, std::shared_ptr<fake_kv_store> store,
                  const char* name, partition_journal::options settings = {})
        : loop(event_loop), kv(event_loop, std::move(store)),
          log(event_loop.clock(), name, log_level::error,
              [this](const std::string& line) { log_lines.push_back(line); })
    {
        settings.self = instance_id(name);
        journal = std::make_unique<partition_journal>(kv, event_loop, log, settings);
        journal->on_fenced([this] { ++fence_count; });
    }

    void start_claim()
    {
        claimed.reset();
        journal->claim([this](result<claimed_partition> outcome)
                       { claimed = std::move(outcome); });
    }
    /// Claims the partition, advances the clock by \p wait and returns true if the claim
    /// succeeded.
    bool claim(duration wait = seconds(30))
    {
        start_claim();
        loop.advance(wait);
        return claimed && claimed->has_value();
    }
    void append(int number, std::size_t payload_bytes = 10)
    {
        append_record(number, make_job(number, payload_bytes));
    }
    void append_record(int number, journal_record record)
    {
        journal->append(std::move(record),
                        [this, number](result<bool> outcome)
                        {
                            ++answer_counts[number];
                            if (outcome)
                                durable.insert(number);
                            else
                                failed[number] = outcome.error().code;
                        });
    }
    std::set<std::string> recovered_requests() const
    {
        std::set<std::string> names;
        for (const journaled_job& job : claimed->value().jobs)
            names.insert(job.job.request.value());
        return names;
    }

    manual_event_loop& loop;
    fake_kv_service kv;
    std::vector<std::string> log_lines;
    logger log;
    std::unique_ptr<partition_journal> journal;
    std::optional<result<claimed_partition>> claimed;
    std::set<int> durable;
    std::map<int, error_code> failed;
    std::map<int, int> answer_counts;
    int fence_count = 0;
};

} // namespace hawthornbeam

#endif
