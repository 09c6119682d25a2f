/// \file
/// Values of the journal in the key-value service.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_STORED_FORM_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_STORED_FORM_HPP

#include "hawthornbeam/journal/journal.hpp"

#include <string>
#include <vector>

namespace hawthornbeam::journal_form
{

/// A claim and the change it was based on. A former owner finds here whether its last
/// write came before the claim that ended its epoch.
struct stored_claim
{
    std::uint64_t epoch = 0;
    std::string owner;
    std::string previous_change;
};

/// The one value that changes.
struct stored_head
{
    std::uint64_t epoch = 0;
    std::string owner;  ///< Empty when released.
    std::string change; ///< Id of the write that stored this value.
    std::vector<stored_claim> claims;
    std::vector<std::string> snapshot; ///< Key names, in order.
    std::vector<std::string> segments; ///< Key names, oldest first.
    std::vector<std::string> records;  ///< Encoded; newer than all segments.
};

/// A record and the time of its append.
struct timed_record
{
    journal_record record;
    wall_time at{};
};

/// "journal/PARTITION/".
std::string journal_prefix(partition_id partition);
std::string head_key(partition_id partition);

std::string encode_head(const stored_head& head);
std::string encode_segment(const std::vector<std::string>& records);
std::string encode_part(const std::string& bytes);
/// Each fails with invalid_input, naming the key, when the value is damaged, of another
/// kind or of a newer format.
result<stored_head> decode_head(const kv_entry& entry);
result<std::vector<std::string>> decode_segment(const kv_entry& entry);
result<std::string> decode_part(const kv_entry& entry);

std::string encode_record(const timed_record& record);
/// Fails with invalid_input.
result<timed_record> decode_record(const std::string& bytes);

/// A job with the time of its end, which decides how long it is kept.
struct kept_job
{
    journaled_job job;
    wall_time ended_at{};
};
std::string encode_jobs(const std::vector<const kept_job*>& jobs);
/// Fails with invalid_input.
result<std::vector<kept_job>> decode_jobs(const std::string& bytes);

} // namespace hawthornbeam::journal_form

#endif
