/// \file
/// Start and stop requests of the slice owner, scheduling decisions and task starts.
#include "lib/instance/slice_owner.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam
{

namespace
{

constexpr std::size_t placements_per_round = 256;
constexpr duration decision_delay = std::chrono::milliseconds(1);
/// While tasks wait, decisions are also made at this period, since deadlines, gang
/// reservations and quarantine change with time.
constexpr duration decision_period = std::chrono::milliseconds(100);

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
               [this](const wire::task_update& update)
               { handle_update_recorded(update); })
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
    else if (!has_current_fences() || !owns_workers())
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

std::string slice_owner::explain(const task_id& task) const
{
    return scheduler_.explain(task, shared_.now());
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

void slice_owner::apply_preemption(const policy::preemption& preempted)
{
    static constexpr std::array<task_action, 3> actions{
        task_action::throttle, task_action::checkpoint, task_action::stop};
    const auto session = sessions_.find(preempted.worker);
    if (session == sessions_.end())
        return;
    shared_.parts.metrics.add("hawthornbeam_preemptions_total", {});
    session->second->control(preempted.task,
                             actions.at(static_cast<std::size_t>(preempted.action)));
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
                        { handle_start_outcomes(worker, outcomes); }));
}

void slice_owner::handle_start_outcomes(const worker_id& worker,
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
