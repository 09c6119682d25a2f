#include "cost_metrics.hpp"

#include <array>

namespace hawthornbeam
{

namespace
{

constexpr duration update_period = std::chrono::seconds(1);

struct named_cause
{
    kv_cause cause;
    const char* name;
};

constexpr std::array<named_cause, 4> causes{{{kv_cause::table, "table"},
                                             {kv_cause::journal, "journal"},
                                             {kv_cause::claim, "claim"},
                                             {kv_cause::recovery, "recovery"}}};

} // namespace

cost_metrics::cost_metrics(event_loop& loop, metrics_registry& metrics,
                           const http_kv_service& kv, const wire::tcp_peer_network& peers,
                           const udp_channel& gossip)
    : metrics_(metrics), totals_(metrics)
{
    follow_kv(kv);
    follow_networks(peers, gossip);
    totals_.follow("hawthornbeam_process_cpu_seconds_total", {},
                   [this] { return usage_.cpu_seconds; });
    update();
    timer_ = loop.every(update_period, [this] { update(); });
}

void cost_metrics::follow_kv(const http_kv_service& kv)
{
    for (const named_cause& one : causes)
    {
        const kv_traffic& traffic = kv.traffic(one.cause);
        const auto follow = [&](const char* name, const char* label, const char* value,
                                std::function<double()> total) {
            totals_.follow(name, {{"cause", one.name}, {label, value}}, std::move(total));
        };
        // A call is counted when it ends, since its outcome is not known before.
        follow("hawthornbeam_kv_calls_total", "outcome", "ok",
               [&traffic]
               { return static_cast<double>(traffic.ended - traffic.failures); });
        follow("hawthornbeam_kv_calls_total", "outcome", "unavailable",
               [&traffic] { return static_cast<double>(traffic.failures); });
        follow("hawthornbeam_kv_bytes_total", "direction", "sent",
               [&traffic] { return static_cast<double>(traffic.bytes_sent); });
        follow("hawthornbeam_kv_bytes_total", "direction", "received",
               [&traffic] { return static_cast<double>(traffic.bytes_received); });
    }
}

void cost_metrics::follow_networks(const wire::tcp_peer_network& peers,
                                   const udp_channel& gossip)
{
    totals_.follow("hawthornbeam_peer_bytes_total", {{"direction", "sent"}},
                   [&peers] { return static_cast<double>(peers.bytes_sent()); });
    totals_.follow("hawthornbeam_peer_bytes_total", {{"direction", "received"}},
                   [&peers] { return static_cast<double>(peers.bytes_received()); });
    totals_.follow("hawthornbeam_gossip_bytes_total", {{"direction", "sent"}},
                   [&gossip] { return static_cast<double>(gossip.bytes_sent()); });
    totals_.follow("hawthornbeam_gossip_bytes_total", {{"direction", "received"}},
                   [&gossip] { return static_cast<double>(gossip.bytes_received()); });
}

void cost_metrics::update()
{
    usage_ = read_process_usage();
    totals_.update();
    metrics_.set_gauge("hawthornbeam_process_resident_bytes", {},
                       static_cast<double>(usage_.resident_bytes));
}

} // namespace hawthornbeam
