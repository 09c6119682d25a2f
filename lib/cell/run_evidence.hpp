/// \file
/// Decides what an observation of a worker proves about a run there. Every path that
/// gives up a run asks judge_run(). Performs no I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_RUN_EVIDENCE_HPP
#define HAWTHORNBEAM_LIB_CELL_RUN_EVIDENCE_HPP

#include "hawthornbeam/cell/types.hpp"

namespace hawthornbeam::cell
{

/// Phase of a run on a worker.
enum class run_phase : std::uint8_t
{
    starting, ///< Start sent; its answer or a poll shows the result.
    running,  ///< Start accepted, or run listed in a poll.
    stopping  ///< Stop sent; keeps its capacity until the end is listed.
};

/// What the owner knows of a run on a worker.
struct run_record
{
    run_number run;
    run_phase phase = run_phase::starting;
    resources size;
    boot_time command_sent_at{}; ///< When the latest start or stop was sent.
    /// When its start and its latest stop were sent, until the call has ended; then zero.
    boot_time start_ordered_at{};
    boot_time stop_ordered_at{};
    bool stop_waits = false;   ///< Its stop waits for a place among those under way.
    bool started_here = false; ///< Started by this owner, at command_sent_at.
    bool stop_answered = false;
    bool answered = false;
    bool listed = false; ///< A poll of the worker's present incarnation has listed it.
    event_position position; ///< Polls sent after it list the run if it exists.
    std::uint32_t percent = 0;
    boot_time progressed_at{}; ///< When first listed, or when percent last changed.
    /// The worker takes no other starts until then, because the task is suspect.
    boot_time observed_until{};
};

/// Kind of an observation of a worker that does not show a given run.
enum class evidence_kind : std::uint8_t
{
    refused,           ///< The connection was refused or reset, or nothing answered.
    other_worker,      ///< Another worker answers at the worker's address.
    other_incarnation, ///< The first poll of a later incarnation.
    unlisted,          ///< A poll of the incarnation that should have the run.
    /// The longest lease that the incarnation which answered last can have has expired.
    lease_expired
};

struct run_evidence
{
    evidence_kind kind = evidence_kind::refused;
    event_position sent_position; ///< Position at which the poll was sent, if any.
    /// Whether the poll lists all ends; if not, it may lack that of the run.
    bool ends_complete = true;
    /// A start without an answer has been sent long enough ago to be stopped.
    bool answer_overdue = false;
    /// The longest lease that a later incarnation can have has expired as well.
    bool later_leases_expired = false;
};

/// What has become of a run.
enum class run_fate : std::uint8_t
{
    open, ///< It may run, or a later poll may list its end. The task must not restart.
    uncertain, ///< Its start may still be executed, so it has to be stopped first.
    lost       ///< It does not run and no poll will list its end.
};

/// Returns what \p evidence, which does not show the run, proves about it.
run_fate judge_run(const run_record& run, const run_evidence& evidence);

/// Returns what an answer other than `accepted` to the start of a run proves about it.
run_fate judge_start_answer(command_outcome outcome);

} // namespace hawthornbeam::cell

#endif
