#include "partition_state.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

using journal_form::stored_job;
using journal_form::timed_record;

namespace
{

error absent_key_error(const std::string& key)
{
    return make_error(error_code::not_found,
                      fmt::format("key {} is named by the head but absent", key));
}

/// Applies a record to the job that it belongs to.
struct record_applier
{
    stored_job& stored;
    wall_time at;

    void operator()(const job_accepted&) const {}
    void operator()(const job_progress& record) const
    {
        stored.job.ended.insert(stored.job.ended.end(), record.ended.begin(),
                                record.ended.end());
    }
    void operator()(const job_ended& record) const
    {
        stored.job.has_verdict = true;
        stored.job.verdict = record.verdict;
        stored.job.reason = record.reason;
        stored.ended_at = at;
    }
    void operator()(const job_cancelling&) const { stored.job.cancelling = true; }
};

struct record_job_id
{
    job_id operator()(const job_accepted& record) const { return record.job.id; }
    job_id operator()(const job_progress& record) const { return record.id; }
    job_id operator()(const job_ended& record) const { return record.id; }
    job_id operator()(const job_cancelling& record) const { return record.id; }
};

} // namespace

void partition_state::apply(const timed_record& record)
{
    const job_id id = std::visit(record_job_id(), record.record);
    const auto found = jobs_.find(id);
    if (const job_accepted* const accepted = std::get_if<job_accepted>(&record.record))
    {
        // A job that has ended is replaced, because its request may be submitted again
        // after the owner has dropped it.
        if (found != jobs_.end() && !found->second.job.has_verdict)
            return;
        stored_job fresh;
        fresh.job.job = accepted->job;
        fresh.job.accepted = accepted->at;
        jobs_[id] = std::move(fresh);
        return;
    }
    if (found == jobs_.end())
        return;
    std::visit(record_applier{found->second, record.at}, record.record);
    if (std::holds_alternative<job_ended>(record.record))
        by_end_.emplace(record.at, id);
}

void partition_state::drop_ended(wall_time limit)
{
    while (!by_end_.empty() && by_end_.begin()->first < limit)
    {
        const auto found = jobs_.find(by_end_.begin()->second);
        if (found != jobs_.end() && found->second.job.has_verdict &&
            found->second.ended_at < limit)
            jobs_.erase(found);
        by_end_.erase(by_end_.begin());
    }
}

std::string partition_state::encode() const
{
    std::vector<const stored_job*> all;
    for (const std::pair<const job_id, stored_job>& job : jobs_)
        all.push_back(&job.second);
    return journal_form::encode_jobs(all);
}

std::vector<journaled_job> partition_state::jobs() const
{
    std::vector<journaled_job> all;
    for (const std::pair<const job_id, stored_job>& job : jobs_)
        all.push_back(job.second.job);
    return all;
}

result<bool> partition_state::apply_all(const std::vector<std::string>& records,
                                        const std::string& key)
{
    for (const std::string& bytes : records)
    {
        const result<timed_record> record = journal_form::decode_record(bytes);
        if (!record)
            return make_error(record.error().code,
                              fmt::format("key {}: {}", key, record.error().message));
        apply(record.value());
    }
    return true;
}

void partition_state::insert(stored_job job)
{
    const job_id id = job.job.job.id;
    if (job.job.has_verdict)
        by_end_.emplace(job.ended_at, id);
    jobs_[id] = std::move(job);
}

result<partition_state> partition_state::load(const std::string& prefix,
                                              const journal_form::stored_head& head,
                                              const std::vector<kv_entry>& entries)
{
    partition_state state;
    std::string snapshot;
    for (const std::string& name : head.snapshot)
    {
        const kv_entry* const entry = find_entry(entries, prefix + name);
        if (entry == nullptr)
            return absent_key_error(prefix + name);
        BOOST_OUTCOME_TRY(part, journal_form::decode_snapshot_part(*entry));
        snapshot += part;
    }
    if (!head.snapshot.empty())
    {
        BOOST_OUTCOME_TRY(jobs, journal_form::decode_jobs(snapshot));
        for (stored_job& job : jobs)
            state.insert(std::move(job));
    }
    for (const std::string& name : head.segments)
    {
        const kv_entry* const entry = find_entry(entries, prefix + name);
        if (entry == nullptr)
            return absent_key_error(prefix + name);
        BOOST_OUTCOME_TRY(records, journal_form::decode_segment(*entry));
        BOOST_OUTCOME_TRY(state.apply_all(records, entry->key));
    }
    BOOST_OUTCOME_TRY(state.apply_all(head.records, prefix + "head"));
    return state;
}

const kv_entry* find_entry(const std::vector<kv_entry>& entries, const std::string& key)
{
    const auto found = std::lower_bound(entries.begin(), entries.end(), key,
                                        [](const kv_entry& entry, const std::string& k)
                                        { return entry.key < k; });
    return found != entries.end() && found->key == key ? &*found : nullptr;
}

} // namespace hawthornbeam
