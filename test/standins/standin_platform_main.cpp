/// \file
/// Server program with stand-ins for the key-value service, the host list and the
/// workers.
#include "test/standins/platform_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <glib-unix.h>

ABSL_FLAG(std::uint32_t, workers, 6, "number of workers");
ABSL_FLAG(std::int64_t, cores, 64, "processor cores of each worker");
ABSL_FLAG(std::int64_t, memory_mb, 262144, "memory of each worker in MiB");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators of each worker");
ABSL_FLAG(std::uint32_t, workers_per_rack, 8, "workers of each rack");
ABSL_FLAG(std::uint32_t, failure_domains, 3, "failure domains");
ABSL_FLAG(std::uint32_t, host_list_lag_ms, 500, "age of what the host list shows");
ABSL_FLAG(std::uint32_t, usage_lag_ms, 2000, "age and period of usage reports");
ABSL_FLAG(std::uint16_t, kv_port, 0, "port of the key-value service; 0 picks one");
ABSL_FLAG(std::uint16_t, hosts_port, 0, "port of the host list; 0 picks one");
ABSL_FLAG(std::uint16_t, control_port, 0, "port of /faults and /history; 0 picks one");
ABSL_FLAG(std::uint16_t, worker_port, 0, "port of the first worker; 0 picks all");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the spread of delays");

namespace
{

using hawthornbeam::glib_event_loop;

hawthornbeam::standins::platform_options options_from_flags()
{
    hawthornbeam::standins::platform_options options;
    options.workers = absl::GetFlag(FLAGS_workers);
    options.capacity = hawthornbeam::resources{
        hawthornbeam::millicores(absl::GetFlag(FLAGS_cores) * 1000),
        hawthornbeam::byte_count(absl::GetFlag(FLAGS_memory_mb) << 20U),
        hawthornbeam::accelerator_count(absl::GetFlag(FLAGS_accelerators))};
    options.failure_domains = absl::GetFlag(FLAGS_failure_domains);
    options.workers_per_rack = absl::GetFlag(FLAGS_workers_per_rack);
    options.host_list_lag =
        std::chrono::milliseconds(absl::GetFlag(FLAGS_host_list_lag_ms));
    options.usage_lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_usage_lag_ms));
    options.kv_port = absl::GetFlag(FLAGS_kv_port);
    options.hosts_port = absl::GetFlag(FLAGS_hosts_port);
    options.control_port = absl::GetFlag(FLAGS_control_port);
    options.first_worker_port = absl::GetFlag(FLAGS_worker_port);
    options.seed = absl::GetFlag(FLAGS_seed);
    return options;
}

gboolean quit_loop(gpointer loop)
{
    static_cast<glib_event_loop*>(loop)->quit();
    return G_SOURCE_CONTINUE;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Serves stand-ins of the platform on 127.0.0.1; prints their addresses as one "
        "line of JSON when ready. docs/platform.md describes the protocols.");
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_failure_domains) == 0 ||
        absl::GetFlag(FLAGS_workers_per_rack) == 0)
    {
        std::fputs("--failure_domains and --workers_per_rack must be positive\n", stderr);
        return 2;
    }
    glib_event_loop loop;
    hawthornbeam::standins::platform_server server(loop, options_from_flags());
    g_unix_signal_add(SIGTERM, quit_loop, &loop);
    g_unix_signal_add(SIGINT, quit_loop, &loop);
    std::printf("%s\n", server.addresses_json().c_str());
    std::fflush(stdout);
    loop.run();
    return 0;
}
