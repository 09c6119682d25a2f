/// \file
/// Test fixture that runs several instances against in-process stand-ins on one manual
/// event loop.
#ifndef HAWTHORNBEAM_UNITTESTS_INSTANCE_CELL_HPP
#define HAWTHORNBEAM_UNITTESTS_INSTANCE_CELL_HPP

#include "hawthornbeam/instance/instance.hpp"
#include "test/standins/bound_platform.hpp"
#include "test/standins/fake_kv.hpp"
#include "test/standins/fake_platform.hpp"
#include "test/standins/invariant_checker.hpp"
#include "test/standins/memory_peer_network.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// Number of instances and workers of a test cluster, and the random seed.
struct cell_options
{
    std::size_t instances = 3;
    std::size_t workers = 6;
    std::size_t workers_per_rack = 2;
    std::size_t failure_domains = 3;
    resources worker_capacity{millicores(8000), byte_count(std::int64_t{32} << 30),
                              accelerator_count(0)};
    std::uint64_t seed = 1;
};

/// A submitted job and the response that its caller received.
struct call_record
{
    wire::job_spec job;
    bool answered = false;
    boot_time answered_at{};
    /// The refusal or error; only set without a status.
    error failure;
    bool has_status = false;
    wire::job_status status;
};

/// A cell with a simulated clock. Runs with the same seed are identical.
class test_cluster
{
public:
    explicit test_cluster(cell_options settings = {});
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    /// Starts all instances, installs the table and waits until every instance is ready.
    /// Rows: "p/request", "p/batch", "h/gang", "h/service".
    void start();
    void advance(duration step);
    /// Advances in steps until \p done returns true or \p limit has passed; returns the
    /// last result of \p done.
    bool advance_until(duration limit, const std::function<bool()>& done);

    void start_instance(std::size_t index);
    /// Destroys an instance without a graceful shutdown.
    void kill(std::size_t index);
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// Starts a graceful leave; the instance is destroyed when it has left.
    void leave(std::size_t index);
    bool has_left(std::size_t index) const;
    /// Stops a worker permanently; the host list removes it after its usual lag.
    void kill_worker(std::size_t index);
    /// Disconnects an instance from all other instances, and optionally from all workers
    /// and from the key-value service.
    void isolate(std::size_t index, bool from_workers, bool from_kv);
    void heal();
    /// Changes the faults of the key-value clients of all live instances.
    void set_kv_faults(const std::function<void(standins::fake_kv_faults&)>& change);

    /// A synchronous job of one task for row "p/request".
    wire::job_spec request(const std::string& id, int run_ms = 50,
                           int deadline_ms = 5000) const;
    /// An asynchronous job of \p tasks tasks.
    wire::job_spec job(const std::string& row, const std::string& id, std::uint32_t tasks,
                       int run_ms, bool idempotent) const;
    /// Submits \p job through an instance. The record stays valid until the cluster is
    /// destroyed.
    call_record& submit(std::size_t index, wire::job_spec job);
    /// The status of a job as reported by an instance; fails without a reply within 10 s.
    result<wire::job_status> query(std::size_t index, const job_id& id);
    bool is_done(std::size_t index, const job_id& id);

    instance& at(std::size_t index) { return *nodes_.at(index)->scheduler; }
    table_store& table(std::size_t index) { return *nodes_.at(index)->table; }
    standins::fake_kv_service& kv(std::size_t index) { return *nodes_.at(index)->kv; }
    metrics_registry& metrics(std::size_t index) { return nodes_.at(index)->metrics; }
    standins::fake_kv_store& store() { return *store_; }
    standins::fake_worker_gateway& workers() { return workers_; }
    standins::fake_host_list& hosts() { return hosts_; }
    standins::memory_network& network() { return network_; }
    manual_event_loop& loop() { return loop_; }
    boot_time now() const { return loop_.clock().now(); }
    const std::deque<call_record>& calls() const { return calls_; }
    static instance_id name(std::size_t index);
    static worker_address address(std::size_t worker);
    /// Log lines of all instances at level warning or above.
    const std::vector<std::string>& warnings() const { return warnings_; }

    /// Violations of the invariants 1, 2, 3, 4 and 5 in the history so far, as text.
    std::vector<std::string> violations() const;
    /// Number of task starts of job \p id on all workers.
    std::size_t starts_of(const job_id& id) const;
    /// Time of the first task start after \p since; boot_time::max() without one.
    boot_time first_start_after(boot_time since) const;

private:
    struct node
    {
        std::unique_ptr<logger> log;
        metrics_registry metrics;
        std::unique_ptr<standins::fake_kv_service> kv;
        std::unique_ptr<standins::bound_worker_gateway> workers;
        std::unique_ptr<standins::bound_host_list> hosts;
        std::unique_ptr<standins::memory_channel> channel;
        std::unique_ptr<standins::memory_peer_network> peers;
        std::unique_ptr<membership> members;
        std::unique_ptr<table_store> table;
        std::unique_ptr<instance> scheduler;
        bool left = false;
    };

    standins::recorded_history recorded() const;
    void add_workers();
    void install_table();

    cell_options options_;
    manual_event_loop loop_;
    standins::memory_network network_;
    std::shared_ptr<standins::fake_kv_store> store_;
    standins::fake_worker_gateway workers_;
    standins::fake_host_list hosts_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::string> warnings_;
    std::deque<call_record> calls_;
    std::uint64_t started_instances_ = 0;
};

} // namespace hawthornbeam

#endif
