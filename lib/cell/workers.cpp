/// \file
/// Implements the part of the scheduler that keeps workers: entries, leases and health.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Ends of a worker that are looked at to find one that fails what it starts.
constexpr std::size_t health_window = 8;
/// So many of them must have failed, of more than one job.
constexpr std::size_t failures_to_quarantine = 3;
/// Doublings of the quarantine: at most 16 s.
constexpr std::uint32_t max_doublings = 3;
/// A look that was on its way when a lease was computed may still extend it.
constexpr duration lease_slack = std::chrono::milliseconds(500);

} // namespace

void scheduler::update_worker(const worker_info& worker, boot_time now)
{
    worker_status& status = implementation_->worker(worker.id, now);
    if (status.described && worker.draining && !status.info.draining)
        implementation_->log.info("cell", "worker is draining",
                                  {{"worker", worker.id.value()}});
    status.info = worker;
    status.described = true;
}

void scheduler::remove_worker(const worker_id& worker)
{
    const auto found = implementation_->workers.find(worker);
    if (found == implementation_->workers.end() || !found->second.described)
        return;
    implementation_->log.info(
        "cell", "worker is gone",
        {{"worker", worker.value()}, {"runs", std::uint64_t{found->second.runs.size()}}});
    found->second.described = false;
    if (!found->second.polled)
        implementation_->unsettled.insert(worker);
}

void scheduler::expect_workers(const std::vector<worker_id>& workers, boot_time now)
{
    implementation_->expected_at = now;
    for (const worker_id& id : workers)
    {
        implementation_->worker(id, now);
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

bool scheduler::implementation::lease_has_ended(const worker_status& holder,
                                                boot_time now) const
{
    const duration silent = now - holder.contact_at;
    const duration longest = limits.max_lease + limits.start_deadline + lease_slack;
    return silent >
           longest + std::chrono::duration_cast<duration>(limits.clock_drift * longest);
}

void scheduler::implementation::settle(const worker_id& id, boot_time now)
{
    if (unsettled.erase(id) == 0 || !unsettled.empty())
        return;
    const std::chrono::milliseconds waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - expected_at);
    log.info("cell", "workers settled",
             {{"waited_ms", std::int64_t{waited.count()}}, {"last", id.value()}});
}

void scheduler::implementation::expire_workers(boot_time now)
{
    for (auto position = workers.begin(); position != workers.end();)
    {
        worker_status& holder = position->second;
        std::erase_if(holder.abandoned, [now](const abandoned_start& each)
                      { return now - each.at > late_command_limit; });
        // Only this owner can start anything on a worker that has seen its token.
        const bool has_left = !holder.described && holder.polled && holder.runs.empty() &&
                              holder.abandoned.empty();
        if (!has_left && !lease_has_ended(holder, now))
        {
            ++position;
            continue;
        }
        settle(position->first, now);
        lose_runs(holder, "lease ended");
        holder.polled = false;
        if (holder.described)
            ++position;
        else
            position = workers.erase(position);
    }
}

void scheduler::implementation::record_health(worker_status& holder, const job_key& job,
                                              bool failed, boot_time now)
{
    holder.recent_ends.emplace_back(job, failed);
    if (holder.recent_ends.size() > health_window)
        holder.recent_ends.pop_front();
    std::set<job_key> jobs_failed;
    std::size_t failures = 0;
    for (const auto& [ended, bad] : holder.recent_ends)
        if (bad)
        {
            ++failures;
            jobs_failed.insert(ended);
        }
    if (failures < failures_to_quarantine || jobs_failed.size() < 2 ||
        2 * failures < holder.recent_ends.size())
        return;
    holder.quarantined_until =
        now + initial_quarantine * (1U << std::min(holder.quarantines, max_doublings));
    ++holder.quarantines;
    metrics.add("hawthornbeam_quarantines_total", {});
    holder.recent_ends.clear();
    log.warning("cell", "worker quarantined",
                {{"worker", holder.info.id.value()},
                 {"times", std::uint64_t{holder.quarantines}}});
}

} // namespace hawthornbeam::cell
