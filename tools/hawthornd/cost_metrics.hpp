/// \file
/// Metrics of what control costs: calls, bytes, processor time and memory.
#ifndef HAWTHORNBEAM_TOOLS_HAWTHORND_COST_METRICS_HPP
#define HAWTHORNBEAM_TOOLS_HAWTHORND_COST_METRICS_HPP

#include "hawthornbeam/membership/membership.hpp"
#include "hawthornbeam/metrics/totals.hpp"
#include "hawthornbeam/platform/http_kv_service.hpp"
#include "hawthornbeam/wire/peer_network.hpp"

namespace hawthornbeam
{

/// Writes the traffic of the key-value service, the inner protocol and gossip, and the
/// usage of the process, once a second. docs/operators.md lists the names.
class cost_metrics
{
public:
    /// All arguments outlive the object.
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
