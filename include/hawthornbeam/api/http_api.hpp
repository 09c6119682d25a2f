/// \file
/// HTTP API of an instance for callers and operators; see docs/api.md.
#ifndef HAWTHORNBEAM_API_HTTP_API_HPP
#define HAWTHORNBEAM_API_HTTP_API_HPP

#include "hawthornbeam/instance/instance.hpp"
#include "hawthornbeam/settings/settings.hpp"

#include <memory>

namespace hawthornbeam
{

/// Serves the API on a GLib loop.
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

    /// Listens; fails when the address cannot be bound.
    static result<std::unique_ptr<http_api>> open(const parts& services);
    ~http_api();

    std::uint16_t port() const;
    /// Requests whose response is still due.
    std::size_t open_requests() const;

private:
    class implementation;
    explicit http_api(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
