/// \file
/// A scheduler instance: request router, job owner, slice owner, reader of the operators'
/// table and cluster member.
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

/// Settings of an instance. The defaults are those of docs/design.md.
struct instance_options
{
    instance_id self;
    failure_domain_id failure_domain;
    std::uint16_t partitions = 64; ///< Must be equal at all instances.
    std::uint64_t seed = 1;
    duration host_list_period = std::chrono::seconds(1);
    duration summary_period = std::chrono::seconds(1);
    std::size_t summaries_per_period = 8;
    /// Delay between start() and the first claims of slices and partitions. It gives the
    /// member list time to fill.
    duration settle_time = std::chrono::milliseconds(1500);
    duration events_wait = std::chrono::milliseconds(1300);
    duration isolation_limit = std::chrono::seconds(5);
    duration drain_limit = std::chrono::seconds(30);
    /// How long the results of ended jobs are kept for repeated requests.
    duration ended_job_retention = std::chrono::minutes(10);
    std::size_t max_ended_jobs = 20000;
};

/// The services that an instance uses. All of them must outlive it.
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

/// A scheduler instance. Each callback runs exactly once, on the event loop.
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

    /// Joins the cluster; slices and partitions are claimed after `settle_time`.
    void start();
    /// True while the instance accepts new requests: it has settled, is not leaving, and
    /// knows the workers and a version of the operators' table.
    bool is_ready() const;

    /// Forwards a job to its owner. For a synchronous job the reported status is final;
    /// for a queued job it is `accepted`, reported once the job is durable. An error with
    /// code unavailable or limit_exceeded means that the job was not run;
    /// outcome_unknown means that the job may or may not have run.
    void submit(wire::job_spec job, callback<wire::job_status> done);
    /// Reports the status and results of a job; fails with not_found when the owner does
    /// not know the job.
    void query(const wire::job_query& request, callback<wire::job_status> done);
    /// Lists the matching jobs of all reachable owners.
    void list(const wire::job_list_request& selector,
              callback<std::vector<wire::job_status>> done);
    /// Cancels the matching jobs at all owners.
    void cancel(const wire::cancel_request& selector, callback<wire::cancel_reply> done);
    /// Reports the status of each live instance that replies.
    void statuses(const wire::status_request& request,
                  callback<std::vector<wire::status_reply>> done);
    /// Stops or resumes the start of new tasks on a worker. The request is sent to all
    /// instances; the one that owns the worker applies it.
    void drain_worker(const worker_id& worker, bool drained, callback<bool> done);

    /// Leaves the cluster: hands over slices and partitions and lets requests in progress
    /// finish. \p done runs when no work is open or when the drain limit has passed.
    void leave(std::function<void()> done);
    /// Describes, as text for operators, the work that leave() still waits for.
    std::string open_work() const;

    const operators_table& table() const;

private:
    class implementation;
    explicit instance(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
