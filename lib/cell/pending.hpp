/// \file
/// Reasons for which a ready task does not start.
#ifndef HAWTHORNBEAM_LIB_CELL_PENDING_HPP
#define HAWTHORNBEAM_LIB_CELL_PENDING_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace hawthornbeam::cell
{

/// What keeps a worker from running a task of a step now.
enum class worker_barrier : std::uint8_t
{
    none,
    unsuitable,   ///< Another service, no such label, or smaller than the task.
    away,         ///< Not in contact, leaving, or not yet allowed to run tasks.
    quarantined,  ///< Left out after failures.
    not_admitted, ///< The advice service has not issued a ticket for it.
    full,         ///< Its free capacity is too small.
    held,         ///< Its free capacity is held for a gang.
    observed,     ///< Runs a suspect task alone.
    not_asked,    ///< No advice about it was requested yet.
    expired,      ///< Its ticket has expired.
    spread,       ///< Runs as many tasks of the step as one worker may.
    busy          ///< As many starts are under way there as are answered in time.
};
inline constexpr std::size_t worker_barriers = 12;

/// Why a ready step has tasks without a run.
enum class pending_reason : std::uint8_t
{
    queue_unknown,       ///< The owner does not know the queue of the job.
    cancels_not_read,    ///< A new owner has not read all cancels yet.
    worker_list_old,     ///< Workers may be draining that this owner does not know of.
    former_runs,         ///< A former owner may have started the tasks.
    gang_restarts,       ///< The gang has lost a member; its other runs are ending.
    step_limit,          ///< More steps wait than one decision considers.
    no_suitable_worker,  ///< No worker could ever run a task.
    workers_away,        ///< At least half of the suitable workers are away.
    workers_quarantined, ///< At least half of them are quarantined.
    advice_limit,        ///< Other steps of the queue request advice first.
    advice_requested,    ///< The advice service has not answered yet.
    not_admitted,        ///< The advice service admits none of the workers.
    tickets_expired,     ///< The tickets of the workers with room have expired.
    no_room,             ///< The workers that may run the task are full.
    room_held,           ///< Their room is held for gangs.
    workers_observed,    ///< They run suspect tasks.
    task_spread,         ///< They run as many tasks of the step as they may.
    starts_bounded,      ///< As many starts are under way as are answered in time.
    not_placed           ///< None of these: there is room for the task.
};
inline constexpr std::size_t pending_reasons = 19;

/// Returns the lower-case name.
const char* to_string(pending_reason reason);

/// Suitable workers of a step by what keeps each from running a task.
struct barrier_counts
{
    std::array<std::uint64_t, worker_barriers> workers{};
    std::uint64_t places = 0; ///< Tasks that fit on the workers without a barrier.

    std::uint64_t operator[](worker_barrier barrier) const
    {
        return workers[static_cast<std::size_t>(barrier)];
    }
};

/// What a step needs in order to start, for the choice of its pending reason.
struct pending_step
{
    std::uint64_t places_needed = 1;
    bool has_open_request = false;  ///< A request for advice was not answered yet.
    bool over_advice_limit = false; ///< It may not request advice now.
};

/// Returns the reason that explains most of \p counts.
pending_reason explain(const barrier_counts& counts, const pending_step& step);

} // namespace hawthornbeam::cell

#endif
