/// \file
/// In-process fakes of the workers and the host list, with fault injection.
#ifndef HAWTHORNBEAM_TEST_STANDINS_FAKE_PLATFORM_HPP
#define HAWTHORNBEAM_TEST_STANDINS_FAKE_PLATFORM_HPP

#include "test/standins/faulty_calls.hpp"
#include "test/standins/host_list_state.hpp"
#include "test/standins/hosted_worker.hpp"

namespace hawthornbeam::standins
{

/// Calls worker stand-ins on an event loop. Without faults, a call is applied and
/// answered in the next loop iteration. An unanswered call fails after a timeout (for
/// events(), plus the wait): reads as unavailable, writes as outcome_unknown.
class fake_worker_gateway final : public worker_gateway
{
public:
    explicit fake_worker_gateway(event_loop& loop,
                                 duration timeout = std::chrono::milliseconds(1500))
        : loop_(loop), timeout_(timeout), calls_(loop)
    {
    }

    hosted_worker& add(const worker_address& address, worker_options options);
    /// Returns the worker at \p address, which must have been added.
    hosted_worker& worker(const worker_address& address);
    /// Returns the faults of calls to \p address, which may have no worker.
    fault_settings& faults(const worker_address& address);
    void set_capabilities(worker_capabilities offered) { capabilities_ = offered; }
    /// Returns the events of all workers in order of time.
    std::vector<history_entry> history() const;

    worker_capabilities capabilities() const override { return capabilities_; }
    void acquire(const worker_address& worker, const instance_id& owner,
                 callback<lease_grant> done) override;
    void release(const worker_address& worker, generation held,
                 callback<bool> done) override;
    void start(const worker_address& worker, generation held,
               std::vector<task_start> tasks,
               callback<std::vector<start_outcome>> done) override;
    void events(const worker_address& worker, generation held, std::uint64_t after,
                duration wait, callback<worker_events> done) override;
    void list(const worker_address& worker,
              callback<std::vector<task_report>> done) override;
    void task(const worker_address& worker, const task_id& id,
              callback<std::optional<task_report>> done) override;
    void acknowledge(const worker_address& worker, generation held,
                     std::vector<task_id> tasks, callback<bool> done) override;
    void control(const worker_address& worker, generation held, const task_id& id,
                 task_action action, callback<bool> done) override;

private:
    std::shared_ptr<fault_settings> faults_of(const worker_address& address);
    /// Calls \p change on the worker's state and answers with its result.
    template <class T>
    void change_state(const worker_address& worker, bool write,
                      std::function<result<T>(worker_state&)> change, callback<T> done);

    event_loop& loop_;
    duration timeout_;
    worker_capabilities capabilities_{true, true, true};
    std::map<worker_address, std::unique_ptr<hosted_worker>> workers_;
    std::map<worker_address, std::shared_ptr<fault_settings>> faults_;
    faulty_calls calls_;
};

/// Serves a host_list_state on an event loop.
class fake_host_list final : public host_list
{
public:
    fake_host_list(event_loop& loop, duration lag,
                   duration timeout = std::chrono::seconds(2))
        : timeout_(timeout), state_(loop.clock(), lag),
          faults_(std::make_shared<fault_settings>()), calls_(loop)
    {
    }

    host_list_state& state() { return state_; }
    fault_settings& faults() { return *faults_; }
    void list(callback done) override;

private:
    duration timeout_;
    host_list_state state_;
    std::shared_ptr<fault_settings> faults_;
    faulty_calls calls_;
};

} // namespace hawthornbeam::standins

#endif
