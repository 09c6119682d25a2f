/// \file
/// Workers of the scheduler: entries, leases and health.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Number of recent ends of a worker that are checked to detect a faulty worker.
constexpr std::size_t health_window = 8;
/// Minimum number of failures among them, of more than one job, for a quarantine.
constexpr std::size_t failures_to_quarantine = 3;
/// Limits the quarantine, which doubles each time, to 16 s.
constexpr std::uint32_t max_quarantine_doublings = 3;
} // namespace

void scheduler::update_worker(const worker_info& worker, boot_time now)
{
    worker_status& status = implementation_->find_or_add_worker(worker.id, now);
    if (status.has_entry && worker.draining && !status.info.draining)
        implementation_->log.info("cell", "worker is draining",
                                  {{"worker", worker.id.value()}});
    if (status.info.address != worker.address)
        status.ended_unpolled_since = boot_time();
    status.info = worker;
    status.has_entry = true;
}

void scheduler::remove_worker(const worker_id& worker, boot_time now)
{
    const auto found = implementation_->workers.find(worker);
    if (found == implementation_->workers.end() || !found->second.has_entry)
        return;
    implementation_->log.info(
        "cell", "worker entry removed",
        {{"worker", worker.value()}, {"runs", std::uint64_t{found->second.runs.size()}}});
    found->second.has_entry = false;
    if (found->second.polled || found->second.process_ended)
        return;
    if (found->second.ended_unpolled_since != boot_time())
    {
        // Without an entry there is no newer address either.
        found->second.process_ended = true;
        implementation_->mark_settled(worker, now);
    }
    else
        implementation_->unsettled.insert(worker);
}

void scheduler::expect_workers(const std::vector<worker_id>& workers, boot_time now)
{
    implementation_->expected_at = now;
    for (const worker_id& id : workers)
    {
        implementation_->find_or_add_worker(id, now);
        implementation_->unsettled.insert(id);
    }
}

void scheduler::set_inherited_held(bool held)
{
    implementation_->inherited_held = held;
}

std::vector<worker_info> scheduler::workers() const
{
    std::vector<worker_info> listed;
    listed.reserve(implementation_->workers.size());
    for (const auto& [id, status] : implementation_->workers)
        listed.push_back(status.info);
    return listed;
}

void scheduler::allow_worker(const worker_id& worker)
{
    const auto found = implementation_->workers.find(worker);
    if (found != implementation_->workers.end())
        found->second.allowed = true;
}

bool scheduler::is_settled() const
{
    return implementation_->unsettled.empty();
}

bool scheduler::implementation::lease_has_ended(const worker_status& worker,
                                                boot_time at) const
{
    const duration since_contact = at - worker.contact_at;
    const duration longest_lease = limits.max_lease + max_unconfirmed_time;
    return since_contact * (1 - limits.clock_drift) > longest_lease;
}

void scheduler::confirm_claim(boot_time at)
{
    implementation_->claim_confirmed_at = at;
}

void scheduler::implementation::mark_settled(const worker_id& id, boot_time now)
{
    if (unsettled.erase(id) == 0 || !unsettled.empty())
        return;
    const std::chrono::milliseconds waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - expected_at);
    log.info("cell", "all expected workers polled or expired",
             {{"waited_ms", std::int64_t{waited.count()}}, {"last", id.value()}});
}

void scheduler::implementation::expire_workers(boot_time now)
{
    const boot_time confirmed_at = std::min(now, claim_confirmed_at);
    for (auto entry = workers.begin(); entry != workers.end();)
    {
        worker_status& worker = entry->second;
        std::erase_if(worker.abandoned, [now](const abandoned_start& each)
                      { return now - each.at > late_command_limit; });
        // A worker that this owner has polled refuses starts with lower fencing tokens,
        // so it can have no runs besides those recorded here.
        const bool has_left = !worker.has_entry &&
                              (worker.polled || worker.process_ended) &&
                              worker.runs.empty() && worker.abandoned.empty();
        if (!has_left && !lease_has_ended(worker, confirmed_at))
        {
            ++entry;
            continue;
        }
        if (unsettled.contains(entry->first))
            log.warning("cell", "expected worker not polled",
                        {{"worker", entry->first.value()},
                         {"runs", std::uint64_t{worker.runs.size()}}});
        mark_settled(entry->first, now);
        expire_runs(worker, now);
        worker.polled = false;
        if (worker.has_entry)
            ++entry;
        else
            entry = workers.erase(entry);
    }
}

void scheduler::implementation::record_health(worker_status& worker, const job_key& job,
                                              bool failed, boot_time now)
{
    worker.recent_ends.emplace_back(job, failed);
    if (worker.recent_ends.size() > health_window)
        worker.recent_ends.pop_front();
    std::set<job_key> jobs_failed;
    std::size_t failures = 0;
    for (const auto& [ended, end_failed] : worker.recent_ends)
        if (end_failed)
        {
            ++failures;
            jobs_failed.insert(ended);
        }
    if (failures < failures_to_quarantine || jobs_failed.size() < 2 ||
        2 * failures < worker.recent_ends.size())
        return;
    worker.quarantined_until =
        now + initial_quarantine *
                  (1U << std::min(worker.quarantines, max_quarantine_doublings));
    ++worker.quarantines;
    metrics.add("hawthornbeam_quarantines_total", {});
    worker.recent_ends.clear();
    log.warning("cell", "worker quarantined",
                {{"worker", worker.info.id.value()},
                 {"times", std::uint64_t{worker.quarantines}}});
}

} // namespace hawthornbeam::cell
