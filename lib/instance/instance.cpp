#include "hawthornbeam/instance/instance.hpp"

#include "hawthornbeam/membership/rendezvous.hpp"
#include "lib/instance/implementation.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

constexpr duration gauge_period = std::chrono::seconds(1);
/// Period of the timer that detects pauses of the process, and the shortest gap between
/// two of its runs that counts as a pause. The gap equals the suspicion time of design
/// section 4: after a shorter pause no other instance has taken over any ownership.
constexpr duration pause_check_period = std::chrono::milliseconds(250);
constexpr duration min_pause = std::chrono::milliseconds(1500);
constexpr duration fetch_deadline = std::chrono::seconds(1);
constexpr duration drain_poll = std::chrono::milliseconds(50);
/// Delay between the last open request of a leaving instance and its exit, so that its
/// successors have learned of the departure.
constexpr duration departure_notice_time = std::chrono::milliseconds(500);

context make_context(const instance_parts& parts, wire::peer_network& peers,
                     const instance_options& options)
{
    return context{instance_parts{parts.loop, parts.log, parts.metrics, parts.kv,
                                  parts.workers, parts.hosts, peers, parts.members,
                                  parts.table},
                   options, random_source(options.seed)};
}

double fraction_of(const resources& used, const resources& capacity)
{
    const auto ratio = [](std::int64_t part, std::int64_t whole)
    { return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole); };
    return std::max({ratio(used.processors.value(), capacity.processors.value()),
                     ratio(used.memory.value(), capacity.memory.value()),
                     ratio(used.accelerators.value(), capacity.accelerators.value())});
}

} // namespace

instance::implementation::implementation(const instance_parts& parts,
                                         const instance_options& options)
    : network(parts.loop, parts.peers, options.self, parts.members.self().peer),
      shared(make_context(parts, network, options)), workers(shared), loads(shared),
      slices(shared, workers, [this](const task_id& task) { return job_owner_of(task); }),
      jobs(shared, workers, loads), routes(shared)
{
}

void instance::implementation::start()
{
    started = true;
    last_pause_check = shared.now();
    pause_check_timer =
        shared.parts.loop.every(pause_check_period, [this] { check_for_pause(); });
    network.serve(shared.guarded(
        [this](const instance_id& from, wire::request message, reply_callback answer)
        { handle(from, std::move(message), std::move(answer)); }));
    shared.parts.members.on_change(shared.guarded([this] { members_changed(); }));
    shared.parts.members.on_newer_table(
        shared.guarded([this](const member& from) { fetch_table(from); }));
    shared.parts.table.on_installed(
        shared.guarded([this](const operators_table& table) { table_installed(table); }));
    workers.on_change(
        [this]
        {
            if (!settled)
                return;
            slices.follow_assignment();
            jobs.schedule_dispatch();
        });
    loads.on_change([this] { slices.set_remote_usage(loads.remote_usage()); });
    shared.parts.table.start();
    shared.parts.members.start();
    workers.start();
    loads.start();
    settle_timer =
        shared.parts.loop.after(shared.options.settle_time, [this] { settle(); });
    gauges_timer = shared.parts.loop.every(gauge_period,
                                           [this]
                                           {
                                               check_isolation();
                                               check_claims();
                                               fetch_missed_table();
                                               update_gauges();
                                           });
}

void instance::implementation::settle()
{
    settled = true;
    table_installed(shared.parts.table.current());
    members_changed();
}

bool instance::implementation::is_alone() const
{
    const std::vector<instance_id> candidates = shared.parts.members.candidates();
    return std::all_of(candidates.begin(), candidates.end(),
                       [&](const instance_id& id) { return id == shared.options.self; });
}

bool instance::implementation::is_known_alive(const instance_id& id) const
{
    const member* known = shared.parts.members.find(id);
    return known != nullptr && known->state != member_state::dead;
}

void instance::implementation::members_changed()
{
    if (!settled)
        return;
    std::vector<instance_id> local;
    for (const instance_id& id : shared.parts.members.candidates())
    {
        const member* candidate = shared.parts.members.find(id);
        if (candidate != nullptr &&
            candidate->failure_domain == shared.options.failure_domain)
            local.push_back(id);
    }
    shared.parts.table.set_watching(rendezvous_owner("table", local) ==
                                    shared.options.self);
    check_claims();
    loads.forget_departed();
    workers.members_changed();
    slices.members_changed();
    slices.follow_assignment();
    jobs.members_changed();
}

void instance::implementation::table_installed(const operators_table& table)
{
    slices.set_table(table);
    shared.parts.members.set_table_version(table.version);
    jobs.schedule_dispatch();
}

void instance::implementation::fetch_table(const member& from)
{
    shared.parts.peers.call(
        from.peer, wire::table_fetch{shared.parts.table.current().version},
        fetch_deadline,
        shared.guarded(
            [this](result<wire::reply> answer)
            {
                const wire::table_reply* reply =
                    answer ? std::get_if<wire::table_reply>(&answer.value()) : nullptr;
                if (reply == nullptr || reply->json.empty())
                    return;
                const parsed_table parsed = parse_table_json(reply->json);
                if (parsed.table)
                    shared.parts.table.install(*parsed.table);
                else
                    shared.parts.log.error("table", "a peer sent a faulty table",
                                           {{"finding", parsed.faults.front().text()}});
            }));
}

void instance::implementation::fetch_missed_table()
{
    // The member list reports a newer version only once, so a failed fetch is retried
    // here.
    const std::vector<member> known = shared.parts.members.members();
    const auto newest = std::max_element(known.begin(), known.end(),
                                         [](const member& a, const member& b)
                                         { return a.table < b.table; });
    if (newest != known.end() && newest->table > shared.parts.table.current().version)
        fetch_table(*newest);
}

void instance::implementation::check_isolation()
{
    // An instance that has had no contact with a peer may be the only one of the cluster,
    // so it is not considered isolated.
    const boot_time contact = shared.parts.members.last_contact();
    const bool knows_others = contact != boot_time::min();
    const boot_time last = std::max(contact, shared.parts.table.last_answer());
    slices.set_paused(knows_others &&
                      shared.now() - last > shared.options.isolation_limit);
}

void instance::implementation::check_claims()
{
    // Peers that marked this instance dead may have claimed its partitions. This instance
    // then refuted the mark with a higher incarnation, which shows here.
    const incarnation current_incarnation =
        shared.parts.members.self().incarnation_number;
    if (known_incarnation != incarnation() && current_incarnation != known_incarnation)
        jobs.confirm_claims();
    known_incarnation = current_incarnation;
}

void instance::implementation::update_gauges()
{
    metrics_registry& metrics = shared.parts.metrics;
    wire::status_reply own = status(wire::status_request{false, true});
    std::map<row_id, wire::row_load> sums;
    for (const wire::row_load& load : own.rows)
        sums[load.row] = load;
    for (const policy::row_usage& load : loads.remote_usage())
        sums[load.row].running += load.running;
    for (const table_row& row : shared.parts.table.current().rows)
    {
        const metric_labels labels{{"row", row.id.value()}};
        const wire::row_load& load = sums[row.id];
        metrics.set_gauge("hawthornbeam_row_share", labels,
                          fraction_of(load.running, workers.capacity()));
        metrics.set_gauge("hawthornbeam_row_guaranteed", labels, row.guaranteed);
        metrics.set_gauge("hawthornbeam_row_waiting", labels, load.tasks_waiting);
    }
    std::map<std::string, double> states{
        {"schedulable", 0}, {"leaving", 0}, {"quarantined", 0}, {"lease_lost", 0}};
    for (const wire::worker_status& worker : own.workers)
    {
        if (!worker.lease_held)
            ++states["lease_lost"];
        else if (worker.leaving || worker.drained)
            ++states["leaving"];
        else if (!worker.unschedulable_reason.empty())
            ++states["quarantined"];
        else
            ++states["schedulable"];
    }
    for (const auto& [state, count] : states)
        metrics.set_gauge("hawthornbeam_workers", {{"state", state}}, count);
    metrics.set_gauge("hawthornbeam_capacity_free_fraction", {},
                      fraction_of(own.free, own.capacity));
    metrics.set_gauge("hawthornbeam_kv_reachable", {}, own.kv_reachable ? 1 : 0);
    metrics.set_gauge("hawthornbeam_live_jobs", {},
                      static_cast<double>(jobs.live_jobs()));
    metrics.set_gauge("hawthornbeam_table_version", {},
                      static_cast<double>(own.table.value()));
    own.workers.clear();
    loads.set_own(std::move(own));
    slices.set_remote_usage(loads.remote_usage());
}

instance_id instance::implementation::job_owner_of(const task_id& task) const
{
    return partition_owner_of(shared.parts.members,
                              task.job.partition(shared.options.partitions));
}

wire::status_reply
instance::implementation::status(const wire::status_request& request) const
{
    wire::status_reply reply;
    reply.id = shared.options.self;
    reply.failure_domain = shared.options.failure_domain;
    reply.table = shared.parts.table.current().version;
    reply.leaving = leaving;
    const boot_time answered = shared.parts.table.last_answer();
    reply.kv_reachable =
        answered != boot_time::min() && shared.now() - answered < std::chrono::minutes(2);
    reply.partitions = jobs.partitions();
    slices.describe(reply, request.with_workers);
    if (request.with_metrics)
        reply.metrics = shared.parts.metrics.snapshot();
    return reply;
}

void instance::implementation::begin_leaving()
{
    const bool may_hand_over = !is_alone() || routes.open_submissions() == 0;
    if (leave_announced || !may_hand_over)
        return;
    leave_announced = true;
    shared.parts.members.announce_leaving();
    slices.leave(shared.guarded([this] { slices_released = true; }));
    jobs.leave(shared.guarded([this] { partitions_released = true; }));
}

void instance::implementation::poll_leaving()
{
    begin_leaving();
    const bool all_done = leave_announced && slices_released && partitions_released &&
                          routes.open_submissions() == 0 && slices.open_work() == 0;
    const bool late = shared.now() >= leave_limit;
    if (late && !all_done)
        shared.parts.log.warning("instance", "the drain limit has passed with work open");
    if (!all_done && !late)
        return;
    leave_timer = shared.parts.loop.after(departure_notice_time,
                                          [this]
                                          {
                                              const std::function<void()> done =
                                                  std::move(leave_callback);
                                              leave_callback = nullptr;
                                              if (done)
                                                  done();
                                          });
}

void instance::implementation::check_for_pause()
{
    const duration gap = shared.now() - last_pause_check;
    last_pause_check = shared.now();
    if (gap < min_pause)
        return;
    shared.parts.log.warning(
        "instance", "paused, partitions are claimed anew",
        {{"pause_ms", static_cast<std::int64_t>(gap / std::chrono::milliseconds(1))}});
    jobs.reclaim_all();
}

result<std::unique_ptr<instance>> instance::create(const instance_parts& parts,
                                                   const instance_options& options)
{
    if (!parts.workers.capabilities().owner_lease)
        return make_error(error_code::denied,
                          "the worker binding does not grant owner leases, without which "
                          "two instances could start tasks on one worker");
    return std::unique_ptr<instance>(
        new instance(std::make_unique<implementation>(parts, options)));
}

instance::instance(std::unique_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

instance::~instance() = default;

void instance::start()
{
    implementation_->start();
}

bool instance::is_ready() const
{
    return implementation_->settled && !implementation_->leaving &&
           implementation_->workers.is_known() && table().version != table_version();
}

void instance::submit(wire::job_spec job, callback<wire::job_status> done)
{
    implementation_->routes.submit(std::move(job), std::move(done));
}

void instance::query(const wire::job_query& request, callback<wire::job_status> done)
{
    implementation_->routes.query(request, std::move(done));
}

void instance::list(const wire::job_list_request& selector,
                    callback<std::vector<wire::job_status>> done)
{
    implementation_->routes.list(selector, std::move(done));
}

void instance::cancel(const wire::cancel_request& selector,
                      callback<wire::cancel_reply> done)
{
    implementation_->routes.cancel(selector, std::move(done));
}

void instance::statuses(const wire::status_request& request,
                        callback<std::vector<wire::status_reply>> done)
{
    implementation_->routes.statuses(request, std::move(done));
}

void instance::drain_worker(const worker_id& worker, bool drained, callback<bool> done)
{
    implementation_->routes.drain(wire::drain_request{worker, drained}, std::move(done));
}

void instance::leave(std::function<void()> done)
{
    implementation& state = *implementation_;
    state.leaving = true;
    state.leave_callback = std::move(done);
    state.leave_limit = state.shared.now() + state.shared.options.drain_limit;
    state.leave_timer =
        state.shared.parts.loop.every(drain_poll, [&state] { state.poll_leaving(); });
}

std::string instance::open_work() const
{
    const implementation& state = *implementation_;
    return fmt::format("{} open submissions, {} workers and updates, {} partitions",
                       state.routes.open_submissions(), state.slices.open_work(),
                       state.jobs.partitions().size());
}

const operators_table& instance::table() const
{
    return implementation_->shared.parts.table.current();
}

} // namespace hawthornbeam
