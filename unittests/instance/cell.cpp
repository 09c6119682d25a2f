/// \file
/// Implementation of the in-process test cluster.
#include "unittests/instance/cell.hpp"

#include <fmt/format.h>
#include <utility>

namespace hawthornbeam
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_length = milliseconds(10);

gossip_address gossip_of(std::size_t index)
{
    return gossip_address(fmt::format("10.0.0.{}:1", index + 1));
}

wire::peer_address peer_of(std::size_t index)
{
    return wire::peer_address(fmt::format("10.0.0.{}:2", index + 1));
}

table_row make_row(const char* name, workload kind, std::uint8_t priority)
{
    table_row row;
    row.id = row_id(name);
    row.kind = kind;
    row.priority = urgency(priority);
    row.limits.queue_length = 10000;
    return row;
}

} // namespace

test_cluster::test_cluster(cell_options settings)
    : options_(settings), network_(loop_, settings.seed),
      store_(std::make_shared<standins::fake_kv_store>()), workers_(loop_),
      hosts_(loop_, milliseconds(500))
{
    nodes_.resize(options_.instances);
    add_workers();
}

test_cluster::~test_cluster()
{
    for (std::size_t index = 0; index < nodes_.size(); ++index)
        if (nodes_[index])
            kill(index);
}

instance_id test_cluster::name(std::size_t index)
{
    return instance_id(fmt::format("entry-{}", index + 1));
}

worker_address test_cluster::address(std::size_t worker)
{
    return worker_address(fmt::format("10.1.0.{}:1", worker + 1));
}

void test_cluster::add_workers()
{
    for (std::size_t index = 0; index < options_.workers; ++index)
    {
        host_entry host;
        host.id = worker_id(fmt::format("worker-{}", index + 1));
        host.address = address(index);
        const std::size_t rack = index / options_.workers_per_rack;
        host.rack = rack_id(fmt::format("rack-{}", rack + 1));
        host.failure_domain = failure_domain_id(
            fmt::format("domain-{}", rack % options_.failure_domains + 1));
        host.capacity = options_.worker_capacity;
        standins::worker_options worker;
        worker.id = host.id;
        worker.capacity = host.capacity;
        workers_.add(host.address, worker);
        hosts_.state().set(host);
    }
    hosts_.state().show_all();
}

void test_cluster::start_instance(std::size_t index)
{
    nodes_[index] = std::make_unique<node>();
    node& fresh = *nodes_[index];
    const instance_id id = name(index);
    standins::pausable_loop& loop = network_.loop_of(id);
    ++started_instances_;
    fresh.log = std::make_unique<logger>(loop.clock(), id.value(), log_level::warning,
                                         [this](const std::string& line)
                                         { warnings_.push_back(line); });
    fresh.kv = std::make_unique<standins::fake_kv_service>(loop, store_);
    fresh.workers = std::make_unique<standins::bound_worker_gateway>(workers_, loop);
    fresh.hosts = std::make_unique<standins::bound_host_list>(hosts_, loop);
    fresh.channel = network_.make_channel(id, gossip_of(index));
    fresh.peers = network_.make_peers(id, peer_of(index));

    membership::options member_options;
    member_options.self.id = id;
    member_options.self.gossip = gossip_of(index);
    member_options.self.peer = peer_of(index);
    member_options.self.failure_domain =
        failure_domain_id(fmt::format("domain-{}", index % options_.failure_domains + 1));
    member_options.self.incarnation_number = incarnation(
        static_cast<std::uint64_t>(loop.clock().wall_now().time_since_epoch().count()));
    member_options.seeds = {gossip_of(0), gossip_of(1)};
    member_options.seed = options_.seed * 1000 + started_instances_;
    fresh.members =
        std::make_unique<membership>(loop, *fresh.channel, *fresh.log, member_options);

    table_store::options table_options;
    table_options.self = id;
    table_options.seed = member_options.seed;
    fresh.table =
        std::make_unique<table_store>(*fresh.kv, loop, *fresh.log, table_options);

    instance_options options;
    options.self = id;
    options.failure_domain = member_options.self.failure_domain;
    options.seed = member_options.seed;
    result<std::unique_ptr<instance>> made = instance::create(
        instance_parts{loop, *fresh.log, fresh.metrics, *fresh.kv, *fresh.workers,
                       *fresh.hosts, *fresh.peers, *fresh.members, *fresh.table},
        options);
    assert(made && "the stand-ins grant owner leases");
    fresh.scheduler = std::move(made).value();
    fresh.scheduler->start();
}

void test_cluster::start()
{
    for (std::size_t index = 0; index < nodes_.size(); ++index)
        start_instance(index);
    advance(seconds(3));
    install_table();
    const bool ready = advance_until(seconds(10),
                                     [this]
                                     {
                                         for (const std::unique_ptr<node>& one : nodes_)
                                             if (!one->scheduler->is_ready())
                                                 return false;
                                         return true;
                                     });
    assert(ready && "all instances become ready");
    static_cast<void>(ready);
    advance(seconds(3));
}

void test_cluster::install_table()
{
    table_row request_row = make_row("p/request", workload::request, 0);
    request_row.guaranteed = 0.2;
    table(0).replace({request_row, make_row("p/batch", workload::batch, 5),
                      make_row("h/gang", workload::gang, 4),
                      make_row("h/service", workload::service, 3)},
                     table_version(), "ops", [](const edit_outcome&) {});
}

void test_cluster::advance(duration step)
{
    loop_.advance(step);
}

bool test_cluster::advance_until(duration limit, const std::function<bool()>& done)
{
    const boot_time end = now() + limit;
    while (now() < end)
    {
        if (done())
            return true;
        loop_.advance(step_length);
    }
    return done();
}

void test_cluster::kill(std::size_t index)
{
    network_.kill(name(index));
    const std::unique_ptr<node> dead = std::move(nodes_[index]);
    dead->scheduler.reset();
    dead->table.reset();
    dead->members.reset();
    dead->peers.reset();
    dead->channel.reset();
}

void test_cluster::pause(std::size_t index)
{
    network_.pause(name(index));
}

void test_cluster::resume(std::size_t index)
{
    network_.resume(name(index));
}

void test_cluster::leave(std::size_t index)
{
    node& leaving = *nodes_.at(index);
    leaving.scheduler->leave([&leaving] { leaving.left = true; });
}

bool test_cluster::has_left(std::size_t index) const
{
    return nodes_.at(index)->left;
}

void test_cluster::kill_worker(std::size_t index)
{
    workers_.worker(address(index)).state().kill();
    workers_.faults(address(index)).unreachable = true;
    const worker_id id(fmt::format("worker-{}", index + 1));
    hosts_.state().remove(id);
}

void test_cluster::isolate(std::size_t index, bool from_workers, bool from_kv)
{
    for (std::size_t other = 0; other < nodes_.size(); ++other)
        if (other != index)
            network_.cut_both(name(index), name(other));
    if (from_workers)
        for (std::size_t worker = 0; worker < options_.workers; ++worker)
            nodes_.at(index)->workers->cut().insert(address(worker));
    kv(index).faults().is_cut = from_kv;
}

void test_cluster::heal()
{
    network_.heal_all();
    for (const std::unique_ptr<node>& one : nodes_)
    {
        if (!one)
            continue;
        one->workers->cut().clear();
        one->kv->faults().is_cut = false;
    }
}

void test_cluster::set_kv_faults(
    const std::function<void(standins::fake_kv_faults&)>& change)
{
    for (const std::unique_ptr<node>& one : nodes_)
        if (one)
            change(one->kv->faults());
}

wire::job_spec test_cluster::request(const std::string& id, int run_ms,
                                     int deadline_ms) const
{
    wire::job_spec spec = job("p/request", id, 1, run_ms, false);
    spec.synchronous = true;
    spec.deadline_ms = deadline_ms;
    return spec;
}

wire::job_spec test_cluster::job(const std::string& row, const std::string& id,
                                 std::uint32_t tasks, int run_ms, bool idempotent) const
{
    wire::job_spec spec;
    spec.row = row_id(row);
    spec.request = request_id(id);
    spec.id = job_id::derive(partner_of(spec.row), spec.request);
    spec.tasks = tasks;
    spec.size = resources{millicores(1000), byte_count(std::int64_t{1} << 30),
                          accelerator_count(0)};
    spec.idempotent = idempotent;
    spec.run_time_ms = run_ms;
    spec.payload = fmt::format("sleep={};{}", run_ms, id);
    return spec;
}

call_record& test_cluster::submit(std::size_t index, wire::job_spec job)
{
    calls_.emplace_back();
    call_record& record = calls_.back();
    record.job = job;
    at(index).submit(std::move(job),
                     [this, &record](result<wire::job_status> outcome)
                     {
                         record.answered = true;
                         record.answered_at = now();
                         record.has_status = outcome.has_value();
                         if (outcome)
                             record.status = outcome.value();
                         else
                             record.failure = outcome.error();
                     });
    return record;
}

result<wire::job_status> test_cluster::query(std::size_t index, const job_id& id)
{
    const std::shared_ptr<std::optional<result<wire::job_status>>> response =
        std::make_shared<std::optional<result<wire::job_status>>>();
    at(index).query(wire::job_query{id, false}, [response](result<wire::job_status> found)
                    { response->emplace(std::move(found)); });
    advance_until(seconds(10), [&] { return response->has_value(); });
    if (!response->has_value())
        return make_error(error_code::deadline_exceeded, "no response within 10 s");
    return **response;
}

bool test_cluster::is_done(std::size_t index, const job_id& id)
{
    const result<wire::job_status> found = query(index, id);
    return found && found.value().verdict == wire::job_verdict::done;
}

std::size_t test_cluster::starts_of(const job_id& id) const
{
    std::size_t starts = 0;
    for (const standins::history_entry& entry : workers_.history())
        if (entry.event == "start" && task_id::parse(entry.subject)->job == id)
            ++starts;
    return starts;
}

boot_time test_cluster::first_start_after(boot_time since) const
{
    for (const standins::history_entry& entry : workers_.history())
        if (entry.event == "start" && entry.at > since)
            return entry.at;
    return boot_time::max();
}

standins::recorded_history test_cluster::recorded() const
{
    standins::recorded_history history;
    std::map<worker_id, std::map<task_id, resources>> running;
    for (const standins::history_entry& entry : workers_.history())
    {
        const double at =
            std::chrono::duration<double>(entry.at.time_since_epoch()).count();
        const std::string& worker = entry.worker.value();
        history.capacities[worker] = options_.worker_capacity;
        if (entry.event == "kill")
        {
            // Tasks on a stopped machine end with it, without history entries of their
            // own.
            for (const auto& [id, size] : std::exchange(running[entry.worker], {}))
                history.events.push_back({at, worker, "end", id, size});
        }
        if (entry.event != "start" && entry.event != "end")
            continue;
        const task_id id = *task_id::parse(entry.subject);
        if (entry.event == "start")
            running[entry.worker][id] = entry.size;
        else
            running[entry.worker].erase(id);
        history.events.push_back({at, worker, entry.event, id, entry.size});
    }
    for (const call_record& call : calls_)
    {
        standins::caller_record caller{
            call.job.id,  call.job.idempotent, call.job.tasks,     call.job.payload,
            std::nullopt, call.answered,       call.status.results};
        if (call.has_status)
            caller.verdict = call.status.verdict;
        else if (call.answered && call.failure.code != error_code::outcome_unknown)
            caller.verdict = wire::job_verdict::not_run;
        history.callers.push_back(std::move(caller));
    }
    return history;
}

std::vector<std::string> test_cluster::violations() const
{
    std::vector<std::string> found;
    for (const standins::violation& one : standins::check_invariants(recorded()))
        found.push_back(fmt::format("{}: {}", one.invariant, one.text));
    return found;
}

} // namespace hawthornbeam
