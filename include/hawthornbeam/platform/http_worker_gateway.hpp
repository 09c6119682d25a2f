/// \file
/// HTTP/JSON implementation of worker_gateway; docs/platform.md describes the
/// protocol.
#ifndef HAWTHORNBEAM_PLATFORM_HTTP_WORKER_GATEWAY_HPP
#define HAWTHORNBEAM_PLATFORM_HTTP_WORKER_GATEWAY_HPP

#include "hawthornbeam/platform/worker_gateway.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>

namespace hawthornbeam
{

/// Timeouts and connection limit of calls to workers, and the workers' capabilities.
struct http_worker_options
{
    /// For calls other than events(). Shorter than the owner lease of 4 s, so that an
    /// owner can retry once before its lease expires.
    duration timeout = std::chrono::milliseconds(1500);
    /// Added to the wait time of events() to obtain its timeout.
    duration wait_margin = std::chrono::seconds(1);
    /// Per worker; a pending events() call occupies one connection.
    unsigned max_connections = 4;
    worker_capabilities capabilities{true, true, true};
};

/// Calls workers at "http://ADDRESS". Requires the default GLib main context. The
/// destructor cancels pending calls; their callbacks do not run.
class http_worker_gateway final : public worker_gateway
{
public:
    /// \p loop and \p log must outlive the object.
    http_worker_gateway(event_loop& loop, const logger& log,
                        http_worker_options options = {});
    ~http_worker_gateway() override;

    worker_capabilities capabilities() const override;
    void acquire(const worker_address& worker, const instance_id& owner,
                 callback<lease_grant> done) override;
    void release(const worker_address& worker, generation lease_generation,
                 callback<bool> done) override;
    void start(const worker_address& worker, generation lease_generation,
               std::vector<task_start> tasks,
               callback<std::vector<start_outcome>> done) override;
    void events(const worker_address& worker, generation lease_generation,
                std::uint64_t after, duration wait,
                callback<worker_events> done) override;
    void list(const worker_address& worker,
              callback<std::vector<task_report>> done) override;
    void task(const worker_address& worker, const task_id& id,
              callback<std::optional<task_report>> done) override;
    void acknowledge(const worker_address& worker, generation lease_generation,
                     std::vector<task_id> tasks, callback<bool> done) override;
    void control(const worker_address& worker, generation lease_generation,
                 const task_id& id, task_action action, callback<bool> done) override;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
