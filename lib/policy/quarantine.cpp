/// \file
/// Implements the quarantine of failing workers.
#include "quarantine.hpp"

#include <algorithm>

namespace hawthornbeam::policy
{

namespace
{

/// A worker is rated after this many ended tasks.
constexpr float least_endings = 3;
/// Failures before a quarantine; fewer happen by chance.
constexpr float least_failures = 4;
/// A worker is suspect above this ratio and above this multiple of the others' mean.
constexpr double least_ratio = 0.5;
constexpr double ratio_multiple = 3.0;
/// Older endings lose half of their weight at this count.
constexpr float halving_count = 64;
/// Failures of one job on one worker that count; a retry loop must not weigh more.
constexpr std::uint8_t counted_per_job = 5;
/// A job that fails on this many workers, and on more than it succeeds on, is to blame.
constexpr std::size_t blamed_workers = 3;
constexpr std::size_t remembered_workers = 8;
constexpr std::size_t remembered_jobs = 4096;
/// Successes on probation that end it.
constexpr float probation_successes = 3;
constexpr std::uint8_t most_doublings = 8;

} // namespace

double quarantine::ratio(const worker_record& worker)
{
    const float all = worker.succeeded + worker.failed;
    return all < least_endings ? 0.0 : static_cast<double>(worker.failed / all);
}

void quarantine::add(worker_record& worker, float succeeded, float failed)
{
    if (worker.succeeded + worker.failed >= least_endings)
    {
        ratio_sum_ -= ratio(worker);
        --rated_;
    }
    worker.succeeded = std::max(0.0F, worker.succeeded + succeeded);
    worker.failed = std::max(0.0F, worker.failed + failed);
    if (worker.succeeded + worker.failed > halving_count)
    {
        worker.succeeded /= 2;
        worker.failed /= 2;
    }
    if (worker.succeeded + worker.failed < least_endings)
        return;
    ratio_sum_ += ratio(worker);
    ++rated_;
}

bool quarantine::is_suspect(const worker_record& worker) const
{
    if (worker.failed < (worker.on_probation ? 1.0F : least_failures))
        return false;
    const bool rated = worker.succeeded + worker.failed >= least_endings;
    const double own =
        static_cast<double>(worker.failed / (worker.succeeded + worker.failed));
    const std::uint32_t count = rated_ - (rated ? 1 : 0);
    const double others =
        count == 0 ? 0.0 : std::max(0.0, ratio_sum_ - ratio(worker)) / count;
    return (worker.on_probation || own >= least_ratio) && own > ratio_multiple * others;
}

void quarantine::impose(worker_record& worker, boot_time now) const
{
    worker.quarantined_until =
        now + base_ * (1LL << std::min(worker.quarantine_level, most_doublings));
    if (worker.quarantine_level < most_doublings)
        ++worker.quarantine_level;
    worker.on_probation = false;
}

void quarantine::release(worker_record& worker)
{
    add(worker, -worker.succeeded, -worker.failed);
    worker.quarantined_until = boot_time();
    worker.on_probation = true;
}

quarantine::job_history& quarantine::history(const job_id& job)
{
    const absl::flat_hash_map<job_id, job_history, std::hash<job_id>>::iterator found =
        jobs_.find(job);
    if (found != jobs_.end())
        return found->second;
    order_.push_back(job);
    if (order_.size() > remembered_jobs)
    {
        jobs_.erase(order_.front());
        order_.pop_front();
    }
    return jobs_[job];
}

bool quarantine::blame_job(pool<worker_record>& workers, job_history& job,
                           std::vector<index>& changed)
{
    if (job.failed.size() < blamed_workers || job.failed.size() <= job.succeeded.size())
        return false;
    job.blamed = true;
    for (const auto& [position, failures] : job.failed)
    {
        worker_record& worker = workers[position];
        add(worker, 0, -static_cast<float>(failures));
        if (worker.quarantined_until == boot_time() || is_suspect(worker))
            continue;
        worker.quarantined_until = boot_time();
        worker.quarantine_level = 0;
        changed.push_back(position);
    }
    return true;
}

std::vector<index> quarantine::count(pool<worker_record>& workers, index position,
                                     const job_id& job, bool success, boot_time now)
{
    std::vector<index> changed;
    worker_record& worker = workers[position];
    if (success)
    {
        const absl::flat_hash_map<job_id, job_history, std::hash<job_id>>::iterator
            found = jobs_.find(job);
        if (found != jobs_.end() && found->second.succeeded.size() < remembered_workers &&
            std::find(found->second.succeeded.begin(), found->second.succeeded.end(),
                      position) == found->second.succeeded.end())
            found->second.succeeded.push_back(position);
        add(worker, 1, 0);
        if (worker.on_probation && worker.succeeded >= probation_successes)
        {
            worker.on_probation = false;
            worker.quarantine_level = 0;
        }
        return changed;
    }
    job_history& record = history(job);
    if (record.blamed)
        return changed;
    std::vector<std::pair<index, std::uint8_t>>::iterator entry =
        std::find_if(record.failed.begin(), record.failed.end(),
                     [&](const std::pair<index, std::uint8_t>& failure)
                     { return failure.first == position; });
    if (entry == record.failed.end() && record.failed.size() >= remembered_workers)
        return changed;
    if (entry == record.failed.end())
        entry = record.failed.insert(record.failed.end(), {position, 0});
    if (entry->second >= counted_per_job)
        return changed;
    ++entry->second;
    add(worker, 0, 1);
    if (blame_job(workers, record, changed) || worker.quarantined_until != boot_time() ||
        !is_suspect(worker))
        return changed;
    impose(worker, now);
    // After probation the same job counts again.
    entry->second = 1;
    // The next quarantine needs new failures.
    add(worker, -worker.succeeded, -worker.failed);
    changed.push_back(position);
    return changed;
}

void quarantine::forget(pool<worker_record>& workers, index position)
{
    worker_record& worker = workers[position];
    add(worker, -worker.succeeded, -worker.failed);
    for (auto& [id, job] : jobs_)
    {
        std::erase_if(job.failed, [&](const std::pair<index, std::uint8_t>& failure)
                      { return failure.first == position; });
        std::erase(job.succeeded, position);
    }
}

} // namespace hawthornbeam::policy
