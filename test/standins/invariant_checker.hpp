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

/// A task began or ended on a worker. The events of one worker are in the order in which
/// they happened.
struct worker_event
{
    double at_seconds = 0;
    std::string worker;
    std::string event; ///< "start" or "end".
    task_id task;
    resources size;
};

/// What a caller asked for and the last answer that it received.
struct caller_record
{
    job_id job;
    bool idempotent = false;
    std::uint32_t tasks = 1;
    std::string payload;
    std::optional<wire::job_verdict> verdict; ///< Absent: the answer names none.
    bool answered = false;                    ///< Some whole answer arrived.
    std::vector<wire::task_result> results;
};

/// When the host list first showed a worker as leaving.
struct leaving_record
{
    std::string worker;
    double shown_at_seconds = 0;
};

/// The version that an instance had in force when it was asked.
struct table_record
{
    double at_seconds = 0;
    std::string instance;
    std::uint64_t version = 0;
};

/// When an edit of the table was confirmed to an operator.
struct table_acceptance
{
    double at_seconds = 0;
    std::uint64_t version = 0;
};

/// All that the checker looks at. All times are on one clock.
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

/// Every violation found in \p history, in the order of the invariants.
std::vector<violation> check_invariants(const recorded_history& history);

} // namespace hawthornbeam::standins

#endif
