/// \file
/// Interface to the platform's lagging list of hosts.
#ifndef HAWTHORNBEAM_PLATFORM_HOST_LIST_HPP
#define HAWTHORNBEAM_PLATFORM_HOST_LIST_HPP

#include "hawthornbeam/platform/worker_gateway.hpp"

namespace hawthornbeam
{

/// A worker as the host list shows it.
struct host_entry
{
    worker_id id;
    worker_address address;
    failure_domain_id failure_domain;
    rack_id rack;
    resources capacity;
    bool leaving = false; ///< No new work may be started there.
};

/// The platform's list of live and leaving workers. It lags behind the truth.
class host_list
{
public:
    using callback = std::function<void(result<std::vector<host_entry>>)>;

    virtual ~host_list() = default;
    /// Reads the whole list; \p done runs exactly once on the loop.
    virtual void list(callback done) = 0;
};

} // namespace hawthornbeam

#endif
