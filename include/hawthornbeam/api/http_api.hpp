/// \file
/// HTTP server of an instance for clients and operators; docs/api.md specifies the API.
#ifndef HAWTHORNBEAM_API_HTTP_API_HPP
#define HAWTHORNBEAM_API_HTTP_API_HPP

#include "hawthornbeam/instance/instance.hpp"
#include "hawthornbeam/settings/settings.hpp"

#include <memory>

namespace hawthornbeam
{

/// Serves the HTTP API on a GLib main loop.
class http_api
{
public:
    struct parts
    {
        event_loop& loop;
        const logger& log;
        metrics_registry& metrics;
        instance& scheduler;
        membership& members;
        table_store& table;
        const instance_settings& settings;
    };

    /// Starts listening; fails when the address cannot be bound.
    static result<std::unique_ptr<http_api>> open(const parts& services);
    ~http_api();

    std::uint16_t port() const;
    /// Returns the number of requests that have not been answered yet.
    std::size_t open_requests() const;

private:
    class implementation;
    explicit http_api(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
