/// \file
/// Serialization of the messages between instances.
#include "hawthornbeam/wire/messages.hpp"

#include "cell_codec.hpp"
#include "codec.hpp"

#include <array>

namespace hawthornbeam::wire
{

// cereal finds these functions by argument-dependent lookup through the archive type,
// which does not consider unnamed namespaces. The structured bindings fail to compile
// when a field is added to a message but not serialized.

/// The highest enumerator that is valid on the wire.
template <class Enum>
inline constexpr Enum last_enumerator = Enum::missing;
template <>
inline constexpr task_state last_enumerator<task_state> = task_state::stopped;
template <>
inline constexpr job_verdict last_enumerator<job_verdict> = job_verdict::cancelled;
template <>
inline constexpr task_event last_enumerator<task_event> = task_event::unknown;
template <>
inline constexpr error_code last_enumerator<error_code> = error_code::internal;
template <>
inline constexpr cell::job_state last_enumerator<cell::job_state> =
    cell::job_state::cancelled;
template <>
inline constexpr cell::verdict last_enumerator<cell::verdict> = cell::verdict::unknown;

template <class Archive, class T>
void field(Archive& archive, T& value)
{
    if constexpr (std::is_enum_v<T>)
        enumeration(archive, value, last_enumerator<T>);
    else if constexpr (std::is_same_v<T, duration>)
        nanoseconds(archive, value);
    else
        archive(value);
}

template <class Archive, class... T>
void fields(Archive& archive, T&... values)
{
    (field(archive, values), ...);
}

template <class Archive>
void serialize(Archive& archive, task_start& value)
{
    auto& [id, row, size, declared_run_time, idempotent, job_owner, payload] = value;
    fields(archive, id, row, size, declared_run_time, idempotent, job_owner, payload);
}

template <class Archive>
void serialize(Archive& archive, job_spec& value)
{
    auto& [id, request, row, tasks, size, idempotent, synchronous, run_time_ms,
           deadline_ms, spread_domains, payload] = value;
    fields(archive, id, request, row, tasks, size, idempotent, synchronous, run_time_ms,
           deadline_ms, spread_domains, payload);
}

template <class Archive>
void serialize(Archive& archive, task_result& value)
{
    auto& [index, state, known, output] = value;
    fields(archive, index, state, known, output);
}

template <class Archive>
void serialize(Archive& archive, job_status& value)
{
    auto& [id, request, row, verdict, waiting, running, ended, reason, retry_after_ms,
           results] = value;
    fields(archive, id, request, row, verdict, waiting, running, ended, reason,
           retry_after_ms, results);
}

template <class Archive>
void serialize(Archive& archive, submit_request& value)
{
    auto& [job] = value;
    fields(archive, job);
}

template <class Archive>
void serialize(Archive& archive, submit_reply& value)
{
    auto& [status] = value;
    fields(archive, status);
}

template <class Archive>
void serialize(Archive& archive, job_query& value)
{
    auto& [id, explain] = value;
    fields(archive, id, explain);
}

template <class Archive>
void serialize(Archive& archive, job_reply& value)
{
    auto& [found, status] = value;
    fields(archive, found, status);
}

template <class Archive>
void serialize(Archive& archive, job_list_request& value)
{
    auto& [partner, row, most] = value;
    fields(archive, partner, row, most);
}

template <class Archive>
void serialize(Archive& archive, job_list_reply& value)
{
    auto& [jobs] = value;
    fields(archive, jobs);
}

template <class Archive>
void serialize(Archive& archive, cancel_request& value)
{
    auto& [id, row, partner] = value;
    fields(archive, id, row, partner);
}

template <class Archive>
void serialize(Archive& archive, cancel_reply& value)
{
    auto& [found, jobs, tasks] = value;
    fields(archive, found, jobs, tasks);
}

template <class Archive>
void serialize(Archive& archive, start_request& value)
{
    auto& [partition, owner_epoch, sequence, job_owner, row, all_at_once, spread_domains,
           deadline_ms, tasks] = value;
    fields(archive, partition, owner_epoch, sequence, job_owner, row, all_at_once,
           spread_domains, deadline_ms, tasks);
}

template <class Archive>
void serialize(Archive& archive, start_reply& value)
{
    auto& [queued, reason, known_epoch] = value;
    fields(archive, queued, reason, known_epoch);
}

template <class Archive>
void serialize(Archive& archive, dispatch_id& value)
{
    auto& [owner_epoch, sequence] = value;
    fields(archive, owner_epoch, sequence);
}

template <class Archive>
void serialize(Archive& archive, task_update& value)
{
    auto& [id, row, event, worker, state, output, dispatch, code, reason,
           retry_after_ms] = value;
    fields(archive, id, row, event, worker, state, output, dispatch, code, reason,
           retry_after_ms);
}

template <class Archive>
void serialize(Archive& archive, update_request& value)
{
    auto& [updates] = value;
    fields(archive, updates);
}

template <class Archive>
void serialize(Archive& archive, update_reply& value)
{
    auto& [recorded] = value;
    fields(archive, recorded);
}

template <class Archive>
void serialize(Archive& archive, stop_request& value)
{
    auto& [tasks, stop_running] = value;
    fields(archive, tasks, stop_running);
}

template <class Archive>
void serialize(Archive& archive, stop_reply& value)
{
    auto& [not_started, not_known] = value;
    fields(archive, not_started, not_known);
}

template <class Archive>
void serialize(Archive& archive, inventory_request& value)
{
    auto& [partition, owner_epoch, fenced_sequence, job_owner] = value;
    fields(archive, partition, owner_epoch, fenced_sequence, job_owner);
}

template <class Archive>
void serialize(Archive& archive, queued_task& value)
{
    auto& [id, row, dispatch] = value;
    fields(archive, id, row, dispatch);
}

template <class Archive>
void serialize(Archive& archive, inventory_reply& value)
{
    auto& [accepted, known_epoch, complete_slices, tasks, queued] = value;
    fields(archive, accepted, known_epoch, complete_slices, tasks, queued);
}

template <class Archive>
void serialize(Archive& /*archive*/, epochs_request& /*message*/)
{
}

template <class Archive>
void serialize(Archive& archive, partition_fence& value)
{
    auto& [partition, known, sequence] = value;
    fields(archive, partition, known, sequence);
}

template <class Archive>
void serialize(Archive& archive, epochs_reply& value)
{
    auto& [fences] = value;
    fields(archive, fences);
}

template <class Archive>
void serialize(Archive& archive, table_fetch& value)
{
    auto& [known] = value;
    fields(archive, known);
}

template <class Archive>
void serialize(Archive& archive, table_reply& value)
{
    auto& [version, json] = value;
    fields(archive, version, json);
}

template <class Archive>
void serialize(Archive& archive, status_request& value)
{
    auto& [with_metrics, with_workers] = value;
    fields(archive, with_metrics, with_workers);
}

template <class Archive>
void serialize(Archive& archive, worker_status& value)
{
    auto& [id, failure_domain, rack, capacity, leaving, drained, lease_held, free, tasks,
           unschedulable_reason] = value;
    fields(archive, id, failure_domain, rack, capacity, leaving, drained, lease_held,
           free, tasks, unschedulable_reason);
}

template <class Archive>
void serialize(Archive& archive, row_load& value)
{
    auto& [row, running, tasks_running, tasks_waiting] = value;
    fields(archive, row, running, tasks_running, tasks_waiting);
}

template <class Archive>
void serialize(Archive& archive, status_reply& value)
{
    auto& [id, failure_domain, table, leaving, kv_reachable, slices, partitions, capacity,
           free, rows, metrics, workers] = value;
    fields(archive, id, failure_domain, table, leaving, kv_reachable, slices, partitions,
           capacity, free, rows, metrics, workers);
}

template <class Archive>
void serialize(Archive& archive, drain_request& value)
{
    auto& [worker, drained] = value;
    fields(archive, worker, drained);
}

template <class Archive>
void serialize(Archive& archive, drain_reply& value)
{
    auto& [owned] = value;
    fields(archive, owned);
}

template <class Archive>
void serialize(Archive& archive, explain_request& value)
{
    auto& [task] = value;
    fields(archive, task);
}

template <class Archive>
void serialize(Archive& archive, explain_reply& value)
{
    auto& [reason] = value;
    fields(archive, reason);
}

template <class Archive>
void serialize(Archive& archive, accepted_job& value)
{
    auto& [job, is_new] = value;
    fields(archive, job, is_new);
}

template <class Archive>
void serialize(Archive& archive, cell_report& value)
{
    auto& [token, address, share, leaving, store_unanswered_ms, report, accepted,
           cancelled] = value;
    fields(archive, token, address, share, leaving, store_unanswered_ms, report, accepted,
           cancelled);
}

template <class Archive>
void serialize(Archive& archive, cell_report_reply& value)
{
    auto& [is_owner, instance, owner, not_counted, unconfirmed_ms, has_calls] = value;
    fields(archive, is_owner, instance, owner, not_counted, unconfirmed_ms, has_calls);
}

template <class Archive>
void serialize(Archive& archive, cell_job_state& value)
{
    auto& [job, state] = value;
    fields(archive, job, state);
}

template <class Archive>
void serialize(Archive& archive, cell_commands& value)
{
    auto& [token, owner, commands, ended, depths, leaving, resigned, peers,
           largest_processor_share] = value;
    fields(archive, token, owner, commands, ended, depths, leaving, resigned, peers,
           largest_processor_share);
}

template <class Archive>
void serialize(Archive& archive, cell_commands_reply& value)
{
    auto& [known] = value;
    fields(archive, known);
}

template <class Archive>
void serialize(Archive& archive, cell_query& value)
{
    auto& [jobs] = value;
    fields(archive, jobs);
}

template <class Archive>
void serialize(Archive& archive, cell_query_reply& value)
{
    auto& [is_owner, found, owner] = value;
    fields(archive, is_owner, found, owner);
}

template <class Archive>
void serialize(Archive& archive, cell_relay& value)
{
    auto& [change] = value;
    fields(archive, change);
}

template <class Archive>
void serialize(Archive& archive, cell_relay_reply& value)
{
    auto& [outcome] = value;
    fields(archive, outcome);
}

template <class Archive>
void serialize(Archive& archive, failure_reply& value)
{
    auto& [code, message] = value;
    fields(archive, code, message);
}

namespace
{

using output_archive = bounded_output<std::uint32_t>;
using input_archive = bounded_input<std::uint32_t>;

template <class Variant>
std::string encode_variant(const Variant& message)
{
    std::string bytes;
    output_archive archive(bytes);
    archive(static_cast<std::uint8_t>(message.index()));
    std::visit([&archive](const auto& alternative) { archive(alternative); }, message);
    return bytes;
}

template <class Variant, std::size_t Index>
void load_alternative(input_archive& archive, Variant& message)
{
    archive(message.template emplace<Index>());
}

template <class Variant, std::size_t... Index>
void load_variant(input_archive& archive, Variant& message,
                  std::index_sequence<Index...> /*alternatives*/)
{
    using loader = void (*)(input_archive&, Variant&);
    static constexpr std::array<loader, sizeof...(Index)> loaders{
        &load_alternative<Variant, Index>...};
    std::uint8_t index = 0;
    archive(index);
    if (index >= loaders.size())
        throw cereal::Exception("unknown message type " + std::to_string(index));
    loaders[index](archive, message);
}

template <class Variant>
result<Variant> decode_variant(std::string_view bytes)
{
    try
    {
        Variant message;
        input_archive archive(bytes);
        load_variant(archive, message,
                     std::make_index_sequence<std::variant_size_v<Variant>>());
        archive.finish();
        return message;
    }
    catch (const std::exception& fault)
    {
        return make_error(error_code::invalid_input,
                          std::string("malformed message: ") + fault.what());
    }
}

} // namespace

const char* to_string(job_verdict verdict)
{
    switch (verdict)
    {
    case job_verdict::accepted:
        return "accepted";
    case job_verdict::done:
        return "done";
    case job_verdict::not_run:
        return "not_run";
    case job_verdict::unknown:
        return "unknown";
    case job_verdict::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string encode(const request& message)
{
    return encode_variant(message);
}

std::string encode(const reply& message)
{
    return encode_variant(message);
}

result<request> decode_request(std::string_view bytes)
{
    return decode_variant<request>(bytes);
}

result<reply> decode_reply(std::string_view bytes)
{
    return decode_variant<reply>(bytes);
}

} // namespace hawthornbeam::wire
