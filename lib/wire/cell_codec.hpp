/// \file
/// Serialization of the types of a cell, for messages and for records in the store.
/// Include in .cpp files only.
#ifndef HAWTHORNBEAM_LIB_WIRE_CELL_CODEC_HPP
#define HAWTHORNBEAM_LIB_WIRE_CELL_CODEC_HPP

#include "codec.hpp"
#include "hawthornbeam/cell/types.hpp"

namespace hawthornbeam::cell
{

// cereal finds these functions by argument-dependent lookup. The structured bindings fail
// to compile when a type gets a member that is not serialized.

/// Highest valid value of an enumeration in a message or record.
template <class Enum>
inline constexpr Enum last_enumerator = Enum::missing;
template <>
inline constexpr job_state last_enumerator<job_state> = job_state::cancelled;
template <>
inline constexpr run_end last_enumerator<run_end> = run_end::crashes_outlived;
template <>
inline constexpr command_outcome last_enumerator<command_outcome> =
    command_outcome::no_listener;
template <>
inline constexpr verdict last_enumerator<verdict> = verdict::unknown;

template <class Archive, class T>
void member(Archive& archive, T& value)
{
    if constexpr (std::is_enum_v<T>)
        wire::enumeration(archive, value, last_enumerator<T>);
    else if constexpr (std::is_same_v<T, duration>)
        wire::nanoseconds(archive, value);
    else
        archive(value);
}

template <class Archive, class... T>
void members(Archive& archive, T&... values)
{
    (member(archive, values), ...);
}

template <class Archive>
void serialize(Archive& archive, owner_identity& value)
{
    auto& [instance, address, token] = value;
    members(archive, instance, address, token);
}

template <class Archive>
void serialize(Archive& archive, task_ref& value)
{
    auto& [job, step, index] = value;
    members(archive, job, step, index);
}

template <class Archive>
void serialize(Archive& archive, run_ref& value)
{
    auto& [task, run] = value;
    members(archive, task, run);
}

template <class Archive>
void serialize(Archive& archive, step_spec& value)
{
    auto& [count, size, estimate, gang, same_rack, checkpoints, speculative, persistent,
           label, data_rack, per_worker, after] = value;
    members(archive, count, size, estimate, gang, same_rack, checkpoints, speculative,
            persistent, label, data_rack, per_worker, after);
}

template <class Archive>
void serialize(Archive& archive, job_spec& value)
{
    auto& [id, queue, payload, steps, submitted_ms] = value;
    members(archive, id, queue, payload, steps, submitted_ms);
}

template <class Archive>
void serialize(Archive& archive, running_task& value)
{
    auto& [run, saved, percent] = value;
    members(archive, run, saved, percent);
}

template <class Archive>
void serialize(Archive& archive, ended_task& value)
{
    auto& [number, run, outcome, saved] = value;
    members(archive, number, run, outcome, saved);
}

template <class Archive>
void serialize(Archive& archive, event_position& value)
{
    auto& [assignment, event] = value;
    members(archive, assignment, event);
}

template <class Archive>
void serialize(Archive& archive, poll_result& value)
{
    auto& [worker, sent_position, incarnation, clock, running, ended, ends_complete] =
        value;
    members(archive, worker, sent_position, incarnation, clock, running, ended,
            ends_complete);
}

template <class Archive>
void serialize(Archive& archive, command_result& value)
{
    auto& [worker, run, stop, outcome, position, token] = value;
    members(archive, worker, run, stop, outcome, position, token);
}

template <class Archive>
void serialize(Archive& archive, advice_result& value)
{
    auto& [job, step, answered, asked, tickets, valid_ms] = value;
    members(archive, job, step, answered, asked, tickets, valid_ms);
}

template <class Archive>
void serialize(Archive& archive, assign_command& value)
{
    auto& [worker, address, assignment, assigned] = value;
    members(archive, worker, address, assignment, assigned);
}

template <class Archive>
void serialize(Archive& archive, acknowledge_command& value)
{
    auto& [worker, incarnation, last] = value;
    members(archive, worker, incarnation, last);
}

template <class Archive>
void serialize(Archive& archive, start_command& value)
{
    auto& [worker, address, run, payload, deadline, saved, permission] = value;
    members(archive, worker, address, run, payload, deadline, saved, permission);
}

template <class Archive>
void serialize(Archive& archive, stop_command& value)
{
    auto& [worker, address, run] = value;
    members(archive, worker, address, run);
}

template <class Archive>
void serialize(Archive& archive, advice_command& value)
{
    auto& [job, step, workers] = value;
    members(archive, job, step, workers);
}

template <class Archive>
void serialize(Archive& archive, agent_commands& value)
{
    auto& [assignments, acknowledgements, starts, stops, advice] = value;
    members(archive, assignments, acknowledgements, starts, stops, advice);
}

template <class Archive>
void serialize(Archive& archive, refused_poll& value)
{
    auto& [worker, address, sent_position, other_worker, failing_ms] = value;
    members(archive, worker, address, sent_position, other_worker, failing_ms);
}

template <class Archive>
void serialize(Archive& archive, worker_calls& value)
{
    auto& [worker, last_call_ms, tasks] = value;
    members(archive, worker, last_call_ms, tasks);
}

template <class Archive>
void serialize(Archive& archive, former_calls& value)
{
    auto& [complete, workers] = value;
    members(archive, complete, workers);
}

template <class Archive, class T>
void optional_member(Archive& archive, std::optional<T>& value)
{
    bool present = value.has_value();
    member(archive, present);
    if (!present)
        return value.reset();
    if (!value)
        value.emplace();
    member(archive, *value);
}

template <class Archive>
void serialize(Archive& archive, agent_report& value)
{
    auto& [polls, results, advice, unreachable, refused_polls, calls] = value;
    members(archive, polls, results, advice, unreachable, refused_polls);
    optional_member(archive, calls);
}

template <class Archive>
void serialize(Archive& archive, stored_end& value)
{
    auto& [run, outcome] = value;
    members(archive, run, outcome);
}

template <class Archive>
void serialize(Archive& archive, relayed_change& value)
{
    auto& [job, cancel] = value;
    members(archive, job, cancel);
}

template <class Archive>
void serialize(Archive& archive, queue_depth& value)
{
    auto& [queue, waiting] = value;
    members(archive, queue, waiting);
}

template <class Archive>
void serialize(Archive& archive, job_record& value)
{
    member(archive, value.state);
    member(archive, value.changed_ms);
    optional_member(archive, value.job);
}

template <class Archive>
void serialize(Archive& archive, advice_policy& value)
{
    auto& [decide, each, valid] = value;
    members(archive, decide, each, valid);
}

template <class Archive>
void serialize(Archive& archive, queue_policy& value)
{
    auto& [name, service, priority, attempts, stretch, objective, advice] = value;
    members(archive, name, service, priority, attempts, stretch, objective);
    optional_member(archive, advice);
}

} // namespace hawthornbeam::cell

#endif
