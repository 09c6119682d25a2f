/// \file
/// Worker assignment of the slice owner: opens and closes worker sessions, drains workers
/// and leaves the cell.
#include "lib/instance/slice_owner.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam
{

void slice_owner::follow_assignment()
{
    std::vector<worker_id> to_release;
    for (const auto& [id, session] : sessions_)
    {
        const auto host = fleet_.workers().find(id);
        const bool is_assigned =
            host != fleet_.workers().end() && !leaving_ &&
            fleet_.owner_of(slice_of(host->second)) == shared_.options.self &&
            host->second.address == session->host().address;
        if (!is_assigned)
            to_release.push_back(id);
        else if (session->host().leaving != host->second.leaving)
        {
            session->set_leaving(host->second.leaving);
            update_schedulable(*session);
        }
    }
    for (const worker_id& id : to_release)
        drop_session(id, !fleet_.workers().contains(id));
    if (leaving_)
        return;
    bool opened = false;
    for (const auto& [id, host] : fleet_.workers())
    {
        if (sessions_.contains(id) ||
            fleet_.owner_of(slice_of(host)) != shared_.options.self)
            continue;
        open_session(host);
        opened = true;
    }
    if (opened)
        schedule_fence_collection();
}

void slice_owner::open_session(const host_entry& host)
{
    std::unique_ptr<worker_session>& session = sessions_[host.id];
    session = std::make_unique<worker_session>(
        shared_, host, static_cast<worker_session::observer&>(*this));
    scheduler_.add_worker(
        policy::worker_info{host.id, host.failure_domain, host.rack, host.capacity});
    scheduler_.set_schedulable(host.id, false);
    session->open();
}

void slice_owner::drop_session(const worker_id& worker, bool worker_has_left)
{
    const auto found = sessions_.find(worker);
    assert(found != sessions_.end() && "only an open session can be dropped");
    const std::shared_ptr<worker_session> session = std::move(found->second);
    sessions_.erase(found);
    drained_.erase(worker);
    const boot_time ended_by = session->tasks_end_by();
    for (const task_id& id : scheduler_.remove_worker(worker))
    {
        const auto entry = tasks_.find(id);
        if (entry == tasks_.end() || entry->second.phase == task_phase::starting)
            continue;
        if (worker_has_left && entry->second.phase == task_phase::running)
            schedule_lost_report(entry->second, ended_by);
        else
            tasks_.erase(entry);
    }
    ++closing_sessions_;
    session->close(shared_.guarded(
        [this, session, worker_has_left, ended_by]
        {
            --closing_sessions_;
            resolve_unconfirmed_starts(session->host().id, worker_has_left, ended_by);
            finish_leaving();
        }));
}

void slice_owner::resolve_unconfirmed_starts(const worker_id& worker,
                                             bool worker_has_left, boot_time ended_by)
{
    if (sessions_.contains(worker))
        return;
    std::vector<task_id> unconfirmed;
    for (const auto& [id, task] : tasks_)
        if (task.phase == task_phase::starting && task.worker == worker)
            unconfirmed.push_back(id);
    for (const task_id& id : unconfirmed)
    {
        // The next owner of the worker learns from its task list whether the task runs. A
        // worker that left the host list has no next owner.
        if (worker_has_left)
            schedule_lost_report(tasks_.at(id), ended_by);
        else
            tasks_.erase(id);
    }
}

void slice_owner::schedule_lost_report(tracked_task& task, boot_time ended_by)
{
    // The worker may still run the task until its task lease expires; only then is a
    // second start safe.
    task.phase = task_phase::lost;
    const duration delay = std::max(ended_by - shared_.now(), duration::zero());
    const std::uint64_t number = next_lost_timer_++;
    lost_timers_[number] = shared_.parts.loop.after(
        delay,
        [this, id = task.start.id, number]
        {
            const timer_handle keep = std::move(lost_timers_[number]);
            lost_timers_.erase(number);
            const auto found = tasks_.find(id);
            if (found == tasks_.end() || found->second.phase != task_phase::lost)
                return;
            send_update(found->second, wire::task_event::unknown, task_state::failed,
                        std::string());
            tasks_.erase(found);
        });
}

void slice_owner::update_schedulable(const worker_session& session)
{
    const worker_id& id = session.host().id;
    const auto drained = drained_.find(id);
    const bool is_drained = drained != drained_.end() && drained->second;
    scheduler_.set_schedulable(id, session.may_start() && !session.host().leaving &&
                                       !is_drained);
    schedule_decision();
}

bool slice_owner::drain(const worker_id& worker, bool drained)
{
    const auto found = sessions_.find(worker);
    if (found == sessions_.end())
        return false;
    drained_[worker] = drained;
    update_schedulable(*found->second);
    return true;
}

void slice_owner::describe(wire::status_reply& status, bool with_workers) const
{
    std::set<slice_id> slices;
    for (const auto& [id, session] : sessions_)
        if (session->is_reconciled())
            slices.insert(slice_of(session->host()));
    status.slices.assign(slices.begin(), slices.end());
    status.capacity = scheduler_.capacity();
    status.free = scheduler_.free();
    for (const policy::row_usage& usage : scheduler_.usage())
        status.rows.push_back(wire::row_load{usage.row, usage.running,
                                             usage.tasks_running, usage.tasks_waiting});
    if (with_workers)
        describe_workers(status);
}

void slice_owner::describe_workers(wire::status_reply& status) const
{
    std::map<worker_id, wire::worker_status> workers;
    for (const auto& [id, session] : sessions_)
    {
        wire::worker_status& worker = workers[id];
        worker.id = id;
        worker.failure_domain = session->host().failure_domain;
        worker.rack = session->host().rack;
        worker.capacity = session->host().capacity;
        worker.free = worker.capacity;
        worker.leaving = session->host().leaving;
        worker.lease_held = session->may_start();
        const auto drained = drained_.find(id);
        worker.drained = drained != drained_.end() && drained->second;
        worker.unschedulable_reason =
            worker.drained ? "drained by an operator"
                           : scheduler_.unschedulable_reason(id, shared_.now());
    }
    for (const auto& [id, task] : tasks_)
    {
        const bool occupies =
            task.phase == task_phase::starting || task.phase == task_phase::running;
        const auto worker = workers.find(task.worker);
        if (!occupies || worker == workers.end())
            continue;
        worker->second.free -= task.start.size;
        ++worker->second.tasks;
    }
    for (auto& [id, worker] : workers)
        status.workers.push_back(std::move(worker));
}

std::size_t slice_owner::open_work() const
{
    return updates_.pending() + closing_sessions_ + sessions_.size();
}

void slice_owner::leave(std::function<void()> done)
{
    leaving_ = true;
    leave_callback_ = std::move(done);
    return_waiting_tasks("the instance is leaving");
    follow_assignment();
    finish_leaving();
}

void slice_owner::return_waiting_tasks(const char* reason)
{
    std::vector<task_id> waiting;
    for (const auto& [id, task] : tasks_)
        if (task.phase == task_phase::waiting)
            waiting.push_back(id);
    for (const task_id& id : waiting)
        if (scheduler_.cancel(id) == policy::cancel_outcome::removed)
            refuse(policy::refusal{id, error_code::unavailable, reason,
                                   std::chrono::milliseconds(100)});
}

void slice_owner::finish_leaving()
{
    if (!leaving_ || closing_sessions_ > 0 || !sessions_.empty() || !leave_callback_)
        return;
    const std::function<void()> done = std::move(leave_callback_);
    leave_callback_ = nullptr;
    done();
}

} // namespace hawthornbeam
