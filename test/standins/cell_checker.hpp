/// \file
/// Checks the rules of a cell over a recorded history of workers and callers.
#ifndef HAWTHORNBEAM_TEST_STANDINS_CELL_CHECKER_HPP
#define HAWTHORNBEAM_TEST_STANDINS_CELL_CHECKER_HPP

#include "hawthornbeam/cell/types.hpp"

#include <map>
#include <string>
#include <vector>

namespace hawthornbeam::standins
{

/// What happened to a run on a worker.
struct run_event
{
    enum class kind
    {
        started,
        ended,       ///< `outcome` says in which way.
        lost,        ///< The worker ended with it.
        acknowledged ///< The end was taken note of at the worker.
    };

    boot_time at{};
    worker_id worker;
    cell::worker_incarnation incarnation;
    kind what = kind::started;
    cell::run_ref run;
    cell::run_end outcome = cell::run_end::done;
    std::string payload; ///< Of a start.
};

/// What a caller was told about a submission or a cancel.
struct caller_answer
{
    boot_time at{};
    cell::job_key job;
    bool cancel = false;
    cell::verdict told = cell::verdict::unknown;
};

/// What a caller was told about the state of a job.
struct shown_state
{
    boot_time at{};
    cell::job_key job;
    bool found = true;
    cell::job_state state = cell::job_state::queued;
};

/// A life of a worker as its entry describes it.
struct worker_record
{
    cell::worker_info info;
    boot_time draining_since = boot_time::max(); ///< When its entry said so.
};

/// All that the checker looks at. The events are in the order in which they happened.
struct cell_history
{
    std::vector<run_event> runs;
    std::vector<worker_record> workers;
    std::map<cell::queue_name, cell::queue_policy> queues;
    std::map<cell::job_key, cell::job_spec> submitted;
    std::vector<caller_answer> answers;
    std::vector<shown_state> shown;
    /// When a failure was injected or ended; rules with a bound in time hold only without
    /// one shortly before.
    std::vector<boot_time> disturbances;
    /// When a worker carried out an order late. Bounds in time that concern starts do not
    /// hold shortly after it.
    std::vector<boot_time> late_commands;
    boot_time ended_at{}; ///< When callers asked for the last time.
};

/// A broken rule of the users' pages, by its name there.
struct broken_rule
{
    std::string rule;
    std::string text;
};

/// Every broken rule that \p history shows.
std::vector<broken_rule> check_cell(const cell_history& history);

} // namespace hawthornbeam::standins

#endif
