/// \file
/// Verdicts on failed runs, and quarantines of workers.
#include "outlier_detector.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Number of recent ends of a worker that are checked.
constexpr std::size_t end_window = 8;
/// Minimum number of failures among them, of more than one job, for a quarantine.
constexpr std::size_t failures_to_quarantine = 3;
/// The same for a worker in quarantine to stay there, and for one on probation.
constexpr std::size_t failures_of_suspect = 2;
/// Successes in a row that end a probation, and the longest time that it takes.
constexpr std::size_t probation_successes = 3;
constexpr duration probation_time = std::chrono::seconds(4);
/// Successes in a row after which the next quarantine is shorter again.
constexpr std::size_t successes_to_forgive = 8;
/// Failures count if their share of the worker's runs is more than this many times that
/// of the others.
constexpr double failure_ratio = 2;
/// Duration of the first quarantine, and limit of the doublings (16 s).
constexpr duration first_quarantine = std::chrono::seconds(2);
constexpr std::uint32_t max_doublings = 3;
/// Number of failed tasks that are remembered; the oldest are dropped.
constexpr std::size_t max_failed_tasks = 4096;

} // namespace

outlier_detector::worker_record& outlier_detector::record_of(const worker_id& id,
                                                             boot_time now)
{
    worker_record& worker = workers_[id];
    if (worker.quarantined_until != boot_time() && worker.quarantined_until <= now)
    {
        worker.probation_until = worker.quarantined_until + probation_time;
        worker.quarantined_until = boot_time();
        clear_settled(worker);
        worker.open.clear();
        clear_recent(worker);
    }
    return worker;
}

void outlier_detector::add_recent(worker_record& worker, bool failed)
{
    worker.failed.push_back(failed);
    worker.failed_count += failed ? 1U : 0U;
    recent_failures_ += failed ? 1U : 0U;
    ++recent_ends_;
    ++worker.last_end;
    std::erase_if(worker.open, [&worker](const open_failure& each)
                  { return worker.last_end - each.end >= end_window; });
    if (worker.failed.size() <= end_window)
        return;
    const std::size_t oldest = worker.failed.front() ? 1 : 0;
    worker.failed.pop_front();
    worker.failed_count -= oldest;
    recent_failures_ -= oldest;
    --recent_ends_;
}

void outlier_detector::clear_recent(worker_record& worker)
{
    recent_ends_ -= worker.failed.size();
    recent_failures_ -= worker.failed_count;
    worker.failed.clear();
    worker.failed_count = 0;
}

void outlier_detector::add_settled(worker_record& worker, const task_ref& task,
                                   bool failed)
{
    worker.settled.push_back({task, failed});
    ++settled_ends_;
    settled_failures_ += failed ? 1U : 0U;
    if (worker.settled.size() <= end_window)
        return;
    settled_failures_ -= worker.settled.front().failed ? 1U : 0U;
    --settled_ends_;
    worker.settled.pop_front();
}

void outlier_detector::clear_settled(worker_record& worker)
{
    settled_ends_ -= worker.settled.size();
    settled_failures_ -= static_cast<std::size_t>(
        std::ranges::count(worker.settled, true, &settled_end::failed));
    worker.settled.clear();
}

void outlier_detector::settle(worker_record& worker, const task_ref& task)
{
    std::erase_if(worker.open,
                  [&task](const open_failure& each) { return each.task == task; });
}

void outlier_detector::track(const worker_id& worker, const task_ref& task)
{
    const auto [found, added] = failed_tasks_.try_emplace(task);
    found->second.insert(worker);
    if (!added)
        return;
    tasks_by_age_.push_back(task);
    if (tasks_by_age_.size() <= max_failed_tasks)
        return;
    failed_tasks_.erase(tasks_by_age_.front());
    tasks_by_age_.pop_front();
}

double outlier_detector::others_failing(const worker_record& worker) const
{
    const std::size_t others = recent_ends_ - worker.failed.size();
    return others == 0 ? 0
                       : static_cast<double>(recent_failures_ - worker.failed_count) /
                             static_cast<double>(others);
}

bool outlier_detector::fails_more_than_others(const worker_record& worker) const
{
    return static_cast<double>(worker.failed_count) >
           failure_ratio * others_failing(worker) *
               static_cast<double>(worker.failed.size());
}

bool outlier_detector::is_blamed_more_than_others(const worker_record& worker) const
{
    const std::size_t own = static_cast<std::size_t>(
        std::ranges::count(worker.settled, true, &settled_end::failed));
    const std::size_t others = settled_ends_ - worker.settled.size();
    return others == 0 ||
           static_cast<double>(own * others) >
               failure_ratio *
                   static_cast<double>((settled_failures_ - own) * worker.settled.size());
}

bool outlier_detector::failed_on_sound_worker(const std::set<worker_id>& failed_on,
                                              const worker_id& worker,
                                              boot_time now) const
{
    return std::ranges::any_of(failed_on,
                               [this, &worker, now](const worker_id& id)
                               {
                                   const auto other = workers_.find(id);
                                   return id != worker && other != workers_.end() &&
                                          other->second.quarantined_until <= now &&
                                          other->second.probation_until <= now &&
                                          !fails_more_than_others(other->second);
                               });
}

outlier_detector::evidence outlier_detector::weigh(const worker_record& worker,
                                                   bool with_open, bool with_settled)
{
    // Open failures take the places of the oldest settled ends in the window.
    const std::size_t open = with_open ? worker.open.size() : 0;
    const std::size_t settled = std::min(worker.settled.size(), end_window - open);
    std::set<job_key> jobs;
    std::size_t failures = open;
    for (std::size_t each = worker.settled.size() - settled; each < worker.settled.size();
         ++each)
        if (worker.settled[each].failed && with_settled)
        {
            ++failures;
            jobs.insert(worker.settled[each].task.job);
        }
    if (with_open)
        for (const open_failure& each : worker.open)
            jobs.insert(each.task.job);
    return {settled + open, failures, jobs.size()};
}

bool outlier_detector::is_suspect(const worker_record& worker, boot_time now) const
{
    const bool is_quarantined = worker.quarantined_until > now;
    const evidence found = weigh(worker, is_quarantined || fails_more_than_others(worker),
                                 is_quarantined || is_blamed_more_than_others(worker));
    const std::size_t needed = is_quarantined || worker.probation_until > now
                                   ? failures_of_suspect
                                   : failures_to_quarantine;
    // The window of a worker in quarantine may hold the runs of one wide job only.
    return found.failures >= needed && (is_quarantined || found.failed_jobs > 1) &&
           2 * found.failures >= found.ends;
}

std::size_t outlier_detector::quarantined(boot_time now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        workers_, [now](const std::pair<const worker_id, worker_record>& entry)
        { return entry.second.quarantined_until > now; }));
}

void outlier_detector::judge(const worker_id& id, boot_time now,
                             std::vector<quarantine_change>& changes)
{
    worker_record& worker = record_of(id, now);
    const bool is_quarantined = worker.quarantined_until > now;
    if (is_suspect(worker, now) == is_quarantined)
        return;
    if (is_quarantined)
    {
        worker.quarantined_until = boot_time();
        --worker.quarantines;
    }
    else
    {
        if (2 * (quarantined(now) + 1) > worker_count_)
            return;
        worker.quarantined_until =
            now + first_quarantine * (1U << std::min(worker.quarantines, max_doublings));
        ++worker.quarantines;
        worker.probation_until = boot_time();
        worker.successes = 0;
    }
    quarantine_change change;
    change.worker = id;
    change.until = worker.quarantined_until;
    change.times = worker.quarantines;
    change.failures = worker.open.size() +
                      static_cast<std::size_t>(
                          std::ranges::count(worker.settled, true, &settled_end::failed));
    change.others_failing = others_failing(worker);
    changes.push_back(change);
}

std::vector<quarantine_change> outlier_detector::record_success(const worker_id& worker,
                                                                const task_ref& task,
                                                                boot_time now)
{
    std::vector<quarantine_change> changes;
    worker_record& record = record_of(worker, now);
    add_recent(record, false);
    add_settled(record, task, false);
    ++record.successes;
    if (record.successes == probation_successes)
        record.probation_until = boot_time();
    if (record.successes % successes_to_forgive == 0 && record.quarantines > 0 &&
        record.quarantined_until <= now)
        --record.quarantines;
    const auto failed = failed_tasks_.find(task);
    if (failed != failed_tasks_.end())
    {
        settle(record, task);
        for (const worker_id& other : failed->second)
        {
            const auto blamed = workers_.find(other);
            if (other == worker || blamed == workers_.end())
                continue;
            settle(blamed->second, task);
            add_settled(blamed->second, task, true);
            judge(other, now, changes);
        }
        failed_tasks_.erase(failed);
    }
    judge(worker, now, changes);
    return changes;
}

std::vector<quarantine_change> outlier_detector::record_failure(const worker_id& worker,
                                                                const task_ref& task,
                                                                boot_time now)
{
    std::vector<quarantine_change> changes;
    worker_record& record = record_of(worker, now);
    add_recent(record, true);
    record.successes = 0;
    track(worker, task);
    const std::set<worker_id>& failed_on = failed_tasks_.at(task);
    if (!failed_on_sound_worker(failed_on, worker, now))
        record.open.push_back({task, record.last_end});
    for (const worker_id& other : failed_on)
    {
        const auto cleared = workers_.find(other);
        if (other == worker || cleared == workers_.end() ||
            !failed_on_sound_worker(failed_on, other, now))
            continue;
        settle(cleared->second, task);
        judge(other, now, changes);
    }
    judge(worker, now, changes);
    return changes;
}

bool outlier_detector::is_on_probation(const worker_id& worker, boot_time now) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return false;
    // The record of a quarantine that has ended is updated with the next end.
    const boot_time quarantined_until = found->second.quarantined_until;
    return found->second.probation_until > now ||
           (quarantined_until != boot_time() && quarantined_until + probation_time > now);
}

bool outlier_detector::has_failures(const worker_id& worker, boot_time now) const
{
    const auto found = workers_.find(worker);
    return found != workers_.end() &&
           (is_on_probation(worker, now) || !found->second.open.empty() ||
            std::ranges::any_of(found->second.settled, &settled_end::failed));
}

void outlier_detector::forget(const worker_id& worker)
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return;
    clear_recent(found->second);
    clear_settled(found->second);
    workers_.erase(found);
}

} // namespace hawthornbeam::cell
