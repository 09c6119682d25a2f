/// \file
/// Ends of workers' processes and leases: gives up the runs that have ended with them.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Time after which the entry of a worker that a former owner used is known here. An
/// address without the worker shows its end only then: it may have a newer address.
constexpr duration entry_delay = std::chrono::milliseconds(1500);

/// Returns the runs that the poll lists, running or ended.
std::map<task_ref, run_number> shown_runs(const poll_result& poll)
{
    std::map<task_ref, run_number> shown;
    for (const running_task& running : poll.running)
        shown[running.run.task] = running.run.run;
    for (const ended_task& end : poll.ended)
        shown[end.run.task] = std::max(shown[end.run.task], end.run.run);
    return shown;
}

} // namespace

void scheduler::implementation::give_up_runs(worker_status& worker,
                                             const std::vector<task_ref>& lost,
                                             bool crashed, const char* reason,
                                             boot_time now)
{
    if (crashed)
        count_crash(worker, lost, now);
    for (const task_ref& task : lost)
    {
        handle_lost_run(worker, task, reason);
        job_status* job = find_job(task.job);
        if (job != nullptr)
            fail_if_crashing(*job);
    }
}

void scheduler::implementation::expire_runs(worker_status& worker,
                                            const lease_bound& leases,
                                            boot_time confirmed_at, boot_time now)
{
    run_evidence evidence;
    evidence.kind = evidence_kind::lease_expired;
    evidence.later_leases_expired = confirmed_at > leases.other;
    std::vector<task_ref> lost;
    for (const auto& [task, record] : worker.runs)
        if (judge_run(record, evidence) == run_fate::lost)
            lost.push_back(task);
    const bool crashed = worker.refused_since != boot_time();
    // The blame for a crash is shared by all runs, so they are given up together.
    if (lost.empty() || (crashed && lost.size() < worker.runs.size()))
        return;
    log.info("cell", "lease ended",
             {{"worker", worker.info.id.value()},
              {"incarnation", worker.incarnation.value()},
              {"runs", std::uint64_t{lost.size()}},
              {"kept", std::uint64_t{worker.runs.size() - lost.size()}},
              {"silent_ms",
               std::int64_t{(now - worker.contact_at) / std::chrono::milliseconds(1)}},
              {"known_ms", std::int64_t{(worker.contact_at - worker.answering_since) /
                                        std::chrono::milliseconds(1)}}});
    give_up_runs(worker, lost, crashed, "lease ended", now);
}

void scheduler::implementation::end_incarnation(
    worker_status& worker, const run_evidence& evidence,
    const std::map<task_ref, run_number>& shown, const char* reason, boot_time now)
{
    std::vector<task_ref> lost;
    std::vector<task_ref> uncertain;
    for (auto& [task, record] : worker.runs)
    {
        const auto found = shown.find(task);
        if (found != shown.end() && found->second >= record.run)
        {
            // The new incarnation has no record of a stop that the former one answered.
            if (record.phase == run_phase::stopping)
                uncertain.push_back(task);
            continue;
        }
        const run_fate fate = judge_run(record, evidence);
        record.listed = false;
        switch (fate)
        {
        case run_fate::lost:
            lost.push_back(task);
            break;
        case run_fate::uncertain:
            uncertain.push_back(task);
            break;
        case run_fate::open:
            break;
        }
    }
    worker.last_start_at = boot_time();
    give_up_runs(worker, lost, true, reason, now);
    for (const task_ref& task : uncertain)
    {
        job_status* job = find_job(task.job);
        if (job != nullptr)
            restart_gang(*job, task.step, worker.runs.at(task).run, now);
        stop_uncertain_start(worker, task, now);
    }
}

void scheduler::implementation::begin_incarnation(worker_status& worker,
                                                  const poll_result& poll, boot_time now)
{
    if (worker.polled || worker.process_ended)
    {
        log.warning("cell", "worker restarted",
                    {{"worker", poll.worker.value()},
                     {"incarnation", poll.incarnation.value()},
                     {"former", worker.incarnation.value()},
                     {"silent_ms", std::int64_t{(now - worker.contact_at) /
                                                std::chrono::milliseconds(1)}},
                     {"runs", std::uint64_t{worker.runs.size()}}});
        metrics.add("hawthornbeam_worker_restarts_total", {});
        run_evidence evidence;
        evidence.kind = evidence_kind::other_incarnation;
        evidence.sent_position = poll.sent_position;
        evidence.ends_complete = poll.ends_complete;
        end_incarnation(worker, evidence, shown_runs(poll), "worker restarted", now);
        // A delayed start may reach the new incarnation and be executed, because the new
        // incarnation has no record of earlier stops and its clock has not reached the
        // deadline of the start. Such runs are therefore stopped again.
        for (const abandoned_start& each : std::exchange(worker.abandoned, {}))
        {
            if (now - each.at > late_command_limit)
                continue;
            const auto [record, added] = worker.runs.try_emplace(each.run.task);
            if (!added)
                continue;
            record->second.run = each.run.run;
            record->second.size = each.size;
            record->second.command_sent_at = each.at;
            worker.used += each.size;
            stop_uncertain_start(worker, each.run.task, now);
        }
    }
    // Calls of former owners are refused from now on.
    worker.misdirected_until =
        worker.incarnation == worker_incarnation()
            ? now
            : std::max(now, misdirected_calls_end(worker.contact_at));
    worker.incarnation = poll.incarnation;
    worker.answering_since = now;
    worker.processed = end_number();
    worker.covered = end_number();
}

void scheduler::observe(const refused_poll& refused, boot_time now)
{
    implementation& self = *implementation_;
    const auto found = self.workers.find(refused.worker);
    if (found == self.workers.end())
        return;
    worker_status& worker = found->second;
    if (!worker.polled && !worker.process_ended)
    {
        if (refused.other_worker)
            self.settle_ended_worker(worker, now);
        return;
    }
    // A poll that was sent before the last answer may be about an earlier process.
    if (!worker.polled || refused.address != worker.contact_address ||
        refused.sent_position <= worker.contact_position)
        return;
    if (worker.refused_since == boot_time())
    {
        worker.refused_since = now - std::chrono::milliseconds(refused.failing_ms);
        self.log.warning("cell", "worker refuses connections",
                         {{"worker", refused.worker.value()},
                          {"runs", std::uint64_t{worker.runs.size()}}});
        self.metrics.add("hawthornbeam_refusing_workers_total", {});
    }
    // A refusal without another worker proves nothing about the runs.
    if (!refused.other_worker)
        return;
    self.log.warning("cell", "worker process ended",
                     {{"worker", refused.worker.value()},
                      {"runs", std::uint64_t{worker.runs.size()}},
                      {"draining", worker.info.draining ? 1 : 0}});
    run_evidence evidence;
    evidence.kind = evidence_kind::other_worker;
    evidence.sent_position = refused.sent_position;
    self.end_incarnation(worker, evidence, {}, "worker process ended", now);
    worker.abandoned.clear();
    worker.polled = false;
    worker.process_ended = true;
    worker.contact_position = refused.sent_position;
}

void scheduler::implementation::settle_ended_worker(worker_status& worker, boot_time now)
{
    if (!former.is_expected(worker.info.id))
        return;
    if (worker.ended_unpolled_since == boot_time())
        worker.ended_unpolled_since = now;
    if (now - worker.ended_unpolled_since < entry_delay)
        return;
    worker.process_ended = true;
    mark_settled(worker.info.id, now);
}

} // namespace hawthornbeam::cell
