/// \file
/// Binary format of the journal's values. The fields of message types are listed here
/// instead of using the serialization functions of the inner protocol, so that a change
/// of that protocol does not change the format of stored values.
#include "stored_form.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>
#include <sstream>
#include <type_traits>
#include <xxhash.h>

namespace hawthornbeam::journal_form
{

namespace
{

enum class value_kind : char
{
    head = 'H',
    segment = 'S',
    part = 'P'
};

constexpr std::string_view magic = "HBJ";
constexpr char format_version = 1;
constexpr std::size_t kind_offset = 4;
constexpr std::size_t checksum_offset = 5;
constexpr std::size_t checksum_bytes = 8;
constexpr std::size_t payload_offset = checksum_offset + checksum_bytes;

using writer = cereal::PortableBinaryOutputArchive;
using reader = cereal::PortableBinaryInputArchive;

template <class T, class Expected>
concept is_unqualified_same = std::is_same_v<std::remove_const_t<T>, Expected>;

template <class Archive, class T>
void transfer_number(Archive& archive, T& value)
{
    using number = std::underlying_type_t<std::remove_const_t<T>>;
    number stored = static_cast<number>(value);
    archive(stored);
    if constexpr (Archive::is_loading::value)
        value = static_cast<T>(stored);
}

template <class Archive, class Time>
void transfer_time(Archive& archive, Time& value)
{
    std::int64_t stored = value.time_since_epoch().count();
    archive(stored);
    if constexpr (Archive::is_loading::value)
        value = wall_time(std::chrono::milliseconds(stored));
}

template <class Archive, is_unqualified_same<stored_claim> T>
void transfer(Archive& archive, T& claim)
{
    archive(claim.epoch, claim.owner, claim.previous_change);
}

template <class Archive, is_unqualified_same<wire::task_result> T>
void transfer(Archive& archive, T& task)
{
    archive(task.index);
    transfer_number(archive, task.state);
    archive(task.known, task.output);
}

template <class Archive, is_unqualified_same<stored_job> T>
void transfer(Archive& archive, T& stored);

template <class Archive, class List>
void transfer_list(Archive& archive, List& list)
{
    std::uint32_t size = static_cast<std::uint32_t>(list.size());
    archive(size);
    if constexpr (Archive::is_loading::value)
        for (std::uint32_t i = 0; i < size; ++i) // Throws at the end of the input.
            transfer(archive, list.emplace_back());
    else
        for (const typename List::value_type& item : list)
            transfer(archive, item);
}

template <class Archive, is_unqualified_same<wire::job_spec> T>
void transfer(Archive& archive, T& job)
{
    archive(job.id, job.request, job.row, job.tasks, job.size, job.idempotent,
            job.synchronous, job.run_time_ms, job.deadline_ms, job.spread_domains,
            job.payload);
}

template <class Archive, is_unqualified_same<job_accepted> T>
void transfer(Archive& archive, T& record)
{
    transfer(archive, record.job);
    transfer_time(archive, record.at);
}

template <class Archive, is_unqualified_same<job_progress> T>
void transfer(Archive& archive, T& record)
{
    archive(record.id);
    transfer_list(archive, record.ended);
}

template <class Archive, is_unqualified_same<job_ended> T>
void transfer(Archive& archive, T& record)
{
    archive(record.id);
    transfer_number(archive, record.verdict);
    archive(record.reason);
}

template <class Archive, is_unqualified_same<job_cancelling> T>
void transfer(Archive& archive, T& record)
{
    archive(record.id);
}

template <class Archive, is_unqualified_same<stored_job> T>
void transfer(Archive& archive, T& stored)
{
    transfer(archive, stored.job.job);
    transfer_time(archive, stored.job.accepted);
    transfer_list(archive, stored.job.ended);
    archive(stored.job.cancelling, stored.job.has_verdict);
    transfer_number(archive, stored.job.verdict);
    archive(stored.job.reason);
    transfer_time(archive, stored.ended_at);
}

template <class Archive, is_unqualified_same<stored_head> T>
void transfer(Archive& archive, T& head)
{
    archive(head.epoch, head.owner, head.change);
    transfer_list(archive, head.claims);
    archive(head.snapshot, head.segments, head.records);
}

template <std::size_t Index = 0>
journal_record read_alternative(reader& archive, std::uint8_t index)
{
    if constexpr (Index < std::variant_size_v<journal_record>)
    {
        if (index != Index)
            return read_alternative<Index + 1>(archive, index);
        std::variant_alternative_t<Index, journal_record> record;
        transfer(archive, record);
        return record;
    }
    else
        throw cereal::Exception("unknown kind of record");
}

std::uint64_t checksum(std::string_view kind_and_payload)
{
    return XXH3_64bits(kind_and_payload.data(), kind_and_payload.size());
}

std::string checksum_text(value_kind kind, std::string_view payload)
{
    std::uint64_t sum = checksum(payload) ^ static_cast<std::uint64_t>(kind);
    std::string text;
    for (std::size_t i = 0; i < checksum_bytes; ++i, sum >>= 8U)
        text += static_cast<char>(sum & 0xFFU);
    return text;
}

std::string wrap(value_kind kind, const std::string& payload)
{
    std::string value(magic);
    value += format_version;
    value += static_cast<char>(kind);
    value += checksum_text(kind, payload);
    return value + payload;
}

error damaged_value_error(const std::string& key, std::string_view reason)
{
    return make_error(error_code::invalid_input,
                      fmt::format("the value of key {} {}", key, reason));
}

result<std::string> unwrap(value_kind kind, const kv_entry& entry)
{
    const std::string_view value = entry.value;
    if (value.size() < payload_offset || !value.starts_with(magic))
        return damaged_value_error(entry.key, "is not a journal value");
    if (value[magic.size()] != format_version)
        return damaged_value_error(entry.key,
                                   fmt::format("has format {}; this program reads {}",
                                               static_cast<int>(value[magic.size()]),
                                               static_cast<int>(format_version)));
    if (value[kind_offset] != static_cast<char>(kind))
        return damaged_value_error(entry.key, "is a journal value of another kind");
    const std::string_view payload = value.substr(payload_offset);
    if (value.substr(checksum_offset, checksum_bytes) != checksum_text(kind, payload))
        return damaged_value_error(entry.key, "is damaged: its checksum does not match");
    return std::string(payload);
}

template <class Write>
std::string write_bytes(const Write& write)
{
    std::ostringstream bytes;
    {
        writer archive(bytes);
        write(archive);
    }
    return std::move(bytes).str();
}

/// Runs \p read on an archive over \p bytes. Returns false if the input ends early or has
/// trailing bytes.
template <class Read>
bool read_bytes(const std::string& bytes, const Read& read)
{
    try
    {
        std::istringstream input(bytes);
        reader archive(input);
        read(archive);
        return input.peek() == std::istringstream::traits_type::eof();
    }
    catch (const std::exception&) // cereal::Exception, or a length that is out of range.
    {
        return false;
    }
}

} // namespace

std::string journal_prefix(partition_id partition)
{
    return fmt::format("journal/{}/", partition.value());
}

std::string head_key(partition_id partition)
{
    return journal_prefix(partition) + "head";
}

std::string encode_head(const stored_head& head)
{
    return wrap(value_kind::head,
                write_bytes([&head](writer& archive) { transfer(archive, head); }));
}

std::string encode_segment(const std::vector<std::string>& records)
{
    return wrap(value_kind::segment,
                write_bytes([&records](writer& archive) { archive(records); }));
}

std::string encode_snapshot_part(const std::string& bytes)
{
    return wrap(value_kind::part, bytes);
}

result<stored_head> decode_head(const kv_entry& entry)
{
    BOOST_OUTCOME_TRY(payload, unwrap(value_kind::head, entry));
    stored_head head;
    if (!read_bytes(payload, [&head](reader& archive) { transfer(archive, head); }))
        return damaged_value_error(entry.key, "is malformed");
    return head;
}

result<std::vector<std::string>> decode_segment(const kv_entry& entry)
{
    BOOST_OUTCOME_TRY(payload, unwrap(value_kind::segment, entry));
    std::vector<std::string> records;
    if (!read_bytes(payload, [&records](reader& archive) { archive(records); }))
        return damaged_value_error(entry.key, "is malformed");
    return records;
}

result<std::string> decode_snapshot_part(const kv_entry& entry)
{
    return unwrap(value_kind::part, entry);
}

std::string encode_record(const timed_record& record)
{
    return write_bytes(
        [&record](writer& archive)
        {
            archive(static_cast<std::uint8_t>(record.record.index()));
            transfer_time(archive, record.at);
            std::visit([&archive](const auto& each) { transfer(archive, each); },
                       record.record);
        });
}

result<timed_record> decode_record(const std::string& bytes)
{
    timed_record record;
    const bool is_whole = read_bytes(bytes,
                                     [&record](reader& archive)
                                     {
                                         std::uint8_t index = 0;
                                         archive(index);
                                         transfer_time(archive, record.at);
                                         record.record = read_alternative(archive, index);
                                     });
    if (!is_whole)
        return make_error(error_code::invalid_input, "a journal record is malformed");
    return record;
}

std::string encode_jobs(const std::vector<const stored_job*>& jobs)
{
    return write_bytes(
        [&jobs](writer& archive)
        {
            archive(static_cast<std::uint32_t>(jobs.size()));
            for (const stored_job* job : jobs)
                transfer(archive, *job);
        });
}

result<std::vector<stored_job>> decode_jobs(const std::string& bytes)
{
    std::vector<stored_job> jobs;
    if (!read_bytes(bytes, [&jobs](reader& archive) { transfer_list(archive, jobs); }))
        return make_error(error_code::invalid_input, "a journal snapshot is malformed");
    return jobs;
}

} // namespace hawthornbeam::journal_form
