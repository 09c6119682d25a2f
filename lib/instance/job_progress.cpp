/// \file
/// Progress of tasks at the job owner: updates, retries and final verdicts.
#include "lib/instance/job_owner.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

/// Number of failed attempts after which an idempotent task is not retried. Attempts that
/// end because of a lost worker or a preemption do not count.
constexpr std::uint8_t max_failures = 3;
/// Number of lost workers after which an idempotent task is not retried: it may be what
/// ends them.
constexpr std::uint8_t max_lost_workers = 5;
constexpr duration back_off_base = std::chrono::milliseconds(200);
constexpr double back_off_spread = 0.5;

const char* outcome_name(wire::job_verdict verdict)
{
    return verdict == wire::job_verdict::accepted ? "running" : wire::to_string(verdict);
}

} // namespace

/// Collects the results of the journal writes caused by one update request.
struct job_owner::recording
{
    wire::update_reply reply;
    update_callback done;
    std::size_t open = 0;

    void finish_write()
    {
        if (--open == 0)
            done(std::move(reply));
    }
};

void job_owner::update(const instance_id& from, const wire::update_request& message,
                       update_callback done)
{
    const std::shared_ptr<recording> record = std::make_shared<recording>();
    record->done = std::move(done);
    record->open = 1;
    std::map<job_id, std::vector<const wire::task_update*>> by_job;
    for (const wire::task_update& update : message.updates)
        by_job[update.id.job].push_back(&update);
    for (const auto& [id, updates] : by_job)
    {
        if (!partitions_.is_owned(id.partition(shared_.options.partitions)))
            continue;
        const auto existing = jobs_.find(id);
        job_state& job =
            existing != jobs_.end()
                ? existing->second
                : add_recovered_job(updates.front()->id, updates.front()->row);
        // Until the inventory is complete, a later attempt may be running elsewhere. The
        // update is not acknowledged, so the slice owner sends it again.
        if (job.restored && !partitions_.is_active(job.partition))
            continue;
        std::vector<task_id> ids;
        std::vector<std::uint32_t> to_write;
        for (const wire::task_update* update : updates)
        {
            apply(job, *update, from);
            ids.push_back(update->id);
            if (job.unrecorded.contains(update->id.index))
                to_write.push_back(update->id.index);
        }
        ++record->open;
        append_progress(job, std::move(to_write),
                        [record, ids](bool written)
                        {
                            if (written)
                                record->reply.recorded.insert(
                                    record->reply.recorded.end(), ids.begin(), ids.end());
                            record->finish_write();
                        });
    }
    record->finish_write();
}

void job_owner::append_progress(job_state& job, std::vector<std::uint32_t> indexes,
                                std::function<void(bool)> done)
{
    if (indexes.empty())
    {
        finish_if_ended(job);
        return done(true);
    }
    job_progress progress{job.spec.id, {}};
    for (const wire::task_result& ended : job.results)
        if (std::find(indexes.begin(), indexes.end(), ended.index) != indexes.end())
            progress.ended.push_back(ended);
    ++job.writes_in_flight;
    partitions_.journal(job.partition)
        .append(std::move(progress),
                shared_.guarded(
                    [this, id = job.spec.id, indexes,
                     done = std::move(done)](const result<bool>& written)
                    {
                        const auto found = jobs_.find(id);
                        if (found != jobs_.end() && found->second.writes_in_flight > 0)
                            --found->second.writes_in_flight;
                        if (written && found != jobs_.end())
                        {
                            for (const std::uint32_t index : indexes)
                                found->second.unrecorded.erase(index);
                            finish_if_ended(found->second);
                        }
                        done(written.has_value());
                    }));
}

void job_owner::apply(job_state& job, const wire::task_update& update,
                      const instance_id& from)
{
    if (update.id.index >= job.slots.size())
        return;
    task_slot& slot = job.slots[update.id.index];
    const bool is_stale = slot.attempt_known && update.id.attempt < slot.attempt;
    if (slot.phase == slot_phase::ended || is_stale)
        return;
    // After a takeover the highest attempt number reported by a worker is the valid one.
    slot.attempt = update.id.attempt;
    slot.attempt_known = true;
    switch (update.event)
    {
    case wire::task_event::placed:
        return apply_placed(job, update.id.index, from, update.worker);
    case wire::task_event::not_run:
        if (slot.phase == slot_phase::dispatched && slot.dispatch == update.dispatch)
            apply_not_run(job, update);
        return;
    case wire::task_event::ended:
        return apply_ended(job, update);
    case wire::task_event::unknown:
        if (slot.phase == slot_phase::placed)
            ++slot.lost_workers;
        return end_or_retry_lost(job, update.id.index);
    }
}

void job_owner::record_left_queue(job_state& job, task_slot& slot)
{
    if (slot.phase == slot_phase::dispatched)
        dispatcher_.left_queue(slot.owner, job.spec.row);
}

void job_owner::apply_placed(job_state& job, std::uint32_t index, const instance_id& from,
                             const worker_id& worker)
{
    task_slot& slot = job.slots[index];
    record_left_queue(job, slot);
    if (!slot.was_placed && job.journaled == job.durable)
        shared_.parts.metrics.observe("hawthornbeam_wait_seconds",
                                      {{"row", job.spec.row.value()}},
                                      shared_.now() - job.accepted);
    if (slot.phase != slot_phase::placed)
        ++job.placed;
    if (slot.phase != slot_phase::placed || slot.owner != from)
        slot.since = shared_.now();
    slot.phase = slot_phase::placed;
    slot.was_placed = true;
    slot.owner = from;
    slot.worker = worker;
    if (job.cancelling)
        send_stop(from, {task_id{job.spec.id, index, slot.attempt}}, true);
}

void job_owner::apply_ended(job_state& job, const wire::task_update& update)
{
    task_slot& slot = job.slots[update.id.index];
    record_left_queue(job, slot);
    slot.was_placed = true;
    const bool preempted = update.state == task_state::stopped && !job.cancelling;
    if (preempted && job.spec.idempotent)
    {
        begin_attempt(job, slot);
        requeue(job, update.id.index);
        return;
    }
    if (update.state == task_state::failed && job.spec.idempotent && !job.cancelling &&
        slot.failures + 1 < max_failures && retries_.try_consume(job.spec.row))
    {
        ++slot.failures;
        begin_attempt(job, slot);
        back_off(job, update.id.index, back_off_base * (1 << slot.failures));
        return;
    }
    return end_task(job, update.id.index, update.state, true, update.output);
}

void job_owner::apply_not_run(job_state& job, const wire::task_update& update)
{
    task_slot& slot = job.slots[update.id.index];
    record_left_queue(job, slot);
    const bool is_final = update.code != error_code::unavailable;
    if (job.cancelling || !is_final)
    {
        back_off(job, update.id.index, std::chrono::milliseconds(update.retry_after_ms));
        return;
    }
    if (job.spec.synchronous || update.code == error_code::invalid_input)
    {
        refuse_job(job, update);
        return;
    }
    back_off(job, update.id.index,
             std::max<duration>(back_off_base,
                                std::chrono::milliseconds(update.retry_after_ms)));
}

void job_owner::refuse_job(job_state& job, const wire::task_update& update)
{
    job.reason = update.reason;
    job.retry_after_ms = update.retry_after_ms;
    const bool any_placed =
        std::any_of(job.slots.begin(), job.slots.end(),
                    [](const task_slot& slot) { return slot.was_placed; });
    job.slots[update.id.index].phase = slot_phase::ended;
    ++job.ended;
    if (any_placed || job.slots.size() > 1)
    {
        cancel_job(job);
        return;
    }
    const char* reason = "limit";
    if (update.code == error_code::deadline_exceeded)
        reason = "deadline";
    else if (update.code == error_code::invalid_input)
        reason = "impossible";
    shared_.parts.metrics.add("hawthornbeam_refusals_total",
                              {{"row", job.spec.row.value()}, {"reason", reason}});
    finish(job, wire::job_verdict::not_run);
}

void job_owner::end_or_retry_lost(job_state& job, std::uint32_t index)
{
    task_slot& slot = job.slots[index];
    record_left_queue(job, slot);
    if (job.spec.idempotent && !job.cancelling && slot.lost_workers < max_lost_workers)
    {
        begin_attempt(job, slot);
        requeue(job, index);
        return;
    }
    return end_task(job, index, task_state::failed, false, std::string());
}

void job_owner::end_task(job_state& job, std::uint32_t index, task_state state,
                         bool known, std::string output)
{
    task_slot& slot = job.slots[index];
    if (slot.phase == slot_phase::placed)
        --job.placed;
    slot.phase = slot_phase::ended;
    ++job.ended;
    job.results.push_back(wire::task_result{index, state, known, std::move(output)});
    if (job.durable)
        job.unrecorded.insert(index);
}

void job_owner::requeue(job_state& job, std::uint32_t index)
{
    task_slot& slot = job.slots[index];
    if (slot.phase == slot_phase::placed)
        --job.placed;
    if (job.cancelling)
    {
        slot.phase = slot_phase::ended;
        ++job.ended;
        finish_if_ended(job);
        return;
    }
    slot.phase = slot_phase::waiting;
    slot.worker = worker_id();
    slot.owner = instance_id();
    slot.since = shared_.now();
    // The specification of a job recovered from a slice owner is unknown until its caller
    // repeats the request.
    if (job.has_spec)
        dispatcher_.add(job, index);
}

void job_owner::back_off(job_state& job, std::uint32_t index, duration delay)
{
    task_slot& slot = job.slots[index];
    if (slot.phase == slot_phase::placed)
        --job.placed;
    slot.phase = slot_phase::backing_off;
    slot.owner = instance_id();
    const job_id id = job.spec.id;
    const std::uint64_t number = next_back_off_++;
    back_offs_[number] = shared_.parts.loop.after(
        shared_.random.jitter(std::max(delay, duration(std::chrono::milliseconds(1))),
                              back_off_spread),
        [this, id, index, number]
        {
            const timer_handle keep = std::move(back_offs_[number]);
            back_offs_.erase(number);
            const auto found = jobs_.find(id);
            if (found != jobs_.end() &&
                found->second.slots[index].phase == slot_phase::backing_off)
                requeue(found->second, index);
        });
}

void job_owner::finish_if_ended(job_state& job)
{
    if (!job.is_ended() && job.ended == job.slots.size() && job.unrecorded.empty())
        finish(job, final_verdict(job));
}

void job_owner::finish(job_state& job, wire::job_verdict verdict)
{
    job.verdict = verdict;
    job.ended_at = shared_.now();
    ended_jobs_.push_back(job.spec.id);
    count_outcomes(job);
    append_ended(job);
    answer_waiters(job);
}

void job_owner::count_outcomes(const job_state& job)
{
    const std::string& row = job.spec.row.value();
    if (job.verdict != wire::job_verdict::done)
        return shared_.parts.metrics.add(
            "hawthornbeam_tasks_total",
            {{"row", row}, {"outcome", outcome_name(job.verdict)}},
            static_cast<double>(job.slots.size()));
    for (const wire::task_result& task : job.results)
    {
        const bool failed = task.state == task_state::failed;
        shared_.parts.metrics.add(
            "hawthornbeam_tasks_total",
            {{"row", row}, {"outcome", failed ? "failed" : "done"}});
    }
}

void job_owner::append_ended(const job_state& job)
{
    if (!job.durable || !job.journaled || !partitions_.is_owned(job.partition))
        return;
    // If this write fails, the next owner derives the same verdict from the results that
    // are already journaled.
    partitions_.journal(job.partition)
        .append(job_ended{job.spec.id, job.verdict, job.reason}, [](result<bool>) {});
}

void job_owner::answer_waiters(job_state& job)
{
    const std::vector<status_callback> waiters = std::exchange(job.waiters, {});
    if (waiters.empty())
        return;
    const wire::job_status status = status_of(job);
    for (const status_callback& waiter : waiters)
        waiter(status);
}

} // namespace hawthornbeam
