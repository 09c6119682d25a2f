/// \file
/// One scheduler instance: receiver, job owner, slice owner, table reader and member.
#ifndef HAWTHORNBEAM_INSTANCE_INSTANCE_HPP
#define HAWTHORNBEAM_INSTANCE_INSTANCE_HPP

#include "hawthornbeam/membership/membership.hpp"
#include "hawthornbeam/metrics/metrics.hpp"
#include "hawthornbeam/platform/host_list.hpp"
#include "hawthornbeam/platform/kv_service.hpp"
#include "hawthornbeam/platform/worker_gateway.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/table/table_store.hpp"
#include "hawthornbeam/wire/messages.hpp"
#include "hawthornbeam/wire/peer_network.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace hawthornbeam
{

/// Numbers that shape an instance. The defaults are those of docs/design.md.
struct instance_options
{
    instance_id self;
    failure_domain_id failure_domain;
    std::uint16_t partitions = 64; ///< The same at every instance.
    std::uint64_t seed = 1;
    duration host_list_period = std::chrono::seconds(1);
    duration summary_period = std::chrono::seconds(1);
    std::size_t summaries_per_period = 8;
    /// Ownership starts this long after start(), so that the member list is known.
    duration settle_time = std::chrono::milliseconds(1500);
    duration events_wait = std::chrono::milliseconds(1300);
    duration isolation_limit = std::chrono::seconds(5);
    duration drain_limit = std::chrono::seconds(30);
    /// Ended jobs are kept this long for callers that ask again.
    duration ended_job_retention = std::chrono::minutes(10);
    std::size_t max_ended_jobs = 20000;
};

/// What an instance is built on; everything outlives it.
struct instance_parts
{
    event_loop& loop;
    const logger& log;
    metrics_registry& metrics;
    kv_service& kv;
    worker_gateway& workers;
    host_list& hosts;
    wire::peer_network& peers;
    membership& members;
    table_store& table;
};

/// A scheduler instance. All callbacks run exactly once on the loop.
class instance
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    /// Fails with denied when the worker binding does not grant owner leases, on which
    /// the safety of starts rests.
    static result<std::unique_ptr<instance>> create(const instance_parts& parts,
                                                    const instance_options& options);
    ~instance();

    /// Joins the other instances and begins to own slices and partitions.
    void start();
    /// True while new requests are welcome.
    bool is_ready() const;

    /// Submits a job through its owner. For a synchronous job the status is final; for
    /// a queued one it is `accepted` once the job is durable. An error with code
    /// unavailable or limit_exceeded means that the job was not run; outcome_unknown
    /// means that it cannot be known.
    void submit(wire::job_spec job, callback<wire::job_status> done);
    /// Status and results of a job; not_found when its owner does not know it.
    void query(const wire::job_query& question, callback<wire::job_status> done);
    /// Jobs at all reachable owners.
    void list(const wire::job_list_request& selector,
              callback<std::vector<wire::job_status>> done);
    /// Cancels at all owners concerned.
    void cancel(const wire::cancel_request& selector, callback<wire::cancel_reply> done);
    /// Status of all live instances that answer.
    void statuses(const wire::status_request& what,
                  callback<std::vector<wire::status_reply>> done);
    /// Stops or resumes new tasks on a worker, at whichever instance owns it.
    void drain_worker(const worker_id& worker, bool drained, callback<bool> done);

    /// Leaves: hands over slices and partitions, and lets requests in progress end.
    /// \p done runs when nothing is open any more or the drain limit has passed.
    void leave(std::function<void()> done);
    /// What keeps leave() from being done, for people.
    std::string open_work() const;

    const operators_table& table() const;

private:
    class implementation;
    explicit instance(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
