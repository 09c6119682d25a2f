/// \file
/// Implements the jobs of a partition.
#include "partition_state.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

using journal_form::kept_job;
using journal_form::timed_record;

namespace
{

error absent(const std::string& key)
{
    return make_error(error_code::not_found,
                      fmt::format("key {} is named by the head but absent", key));
}

/// Applies one record to its job.
struct record_visitor
{
    kept_job& kept;
    wall_time at;

    void operator()(const job_accepted&) const {}
    void operator()(const job_progress& record) const
    {
        kept.job.ended.insert(kept.job.ended.end(), record.ended.begin(),
                              record.ended.end());
    }
    void operator()(const job_ended& record) const
    {
        kept.job.has_verdict = true;
        kept.job.verdict = record.verdict;
        kept.job.reason = record.reason;
        kept.ended_at = at;
    }
    void operator()(const job_cancelling&) const { kept.job.cancelling = true; }
};

struct id_of_record
{
    job_id operator()(const job_accepted& record) const { return record.job.id; }
    job_id operator()(const job_progress& record) const { return record.id; }
    job_id operator()(const job_ended& record) const { return record.id; }
    job_id operator()(const job_cancelling& record) const { return record.id; }
};

} // namespace

void partition_state::apply(const timed_record& record)
{
    const job_id id = std::visit(id_of_record(), record.record);
    const auto found = jobs_.find(id);
    if (const job_accepted* const accepted = std::get_if<job_accepted>(&record.record))
    {
        // The same request may be submitted again once its ended job was dropped.
        if (found != jobs_.end() && !found->second.job.has_verdict)
            return;
        kept_job fresh;
        fresh.job.job = accepted->job;
        fresh.job.accepted = accepted->at;
        jobs_[id] = std::move(fresh);
        return;
    }
    if (found == jobs_.end())
        return;
    std::visit(record_visitor{found->second, record.at}, record.record);
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
    std::vector<const kept_job*> all;
    for (const std::pair<const job_id, kept_job>& job : jobs_)
        all.push_back(&job.second);
    return journal_form::encode_jobs(all);
}

std::vector<journaled_job> partition_state::jobs() const
{
    std::vector<journaled_job> all;
    for (const std::pair<const job_id, kept_job>& job : jobs_)
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

void partition_state::keep(kept_job job)
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
            return absent(prefix + name);
        BOOST_OUTCOME_TRY(part, journal_form::decode_part(*entry));
        snapshot += part;
    }
    if (!head.snapshot.empty())
    {
        BOOST_OUTCOME_TRY(jobs, journal_form::decode_jobs(snapshot));
        for (kept_job& job : jobs)
            state.keep(std::move(job));
    }
    for (const std::string& name : head.segments)
    {
        const kv_entry* const entry = find_entry(entries, prefix + name);
        if (entry == nullptr)
            return absent(prefix + name);
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
