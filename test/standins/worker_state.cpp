#include "test/standins/worker_state.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace hawthornbeam::standins
{

namespace
{

constexpr std::array<const char*, 4> state_names{"running", "finished", "failed",
                                                 "stopped"};

/// Values of the directives at the beginning of a payload.
struct directives
{
    std::optional<duration> sleep;
    bool fail = false;
    bool service = false;
    double usage_factor = 1;
};

/// Applies one directive. Returns false if \p word is not a directive.
bool apply_directive(const std::string& word, directives& found)
{
    if (word == "fail")
        found.fail = true;
    else if (word == "service")
        found.service = true;
    else if (word.starts_with("sleep="))
        found.sleep =
            std::chrono::milliseconds(std::strtoll(word.c_str() + 6, nullptr, 10));
    else if (word.starts_with("use="))
        found.usage_factor = std::strtod(word.c_str() + 4, nullptr);
    else
        return false;
    return true;
}

directives parse_directives(const std::string& payload)
{
    directives found;
    std::size_t begin = 0;
    std::size_t end = payload.find(';');
    while (end != std::string::npos &&
           apply_directive(payload.substr(begin, end - begin), found))
    {
        begin = end + 1;
        end = payload.find(';', begin);
    }
    return found;
}

} // namespace

worker_state::worker_state(const clock_source& clock, worker_options options)
    : clock_(clock), options_(std::move(options))
{
}

result<lease_grant> worker_state::acquire(const instance_id& owner)
{
    advance();
    if (clock_.now() < lease_end_ && owner != owner_)
        return make_error(error_code::conflict, "the lease is held by " + owner_.value());
    owner_ = owner;
    // A new generation for the same owner fences task starts sent by the owner's previous
    // incarnation.
    granted_ = granted_.next();
    record("acquire", owner.value());
    return extend_lease();
}

lease_grant worker_state::extend_lease()
{
    lease_end_ = clock_.now() + options_.lease;
    task_lease_end_ = clock_.now() + options_.task_lease;
    return lease_grant{granted_, options_.lease, options_.task_lease};
}

result<bool> worker_state::release(generation held)
{
    BOOST_OUTCOME_TRY(check_lease(held));
    lease_end_ = clock_.now();
    record("release", owner_.value());
    return true;
}

result<lease_grant> worker_state::renew(generation held)
{
    BOOST_OUTCOME_TRY(check_lease(held));
    return extend_lease();
}

result<bool> worker_state::check_lease(generation held) const
{
    if (held == granted_ && clock_.now() < lease_end_)
        return true;
    return make_error(error_code::conflict, held == granted_
                                                ? "the lease has ended"
                                                : "another generation has been granted");
}

result<std::vector<start_outcome>>
worker_state::start(generation held, const std::vector<task_start>& tasks)
{
    advance();
    const result<bool> leased = check_lease(held);
    if (!leased)
    {
        record("fenced", std::to_string(held.value()), leased.error().message);
        return leased.error();
    }
    std::vector<start_outcome> outcomes;
    outcomes.reserve(tasks.size());
    for (const task_start& task : tasks)
        outcomes.push_back(start_task(task));
    advance();
    return outcomes;
}

start_outcome worker_state::start_task(const task_start& task)
{
    if (tasks_.contains(task.id))
    {
        record("duplicate", task.id.text());
        return start_outcome{task.id, true, {}};
    }
    std::string reason = rejection_reason(task);
    if (!reason.empty())
    {
        record("reject", task.id.text(), reason);
        return start_outcome{task.id, false, std::move(reason)};
    }
    begin(task);
    return start_outcome{task.id, true, {}};
}

std::string worker_state::rejection_reason(const task_start& task) const
{
    if (!task.size.is_valid())
        return "the size is negative";
    if (!task.size.fits_in(options_.capacity))
        return "the task is larger than the worker";
    // Compares by subtraction because the sum of two valid sizes may overflow.
    if (!task.size.fits_in(options_.capacity - used()))
        return "the worker is full";
    return {};
}

void worker_state::begin(const task_start& task)
{
    const directives requested = parse_directives(task.payload);
    stored_task held;
    held.report.id = task.id;
    held.report.row = task.row;
    held.report.size = task.size;
    held.report.idempotent = task.idempotent;
    held.report.job_owner = task.job_owner;
    held.started = clock_.now();
    held.payload = task.payload;
    held.fails = requested.fail || fails_everything_;
    held.usage_factor = requested.usage_factor;
    if (fails_everything_)
        held.end = held.started;
    else if (!requested.service)
        held.end = held.started + requested.sleep.value_or(task.declared_run_time);
    record("start", task.id.text(), {}, &held.report);
    tasks_.emplace(task.id, std::move(held));
}

void worker_state::end(stored_task& task, task_state state, std::string output)
{
    task.report.state = state;
    task.report.output = std::move(output);
    task.event = ++last_event_;
    record("end", task.report.id.text(), state_names[static_cast<std::size_t>(state)],
           &task.report);
}

result<worker_events> worker_state::events(generation held, std::uint64_t after)
{
    BOOST_OUTCOME_TRY(check_lease(held));
    report_usage();
    worker_events found;
    found.seen = last_event_;
    found.lease = lease_grant{granted_, options_.lease, options_.task_lease};
    for (const std::pair<const task_id, stored_task>& task : tasks_)
        if (task.second.event > after && !task.second.forget_at)
            found.tasks.push_back(task.second.report);
    return found;
}

void worker_state::report_usage()
{
    const boot_time now = clock_.now();
    if (now < next_usage_)
        return;
    next_usage_ = now + options_.usage_lag;
    for (std::pair<const task_id, stored_task>& entry : tasks_)
    {
        stored_task& task = entry.second;
        if (task.report.state != task_state::running ||
            now - task.started < options_.usage_lag)
            continue;
        task.report.used_cores =
            task.usage_factor * static_cast<double>(task.report.size.processors.value()) /
            1000;
        task.report.used_memory =
            task.usage_factor * static_cast<double>(task.report.size.memory.value());
        task.event = ++last_event_;
    }
}

std::vector<task_report> worker_state::list() const
{
    std::vector<task_report> reports;
    for (const std::pair<const task_id, stored_task>& task : tasks_)
        if (!task.second.forget_at)
            reports.push_back(task.second.report);
    return reports;
}

std::optional<task_report> worker_state::task(const task_id& id) const
{
    const std::map<task_id, stored_task>::const_iterator found = tasks_.find(id);
    if (found == tasks_.end())
        return std::nullopt;
    return found->second.report;
}

result<bool> worker_state::acknowledge(generation held, const std::vector<task_id>& tasks)
{
    BOOST_OUTCOME_TRY(check_lease(held));
    for (const task_id& id : tasks)
    {
        const std::map<task_id, stored_task>::iterator found = tasks_.find(id);
        if (found == tasks_.end() || found->second.forget_at ||
            found->second.report.state == task_state::running)
            continue;
        found->second.report.output.clear();
        found->second.payload.clear();
        found->second.forget_at = clock_.now() + options_.memory;
        record("acknowledge", id.text());
    }
    return true;
}

result<bool> worker_state::control(generation held, const task_id& id, task_action action)
{
    advance();
    BOOST_OUTCOME_TRY(check_lease(held));
    const std::map<task_id, stored_task>::iterator found = tasks_.find(id);
    if (found == tasks_.end() || found->second.report.state != task_state::running)
        return false;
    stored_task& task = found->second;
    const boot_time now = clock_.now();
    if (action == task_action::stop)
        end(task, task_state::stopped, {});
    else if (action == task_action::checkpoint)
        end(task, task_state::stopped, "checkpoint");
    else if (task.end)
        task.end = now + 2 * (*task.end - now); // Runs at half speed.
    return true;
}

void worker_state::advance()
{
    end_due_tasks();
    if (task_lease_end_ <= clock_.now())
        for (std::pair<const task_id, stored_task>& task : tasks_)
            if (task.second.report.state == task_state::running)
                end(task.second, task_state::stopped, "task lease ended");
    forget_old_tasks();
}

void worker_state::end_due_tasks()
{
    const boot_time now = clock_.now();
    std::vector<stored_task*> due;
    for (std::pair<const task_id, stored_task>& task : tasks_)
        if (task.second.report.state == task_state::running && task.second.end &&
            *task.second.end <= std::min(now, task_lease_end_))
            due.push_back(&task.second);
    std::stable_sort(due.begin(), due.end(),
                     [](const stored_task* a, const stored_task* b)
                     { return *a->end < *b->end; });
    for (stored_task* task : due)
        end(*task, task->fails ? task_state::failed : task_state::finished,
            std::move(task->payload));
}

void worker_state::forget_old_tasks()
{
    const boot_time now = clock_.now();
    std::erase_if(tasks_, [now](const std::pair<const task_id, stored_task>& task)
                  { return task.second.forget_at && *task.second.forget_at <= now; });
}

std::optional<boot_time> worker_state::next_end() const
{
    std::optional<boot_time> next;
    for (const std::pair<const task_id, stored_task>& task : tasks_)
    {
        if (task.second.report.state != task_state::running)
            continue;
        const boot_time due = task.second.end
                                  ? std::min(*task.second.end, task_lease_end_)
                                  : task_lease_end_;
        next = next ? std::min(*next, due) : due;
    }
    return next;
}

bool worker_state::ended_after(std::uint64_t after) const
{
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [after](const std::pair<const task_id, stored_task>& task)
                       {
                           return task.second.event > after && !task.second.forget_at &&
                                  task.second.report.state != task_state::running;
                       });
}

void worker_state::lapse_lease()
{
    lease_end_ = clock_.now();
    record("lapse", owner_.value());
}

void worker_state::kill()
{
    record("kill", options_.id.value());
    tasks_.clear();
    lease_end_ = clock_.now();
}

resources worker_state::used() const
{
    resources sum;
    for (const std::pair<const task_id, stored_task>& task : tasks_)
        if (task.second.report.state == task_state::running)
            sum += task.second.report.size;
    return sum;
}

void worker_state::record(const std::string& event, const std::string& subject,
                          const std::string& detail, const task_report* task)
{
    history_.push_back(history_entry{clock_.now(), options_.id, event, granted_, subject,
                                     detail, task != nullptr ? task->size : resources(),
                                     task != nullptr ? task->job_owner : instance_id()});
}

} // namespace hawthornbeam::standins
