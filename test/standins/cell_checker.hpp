/// \file
/// Checks the rules of a cell over a recorded history of workers and callers.
#ifndef HAWTHORNBEAM_TEST_STANDINS_CELL_CHECKER_HPP
#define HAWTHORNBEAM_TEST_STANDINS_CELL_CHECKER_HPP

#include "hawthornbeam/cell/types.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornbeam::standins
{

/// An event of a run on a worker.
struct run_event
{
    enum class kind
    {
        started,
        ended,        ///< The run ended with `outcome`.
        lost,         ///< The worker crashed during the run.
        acknowledged, ///< An instance acknowledged the end to the worker.
        lapsed        ///< The worker's lease expired; `run` is not set.
    };

    boot_time at{};
    worker_id worker;
    cell::worker_incarnation incarnation;
    kind type = kind::started;
    cell::run_ref run;
    cell::run_end outcome = cell::run_end::done;
    std::string payload; ///< Payload of a start; empty for other events.
};

/// A caller's answer to a submission or a cancel.
struct caller_answer
{
    boot_time at{};
    cell::job_key job;
    bool cancel = false; ///< Whether the request was a cancel.
    cell::verdict outcome = cell::verdict::unknown;
};

/// A job state that a caller received as the answer to a query.
struct reported_state
{
    boot_time at{};
    cell::job_key job;
    bool found = true; ///< Whether the job was known.
    cell::job_state state = cell::job_state::queued;
};

/// A host's answer to the question how many jobs of a queue wait.
struct reported_count
{
    boot_time at{};
    cell::queue_name queue;
    std::uint64_t waiting = 0;
};

/// One incarnation of a worker, as described by its entry.
struct worker_record
{
    cell::worker_info info;
    boot_time draining_since = boot_time::max(); ///< When its entry was marked.
    /// Later changes of the capacity, in the order of their times.
    std::vector<std::pair<boot_time, resources>> capacity_changes = {};
    boot_time up_since = boot_time::min();
    boot_time up_until = boot_time::max(); ///< When its process ended.
    /// Spans in which each run that starts there fails.
    std::vector<std::pair<boot_time, boot_time>> faulty = {};
};

/// Recorded history of a cell, the input of the checker. Run events are in the order in
/// which they happened.
struct cell_history
{
    std::vector<run_event> run_events;
    std::vector<worker_record> workers;
    std::map<cell::queue_name, cell::queue_policy> queues;
    std::map<cell::job_key, cell::job_spec> submitted;
    /// Tasks that crash each worker that runs them, with the age of the run at the crash.
    std::map<cell::task_ref, duration> crashing_tasks;
    std::set<cell::task_ref> failing_tasks; ///< Tasks of which each run fails.
    std::vector<caller_answer> answers;
    std::vector<reported_state> reported_states;
    std::vector<reported_count> reported_counts;
    /// Times at which a failure was injected or ended. Rules with a time bound don't
    /// apply shortly after them.
    std::vector<boot_time> disturbances;
    /// Times at which a worker executed a command late. Time bounds that concern starts
    /// don't apply shortly after them.
    std::vector<boot_time> late_commands;
    /// Failures that last, from their start to their end.
    std::vector<std::pair<boot_time, boot_time>> failures;
    /// Workers that the advice service admits for each step of a queue with advice.
    std::map<std::pair<cell::job_key, std::uint32_t>, std::set<worker_id>> admitted;
    boot_time ended_at{}; ///< End of the recording.
};

/// A violation of a documented rule. `rule` is its name in the users' documentation.
struct broken_rule
{
    std::string rule;
    std::string text;
};

/// Returns all violations in \p history.
std::vector<broken_rule> check_cell(const cell_history& history);

} // namespace hawthornbeam::standins

#endif
