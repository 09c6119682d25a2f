/// \file
/// Jobs, workers and commands of a cell. A cell is a set of workers and all jobs that run
/// on them, scheduled by one instance at a time, the owner.
#ifndef HAWTHORNBEAM_CELL_TYPES_HPP
#define HAWTHORNBEAM_CELL_TYPES_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/units.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornbeam::cell
{

/// Id of a job, chosen by its caller.
using job_key = string_id<struct cell_job_tag>;
/// Name of a queue in the operators' configuration.
using queue_name = string_id<struct queue_tag>;
/// Name of a pool of workers that serves one or more queues.
using service_name = string_id<struct service_tag>;
/// Network address in the form "IP:PORT".
using endpoint = string_id<struct endpoint_tag>;
/// Permission to run a step on a worker, issued by the advice service.
using ticket = string_id<struct ticket_tag>;
/// Saved state from which a later run of a task resumes.
using checkpoint = string_id<struct checkpoint_tag>;
/// Fencing token of an owner. A worker refuses commands whose token is lower than the
/// highest one that it has received.
using fence_token = strong_number<struct fence_tag, std::uint64_t>;
/// Incarnation of a worker: the start time of its process, in ms since 1970. A worker
/// that restarts under its id has a new incarnation, no runs and no fencing token.
using worker_incarnation = strong_number<struct worker_incarnation_tag, std::int64_t>;
/// Number of a claim of the cell, counted from 1. Each claim has a higher one.
using owner_term = strong_number<struct owner_term_tag, std::uint32_t>;
/// Number of a run within its task. No two runs of a task have the same number: those of
/// a job that the owner accepted begin at 1, those of an inherited job above all numbers
/// of earlier terms.
using run_number = strong_number<struct run_tag, std::uint32_t>;
/// Time on the steady clock of a worker, in ms.
using worker_time = strong_number<struct worker_time_tag, std::int64_t>;
/// Number of an ended run in a worker's list, counted from 1 in each incarnation.
using end_number = strong_number<struct ended_number_tag, std::uint64_t>;

/// Leases are extended only within this time after the owner's claim was confirmed. A
/// successor, whose claim is later, gives up the runs of a worker that it cannot reach
/// after the longest lease and this time.
inline constexpr duration max_unconfirmed_time = std::chrono::milliseconds(2000);

/// A command without an answer may still be executed up to this long after it was sent.
inline constexpr duration late_command_limit = std::chrono::milliseconds(12000);

/// Instance that owns the cell, with its fencing token.
struct owner_identity
{
    instance_id instance;
    endpoint address;
    fence_token token;
};

/// Identifies a task of a job.
struct task_ref
{
    job_key job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_ref&, const task_ref&) = default;
    friend std::strong_ordering operator<=>(const task_ref&, const task_ref&) = default;
};

/// Identifies a run, that is, one start of a task.
struct run_ref
{
    task_ref task;
    run_number run;

    friend bool operator==(const run_ref&, const run_ref&) = default;
};

/// A set of tasks of equal size. The step becomes ready when all steps in `after` are
/// done.
struct step_spec
{
    std::uint32_t count = 1;
    resources size;           ///< Declared size of each task.
    duration estimate{};      ///< Estimated run time; zero when unknown.
    bool gang = false;        ///< The tasks make progress only while all of them run.
    bool same_rack = false;   ///< The gang runs slower when it spans racks.
    bool checkpoints = false; ///< Ended and stopped runs report a state to resume from.
    bool speculative = false; ///< Copies of a task may run in parallel.
    bool persistent = false;  ///< Runs until the job is cancelled.
    std::string label;        ///< Label that the worker must have; empty: any worker.
    rack_id data_rack;        ///< Rack that stores the input data; empty: any rack.
    std::uint32_t per_worker = 0; ///< Maximum tasks of the step per worker; 0: no limit.
    std::vector<std::uint32_t> after; ///< Indexes of earlier steps, from 0.
};

/// A job as its caller submitted it.
struct job_spec
{
    job_key id;
    queue_name queue;
    std::string payload; ///< Passed to workers unchanged.
    std::vector<step_spec> steps;
    std::int64_t submitted_ms = 0; ///< Wall time; jobs of a queue are sorted by it.
};

enum class job_state : std::uint8_t
{
    queued, ///< No task has started.
    running,
    done,
    failed,
    cancelled
};

/// Returns whether a job in this state never changes its state again.
constexpr bool is_final(job_state state)
{
    return state >= job_state::done;
}

/// Returns the lower-case name.
const char* to_string(job_state state);

/// Outcome of a run.
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped, ///< By a stop command.
    lapsed,  ///< The worker's lease expired.
    broken,  ///< Another member of the gang ended.
    alone,   ///< The other members of the gang did not start in time.
    // The worker crashed; see assign_blame().
    crashed,         ///< The run was the cause.
    crash_suspect,   ///< The run may have been the cause.
    crash_bystander, ///< The run was probably not the cause.
    /// Not an end: stored at the start of a suspect task, so that a later owner counts
    /// the run if it finds neither the run nor its end.
    suspect_started,
    /// Not an end: the run has outlived the age at which workers crashed under its task.
    /// Earlier crashes do not count any more, for a later owner either.
    crashes_outlived
};

/// Returns whether the run ended because its worker crashed.
constexpr bool is_crash(run_end outcome)
{
    return outcome >= run_end::crashed && outcome <= run_end::crash_bystander;
}

/// Returns the lower-case name.
const char* to_string(run_end outcome);

/// Response times and ticket lifetime of a queue's advice service. A worker may run a
/// step of the queue only with a ticket from this service.
struct advice_policy
{
    duration decide{}; ///< Base response time of a request.
    duration each{};   ///< Additional response time per worker in the request.
    duration valid{};  ///< Lifetime of a ticket.

    /// Response time of a request that names \p workers workers.
    duration answer_time(std::int64_t workers) const { return decide + each * workers; }
};

/// A queue as the operators configured it.
struct queue_policy
{
    queue_name name;
    service_name service;
    int priority = 0;           ///< Lower values are scheduled first; the lowest is 0.
    std::uint32_t attempts = 1; ///< Failed runs of a task after which the job fails.
    /// The completion time objective of a job is `stretch` times the length of its
    /// longest chain of dependent steps, plus `objective`.
    double stretch = 1;
    duration objective{};
    std::optional<advice_policy> advice;
};

/// Description of a worker, written by the worker itself.
struct worker_info
{
    worker_id id;
    endpoint address;
    service_name service;
    failure_domain_id failure_domain;
    std::vector<std::string> labels;
    rack_id rack;
    resources capacity;
    worker_incarnation incarnation;
    bool draining = false;
};

/// A run that a worker lists as running.
struct running_task
{
    run_ref run;
    checkpoint saved;
    std::uint32_t percent = 0;
};

/// An ended run. A worker lists it until the owner acknowledges it.
struct ended_task
{
    end_number number;
    run_ref run;
    run_end outcome = run_end::done;
    checkpoint saved;
};

/// Position in the sequence of events that an agent observed at one worker. A poll result
/// reflects every answer with a lower position than the poll.
struct event_position
{
    std::uint64_t assignment = 0; ///< Rises each time the worker is assigned to an agent.
    std::uint64_t event = 0;      ///< Number of answers the agent has received.

    friend std::strong_ordering operator<=>(const event_position&,
                                            const event_position&) = default;
};

/// Answer of a worker to a poll, which renews its lease and lists its runs.
struct poll_result
{
    worker_id worker;
    event_position sent_position; ///< Position at which the poll was sent.
    worker_incarnation incarnation;
    worker_time clock;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    /// False if further ends may wait until these are acknowledged.
    bool ends_complete = true;
};

/// Outcome of a start or stop command.
enum class command_outcome : std::uint8_t
{
    accepted,
    fenced,       ///< The worker has received a higher fencing token.
    superseded,   ///< A run of the task with this or a higher number ended there.
    late,         ///< The deadline of the start has passed.
    no_room,      ///< The worker lacks free capacity.
    no_ticket,    ///< The ticket is not valid.
    invalid,      ///< The worker cannot parse the command.
    unhealthy,    ///< The worker reported an error and did not execute the command.
    other_worker, ///< A worker with another id uses this address.
    not_sent,     ///< The command did not leave the agent.
    unanswered,   ///< The worker may have executed it, or may do so seconds later.
    no_listener   ///< The connection was refused: by the host of the worker or by a
                  ///< network.
};

/// Returns the lower-case name.
const char* to_string(command_outcome outcome);

/// Result of a start or stop command.
struct command_result
{
    worker_id worker;
    run_ref run;
    bool stop = false;
    command_outcome outcome = command_outcome::accepted;
    event_position position;
    std::uint64_t token = 0; ///< Fencing token that the command carried.
};

/// Answer of the advice service about one step.
struct advice_result
{
    job_key job;
    std::uint32_t step = 0;
    bool answered = false;
    std::vector<worker_id> asked;
    std::vector<std::pair<worker_id, ticket>> tickets;
    std::int64_t valid_ms = 0;
};

/// Tells an agent to poll a worker from now on, or to stop doing so.
struct assign_command
{
    worker_id worker;
    endpoint address;
    std::uint64_t assignment = 0;
    bool assigned = true; ///< False: stop polling the worker.
};

/// Tells a worker that ended runs up to number `last` are stored, so that it need not
/// list them any more.
struct acknowledge_command
{
    worker_id worker;
    worker_incarnation incarnation;
    end_number last;
};

struct start_command
{
    worker_id worker;
    endpoint address;
    run_ref run;
    std::string payload;
    worker_time deadline; ///< The worker does not start the run after this time.
    checkpoint saved;
    ticket permission;
};

struct stop_command
{
    worker_id worker;
    endpoint address;
    run_ref run;
};

struct advice_command
{
    job_key job;
    std::uint32_t step = 0;
    std::vector<worker_id> workers;
};

/// Commands that an owner sends to an agent in one message.
struct agent_commands
{
    std::vector<assign_command> assignments;
    std::vector<acknowledge_command> acknowledgements;
    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::vector<advice_command> advice;

    bool empty() const
    {
        return assignments.empty() && acknowledgements.empty() && starts.empty() &&
               stops.empty() && advice.empty();
    }
};

/// A poll that was refused at the address of a worker. Another worker that answers there
/// proves that the worker's process has ended; a refused connection does not.
struct refused_poll
{
    worker_id worker;
    endpoint address;             ///< Address that was polled.
    event_position sent_position; ///< Position at which the poll was sent.
    bool other_worker = false;    ///< Another worker answers at the address.
    std::uint32_t failing_ms = 0; ///< Time since the first poll that failed.
};

/// What an agent knows of the runs of a worker.
struct worker_calls
{
    worker_id worker;
    /// Time since the latest call that can have extended the worker's lease was sent.
    std::uint32_t last_call_ms = 0;
    /// Tasks of which the worker may have a run, or an end that is not stored.
    std::vector<task_ref> tasks;
};

/// Calls that an agent has sent for former owners and that may still have an effect.
struct former_calls
{
    bool complete = false; ///< False if the agent could not keep all of them.
    std::vector<worker_calls> workers;
};

/// Observations that an agent sends to the owner in one message.
struct agent_report
{
    std::vector<poll_result> polls;
    std::vector<command_result> results;
    std::vector<advice_result> advice;
    std::vector<worker_id> unreachable; ///< Workers that have stopped answering polls.
    std::vector<refused_poll> refused_polls;
    /// Sent to each new owner until it has received them.
    std::optional<former_calls> calls;

    bool empty() const
    {
        return polls.empty() && results.empty() && advice.empty() &&
               unreachable.empty() && refused_polls.empty() && !calls;
    }
};

/// Stored record of an ended run.
struct stored_end
{
    run_ref run;
    run_end outcome = run_end::done;
};

/// Record of a job in the store: the whole job, or only its final state.
struct job_record
{
    job_state state = job_state::queued;
    std::optional<job_spec> job; ///< Empty once the state is final.
    std::int64_t changed_ms = 0; ///< Wall time of the latest write.
};

/// Result of a request, as reported to its caller.
enum class verdict : std::uint8_t
{
    done,      ///< Stored durably; later failures do not undo it.
    not_found, ///< The job does not exist.
    refused,   ///< Not executed; the caller may retry.
    unknown    ///< Undetermined when time ran out; repeating the request is safe.
};

/// A change that the instance that received a request asks another instance to store.
struct relayed_change
{
    job_spec job;        ///< For a cancel, only the id is set.
    bool cancel = false; ///< Cancel the job instead of storing it.
};

/// Number of jobs in a queue that have not started any task.
struct queue_depth
{
    queue_name queue;
    std::uint64_t waiting = 0;
};

} // namespace hawthornbeam::cell

#endif
