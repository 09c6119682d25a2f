/// \file
/// Implements the checker of a cell's rules.
#include "test/standins/cell_checker.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <set>

namespace hawthornbeam::standins
{

namespace
{

using cell::job_key;
using cell::job_spec;
using cell::job_state;
using cell::run_end;
using cell::run_number;
using cell::step_spec;
using cell::task_ref;

/// Bounds of the users' pages: `cancel_ms`, `drain-ms`, `gang-ms`, and the calm that
/// rules with a bound need before the event, `contact-ms`; `kill-grace-ms` of the
/// simulated workers.
constexpr duration cancel_bound = std::chrono::milliseconds(3000);
constexpr duration drain_bound = std::chrono::milliseconds(2000);
constexpr duration gang_wait = std::chrono::milliseconds(3000);
constexpr duration calm_needed = std::chrono::milliseconds(3000);
constexpr duration kill_grace = std::chrono::milliseconds(400);
/// From the beginning of a failure to its end; the history does not pair them.
constexpr duration longest_failure = std::chrono::milliseconds(7000);

/// A run that is on a worker.
struct present_run
{
    worker_id worker;
    run_number run;
    boot_time since{};
};

/// A run and where it was. Another life of the worker may begin a run of the same number
/// when nobody learned of the first one.
struct placed_run
{
    worker_id worker;
    cell::worker_incarnation incarnation;
    cell::run_ref run;

    friend bool operator==(const placed_run&, const placed_run&) = default;
};

/// What is known of a task so far.
struct task_record
{
    std::vector<present_run> present;
    std::vector<placed_run> done;   ///< Runs that ended so.
    std::vector<placed_run> failed; ///< Runs that ended so.
};

class checker
{
public:
    explicit checker(const cell_history& history)
        : history_(history), disturbances_(history.disturbances)
    {
        std::ranges::sort(disturbances_);
    }

    std::vector<broken_rule> run()
    {
        for (const run_event& event : history_.runs)
            if (event.what == run_event::kind::acknowledged)
                acknowledged_.push_back({event.worker, event.incarnation, event.run});
        for (const run_event& event : history_.runs)
            take(event);
        for (const auto& [ref, task] : tasks_)
            for (const present_run& each : task.present)
                check_stopped(ref, each, history_.ended_at);
        check_callers();
        check_states();
        return std::move(found_);
    }

private:
    void report(const char* rule, const task_ref& task, const std::string& text)
    {
        found_.push_back({rule, fmt::format("{}.{}.{}: {}", task.job.value(), task.step,
                                            task.index, text)});
    }
    void report(const char* rule, const job_key& job, const std::string& text)
    {
        found_.push_back({rule, job.value() + ": " + text});
    }

    bool is_calm(boot_time at, duration needed = calm_needed) const
    {
        const std::function<bool(boot_time)> is_near = [at, needed](boot_time each)
        { return each <= at && at - each < needed; };
        return std::ranges::none_of(disturbances_, is_near) &&
               std::ranges::none_of(history_.late_commands, is_near);
    }

    /// The first moment from \p at on that no failure can have reached.
    boot_time next_undisturbed(boot_time at) const
    {
        for (const boot_time each : disturbances_)
            if (each <= at)
                at = std::max(at, each + longest_failure + calm_needed);
        return at;
    }

    const step_spec* step_of(const task_ref& task) const
    {
        const auto job = history_.submitted.find(task.job);
        if (job == history_.submitted.end() || task.step >= job->second.steps.size())
            return nullptr;
        return &job->second.steps[task.step];
    }

    const worker_record* incarnation_of(const run_event& event) const
    {
        const auto found =
            std::ranges::find_if(history_.workers,
                                 [&event](const worker_record& each) {
                                     return each.info.id == event.worker &&
                                            each.info.incarnation == event.incarnation;
                                 });
        return found == history_.workers.end() ? nullptr : &*found;
    }

    /// Tasks whose ends count for \p task: all members of a gang, else the task itself.
    std::vector<task_ref> counted_with(const task_ref& task, const step_spec& step) const
    {
        if (!step.gang)
            return {task};
        std::vector<task_ref> members;
        for (std::uint32_t index = 0; index < step.count; ++index)
            members.push_back({task.job, task.step, index});
        return members;
    }

    void take(const run_event& event)
    {
        task_record& task = tasks_[event.run.task];
        switch (event.what)
        {
        case run_event::kind::started:
            return handle_start(event, task);
        case run_event::kind::ended:
            if (event.outcome == run_end::done)
                task.done.push_back({event.worker, event.incarnation, event.run});
            if (event.outcome == run_end::failed)
                task.failed.push_back({event.worker, event.incarnation, event.run});
            if (event.outcome == run_end::alone &&
                is_calm(event.at, calm_needed + gang_wait))
                report("GANG", event.run.task, "a member was left alone");
            [[fallthrough]];
        case run_event::kind::lost:
            std::erase_if(task.present,
                          [this, &event](const present_run& each)
                          {
                              if (each.worker != event.worker ||
                                  each.run != event.run.run)
                                  return false;
                              check_stopped(event.run.task, each, event.at);
                              return true;
                          });
            leave(event);
            return;
        case run_event::kind::acknowledged:
            return;
        }
    }

    void leave(const run_event& event)
    {
        std::map<task_ref, resources>& held = held_[event.worker];
        held.erase(event.run.task);
    }

    void handle_start(const run_event& event, task_record& task)
    {
        const task_ref& ref = event.run.task;
        const step_spec* step = step_of(ref);
        if (step == nullptr)
            return report("UNASKED", ref, "nobody submitted it");
        const job_spec& job = history_.submitted.at(ref.job);
        if (event.payload != job.payload)
            report("UNASKED", ref, "another payload");
        check_ended_before(event, *step);
        if (!task.present.empty() && !step->speculative)
            report("TWICE", ref,
                   fmt::format("run {} on {} beside run {} on {}", event.run.run.value(),
                               event.worker.value(), task.present[0].run.value(),
                               task.present[0].worker.value()));
        task.present.push_back({event.worker, event.run.run, event.at});
        check_order(ref, *step);
        check_place(event, *step, job);
        check_cancelled(event);
    }

    void check_ended_before(const run_event& event, const step_spec& step)
    {
        const task_ref& ref = event.run.task;
        std::size_t failures = 0;
        for (const task_ref& counted : counted_with(ref, step))
        {
            if (std::ranges::any_of(tasks_[counted].done, [this](const placed_run& each)
                                    { return is_acknowledged(each); }))
                return report("TWICE", ref, "started after it had ended as done");
            failures += static_cast<std::size_t>(std::ranges::count_if(
                tasks_[counted].failed,
                [this](const placed_run& each) { return is_acknowledged(each); }));
        }
        const auto queue = history_.queues.find(history_.submitted.at(ref.job).queue);
        if (queue != history_.queues.end() && !step.persistent &&
            failures >= queue->second.attempts)
            report("BUDGET", ref, fmt::format("started after {} failures", failures));
    }

    /// True when the end is taken note of at any time.
    bool is_acknowledged(const placed_run& run) const
    {
        return std::ranges::find(acknowledged_, run) != acknowledged_.end();
    }

    bool is_done(const task_ref& task, const step_spec& step)
    {
        return std::ranges::any_of(counted_with(task, step), [this](const task_ref& each)
                                   { return !tasks_[each].done.empty(); });
    }

    void check_order(const task_ref& ref, const step_spec& step)
    {
        const job_spec& job = history_.submitted.at(ref.job);
        for (const std::uint32_t earlier : step.after)
            for (std::uint32_t index = 0; index < job.steps[earlier].count; ++index)
                if (!is_done({ref.job, earlier, index}, job.steps[earlier]))
                    return report("ORDER", ref,
                                  fmt::format("started before step {} ended", earlier));
    }

    void check_place(const run_event& event, const step_spec& step, const job_spec& job)
    {
        const task_ref& ref = event.run.task;
        const worker_record* place = incarnation_of(event);
        if (place == nullptr)
            return report("ROUTE", ref, "started on an unknown worker");
        const auto queue = history_.queues.find(job.queue);
        if (queue == history_.queues.end() ||
            queue->second.service != place->info.service)
            report("ROUTE", ref, "started on a worker of another service");
        const std::vector<std::string>& labels = place->info.labels;
        if (!step.label.empty() && std::ranges::find(labels, step.label) == labels.end())
            report("ROUTE", ref, "started without the label " + step.label);
        std::map<task_ref, resources>& held = held_[event.worker];
        held[ref] = step.size;
        resources used;
        std::uint32_t beside = 0;
        for (const auto& [task, size] : held)
        {
            used += size;
            beside += task.job == ref.job && task.step == ref.step ? 1U : 0U;
        }
        if (step.per_worker > 0 && beside > step.per_worker)
            report("ROUTE", ref, "too many tasks of its step on " + event.worker.value());
        if (!used.fits_in(place->info.capacity))
            report("LIMIT", ref, event.worker.value() + " is over its room");
        if (place->draining_since != boot_time::max() &&
            event.at - place->draining_since > drain_bound && is_calm(event.at))
            report("DRAIN", ref, "started on draining " + event.worker.value());
    }

    void check_cancelled(const run_event& event)
    {
        for (const caller_answer& answer : history_.answers)
            if (answer.cancel && answer.job == event.run.task.job &&
                answer.told == cell::verdict::done &&
                event.at - answer.at > cancel_bound && is_calm(event.at))
                return report("UNASKED", event.run.task, "started after its cancel");
    }

    /// Judges a run of a cancelled job that was on its worker until \p until.
    void check_stopped(const task_ref& ref, const present_run& run, boot_time until)
    {
        boot_time cancelled = boot_time::max();
        for (const caller_answer& answer : history_.answers)
            if (answer.cancel && answer.job == ref.job &&
                answer.told == cell::verdict::done)
                cancelled = std::min(cancelled, answer.at);
        if (cancelled == boot_time::max())
            return;
        boot_time due = cancelled + cancel_bound;
        if (std::ranges::find(history_.late_commands, run.since) !=
            history_.late_commands.end())
            due = std::max(due, run.since + calm_needed);
        due = next_undisturbed(due + kill_grace);
        if (until > due)
            report("UNASKED", ref,
                   fmt::format("run {} on {} went on for {} ms after its cancel",
                               run.run.value(), run.worker.value(),
                               (until - cancelled) / std::chrono::milliseconds(1)));
    }

    bool was_told(const job_key& job, bool cancel, cell::verdict told) const
    {
        return std::ranges::any_of(
            history_.answers, [&](const caller_answer& each)
            { return each.job == job && each.cancel == cancel && each.told == told; });
    }

    void check_callers()
    {
        for (const auto& [job, spec] : history_.submitted)
        {
            bool all_refused = true;
            for (const caller_answer& answer : history_.answers)
                if (answer.job == job && !answer.cancel &&
                    answer.told != cell::verdict::refused)
                    all_refused = false;
            const bool ran =
                std::ranges::any_of(history_.runs, [&id = job](const run_event& each)
                                    { return each.run.task.job == id; });
            if (all_refused && ran)
                report("REFUSED", job, "it ran, and every request for it was refused");
        }
    }

    /// When the last task of the job ended as done; the latest time when one has not.
    boot_time finished_at(const job_key& job, const job_spec& spec) const
    {
        boot_time last{};
        for (std::uint32_t step = 0; step < spec.steps.size(); ++step)
        {
            std::map<std::uint32_t, boot_time> first;
            for (const run_event& event : history_.runs)
                if (event.what == run_event::kind::ended &&
                    event.outcome == run_end::done && event.run.task.job == job &&
                    event.run.task.step == step)
                    first.emplace(event.run.task.index, event.at);
            const bool complete = spec.steps[step].gang
                                      ? !first.empty()
                                      : first.size() == spec.steps[step].count;
            if (!complete)
                return boot_time::max();
            for (const auto& [index, at] : first)
                last = std::max(last, at);
        }
        return last;
    }

    bool may_fail(const job_key& job, const job_spec& spec)
    {
        for (std::uint32_t step = 0; step < spec.steps.size(); ++step)
            for (std::uint32_t index = 0; index < spec.steps[step].count; ++index)
            {
                const task_ref task{job, step, index};
                std::size_t failures = 0;
                for (const task_ref& each : counted_with(task, spec.steps[step]))
                    failures += tasks_[each].failed.size();
                if (failures >= history_.queues.at(spec.queue).attempts)
                    return true;
            }
        return false;
    }

    void check_states()
    {
        std::set<job_key> ended;
        for (const shown_state& each : history_.shown)
        {
            const auto job = history_.submitted.find(each.job);
            if (job == history_.submitted.end())
            {
                if (each.found)
                    report("MIXED", each.job, "shown, and nobody submitted it");
                continue;
            }
            check_state(each, job->second);
            if (each.found && is_final(each.state))
                ended.insert(each.job);
        }
        for (const auto& [job, spec] : history_.submitted)
            if (was_told(job, false, cell::verdict::done) && !ended.contains(job))
                report("LOST", job, "accepted, and it never ended");
    }

    void check_state(const shown_state& each, const job_spec& spec)
    {
        if (!each.found)
        {
            const bool accepted =
                std::ranges::any_of(history_.answers,
                                    [&each](const caller_answer& answer)
                                    {
                                        return answer.job == each.job && !answer.cancel &&
                                               answer.told == cell::verdict::done &&
                                               answer.at <= each.at;
                                    });
            if (accepted)
                report("LOST", each.job, "accepted, and shown as unknown");
            return;
        }
        if (each.state == job_state::done && finished_at(each.job, spec) > each.at)
            report("MIXED", each.job, "shown as done before all tasks were");
        if (each.state == job_state::failed && !may_fail(each.job, spec))
            report("LOST", each.job, "shown as failed without its failures");
        const bool cancelled = was_told(each.job, true, cell::verdict::done) ||
                               was_told(each.job, true, cell::verdict::unknown);
        if (each.state == job_state::cancelled && !cancelled)
            report("LOST", each.job, "shown as cancelled, and nobody cancelled it");
    }

    const cell_history& history_;
    std::vector<boot_time> disturbances_; ///< In order.
    std::vector<broken_rule> found_;
    std::map<task_ref, task_record> tasks_;
    std::map<worker_id, std::map<task_ref, resources>> held_;
    std::vector<placed_run> acknowledged_;
};

} // namespace

std::vector<broken_rule> check_cell(const cell_history& history)
{
    return checker(history).run();
}

} // namespace hawthornbeam::standins
