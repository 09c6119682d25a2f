/// \file
/// Takes jobs, cancels and queries of callers on any instance.
#ifndef HAWTHORNBEAM_CELL_RECEIVER_HPP
#define HAWTHORNBEAM_CELL_RECEIVER_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Outcome of a query.
struct query_answer
{
    verdict outcome = verdict::unknown;
    job_state state = job_state::queued; ///< With verdict::done.
};

/// What a receiver uses.
struct receiver_parts
{
    event_loop& loop;
    cell_store& store;
    const logger& log;
    /// True when a write would probably have no answer.
    std::function<bool()> store_fails;
    /// A job was stored at this revision.
    std::function<void(const job_spec&, kv_revision)> accepted;
    std::function<void(const job_key&)> cancelled;
    /// Asks the owner; fails when there is none or it does not answer in time.
    std::function<void(
        std::vector<job_key>,
        std::function<void(result<std::vector<std::pair<job_key, job_state>>>)>)>
        query_owner;
    /// Asks another instance to store a job or a cancel, since the store may serve it
    /// while it turns this host away. Fails when none can be asked.
    std::function<void(const relayed_change&, std::function<void(result<verdict>)>)>
        relay;
};

/// A job is accepted by storing it under its id if that key is absent, so that the same
/// job at several instances stays one job, without any of them asking the others. Jobs
/// that arrive together share a transaction.
class receiver
{
public:
    explicit receiver(receiver_parts parts);
    ~receiver();

    void submit(job_spec job, std::function<void(verdict)> done);
    /// Stores what another instance has relayed; it is not relayed again.
    void store_relayed(relayed_change change, std::function<void(verdict)> done);
    void cancel(const job_key& job, std::function<void(verdict)> done);
    void query(const job_key& job, std::function<void(query_answer)> done);
    /// A final state was stored; queries need not ask the owner.
    void record_ended(const job_key& job, job_state state);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
