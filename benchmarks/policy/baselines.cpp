#include "baselines.hpp"

#include <algorithm>

namespace hawthornbeam::policy
{

void baseline_subject::set_table(const operators_table& table)
{
    for (const table_row& row : table.rows)
    {
        priorities_[row.id] = row.priority;
        queue_limits_[row.id] = row.limits.queue_length;
    }
}

bool baseline_subject::enqueue(const waiting_task& task, boot_time)
{
    if (waiting_[task.row] >= queue_limits_[task.row])
        return false;
    ++waiting_[task.row];
    if (order_ == baseline_order::arrival)
        queues_[{urgency(0), row_id()}].push_back(task);
    else
        queues_[{priorities_[task.row], task.row}].push_back(task);
    return true;
}

void baseline_subject::task_ended(const task_id& task, task_outcome, boot_time)
{
    const std::map<task_id, running_task>::iterator found = running_.find(task);
    if (found == running_.end())
        return;
    workers_[found->second.worker].free += found->second.size;
    running_.erase(found);
}

std::size_t baseline_subject::select_worker(const resources& size)
{
    std::size_t best = workers_.size();
    std::size_t fitting = 0;
    for (std::size_t i = 0; i < workers_.size(); ++i)
    {
        if (!size.fits_in(workers_[i].free))
            continue;
        ++fitting;
        if (fit_ == baseline_fit::first)
            return i;
        const bool better =
            best == workers_.size() ||
            (fit_ == baseline_fit::best
                 ? workers_[i].free.processors < workers_[best].free.processors
                 : random_.below(fitting) == 0);
        if (better)
            best = i;
    }
    return best;
}

bool baseline_subject::start_head(std::deque<waiting_task>& queue, boot_time now,
                                  decisions& out)
{
    const waiting_task head = queue.front();
    const std::size_t members = std::max<std::uint32_t>(1, head.gang_size);
    if (head.start_by < now)
    {
        out.refusals.push_back({head.id, error_code::deadline_exceeded, "", {}});
        queue.pop_front();
        --waiting_[head.row];
        return true;
    }
    // The members of a gang arrive together, so they are consecutive in the queue.
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < members; ++i)
    {
        const std::size_t worker = select_worker(head.size);
        if (worker == workers_.size())
            break;
        workers_[worker].free -= head.size;
        chosen.push_back(worker);
    }
    if (chosen.size() < members)
    {
        for (const std::size_t worker : chosen)
            workers_[worker].free += head.size;
        return false;
    }
    for (const std::size_t worker : chosen)
    {
        const waiting_task task = queue.front();
        queue.pop_front();
        --waiting_[task.row];
        running_[task.id] = {worker, task.size};
        out.placements.push_back({task.id, workers_[worker].info.id, task.size});
    }
    return true;
}

decisions baseline_subject::decide(boot_time now)
{
    decisions out;
    for (auto& [key, queue] : queues_)
    {
        while (!queue.empty() && start_head(queue, now, out))
        {
        }
    }
    return out;
}

} // namespace hawthornbeam::policy
