/// \file
/// State of jobs and tasks at the job owner.
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

/// Phase of a task at the job owner.
enum class slot_phase : std::uint8_t
{
    waiting,     ///< In the queue of its row at this instance.
    backing_off, ///< At this instance until its retry is due.
    dispatched,  ///< Waiting at a slice owner.
    placed,      ///< Running on a worker.
    orphaned,    ///< Its slice owner was lost; an inventory is pending.
    ended
};

/// One task of a job.
struct task_slot
{
    instance_id owner;          ///< The slice owner while dispatched, placed or orphaned.
    worker_id worker;           ///< Last worker reported for the attempt, or empty.
    boot_time since{};          ///< Start of the phase.
    wire::dispatch_id dispatch; ///< While dispatched: the start request.
    std::uint16_t attempt = 0;
    std::uint8_t failures = 0;
    std::uint8_t lost_workers = 0; ///< Workers that were lost while they ran the task.
    slot_phase phase = slot_phase::waiting;
    bool was_placed = false; ///< True once an attempt was started.
    /// False while a previous owner may have started attempts unknown to this instance.
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
    /// Ended tasks of a durable job whose results are not journaled yet.
    std::set<std::uint32_t> unrecorded;
    std::size_t writes_in_flight = 0;
    std::vector<status_callback> waiters; ///< Callers of a synchronous job.
    boot_time accepted{};
    boot_time start_by = boot_time::max();
    boot_time ended_at{};
    /// Lowest number for a new attempt; the attempts of previous owners have lower ones.
    std::uint16_t first_attempt = 0;
    std::uint32_t ended = 0;
    std::uint32_t placed = 0;
    bool durable = false;
    /// True once the acceptance of a durable job is journaled, which its dispatch
    /// requires.
    bool journaled = false;
    /// True if the job was recovered after a takeover, from the journal or the workers.
    bool restored = false;
    /// False if the job was recovered from a task of a lost job owner and its request is
    /// unknown.
    bool has_spec = true;
    bool cancelling = false;
    wire::job_verdict verdict = wire::job_verdict::accepted;
    std::string reason;
    std::int64_t retry_after_ms = 0;

    bool is_ended() const { return verdict != wire::job_verdict::accepted; }
};

/// Assigns a number to the next attempt of \p slot.
void begin_attempt(const job_state& job, task_slot& slot);
/// Returns the first attempt number for an owner with \p owner_epoch. The numbers of
/// different owners must not collide, because workers remember the ids of the tasks that
/// they have run.
std::uint16_t first_attempt_of(epoch owner_epoch);
/// Returns the status that is reported to callers.
wire::job_status status_of(const job_state& job);
/// Restores a job from the journal and marks its unfinished tasks as orphaned.
job_state restore(const journaled_job& journaled, partition_id partition,
                  epoch owner_epoch, boot_time now);
/// Returns the verdict of a job whose tasks have all ended.
wire::job_verdict final_verdict(const job_state& job);

} // namespace hawthornbeam

#endif
