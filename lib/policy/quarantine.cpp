/// \file
/// Failure ratios, faulty jobs, and the start and end of quarantines.
#include "quarantine.hpp"

#include <algorithm>

namespace hawthornbeam::policy
{

namespace
{

/// Ended tasks before the failure ratio of a worker enters the mean.
constexpr float min_results = 3;
/// Failures before a quarantine; fewer can occur by chance.
constexpr float min_failures = 4;
/// A worker is suspect if its failure ratio is at least min_failure_ratio and above
/// ratio_multiple times the mean of the other workers.
constexpr double min_failure_ratio = 0.5;
constexpr double ratio_multiple = 3.0;
/// At this number of results the weight of all earlier results is halved.
constexpr float halving_count = 64;
/// Counted failures of one job on one worker, so that a retry loop does not weigh more.
constexpr std::uint8_t max_failures_per_job = 5;
/// A job that fails on at least this many workers, and on more workers than it succeeds
/// on, is treated as faulty: its failures are not counted against the workers.
constexpr std::size_t min_workers_of_faulty_job = 3;
constexpr std::size_t max_tracked_workers_per_job = 8;
constexpr std::size_t max_tracked_jobs = 4096;
/// Number of successes that ends a probation.
constexpr float probation_successes = 3;
/// Bounds the growth of the quarantine time.
constexpr std::uint8_t max_doublings = 8;

} // namespace

double quarantine::ratio(const worker_record& worker)
{
    const float total = worker.succeeded + worker.failed;
    return total < min_results ? 0.0 : static_cast<double>(worker.failed / total);
}

void quarantine::add_results(worker_record& worker, float succeeded, float failed)
{
    if (worker.succeeded + worker.failed >= min_results)
    {
        ratio_sum_ -= ratio(worker);
        --rated_workers_;
    }
    worker.succeeded = std::max(0.0F, worker.succeeded + succeeded);
    worker.failed = std::max(0.0F, worker.failed + failed);
    if (worker.succeeded + worker.failed > halving_count)
    {
        worker.succeeded /= 2;
        worker.failed /= 2;
    }
    if (worker.succeeded + worker.failed < min_results)
        return;
    ratio_sum_ += ratio(worker);
    ++rated_workers_;
}

bool quarantine::is_suspect(const worker_record& worker) const
{
    if (worker.failed < (worker.on_probation ? 1.0F : min_failures))
        return false;
    const bool rated = worker.succeeded + worker.failed >= min_results;
    const double own =
        static_cast<double>(worker.failed / (worker.succeeded + worker.failed));
    const std::uint32_t count = rated_workers_ - (rated ? 1 : 0);
    const double others =
        count == 0 ? 0.0 : std::max(0.0, ratio_sum_ - ratio(worker)) / count;
    return (worker.on_probation || own >= min_failure_ratio) &&
           own > ratio_multiple * others;
}

void quarantine::start_quarantine(worker_record& worker, boot_time now) const
{
    worker.quarantined_until =
        now + base_ * (1LL << std::min(worker.quarantine_level, max_doublings));
    if (worker.quarantine_level < max_doublings)
        ++worker.quarantine_level;
    worker.on_probation = false;
}

void quarantine::release(worker_record& worker)
{
    add_results(worker, -worker.succeeded, -worker.failed);
    worker.quarantined_until = boot_time();
    worker.on_probation = true;
}

quarantine::job_history& quarantine::history_of(const job_id& job)
{
    const absl::flat_hash_map<job_id, job_history, std::hash<job_id>>::iterator found =
        jobs_.find(job);
    if (found != jobs_.end())
        return found->second;
    jobs_by_age_.push_back(job);
    if (jobs_by_age_.size() > max_tracked_jobs)
    {
        jobs_.erase(jobs_by_age_.front());
        jobs_by_age_.pop_front();
    }
    return jobs_[job];
}

bool quarantine::check_faulty_job(pool<worker_record>& workers, job_history& job,
                                  std::vector<index>& changed)
{
    if (job.failed.size() < min_workers_of_faulty_job ||
        job.failed.size() <= job.succeeded.size())
        return false;
    job.faulty = true;
    for (const auto& [position, failures] : job.failed)
    {
        worker_record& worker = workers[position];
        add_results(worker, 0, -static_cast<float>(failures));
        if (worker.quarantined_until == boot_time() || is_suspect(worker))
            continue;
        worker.quarantined_until = boot_time();
        worker.quarantine_level = 0;
        changed.push_back(position);
    }
    return true;
}

std::vector<index> quarantine::record_result(pool<worker_record>& workers, index position,
                                             const job_id& job, bool success,
                                             boot_time now)
{
    std::vector<index> changed;
    worker_record& worker = workers[position];
    if (success)
    {
        const absl::flat_hash_map<job_id, job_history, std::hash<job_id>>::iterator
            found = jobs_.find(job);
        if (found != jobs_.end() &&
            found->second.succeeded.size() < max_tracked_workers_per_job &&
            std::find(found->second.succeeded.begin(), found->second.succeeded.end(),
                      position) == found->second.succeeded.end())
            found->second.succeeded.push_back(position);
        add_results(worker, 1, 0);
        if (worker.on_probation && worker.succeeded >= probation_successes)
        {
            worker.on_probation = false;
            worker.quarantine_level = 0;
        }
        return changed;
    }
    job_history& record = history_of(job);
    if (record.faulty)
        return changed;
    std::vector<std::pair<index, std::uint8_t>>::iterator failure_entry =
        std::find_if(record.failed.begin(), record.failed.end(),
                     [&](const std::pair<index, std::uint8_t>& failure)
                     { return failure.first == position; });
    if (failure_entry == record.failed.end() &&
        record.failed.size() >= max_tracked_workers_per_job)
        return changed;
    if (failure_entry == record.failed.end())
        failure_entry = record.failed.insert(record.failed.end(), {position, 0});
    if (failure_entry->second >= max_failures_per_job)
        return changed;
    ++failure_entry->second;
    add_results(worker, 0, 1);
    if (check_faulty_job(workers, record, changed) ||
        worker.quarantined_until != boot_time() || !is_suspect(worker))
        return changed;
    start_quarantine(worker, now);
    // Failures of the same job are counted again after the probation begins.
    failure_entry->second = 1;
    // The results are cleared, so that the next quarantine needs new failures.
    add_results(worker, -worker.succeeded, -worker.failed);
    changed.push_back(position);
    return changed;
}

void quarantine::forget(pool<worker_record>& workers, index position)
{
    worker_record& worker = workers[position];
    add_results(worker, -worker.succeeded, -worker.failed);
    for (auto& [id, job] : jobs_)
    {
        std::erase_if(job.failed, [&](const std::pair<index, std::uint8_t>& failure)
                      { return failure.first == position; });
        std::erase(job.succeeded, position);
    }
}

} // namespace hawthornbeam::policy
