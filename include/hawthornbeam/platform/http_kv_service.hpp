/// \file
/// HTTP/JSON implementation of kv_service; docs/platform.md describes the protocol.
#ifndef HAWTHORNBEAM_PLATFORM_HTTP_KV_SERVICE_HPP
#define HAWTHORNBEAM_PLATFORM_HTTP_KV_SERVICE_HPP

#include "hawthornbeam/platform/kv_service.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>

namespace hawthornbeam
{

/// Timeouts and connection limit of calls to the key-value service.
struct http_kv_options
{
    duration timeout = std::chrono::seconds(2); ///< For calls other than watch.
    /// Added to the wait time of a watch to obtain its timeout.
    duration wait_margin = std::chrono::seconds(2);
    /// Each pending watch occupies one connection.
    unsigned max_connections = 8;
};

/// Cumulative numbers of calls and body bytes.
struct kv_traffic
{
    std::uint64_t calls = 0;    ///< Calls started, whether or not completed.
    std::uint64_t ended = 0;    ///< Calls whose callback has run.
    std::uint64_t failures = 0; ///< Calls that ended with an error other than conflict.
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
};

/// Calls the service at a base URL. Requires the default GLib main context. The
/// destructor cancels pending calls; their callbacks do not run.
class http_kv_service final : public kv_service
{
public:
    /// \p base_url is "http://IP:PORT"; \p loop and \p log must outlive the object.
    http_kv_service(event_loop& loop, const logger& log, std::string base_url,
                    http_kv_options options = {});
    ~http_kv_service() override;

    void read(kv_cause cause, const std::string& key,
              callback<std::optional<kv_entry>> done) override;
    void list(kv_cause cause, const std::string& prefix,
              callback<std::vector<kv_entry>> done) override;
    void write(kv_cause cause, const std::string& key, std::string value,
               kv_revision expected, callback<kv_revision> done) override;
    void remove(kv_cause cause, const std::string& key, kv_revision expected,
                callback<bool> done) override;
    void watch(kv_cause cause, const std::string& prefix, kv_revision after,
               duration wait, callback<kv_changes> done) override;

    /// Traffic of the calls made for \p cause.
    const kv_traffic& traffic(kv_cause cause) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
