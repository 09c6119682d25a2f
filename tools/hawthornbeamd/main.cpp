/// \file
/// Scheduler daemon on the users' platform. Connects a cell node with the platform's
/// store, runners, advice service and clients.
#include "hawthornbeam/support/bounded_log.hpp"
#include "hawthornbeam/support/text_file.hpp"
#include "platform/configuration.hpp"
#include "platform/ingress.hpp"
#include "platform/runner_client.hpp"
#include "platform/runner_registry.hpp"
#include "platform/settings.hpp"
#include "platform/store_client.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>
#include <glib-unix.h>
#include <unistd.h>

ABSL_FLAG(std::string, settings, "",
          "TOML settings file; the default is the path in HAWTHORNBEAM_CONFIG");
ABSL_FLAG(std::uint16_t, metrics_port, 9464,
          "port of /metrics; must match the deploy file");
ABSL_FLAG(bool, check, false, "check the settings, print all findings and exit");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace
{

using namespace hawthornbeam;

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;
/// Number of kept connections to one host. A runner serves 64 connections in all.
constexpr unsigned connections_per_host = 8;
/// Those of them that only polls use.
constexpr unsigned connections_for_polls = 1;
/// Number of connections to the store. More than the watches, the writes of a receiver
/// and those of an owner together, so that none waits for a connection.
constexpr unsigned store_connections = 32;
/// Fractions of the descriptors, as divisors, for connections to workers, and for those
/// to peers and from them. Clients take half of the descriptors.
constexpr std::size_t runner_descriptor_divisor = 4;
constexpr std::size_t peer_descriptor_divisor = 16;
constexpr std::size_t min_connections = 16;
/// While stopping, the process serves requests for at least this fraction of its grace
/// time.
constexpr double min_serving_fraction = 0.5;
/// If requests are still open then, it goes on serving up to this fraction.
constexpr double max_serving_fraction = 0.8;
/// Period for writing buffered log lines that a slow reader of stdout has not accepted.
constexpr duration flush_period = std::chrono::milliseconds(1000);
constexpr duration stop_check_period = std::chrono::milliseconds(50);
/// Period for updates of the gauges of pending calls.
constexpr duration gauge_period = std::chrono::milliseconds(1000);
/// Upper limit of worker leases. A lease must outlast a takeover, which needs 3 to 4 s.
constexpr duration max_worker_lease = std::chrono::milliseconds(6000);

constexpr const char* usage = R"(Scheduler daemon of hawthornbeam on the users' platform.

Examples:
  hawthornbeamd
  hawthornbeamd --settings=/etc/hawthornbeam/node.toml --check

On SIGTERM it hands over its work, answers open requests and exits. On SIGHUP it checks
the settings file again but does not apply it.
Exit codes: 0 normal exit, or settings without findings; 1 startup failed; 2 invalid
command line or settings.)";

/// Returns how many descriptors the process may open.
std::size_t max_descriptors(const adapter::process_settings& settings)
{
    return std::min(settings.max_descriptors, descriptor_limit());
}

unsigned descriptor_share(const adapter::process_settings& settings, std::size_t divisor)
{
    return static_cast<unsigned>(
        std::max(min_connections, max_descriptors(settings) / divisor));
}

admission_limits client_limits(const adapter::process_settings& settings)
{
    admission_limits limits = limits_for(
        {static_cast<std::size_t>(settings.memory.value()), max_descriptors(settings)});
    limits.request_memory_bytes =
        settings.request_memory_bytes.value_or(limits.request_memory_bytes);
    std::size_t& connections =
        limits.max_connections[static_cast<std::size_t>(client_class::callers)];
    connections = settings.max_client_connections.value_or(connections);
    return limits;
}

/// Owns and connects all components of the daemon.
class process
{
public:
    process(glib_event_loop& loop, const logger& log,
            const adapter::process_settings& settings, std::uint64_t seed)
        : loop_(loop), log_(log), settings_(settings), random_(seed),
          store_http_(loop, log, {store_connections}, connection_use::kept),
          runner_http_(loop, log,
                       {connections_per_host,
                        descriptor_share(settings, runner_descriptor_divisor),
                        connections_for_polls},
                       connection_use::kept),
          store_(loop.clock(), store_http_, metrics_, settings.store_address),
          runners_(runner_http_, metrics_, settings.advice_address),
          registry_(loop, store_, log),
          configuration_(loop, store_, log,
                         [this](const adapter::configuration& version)
                         { node_->configure(version.queues); })
    {
    }

    result<bool> start();
    void stop();

private:
    void quit_when_served();
    result<bool> open_network();
    void update_gauges();

    glib_event_loop& loop_;
    const logger& log_;
    adapter::process_settings settings_;
    random_source random_;
    metrics_registry metrics_;
    http_client store_http_;
    http_client runner_http_;
    adapter::store_client store_;
    adapter::runner_client runners_;
    adapter::runner_registry registry_;
    adapter::configuration_follower configuration_;
    std::unique_ptr<wire::tcp_peer_network> network_;
    std::unique_ptr<cell::node> node_;
    std::unique_ptr<adapter::ingress> ingress_;
    bool stopping_ = false;
    boot_time min_stop_time_{};
    timer_handle stop_timer_;
    timer_handle gauge_timer_;
};

result<bool> process::open_network()
{
    wire::tcp_peer_network::options options;
    options.self = instance_id(fmt::format("{}.{:08x}", settings_.host_name,
                                           static_cast<std::uint32_t>(random_.next())));
    options.listen_ip = settings_.ip;
    options.max_connections = descriptor_share(settings_, peer_descriptor_divisor);
    options.accept_failed = [this] {
        metrics_.add("hawthornbeam_failed_accepts_total", {{"class", "peers"}});
    };
    error last_error = make_error(error_code::unavailable, "the port range is empty");
    // A process that is shutting down may still have a port open, so try all of them.
    for (std::uint32_t port = settings_.first_peer_port; port <= settings_.last_peer_port;
         ++port)
    {
        options.port = static_cast<std::uint16_t>(port);
        result<std::unique_ptr<wire::tcp_peer_network>> opened =
            wire::tcp_peer_network::open(loop_, log_, options);
        if (!opened)
        {
            last_error = opened.error();
            continue;
        }
        network_ = std::move(opened).value();
        cell::node_parts parts{
            loop_,
            store_,
            runners_,
            registry_,
            *network_,
            random_,
            log_,
            metrics_,
            options.self,
            cell::endpoint(fmt::format("{}:{}", settings_.ip, network_->port())),
            static_cast<std::uint32_t>(settings_.processor_share * 1000),
            cell::scheduler_limits()};
        parts.limits.max_lease = std::min(settings_.max_lease, max_worker_lease);
        parts.limits.max_granted_lease = settings_.max_lease;
        parts.limits.drain_limit = settings_.drain_limit;
        node_ = std::make_unique<cell::node>(parts);
        return true;
    }
    return last_error;
}

result<bool> process::start()
{
    BOOST_OUTCOME_TRY(open_network());
    result<std::unique_ptr<adapter::ingress>> opened = adapter::ingress::open(
        {loop_, *node_, configuration_, log_, metrics_, client_limits(settings_)},
        settings_.client_address, settings_.readiness_address,
        cell::endpoint(
            fmt::format("{}:{}", settings_.ip, absl::GetFlag(FLAGS_metrics_port))));
    if (!opened)
        return opened.error();
    ingress_ = std::move(opened).value();
    node_->start();
    configuration_.start();
    gauge_timer_ = loop_.every(gauge_period, [this] { update_gauges(); });
    log_.info("process", "started",
              {{"share", static_cast<int>(settings_.processor_share * 1000)}});
    return true;
}

void process::update_gauges()
{
    for (const auto& [server, client] :
         {std::pair("store", &store_http_), std::pair("workers", &runner_http_)})
    {
        const pending_calls calls = client->pending();
        metrics_.set_gauge("hawthornbeam_pending_calls",
                           {{"server", server}, {"state", "open"}},
                           static_cast<double>(calls.open));
        metrics_.set_gauge("hawthornbeam_pending_calls",
                           {{"server", server}, {"state", "waiting"}},
                           static_cast<double>(calls.waiting));
    }
}

void process::stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    log_.info("process", "stopping", {});
    ingress_->drain();
    min_stop_time_ =
        loop_.clock().now() +
        std::chrono::duration_cast<duration>(settings_.stop_grace * min_serving_fraction);
    node_->leave([this] { log_.info("process", "handed over", {}); });
    stop_timer_ = loop_.every(stop_check_period, [this] { quit_when_served(); });
}

void process::quit_when_served()
{
    const boot_time now = loop_.clock().now();
    if (now < min_stop_time_)
        return;
    const boot_time max_stop_time =
        min_stop_time_ +
        std::chrono::duration_cast<duration>(
            settings_.stop_grace * (max_serving_fraction - min_serving_fraction));
    if (ingress_->open_requests() > 0 && now < max_stop_time)
        return;
    log_.info("process", "stopped", {});
    loop_.quit();
}

gboolean on_stop(gpointer data)
{
    static_cast<process*>(data)->stop();
    return G_SOURCE_CONTINUE;
}

/// Returns the path from --settings, else from HAWTHORNBEAM_CONFIG, else an empty string.
std::string settings_file()
{
    const std::string named = absl::GetFlag(FLAGS_settings);
    const char* variable = std::getenv("HAWTHORNBEAM_CONFIG");
    return named.empty() && variable != nullptr ? std::string(variable) : named;
}

/// Checks the settings file but does not apply it: addresses and limits are fixed for the
/// lifetime of the process.
gboolean on_reload(gpointer data)
{
    const logger& log = *static_cast<const logger*>(data);
    const std::string file = settings_file();
    const std::optional<std::string> text = read_text_file(file);
    if (!text)
    {
        log.warning("process", "cannot read the settings again", {{"file", file}});
        return G_SOURCE_CONTINUE;
    }
    const adapter::read_settings_result read = adapter::read_settings(*text, file);
    for (const finding& fault : read.faults)
        log.warning("process", "changed settings are faulty",
                    {{"finding", fault.text()}});
    log.info("process", "settings read again",
             {{"findings", std::uint64_t{read.faults.size()}}});
    return G_SOURCE_CONTINUE;
}

int run()
{
    const std::string file = settings_file();
    const std::optional<std::string> text = read_text_file(file);
    if (!text)
    {
        fmt::print(stderr, "hawthornbeamd: cannot read the settings file '{}'\n", file);
        return exit_usage;
    }
    const adapter::read_settings_result read = adapter::read_settings(*text, file);
    for (const finding& fault : read.faults)
        fmt::print(stderr, "{}\n", fault.text());
    if (!read.settings)
        return exit_usage;
    if (absl::GetFlag(FLAGS_check))
        return exit_success;
    const std::optional<log_level> level =
        parse_log_level(absl::GetFlag(FLAGS_log_level));
    if (!level)
    {
        fmt::print(stderr,
                   "hawthornbeamd: --log_level must be debug, info, warning or error\n");
        return exit_usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    glib_event_loop loop;
    bounded_log lines(loop.clock(), STDOUT_FILENO);
    const logger log(loop.clock(), read.settings->host_name, *level, lines);
    const timer_handle flush_timer =
        loop.every(flush_period, [&lines] { lines.flush(); });
    const std::uint64_t seed =
        static_cast<std::uint64_t>(loop.clock().wall_now().time_since_epoch().count()) ^
        (static_cast<std::uint64_t>(getpid()) << 32U) ^
        std::hash<std::string>{}(read.settings->host_name);
    process daemon(loop, log, *read.settings, seed);
    const result<bool> started = daemon.start();
    if (!started)
    {
        log.error("process", "cannot start", {{"reason", started.error().message}});
        return exit_failure;
    }
    g_unix_signal_add(SIGTERM, on_stop, &daemon);
    g_unix_signal_add(SIGINT, on_stop, &daemon);
    g_unix_signal_add(SIGHUP, on_reload, const_cast<logger*>(&log));
    loop.run();
    return exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage);
    absl::ParseCommandLine(argc, argv);
    return run();
}
