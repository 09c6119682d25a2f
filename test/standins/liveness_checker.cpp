#include "test/standins/liveness_checker.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <tuple>

namespace hawthornbeam::standins
{

namespace
{

using cell::job_key;
using cell::job_spec;
using cell::run_end;
using cell::step_spec;
using cell::task_ref;

/// Time for which a job may have nothing running although it could run.
constexpr duration waiting_bound = std::chrono::milliseconds(3000);
/// Time without a failure, and time for which a worker has to be up, before the rule
/// applies.
constexpr duration calm_time = std::chrono::milliseconds(4000);
/// A job with a task that has crashed this many workers may be given up.
constexpr std::size_t crashes_to_give_up = 2;
/// Room is there this many times over, and at most one in this many parts is in use.
constexpr std::int64_t room_factor = 2;

struct task_progress
{
    std::size_t running = 0;
    std::size_t failures = 0;
    std::size_t crashes = 0;
    bool is_done = false;
    bool is_noted = false; ///< Its end as done is acknowledged.
};

struct job_progress
{
    const job_spec* spec = nullptr;
    boot_time accepted_at{};
    std::vector<std::vector<task_progress>> steps;
    std::size_t running = 0;
    /// A run that was lost with its worker counts as running until then.
    boot_time lost_until = boot_time::min();
    bool is_given_up = false;
    bool is_reported = false;
    std::optional<boot_time> waiting_since; ///< Since when it could run and did not.
    std::uint32_t waiting_step = 0;
};

/// A run on one incarnation of a worker.
using located_run =
    std::tuple<worker_id, cell::worker_incarnation, task_ref, cell::run_number>;

located_run location_of(const run_event& event)
{
    return {event.worker, event.incarnation, event.run.task, event.run.run};
}

/// A worker that is up at a time.
struct worker_state
{
    const worker_record* record = nullptr;
    resources capacity;
    resources free_capacity;
    bool takes_tasks = false; ///< Up and sound for long enough, and not draining.
};

bool lies_within(boot_time at, const std::pair<boot_time, boot_time>& span)
{
    return span.first <= at && at < span.second;
}

std::int64_t count_places(const resources& size, resources free_capacity,
                          std::int64_t limit)
{
    std::int64_t places = 0;
    for (; places < limit && size.fits_in(free_capacity); ++places)
        free_capacity -= size;
    return places;
}

class liveness_checker
{
public:
    explicit liveness_checker(const cell_history& history) : history_(history)
    {
        find_judged_jobs();
        find_unrest();
    }

    std::vector<broken_rule> run()
    {
        std::size_t next_event = 0;
        for (const boot_time now : times_of_changes())
        {
            for (; next_event < history_.run_events.size() &&
                   history_.run_events[next_event].at <= now;
                 ++next_event)
                apply(history_.run_events[next_event]);
            review_jobs(now);
        }
        for (auto& [id, job] : jobs_)
            end_wait(id, job, history_.ended_at);
        return std::move(broken_rules_);
    }

private:
    void find_judged_jobs()
    {
        for (const caller_answer& each : history_.answers)
        {
            const auto submitted = history_.submitted.find(each.job);
            if (each.cancel || each.outcome != cell::verdict::done ||
                submitted == history_.submitted.end())
                continue;
            const auto [added, is_new] = jobs_.try_emplace(each.job);
            job_progress& job = added->second;
            job.accepted_at = is_new ? each.at : std::min(job.accepted_at, each.at);
            job.spec = &submitted->second;
        }
        for (const caller_answer& each : history_.answers)
            if (each.cancel)
                jobs_.erase(each.job);
        for (auto& [id, job] : jobs_)
            for (const step_spec& step : job.spec->steps)
                job.steps.emplace_back(step.count);
    }

    /// Finds the spans in which the rule does not apply.
    void find_unrest()
    {
        for (const boot_time each : history_.disturbances)
            unrest_.emplace_back(each, each + calm_time);
        for (const boot_time each : history_.late_commands)
            unrest_.emplace_back(each, each + calm_time);
        for (const auto& [from, until] : history_.failures)
            unrest_.emplace_back(from, until + calm_time);
    }

    /// Returns all times at which the condition of the rule may change, in order.
    std::vector<boot_time> times_of_changes() const
    {
        std::vector<boot_time> times;
        for (const auto& [id, job] : jobs_)
            times.push_back(job.accepted_at);
        for (const run_event& each : history_.run_events)
        {
            times.push_back(each.at);
            if (each.type == run_event::kind::lost)
                times.push_back(each.at + calm_time);
        }
        for (const auto& [from, until] : unrest_)
            times.insert(times.end(), {from, until});
        for (const worker_record& each : history_.workers)
        {
            times.push_back(each.draining_since);
            times.push_back(each.up_since + calm_time);
            times.push_back(each.up_until);
            for (const auto& [since, capacity] : each.capacity_changes)
                times.push_back(since);
            for (const auto& [from, until] : each.faulty)
                times.insert(times.end(), {from, until + calm_time});
        }
        std::ranges::sort(times);
        times.erase(std::unique(times.begin(), times.end()), times.end());
        std::erase_if(times, [this](boot_time each) { return each > history_.ended_at; });
        return times;
    }

    void apply(const run_event& event)
    {
        if (event.type == run_event::kind::lapsed)
        {
            std::erase_if(listed_ends_,
                          [&event](const located_run& each) {
                              return std::get<0>(each) == event.worker &&
                                     std::get<1>(each) == event.incarnation;
                          });
            return;
        }
        const auto found = jobs_.find(event.run.task.job);
        const task_ref& ref = event.run.task;
        if (event.type == run_event::kind::started)
            start(event);
        else if (event.type != run_event::kind::acknowledged)
            end(event);
        if (found == jobs_.end() || ref.step >= found->second.steps.size() ||
            ref.index >= found->second.steps[ref.step].size())
            return;
        job_progress& job = found->second;
        task_progress& task = job.steps[ref.step][ref.index];
        switch (event.type)
        {
        case run_event::kind::acknowledged:
            task.is_noted |= task.is_done && listed_ends_.contains(location_of(event));
            return;
        case run_event::kind::ended:
            listed_ends_.insert(location_of(event));
            task.is_done |= event.outcome == run_end::done;
            task.failures += event.outcome == run_end::failed ? 1U : 0U;
            break;
        case run_event::kind::lost:
            task.crashes += history_.crashing_tasks.contains(ref) ? 1U : 0U;
            job.lost_until = event.at + calm_time;
            break;
        case run_event::kind::started:
        case run_event::kind::lapsed:
            break;
        }
        update(job, ref.step);
    }

    void start(const run_event& event)
    {
        const auto job = history_.submitted.find(event.run.task.job);
        if (job == history_.submitted.end() ||
            event.run.task.step >= job->second.steps.size())
            return;
        running_[event.worker][location_of(event)] =
            job->second.steps[event.run.task.step].size;
        ++runs_of_job_[event.run.task.job];
    }

    void end(const run_event& event)
    {
        if (running_[event.worker].erase(location_of(event)) > 0)
            --runs_of_job_[event.run.task.job];
    }

    /// Gives the job up if a task, or the gang, of \p step has used its attempts.
    void update(job_progress& job, std::uint32_t step)
    {
        const auto queue = history_.queues.find(job.spec->queue);
        const std::size_t attempts =
            queue == history_.queues.end() ? 1 : queue->second.attempts;
        std::size_t failures = 0;
        for (const task_progress& each : job.steps[step])
        {
            failures = job.spec->steps[step].gang ? failures + each.failures
                                                  : std::max(failures, each.failures);
            job.is_given_up |= each.crashes >= crashes_to_give_up;
        }
        job.is_given_up |= failures >= attempts;
    }

    static bool is_complete(const job_progress& job, std::uint32_t step)
    {
        const auto is_noted = [](const task_progress& each) { return each.is_noted; };
        return job.spec->steps[step].gang
                   ? std::ranges::any_of(job.steps[step], is_noted)
                   : std::ranges::all_of(job.steps[step], is_noted);
    }

    /// Returns whether a task of the step could run, for a job without runs.
    static bool is_ready(const job_progress& job, std::uint32_t step)
    {
        const auto is_done = [](const task_progress& each) { return each.is_done; };
        const bool has_open_task = job.spec->steps[step].gang
                                       ? std::ranges::none_of(job.steps[step], is_done)
                                       : !std::ranges::all_of(job.steps[step], is_done);
        return has_open_task &&
               std::ranges::all_of(job.spec->steps[step].after, [&job](std::uint32_t each)
                                   { return is_complete(job, each); });
    }

    std::vector<worker_state> workers_at(boot_time now)
    {
        std::vector<worker_state> workers;
        for (const worker_record& each : history_.workers)
        {
            if (!lies_within(now, {each.up_since, each.up_until}))
                continue;
            worker_state& added = workers.emplace_back();
            added.record = &each;
            added.capacity = each.info.capacity;
            for (const auto& [since, capacity] : each.capacity_changes)
                if (since <= now)
                    added.capacity = capacity;
            added.free_capacity = added.capacity;
            for (const auto& [run, size] : running_[each.info.id])
                if (std::get<1>(run) == each.info.incarnation)
                    added.free_capacity -= size;
            const bool is_faulty = std::ranges::any_of(
                each.faulty,
                [now](const std::pair<boot_time, boot_time>& span) {
                    return lies_within(now, {span.first, span.second + calm_time});
                });
            added.takes_tasks = each.up_since + calm_time <= now &&
                                now < each.draining_since && !is_faulty;
        }
        return workers;
    }

    static bool is_half_used(const std::vector<worker_state>& workers,
                             const cell::service_name& service)
    {
        resources capacity;
        resources used;
        for (const worker_state& each : workers)
            if (each.record->info.service == service)
            {
                capacity += each.capacity;
                used += each.capacity - each.free_capacity;
            }
        const auto is_half = [](std::int64_t part, std::int64_t whole)
        { return whole > 0 && room_factor * part >= whole; };
        return is_half(used.processors.value(), capacity.processors.value()) ||
               is_half(used.memory.value(), capacity.memory.value()) ||
               is_half(used.accelerators.value(), capacity.accelerators.value());
    }

    /// Returns whether the workers have room for the step twice over: for a gang for all
    /// of its members, otherwise for one task.
    bool has_room(const job_progress& job, std::uint32_t step,
                  const std::vector<worker_state>& workers,
                  const cell::service_name& service) const
    {
        const step_spec& spec = job.spec->steps[step];
        const std::int64_t needed = room_factor * (spec.gang ? spec.count : 1);
        const auto admitted = history_.admitted.find({job.spec->id, step});
        std::int64_t places = 0;
        for (const worker_state& each : workers)
        {
            const cell::worker_info& info = each.record->info;
            if (!each.takes_tasks || info.service != service ||
                (!spec.label.empty() &&
                 std::ranges::find(info.labels, spec.label) == info.labels.end()) ||
                (admitted != history_.admitted.end() &&
                 !admitted->second.contains(info.id)))
                continue;
            const std::int64_t limit =
                spec.per_worker > 0 ? std::min<std::int64_t>(needed, spec.per_worker)
                                    : needed;
            places += count_places(spec.size, each.free_capacity, limit);
        }
        return places >= needed;
    }

    /// Returns a step of the job of which a task could run and none does.
    std::optional<std::uint32_t> startable_step(const job_key& id,
                                                const job_progress& job, boot_time now,
                                                const std::vector<worker_state>& workers)
    {
        const auto queue = history_.queues.find(job.spec->queue);
        if (job.is_given_up || now < job.accepted_at || now < job.lost_until ||
            runs_of_job_[id] > 0 || queue == history_.queues.end() ||
            is_half_used(workers, queue->second.service))
            return std::nullopt;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step)
            if (is_ready(job, step) &&
                has_room(job, step, workers, queue->second.service))
                return step;
        return std::nullopt;
    }

    void review_jobs(boot_time now)
    {
        const bool is_calm = std::ranges::none_of(
            unrest_, [now](const std::pair<boot_time, boot_time>& each)
            { return lies_within(now, each); });
        const std::vector<worker_state> workers =
            is_calm ? workers_at(now) : std::vector<worker_state>();
        for (auto& [id, job] : jobs_)
        {
            if (job.is_reported)
                continue;
            const std::optional<std::uint32_t> step =
                is_calm ? startable_step(id, job, now, workers) : std::nullopt;
            if (!step)
                end_wait(id, job, now);
            else if (!job.waiting_since)
            {
                job.waiting_since = now;
                job.waiting_step = *step;
            }
        }
    }

    void end_wait(const job_key& id, job_progress& job, boot_time now)
    {
        if (!job.waiting_since)
            return;
        const duration waited = now - *job.waiting_since;
        const auto whole_ms = [](duration time)
        { return time / std::chrono::milliseconds(1); };
        if (waited >= waiting_bound && !job.is_reported)
        {
            job.is_reported = true;
            broken_rules_.push_back(
                {"LOST",
                 fmt::format("{}: nothing runs from {} to {} ms, though step {} could",
                             id.value(), whole_ms(job.waiting_since->time_since_epoch()),
                             whole_ms(now.time_since_epoch()), job.waiting_step)});
        }
        job.waiting_since.reset();
    }

    const cell_history& history_;
    std::map<job_key, job_progress> jobs_; ///< Accepted jobs that nobody cancelled.
    std::vector<std::pair<boot_time, boot_time>> unrest_;
    std::map<worker_id, std::map<located_run, resources>> running_;
    std::map<job_key, std::size_t> runs_of_job_;
    std::set<located_run> listed_ends_; ///< Ends whose worker has kept its lease since.
    std::vector<broken_rule> broken_rules_;
};

} // namespace

std::vector<broken_rule> check_liveness(const cell_history& history)
{
    return liveness_checker(history).run();
}

} // namespace hawthornbeam::standins
