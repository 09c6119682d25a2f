/// \file
/// Keeps what an agent has sent to workers, for the next owner of the cell.
#include "call_ledger.hpp"

#include "run_evidence.hpp"

namespace hawthornbeam::cell
{

namespace
{

/// Interval between two removals of old records.
constexpr duration removal_period = std::chrono::seconds(1);

} // namespace

call_ledger::known_run* call_ledger::find_or_add(called_worker& worker,
                                                 const run_ref& run, boot_time now)
{
    const auto found = worker.runs.find(run.task);
    if (found == worker.runs.end() && run_count_ >= max_runs_)
    {
        incomplete_until_ = now + call_retention;
        return nullptr;
    }
    known_run& known = worker.runs[run.task];
    if (found == worker.runs.end())
        ++run_count_;
    if (run.run < known.run)
        return nullptr;
    if (known.run < run.run)
        known = {run.run, now, 0};
    return &known;
}

void call_ledger::record_start(const worker_id& worker, const run_ref& run, boot_time now)
{
    called_worker& called = workers_[worker];
    called.last_call_at = now;
    find_or_add(called, run, now);
}

void call_ledger::record_start_answer(const worker_id& worker, const run_ref& run,
                                      command_outcome outcome)
{
    const auto called = workers_.find(worker);
    if (called == workers_.end())
        return;
    const auto found = called->second.runs.find(run.task);
    if (found == called->second.runs.end() || found->second.run != run.run)
        return;
    if (outcome == command_outcome::accepted)
        found->second.shown_position = ++position_;
    else if (found->second.shown_position == 0 &&
             judge_start_answer(outcome) == run_fate::lost)
    {
        called->second.runs.erase(found);
        --run_count_;
    }
}

sent_poll call_ledger::record_poll(const worker_id& worker, bool extends_lease,
                                   boot_time now)
{
    remove_old(now);
    if (extends_lease)
        workers_[worker].last_call_at = now;
    return {++position_, now};
}

void call_ledger::record_shown(called_worker& worker, const run_ref& run,
                               std::uint64_t position, boot_time now)
{
    known_run* const known = find_or_add(worker, run, now);
    if (known != nullptr)
        known->shown_position = std::max(known->shown_position, position);
}

void call_ledger::record_poll_answer(const poll_result& poll, const sent_poll& sent,
                                     boot_time now)
{
    called_worker& worker = workers_[poll.worker];
    // An earlier agent may have extended the lease of what runs there.
    if (!poll.running.empty() || worker.last_call_at == boot_time())
        worker.last_call_at = now;
    // An end counts as a run until the worker has dropped it: it may not be stored yet.
    for (const running_task& each : poll.running)
        record_shown(worker, each.run, sent.position, now);
    for (const ended_task& each : poll.ended)
        record_shown(worker, each.run, sent.position, now);
    if (!poll.ends_complete)
        return;
    run_count_ -=
        std::erase_if(worker.runs,
                      [&sent](const std::pair<const task_ref, known_run>& each)
                      {
                          const known_run& run = each.second;
                          return run.shown_position == 0
                                     ? sent.at - run.sent_at > late_command_limit
                                     : run.shown_position < sent.position;
                      });
}

void call_ledger::remove_old(boot_time now)
{
    if (now - removed_at_ < removal_period)
        return;
    removed_at_ = now;
    std::erase_if(workers_,
                  [this, now](const std::pair<const worker_id, called_worker>& each)
                  {
                      if (now - each.second.last_call_at <= call_retention)
                          return false;
                      run_count_ -= each.second.runs.size();
                      return true;
                  });
}

former_calls call_ledger::calls(boot_time now)
{
    former_calls listed;
    listed.complete = now >= incomplete_until_;
    if (!listed.complete)
        return listed;
    for (const auto& [id, worker] : workers_)
    {
        const duration age = now - worker.last_call_at;
        if (age > call_retention)
            continue;
        worker_calls& added = listed.workers.emplace_back();
        added.worker = id;
        added.last_call_ms =
            static_cast<std::uint32_t>(age / std::chrono::milliseconds(1));
        for (const auto& [task, run] : worker.runs)
            added.tasks.push_back(task);
    }
    return listed;
}

} // namespace hawthornbeam::cell
