/// \file
/// Interface to the platform's list of hosts, which lags behind the actual state.
#ifndef HAWTHORNBEAM_PLATFORM_HOST_LIST_HPP
#define HAWTHORNBEAM_PLATFORM_HOST_LIST_HPP

#include "hawthornbeam/platform/worker_gateway.hpp"

namespace hawthornbeam
{

/// A worker as listed by the platform.
struct host_entry
{
    worker_id id;
    worker_address address;
    failure_domain_id failure_domain;
    rack_id rack;
    resources capacity;
    bool leaving = false; ///< No new tasks may be started on it.
};

/// The platform's list of live and leaving workers. The list may be out of date.
class host_list
{
public:
    using callback = std::function<void(result<std::vector<host_entry>>)>;

    virtual ~host_list() = default;
    /// Reads the whole list; \p done runs exactly once, on the event loop.
    virtual void list(callback done) = 0;
};

} // namespace hawthornbeam

#endif
