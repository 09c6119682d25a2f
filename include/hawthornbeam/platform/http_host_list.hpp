/// \file
/// HTTP/JSON implementation of host_list; docs/platform.md describes the protocol.
#ifndef HAWTHORNBEAM_PLATFORM_HTTP_HOST_LIST_HPP
#define HAWTHORNBEAM_PLATFORM_HTTP_HOST_LIST_HPP

#include "hawthornbeam/platform/host_list.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>

namespace hawthornbeam
{

/// Reads the list from a base URL. Requires the default GLib main context. The
/// destructor cancels pending calls; their callbacks do not run.
class http_host_list final : public host_list
{
public:
    /// \p base_url is "http://IP:PORT"; \p loop and \p log must outlive the object.
    http_host_list(event_loop& loop, const logger& log, std::string base_url,
                   duration timeout = std::chrono::seconds(2));
    ~http_host_list() override;

    void list(callback done) override;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
