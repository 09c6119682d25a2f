/// \file
/// Encodes and decodes the stored values, and builds their keys.
#include "stored_form.hpp"

#include "lib/wire/cell_codec.hpp"

#include <fmt/format.h>

namespace hawthornbeam::cell
{

template <class Archive>
void serialize(Archive& archive, owner_record& value)
{
    auto& [instance, address] = value;
    members(archive, instance, address);
}

template <class Archive>
void serialize(Archive& archive, known_instance& value)
{
    auto& [id, address] = value;
    members(archive, id, address);
}

template <class Archive>
void serialize(Archive& archive, agents_record& value)
{
    auto& [complete, agents, calls] = value;
    members(archive, complete, agents, calls);
}

namespace
{

/// First byte of each value; increased when the encoding of a type changes.
constexpr std::uint8_t format_version = 1;

template <class T>
std::string encode_value(const T& value)
{
    std::string bytes;
    wire::bounded_output<std::uint32_t> archive(bytes);
    archive(format_version, value);
    return bytes;
}

template <class T>
result<T> decode_value(std::string_view bytes)
{
    try
    {
        wire::bounded_input<std::uint32_t> archive(bytes);
        std::uint8_t version = 0;
        archive(version);
        if (version != format_version)
            return make_error(
                error_code::invalid_input,
                fmt::format("stored value has unsupported version {}", version));
        T value;
        archive(value);
        archive.finish();
        return value;
    }
    catch (const std::exception& fault)
    {
        return make_error(error_code::invalid_input,
                          fmt::format("malformed stored value: {}", fault.what()));
    }
}

} // namespace

std::string job_store_key(const job_key& job)
{
    return std::string(job_prefix) + job.value();
}

std::string cancel_store_key(const job_key& job)
{
    return std::string(cancel_prefix) + job.value();
}

std::string queue_store_key(const queue_name& queue)
{
    return std::string(queue_prefix) + queue.value();
}

std::string ends_store_key(fence_token token, std::uint64_t batch)
{
    return fmt::format("{}{:016x}-{:08x}", ends_prefix, token.value(), batch);
}

std::string encode(const job_record& record)
{
    return encode_value(record);
}
std::string encode(const std::vector<stored_end>& ends)
{
    return encode_value(ends);
}
std::string encode(const std::vector<worker_id>& workers)
{
    return encode_value(workers);
}
std::string encode(const std::vector<queue_policy>& queues)
{
    return encode_value(queues);
}
std::string encode(const owner_record& owner)
{
    return encode_value(owner);
}
std::string encode(owner_term term)
{
    return encode_value(term);
}
std::string encode(const std::vector<known_instance>& instances)
{
    return encode_value(instances);
}
std::string encode(const agents_record& agents)
{
    return encode_value(agents);
}
result<job_record> decode_job(std::string_view bytes)
{
    return decode_value<job_record>(bytes);
}
result<std::vector<stored_end>> decode_ends(std::string_view bytes)
{
    return decode_value<std::vector<stored_end>>(bytes);
}
result<std::vector<worker_id>> decode_workers(std::string_view bytes)
{
    return decode_value<std::vector<worker_id>>(bytes);
}
result<std::vector<queue_policy>> decode_queues(std::string_view bytes)
{
    return decode_value<std::vector<queue_policy>>(bytes);
}
result<owner_record> decode_owner(std::string_view bytes)
{
    return decode_value<owner_record>(bytes);
}
result<owner_term> decode_term(std::string_view bytes)
{
    return decode_value<owner_term>(bytes);
}
result<std::vector<known_instance>> decode_instances(std::string_view bytes)
{
    return decode_value<std::vector<known_instance>>(bytes);
}
result<agents_record> decode_agents(std::string_view bytes)
{
    return decode_value<agents_record>(bytes);
}

} // namespace hawthornbeam::cell
