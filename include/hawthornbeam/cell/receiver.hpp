/// \file
/// Accepts jobs, cancels and queries from callers, on any instance.
#ifndef HAWTHORNBEAM_CELL_RECEIVER_HPP
#define HAWTHORNBEAM_CELL_RECEIVER_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Result of a query.
struct query_answer
{
    verdict outcome = verdict::unknown;
    job_state state = job_state::queued; ///< Valid with verdict::done only.
};

/// Dependencies and callbacks of a receiver.
struct receiver_parts
{
    event_loop& loop;
    cell_store& store;
    const logger& log;
    /// True when the store would probably not answer a write.
    std::function<bool()> is_store_failing;
    /// Called when a job was stored, with the revision of the write.
    std::function<void(const job_spec&, kv_revision)> on_accepted;
    std::function<void(const job_key&)> on_cancelled;
    /// Asks the owner for states of jobs; fails when no owner is known or it does not
    /// answer in time.
    std::function<void(
        std::vector<job_key>,
        std::function<void(result<std::vector<std::pair<job_key, job_state>>>)>)>
        query_owner;
    /// Asks another instance to store a job or a cancel, since the store may serve that
    /// instance while it does not serve this host. Fails when no other instance is known
    /// or the call fails.
    std::function<void(const relayed_change&, std::function<void(result<verdict>)>)>
        relay;
};

/// Accepts a job by storing it under its id if that key is absent, so that a job
/// submitted to several instances is stored once without coordination between them. Jobs
/// that arrive together share a transaction.
class receiver
{
public:
    explicit receiver(receiver_parts parts);
    ~receiver();

    /// Sets the configured queues. The policy of a queue is stored with its first job, so
    /// that an owner learns it which never reads this configuration.
    void configure(const std::vector<queue_policy>& queues);
    void submit(job_spec job, std::function<void(verdict)> done);
    /// Stores a job or a cancel that another instance relayed; it is not relayed again.
    /// Refuses a job whose queue was never configured here, since its policy could not be
    /// stored.
    void store_relayed(relayed_change change, std::function<void(verdict)> done);
    /// Cancels a job. The answer `not_found` is given only after the cancel is stored, so
    /// that the job does not run if a write of it is executed later. Too many cancels of
    /// unknown jobs are refused.
    void cancel(const job_key& job, std::function<void(verdict)> done);
    void query(const job_key& job, std::function<void(query_answer)> done);
    /// Keeps the stored final state of \p job, so that queries need not ask the owner.
    void record_ended(const job_key& job, job_state state);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
