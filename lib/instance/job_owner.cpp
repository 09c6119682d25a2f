/// \file
/// Admission, cancellation and periodic maintenance of jobs at their owner.
#include "lib/instance/job_owner.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

constexpr duration housekeeping_period = std::chrono::milliseconds(500);
constexpr duration deadline_check_period = std::chrono::milliseconds(50);
/// Each period audits one partition.
constexpr duration audit_period = std::chrono::seconds(2);
/// A task that has waited at a slice owner for this long is recalled when another slice
/// owner has free capacity.
constexpr duration min_stuck_time = std::chrono::seconds(1);
/// Mean retry delay reported for a job that could not be journaled. The delay is random,
/// so that callers do not all retry at once after an outage.
constexpr duration journal_failure_retry_delay = std::chrono::seconds(4);
constexpr double journal_failure_retry_spread = 0.5;
constexpr duration stop_deadline = std::chrono::seconds(2);
constexpr std::size_t max_tasks_per_stop = 500;

bool matches(const job_state& job, const partner_id& partner, const row_id& row)
{
    const bool partner_fits = partner.empty() || partner_of(job.spec.row) == partner;
    return partner_fits && (row.empty() || job.spec.row == row);
}

bool same_contents(const wire::job_spec& a, const wire::job_spec& b)
{
    return a.row == b.row && a.tasks == b.tasks && a.size == b.size &&
           a.synchronous == b.synchronous && a.payload == b.payload;
}

} // namespace

job_owner::job_owner(context& shared, fleet& hosts, load_view& loads)
    : shared_(shared), fleet_(hosts),
      partitions_(shared, hosts, static_cast<partition_set::observer&>(*this)),
      dispatcher_(shared, hosts, loads, static_cast<dispatcher::jobs&>(*this))
{
    housekeeping_ = shared_.parts.loop.every(housekeeping_period,
                                             [this]
                                             {
                                                 recall_stuck_tasks();
                                                 write_unrecorded_results();
                                                 evict_ended_jobs();
                                             });
    audit_ = shared_.parts.loop.every(audit_period, [this] { audit_one_partition(); });
    deadline_check_ = shared_.parts.loop.every(deadline_check_period,
                                               [this] { refuse_jobs_past_deadline(); });
}

job_owner::~job_owner() = default;

void job_owner::members_changed()
{
    mark_orphans();
    partitions_.follow_assignment();
    dispatcher_.schedule();
}

void job_owner::leave(std::function<void()> done)
{
    partitions_.leave(std::move(done));
}

job_state* job_owner::find_job(const job_id& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

std::optional<epoch> job_owner::epoch_of(partition_id partition)
{
    if (!partitions_.may_start(partition))
        return std::nullopt;
    return partitions_.epoch_of(partition);
}

std::optional<error> job_owner::admission_fault(const wire::job_spec& spec) const
{
    const table_row* row = shared_.parts.table.current().find(spec.row);
    if (row == nullptr)
        return make_error(error_code::invalid_input,
                          "the table has no row " + spec.row.value());
    if (fleet_.is_impossible(spec.size))
        return make_error(error_code::invalid_input,
                          "no worker of the cluster can hold a task of this size");
    if (row->kind == workload::gang && fleet_.is_known())
    {
        const std::vector<owner_share>& shares = fleet_.shares();
        const bool fits = std::any_of(shares.begin(), shares.end(),
                                      [&](const owner_share& share) {
                                          return share.max_tasks(spec.size) >= spec.tasks;
                                      });
        if (!fits && !shares.empty())
            return make_error(error_code::invalid_input,
                              "no slice owner has enough workers for the whole gang");
    }
    if (spec.tasks > row->limits.queue_length)
        return make_error(error_code::invalid_input,
                          fmt::format("the job has {} tasks and the row's queue holds {}",
                                      spec.tasks, row->limits.queue_length));
    const std::size_t waiting = dispatcher_.waiting(spec.row);
    if (waiting + spec.tasks > row->limits.queue_length)
        return make_error(
            error_code::limit_exceeded,
            fmt::format("{} tasks of the row wait already and {} more would "
                        "exceed its limit of {}",
                        waiting, spec.tasks, row->limits.queue_length));
    return std::nullopt;
}

void job_owner::submit(const wire::job_spec& spec, submit_callback done)
{
    const partition_id partition = spec.id.partition(shared_.options.partitions);
    if (!partitions_.may_start(partition))
        return done(
            make_error(error_code::unavailable, "the partition is not owned here"));
    const auto existing = jobs_.find(spec.id);
    if (existing != jobs_.end())
    {
        job_state& job = existing->second;
        if (job.has_spec && !same_contents(job.spec, spec))
            return done(make_error(error_code::conflict,
                                   "the request id names a job with other contents"));
        if (!job.has_spec)
            set_recovered_spec(job, spec);
        if (job.is_ended() || (job.durable && job.journaled))
            return done(status_of(job));
        if (job.durable)
            return done(make_error(error_code::unavailable,
                                   "the job is being written; ask again"));
        job.waiters.push_back([done](const wire::job_status& status) { done(status); });
        return;
    }
    // A previous owner may have started the task. A complete inventory is needed to rule
    // that out before the task may be started again.
    const bool needs_inventory = spec.synchronous && !spec.idempotent;
    if (needs_inventory && !partitions_.is_active(partition))
        return done(make_error(error_code::unavailable, "a takeover is in progress"));
    const std::optional<error> fault = admission_fault(spec);
    if (fault)
    {
        const char* reason =
            fault->code == error_code::limit_exceeded ? "queue_full" : "impossible";
        shared_.parts.metrics.add("hawthornbeam_refusals_total",
                                  {{"row", spec.row.value()}, {"reason", reason}});
        return done(*fault);
    }
    accept(spec, std::move(done));
}

void job_owner::set_recovered_spec(job_state& job, const wire::job_spec& spec)
{
    job.spec = spec;
    job.has_spec = true;
    for (std::uint32_t index = 0; index < job.slots.size(); ++index)
        if (job.slots[index].phase == slot_phase::waiting)
            dispatcher_.add(job, index);
}

void job_owner::accept(const wire::job_spec& spec, submit_callback done)
{
    job_state& job = jobs_[spec.id];
    job.spec = spec;
    job.partition = spec.id.partition(shared_.options.partitions);
    job.slots.resize(spec.tasks);
    job.accepted = shared_.now();
    job.durable = !spec.synchronous;
    if (spec.deadline_ms > 0)
        job.start_by = shared_.now() + std::chrono::milliseconds(spec.deadline_ms);
    if (job.durable)
        return journal_acceptance(spec.id, std::move(done));
    job.waiters.push_back([done](const wire::job_status& status) { done(status); });
    if (job.start_by != boot_time::max())
        start_deadlines_.emplace(job.start_by, spec.id);
    queue_all(job);
}

void job_owner::journal_acceptance(const job_id& id, submit_callback done)
{
    const job_state& job = jobs_.at(id);
    job_accepted record;
    record.job = job.spec;
    record.at = shared_.parts.loop.clock().wall_now();
    partitions_.journal(job.partition)
        .append(std::move(record),
                shared_.guarded(
                    [this, id, done](result<bool> written)
                    {
                        const auto found = jobs_.find(id);
                        if (!written)
                        {
                            if (found != jobs_.end() && !found->second.journaled)
                                jobs_.erase(found);
                            const error& cause = written.error();
                            if (cause.code == error_code::conflict)
                                return done(
                                    make_error(error_code::unavailable, cause.message));
                            return done(journal_failure_status(id, cause));
                        }
                        if (found == jobs_.end())
                            return done(make_error(error_code::unavailable,
                                                   "the partition has moved; ask again"));
                        found->second.journaled = true;
                        queue_all(found->second);
                        done(status_of(found->second));
                    }));
}

void job_owner::queue_all(job_state& job)
{
    for (std::uint32_t index = 0; index < job.slots.size(); ++index)
    {
        retries_.record_first_attempt(job.spec.row);
        dispatcher_.add(job, index);
    }
}

std::uint64_t job_owner::next_sequence(partition_id partition)
{
    return partitions_.next_sequence(partition);
}

void job_owner::refuse_jobs_past_deadline()
{
    while (!start_deadlines_.empty() && start_deadlines_.begin()->first <= shared_.now())
    {
        const auto found = jobs_.find(start_deadlines_.begin()->second);
        start_deadlines_.erase(start_deadlines_.begin());
        if (found == jobs_.end() || found->second.is_ended())
            continue;
        job_state& job = found->second;
        const slot_phase phase = job.slots.front().phase;
        // Once a task is dispatched, only its slice owner knows whether it was started,
        // so the slice owner enforces the deadline.
        if (phase != slot_phase::waiting && phase != slot_phase::backing_off)
            continue;
        wire::task_update late;
        late.id = task_id{job.spec.id, 0, job.slots.front().attempt};
        late.code = error_code::deadline_exceeded;
        late.reason = "no slice owner took it before its start deadline";
        late.retry_after_ms = std::chrono::milliseconds(std::chrono::seconds(1)).count();
        refuse_job(job, late);
    }
}

result<wire::job_status> job_owner::query(const job_id& id) const
{
    const auto found = jobs_.find(id);
    if (found != jobs_.end() && (found->second.journaled || !found->second.durable))
        return status_of(found->second);
    const partition_id partition = id.partition(shared_.options.partitions);
    if (!partitions_.is_active(partition))
        return make_error(error_code::unavailable, "the partition is not owned here yet");
    return make_error(error_code::not_found, "no such job");
}

std::vector<wire::job_status>
job_owner::list(const wire::job_list_request& selector) const
{
    std::vector<wire::job_status> found;
    for (const auto& [id, job] : jobs_)
    {
        if (found.size() >= selector.most)
            break;
        if (!matches(job, selector.partner, selector.row))
            continue;
        wire::job_status status = status_of(job);
        status.results.clear();
        found.push_back(std::move(status));
    }
    return found;
}

wire::cancel_reply job_owner::cancel(const wire::cancel_request& selector)
{
    wire::cancel_reply reply;
    std::vector<job_id> chosen;
    if (selector.id != job_id())
        chosen.push_back(selector.id);
    else
        for (const auto& [id, job] : jobs_)
            if (!job.is_ended() && matches(job, selector.partner, selector.row))
                chosen.push_back(id);
    for (const job_id& id : chosen)
    {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() ||
            !matches(found->second, selector.partner, selector.row))
            continue;
        reply.found = true;
        if (found->second.is_ended())
            continue;
        ++reply.jobs;
        reply.tasks += cancel_job(found->second);
    }
    return reply;
}

std::uint32_t job_owner::cancel_job(job_state& job)
{
    if (!job.cancelling && job.durable && job.journaled)
        partitions_.journal(job.partition)
            .append(job_cancelling{job.spec.id}, [](result<bool>) {});
    job.cancelling = true;
    std::uint32_t tasks = 0;
    std::map<instance_id, std::vector<task_id>> stops;
    for (std::uint32_t index = 0; index < job.slots.size(); ++index)
    {
        task_slot& slot = job.slots[index];
        if (slot.phase == slot_phase::ended)
            continue;
        ++tasks;
        if (slot.phase == slot_phase::waiting || slot.phase == slot_phase::backing_off)
        {
            slot.phase = slot_phase::ended;
            ++job.ended;
        }
        else if (slot.phase != slot_phase::orphaned)
            stops[slot.owner].push_back(task_id{job.spec.id, index, slot.attempt});
    }
    for (auto& [owner, ids] : stops)
        send_stop(owner, std::move(ids), true);
    finish_if_ended(job);
    return tasks;
}

void job_owner::send_stop(const instance_id& owner, std::vector<task_id> ids,
                          bool stop_running)
{
    const member* target = shared_.parts.members.find(owner);
    if (target == nullptr)
        return;
    for (std::size_t begin = 0; begin < ids.size(); begin += max_tasks_per_stop)
    {
        const std::size_t end = std::min(begin + max_tasks_per_stop, ids.size());
        wire::stop_request message;
        message.stop_running = stop_running;
        message.tasks.assign(ids.begin() + static_cast<std::ptrdiff_t>(begin),
                             ids.begin() + static_cast<std::ptrdiff_t>(end));
        shared_.parts.peers.call(
            target->peer, std::move(message), stop_deadline,
            shared_.guarded([this, owner](const result<wire::reply>& answer)
                            { handle_stop_reply(owner, answer); }));
    }
}

job_state* job_owner::find_current_attempt(const task_id& task)
{
    const auto found = jobs_.find(task.job);
    if (found == jobs_.end() || task.index >= found->second.slots.size())
        return nullptr;
    if (found->second.slots[task.index].attempt != task.attempt)
        return nullptr;
    return &found->second;
}

void job_owner::handle_stop_reply(const instance_id& owner,
                                  const result<wire::reply>& answer)
{
    const wire::stop_reply* reply =
        answer ? std::get_if<wire::stop_reply>(&answer.value()) : nullptr;
    if (reply == nullptr)
        return;
    for (const task_id& id : reply->not_started)
    {
        job_state* job = find_current_attempt(id);
        if (job == nullptr || job->slots[id.index].phase != slot_phase::dispatched ||
            job->slots[id.index].owner != owner)
            continue;
        record_left_queue(*job, job->slots[id.index]);
        requeue(*job, id.index);
    }
    std::set<partition_id> uncertain_partitions;
    for (const task_id& id : reply->not_known)
    {
        job_state* job = find_current_attempt(id);
        if (job == nullptr || job->slots[id.index].owner != owner)
            continue;
        task_slot& slot = job->slots[id.index];
        if (slot.phase != slot_phase::dispatched && slot.phase != slot_phase::placed)
            continue;
        orphan(*job, slot);
        uncertain_partitions.insert(job->partition);
    }
    for (const partition_id& partition : uncertain_partitions)
        partitions_.repeat_inventory(partition);
}

void job_owner::recall_stuck_tasks()
{
    std::map<instance_id, std::vector<task_id>> stuck;
    for (auto& [id, job] : jobs_)
    {
        if (job.is_ended() || job.ended + job.placed == job.slots.size())
            continue;
        for (std::uint32_t index = 0; index < job.slots.size(); ++index)
        {
            const task_slot& slot = job.slots[index];
            const bool is_stuck = slot.phase == slot_phase::dispatched &&
                                  shared_.now() - slot.since > min_stuck_time;
            if (!is_stuck)
                continue;
            const bool cancel = job.cancelling;
            if (cancel || dispatcher_.has_room_elsewhere(job.spec.size, slot.owner))
                stuck[slot.owner].push_back(task_id{id, index, slot.attempt});
        }
    }
    for (auto& [owner, ids] : stuck)
        send_stop(owner, std::move(ids), false);
}

void job_owner::write_unrecorded_results()
{
    // No slice owner resends the results of tasks on lost workers, so results whose
    // journal write failed are written again here.
    std::vector<job_id> unwritten_jobs;
    for (const auto& [id, job] : jobs_)
        if (!job.unrecorded.empty() && job.writes_in_flight == 0 &&
            partitions_.is_owned(job.partition) &&
            !partitions_.journal(job.partition).is_degraded())
            unwritten_jobs.push_back(id);
    for (const job_id& id : unwritten_jobs)
    {
        job_state& job = jobs_.at(id);
        append_progress(job, {job.unrecorded.begin(), job.unrecorded.end()}, [](bool) {});
    }
}

void job_owner::evict_ended_jobs()
{
    while (!ended_jobs_.empty())
    {
        const auto found = jobs_.find(ended_jobs_.front());
        const bool is_expired =
            found == jobs_.end() || ended_jobs_.size() > shared_.options.max_ended_jobs ||
            shared_.now() - found->second.ended_at > shared_.options.ended_job_retention;
        if (!is_expired)
            return;
        if (found != jobs_.end() && found->second.is_ended())
            jobs_.erase(found);
        ended_jobs_.pop_front();
    }
}

wire::job_status job_owner::journal_failure_status(const job_id& id, const error& cause)
{
    shared_.parts.metrics.add("hawthornbeam_refusals_total",
                              {{"row", "all"}, {"reason", "kv_unavailable"}});
    wire::job_status status;
    status.id = id;
    status.verdict = wire::job_verdict::not_run;
    status.reason = "the job could not be made durable: " + cause.message;
    status.retry_after_ms =
        shared_.random.jitter(journal_failure_retry_delay, journal_failure_retry_spread)
            .count() /
        std::chrono::nanoseconds(std::chrono::milliseconds(1)).count();
    return status;
}

std::optional<std::pair<instance_id, task_id>>
job_owner::waiting_at_slice_owner(const job_id& id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return std::nullopt;
    for (std::uint32_t index = 0; index < found->second.slots.size(); ++index)
    {
        const task_slot& slot = found->second.slots[index];
        if (slot.phase == slot_phase::dispatched)
            return std::make_pair(slot.owner, task_id{id, index, slot.attempt});
    }
    return std::nullopt;
}

std::string job_owner::explain(const job_id& id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.is_ended())
        return std::string();
    const job_state& job = found->second;
    if (job.ended + job.placed == job.slots.size())
        return std::string();
    const bool any_orphaned = std::any_of(job.slots.begin(), job.slots.end(),
                                          [](const task_slot& slot)
                                          { return slot.phase == slot_phase::orphaned; });
    if (any_orphaned)
        return "a slice owner was lost; its workers are being asked what they run";
    return dispatcher_.explain(job);
}

std::size_t job_owner::open_requests() const
{
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(),
                      [](const auto& entry) { return !entry.second.waiters.empty(); }));
}

} // namespace hawthornbeam
