/// \file
/// Encoding and decoding of the journal's values in the key-value service.
#ifndef HAWTHORNBEAM_LIB_JOURNAL_STORED_FORM_HPP
#define HAWTHORNBEAM_LIB_JOURNAL_STORED_FORM_HPP

#include "hawthornbeam/journal/journal.hpp"

#include <string>
#include <vector>

namespace hawthornbeam::journal_form
{

/// A claim and the id of the change that it replaced. A former owner uses it to determine
/// whether its last write took effect before the claim that ended its epoch.
struct stored_claim
{
    std::uint64_t epoch = 0;
    std::string owner;
    std::string previous_change;
};

/// The head of the journal, the only value that is overwritten.
struct stored_head
{
    std::uint64_t epoch = 0;
    std::string owner;  ///< Empty if the partition is released.
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

/// Returns "journal/PARTITION/".
std::string journal_prefix(partition_id partition);
std::string head_key(partition_id partition);

std::string encode_head(const stored_head& head);
std::string encode_segment(const std::vector<std::string>& records);
std::string encode_snapshot_part(const std::string& bytes);
/// The decoding functions fail with invalid_input, naming the key, when the value is
/// damaged, of another kind or of another format version.
result<stored_head> decode_head(const kv_entry& entry);
result<std::vector<std::string>> decode_segment(const kv_entry& entry);
result<std::string> decode_snapshot_part(const kv_entry& entry);

std::string encode_record(const timed_record& record);
/// Fails with invalid_input.
result<timed_record> decode_record(const std::string& bytes);

/// A job and the time of its end, from which its retention time is counted.
struct stored_job
{
    journaled_job job;
    wall_time ended_at{};
};
std::string encode_jobs(const std::vector<const stored_job*>& jobs);
/// Fails with invalid_input.
result<std::vector<stored_job>> decode_jobs(const std::string& bytes);

} // namespace hawthornbeam::journal_form

#endif
