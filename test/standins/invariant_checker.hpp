/// \file
/// Checks the invariants of docs/design.md section 1 over a recorded history.
#ifndef HAWTHORNBEAM_TEST_STANDINS_INVARIANT_CHECKER_HPP
#define HAWTHORNBEAM_TEST_STANDINS_INVARIANT_CHECKER_HPP

#include "hawthornbeam/wire/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornbeam::standins
{

/// Start or end of a task on a worker. The events of one worker are in the order in which
/// they occurred.
struct worker_event
{
    double at_seconds = 0;
    std::string worker;
    std::string event; ///< "start" or "end".
    task_id task;
    resources size;
};

/// A caller's request and the last response that it received.
struct caller_record
{
    job_id job;
    bool idempotent = false;
    std::uint32_t tasks = 1;
    std::string payload;
    std::optional<wire::job_verdict> verdict; ///< Empty if the response has no verdict.
    bool answered = false;                    ///< A complete response arrived.
    std::vector<wire::task_result> results;
};

/// Time at which the host list first showed a worker as leaving.
struct leaving_record
{
    std::string worker;
    double shown_at_seconds = 0;
};

/// Table version that an instance reported as in force at a given time.
struct table_record
{
    double at_seconds = 0;
    std::string instance;
    std::uint64_t version = 0;
};

/// Time at which a table edit was confirmed to the operator.
struct table_acceptance
{
    double at_seconds = 0;
    std::uint64_t version = 0;
};

/// Input of the checker. All times are on one clock.
struct recorded_history
{
    std::vector<worker_event> events;
    std::map<std::string, resources> capacities; ///< By worker.
    std::vector<caller_record> callers;
    std::vector<leaving_record> leaving;
    std::vector<table_record> tables;
    std::vector<table_acceptance> acceptances;
    std::vector<job_id> open_at_planned_stop;
};

/// A broken invariant.
struct violation
{
    int invariant = 0; ///< Number in docs/design.md section 1.
    std::string text;
};

/// Returns all violations in \p history, ordered by invariant.
std::vector<violation> check_invariants(const recorded_history& history);

} // namespace hawthornbeam::standins

#endif
