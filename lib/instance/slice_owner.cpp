/// \file
/// Implements the slice owner: assignment of workers, decisions and starts.
#include "lib/instance/slice_owner.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam
{

namespace
{

constexpr std::size_t placements_per_round = 256;
constexpr duration decision_delay = std::chrono::milliseconds(1);
/// Rounds also run at this period, for deadlines, gang reservations and quarantine.
constexpr duration decision_period = std::chrono::milliseconds(100);
constexpr duration fence_delay = std::chrono::milliseconds(10);
constexpr duration epochs_deadline = std::chrono::seconds(1);

policy::waiting_task waiting_from(const wire::start_request& message,
                                  const task_start& start, boot_time now)
{
    policy::waiting_task task;
    task.id = start.id;
    task.row = message.row;
    task.size = start.size;
    task.run_time = start.declared_run_time;
    task.enqueued = now;
    if (message.deadline_ms > 0)
        task.start_by = now + std::chrono::milliseconds(message.deadline_ms);
    task.idempotent = start.idempotent;
    task.spread_domains = message.spread_domains;
    if (message.all_at_once)
        task.gang_size = static_cast<std::uint32_t>(message.tasks.size());
    return task;
}

} // namespace

slice_owner::slice_owner(context& shared, fleet& hosts,
                         update_sender::route find_job_owner)
    : shared_(shared), fleet_(hosts),
      scheduler_(policy::scheduler::options{.seed = shared.options.seed}),
      updates_(shared, std::move(find_job_owner),
               [this](const wire::task_update& update) { update_recorded(update); })
{
    period_timer_ = shared_.parts.loop.every(decision_period,
                                             [this]
                                             {
                                                 if (scheduler_.waiting() > 0)
                                                     decide();
                                             });
}

slice_owner::~slice_owner() = default;

void slice_owner::set_table(const operators_table& table)
{
    scheduler_.set_table(table);
    schedule_decision();
}

void slice_owner::set_remote_usage(const std::vector<policy::row_usage>& usage)
{
    scheduler_.set_remote_usage(usage, fleet_.capacity(), fleet_.largest_worker());
}

void slice_owner::set_paused(bool paused)
{
    if (paused_ == paused)
        return;
    paused_ = paused;
    shared_.parts.log.warning("slice_owner",
                              paused ? "starts are stopped while the instance is isolated"
                                     : "starts go on");
    schedule_decision();
}

void slice_owner::follow_assignment()
{
    std::vector<worker_id> unwanted;
    for (const auto& [id, session] : sessions_)
    {
        const auto host = fleet_.workers().find(id);
        const bool wanted =
            host != fleet_.workers().end() && !leaving_ &&
            fleet_.owner_of(slice_of(host->second)) == shared_.options.self &&
            host->second.address == session->host().address;
        if (!wanted)
            unwanted.push_back(id);
        else if (session->host().leaving != host->second.leaving)
        {
            session->set_leaving(host->second.leaving);
            update_schedulable(*session);
        }
    }
    for (const worker_id& id : unwanted)
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
        doubt_fences();
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

void slice_owner::drop_session(const worker_id& worker, bool worker_is_gone)
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
        if (worker_is_gone && entry->second.phase == task_phase::running)
            report_lost_later(entry->second, ended_by);
        else
            tasks_.erase(entry);
    }
    ++closing_;
    session->close(shared_.guarded(
        [this, session, worker_is_gone, ended_by]
        {
            --closing_;
            settle_unconfirmed(session->host().id, worker_is_gone, ended_by);
            finish_leaving();
        }));
}

void slice_owner::settle_unconfirmed(const worker_id& worker, bool worker_is_gone,
                                     boot_time ended_by)
{
    if (sessions_.contains(worker))
        return;
    std::vector<task_id> unconfirmed;
    for (const auto& [id, task] : tasks_)
        if (task.phase == task_phase::starting && task.worker == worker)
            unconfirmed.push_back(id);
    for (const task_id& id : unconfirmed)
    {
        // The successor's list shows whether the worker runs it; a worker that is gone
        // has no successor.
        if (worker_is_gone)
            report_lost_later(tasks_.at(id), ended_by);
        else
            tasks_.erase(id);
    }
}

void slice_owner::report_lost_later(tracked_task& task, boot_time ended_by)
{
    // The worker may still run the task until its task lease has ended; only then is a
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

void slice_owner::doubt_fences()
{
    if (fences_in_doubt_)
        return;
    // One round serves all workers that are lost or taken over together.
    fences_in_doubt_ = true;
    fence_timer_ =
        shared_.parts.loop.after(fence_delay, [this] { learn_fences_of_members(); });
}

void slice_owner::learn_fences_of_members()
{
    // While this instance did not own a worker, inventories may have counted tasks as not
    // running whose start requests are still on their way here, and partitions may have
    // new owners.
    fences_in_doubt_ = false;
    ++fence_round_;
    fence_answers_missing_ = 0;
    for (const member& other : shared_.parts.members.members())
        if (other.id != shared_.options.self)
            ask_for_fences(other);
}

void slice_owner::members_changed()
{
    // An instance that was cut off asks those that it sees again; they may have claimed
    // partitions meanwhile.
    std::map<instance_id, incarnation> present;
    for (const member& other : shared_.parts.members.members())
    {
        if (other.id == shared_.options.self)
            continue;
        present.emplace(other.id, other.life);
        const auto known = fence_sources_.find(other.id);
        if (known == fence_sources_.end() || known->second != other.life)
            ask_for_fences(other);
    }
    fence_sources_ = std::move(present);
}

void slice_owner::ask_for_fences(const member& other)
{
    ++fence_answers_missing_;
    shared_.parts.peers.call(
        other.peer, wire::epochs_request{}, epochs_deadline,
        shared_.guarded(
            [this, round = fence_round_](result<wire::reply> answer)
            {
                if (round != fence_round_)
                    return;
                --fence_answers_missing_;
                const wire::epochs_reply* reply =
                    answer ? std::get_if<wire::epochs_reply>(&answer.value()) : nullptr;
                if (reply == nullptr)
                    return;
                for (const wire::partition_fence& fence : reply->fences)
                    learn_fence(fence);
            }));
}

void slice_owner::learn_fence(const wire::partition_fence& fence)
{
    wire::partition_fence& known = fences_[fence.partition];
    known.partition = fence.partition;
    if (fence.known > known.known)
        known = fence;
    else if (fence.known == known.known)
        known.sequence = std::max(known.sequence, fence.sequence);
}

wire::epochs_reply slice_owner::epochs() const
{
    wire::epochs_reply reply;
    for (const auto& [partition, fence] : fences_)
        reply.fences.push_back(fence);
    return reply;
}

bool slice_owner::owns_workers() const
{
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [](const auto& session)
                       { return session.second->is_reconciled(); });
}

wire::start_reply slice_owner::start(const wire::start_request& message)
{
    wire::start_reply reply;
    learn_fence(wire::partition_fence{message.partition, message.owner_epoch, 0});
    const wire::partition_fence& current = fences_[message.partition];
    reply.known_epoch = current.known;
    if (message.owner_epoch < current.known)
        reply.reason = "the partition has a newer owner";
    else if (message.sequence <= current.sequence)
        reply.reason = "the request is older than an inventory";
    else if (leaving_)
        reply.reason = "the instance is leaving";
    else if (!knows_fences() || !owns_workers())
        reply.reason = "a takeover is in progress";
    if (!reply.reason.empty())
        return reply;
    reply.queued = true;
    bool gang_refused = false;
    for (const task_start& start : message.tasks)
    {
        const auto existing = tasks_.find(start.id);
        if (existing != tasks_.end())
        {
            existing->second.start.job_owner = message.job_owner;
            existing->second.dispatch =
                wire::dispatch_id{message.owner_epoch, message.sequence};
            if (existing->second.phase == task_phase::running)
                send_update(existing->second, wire::task_event::placed,
                            task_state::running, std::string());
            continue;
        }
        tracked_task& task = tasks_[start.id];
        task.start = start;
        task.start.job_owner = message.job_owner;
        task.dispatch = wire::dispatch_id{message.owner_epoch, message.sequence};
        task.enqueued = shared_.now();
        const std::optional<policy::refusal> refused = scheduler_.enqueue(
            waiting_from(message, start, shared_.now()), shared_.now());
        if (refused)
        {
            gang_refused = message.all_at_once;
            refuse(*refused);
        }
    }
    if (gang_refused)
        for (const task_start& start : message.tasks)
            if (tasks_.contains(start.id) &&
                scheduler_.cancel(start.id) == policy::cancel_outcome::removed)
                refuse(policy::refusal{start.id, error_code::limit_exceeded,
                                       "another task of the gang was refused",
                                       std::chrono::seconds(1)});
    schedule_decision();
    return reply;
}

void slice_owner::refuse(const policy::refusal& refused)
{
    const auto found = tasks_.find(refused.id);
    if (found == tasks_.end())
        return;
    wire::task_update update;
    update.id = refused.id;
    update.row = found->second.start.row;
    update.event = wire::task_event::not_run;
    update.dispatch = found->second.dispatch;
    update.code = refused.code;
    update.reason = refused.reason;
    update.retry_after_ms =
        std::chrono::ceil<std::chrono::milliseconds>(refused.retry_after).count();
    tasks_.erase(found);
    updates_.send(std::move(update));
}

wire::stop_reply slice_owner::stop(const wire::stop_request& message)
{
    wire::stop_reply reply;
    for (const task_id& id : message.tasks)
    {
        const auto found = tasks_.find(id);
        if (found == tasks_.end())
        {
            reply.not_known.push_back(id);
            continue;
        }
        const policy::cancel_outcome outcome = scheduler_.cancel(id);
        if (outcome == policy::cancel_outcome::removed)
        {
            tasks_.erase(found);
            reply.not_started.push_back(id);
        }
        else if (message.stop_running && found->second.phase != task_phase::ended)
        {
            found->second.stop_requested = true;
            const auto session = sessions_.find(found->second.worker);
            if (session != sessions_.end())
                session->second->control(id, task_action::stop);
        }
    }
    return reply;
}

wire::task_update slice_owner::inventory_entry(const task_id& id,
                                               const tracked_task& task)
{
    wire::task_update update;
    update.id = id;
    update.row = task.start.row;
    update.event = task.phase == task_phase::ended ? wire::task_event::ended
                                                   : wire::task_event::placed;
    update.worker = task.worker;
    update.state = task.state;
    return update;
}

wire::inventory_reply slice_owner::inventory(const wire::inventory_request& message)
{
    wire::inventory_reply reply;
    learn_fence(wire::partition_fence{message.partition, message.owner_epoch, 0});
    wire::partition_fence& current = fences_[message.partition];
    reply.known_epoch = current.known;
    if (message.owner_epoch < current.known)
        return reply;
    current.sequence = std::max(current.sequence, message.fenced_sequence);
    reply.accepted = true;
    std::map<slice_id, bool> complete;
    for (const auto& [id, host] : fleet_.workers())
    {
        const slice_id slice = slice_of(host);
        if (fleet_.owner_of(slice) != shared_.options.self)
            continue;
        const auto session = sessions_.find(id);
        const bool known_worker =
            session != sessions_.end() && session->second->is_reconciled();
        const auto entry = complete.emplace(slice, true).first;
        entry->second = entry->second && known_worker;
    }
    for (const auto& [slice, is_complete] : complete)
        if (is_complete)
            reply.complete_slices.push_back(slice);
    for (auto& [id, task] : tasks_)
    {
        if (id.job.partition(shared_.options.partitions) != message.partition)
            continue;
        task.start.job_owner = message.job_owner;
        if (task.phase == task_phase::waiting)
            reply.queued.push_back(wire::queued_task{id, task.start.row, task.dispatch});
        else
        {
            reply.tasks.push_back(inventory_entry(id, task));
            // The former job owner may have recorded the outcome and lost it.
            if (task.phase == task_phase::ended)
                send_update(task, wire::task_event::ended, task.state, task.output);
        }
    }
    return reply;
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

std::string slice_owner::explain(const task_id& task) const
{
    return scheduler_.explain(task, shared_.now());
}

std::size_t slice_owner::open_work() const
{
    return updates_.pending() + closing_ + sessions_.size();
}

void slice_owner::leave(std::function<void()> done)
{
    leaving_ = true;
    left_ = std::move(done);
    return_waiting("the instance is leaving");
    follow_assignment();
    finish_leaving();
}

void slice_owner::return_waiting(const char* reason)
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
    if (!leaving_ || closing_ > 0 || !sessions_.empty() || !left_)
        return;
    const std::function<void()> done = std::move(left_);
    left_ = nullptr;
    done();
}

void slice_owner::schedule_decision()
{
    if (decision_scheduled_)
        return;
    decision_scheduled_ = true;
    decision_timer_ = shared_.parts.loop.after(decision_delay,
                                               [this]
                                               {
                                                   decision_scheduled_ = false;
                                                   decide();
                                               });
}

void slice_owner::decide()
{
    if (paused_ || leaving_)
        return;
    for (const auto& [id, session] : sessions_)
        if (!session->may_start())
            scheduler_.set_schedulable(id, false);
    const policy::decisions made = scheduler_.decide(shared_.now(), placements_per_round);
    std::map<worker_id, std::vector<task_id>> batches;
    for (const policy::placement& placed : made.placements)
    {
        tracked_task& task = tasks_.at(placed.task);
        task.phase = task_phase::starting;
        task.worker = placed.worker;
        batches[placed.worker].push_back(placed.task);
    }
    for (const policy::refusal& refused : made.refusals)
        refuse(refused);
    for (const policy::preemption& preempted : made.preemptions)
        apply_preemption(preempted);
    for (auto& [worker, ids] : batches)
        start_on(worker, std::move(ids));
    if (made.placements.size() >= placements_per_round)
        schedule_decision();
}

void slice_owner::apply_preemption(const policy::preemption& what)
{
    static constexpr std::array<task_action, 3> actions{
        task_action::throttle, task_action::checkpoint, task_action::stop};
    const auto session = sessions_.find(what.worker);
    if (session == sessions_.end())
        return;
    shared_.parts.metrics.add("hawthornbeam_preemptions_total", {});
    session->second->control(what.task,
                             actions.at(static_cast<std::size_t>(what.action)));
}

void slice_owner::start_on(const worker_id& worker, std::vector<task_id> ids)
{
    const auto session = sessions_.find(worker);
    assert(session != sessions_.end() && "tasks are placed on owned workers only");
    std::vector<task_start> starts;
    for (const task_id& id : ids)
        starts.push_back(tasks_.at(id).start);
    session->second->start(
        std::move(starts),
        shared_.guarded([this, worker](std::vector<start_outcome> outcomes)
                        { starts_answered(worker, outcomes); }));
}

void slice_owner::starts_answered(const worker_id& worker,
                                  const std::vector<start_outcome>& outcomes)
{
    const bool still_owned = sessions_.contains(worker);
    for (const start_outcome& outcome : outcomes)
    {
        const auto found = tasks_.find(outcome.id);
        if (found == tasks_.end() || found->second.phase != task_phase::starting)
            continue;
        tracked_task& task = found->second;
        if (outcome.accepted)
        {
            task.phase = task_phase::running;
            task.start.payload = std::string();
            send_update(task, wire::task_event::placed, task_state::running,
                        std::string());
            if (!still_owned)
                tasks_.erase(found);
        }
        else if (still_owned)
        {
            task.phase = task_phase::waiting;
            scheduler_.placement_failed(outcome.id, shared_.now());
        }
        else
            refuse(policy::refusal{outcome.id, error_code::unavailable, outcome.reason,
                                   std::chrono::milliseconds(100)});
    }
}

} // namespace hawthornbeam
