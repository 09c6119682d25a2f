/// \file
/// Keys and encoded values of a cell in the store.
#ifndef HAWTHORNBEAM_LIB_CELL_STORED_FORM_HPP
#define HAWTHORNBEAM_LIB_CELL_STORED_FORM_HPP

#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/support/result.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hawthornbeam::cell
{

/// Common prefix of all keys of a cell, so that one watch reports changes of jobs and
/// claims in the order of their writes.
inline constexpr std::string_view cell_prefix = "cell/";
/// Key of the owner's claim; the store removes it when the claim's lease ends.
inline constexpr std::string_view owner_key = "cell/owner";
/// Key of the latest claim, kept after the claim's lease has ended. It begins with
/// owner_key, so that one listing returns both.
inline constexpr std::string_view last_claim_key = "cell/owner-last";
/// Key of the term of the latest claim, written with it. It begins with owner_key like
/// last_claim_key.
inline constexpr std::string_view term_key = "cell/owner-term";
/// Key of the ids of the workers on which tasks may run.
inline constexpr std::string_view workers_key = "cell/workers";
/// Key of the instances that could claim the cell.
inline constexpr std::string_view instances_key = "cell/instances";
/// Key of the agents through which tasks may be started, and of calls of earlier agents.
inline constexpr std::string_view agents_key = "cell/agents";
/// Key of the policies of the queues that the owner has been configured with.
inline constexpr std::string_view queues_key = "cell/queues";
/// Prefix of the keys of policies that receivers store with the first job of a queue,
/// until the owner has stored them under queues_key.
inline constexpr std::string_view queue_prefix = "cell/queue/";
inline constexpr std::string_view job_prefix = "cell/job/";
inline constexpr std::string_view cancel_prefix = "cell/cancel/";
inline constexpr std::string_view ends_prefix = "cell/ends/";

std::string job_store_key(const job_key& job);
std::string cancel_store_key(const job_key& job);
std::string queue_store_key(const queue_name& queue);
/// Key of a batch of run ends; keys are ordered by the owner's token, then by batch.
std::string ends_store_key(fence_token token, std::uint64_t batch);

/// Value of owner_key and last_claim_key: the instance that made the claim.
struct owner_record
{
    instance_id instance;
    endpoint address;
};

/// An instance that could claim the cell.
struct known_instance
{
    instance_id id;
    endpoint address;
};

/// Value of agents_key.
struct agents_record
{
    /// False if earlier owners may have used agents that are not known.
    bool complete = true;
    std::vector<instance_id> agents;
    /// Calls of agents that are not named any more, on workers that were not polled
    /// since.
    std::vector<worker_calls> calls;
};

/// Encoded values begin with a version byte. Decoding a value that has another version,
/// is truncated or has trailing bytes fails with invalid_input.
std::string encode(const job_record& record);
std::string encode(const std::vector<stored_end>& ends);
std::string encode(const std::vector<worker_id>& workers);
std::string encode(const std::vector<queue_policy>& queues);
std::string encode(const owner_record& owner);
std::string encode(owner_term term);
std::string encode(const std::vector<known_instance>& instances);
std::string encode(const agents_record& agents);
result<job_record> decode_job(std::string_view bytes);
result<std::vector<stored_end>> decode_ends(std::string_view bytes);
result<std::vector<worker_id>> decode_workers(std::string_view bytes);
result<std::vector<queue_policy>> decode_queues(std::string_view bytes);
result<owner_record> decode_owner(std::string_view bytes);
result<owner_term> decode_term(std::string_view bytes);
result<std::vector<known_instance>> decode_instances(std::string_view bytes);
result<agents_record> decode_agents(std::string_view bytes);

} // namespace hawthornbeam::cell

#endif
