/// \file
/// Connects the roles of an instance.
#include "hawthornbeam/instance/instance.hpp"

#include "hawthornbeam/membership/rendezvous.hpp"
#include "lib/instance/job_owner.hpp"
#include "lib/instance/loopback_network.hpp"
#include "lib/instance/router.hpp"
#include "lib/instance/slice_owner.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

constexpr duration gauge_period = std::chrono::seconds(1);
/// How often the instance notes that it runs, and the gap that counts as a pause. The gap
/// is the suspicion time of design section 4: a shorter pause costs no ownership.
constexpr duration awake_period = std::chrono::milliseconds(250);
constexpr duration least_pause = std::chrono::milliseconds(1500);
constexpr duration fetch_deadline = std::chrono::seconds(1);
constexpr duration drain_poll = std::chrono::milliseconds(50);
/// A leaving instance stays this long after its last open request, so that its
/// successors have learned that it leaves.
constexpr duration farewell_time = std::chrono::milliseconds(500);

using answer_callback = std::function<void(wire::reply)>;

wire::failure_reply failure(const error& why)
{
    return wire::failure_reply{why.code, why.message};
}

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

class instance::implementation
{
public:
    implementation(const instance_parts& parts, const instance_options& options)
        : network(parts.loop, parts.peers, options.self, parts.members.self().peer),
          shared(make_context(parts, network, options)), workers(shared), loads(shared),
          slices(shared, workers,
                 [this](const task_id& task) { return update_owner(task); }),
          jobs(shared, workers, loads), routes(shared)
    {
    }

    void start();
    void settle();
    void members_changed();
    void table_installed(const operators_table& table);
    void fetch_table(const member& from);
    void fetch_missed_table();
    void check_isolation();
    void check_claims();
    void update_gauges();
    void begin_leaving();
    void check_left();
    instance_id update_owner(const task_id& task) const;
    bool is_alone() const;
    /// False for a sender that this instance takes for dead, as it does until it has
    /// heard of the others again after it was cut off. Its view of what it owns is then
    /// out of date.
    bool is_present(const instance_id& id) const;
    wire::status_reply status(const wire::status_request& what) const;

    /// Claims the job partitions anew when the process has been paused. Other instances
    /// may own them now, and requests from before the pause may still be in the sockets.
    void note_awake();
    void handle(const instance_id& from, wire::request message, answer_callback answer);
    void on(const instance_id& from, wire::submit_request message,
            answer_callback answer);
    void on(const instance_id&, const wire::job_query& message, answer_callback answer);
    void on(const instance_id&, const wire::job_list_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::cancel_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::start_request& message,
            const answer_callback& answer);
    void on(const instance_id& from, const wire::update_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::stop_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::inventory_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::epochs_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::table_fetch& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::status_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::drain_request& message,
            const answer_callback& answer);
    void on(const instance_id&, const wire::explain_request& message,
            const answer_callback& answer);

    loopback_network network;
    context shared;
    fleet workers;
    load_view loads;
    slice_owner slices;
    job_owner jobs;
    router routes;
    bool started = false;
    bool settled = false;
    bool leaving = false;
    bool announced = false;
    bool slices_left = false;
    bool partitions_left = false;
    boot_time leave_limit{};
    incarnation known_life;
    boot_time last_awake{};
    std::function<void()> left;
    timer_handle settle_timer;
    timer_handle gauges_timer;
    timer_handle awake_timer;
    timer_handle leave_timer;
};

void instance::implementation::start()
{
    started = true;
    last_awake = shared.now();
    awake_timer = shared.parts.loop.every(awake_period, [this] { note_awake(); });
    network.serve(shared.guarded(
        [this](const instance_id& from, wire::request message, answer_callback answer)
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

bool instance::implementation::is_present(const instance_id& id) const
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
    // A newer version is announced once; a fetch that failed is repeated here.
    const std::vector<member> known = shared.parts.members.members();
    const auto newest = std::max_element(known.begin(), known.end(),
                                         [](const member& a, const member& b)
                                         { return a.table < b.table; });
    if (newest != known.end() && newest->table > shared.parts.table.current().version)
        fetch_table(*newest);
}

void instance::implementation::check_isolation()
{
    // An instance that knows no other one cannot tell isolation from being alone.
    const boot_time contact = shared.parts.members.last_contact();
    const bool knows_others = contact != boot_time::min();
    const boot_time last = std::max(contact, shared.parts.table.last_answer());
    slices.set_paused(knows_others &&
                      shared.now() - last > shared.options.isolation_limit);
}

void instance::implementation::check_claims()
{
    // Others may have claimed this instance's partitions while they could not reach it.
    // It learns that from the higher incarnation with which it has refuted its death.
    const incarnation life = shared.parts.members.self().life;
    if (known_life != incarnation() && life != known_life)
        jobs.confirm_claims();
    known_life = life;
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

instance_id instance::implementation::update_owner(const task_id& task) const
{
    return partition_owner_of(shared.parts.members,
                              task.job.partition(shared.options.partitions));
}

wire::status_reply
instance::implementation::status(const wire::status_request& what) const
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
    slices.describe(reply, what.with_workers);
    if (what.with_metrics)
        reply.metrics = shared.parts.metrics.snapshot();
    return reply;
}

void instance::implementation::begin_leaving()
{
    const bool may_hand_over = !is_alone() || routes.open_submissions() == 0;
    if (announced || !may_hand_over)
        return;
    announced = true;
    shared.parts.members.announce_leaving();
    slices.leave(shared.guarded([this] { slices_left = true; }));
    jobs.leave(shared.guarded([this] { partitions_left = true; }));
}

void instance::implementation::check_left()
{
    begin_leaving();
    const bool all_done = announced && slices_left && partitions_left &&
                          routes.open_submissions() == 0 && slices.open_work() == 0;
    const bool late = shared.now() >= leave_limit;
    if (late && !all_done)
        shared.parts.log.warning("instance", "the drain limit has passed with work open");
    if (!all_done && !late)
        return;
    leave_timer = shared.parts.loop.after(farewell_time,
                                          [this]
                                          {
                                              const std::function<void()> done =
                                                  std::move(left);
                                              left = nullptr;
                                              if (done)
                                                  done();
                                          });
}

void instance::implementation::note_awake()
{
    const duration gap = shared.now() - last_awake;
    last_awake = shared.now();
    if (gap < least_pause)
        return;
    shared.parts.log.warning(
        "instance", "paused, partitions are claimed anew",
        {{"pause_ms", static_cast<std::int64_t>(gap / std::chrono::milliseconds(1))}});
    jobs.claim_anew();
}

void instance::implementation::handle(const instance_id& from, wire::request message,
                                      answer_callback answer)
{
    note_awake();
    std::visit([&](auto&& content)
               { on(from, std::forward<decltype(content)>(content), std::move(answer)); },
               std::move(message));
}

void instance::implementation::on(const instance_id& from, wire::submit_request message,
                                  answer_callback answer)
{
    if (!is_present(from))
        return answer(wire::failure_reply{error_code::unavailable,
                                          "the sender is not a member here yet"});
    jobs.submit(message.job,
                [answer = std::move(answer)](result<wire::job_status> status)
                {
                    if (status)
                        answer(wire::submit_reply{std::move(status).value()});
                    else
                        answer(failure(status.error()));
                });
}

void instance::implementation::on(const instance_id&, const wire::job_query& message,
                                  answer_callback answer)
{
    result<wire::job_status> found = jobs.query(message.id);
    if (!found)
        return answer(failure(found.error()));
    const std::optional<std::pair<instance_id, task_id>> waiting =
        message.explain ? jobs.waiting_elsewhere(message.id) : std::nullopt;
    if (message.explain && !waiting)
        found.value().reason = jobs.explain(message.id);
    const member* target = waiting ? shared.parts.members.find(waiting->first) : nullptr;
    if (target == nullptr)
        return answer(wire::job_reply{true, std::move(found).value()});
    shared.parts.peers.call(
        target->peer, wire::explain_request{waiting->second}, fetch_deadline,
        [answer, status = std::move(found).value()](result<wire::reply> reply) mutable
        {
            const wire::explain_reply* reason =
                reply ? std::get_if<wire::explain_reply>(&reply.value()) : nullptr;
            if (reason != nullptr)
                status.reason = reason->reason;
            answer(wire::job_reply{true, status});
        });
}

void instance::implementation::on(const instance_id&,
                                  const wire::job_list_request& message,
                                  const answer_callback& answer)
{
    answer(wire::job_list_reply{jobs.list(message)});
}

void instance::implementation::on(const instance_id&, const wire::cancel_request& message,
                                  const answer_callback& answer)
{
    answer(jobs.cancel(message));
}

void instance::implementation::on(const instance_id&, const wire::start_request& message,
                                  const answer_callback& answer)
{
    answer(slices.start(message));
}

void instance::implementation::on(const instance_id& from,
                                  const wire::update_request& message,
                                  const answer_callback& answer)
{
    jobs.update(from, message, [answer](wire::update_reply reply) { answer(reply); });
}

void instance::implementation::on(const instance_id&, const wire::stop_request& message,
                                  const answer_callback& answer)
{
    answer(slices.stop(message));
}

void instance::implementation::on(const instance_id&,
                                  const wire::inventory_request& message,
                                  const answer_callback& answer)
{
    answer(slices.inventory(message));
}

void instance::implementation::on(const instance_id&, const wire::epochs_request&,
                                  const answer_callback& answer)
{
    answer(slices.epochs());
}

void instance::implementation::on(const instance_id&, const wire::table_fetch& message,
                                  const answer_callback& answer)
{
    const operators_table& table = shared.parts.table.current();
    wire::table_reply reply;
    reply.version = table.version;
    if (table.version > message.known)
        reply.json = to_json(table);
    answer(std::move(reply));
}

void instance::implementation::on(const instance_id&, const wire::status_request& message,
                                  const answer_callback& answer)
{
    answer(status(message));
}

void instance::implementation::on(const instance_id&, const wire::drain_request& message,
                                  const answer_callback& answer)
{
    answer(wire::drain_reply{slices.drain(message.worker, message.drained)});
}

void instance::implementation::on(const instance_id&,
                                  const wire::explain_request& message,
                                  const answer_callback& answer)
{
    answer(wire::explain_reply{slices.explain(message.task)});
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

void instance::query(const wire::job_query& question, callback<wire::job_status> done)
{
    implementation_->routes.query(question, std::move(done));
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

void instance::statuses(const wire::status_request& what,
                        callback<std::vector<wire::status_reply>> done)
{
    implementation_->routes.statuses(what, std::move(done));
}

void instance::drain_worker(const worker_id& worker, bool drained, callback<bool> done)
{
    implementation_->routes.drain(wire::drain_request{worker, drained}, std::move(done));
}

void instance::leave(std::function<void()> done)
{
    implementation& state = *implementation_;
    state.leaving = true;
    state.left = std::move(done);
    state.leave_limit = state.shared.now() + state.shared.options.drain_limit;
    state.leave_timer =
        state.shared.parts.loop.every(drain_poll, [&state] { state.check_left(); });
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
