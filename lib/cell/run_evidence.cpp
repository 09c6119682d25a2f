/// \file
/// Decides what an observation of a worker proves about a run there.
#include "run_evidence.hpp"

namespace hawthornbeam::cell
{

namespace
{

/// Returns whether the poll would list the run, or its end, if the worker had it: the
/// poll was sent after the last answer about the run, and no ends are missing.
bool would_list(const run_record& run, const run_evidence& poll)
{
    return run.position != event_position() && run.position <= poll.sent_position &&
           poll.ends_complete;
}

run_fate judge_unlisted(const run_record& run, const run_evidence& evidence)
{
    const bool is_absent = would_list(run, evidence);
    switch (run.phase)
    {
    case run_phase::running:
        return is_absent ? run_fate::lost : run_fate::open;
    case run_phase::stopping:
        // After an answered stop, the run can no longer start on this worker.
        return run.stop_answered && is_absent ? run_fate::lost : run_fate::open;
    case run_phase::starting:
        break;
    }
    if (run.answered ? is_absent : evidence.answer_overdue)
        return run_fate::uncertain;
    return run_fate::open;
}

/// Judges a run that the first poll of a later incarnation does not list.
run_fate judge_restarted(const run_record& run, const run_evidence& evidence)
{
    // The later incarnation may have accepted the start before its first poll.
    if (run.answered)
        return would_list(run, evidence) ? run_fate::lost : run_fate::open;
    // A start is executed once, and the former incarnation has executed this one.
    if (run.listed)
        return run_fate::lost;
    return run_fate::uncertain;
}

} // namespace

run_fate judge_run(const run_record& run, const run_evidence& evidence)
{
    switch (evidence.kind)
    {
    case evidence_kind::refused:
        // A network that resets connections looks the same as an ended process.
        return run_fate::open;
    case evidence_kind::other_worker:
        // Commands name the worker that they are for, so no other one executes them. An
        // answer newer than the poll came from a process that had the address afterwards.
        return run.answered && evidence.sent_position < run.position ? run_fate::open
                                                                     : run_fate::lost;
    case evidence_kind::other_incarnation:
        return judge_restarted(run, evidence);
    case evidence_kind::unlisted:
        return judge_unlisted(run, evidence);
    case evidence_kind::lease_expired:
        // A run that was not listed may have begun in a later incarnation.
        return run.listed || evidence.later_leases_expired ? run_fate::lost
                                                           : run_fate::open;
    }
    return run_fate::open;
}

run_fate judge_start_answer(command_outcome outcome)
{
    switch (outcome)
    {
    case command_outcome::accepted:
    case command_outcome::unanswered:
        return run_fate::open;
    case command_outcome::superseded:
        // A run with this number has ended there. It may be this one, if the start was
        // delivered twice.
        return run_fate::uncertain;
    case command_outcome::fenced:
    case command_outcome::late:
    case command_outcome::no_room:
    case command_outcome::no_ticket:
    case command_outcome::invalid:
    case command_outcome::unhealthy:
    case command_outcome::other_worker:
    case command_outcome::not_sent:
    case command_outcome::no_listener:
        return run_fate::lost;
    }
    return run_fate::open;
}

} // namespace hawthornbeam::cell
