/// \file
/// Several instances over in-process stand-ins on one manual loop.
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

/// Sizes of a cell.
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

/// What a caller asked and what it was told.
struct call_record
{
    wire::job_spec job;
    bool answered = false;
    boot_time answered_at{};
    /// A refusal or error, when there is no status.
    error failure;
    bool has_status = false;
    wire::job_status status;
};

/// A cell with its clock. Everything is deterministic for a seed.
class test_cluster
{
public:
    explicit test_cluster(cell_options settings = {});
    ~test_cluster();
    test_cluster(const test_cluster&) = delete;
    test_cluster& operator=(const test_cluster&) = delete;

    /// Starts all instances, installs the table and waits
    /// until every instance is ready. Rows: "p/request", "p/batch", "h/gang",
    /// "h/service".
    void start();
    void advance(duration step);
    /// Advances in steps until \p done holds or \p limit has passed; true when it holds.
    bool advance_until(duration limit, const std::function<bool()>& done);

    void start_instance(std::size_t index);
    /// Ends an instance without a word.
    void kill(std::size_t index);
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// Asks an instance to leave; it is destroyed when it has left.
    void leave(std::size_t index);
    bool has_left(std::size_t index) const;
    /// Stops a worker for good; the host list drops it after its own lag.
    void kill_worker(std::size_t index);
    /// Cuts an instance from all other instances, and from all workers when asked.
    void isolate(std::size_t index, bool from_workers, bool from_kv);
    void heal();
    /// Changes the faults of the key-value clients of all live instances.
    void set_kv_faults(const std::function<void(standins::fake_kv_faults&)>& change);

    /// A job of one task for row "p/request" that a caller waits for.
    wire::job_spec request(const std::string& id, int run_ms = 50,
                           int deadline_ms = 5000) const;
    /// A queued job.
    wire::job_spec job(const std::string& row, const std::string& id, std::uint32_t tasks,
                       int run_ms, bool idempotent) const;
    /// Submits through an instance. The record lives as long as the cell.
    call_record& submit(std::size_t index, wire::job_spec job);
    /// The job's status as an instance tells it; fails when there is no answer in 10 s.
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
    /// Log lines of all instances that are at least warnings.
    const std::vector<std::string>& warnings() const { return warnings_; }

    /// Faults of the invariants 1, 2, 3, 4 and 5 in the whole history so far, as text.
    std::vector<std::string> violations() const;
    /// Times that a task of \p id was started on any worker.
    std::size_t starts_of(const job_id& id) const;
    /// Time of the first start after \p since; max() when there is none.
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
    std::uint64_t lives_ = 0;
};

} // namespace hawthornbeam

#endif
