/// \file
/// Decides what an observation of a worker proves about a run there.
#include "run_evidence.hpp"

namespace hawthornbeam::cell
{

namespace
{

/// Returns whether the poll was sent after the last answer about the run, so that it
/// reflects that answer.
bool reflects_last_answer(const run_record& run, event_position sent_position)
{
    return run.position != event_position() && run.position <= sent_position;
}

run_fate judge_unlisted(const run_record& run, const run_evidence& evidence)
{
    const bool is_newer = reflects_last_answer(run, evidence.sent_position);
    switch (run.phase)
    {
    case run_phase::running:
        return is_newer ? run_fate::lost : run_fate::open;
    case run_phase::stopping:
        // After an answered stop, the run can no longer start on this worker.
        return run.stop_answered && is_newer ? run_fate::lost : run_fate::open;
    case run_phase::starting:
        break;
    }
    if (run.answered ? is_newer : evidence.answer_overdue)
        return run_fate::uncertain;
    return run_fate::open;
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
        // Commands name the worker that they are for, so no other one executes them.
        return run_fate::lost;
    case evidence_kind::other_incarnation:
        return run.answered || run.phase == run_phase::running ? run_fate::lost
                                                               : run_fate::uncertain;
    case evidence_kind::unlisted:
        return judge_unlisted(run, evidence);
    case evidence_kind::lease_expired:
        return run_fate::lost;
    }
    return run_fate::open;
}

} // namespace hawthornbeam::cell
