/// \file
/// Scheduler daemon: reads the settings, creates the components and runs the event loop.
#include "cost_metrics.hpp"
#include "hawthornbeam/api/http_api.hpp"
#include "hawthornbeam/platform/http_host_list.hpp"
#include "hawthornbeam/platform/http_kv_service.hpp"
#include "hawthornbeam/platform/http_worker_gateway.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <cstdio>
#include <fmt/format.h>
#include <glib-unix.h>

ABSL_FLAG(std::string, settings, "", "TOML settings file; see examples/hawthornd.toml");
ABSL_FLAG(bool, check, false, "check the settings, print all findings and exit");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace
{

using namespace hawthornbeam;

constexpr int exit_done = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
/// Polling period and upper bound of the wait for open HTTP requests during shutdown.
constexpr duration open_request_poll_period = std::chrono::milliseconds(20);
constexpr duration max_open_request_wait = std::chrono::seconds(5);

constexpr const char* usage = R"(Scheduler daemon of hawthornbeam.

Examples:
  hawthornd --settings=examples/hawthornd.toml
  hawthornd --settings=/etc/hawthornd.toml --log_level=debug
  hawthornd --settings=/etc/hawthornd.toml --check

When it listens, it prints one JSON line with its ports to standard output. SIGTERM or
SIGINT makes it hand over its work and end; a second signal logs what is still open.
Exit codes: 0 ended or the settings have no findings, 1 it could not start, 2 faulty
command line or settings.)";

std::string format_address(const std::string& ip, std::uint16_t port)
{
    const bool is_v6 = ip.find(':') != std::string::npos;
    return is_v6 ? fmt::format("[{}]:{}", ip, port) : fmt::format("{}:{}", ip, port);
}

std::uint64_t seed_of(const instance_settings& settings, const clock_source& clock)
{
    if (settings.seed != 0)
        return settings.seed;
    const std::uint64_t now =
        static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count());
    return now ^ std::hash<std::string>{}(settings.id.value());
}

/// Starts the shutdown of the instance at the first signal. Further signals log the open
/// work.
class shutdown_handler
{
public:
    shutdown_handler(glib_event_loop& loop, const logger& log, instance& scheduler,
                     const http_api& api)
        : loop_(loop), log_(log), scheduler_(scheduler), api_(api)
    {
        g_unix_signal_add(SIGTERM, on_signal, this);
        g_unix_signal_add(SIGINT, on_signal, this);
    }

private:
    static gboolean on_signal(gpointer data)
    {
        static_cast<shutdown_handler*>(data)->stop();
        return G_SOURCE_CONTINUE;
    }
    void stop()
    {
        if (stopping_)
            return log_.warning(
                "hawthornd", "still stopping",
                {{"open", scheduler_.open_work()},
                 {"http_requests", static_cast<std::uint64_t>(api_.open_requests())}});
        stopping_ = true;
        log_.info("hawthornd", "leaving");
        scheduler_.leave(
            [this]
            {
                log_.info("hawthornd", "left");
                quit_deadline_ = loop_.clock().now() + max_open_request_wait;
                quit_poll_ = loop_.every(open_request_poll_period,
                                         [this] { quit_if_no_open_requests(); });
            });
    }
    /// HTTP reads of jobs, tables and metrics may still be open after all work is handed
    /// over.
    void quit_if_no_open_requests()
    {
        if (api_.open_requests() == 0 || loop_.clock().now() >= quit_deadline_)
            loop_.quit();
    }

    glib_event_loop& loop_;
    const logger& log_;
    instance& scheduler_;
    const http_api& api_;
    bool stopping_ = false;
    boot_time quit_deadline_{};
    timer_handle quit_poll_;
};

int fail(const logger& log, const error& cause)
{
    log.error("hawthornd", "cannot start", {{"error", cause.message}});
    return exit_failure;
}

member self_member(const instance_settings& settings, std::uint16_t gossip_port,
                   std::uint16_t peer_port, const clock_source& clock)
{
    member self;
    self.id = settings.id;
    self.gossip = gossip_address(format_address(settings.listen_ip, gossip_port));
    self.peer = wire::peer_address(format_address(settings.listen_ip, peer_port));
    self.http = format_address(settings.listen_ip, settings.http_port);
    self.failure_domain = settings.failure_domain;
    self.incarnation_number = incarnation(
        static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count()));
    return self;
}

int serve(const instance_settings& settings, log_level level)
{
    glib_event_loop loop;
    const logger log(loop.clock(), settings.id.value(), level);
    const std::uint64_t seed = seed_of(settings, loop.clock());
    metrics_registry metrics;

    result<std::unique_ptr<udp_channel>> gossip =
        udp_channel::open(settings.listen_ip, settings.gossip_port);
    if (!gossip)
        return fail(log, gossip.error());
    wire::tcp_peer_network::options peer_options;
    peer_options.self = settings.id;
    peer_options.listen_ip = settings.listen_ip;
    peer_options.port = settings.peer_port;
    peer_options.accept_failed = [&metrics] {
        metrics.add("hawthornbeam_failed_accepts_total", {{"class", "peers"}});
    };
    result<std::unique_ptr<wire::tcp_peer_network>> peers =
        wire::tcp_peer_network::open(loop, log, peer_options);
    if (!peers)
        return fail(log, peers.error());

    membership::options member_options;
    member_options.self = self_member(settings, gossip.value()->port(),
                                      peers.value()->port(), loop.clock());
    for (const std::string& other : settings.seeds)
        member_options.seeds.emplace_back(other);
    member_options.seed = seed;
    membership members(loop, *gossip.value(), log, member_options);

    http_kv_service kv(loop, log, settings.kv_url);
    http_worker_gateway workers(loop, log);
    http_host_list hosts(loop, log, settings.host_list_url);
    table_store::options table_options;
    table_options.self = settings.id;
    table_options.seed = seed;
    table_store table(kv, loop, log, table_options);

    instance_options options;
    options.self = settings.id;
    options.failure_domain = settings.failure_domain;
    options.partitions = settings.partitions;
    options.seed = seed;
    options.drain_limit = settings.drain_limit;
    result<std::unique_ptr<instance>> scheduler =
        instance::create(instance_parts{loop, log, metrics, kv, workers, hosts,
                                        *peers.value(), members, table},
                         options);
    if (!scheduler)
        return fail(log, scheduler.error());
    result<std::unique_ptr<http_api>> api = http_api::open(http_api::parts{
        loop, log, metrics, *scheduler.value(), members, table, settings});
    if (!api)
        return fail(log, api.error());

    const cost_metrics costs(loop, metrics, kv, *peers.value(), *gossip.value());
    shutdown_handler handler(loop, log, *scheduler.value(), *api.value());
    scheduler.value()->start();
    fmt::print("{{\"http_port\":{},\"peer_port\":{},\"gossip_port\":{}}}\n",
               api.value()->port(), peers.value()->port(), gossip.value()->port());
    std::fflush(stdout);
    log.info("hawthornd", "started");
    loop.run();
    return exit_done;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string("hawthornd 0.1.0\n"); };
    absl::SetFlagsUsageConfig(config);
    absl::ParseCommandLine(argc, argv);

    const std::optional<log_level> level =
        parse_log_level(absl::GetFlag(FLAGS_log_level));
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (!level || file.empty())
    {
        fmt::print(stderr, "{}\n",
                   level ? "--settings is required"
                         : "--log_level must be debug, info, warning or error");
        return exit_usage;
    }
    const parsed_settings parsed = load_settings(file);
    for (const finding& fault : parsed.faults)
        fmt::print(stderr, "{}\n", fault.text());
    if (!parsed.settings)
        return exit_usage;
    if (absl::GetFlag(FLAGS_check))
        return exit_done;
    return serve(*parsed.settings, *level);
}
