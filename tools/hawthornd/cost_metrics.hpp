/// \file
/// Metrics of the resource usage of the daemon: calls, bytes, processor time and memory.
#ifndef HAWTHORNBEAM_TOOLS_HAWTHORND_COST_METRICS_HPP
#define HAWTHORNBEAM_TOOLS_HAWTHORND_COST_METRICS_HPP

#include "hawthornbeam/membership/membership.hpp"
#include "hawthornbeam/metrics/totals.hpp"
#include "hawthornbeam/platform/http_kv_service.hpp"
#include "hawthornbeam/wire/peer_network.hpp"

namespace hawthornbeam
{

/// Updates once a second the metrics of the key-value service, peer protocol and gossip
/// traffic, and of the resource usage of the process. docs/operators.md lists the names.
class cost_metrics
{
public:
    /// All arguments must outlive the object.
    cost_metrics(event_loop& loop, metrics_registry& metrics, const http_kv_service& kv,
                 const wire::tcp_peer_network& peers, const udp_channel& gossip);

private:
    void follow_kv(const http_kv_service& kv);
    void follow_networks(const wire::tcp_peer_network& peers, const udp_channel& gossip);
    void update();

    metrics_registry& metrics_;
    total_counters totals_;
    process_usage usage_;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
