/// \file
/// Jobs, workers and orders of a cell: a set of workers that one instance at a time
/// schedules, together with all jobs that run on them.
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

/// A job's id as its caller chose it.
using job_key = string_id<struct cell_job_tag>;
/// A queue of the operators' configuration.
using queue_name = string_id<struct queue_tag>;
/// A pool of workers that serves queues.
using service_name = string_id<struct service_tag>;
/// "IP:PORT".
using endpoint = string_id<struct endpoint_tag>;
/// Permission of the advice service to run a step on a worker.
using ticket = string_id<struct ticket_tag>;
/// A saved state from which a task resumes.
using checkpoint = string_id<struct checkpoint_tag>;
/// Proof of ownership; workers refuse orders with a lower one than they have seen.
using fence_token = strong_number<struct fence_tag, std::uint64_t>;
/// One life of a worker: when it started, in ms since 1970. A worker that restarts under
/// its id has a new life, runs nothing and has seen no token.
using worker_incarnation = strong_number<struct worker_incarnation_tag, std::int64_t>;
/// Counts the starts of a task from 1.
using run_number = strong_number<struct run_tag, std::uint32_t>;
/// Milliseconds on the steady clock of a worker.
using worker_time = strong_number<struct worker_time_tag, std::int64_t>;
/// Number of an end in the list of a worker's life, from 1.
using end_number = strong_number<struct ended_number_tag, std::uint64_t>;

/// Who owns the cell, and with which token.
struct owner_identity
{
    instance_id instance;
    endpoint address;
    fence_token token;
};

/// Names a task of a job.
struct task_ref
{
    job_key job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend bool operator==(const task_ref&, const task_ref&) = default;
    friend std::strong_ordering operator<=>(const task_ref&, const task_ref&) = default;
};

/// One start of a task.
struct run_ref
{
    task_ref task;
    run_number run;

    friend bool operator==(const run_ref&, const run_ref&) = default;
};

/// Tasks of equal shape; the step begins when the steps in `after` have ended.
struct step_spec
{
    std::uint32_t count = 1;
    resources size;               ///< Declared size of each task.
    duration estimate{};          ///< Rough run time; zero when unknown.
    bool gang = false;            ///< The tasks work only while all of them run.
    bool same_rack = false;       ///< A gang is slower when it spans racks.
    bool checkpoints = false;     ///< Ends and stops carry a state to resume from.
    bool speculative = false;     ///< Copies may run in parallel.
    bool persistent = false;      ///< Runs until the job is cancelled.
    std::string label;            ///< A worker needs it; empty when any will do.
    rack_id data_rack;            ///< Where the data lies; empty when anywhere.
    std::uint32_t per_worker = 0; ///< Most tasks of the step on a worker; 0: no limit.
    std::vector<std::uint32_t> after; ///< Earlier steps, counted from 0.
};

/// A job as its caller submitted it.
struct job_spec
{
    job_key id;
    queue_name queue;
    std::string payload; ///< Passed to workers as it is.
    std::vector<step_spec> steps;
    std::int64_t submitted_ms = 0; ///< Wall time; orders jobs of a queue.
};

enum class job_state : std::uint8_t
{
    queued, ///< No task has started.
    running,
    done,
    failed,
    cancelled
};

/// True when the state never changes again.
constexpr bool is_final(job_state state)
{
    return state >= job_state::done;
}

/// Lower-case name.
const char* to_string(job_state state);

/// How a run ended.
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped, ///< On an order.
    lapsed,  ///< The worker's lease ran out.
    broken,  ///< Another member of the gang ended.
    alone    ///< The rest of the gang did not come in time.
};

/// Lower-case name.
const char* to_string(run_end outcome);

/// What a queue's policy service costs. A worker may run a step only with its ticket.
struct advice_policy
{
    duration decide{}; ///< Time of an answer.
    duration each{};   ///< And for each worker that is asked about.
    duration valid{};  ///< Life of a ticket.

    /// Time of an answer about \p workers workers.
    duration answer_time(std::int64_t workers) const { return decide + each * workers; }
};

/// A queue as the operators configured it.
struct queue_policy
{
    queue_name name;
    service_name service;
    int priority = 0; ///< Zero comes first.
    std::uint32_t attempts = 1;
    double stretch = 1;   ///< Objective: this many times the job's longest chain of work
    duration objective{}; ///< and this much more.
    std::optional<advice_policy> advice;
};

/// A worker as it describes itself.
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

/// A run that a worker shows.
struct running_task
{
    run_ref run;
    checkpoint saved;
    std::uint32_t percent = 0;
};

/// An end that a worker lists until it is acknowledged.
struct ended_task
{
    end_number number;
    run_ref run;
    run_end outcome = run_end::done;
    checkpoint saved;
};

/// Orders what an agent observed at one worker. A look shows the effect of every answer
/// with a lower position.
struct event_position
{
    std::uint64_t assignment = 0; ///< Rises each time the worker gets an agent.
    std::uint64_t event = 0;      ///< Counts the answers that the agent received.

    friend std::strong_ordering operator<=>(const event_position&,
                                            const event_position&) = default;
};

/// What a worker answered when it was looked at.
struct poll_result
{
    worker_id worker;
    event_position sent_position; ///< When the call was sent.
    worker_incarnation incarnation;
    worker_time clock;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
};

/// What became of a start or stop order.
enum class command_outcome : std::uint8_t
{
    accepted,
    fenced,     ///< The worker has seen a higher token.
    superseded, ///< The run number is not above one that ended there.
    late,       ///< The start's deadline has passed.
    no_room,
    no_ticket,    ///< The ticket is not valid.
    invalid,      ///< The worker cannot read the order.
    unhealthy,    ///< The worker did nothing.
    other_worker, ///< Another worker answers at this address.
    not_sent,
    unanswered ///< It may have been carried out, now or seconds later.
};

/// Lower-case name.
const char* to_string(command_outcome outcome);

/// Result of a start or stop.
struct command_result
{
    worker_id worker;
    run_ref run;
    bool stop = false;
    command_outcome outcome = command_outcome::accepted;
    event_position position;
    std::uint64_t token = 0; ///< The token that the order carried.
};

/// Answer of the advice service.
struct advice_result
{
    job_key job;
    std::uint32_t step = 0;
    bool answered = false;
    std::vector<worker_id> asked;
    std::vector<std::pair<worker_id, ticket>> tickets;
    std::int64_t valid_ms = 0;
};

/// Orders an agent to look at a worker from now on.
struct assign_command
{
    worker_id worker;
    endpoint address;
    std::uint64_t assignment = 0;
    bool assigned = true; ///< False: leave the worker alone.
};

/// Ends up to this number are stored and need not be listed again.
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
    worker_time deadline; ///< The worker does not begin the run after it.
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

/// Everything an owner tells an agent at once.
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

/// Everything an agent tells the owner at once.
struct agent_report
{
    std::vector<poll_result> polls;
    std::vector<command_result> results;
    std::vector<advice_result> advice;
    std::vector<worker_id> unreachable; ///< No answer to looks for a while.

    bool empty() const
    {
        return polls.empty() && results.empty() && advice.empty() && unreachable.empty();
    }
};

/// An end of a run as it is stored.
struct stored_end
{
    run_ref run;
    run_end outcome = run_end::done;
};

/// A job's record in the store: the job, or only its final state.
struct job_record
{
    job_state state = job_state::queued;
    std::optional<job_spec> job; ///< Empty once the state is final.
    std::int64_t changed_ms = 0; ///< Wall time of the write.
};

/// What a caller may be told about a request.
enum class verdict : std::uint8_t
{
    done,      ///< Stored; holds whatever fails afterwards.
    not_found, ///< No such job.
    refused,   ///< Certainly not done; the caller may come back.
    unknown    ///< It cannot be known in time; repeating the request is safe.
};

/// A change of the store that a receiver asks another instance to make.
struct relayed_change
{
    job_spec job;        ///< Of a cancel, only the id.
    bool cancel = false; ///< Cancel the job instead of storing it.
};

/// Number of jobs of a queue of which no task has started.
struct queue_depth
{
    queue_name queue;
    std::uint64_t waiting = 0;
};

} // namespace hawthornbeam::cell

#endif
