/// \file
/// Per-instance wrappers of the shared platform fakes. Callbacks are queued while the
/// instance is paused.
#ifndef HAWTHORNBEAM_TEST_STANDINS_BOUND_PLATFORM_HPP
#define HAWTHORNBEAM_TEST_STANDINS_BOUND_PLATFORM_HPP

#include "hawthornbeam/platform/host_list.hpp"
#include "test/standins/pausable_loop.hpp"

#include <set>

namespace hawthornbeam::standins
{

/// Forwards the calls of one instance to the shared worker stand-ins. Workers in cut()
/// are unreachable for this instance only.
class bound_worker_gateway final : public worker_gateway
{
public:
    bound_worker_gateway(worker_gateway& shared, pausable_loop& loop)
        : shared_(shared), loop_(loop)
    {
    }

    std::set<worker_address>& cut() { return cut_; }
    std::uint64_t calls() const { return calls_; }

    worker_capabilities capabilities() const override { return shared_.capabilities(); }
    void acquire(const worker_address& worker, const instance_id& owner,
                 callback<lease_grant> done) override
    {
        if (check_reachable(worker, done))
            shared_.acquire(worker, owner, bind(std::move(done)));
    }
    void release(const worker_address& worker, generation held,
                 callback<bool> done) override
    {
        if (check_reachable(worker, done))
            shared_.release(worker, held, bind(std::move(done)));
    }
    void start(const worker_address& worker, generation held,
               std::vector<task_start> tasks,
               callback<std::vector<start_outcome>> done) override
    {
        if (check_reachable(worker, done))
            shared_.start(worker, held, std::move(tasks), bind(std::move(done)));
    }
    void events(const worker_address& worker, generation held, std::uint64_t after,
                duration wait, callback<worker_events> done) override
    {
        if (check_reachable(worker, done))
            shared_.events(worker, held, after, wait, bind(std::move(done)));
    }
    void list(const worker_address& worker,
              callback<std::vector<task_report>> done) override
    {
        if (check_reachable(worker, done))
            shared_.list(worker, bind(std::move(done)));
    }
    void task(const worker_address& worker, const task_id& id,
              callback<std::optional<task_report>> done) override
    {
        if (check_reachable(worker, done))
            shared_.task(worker, id, bind(std::move(done)));
    }
    void acknowledge(const worker_address& worker, generation held,
                     std::vector<task_id> tasks, callback<bool> done) override
    {
        if (check_reachable(worker, done))
            shared_.acknowledge(worker, held, std::move(tasks), bind(std::move(done)));
    }
    void control(const worker_address& worker, generation held, const task_id& id,
                 task_action action, callback<bool> done) override
    {
        if (check_reachable(worker, done))
            shared_.control(worker, held, id, action, bind(std::move(done)));
    }

private:
    template <class T>
    callback<T> bind(callback<T> done)
    {
        return [&loop = loop_, done = std::move(done)](result<T> answer)
        { loop.deliver([done, answer = std::move(answer)] { done(answer); }); };
    }
    /// Counts the call. If the worker is cut, fails the call and returns false.
    template <class T>
    bool check_reachable(const worker_address& worker, const callback<T>& done)
    {
        ++calls_;
        if (!cut_.contains(worker))
            return true;
        loop_.post(
            [done]
            { done(make_error(error_code::unavailable, "the worker is out of reach")); });
        return false;
    }

    worker_gateway& shared_;
    pausable_loop& loop_;
    std::set<worker_address> cut_;
    std::uint64_t calls_ = 0;
};

/// Forwards the host list requests of one instance to the shared host list.
class bound_host_list final : public host_list
{
public:
    bound_host_list(host_list& shared, pausable_loop& loop) : shared_(shared), loop_(loop)
    {
    }

    void list(callback done) override
    {
        shared_.list(
            [&loop = loop_, done = std::move(done)](result<std::vector<host_entry>> hosts)
            { loop.deliver([done, hosts = std::move(hosts)] { done(hosts); }); });
    }

private:
    host_list& shared_;
    pausable_loop& loop_;
};

} // namespace hawthornbeam::standins

#endif
