/// \file
/// Decides which tasks may still have a run that a former owner of the cell started.
#include "former_run_tracker.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

void former_run_tracker::expect_agents(std::set<instance_id> agents)
{
    agents_known_ = true;
    awaited_ = std::move(agents);
}

bool former_run_tracker::record_calls(const instance_id& agent, const former_calls& calls,
                                      boot_time now)
{
    for (const worker_calls& each : calls.workers)
        add(each, now - std::chrono::milliseconds(each.last_call_ms));
    return calls.complete && awaited_.erase(agent) > 0;
}

void former_run_tracker::restore_calls(const std::vector<worker_calls>& calls,
                                       boot_time now)
{
    for (const worker_calls& each : calls)
        add(each, now);
}

void former_run_tracker::add(const worker_calls& calls, boot_time called_at)
{
    if (!unsettled_.contains(calls.worker))
        return;
    const auto [known, added] = last_calls_.try_emplace(calls.worker, called_at);
    known->second = std::max(known->second, called_at);
    for (const task_ref& task : calls.tasks)
        tasks_[task].insert(calls.worker);
}

std::vector<worker_calls> former_run_tracker::calls() const
{
    std::map<worker_id, worker_calls> by_worker;
    for (const auto& [task, workers] : tasks_)
        for (const worker_id& worker : workers)
            by_worker[worker].tasks.push_back(task);
    std::vector<worker_calls> listed;
    for (auto& [worker, calls] : by_worker)
    {
        calls.worker = worker;
        listed.push_back(std::move(calls));
    }
    return listed;
}

bool former_run_tracker::settle(const worker_id& worker)
{
    if (unsettled_.erase(worker) == 0)
        return false;
    last_calls_.erase(worker);
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        task->second.erase(worker);
        task = task->second.empty() ? tasks_.erase(task) : std::next(task);
    }
    // From now on this owner knows all runs, also on workers that are expected again.
    if (unsettled_.empty())
    {
        agents_known_ = true;
        awaited_.clear();
    }
    return true;
}

bool former_run_tracker::may_have_run(const task_ref& task) const
{
    return !is_settled() && (!knows_calls() || tasks_.contains(task));
}

bool former_run_tracker::may_have_run(const job_key& job, std::uint32_t step) const
{
    if (is_settled() || !knows_calls())
        return !is_settled();
    const auto first = tasks_.lower_bound({job, step, 0});
    return first != tasks_.end() && first->first.job == job && first->first.step == step;
}

std::optional<boot_time> former_run_tracker::last_call_at(const worker_id& worker) const
{
    const auto found = last_calls_.find(worker);
    if (!knows_calls() || found == last_calls_.end())
        return std::nullopt;
    return found->second;
}

} // namespace hawthornbeam::cell
