/// \file
/// Jobs and tasks as their owner keeps them.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_JOB_STATE_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_JOB_STATE_HPP

#include "hawthornbeam/journal/journal.hpp"
#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/wire/messages.hpp"

#include <functional>
#include <set>
#include <vector>

namespace hawthornbeam
{

/// Where a task is.
enum class slot_phase : std::uint8_t
{
    waiting,     ///< Here, in the queue of its row.
    backing_off, ///< Here, until its retry is due.
    dispatched,  ///< Waits at a slice owner.
    placed,      ///< Runs on a worker.
    orphaned,    ///< Its slice owner is gone; an inventory will tell.
    ended
};

/// One task of a job.
struct task_slot
{
    instance_id owner;          ///< The slice owner while dispatched, placed or orphaned.
    worker_id worker;           ///< Where the attempt was last seen; empty when nowhere.
    boot_time since{};          ///< When the phase began.
    wire::dispatch_id dispatch; ///< While dispatched: the request that carries it.
    std::uint16_t attempt = 0;
    std::uint8_t failures = 0;
    slot_phase phase = slot_phase::waiting;
    bool was_placed = false; ///< Some attempt has been started.
    /// False while a former owner may have started attempts that are not known here.
    bool attempt_known = true;
};

using status_callback = std::function<void(const wire::job_status&)>;

/// A job with all its tasks.
struct job_state
{
    wire::job_spec spec;
    partition_id partition;
    std::vector<task_slot> slots;
    std::vector<wire::task_result> results;
    /// Ended tasks of a durable job whose results are not in the journal yet.
    std::set<std::uint32_t> unrecorded;
    std::size_t writes_in_flight = 0;
    std::vector<status_callback> waiters; ///< Callers of a synchronous job.
    boot_time accepted{};
    boot_time start_by = boot_time::max();
    boot_time ended_at{};
    /// Least number of a new attempt; those of former owners are lower.
    std::uint16_t first_attempt = 0;
    std::uint32_t ended = 0;
    std::uint32_t placed = 0;
    bool durable = false;
    /// A durable job is dispatched only once its acceptance is in the journal.
    bool journaled = false;
    /// Taken over from a former owner, from the journal or from the workers.
    bool restored = false;
    /// False while only the task of a lost job owner is known, not the request.
    bool has_spec = true;
    bool cancelling = false;
    wire::job_verdict verdict = wire::job_verdict::accepted;
    std::string reason;
    std::int64_t retry_after_ms = 0;

    bool is_ended() const { return verdict != wire::job_verdict::accepted; }
};

/// Numbers the slot's next attempt.
void begin_attempt(const job_state& job, task_slot& slot);
/// Attempts of an owner with \p owner_epoch begin here. Attempts of different owners must
/// not collide, since workers remember the ids of tasks that they have run.
std::uint16_t first_attempt_of(epoch owner_epoch);
/// The status callers see.
wire::job_status status_of(const job_state& job);
/// A job of the journal with its unfinished tasks orphaned.
job_state restore(const journaled_job& journaled, partition_id partition,
                  epoch owner_epoch, boot_time now);
/// The verdict of a job whose tasks have all ended.
wire::job_verdict final_verdict(const job_state& job);

} // namespace hawthornbeam

#endif
