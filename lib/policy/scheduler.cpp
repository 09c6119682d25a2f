/// \file
/// Public interface of the scheduler, on top of its state and decision rounds.
#include "hawthornbeam/policy/scheduler.hpp"

#include "round.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace hawthornbeam::policy
{

namespace
{

/// A task is refused after this number of failed starts.
constexpr std::uint8_t max_failed_starts = 8;
/// Up to this number of failed starts, a task is retried without a delay.
constexpr std::uint8_t immediate_retries = 2;
constexpr duration initial_back_off = std::chrono::milliseconds(50);
/// A preempted service task that has not started again after this time is assumed to be
/// abandoned by its caller.
constexpr duration abandoned_service_timeout = std::chrono::seconds(60);
/// Reported usage may exceed the capacity of the worker by this factor, because the
/// measurement includes short bursts.
constexpr double usage_report_margin = 1.1;
constexpr duration gang_assembly_timeout = std::chrono::seconds(30);

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

class scheduler::implementation
{
public:
    explicit implementation(const options& settings) : all(settings) {}

    state all;
    /// Refusals made between rounds; the next decide() returns them.
    std::vector<refusal> refused;

    std::optional<refusal> check_admission(const waiting_task& task, row_record& row,
                                           boot_time now);
    /// Initializes the record at \p position from \p task.
    void init_record(index position, const waiting_task& task, index row);
    /// Adds the task to the gang of its job and queues the gang when it is complete.
    void join_gang(index position, boot_time now);
    /// Releases all holds on \p worker.
    void release_holds(index worker, boot_time now);
    index worker_position(const worker_id& id) const;
    /// Updates the counters for preempted tasks of \p row when one of its tasks ends.
    void record_preemption(row_record& row, boot_time now, bool preempted);
};

index scheduler::implementation::worker_position(const worker_id& id) const
{
    const absl::flat_hash_map<worker_id, index, std::hash<worker_id>>::const_iterator
        found = all.worker_positions.find(id);
    return found == all.worker_positions.end() ? none : found->second;
}

void scheduler::implementation::release_holds(index worker, boot_time)
{
    while (!all.workers[worker].holds.empty())
        all.release_hold(all.holds[all.workers[worker].holds.front()].leader);
}

scheduler::scheduler(options settings)
    : implementation_(std::make_unique<implementation>(settings))
{
}

scheduler::~scheduler() = default;

void scheduler::set_table(const operators_table& table)
{
    state& all = implementation_->all;
    for (row_record& row : all.rows)
        row.in_table = false;
    for (const table_row& settings : table.rows)
    {
        row_record& row = all.rows[all.row_position(settings.id)];
        row.settings = settings;
        row.settings.priority = std::min(row.settings.priority, least_urgent);
        row.in_table = true;
    }
    all.rows_removed = std::any_of(all.rows.begin(), all.rows.end(),
                                   [](const row_record& row)
                                   { return !row.in_table && row.waiting > 0; });
    all.recount_partners();
}

void scheduler::set_remote_usage(const std::vector<row_usage>& usage,
                                 const resources& cluster_capacity,
                                 const resources& largest_worker)
{
    state& all = implementation_->all;
    for (row_record& row : all.rows)
    {
        row.remote = resources();
        row.remote_tasks = 0;
    }
    for (const row_usage& entry : usage)
    {
        row_record& row = all.rows[all.row_position(entry.row)];
        row.remote += entry.running;
        row.remote_tasks += entry.tasks_running;
    }
    all.cluster = cluster_capacity;
    all.shapes.set_largest_remote(largest_worker);
    all.start_summary_period();
}

void scheduler::add_worker(const worker_info& worker)
{
    state& all = implementation_->all;
    const index position = implementation_->worker_position(worker.id);
    if (position == none)
    {
        all.add_worker(worker);
        return;
    }
    // A worker that is announced again keeps its tasks, but its capacity may differ.
    worker_record& record = all.workers[position];
    all.own_capacity += worker.capacity - record.info.capacity;
    all.shapes.remove(record.info.capacity);
    all.shapes.add(worker.capacity);
    record.info.capacity = worker.capacity;
    all.refresh(position);
}

std::vector<task_id> scheduler::remove_worker(const worker_id& worker)
{
    state& all = implementation_->all;
    std::vector<task_id> lost;
    const index position = implementation_->worker_position(worker);
    if (position == none)
        return lost;
    implementation_->release_holds(position, boot_time());
    worker_record& record = all.workers[position];
    while (record.running.head != none)
    {
        const index task = record.running.head;
        lost.push_back(all.tasks[task].id);
        all.end_running(task);
        all.erase_task(task);
    }
    all.domains[record.domain].remove(position);
    all.failures.forget(all.workers, position);
    all.timers.erase({record.quarantined_until, timer_kind::quarantine_end, position});
    all.own_capacity -= record.info.capacity;
    all.shapes.remove(record.info.capacity);
    all.worker_positions.erase(worker);
    all.workers.remove(position);
    return lost;
}

void scheduler::set_schedulable(const worker_id& worker, bool schedulable)
{
    const index position = implementation_->worker_position(worker);
    if (position == none)
        return;
    state& all = implementation_->all;
    all.workers[position].schedulable = schedulable;
    all.refresh(position);
    if (!schedulable)
        implementation_->release_holds(position, boot_time());
}

std::string scheduler::unschedulable_reason(const worker_id& worker, boot_time now) const
{
    const index position = implementation_->worker_position(worker);
    if (position == none)
        return "the worker is not known";
    const worker_record& record = implementation_->all.workers[position];
    if (!record.schedulable)
        return "the worker is leaving or its owner lease is not held";
    if (record.quarantined_until > now)
        return fmt::format("in quarantine for {:.1f} s more, because its tasks fail more "
                           "often than those of other workers",
                           seconds(record.quarantined_until - now));
    return "";
}

std::optional<refusal>
scheduler::implementation::check_admission(const waiting_task& task, row_record& row,
                                           boot_time now)
{
    if (!task.size.is_valid())
        return refusal{
            task.id, error_code::invalid_input, "its declared size is negative", {}};
    const std::string reason = impossible_reason(all, row, task.size, task.gang_size);
    if (!reason.empty())
        return refusal{task.id, error_code::invalid_input, reason, {}};
    if (task.start_by < now)
        return refusal{
            task.id, error_code::deadline_exceeded, "its start deadline has passed", {}};
    row.drain.advance(now, row.waiting > 0);
    const std::uint32_t limit = row.settings.limits.queue_length;
    const std::uint32_t gang_size = std::max<std::uint32_t>(1, task.gang_size);
    if (gang_size > limit)
        return refusal{
            task.id,
            error_code::invalid_input,
            fmt::format("its gang has {} tasks, and the queue of row {} holds {}",
                        gang_size, row.settings.id.value(), limit),
            {}};
    const bool joins = task.gang_size > 1 && all.gang_positions.contains(task.id.job);
    // The first member of a gang reserves queue slots for all members.
    const bool requeued =
        task.id.attempt > 0 && task.gang_size <= 1 && row.requeue_allowance > 0;
    if (!joins && !requeued && row.waiting + row.missing_members + gang_size > limit)
        return refusal{
            task.id, error_code::limit_exceeded,
            fmt::format("the queue of row {} is full with {} tasks",
                        row.settings.id.value(), row.waiting),
            std::max<duration>(std::chrono::seconds(1), row.drain.wait(row.waiting) / 2)};
    if (row.settings.kind != workload::request || task.start_by == boot_time::max())
        return std::nullopt;
    const duration wait = row.drain.wait(row.waiting);
    if (now + wait <= task.start_by)
        return std::nullopt;
    return refusal{
        task.id, error_code::deadline_exceeded,
        fmt::format(
            "{} tasks wait before it, about {:.1f} s, and it must start within {:.1f} s",
            row.waiting, seconds(wait), seconds(task.start_by - now)),
        wait - (task.start_by - now)};
}

void scheduler::implementation::init_record(index position, const waiting_task& task,
                                            index row)
{
    task_record& record = all.tasks[position];
    record.id = task.id;
    record.size = task.size;
    record.run_time = task.run_time;
    record.enqueued = task.enqueued;
    record.start_by = task.start_by;
    record.row = row;
    record.gang_size = task.gang_size > 1 ? task.gang_size : 0;
    record.idempotent = task.idempotent;
    record.spread = task.spread_domains;
    all.task_positions[task.id] = position;
}

void scheduler::implementation::join_gang(index position, boot_time now)
{
    task_record& task = all.tasks[position];
    row_record& row = all.rows[task.row];
    const auto [entry, added] = all.gang_positions.try_emplace(task.id.job, none);
    if (added)
    {
        entry->second = all.gangs.add();
        gang_record& new_gang = all.gangs[entry->second];
        new_gang.size = task.gang_size;
        new_gang.row = task.row;
        new_gang.assembly_until = now + gang_assembly_timeout;
        all.timers.insert(
            {new_gang.assembly_until, timer_kind::gang_assembly, entry->second});
        row.missing_members += new_gang.size;
    }
    gang_record& gang = all.gangs[entry->second];
    task.gang = entry->second;
    task.gang_position = static_cast<index>(gang.members.size());
    task.phase = task_phase::assembling;
    gang.members.push_back(position);
    --row.missing_members;
    if (gang.members.size() < gang.size)
        return;
    gang.complete = true;
    all.timers.erase({gang.assembly_until, timer_kind::gang_assembly, task.gang});
    all.queue_unit(gang.members.front(), false);
}

std::optional<refusal> scheduler::enqueue(const waiting_task& task, boot_time now)
{
    state& all = implementation_->all;
    all.last_call_time = now;
    if (all.task_positions.contains(task.id))
        return refusal{task.id, error_code::conflict, "it waits or runs already", {}};
    const absl::flat_hash_map<row_id, index, std::hash<row_id>>::const_iterator found =
        all.row_positions.find(task.row);
    if (found == all.row_positions.end() || !all.rows[found->second].in_table)
        return refusal{task.id,
                       error_code::not_found,
                       fmt::format("the table has no row {}", task.row.value()),
                       {}};
    row_record& row = all.rows[found->second];
    if (const std::optional<refusal> refused =
            implementation_->check_admission(task, row, now))
        return refused;
    const absl::flat_hash_map<job_id, index, std::hash<job_id>>::const_iterator gang =
        all.gang_positions.find(task.id.job);
    if (task.gang_size > 1 && gang != all.gang_positions.end() &&
        (all.gangs[gang->second].complete ||
         all.gangs[gang->second].row != found->second ||
         all.gangs[gang->second].size != task.gang_size))
        return refusal{
            task.id, error_code::conflict, "it does not match the gang of its job", {}};
    const index position = all.tasks.add();
    implementation_->init_record(position, task, found->second);
    ++row.waiting;
    ++all.waiting;
    all.set_deadline_timer(position, true);
    if (task.gang_size > 1)
    {
        implementation_->join_gang(position, now);
        return std::nullopt;
    }
    // A preempted task continues before new tasks start.
    const bool requeued = task.id.attempt > 0 && row.requeue_allowance > 0;
    if (requeued)
        --row.requeue_allowance;
    all.queue_unit(position, requeued);
    return std::nullopt;
}

cancel_outcome scheduler::cancel(const task_id& task)
{
    state& all = implementation_->all;
    const absl::flat_hash_map<task_id, index, task_hash>::iterator found =
        all.task_positions.find(task);
    if (found == all.task_positions.end())
        return cancel_outcome::not_found;
    const index position = found->second;
    if (all.tasks[position].phase == task_phase::running)
        return cancel_outcome::running;
    all.remove_waiting(position, all.last_call_time);
    return cancel_outcome::removed;
}

void scheduler::adopt(const waiting_task& task, const worker_id& worker, boot_time now)
{
    state& all = implementation_->all;
    const index worker_position = implementation_->worker_position(worker);
    if (worker_position == none || cancel(task.id) == cancel_outcome::running)
        return;
    const index row = all.row_position(task.row);
    const index position = all.tasks.add();
    implementation_->init_record(position, task, row);
    all.charge(worker_position, task.size);
    all.begin_running(position, worker_position, task.size, now);
}

void scheduler::placement_failed(const task_id& task, boot_time now)
{
    state& all = implementation_->all;
    const absl::flat_hash_map<task_id, index, task_hash>::iterator found =
        all.task_positions.find(task);
    if (found == all.task_positions.end())
        return;
    const index position = found->second;
    task_record& record = all.tasks[position];
    if (record.phase != task_phase::running)
        return;
    all.end_running(position);
    record.hold = none;
    // The rest of its gang runs already, so this task restarts alone.
    record.gang_size = 0;
    ++record.failed_starts;
    if (record.failed_starts >= max_failed_starts)
    {
        implementation_->refused.push_back(
            {task, error_code::unavailable,
             fmt::format("{} workers rejected it", record.failed_starts),
             std::chrono::seconds(1)});
        all.erase_task(position);
        return;
    }
    row_record& row = all.rows[record.row];
    ++row.waiting;
    ++all.waiting;
    all.set_deadline_timer(position, true);
    record.due = boot_time();
    if (!row.in_table)
        all.rows_removed = true;
    if (record.failed_starts <= immediate_retries)
    {
        all.queue_unit(position, true);
        return;
    }
    record.phase = task_phase::delayed;
    record.due =
        now + all.random.jitter(initial_back_off *
                                    (1 << (record.failed_starts - immediate_retries - 1)),
                                0.5);
    all.timers.insert({record.due, timer_kind::back_off, position});
}

void scheduler::implementation::record_preemption(row_record& row, boot_time now,
                                                  bool preempted)
{
    if (row.awaiting_restart > 0 && now >= row.awaiting_restart_until)
        row.awaiting_restart = 0;
    if (!preempted)
        return;
    row.requeue_allowance =
        std::min(row.requeue_allowance + 1, row.settings.limits.queue_length);
    if (row.settings.kind != workload::service)
        return;
    ++row.awaiting_restart;
    row.awaiting_restart_until = now + abandoned_service_timeout;
}

void scheduler::task_ended(const task_id& task, task_outcome outcome, boot_time now)
{
    state& all = implementation_->all;
    const absl::flat_hash_map<task_id, index, task_hash>::iterator found =
        all.task_positions.find(task);
    if (found == all.task_positions.end())
        return;
    const index position = found->second;
    const task_record& record = all.tasks[position];
    if (record.phase != task_phase::running)
        return;
    const index worker = record.worker;
    implementation_->record_preemption(all.rows[record.row], now,
                                       outcome == task_outcome::preempted);
    all.end_running(position);
    all.erase_task(position);
    if (outcome != task_outcome::success && outcome != task_outcome::failure)
        return;
    for (const index changed : all.failures.record_result(
             all.workers, worker, task.job, outcome == task_outcome::success, now))
    {
        const worker_record& changed_worker = all.workers[changed];
        if (changed_worker.quarantined_until != boot_time())
            all.timers.insert(
                {changed_worker.quarantined_until, timer_kind::quarantine_end, changed});
        all.refresh(changed);
    }
}

std::optional<finding> scheduler::report_usage(const task_id& task, double cores,
                                               double memory_bytes)
{
    state& all = implementation_->all;
    const absl::flat_hash_map<task_id, index, task_hash>::iterator found =
        all.task_positions.find(task);
    if (found == all.task_positions.end() ||
        all.tasks[found->second].phase != task_phase::running)
        return finding{"", 0, task.text(), "usage of a task that does not run here",
                       "a running task"};
    task_record& record = all.tasks[found->second];
    const resources& capacity = all.workers[record.worker].info.capacity;
    const double max_cores =
        usage_report_margin * static_cast<double>(capacity.processors.value()) / 1000;
    const double max_bytes =
        usage_report_margin * static_cast<double>(capacity.memory.value());
    // Comparisons with NaN are false, so NaN is rejected too.
    if (!(cores >= 0 && cores <= max_cores))
        return finding{"", 0, task.text() + "/cores",
                       fmt::format("implausible usage of {} cores", cores),
                       fmt::format("0 to {:.1f}", max_cores)};
    if (!(memory_bytes >= 0 && memory_bytes <= max_bytes))
        return finding{"", 0, task.text() + "/memory",
                       fmt::format("implausible usage of {} bytes", memory_bytes),
                       fmt::format("0 to {:.0f}", max_bytes)};
    all.rows[record.row].learned.report(record.usage, record.size, cores, memory_bytes);
    return std::nullopt;
}

decisions scheduler::decide(boot_time now, std::size_t max_placements)
{
    implementation_->all.last_call_time = now;
    decisions result = decision_round(implementation_->all, now, max_placements).run();
    result.refusals.insert(result.refusals.end(), implementation_->refused.begin(),
                           implementation_->refused.end());
    implementation_->refused.clear();
    return result;
}

std::vector<row_usage> scheduler::usage() const
{
    std::vector<row_usage> result;
    for (const row_record& row : implementation_->all.rows)
        result.push_back({row.settings.id, row.running, row.tasks_running, row.waiting});
    return result;
}

resources scheduler::capacity() const
{
    return implementation_->all.own_capacity;
}

resources scheduler::free() const
{
    return implementation_->all.own_capacity - implementation_->all.own_used;
}

std::size_t scheduler::waiting() const
{
    return implementation_->all.waiting;
}

std::size_t scheduler::running() const
{
    return implementation_->all.running;
}

std::string scheduler::explain(const task_id& task, boot_time now) const
{
    const absl::flat_hash_map<task_id, index, task_hash>::const_iterator found =
        implementation_->all.task_positions.find(task);
    if (found == implementation_->all.task_positions.end())
        return "";
    return explain_waiting(implementation_->all, found->second, now);
}

} // namespace hawthornbeam::policy
