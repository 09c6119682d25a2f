/// \file
/// Private implementation class of an instance of a cell.
#ifndef HAWTHORNBEAM_LIB_CELL_NODE_STATE_HPP
#define HAWTHORNBEAM_LIB_CELL_NODE_STATE_HPP

#include "hawthornbeam/cell/agent.hpp"
#include "hawthornbeam/cell/claim.hpp"
#include "hawthornbeam/cell/node.hpp"
#include "hawthornbeam/cell/observed_store.hpp"

#include <map>

namespace hawthornbeam::cell
{

/// Timeout of queries between instances.
inline constexpr duration query_timeout = std::chrono::milliseconds(500);
/// An owner that hands the cell over first waits this long for answers to start commands
/// in flight, so that no gang is left with only a part of its members started.
inline constexpr duration hand_over_wait = std::chrono::milliseconds(150);

class node::implementation : public std::enable_shared_from_this<implementation>
{
public:
    explicit implementation(const node_parts& given);

    void serve(const instance_id& from, wire::request message,
               const std::function<void(wire::reply)>& answer);
    wire::reply handle_commands(const instance_id& from,
                                const wire::cell_commands& message);
    void on_acquired(fence_token token, bool continued);
    /// Logs each change between a store that answers and one that fails.
    void record_store_state();
    void resign_when_isolated();
    void hand_over_to_larger_host();
    /// Asks another instance for the owner while the store does not serve this host.
    void query_peer_for_owner();
    std::optional<endpoint> random_peer();
    owner_identity known_owner() const
    {
        return claim.owner().value_or(owner_identity());
    }
    /// Sends \p observations, the first of which was made at \p observed_at, to the
    /// owner.
    void report(fence_token known_token, agent_report observations,
                boot_time observed_at);
    /// Sends a report without observations.
    void report_heartbeat();
    void send_commands(const endpoint& target, wire::cell_commands message,
                       std::function<void(result<fence_token>)> done);
    using states_callback =
        std::function<void(result<std::vector<std::pair<job_key, job_state>>>)>;
    void query_owner(std::vector<job_key> jobs, states_callback done);
    void relay(const relayed_change& change, std::function<void(result<verdict>)> done);

    /// A stored job that no owner has confirmed yet.
    struct unreported_job
    {
        job_spec job;
        kv_revision stored;
        bool offered = false; ///< An owner may have received it.
    };
    /// Removes and returns the jobs for the next report to another instance. The others
    /// follow in later reports, so that each fits into a message.
    std::vector<unreported_job> take_unreported();
    void queue_unreported(std::vector<unreported_job> jobs,
                          const std::vector<job_key>& cancels, bool offered);

    node_parts parts;
    observed_store store;
    cell::claim claim;
    cell::agent agent;
    cell::receiver receiver;
    std::unique_ptr<owner> active_owner;
    std::vector<queue_policy> queues;
    std::vector<unreported_job> unreported_jobs;
    std::vector<job_key> unreported_cancels;
    std::map<queue_name, std::uint64_t> queue_depths;
    boot_time queue_depths_at{};
    std::vector<endpoint> peers;        ///< Instances that the store served lately.
    bool owner_accepts_reports = false; ///< The owner accepted the last report.
    bool logged_store_failing = false;  ///< The store was last logged as failing.
    bool leaving = false;
    boot_time hand_over_not_before{};
    /// When the last message of another instance arrived; empty when none did since the
    /// last resignation.
    std::optional<boot_time> last_peer_contact;
    timer_handle heartbeat;
    timer_handle isolation_check;
};

} // namespace hawthornbeam::cell

#endif
