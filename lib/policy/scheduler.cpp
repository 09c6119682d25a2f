/// \file
/// Implements the scheduler: first version with linear searches.
#include "hawthornbeam/policy/scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <map>

namespace hawthornbeam::policy
{

namespace
{

struct worker_state
{
    worker_info info;
    resources used;
    bool schedulable = true;
};

struct running_task
{
    waiting_task task;
    worker_id worker;
};

struct row_state
{
    table_row row;
    bool in_table = true;
    std::deque<waiting_task> queue;
    resources running;
    std::uint32_t tasks_running = 0;
    resources remote;
};

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

double dominant_share(const resources& used, const resources& total)
{
    return std::max({fraction(used.processors.value(), total.processors.value()),
                     fraction(used.memory.value(), total.memory.value()),
                     fraction(used.accelerators.value(), total.accelerators.value())});
}

} // namespace

class scheduler::implementation
{
public:
    std::map<worker_id, worker_state> workers;
    std::map<row_id, row_state> rows;
    std::map<task_id, running_task> running;
    std::map<task_id, row_id> waiting;
    resources cluster;
    resources largest;

    resources own_capacity() const
    {
        resources sum;
        for (const auto& [id, worker] : workers)
            sum += worker.info.capacity;
        return sum;
    }

    bool possible(const resources& size) const
    {
        if (workers.empty() && largest == resources())
            return true;
        if (size.fits_in(largest))
            return true;
        return std::any_of(workers.begin(), workers.end(),
                           [&](const std::pair<const worker_id, worker_state>& entry)
                           { return size.fits_in(entry.second.info.capacity); });
    }

    void start(row_state& row, const waiting_task& task, worker_state& worker)
    {
        worker.used += task.size;
        row.running += task.size;
        ++row.tasks_running;
        running.emplace(task.id, running_task{task, worker.info.id});
    }

    void finish(const task_id& id)
    {
        const std::map<task_id, running_task>::iterator found = running.find(id);
        if (found == running.end())
            return;
        workers.at(found->second.worker).used -= found->second.task.size;
        row_state& row = rows[found->second.task.row];
        row.running -= found->second.task.size;
        --row.tasks_running;
        running.erase(found);
    }

    worker_state* pick(const resources& size)
    {
        worker_state* best = nullptr;
        for (auto& [id, worker] : workers)
        {
            if (!worker.schedulable ||
                !(worker.used + size).fits_in(worker.info.capacity))
                continue;
            if (best == nullptr || worker.used.processors > best->used.processors)
                best = &worker;
        }
        return best;
    }

    bool start_unit(row_state& row, boot_time now, decisions& result)
    {
        const waiting_task head = row.queue.front();
        if (head.start_by < now)
        {
            waiting.erase(head.id);
            row.queue.pop_front();
            result.refusals.push_back({head.id, error_code::deadline_exceeded,
                                       "its start deadline has passed", duration(0)});
            return true;
        }
        std::vector<waiting_task> unit;
        for (const waiting_task& task : row.queue)
        {
            if (task.id.job == head.id.job && task.gang_size == head.gang_size)
                unit.push_back(task);
            if (unit.size() >= std::max<std::uint32_t>(1, head.gang_size))
                break;
        }
        if (unit.size() < head.gang_size)
            return false;
        std::vector<placement> placed;
        for (const waiting_task& task : unit)
        {
            worker_state* worker = pick(task.size);
            if (worker == nullptr)
                break;
            start(row, task, *worker);
            placed.push_back({task.id, worker->info.id, task.size});
        }
        if (placed.size() < unit.size())
        {
            for (const placement& entry : placed)
                finish(entry.task);
            return false;
        }
        for (const placement& entry : placed)
        {
            waiting.erase(entry.task);
            std::erase_if(row.queue,
                          [&](const waiting_task& t) { return t.id == entry.task; });
            result.placements.push_back(entry);
        }
        return true;
    }
};

scheduler::scheduler(options) : implementation_(std::make_unique<implementation>()) {}
scheduler::~scheduler() = default;

void scheduler::set_table(const operators_table& table)
{
    for (auto& [id, row] : implementation_->rows)
        row.in_table = false;
    for (const table_row& row : table.rows)
    {
        row_state& state = implementation_->rows[row.id];
        state.row = row;
        state.in_table = true;
    }
}

void scheduler::set_remote_usage(const std::vector<row_usage>& usage,
                                 const resources& cluster_capacity,
                                 const resources& largest_worker)
{
    for (auto& [id, row] : implementation_->rows)
        row.remote = resources();
    for (const row_usage& entry : usage)
    {
        const std::map<row_id, row_state>::iterator row =
            implementation_->rows.find(entry.row);
        if (row != implementation_->rows.end())
            row->second.remote = entry.running;
    }
    implementation_->cluster = cluster_capacity;
    implementation_->largest = largest_worker;
}

void scheduler::add_worker(const worker_info& worker)
{
    implementation_->workers[worker.id].info = worker;
}

std::vector<task_id> scheduler::remove_worker(const worker_id& worker)
{
    std::vector<task_id> lost;
    for (const auto& [id, task] : implementation_->running)
        if (task.worker == worker)
            lost.push_back(id);
    for (const task_id& id : lost)
        implementation_->finish(id);
    implementation_->workers.erase(worker);
    return lost;
}

void scheduler::set_schedulable(const worker_id& worker, bool schedulable)
{
    const std::map<worker_id, worker_state>::iterator found =
        implementation_->workers.find(worker);
    if (found != implementation_->workers.end())
        found->second.schedulable = schedulable;
}

std::string scheduler::unschedulable_reason(const worker_id& worker, boot_time) const
{
    const std::map<worker_id, worker_state>::iterator found =
        implementation_->workers.find(worker);
    if (found == implementation_->workers.end())
        return "unknown worker";
    return found->second.schedulable ? "" : "closed to new work by its owner";
}

std::optional<refusal> scheduler::enqueue(const waiting_task& task, boot_time now)
{
    if (implementation_->waiting.contains(task.id) ||
        implementation_->running.contains(task.id))
        return refusal{task.id, error_code::conflict, "the task is known already", {}};
    const std::map<row_id, row_state>::iterator row =
        implementation_->rows.find(task.row);
    if (row == implementation_->rows.end() || !row->second.in_table)
        return refusal{task.id,
                       error_code::not_found,
                       fmt::format("the table has no row {}", task.row.value()),
                       {}};
    if (!task.size.is_valid() || !implementation_->possible(task.size))
        return refusal{task.id, error_code::invalid_input, "no worker can hold it", {}};
    if (task.start_by < now)
        return refusal{
            task.id, error_code::deadline_exceeded, "its start deadline has passed", {}};
    if (row->second.queue.size() >= row->second.row.limits.queue_length)
        return refusal{task.id, error_code::limit_exceeded,
                       "the queue of its row is full", std::chrono::seconds(1)};
    row->second.queue.push_back(task);
    implementation_->waiting.emplace(task.id, task.row);
    return std::nullopt;
}

cancel_outcome scheduler::cancel(const task_id& task)
{
    if (implementation_->running.contains(task))
        return cancel_outcome::running;
    const std::map<task_id, row_id>::iterator found = implementation_->waiting.find(task);
    if (found == implementation_->waiting.end())
        return cancel_outcome::not_found;
    std::erase_if(implementation_->rows[found->second].queue,
                  [&](const waiting_task& entry) { return entry.id == task; });
    implementation_->waiting.erase(found);
    return cancel_outcome::removed;
}

void scheduler::adopt(const waiting_task& task, const worker_id& worker, boot_time)
{
    const std::map<worker_id, worker_state>::iterator found =
        implementation_->workers.find(worker);
    if (found == implementation_->workers.end() ||
        implementation_->running.contains(task.id))
        return;
    cancel(task.id);
    implementation_->start(implementation_->rows[task.row], task, found->second);
}

void scheduler::placement_failed(const task_id& task, boot_time)
{
    const std::map<task_id, running_task>::iterator found =
        implementation_->running.find(task);
    if (found == implementation_->running.end())
        return;
    const waiting_task copy = found->second.task;
    implementation_->finish(task);
    implementation_->rows[copy.row].queue.push_front(copy);
    implementation_->waiting.emplace(task, copy.row);
}

void scheduler::task_ended(const task_id& task, ending, boot_time)
{
    implementation_->finish(task);
}

std::optional<finding> scheduler::report_usage(const task_id& task, double cores,
                                               double memory_bytes)
{
    if (std::isfinite(cores) && cores >= 0 && std::isfinite(memory_bytes) &&
        memory_bytes >= 0)
        return std::nullopt;
    return finding{"", 0, task.text(), "implausible usage report", "a finite size"};
}

decisions scheduler::decide(boot_time now, std::size_t most)
{
    decisions result;
    std::vector<row_state*> open;
    for (auto& [id, row] : implementation_->rows)
        open.push_back(&row);
    const resources total =
        component_max(implementation_->cluster, implementation_->own_capacity());
    while (result.placements.size() < most)
    {
        std::erase_if(open, [](const row_state* row) { return row->queue.empty(); });
        if (open.empty())
            break;
        const auto rank = [&](const row_state* row)
        {
            const double share = dominant_share(row->running + row->remote, total);
            return std::tuple(!(share < row->row.guaranteed), row->row.priority,
                              share / row->row.weight);
        };
        const std::vector<row_state*>::iterator first = std::min_element(
            open.begin(), open.end(),
            [&](const row_state* a, const row_state* b) { return rank(a) < rank(b); });
        if (!implementation_->start_unit(**first, now, result))
            open.erase(first);
    }
    return result;
}

std::string scheduler::explain(const task_id& task, boot_time) const
{
    if (!implementation_->waiting.contains(task))
        return "";
    return "waits for a worker with enough free capacity";
}

std::vector<row_usage> scheduler::usage() const
{
    std::vector<row_usage> result;
    for (const auto& [id, row] : implementation_->rows)
        result.push_back({id, row.running, row.tasks_running,
                          static_cast<std::uint32_t>(row.queue.size())});
    return result;
}

resources scheduler::capacity() const
{
    return implementation_->own_capacity();
}

resources scheduler::free() const
{
    resources sum;
    for (const auto& [id, worker] : implementation_->workers)
        sum += worker.info.capacity - worker.used;
    return sum;
}

std::size_t scheduler::waiting() const
{
    return implementation_->waiting.size();
}

std::size_t scheduler::running() const
{
    return implementation_->running.size();
}

} // namespace hawthornbeam::policy
