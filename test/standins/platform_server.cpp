#include "test/standins/platform_server.hpp"

#include "lib/platform/json_values.hpp"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace hawthornbeam::standins
{

namespace
{

std::string worker_name(std::size_t index)
{
    return fmt::format("worker-{}", index);
}

/// Applies the members of \p change that name a fault of the endpoint.
void change_endpoint(http_endpoint& endpoint, const json& change)
{
    fault_settings& faults = endpoint.faults();
    if (change.contains("down"))
        faults.unreachable = flag_at(change, "down");
    if (change.contains("silent"))
        faults.silent = flag_at(change, "silent");
    if (change.contains("delay_ms"))
        faults.delay = std::chrono::milliseconds(unsigned_at(change, "delay_ms"));
    if (change.contains("lose_answers"))
        faults.lose_answers = static_cast<int>(unsigned_at(change, "lose_answers"));
    if (change.contains("silence_open") && flag_at(change, "silence_open"))
        endpoint.silence_open_connections();
}

} // namespace

platform_server::served_worker::served_worker(event_loop& loop, worker_options options,
                                              std::uint16_t port, std::uint64_t seed)
    : worker(loop, std::move(options)),
      endpoint(loop, port, seed,
               [this](const exchange_pointer& exchange)
               { handle_worker_request(worker, exchange); })
{
}

platform_server::platform_server(event_loop& loop, const platform_options& options)
    : loop_(loop), options_(options), kv_(loop),
      hosts_(loop.clock(), options.host_list_lag),
      kv_endpoint_(loop, options.kv_port, options.seed,
                   [this](const exchange_pointer& exchange) { kv_.handle(exchange); }),
      hosts_endpoint_(loop, options.hosts_port, options.seed + 1,
                      [this](const exchange_pointer& exchange)
                      { handle_host_list_request(hosts_, exchange); }),
      control_endpoint_(loop, options.control_port, options.seed + 2,
                        [this](const exchange_pointer& exchange)
                        { handle_control(exchange); })
{
    assert(options.failure_domains > 0 && options.workers_per_rack > 0 &&
           "workers stand in a rack of a failure domain");
    for (std::size_t i = 0; i < options.workers; ++i)
        add_worker(i);
    hosts_.show_all();
}

void platform_server::add_worker(std::size_t index)
{
    const std::uint16_t port =
        options_.first_worker_port == 0
            ? std::uint16_t{0}
            : static_cast<std::uint16_t>(options_.first_worker_port + index);
    worker_options options;
    options.id = worker_id(worker_name(index));
    options.capacity = options_.capacity;
    options.usage_lag = options_.usage_lag;
    workers_.push_back(
        std::make_unique<served_worker>(loop_, options, port, options_.seed + 3 + index));
    const std::size_t domain = index % options_.failure_domains;
    const std::size_t rack = index / options_.failure_domains / options_.workers_per_rack;
    host_entry& host = workers_.back()->host;
    host = host_entry{options.id,
                      address_of(index),
                      failure_domain_id(fmt::format("domain-{}", domain)),
                      rack_id(fmt::format("rack-{}", rack)),
                      options.capacity,
                      false};
    hosts_.set(host);
}

worker_address platform_server::address_of(std::size_t worker) const
{
    assert(worker < workers_.size() && "there must be such a worker");
    return worker_address(workers_[worker]->endpoint.address());
}

http_endpoint& platform_server::worker_endpoint(std::size_t worker)
{
    assert(worker < workers_.size() && "there must be such a worker");
    return workers_[worker]->endpoint;
}

hosted_worker& platform_server::worker(std::size_t worker)
{
    assert(worker < workers_.size() && "there must be such a worker");
    return workers_[worker]->worker;
}

std::string platform_server::addresses_json() const
{
    json workers = json::array();
    for (std::size_t i = 0; i < workers_.size(); ++i)
        workers.push_back({{"id", worker_name(i)}, {"address", address_of(i).value()}});
    return print_json({{"kv", kv_url()},
                       {"hosts", hosts_url()},
                       {"control", control_url()},
                       {"workers", std::move(workers)}});
}

std::string platform_server::history_lines() const
{
    std::vector<const history_entry*> all;
    for (const std::unique_ptr<served_worker>& worker : workers_)
    {
        const hosted_worker& hosted = worker->worker;
        for (const history_entry& entry : hosted.state().history())
            all.push_back(&entry);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const history_entry* a, const history_entry* b)
                     { return a->at < b->at; });
    std::string lines;
    for (const history_entry* entry : all)
        lines += history_line(*entry) + "\n";
    return lines;
}

std::string platform_server::traffic_json() const
{
    http_endpoint::traffic workers;
    for (const std::unique_ptr<served_worker>& worker : workers_)
    {
        workers.calls += worker->endpoint.received().calls;
        workers.bytes += worker->endpoint.received().bytes;
    }
    const auto encode = [](const http_endpoint::traffic& received) {
        return json{{"calls", received.calls}, {"bytes", received.bytes}};
    };
    return print_json({{"kv", encode(kv_endpoint_.received())},
                       {"hosts", encode(hosts_endpoint_.received())},
                       {"workers", encode(workers)}});
}

void platform_server::handle_control(const exchange_pointer& exchange)
{
    if (exchange->method == "GET" && exchange->path == "/history")
    {
        exchange->reply(200, history_lines());
        return;
    }
    if (exchange->method == "GET" && exchange->path == "/calls")
    {
        exchange->reply(200, traffic_json());
        return;
    }
    if (exchange->method != "POST" || exchange->path != "/faults")
    {
        exchange->reply(404, R"({"error":"no such resource"})");
        return;
    }
    try
    {
        change_faults(exchange->body);
        exchange->reply(200, "{}");
    }
    catch (const std::exception& fault)
    {
        exchange->reply(400, print_json({{"error", fault.what()}}));
    }
}

void platform_server::change_faults(const std::string& body)
{
    const json change = parse_json(body);
    const std::string target = text_at(change, "target");
    if (target == "kv")
        change_endpoint(kv_endpoint_, change);
    else if (target == "hosts")
        change_endpoint(hosts_endpoint_, change);
    bool known = target == "kv" || target == "hosts";
    for (std::size_t i = 0; i < workers_.size(); ++i)
    {
        if (target != "workers" && target != worker_name(i))
            continue;
        known = true;
        served_worker& changed = *workers_[i];
        change_endpoint(changed.endpoint, change);
        if (change.contains("fail_everything"))
            changed.worker.state().fail_everything(flag_at(change, "fail_everything"));
        if (change.contains("lapse_lease") && flag_at(change, "lapse_lease"))
            changed.worker.state().lapse_lease();
        if (change.contains("leaving"))
            hosts_.set_leaving(worker_id(worker_name(i)), flag_at(change, "leaving"));
        if (change.contains("dead"))
            set_dead(changed, flag_at(change, "dead"));
        changed.worker.changed();
    }
    if (!known)
        throw malformed_json(target + " is no target");
}

void platform_server::set_dead(served_worker& worker, bool dead)
{
    if (worker.dead == dead)
        return;
    worker.dead = dead;
    if (!dead)
    {
        worker.endpoint.listen_again();
        hosts_.set(worker.host);
        return;
    }
    worker.worker.state().kill();
    worker.endpoint.stop_listening();
    hosts_.remove(worker.host.id);
}

} // namespace hawthornbeam::standins
