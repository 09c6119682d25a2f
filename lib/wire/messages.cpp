/// \file
/// Serializes the messages between instances.
#include "hawthornbeam/wire/messages.hpp"

#include "codec.hpp"

#include <array>

namespace hawthornbeam::wire
{

// cereal finds these functions by argument-dependent lookup through the archive, which
// does not see unnamed namespaces.

template <class Archive>
void serialize(Archive& archive, task_start& m)
{
    archive(m.id, m.row, m.size);
    nanoseconds(archive, m.declared_run_time);
    archive(m.idempotent, m.job_owner, m.payload);
}
template <class Archive>
void serialize(Archive& archive, job_spec& m)
{
    archive(m.id, m.request, m.row, m.tasks, m.size, m.idempotent, m.synchronous,
            m.run_time_ms, m.deadline_ms, m.spread_domains, m.payload);
}
template <class Archive>
void serialize(Archive& archive, task_result& m)
{
    archive(m.index);
    enumeration(archive, m.state, task_state::stopped);
    archive(m.known, m.output);
}
template <class Archive>
void serialize(Archive& archive, job_status& m)
{
    archive(m.id, m.request, m.row);
    enumeration(archive, m.verdict, job_verdict::cancelled);
    archive(m.waiting, m.running, m.ended, m.reason, m.retry_after_ms, m.results);
}
template <class Archive>
void serialize(Archive& archive, task_update& m)
{
    archive(m.id, m.row);
    enumeration(archive, m.event, task_event::unknown);
    archive(m.worker);
    enumeration(archive, m.state, task_state::stopped);
    archive(m.output);
}
template <class Archive>
void serialize(Archive& archive, row_load& m)
{
    archive(m.row, m.running, m.tasks_running, m.tasks_waiting);
}
template <class Archive>
void serialize(Archive& archive, submit_request& m)
{
    archive(m.job);
}
template <class Archive>
void serialize(Archive& archive, submit_reply& m)
{
    archive(m.status);
}
template <class Archive>
void serialize(Archive& archive, job_query& m)
{
    archive(m.id);
}
template <class Archive>
void serialize(Archive& archive, job_reply& m)
{
    archive(m.found, m.status);
}
template <class Archive>
void serialize(Archive& archive, job_list_request& m)
{
    archive(m.partner, m.row, m.most);
}
template <class Archive>
void serialize(Archive& archive, job_list_reply& m)
{
    archive(m.jobs);
}
template <class Archive>
void serialize(Archive& archive, cancel_request& m)
{
    archive(m.id, m.row, m.partner);
}
template <class Archive>
void serialize(Archive& archive, cancel_reply& m)
{
    archive(m.found, m.jobs, m.tasks);
}
template <class Archive>
void serialize(Archive& archive, start_request& m)
{
    archive(m.partition, m.owner_epoch, m.job_owner, m.row, m.all_at_once,
            m.spread_domains, m.deadline_ms, m.tasks);
}
template <class Archive>
void serialize(Archive& archive, start_reply& m)
{
    archive(m.queued, m.reason, m.known_epoch);
}
template <class Archive>
void serialize(Archive& archive, update_request& m)
{
    archive(m.updates);
}
template <class Archive>
void serialize(Archive& archive, update_reply& m)
{
    archive(m.recorded);
}
template <class Archive>
void serialize(Archive& archive, stop_request& m)
{
    archive(m.tasks);
}
template <class Archive>
void serialize(Archive& archive, stop_reply& m)
{
    archive(m.not_started);
}
template <class Archive>
void serialize(Archive& archive, inventory_request& m)
{
    archive(m.partition, m.owner_epoch, m.job_owner);
}
template <class Archive>
void serialize(Archive& archive, inventory_reply& m)
{
    archive(m.accepted, m.known_epoch, m.complete_slices, m.tasks, m.queued);
}
template <class Archive>
void serialize(Archive&, epochs_request&)
{
}
template <class Archive>
void serialize(Archive& archive, epochs_reply& m)
{
    archive(m.epochs);
}
template <class Archive>
void serialize(Archive& archive, table_fetch& m)
{
    archive(m.known);
}
template <class Archive>
void serialize(Archive& archive, table_reply& m)
{
    archive(m.version, m.json);
}
template <class Archive>
void serialize(Archive& archive, status_request& m)
{
    archive(m.with_metrics);
}
template <class Archive>
void serialize(Archive& archive, status_reply& m)
{
    archive(m.id, m.failure_domain, m.table, m.leaving, m.kv_reachable, m.slices,
            m.partitions, m.capacity, m.free, m.rows, m.metrics);
}
template <class Archive>
void serialize(Archive& archive, failure_reply& m)
{
    enumeration(archive, m.code, error_code::internal);
    archive(m.message);
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
