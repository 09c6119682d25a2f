/// \file
/// HTTP server of all platform stand-ins, on one event loop.
#ifndef HAWTHORNBEAM_TEST_STANDINS_PLATFORM_SERVER_HPP
#define HAWTHORNBEAM_TEST_STANDINS_PLATFORM_SERVER_HPP

#include "test/standins/http_handlers.hpp"

namespace hawthornbeam::standins
{

/// Options of platform_server.
struct platform_options
{
    std::size_t workers = 4;
    resources capacity{millicores(64000), byte_count(std::int64_t{256} << 30U),
                       accelerator_count(0)};
    std::size_t failure_domains = 3; ///< Assigned to workers round-robin.
    std::size_t workers_per_rack = 8;
    duration host_list_lag = std::chrono::milliseconds(500);
    duration usage_lag = std::chrono::seconds(2);
    std::uint16_t kv_port = 0; ///< For all ports, zero selects a free port.
    std::uint16_t hosts_port = 0;
    std::uint16_t control_port = 0;
    std::uint16_t first_worker_port = 0; ///< Port of worker 0; worker i adds i.
    std::uint64_t seed = 1;
};

/// Serves the key-value service, the host list, the workers and a control port with
/// POST /faults and GET /history, each on its own port of 127.0.0.1.
class platform_server
{
public:
    platform_server(event_loop& loop, const platform_options& options);

    std::string kv_url() const { return "http://" + kv_endpoint_.address(); }
    std::string hosts_url() const { return "http://" + hosts_endpoint_.address(); }
    std::string control_url() const { return "http://" + control_endpoint_.address(); }
    worker_address address_of(std::size_t worker) const;
    /// Returns all addresses as one line of JSON.
    std::string addresses_json() const;

    http_endpoint& kv_endpoint() { return kv_endpoint_; }
    http_endpoint& worker_endpoint(std::size_t worker);
    hosted_worker& worker(std::size_t worker);
    kv_state& kv() { return kv_.state(); }
    host_list_state& hosts() { return hosts_; }
    /// Returns the events of all workers in order of time, as JSON lines.
    std::string history_lines() const;
    std::string traffic_json() const;

private:
    struct served_worker
    {
        served_worker(event_loop& loop, worker_options options, std::uint16_t port,
                      std::uint64_t seed);

        hosted_worker worker;
        http_endpoint endpoint;
        host_entry host; ///< Entry listed while the machine is up.
        bool dead = false;
    };

    void add_worker(std::size_t index);
    void handle_control(const exchange_pointer& exchange);
    void change_faults(const std::string& body);
    void set_dead(served_worker& worker, bool dead);

    event_loop& loop_;
    platform_options options_;
    kv_handler kv_;
    host_list_state hosts_;
    std::vector<std::unique_ptr<served_worker>> workers_;
    http_endpoint kv_endpoint_;
    http_endpoint hosts_endpoint_;
    http_endpoint control_endpoint_;
};

} // namespace hawthornbeam::standins

#endif
