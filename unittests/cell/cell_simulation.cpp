/// \file
/// Implements the simulated cell.
#include "cell_simulation.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t host_count = 4;
constexpr std::size_t worker_count = 6;
constexpr std::int64_t cores_of_worker = 8;
/// Shares of a processor, in thousandths.
constexpr std::uint32_t large_share = 500;
constexpr std::uint32_t small_share = 120;
/// A page of the largest size at 10 Mbit/s.
constexpr duration slow_page = milliseconds(500);
/// Callers wait so long for an answer, and try so often.
constexpr duration caller_patience = seconds(3);
constexpr int max_attempts = 6;
/// All jobs end within it once the failures are over: the longest lease, a takeover, and
/// the work of a full cell.
constexpr duration quiet_time = seconds(45);
/// More of it when tasks are long: three steps in a row, each with a failed run.
constexpr duration long_quiet_time = seconds(90);

/// HAWTHORNBEAM_TRACE=1 prints what the instances log, to trace a seed.
std::function<void(const std::string&)> traced_lines()
{
    if (std::getenv("HAWTHORNBEAM_TRACE") == nullptr)
        return nullptr;
    return [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
}

} // namespace

struct cell_simulation::host
{
    host(std::uint64_t seed, event_loop& base, standins::memory_network& network,
         memory_store_state& shared, simulated_workers& workers, std::size_t number,
         std::uint64_t incarnation, bool is_small,
         const std::function<void(const std::string&)>& lines)
        : id("h" + std::to_string(number) + "." + std::to_string(incarnation)),
          address("h" + std::to_string(number) + ":1"), loop(network.loop_of(id)),
          store(shared, loop), port(base, loop, workers), directory(loop, workers),
          peers(network.make_peers(id, wire::peer_address(address.value()))),
          random(seed * 1000 + number * 100 + incarnation),
          log(loop.clock(), id.value(), lines ? log_level::info : log_level::error,
              [lines](const std::string& line)
              {
                  if (lines)
                      lines(line);
              }),
          instance(std::make_unique<node>(node_parts{
              loop, store, port, directory, *peers, random, log, metrics, id, address,
              is_small ? small_share : large_share, scheduler_limits()}))
    {
        if (is_small)
            store.page_time = slow_page;
    }

    instance_id id;
    endpoint address;
    standins::pausable_loop& loop;
    memory_store store;
    simulated_port port;
    simulated_directory directory;
    std::unique_ptr<standins::memory_peer_network> peers;
    random_source random;
    logger log;
    metrics_registry metrics;
    std::unique_ptr<node> instance;
    std::uint64_t incarnation = 1;
    bool up = true;
};

/// A job that a caller wants to have accepted.
struct cell_simulation::request
{
    job_spec job;
    int attempts = 0;
    bool settled = false; ///< Accepted, or given up.
};

cell_simulation::cell_simulation(std::uint64_t seed)
    : cell_simulation(seed, cell_shape(), traced_lines())
{
}

cell_simulation::cell_simulation(std::uint64_t seed, const cell_shape& shape)
    : cell_simulation(seed, shape, traced_lines())
{
}

cell_simulation::cell_simulation(std::uint64_t seed,
                                 std::function<void(const std::string&)> lines)
    : cell_simulation(seed, cell_shape(), std::move(lines))
{
}

cell_simulation::cell_simulation(std::uint64_t seed, const cell_shape& shape,
                                 std::function<void(const std::string&)> lines)
    : shape_(shape), lines_(std::move(lines)), random_(seed), network_(loop_, seed),
      workers_(loop_, seed + 1, history_)
{
    store_.page_items = shape.page_items;
    queue_policy queue;
    queue.name = queue_name("q");
    queue.service = service_name("pool");
    queue.attempts = 3;
    queue.stretch = 2;
    queue.objective = seconds(1);
    history_.queues[queue.name] = queue;
    for (std::size_t number = 0; number < worker_count; ++number)
        workers_.add("w" + std::to_string(number), cores_of_worker);
    hosts_.resize(host_count);
    for (std::size_t number = 0; number < host_count; ++number)
        start_host(number);
}

cell_simulation::~cell_simulation() = default;

void cell_simulation::start_host(std::size_t number)
{
    const std::uint64_t incarnation =
        hosts_[number] ? hosts_[number]->incarnation + 1 : 1;
    hosts_[number].reset();
    hosts_[number] =
        std::make_unique<host>(random_.next(), loop_, network_, store_, workers_, number,
                               incarnation, is_small(number), lines_);
    hosts_[number]->incarnation = incarnation;
    hosts_[number]->instance->configure({history_.queues.begin()->second});
    hosts_[number]->instance->start();
}

bool cell_simulation::is_small(std::size_t number) const
{
    return number + shape_.small_hosts >= host_count;
}

void cell_simulation::kill_owner(duration pause)
{
    disturb();
    kill_host(owner(), pause);
}

void cell_simulation::kill_host(std::size_t number, duration pause)
{
    host& killed = *hosts_[number];
    if (!killed.up)
        return;
    killed.up = false;
    network_.kill(killed.id);
    killed.instance.reset();
    at(pause, [this, number] { start_host(number); });
}

void cell_simulation::at(duration delay, std::function<void()> action)
{
    const std::uint64_t number = ++last_timer_;
    timers_[number] = loop_.after(delay,
                                  [this, number, action = std::move(action)]
                                  {
                                      const std::function<void()> due = action;
                                      timers_.erase(number);
                                      due();
                                  });
}

void cell_simulation::disturb()
{
    history_.disturbances.push_back(loop_.clock().now());
}

std::size_t cell_simulation::owner() const
{
    const auto claimed = store_.items.find("cell/owner");
    if (claimed != store_.items.end())
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            if (claimed->second.value.find(hosts_[number]->id.value()) !=
                std::string::npos)
                return number;
    return 0;
}

bool cell_simulation::is_owned() const
{
    return store_.items.contains("cell/owner");
}

std::size_t cell_simulation::any_host()
{
    return random_.below(hosts_.size());
}

void cell_simulation::heal_store(std::size_t number, duration after)
{
    at(after,
       [this, number]
       {
           hosts_[number]->store.condition = store_condition::well;
           disturb();
       });
}

void cell_simulation::fail(cell_failure what)
{
    disturb();
    const duration length = milliseconds(1000 + random_.below(6000));
    const std::size_t chosen = owner();
    const std::size_t other = any_host();
    const std::vector<worker_id> all = workers_.ids();
    const worker_id& worker = all[random_.below(all.size())];
    const boot_time until = loop_.clock().now() + length;
    at(length, [this] { disturb(); });
    const std::function<void(std::size_t, store_condition)> set_store =
        [this, length](std::size_t number, store_condition condition)
    {
        hosts_[number]->store.condition = condition;
        heal_store(number, length);
    };
    const std::function<void(std::size_t)> cut = [this, length](std::size_t number)
    {
        for (std::size_t peer = 0; peer < hosts_.size(); ++peer)
            if (peer != number)
                network_.cut_both(hosts_[number]->id, hosts_[peer]->id);
        at(length, [this] { network_.heal_all(); });
    };
    switch (what)
    {
    case cell_failure::owner_killed:
        return kill_host(chosen, milliseconds(200 + random_.below(3000)));
    case cell_failure::host_killed:
        return kill_host(other, milliseconds(200 + random_.below(3000)));
    case cell_failure::all_killed:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            kill_host(number, milliseconds(200 + random_.below(1000)));
        return;
    case cell_failure::owner_paused:
    {
        const instance_id id = hosts_[chosen]->id;
        network_.pause(id);
        return at(length, [this, id] { network_.resume(id); });
    }
    case cell_failure::owner_cut_from_others:
        return cut(chosen);
    case cell_failure::host_cut_from_others:
        return cut(other);
    case cell_failure::store_refuses_owner:
        return set_store(chosen, store_condition::refusing);
    case cell_failure::store_refuses_host:
        return set_store(other, store_condition::refusing);
    case cell_failure::store_refuses_all:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            set_store(number, store_condition::refusing);
        return;
    case cell_failure::store_loses_answers_of_owner:
        return set_store(chosen, store_condition::losing_answers);
    case cell_failure::store_loses_answers_of_all:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            set_store(number, store_condition::losing_answers);
        return;
    case cell_failure::store_cuts_watches:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            set_store(number, store_condition::cutting_watches);
        return;
    case cell_failure::store_forgets_history:
        return store_.forget_history();
    case cell_failure::leases_revoked:
        for (auto& [lease, term] : store_.leases)
            term.first = loop_.clock().now();
        return;
    case cell_failure::worker_crashes:
        return workers_.crash(worker, milliseconds(200 + random_.below(5000)));
    case cell_failure::worker_cut_off:
        return workers_.cut_off(worker, until);
    case cell_failure::commands_late:
        for (const worker_id& each : all)
            if (random_.below(2) == 0)
                workers_.delay_commands(each, until);
        return;
    case cell_failure::worker_drains:
        return workers_.drain(worker, milliseconds(2500 + random_.below(4000)));
    case cell_failure::connection_silent:
        return network_.silence(hosts_[other]->id, hosts_[chosen]->id);
    }
}

job_spec cell_simulation::make_job()
{
    job_spec job;
    job.id = job_key("job" + std::to_string(++last_job_));
    job.queue = queue_name("q");
    job.payload = "payload of " + job.id.value();
    job.submitted_ms = loop_.clock().wall_now().time_since_epoch().count();
    const std::uint64_t steps = 1 + random_.below(3);
    for (std::uint64_t number = 0; number < steps; ++number)
    {
        step_spec step;
        step.count = static_cast<std::uint32_t>(1 + random_.below(5));
        step.size.processors =
            millicores(static_cast<std::int64_t>(500 + random_.below(3500)));
        step.size.memory = byte_count(1000);
        step.estimate = milliseconds(200 + random_.below(1500));
        if (shape_.steps_for_each_long > 0 &&
            random_.below(shape_.steps_for_each_long) == 0)
            step.estimate = milliseconds(8000 + random_.below(4000));
        step.gang = step.count > 1 && random_.below(3) == 0;
        if (random_.below(4) == 0)
            step.per_worker = 2;
        if (number > 0)
            step.after = {static_cast<std::uint32_t>(number - 1)};
        job.steps.push_back(std::move(step));
    }
    return job;
}

void cell_simulation::submit(const std::shared_ptr<request>& asked)
{
    if (asked->settled || asked->attempts >= max_attempts)
        return;
    ++asked->attempts;
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::function<void(verdict)> once = [this, asked, answered](verdict told)
    {
        if (!std::exchange(*answered, true))
            handle_answer(asked, told);
    };
    // A host that is down, paused or too slow gives no verdict.
    at(caller_patience, [once] { once(verdict::unknown); });
    host& chosen = *hosts_[any_host()];
    if (chosen.up && !chosen.loop.is_paused())
        chosen.instance->requests().submit(asked->job, once);
}

void cell_simulation::handle_answer(const std::shared_ptr<request>& asked, verdict told)
{
    history_.answers.push_back({loop_.clock().now(), asked->job.id, false, told});
    if (told != verdict::done)
        return at(milliseconds(300 + random_.below(1000)),
                  [this, asked] { submit(asked); });
    // Some requests come again after they were accepted.
    if (!std::exchange(asked->settled, true) && random_.below(5) == 0)
    {
        asked->settled = false;
        at(milliseconds(random_.below(3000)),
           [this, asked]
           {
               submit(asked);
               asked->settled = true;
           });
    }
    const job_key job = asked->job.id;
    if (random_.below(shape_.jobs_for_each_cancel) == 0)
        at(milliseconds(random_.below(3000)), [this, job] { cancel(job); });
    for (int times = 0; times < 3; ++times)
        at(milliseconds(random_.below(8000)), [this, job] { query(job); });
}

void cell_simulation::turn_away(std::size_t number, bool away)
{
    hosts_[number]->store.condition =
        away ? store_condition::refusing : store_condition::well;
}

verdict cell_simulation::submit_at(std::size_t number, duration patience)
{
    const job_spec job = make_job();
    history_.submitted[job.id] = job;
    // The answer may come after the caller has gone.
    const std::shared_ptr<std::optional<verdict>> told =
        std::make_shared<std::optional<verdict>>();
    hosts_[number]->instance->requests().submit(job,
                                                [told](verdict given) { *told = given; });
    loop_.advance(patience);
    return told->value_or(verdict::unknown);
}

void cell_simulation::cancel(const job_key& job)
{
    host& chosen = *hosts_[any_host()];
    if (!chosen.up || chosen.loop.is_paused())
        return;
    const std::size_t place = history_.answers.size();
    history_.answers.push_back({loop_.clock().now(), job, true, verdict::unknown});
    chosen.instance->requests().cancel(job,
                                       [this, place](verdict told)
                                       {
                                           history_.answers[place].told = told;
                                           history_.answers[place].at =
                                               loop_.clock().now();
                                       });
}

void cell_simulation::query(const job_key& job)
{
    host& chosen = *hosts_[any_host()];
    if (!chosen.up || chosen.loop.is_paused())
        return;
    chosen.instance->requests().query(
        job,
        [this, job](const query_answer& given)
        {
            if (given.outcome != verdict::done && given.outcome != verdict::not_found)
                return;
            history_.shown.push_back(
                {loop_.clock().now(), job, given.outcome == verdict::done, given.state});
        });
}

void cell_simulation::ask_for_unended()
{
    std::set<job_key> asking;
    for (const standins::caller_answer& each : history_.answers)
        if (!each.cancel && each.told == verdict::done)
            asking.insert(each.job);
    for (const standins::shown_state& each : history_.shown)
        if (each.found && is_final(each.state))
            asking.erase(each.job);
    for (const job_key& job : asking)
        query(job);
}

std::size_t cell_simulation::accepted() const
{
    std::set<job_key> jobs;
    for (const standins::caller_answer& each : history_.answers)
        if (!each.cancel && each.told == verdict::done)
            jobs.insert(each.job);
    return jobs.size();
}

void cell_simulation::run(duration busy, const std::vector<cell_failure>& failures)
{
    disturb();
    loop_.advance(seconds(3));
    const std::uint64_t span = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(busy).count());
    for (const cell_failure each : failures)
        at(milliseconds(random_.below(span)), [this, each] { fail(each); });
    const std::uint64_t jobs = static_cast<std::uint64_t>(busy / shape_.submit_period);
    for (std::uint64_t job = 0; job < jobs; ++job)
        at(milliseconds(random_.below(span)),
           [this]
           {
               const std::shared_ptr<request> asked = std::make_shared<request>();
               asked->job = make_job();
               history_.submitted[asked->job.id] = asked->job;
               submit(asked);
           });
    loop_.advance(busy + quiet_time +
                  (shape_.steps_for_each_long > 0 ? long_quiet_time : duration::zero()));
    for (int round = 0; round < 3; ++round)
    {
        ask_for_unended();
        loop_.advance(seconds(2));
    }
    history_.ended_at = loop_.clock().now();
}

} // namespace hawthornbeam::cell
