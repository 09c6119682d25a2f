#include "test/standins/invariant_checker.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace hawthornbeam::standins
{

namespace
{

/// Time limits of invariants 6 and 8 in docs/design.md, section 1.
constexpr double max_leaving_delay_s = 3;
constexpr double max_table_delay_s = 6;

/// Identifies a task of a job independently of the attempt.
using task_key = std::pair<job_id, std::uint32_t>;

task_key key_of(const task_id& task)
{
    return task_key(task.job, task.index);
}

/// Runs all checks and collects the violations.
class checker
{
public:
    explicit checker(const recorded_history& history) : history_(history)
    {
        for (const worker_event& event : history.events)
            ordered_.push_back(&event);
        std::stable_sort(ordered_.begin(), ordered_.end(),
                         [](const worker_event* a, const worker_event* b)
                         { return a->at_seconds < b->at_seconds; });
    }

    std::vector<violation> run()
    {
        check_capacity();
        check_single_place();
        for (const caller_record& caller : history_.callers)
            check_answer(caller);
        check_not_run();
        check_at_most_once();
        check_leaving();
        check_planned_stops();
        check_table_in_force();
        check_table_order();
        return std::move(found_);
    }

private:
    void report(int invariant, std::string text)
    {
        found_.push_back(violation{invariant, std::move(text)});
    }

    void check_capacity()
    {
        std::map<std::string, resources> used;
        std::set<std::pair<std::string, task_id>> running;
        for (const worker_event* event : ordered_)
        {
            const std::pair<std::string, task_id> place(event->worker, event->task);
            resources& sum = used[event->worker];
            if (event->event == "end")
            {
                if (running.erase(place) > 0)
                    sum -= event->size;
                continue;
            }
            if (running.insert(place).second)
                sum += event->size;
            const auto capacity = history_.capacities.find(event->worker);
            if (capacity == history_.capacities.end())
                report(1, event->worker + " has no known capacity");
            else if (!sum.fits_in(capacity->second))
                report(1,
                       fmt::format("{} holds more than its capacity at {:.3f} s, "
                                   "after the start of {}",
                                   event->worker, event->at_seconds, event->task.text()));
        }
    }

    void check_single_place()
    {
        std::map<task_key, std::set<std::pair<std::string, task_id>>> places;
        for (const worker_event* event : ordered_)
        {
            std::set<std::pair<std::string, task_id>>& running =
                places[key_of(event->task)];
            const std::pair<std::string, task_id> place(event->worker, event->task);
            if (event->event == "end")
            {
                running.erase(place);
                continue;
            }
            if (!running.empty())
                report(2, fmt::format("{} starts on {} at {:.3f} s while {} runs on {}",
                                      event->task.text(), event->worker,
                                      event->at_seconds, running.begin()->second.text(),
                                      running.begin()->first));
            running.insert(place);
        }
    }

    void check_answer(const caller_record& caller)
    {
        if (!caller.answered || caller.verdict != wire::job_verdict::done)
            return;
        std::vector<std::uint32_t> seen(caller.tasks, 0);
        for (const wire::task_result& task : caller.results)
        {
            if (task.index >= caller.tasks)
                report(3, fmt::format("job {}: result of an unknown task {}",
                                      caller.job.text(), task.index));
            else
                ++seen[task.index];
            const bool ended_by_itself =
                task.known &&
                (task.state == task_state::finished || task.state == task_state::failed);
            if (ended_by_itself && task.output != caller.payload)
                report(3, fmt::format("job {}: task {} has {} bytes of output that are "
                                      "not those of the request ({} bytes)",
                                      caller.job.text(), task.index, task.output.size(),
                                      caller.payload.size()));
        }
        for (std::uint32_t i = 0; i < caller.tasks; ++i)
            if (seen[i] != 1)
                report(3, fmt::format("job {}: {} results of task {}", caller.job.text(),
                                      seen[i], i));
    }

    void check_not_run()
    {
        std::set<job_id> started;
        for (const worker_event& event : history_.events)
            if (event.event == "start")
                started.insert(event.task.job);
        for (const caller_record& caller : history_.callers)
            if (caller.answered && caller.verdict == wire::job_verdict::not_run &&
                started.contains(caller.job))
                report(4, fmt::format("job {} was answered as not run and has run",
                                      caller.job.text()));
    }

    void check_at_most_once()
    {
        std::map<job_id, bool> idempotent;
        for (const caller_record& caller : history_.callers)
            idempotent[caller.job] = caller.idempotent;
        std::map<task_key, unsigned> starts;
        for (const worker_event& event : history_.events)
        {
            const auto known = idempotent.find(event.task.job);
            if (event.event != "start" || known == idempotent.end() || known->second)
                continue;
            if (++starts[key_of(event.task)] == 2)
                report(5, fmt::format("non-idempotent task {} of job {} ran again on {} "
                                      "at {:.3f} s",
                                      event.task.index, event.task.job.text(),
                                      event.worker, event.at_seconds));
        }
    }

    void check_leaving()
    {
        std::map<std::string, double> shown;
        for (const leaving_record& one : history_.leaving)
            shown[one.worker] = one.shown_at_seconds;
        for (const worker_event& event : history_.events)
        {
            const auto leaving = shown.find(event.worker);
            if (event.event != "start" || leaving == shown.end() ||
                event.at_seconds <= leaving->second + max_leaving_delay_s)
                continue;
            report(6, fmt::format("{} received {} {:.3f} s after it was shown as leaving",
                                  event.worker, event.task.text(),
                                  event.at_seconds - leaving->second));
        }
    }

    void check_planned_stops()
    {
        std::set<job_id> answered;
        for (const caller_record& caller : history_.callers)
            if (caller.answered)
                answered.insert(caller.job);
        for (const job_id& job : history_.open_at_planned_stop)
            if (!answered.contains(job))
                report(7, fmt::format("job {} was open at a planned stop and got no "
                                      "answer",
                                      job.text()));
    }

    void check_table_in_force()
    {
        for (const table_acceptance& accepted : history_.acceptances)
            for (const table_record& seen : history_.tables)
                if (seen.at_seconds > accepted.at_seconds + max_table_delay_s &&
                    seen.version < accepted.version)
                    report(8, fmt::format("{} has version {} {:.3f} s after version {} "
                                          "was accepted",
                                          seen.instance, seen.version,
                                          seen.at_seconds - accepted.at_seconds,
                                          accepted.version));
    }

    void check_table_order()
    {
        std::vector<table_record> seen = history_.tables;
        std::stable_sort(seen.begin(), seen.end(),
                         [](const table_record& a, const table_record& b)
                         { return a.at_seconds < b.at_seconds; });
        std::map<std::string, std::uint64_t> newest;
        for (const table_record& one : seen)
        {
            std::uint64_t& version = newest[one.instance];
            if (one.version < version)
                report(8,
                       fmt::format("{} went back from version {} to {} at {:.3f} s",
                                   one.instance, version, one.version, one.at_seconds));
            version = std::max(version, one.version);
        }
    }

    const recorded_history& history_;
    std::vector<const worker_event*> ordered_;
    std::vector<violation> found_;
};

} // namespace

std::vector<violation> check_invariants(const recorded_history& history)
{
    return checker(history).run();
}

} // namespace hawthornbeam::standins
