/// \file
/// Handling of worker reports in the slice owner: reconciliation, task outcomes and their
/// acknowledgement.
#include "lib/instance/slice_owner.hpp"

#include <unordered_set>

namespace hawthornbeam
{

namespace
{

/// Workers keep outcomes for this long after the job owner recorded them. A job owner
/// that takes over the partition can then find outcomes whose response its predecessor
/// may not have delivered, and a caller that repeats its request gets the first run. Both
/// delays exceed the duration of a takeover; the shorter one suffices for idempotent
/// tasks, which may safely run twice.
constexpr duration acknowledge_delay_idempotent = std::chrono::seconds(10);
constexpr duration acknowledge_delay_non_idempotent = std::chrono::seconds(60);
constexpr duration acknowledge_period = std::chrono::seconds(1);

policy::task_outcome task_outcome_of(task_state state, bool stop_requested)
{
    switch (state)
    {
    case task_state::running:
    case task_state::finished:
        return policy::task_outcome::success;
    case task_state::failed:
        return policy::task_outcome::failure;
    case task_state::stopped:
        return stop_requested ? policy::task_outcome::cancelled
                              : policy::task_outcome::preempted;
    }
    return policy::task_outcome::success;
}

} // namespace

void slice_owner::on_reconciled(worker_session& session, std::vector<task_report> tasks)
{
    const worker_id worker = session.host().id;
    std::unordered_set<task_id> listed;
    for (const task_report& report : tasks)
    {
        listed.insert(report.id);
        adopt(session, report);
    }
    std::vector<task_id> missing;
    for (const auto& [id, task] : tasks_)
        if (task.worker == worker && !listed.contains(id))
            missing.push_back(id);
    for (const task_id& id : missing)
        handle_missing_task(id);
    shared_.parts.log.info("slice_owner", "a worker is owned",
                           {{"worker", worker.value()},
                            {"tasks", static_cast<std::uint64_t>(tasks.size())}});
    schedule_fence_collection();
    update_schedulable(session);
}

void slice_owner::handle_missing_task(const task_id& id)
{
    tracked_task& task = tasks_.at(id);
    switch (task.phase)
    {
    case task_phase::waiting:
        task.worker = worker_id();
        return;
    case task_phase::starting:
        // The new generation fences the earlier start call, so that call cannot start the
        // task any more. The task is returned to its job owner, which may have sent it to
        // another slice owner while the lease was lost.
        scheduler_.placement_failed(id, shared_.now());
        scheduler_.cancel(id);
        refuse(policy::refusal{id, error_code::unavailable, "the start was not confirmed",
                               std::chrono::milliseconds(100)});
        return;
    case task_phase::running:
        // The worker has lost its state and no longer runs the task.
        scheduler_.task_ended(id, policy::task_outcome::lost, shared_.now());
        send_update(task, wire::task_event::unknown, task_state::failed, std::string());
        tasks_.erase(id);
        return;
    case task_phase::ended:
    case task_phase::lost:
        return;
    }
}

void slice_owner::adopt(const worker_session& session, const task_report& report)
{
    const auto existing = tasks_.find(report.id);
    const bool is_counted = existing != tasks_.end() &&
                            existing->second.phase != task_phase::waiting &&
                            existing->second.phase != task_phase::lost;
    if (!is_counted)
    {
        if (existing != tasks_.end())
            scheduler_.cancel(report.id);
        tracked_task& task = tasks_[report.id];
        task.start.id = report.id;
        task.start.row = report.row;
        task.start.size = report.size;
        task.start.idempotent = report.idempotent;
        task.start.job_owner = report.job_owner;
        task.start.payload = std::string();
        task.worker = session.host().id;
        task.phase = task_phase::running;
        if (report.state == task_state::running)
        {
            policy::waiting_task waiting;
            waiting.id = report.id;
            waiting.row = report.row;
            waiting.size = report.size;
            waiting.enqueued = shared_.now();
            waiting.idempotent = report.idempotent;
            scheduler_.adopt(waiting, session.host().id, shared_.now());
        }
    }
    tracked_task& task = tasks_.at(report.id);
    if (report.state != task_state::running)
        return record_task_end(session.host().id, report);
    if (task.phase == task_phase::ended)
        return;
    task.phase = task_phase::running;
    task.start.payload = std::string();
    send_update(task, wire::task_event::placed, task_state::running, std::string());
}

void slice_owner::on_reports(worker_session& session, std::vector<task_report> tasks)
{
    bool ended = false;
    for (const task_report& report : tasks)
    {
        if (report.state != task_state::running)
        {
            if (!tasks_.contains(report.id))
                adopt(session, report);
            else
                record_task_end(session.host().id, report);
            ended = true;
            continue;
        }
        const std::optional<finding> rejected =
            scheduler_.report_usage(report.id, report.used_cores, report.used_memory);
        if (!rejected)
            continue;
        shared_.parts.metrics.add("hawthornbeam_usage_reports_rejected_total", {});
        shared_.parts.log.debug(
            "slice_owner", "a usage report was rejected",
            {{"worker", session.host().id.value()}, {"finding", rejected->text()}});
    }
    if (ended)
        schedule_decision();
}

void slice_owner::on_lost(worker_session& session)
{
    update_schedulable(session);
    // While this instance did not hold the lease, another instance may have owned the
    // worker. Job owners may have concluded from its inventory that the tasks queued here
    // do not run, and may have sent them to another slice owner.
    return_waiting_tasks("the owner lease of a worker was lost");
    schedule_fence_collection();
}

void slice_owner::record_task_end(const worker_id& worker, const task_report& report)
{
    tracked_task& task = tasks_.at(report.id);
    if (task.phase == task_phase::ended)
        return;
    task.phase = task_phase::ended;
    task.worker = worker;
    task.state = report.state;
    task.output = report.output;
    task.start.payload = std::string();
    scheduler_.task_ended(report.id, task_outcome_of(report.state, task.stop_requested),
                          shared_.now());
    send_update(task, wire::task_event::ended, report.state, report.output);
}

void slice_owner::send_update(const tracked_task& task, wire::task_event event,
                              task_state state, std::string output)
{
    wire::task_update update;
    update.id = task.start.id;
    update.row = task.start.row;
    update.event = event;
    update.worker = task.worker;
    update.state = state;
    update.output = std::move(output);
    updates_.send(std::move(update));
}

void slice_owner::handle_update_recorded(const wire::task_update& update)
{
    if (update.event != wire::task_event::ended)
        return;
    const auto found = tasks_.find(update.id);
    if (found == tasks_.end() || found->second.phase != task_phase::ended)
        return;
    const duration delay = found->second.start.idempotent
                               ? acknowledge_delay_idempotent
                               : acknowledge_delay_non_idempotent;
    pending_acknowledgements_.emplace(shared_.now() + delay, update.id);
    if (!acknowledge_scheduled_)
        schedule_acknowledgements();
}

void slice_owner::schedule_acknowledgements()
{
    acknowledge_scheduled_ = true;
    acknowledge_timer_ = shared_.parts.loop.after(acknowledge_period,
                                                  [this]
                                                  {
                                                      acknowledge_scheduled_ = false;
                                                      acknowledge_recorded();
                                                  });
}

void slice_owner::acknowledge_recorded()
{
    std::map<worker_id, std::vector<task_id>> batches;
    while (!pending_acknowledgements_.empty() &&
           pending_acknowledgements_.begin()->first <= shared_.now())
    {
        const auto found = tasks_.find(pending_acknowledgements_.begin()->second);
        pending_acknowledgements_.erase(pending_acknowledgements_.begin());
        if (found == tasks_.end())
            continue;
        batches[found->second.worker].push_back(found->first);
        tasks_.erase(found);
    }
    for (auto& [worker, ids] : batches)
    {
        const auto session = sessions_.find(worker);
        if (session != sessions_.end() && session->second->is_reconciled())
            session->second->acknowledge(std::move(ids));
    }
    if (!pending_acknowledgements_.empty())
        schedule_acknowledgements();
}

} // namespace hawthornbeam
