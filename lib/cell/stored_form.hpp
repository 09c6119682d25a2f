/// \file
/// Keys and values of a cell in the store.
#ifndef HAWTHORNBEAM_LIB_CELL_STORED_FORM_HPP
#define HAWTHORNBEAM_LIB_CELL_STORED_FORM_HPP

#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/support/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam::cell
{

/// All keys of a cell begin with it, so that one watch shows jobs and claims in the order
/// of their writes.
inline constexpr std::string_view cell_prefix = "cell/";
/// The owner's claim; removed with its lease.
inline constexpr std::string_view owner_key = "cell/owner";
/// The latest claim, kept after its lease has ended. It begins with the owner's key, so
/// that one listing shows both.
inline constexpr std::string_view last_claim_key = "cell/owner-last";
/// Ids of the workers on which tasks may run.
inline constexpr std::string_view workers_key = "cell/workers";
inline constexpr std::string_view job_prefix = "cell/job/";
inline constexpr std::string_view cancel_prefix = "cell/cancel/";
inline constexpr std::string_view ends_prefix = "cell/ends/";

std::string job_store_key(const job_key& job);
std::string cancel_store_key(const job_key& job);
/// Each batch of ends has its own key, ordered by owner and time.
std::string ends_store_key(fence_token token, std::uint64_t batch);

/// Who owns the cell.
struct owner_record
{
    instance_id instance;
    endpoint address;
};

/// Values begin with a version; a value of another version or with bytes missing or left
/// over fails with invalid_input.
std::string encode(const job_record& record);
std::string encode(const std::vector<stored_end>& ends);
std::string encode(const std::vector<worker_id>& workers);
std::string encode(const owner_record& owner);
result<job_record> decode_job(std::string_view bytes);
result<std::vector<stored_end>> decode_ends(std::string_view bytes);
result<std::vector<worker_id>> decode_workers(std::string_view bytes);
result<owner_record> decode_owner(std::string_view bytes);

} // namespace hawthornbeam::cell

#endif
