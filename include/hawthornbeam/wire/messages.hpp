/// \file
/// Messages between instances.
#ifndef HAWTHORNBEAM_WIRE_MESSAGES_HPP
#define HAWTHORNBEAM_WIRE_MESSAGES_HPP

#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/platform/worker_gateway.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/units.hpp"
#include "hawthornbeam/table/table.hpp"

#include <string>
#include <variant>
#include <vector>

namespace hawthornbeam::wire
{

/// Version of the inner protocol; instances refuse other versions in the handshake.
inline constexpr std::uint32_t protocol_version = 1;

/// A job as a caller submitted it.
struct job_spec
{
    job_id id;
    request_id request;
    row_id row;
    std::uint32_t tasks = 1;
    resources size; ///< Declared size of each task.
    bool idempotent = false;
    bool synchronous = false;     ///< The caller waits for the result; not journaled.
    std::int64_t run_time_ms = 0; ///< Declared; zero when unknown.
    /// Time the caller waits from submission, in ms; zero means no deadline.
    std::int64_t deadline_ms = 0;
    bool spread_domains = false; ///< Spread tasks over failure domains.
    std::string payload;
};

enum class job_verdict : std::uint8_t
{
    accepted, ///< Queued; a durable job is journaled.
    done,     ///< All tasks ended; outputs are whole.
    not_run,  ///< Refused or cancelled before any task ran.
    unknown,  ///< It cannot be known whether it ran.
    cancelled ///< Ended by a cancellation after some task had run.
};

/// Lower-case name of \p verdict.
const char* to_string(job_verdict verdict);

/// Result of one task of a job.
struct task_result
{
    std::uint32_t index = 0;
    task_state state = task_state::finished;
    bool known = true; ///< False when the outcome cannot be known.
    std::string output;
};

/// State of a job as its owner knows it.
struct job_status
{
    job_id id;
    request_id request;
    row_id row;
    job_verdict verdict = job_verdict::accepted;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
    std::uint32_t ended = 0;
    std::string reason; ///< Why it was refused, or what a waiting task waits for.
    std::int64_t retry_after_ms = 0; ///< When to submit again; zero when pointless.
    std::vector<task_result> results;
};

struct submit_request
{
    job_spec job;
};
struct submit_reply
{
    job_status status;
};
struct job_query
{
    job_id id;
    bool explain = false; ///< Fill in what a waiting job waits for.
};
struct job_reply
{
    bool found = false;
    job_status status;
};
struct job_list_request
{
    partner_id partner; ///< Empty selects all partners.
    row_id row;         ///< Empty selects all rows.
    std::uint32_t most = 100;
};
struct job_list_reply
{
    std::vector<job_status> jobs;
};
/// Cancels one job, or all jobs of a row when the id is zero.
struct cancel_request
{
    job_id id;
    row_id row;
    partner_id partner;
};
struct cancel_reply
{
    bool found = false;
    std::uint32_t jobs = 0;
    std::uint32_t tasks = 0;
};
/// Asks a slice owner to start tasks; answered when they are queued there.
struct start_request
{
    partition_id partition;
    epoch owner_epoch;
    /// Rises with each start request of a partition; see inventory_request.
    std::uint64_t sequence = 0;
    instance_id job_owner;
    row_id row;
    bool all_at_once = false;
    bool spread_domains = false;
    std::int64_t deadline_ms =
        0; ///< Remaining time until the start is pointless; 0: none.
    std::vector<task_start> tasks;
};
struct start_reply
{
    bool queued = false; ///< False: none of the tasks was or will be started.
    std::string reason;
    epoch known_epoch; ///< The highest epoch the slice owner knows for the partition.
};
/// The start request that brought a task to a slice owner. A refusal counts only for the
/// request that it answers.
struct dispatch_id
{
    epoch owner_epoch;
    std::uint64_t sequence = 0;

    friend bool operator==(const dispatch_id&, const dispatch_id&) = default;
};
/// What became of a task; sent by the slice owner to the job owner.
enum class task_event : std::uint8_t
{
    placed,  ///< Runs on the named worker.
    not_run, ///< Will not be started by this slice owner; was not run.
    ended,   ///< Ended; state and output are present.
    unknown  ///< Its worker is lost; it may have run.
};
struct task_update
{
    task_id id;
    row_id row;
    task_event event = task_event::placed;
    worker_id worker;
    task_state state = task_state::running;
    std::string output;
    /// With not_run: of which request, why, and when another try may succeed.
    dispatch_id dispatch;
    error_code code = error_code::unavailable;
    std::string reason;
    std::int64_t retry_after_ms = 0;
};
/// Reports updates; the answer says which the job owner has recorded.
struct update_request
{
    std::vector<task_update> updates;
};
struct update_reply
{
    std::vector<task_id> recorded;
};
struct stop_request
{
    std::vector<task_id> tasks;
    bool stop_running = true; ///< False: only tasks that wait are taken back.
};
struct stop_reply
{
    std::vector<task_id> not_started; ///< Removed from the queue; were not run.
    std::vector<task_id> not_known;   ///< Not at this slice owner.
};
/// Asks a slice owner for all tasks of a partition, and fences lower epochs there.
struct inventory_request
{
    partition_id partition;
    epoch owner_epoch;
    /// Start requests of this epoch up to this sequence number that arrive later are
    /// refused, so that what the inventory does not show is not started afterwards.
    std::uint64_t fenced_sequence = 0;
    instance_id job_owner;
};
/// A task that waits at a slice owner.
struct queued_task
{
    task_id id;
    row_id row;
    dispatch_id dispatch;
};
struct inventory_reply
{
    bool accepted = false; ///< False when a higher epoch is known.
    epoch known_epoch;
    /// Slices whose workers have all been listed; the inventory covers only these.
    std::vector<slice_id> complete_slices;
    std::vector<task_update> tasks;
    std::vector<queued_task> queued;
};
struct epochs_request
{
};
/// What a slice owner knows of the start requests of a partition.
struct partition_fence
{
    partition_id partition;
    epoch known;                ///< Requests of lower epochs are refused.
    std::uint64_t sequence = 0; ///< Requests of `known` up to it are refused.
};
struct epochs_reply
{
    std::vector<partition_fence> fences;
};
struct table_fetch
{
    table_version known;
};
struct table_reply
{
    table_version version;
    std::string json; ///< Empty when the peer has nothing newer.
};
struct status_request
{
    bool with_metrics = false;
    bool with_workers = false;
};
/// A worker as its slice owner sees it.
struct worker_status
{
    worker_id id;
    failure_domain_id failure_domain;
    rack_id rack;
    resources capacity;
    bool leaving = false;
    bool drained = false;
    bool lease_held = false;
    resources free;
    std::uint32_t tasks = 0;
    std::string unschedulable_reason;
};
/// Load of one row at a slice owner.
struct row_load
{
    row_id row;
    resources running;
    std::uint32_t tasks_running = 0;
    std::uint32_t tasks_waiting = 0;
};
struct status_reply
{
    instance_id id;
    failure_domain_id failure_domain;
    table_version table;
    bool leaving = false;
    bool kv_reachable = false;
    std::vector<slice_id> slices;
    std::vector<partition_id> partitions;
    resources capacity;
    resources free;
    std::vector<row_load> rows;
    std::string metrics;                ///< Metrics snapshot, when asked for.
    std::vector<worker_status> workers; ///< When asked for.
};
/// Stops or resumes new tasks on a worker.
struct drain_request
{
    worker_id worker;
    bool drained = true;
};
struct drain_reply
{
    bool owned = false; ///< False: the receiver does not own the worker.
};
/// Why a task waits at a slice owner.
struct explain_request
{
    task_id task;
};
struct explain_reply
{
    std::string reason; ///< Empty when the task does not wait there.
};
/// A job that a receiver stored and reports to the owner of its cell.
struct accepted_job
{
    cell::job_spec job;
    /// The job was stored after the addressed owner's claim and sent to no earlier owner,
    /// so that no other owner can have started it.
    bool is_new = false;
};
/// Reports news of the sender's agent and receiver to the owner of a cell; also serves as
/// heartbeat.
struct cell_report
{
    cell::fence_token token; ///< Highest owner token that the sender's agent knows.
    cell::endpoint address;  ///< Where the sender receives commands.
    std::uint32_t share = 0; ///< Processor share of the sender's host, in thousandths.
    bool leaving = false;
    /// Time since the store last answered the sender.
    std::uint32_t store_unanswered_ms = 0;
    cell::agent_report report;
    std::vector<accepted_job> accepted;
    std::vector<cell::job_key> cancelled;
};
struct cell_report_reply
{
    bool is_owner = false; ///< If false, the report was not processed.
    instance_id instance;  ///< The instance that replies.
    /// Owner known to the replying instance; token 0 if none.
    cell::owner_identity owner;
};
/// A job and its state.
struct cell_job_state
{
    cell::job_key job;
    cell::job_state state = cell::job_state::queued;
};
/// Commands of the owner to an agent, with job states and queue lengths for the receiver
/// beside it.
struct cell_commands
{
    cell::fence_token token;
    cell::endpoint owner;
    cell::agent_commands commands;
    std::vector<cell_job_state> ended; ///< Jobs whose final state was stored.
    std::vector<cell::queue_depth> depths;
    bool leaving = false;  ///< The owner is handing the cell over.
    bool resigned = false; ///< The owner resigned; any instance may claim the cell.
    std::vector<cell::endpoint> peers; ///< Some instances that the store serves.
    /// Processor share, in thousandths, of the largest host that could own the cell; 0 if
    /// not known.
    std::uint32_t largest_processor_share = 0;
};
struct cell_commands_reply
{
    cell::fence_token known; ///< The highest token that the agent has received.
};
/// Asks the owner of a cell for states of jobs.
struct cell_query
{
    std::vector<cell::job_key> jobs;
};
struct cell_query_reply
{
    bool is_owner = false; ///< If false, the replying instance does not know the states.
    std::vector<cell_job_state> found;
    /// Owner known to the replying instance; token 0 if none.
    cell::owner_identity owner;
};
/// Asks another instance to store a job or a cancel that the sender could not store.
struct cell_relay
{
    cell::relayed_change change;
};
struct cell_relay_reply
{
    cell::verdict outcome = cell::verdict::unknown;
};
/// Fallback answer when a request cannot be served.
struct failure_reply
{
    error_code code = error_code::internal;
    std::string message;
};

/// All requests; the index in the variant is the message type on the wire, so new
/// types go at the end.
using request =
    std::variant<submit_request, job_query, job_list_request, cancel_request,
                 start_request, update_request, stop_request, inventory_request,
                 epochs_request, table_fetch, status_request, drain_request,
                 explain_request, cell_report, cell_commands, cell_query, cell_relay>;
/// All replies; same rule.
using reply =
    std::variant<failure_reply, submit_reply, job_reply, job_list_reply, cancel_reply,
                 start_reply, update_reply, stop_reply, inventory_reply, epochs_reply,
                 table_reply, status_reply, drain_reply, explain_reply, cell_report_reply,
                 cell_commands_reply, cell_query_reply, cell_relay_reply>;

/// Serializes to portable binary.
std::string encode(const request& message);
std::string encode(const reply& message);
/// Fails with invalid_input when \p bytes is truncated, has bytes left over or names an
/// unknown message.
result<request> decode_request(std::string_view bytes);
result<reply> decode_reply(std::string_view bytes);

} // namespace hawthornbeam::wire

#endif
