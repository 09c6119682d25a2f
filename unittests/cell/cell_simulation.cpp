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
constexpr std::int64_t cores_of_worker = 8;
/// Processor shares of a host, in thousandths of a processor.
constexpr std::uint32_t large_host_share = 500;
constexpr std::uint32_t small_host_share = 120;
/// Transfer time of a page of the largest size at 10 Mbit/s.
constexpr duration slow_page_time = milliseconds(500);
/// A caller's time-out for one attempt, and the number of its attempts.
constexpr duration caller_timeout = seconds(3);
constexpr int max_attempts = 6;
/// Time between two questions to all hosts how many jobs wait.
constexpr duration count_query_period = milliseconds(300);
/// Time in which all jobs end after the load: it covers the longest lease, a takeover,
/// and the work of a full cell.
constexpr duration completion_time = seconds(45);
/// Added for long tasks, where it covers three consecutive steps, each with one failed
/// run, and for more work than the cell can do in completion_time.
constexpr duration extra_completion_time = seconds(90);

/// Times of the advice service. It admits one in this many workers for a step.
constexpr advice_policy advice_times{milliseconds(200), milliseconds(5),
                                     milliseconds(2000)};
constexpr std::size_t workers_per_admitted = 3;

/// Size of the tasks of a large job, and the time in which large jobs are submitted.
constexpr millicores large_job_task_size(1);
constexpr std::uint64_t large_jobs_time_ms = 2000;
/// When the first of the workers crashes that do so in turn, and the time between two.
constexpr duration first_crash_time = seconds(20);
constexpr duration crash_distance = seconds(3);

/// Prints the log lines of the instances when HAWTHORNBEAM_TRACE is set, so that a
/// failing seed can be traced.
std::function<void(const std::string&)> trace_log_sink()
{
    if (std::getenv("HAWTHORNBEAM_TRACE") == nullptr)
        return nullptr;
    return [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
}

} // namespace

struct cell_simulation::host
{
    host(std::uint64_t seed, event_loop& simulation_loop,
         standins::memory_network& network, memory_store_state& store_state,
         simulated_workers& workers, std::size_t number, std::uint64_t incarnation,
         bool is_small, const cell_shape& shape,
         const std::function<void(const std::string&)>& log_sink)
        : id("h" + std::to_string(number) + "." + std::to_string(incarnation)),
          address("h" + std::to_string(number) + ":1"), loop(network.loop_of(id)),
          store(store_state, loop),
          port(simulation_loop, loop, workers, number, shape.call_time),
          directory(loop, workers, shape.worker_list_period),
          peers(network.make_peers(id, wire::peer_address(address.value()))),
          random(seed * 1000 + number * 100 + incarnation),
          log(loop.clock(), id.value(), log_sink ? log_level::info : log_level::error,
              [log_sink](const std::string& line)
              {
                  if (log_sink)
                      log_sink(line);
              }),
          instance(std::make_unique<node>(node_parts{
              loop, store, port, directory, *peers, random, log, metrics, id, address,
              is_small ? small_host_share : large_host_share, scheduler_limits()}))
    {
        if (is_small)
            store.page_time = slow_page_time;
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

/// A job that a caller submits until it is accepted or the attempts are used up.
struct cell_simulation::pending_submission
{
    job_spec job;
    int attempts = 0;
    bool finished = false; ///< Further attempts do nothing.
};

cell_simulation::cell_simulation(std::uint64_t seed)
    : cell_simulation(seed, cell_shape(), trace_log_sink())
{
}

cell_simulation::cell_simulation(std::uint64_t seed, const cell_shape& shape)
    : cell_simulation(seed, shape, trace_log_sink())
{
}

cell_simulation::cell_simulation(std::uint64_t seed,
                                 std::function<void(const std::string&)> log_sink)
    : cell_simulation(seed, cell_shape(), std::move(log_sink))
{
}

cell_simulation::cell_simulation(std::uint64_t seed, const cell_shape& shape,
                                 std::function<void(const std::string&)> log_sink)
    : shape_(shape), log_sink_(std::move(log_sink)), random_(seed), network_(loop_, seed),
      workers_(loop_, seed + 1, history_)
{
    store_.page_items = shape.page_items;
    workers_.limit_listed_ends(shape.max_listed_ends);
    queue_policy queue;
    queue.name = queue_name("q");
    queue.service = service_name("pool");
    queue.attempts = 3;
    queue.stretch = 2;
    queue.objective = seconds(1);
    if (shape.has_advice)
    {
        queue.advice = advice_times;
        workers_.require_tickets(queue);
    }
    history_.queues[queue.name] = queue;
    for (std::size_t number = 0; number < shape.workers; ++number)
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
                               incarnation, is_small(number), shape_, log_sink_);
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
    record_disturbance();
    kill_host(owner(), pause);
}

void cell_simulation::kill_host(std::size_t number, duration pause)
{
    host& killed = *hosts_[number];
    if (!killed.up)
        return;
    killed.up = false;
    history_.failures.emplace_back(loop_.clock().now(), loop_.clock().now() + pause);
    network_.kill(killed.id);
    killed.instance.reset();
    schedule(pause, [this, number] { start_host(number); });
}

void cell_simulation::schedule(duration delay, std::function<void()> action)
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

void cell_simulation::record_disturbance()
{
    history_.disturbances.push_back(loop_.clock().now());
}

std::size_t cell_simulation::owner() const
{
    const auto owner_item = store_.items.find("cell/owner");
    if (owner_item != store_.items.end())
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            if (owner_item->second.value.find(hosts_[number]->id.value()) !=
                std::string::npos)
                return number;
    return 0;
}

bool cell_simulation::is_owned() const
{
    return store_.items.contains("cell/owner");
}

std::size_t cell_simulation::random_host()
{
    return random_.below(hosts_.size());
}

void cell_simulation::restore_store_later(std::size_t number, duration after)
{
    schedule(after,
             [this, number]
             {
                 hosts_[number]->store.condition = store_condition::well;
                 record_disturbance();
             });
}

void cell_simulation::inject_failure(cell_failure failure)
{
    record_disturbance();
    const duration failure_duration = milliseconds(1000 + random_.below(6000));
    const std::size_t owner_host = owner();
    const std::size_t chosen_host = random_host();
    const std::vector<worker_id> all_workers = workers_.ids();
    const worker_id& worker = all_workers[random_.below(all_workers.size())];
    const boot_time failure_end = loop_.clock().now() + failure_duration;
    schedule(failure_duration, [this] { record_disturbance(); });
    history_.failures.emplace_back(loop_.clock().now(), failure_end);
    const std::function<void(std::size_t, store_condition)> set_store =
        [this, failure_duration](std::size_t number, store_condition condition)
    {
        hosts_[number]->store.condition = condition;
        restore_store_later(number, failure_duration);
    };
    const std::function<void(std::size_t)> isolate_host =
        [this, failure_duration](std::size_t number)
    {
        for (std::size_t peer = 0; peer < hosts_.size(); ++peer)
            if (peer != number)
                network_.cut_both(hosts_[number]->id, hosts_[peer]->id);
        schedule(failure_duration, [this] { network_.heal_all(); });
    };
    switch (failure)
    {
    case cell_failure::owner_killed:
        return kill_host(owner_host, milliseconds(200 + random_.below(3000)));
    case cell_failure::host_killed:
        return kill_host(chosen_host, milliseconds(200 + random_.below(3000)));
    case cell_failure::all_killed:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            kill_host(number, milliseconds(200 + random_.below(1000)));
        return;
    case cell_failure::owner_paused:
    {
        const instance_id id = hosts_[owner_host]->id;
        network_.pause(id);
        return schedule(failure_duration, [this, id] { network_.resume(id); });
    }
    case cell_failure::owner_cut_from_others:
        return isolate_host(owner_host);
    case cell_failure::host_cut_from_others:
        return isolate_host(chosen_host);
    case cell_failure::store_refuses_owner:
        return set_store(owner_host, store_condition::refusing);
    case cell_failure::store_refuses_host:
        return set_store(chosen_host, store_condition::refusing);
    case cell_failure::store_refuses_all:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            set_store(number, store_condition::refusing);
        return;
    case cell_failure::store_loses_answers_of_owner:
        return set_store(owner_host, store_condition::losing_answers);
    case cell_failure::store_loses_answers_of_all:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            set_store(number, store_condition::losing_answers);
        return;
    case cell_failure::store_delays_writes:
        for (std::size_t number = 0; number < hosts_.size(); ++number)
            set_store(number, store_condition::delaying_writes);
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
        return workers_.cut_off(worker, failure_end);
    case cell_failure::commands_late:
        for (const worker_id& each : all_workers)
            if (random_.below(2) == 0)
            {
                workers_.delay_commands(each, failure_end);
                workers_.delay_polls(each, failure_end);
            }
        return;
    case cell_failure::worker_drains:
        return workers_.drain(worker, milliseconds(2500 + random_.below(4000)));
    case cell_failure::connection_silent:
        return network_.silence(hosts_[chosen_host]->id, hosts_[owner_host]->id);
    case cell_failure::worker_connections_reset:
        return workers_.reset_connections(worker, failure_end);
    case cell_failure::worker_restarts_at_once:
        // Faster than a poll times out, so that starts reach the next incarnation first.
        return workers_.crash(worker, milliseconds(20 + random_.below(800)));
    case cell_failure::worker_cut_off_beyond_lease:
    {
        const duration time = beyond_lease();
        record_long_disturbance(time);
        return workers_.cut_off(worker, loop_.clock().now() + time);
    }
    case cell_failure::owner_cut_off_with_workers:
    {
        std::set<worker_id> island;
        for (const worker_id& each : all_workers)
            if (random_.below(2) == 0)
                island.insert(each);
        return cut_off_together({owner_host, chosen_host}, island, beyond_lease());
    }
    case cell_failure::host_unheard_beside_worker:
    {
        const duration time = beyond_lease();
        record_long_disturbance(time);
        for (std::size_t peer = 0; peer < hosts_.size(); ++peer)
            if (peer != chosen_host)
                network_.cut(hosts_[chosen_host]->id, hosts_[peer]->id);
        schedule(time, [this] { network_.heal_all(); });
        return workers_.restrict_to({chosen_host}, worker, loop_.clock().now() + time);
    }
    case cell_failure::worker_restarts_and_is_cut_off:
    {
        // The next incarnation takes calls that were meant for the former one, and is cut
        // off before or soon after its first answer.
        workers_.crash(worker, milliseconds(20 + random_.below(1000)));
        const duration pause = milliseconds(1000 + random_.below(2500));
        const duration time = beyond_lease();
        record_long_disturbance(pause + time);
        return schedule(pause, [this, worker, time]
                        { workers_.cut_off(worker, loop_.clock().now() + time); });
    }
    case cell_failure::owner_killed_after_unseen_restart:
        return kill_owner_after_unseen_restart(worker, std::nullopt);
    case cell_failure::owner_and_host_killed_after_unseen_restart:
        return kill_owner_after_unseen_restart(worker, chosen_host);
    case cell_failure::worker_fails_runs:
        return workers_.fail_runs(worker, loop_.clock().now() +
                                              milliseconds(8000 + random_.below(8000)));
    }
}

void cell_simulation::kill_owner_after_unseen_restart(const worker_id& worker,
                                                      std::optional<std::size_t> other)
{
    const duration time = beyond_lease();
    record_long_disturbance(seconds(3) + time);
    workers_.crash(worker, milliseconds(20 + random_.below(300)));
    workers_.delay_entry(worker, loop_.clock().now() + time);
    const duration until_cut = milliseconds(500 + random_.below(2000));
    schedule(until_cut, [this, worker, time]
             { workers_.cut_off(worker, loop_.clock().now() + time); });
    const duration pause = milliseconds(20 + random_.below(2000));
    schedule(until_cut + milliseconds(random_.below(1000)),
             [this, other, pause]
             {
                 kill_host(owner(), pause);
                 if (other)
                     kill_host(*other, pause);
             });
}

void cell_simulation::cut_off_together(const std::set<std::size_t>& hosts,
                                       const std::set<worker_id>& workers, duration time)
{
    record_long_disturbance(time);
    std::set<std::size_t> others;
    for (std::size_t number = 0; number < hosts_.size(); ++number)
        if (!hosts.contains(number))
            others.insert(number);
    for (const std::size_t number : hosts)
    {
        hosts_[number]->store.condition = store_condition::refusing;
        restore_store_later(number, time);
        for (const std::size_t other : others)
            network_.cut_both(hosts_[number]->id, hosts_[other]->id);
    }
    schedule(time, [this] { network_.heal_all(); });
    const boot_time until = loop_.clock().now() + time;
    for (const worker_id& each : workers_.ids())
        workers_.restrict_to(workers.contains(each) ? hosts : others, each, until);
}

duration cell_simulation::beyond_lease()
{
    return milliseconds(9000 + random_.below(9000));
}

void cell_simulation::record_long_disturbance(duration time)
{
    for (duration passed{}; passed < time; passed += seconds(1))
        schedule(passed, [this] { record_disturbance(); });
    schedule(time, [this] { record_disturbance(); });
}

job_spec cell_simulation::make_job()
{
    job_spec job;
    job.id = job_key("job" + std::to_string(++last_job_));
    job.queue = queue_name("q");
    job.payload = "payload of " + job.id.value();
    job.payload.resize(std::max(job.payload.size(), shape_.payload_bytes), 'p');
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
        if (shape_.steps_per_long_step > 0 &&
            random_.below(shape_.steps_per_long_step) == 0)
            step.estimate = milliseconds(8000 + random_.below(4000));
        step.gang = step.count > 1 && random_.below(3) == 0;
        if (random_.below(4) == 0)
            step.per_worker = 2;
        if (number > 0)
            step.after = {static_cast<std::uint32_t>(number - 1)};
        if (shape_.has_advice)
            choose_admitted_workers(job.id, static_cast<std::uint32_t>(number), step);
        job.steps.push_back(std::move(step));
    }
    return job;
}

job_spec cell_simulation::make_large_job()
{
    job_spec job;
    job.id = job_key("job" + std::to_string(++last_job_));
    job.queue = queue_name("q");
    job.payload = "payload of " + job.id.value();
    job.submitted_ms = loop_.clock().wall_now().time_since_epoch().count();
    step_spec step;
    step.count = shape_.large_job_tasks;
    step.size.processors = large_job_task_size;
    step.size.memory = byte_count(10);
    step.estimate = milliseconds(1000 + random_.below(1000));
    job.steps.push_back(std::move(step));
    return job;
}

void cell_simulation::schedule_service(duration load_time)
{
    if (shape_.lasting_tasks == 0)
        return;
    job_spec job = make_large_job();
    step_spec& step = job.steps.front();
    step.count = shape_.lasting_tasks;
    step.size.processors = millicores(1000);
    step.persistent = true;
    step.per_worker = 1;
    submit_new(job);
    schedule(load_time, [this, id = job.id] { cancel(id); });
}

void cell_simulation::schedule_crashes()
{
    const std::vector<worker_id> all = workers_.ids();
    for (std::size_t crash = 0; crash < shape_.crash_rounds * all.size(); ++crash)
        schedule(first_crash_time + crash_distance * static_cast<int>(crash),
                 [this, worker = all[crash % all.size()]]
                 {
                     record_disturbance();
                     workers_.crash(worker, milliseconds(500 + random_.below(1000)));
                 });
}

void cell_simulation::submit_new(const job_spec& job)
{
    const std::shared_ptr<pending_submission> pending =
        std::make_shared<pending_submission>();
    pending->job = job;
    history_.submitted[job.id] = job;
    submit(pending);
}

void cell_simulation::choose_admitted_workers(const job_key& job, std::uint32_t number,
                                              step_spec& step)
{
    std::vector<worker_id> all = workers_.ids();
    std::set<worker_id>& admitted = history_.admitted[{job, number}];
    while (admitted.size() < shape_.workers / workers_per_admitted)
        admitted.insert(all[random_.below(all.size())]);
    if (!step.gang)
        return;
    std::uint64_t on_worker = static_cast<std::uint64_t>(
        millicores(cores_of_worker * 1000).value() / step.size.processors.value());
    if (step.per_worker > 0)
        on_worker = std::min<std::uint64_t>(on_worker, step.per_worker);
    step.count =
        static_cast<std::uint32_t>(2 + random_.below(on_worker * admitted.size() - 1));
}

void cell_simulation::choose_failing_task(const job_spec& job)
{
    if (shape_.jobs_per_failing_job == 0 ||
        random_.below(shape_.jobs_per_failing_job) != 0)
        return;
    const std::uint32_t step =
        static_cast<std::uint32_t>(random_.below(job.steps.size()));
    const std::uint32_t index =
        static_cast<std::uint32_t>(random_.below(job.steps[step].count));
    history_.failing_tasks.insert({job.id, step, index});
}

void cell_simulation::choose_crashing_task(const job_spec& job)
{
    if (shape_.jobs_per_crashing_job == 0 ||
        random_.below(shape_.jobs_per_crashing_job) != 0)
        return;
    const step_spec& step = job.steps.front();
    const std::uint32_t index = static_cast<std::uint32_t>(random_.below(step.count));
    const bool late = random_.below(4) == 0;
    history_.crashing_tasks[{job.id, 0, index}] =
        late ? step.estimate / 2 : duration(milliseconds(10));
}

void cell_simulation::submit(const std::shared_ptr<pending_submission>& pending)
{
    if (pending->finished || pending->attempts >= max_attempts)
        return;
    ++pending->attempts;
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::function<void(verdict)> answer_once =
        [this, pending, answered](verdict outcome)
    {
        if (!std::exchange(*answered, true))
            handle_answer(pending, outcome);
    };
    // Without an answer from a host that is down, paused or too slow, the outcome is
    // unknown.
    schedule(caller_timeout, [answer_once] { answer_once(verdict::unknown); });
    host& chosen = *hosts_[random_host()];
    if (chosen.up && !chosen.loop.is_paused())
        chosen.instance->requests().submit(pending->job, answer_once);
}

void cell_simulation::handle_answer(const std::shared_ptr<pending_submission>& pending,
                                    verdict outcome)
{
    history_.answers.push_back({loop_.clock().now(), pending->job.id, false, outcome});
    if (outcome == verdict::unknown && shape_.submissions_per_unsure_cancel > 0 &&
        random_.below(shape_.submissions_per_unsure_cancel) == 0)
    {
        pending->finished = true;
        return schedule(milliseconds(random_.below(1000)),
                        [this, job = pending->job.id] { cancel(job); });
    }
    if (outcome != verdict::done)
        return schedule(milliseconds(300 + random_.below(1000)),
                        [this, pending] { submit(pending); });
    // One in five accepted jobs is submitted once more, as by a caller that missed the
    // answer.
    if (!std::exchange(pending->finished, true) && random_.below(5) == 0)
    {
        pending->finished = false;
        schedule(milliseconds(random_.below(3000)),
                 [this, pending]
                 {
                     submit(pending);
                     pending->finished = true;
                 });
    }
    const job_key job = pending->job.id;
    if (random_.below(shape_.jobs_per_cancel) == 0)
        schedule(milliseconds(random_.below(3000)), [this, job] { cancel(job); });
    for (int times = 0; times < 3; ++times)
        schedule(milliseconds(random_.below(8000)), [this, job] { query(job); });
}

void cell_simulation::set_store_refusing(std::size_t number, bool refusing)
{
    hosts_[number]->store.condition =
        refusing ? store_condition::refusing : store_condition::well;
}

verdict cell_simulation::submit_at(std::size_t number, duration timeout)
{
    const job_spec job = make_job();
    history_.submitted[job.id] = job;
    // The answer may arrive after this function has returned.
    const std::shared_ptr<std::optional<verdict>> outcome =
        std::make_shared<std::optional<verdict>>();
    hosts_[number]->instance->requests().submit(job, [outcome](verdict given)
                                                { *outcome = given; });
    loop_.advance(timeout);
    return outcome->value_or(verdict::unknown);
}

void cell_simulation::cancel(const job_key& job)
{
    host& chosen = *hosts_[random_host()];
    if (!chosen.up || chosen.loop.is_paused())
        return;
    const std::size_t answer_index = history_.answers.size();
    history_.answers.push_back({loop_.clock().now(), job, true, verdict::unknown});
    chosen.instance->requests().cancel(job,
                                       [this, answer_index](verdict outcome)
                                       {
                                           history_.answers[answer_index].outcome =
                                               outcome;
                                           history_.answers[answer_index].at =
                                               loop_.clock().now();
                                       });
}

void cell_simulation::query(const job_key& job)
{
    host& chosen = *hosts_[random_host()];
    if (!chosen.up || chosen.loop.is_paused())
        return;
    chosen.instance->requests().query(
        job,
        [this, job](const query_answer& given)
        {
            if (given.outcome != verdict::done && given.outcome != verdict::not_found)
                return;
            history_.reported_states.push_back(
                {loop_.clock().now(), job, given.outcome == verdict::done, given.state});
        });
}

void cell_simulation::query_unended_jobs()
{
    std::set<job_key> unended_jobs;
    for (const standins::caller_answer& each : history_.answers)
        if (!each.cancel && each.outcome == verdict::done)
            unended_jobs.insert(each.job);
    for (const standins::reported_state& each : history_.reported_states)
        if (each.found && is_final(each.state))
            unended_jobs.erase(each.job);
    for (const job_key& job : unended_jobs)
        query(job);
}

void cell_simulation::query_counts()
{
    for (const auto& [name, policy] : history_.queues)
        for (const std::unique_ptr<host>& each : hosts_)
        {
            if (!each->up || each->loop.is_paused())
                continue;
            const std::optional<std::uint64_t> waiting = each->instance->waiting(name);
            if (waiting)
                history_.reported_counts.push_back({loop_.clock().now(), name, *waiting});
        }
}

std::size_t cell_simulation::accepted() const
{
    std::set<job_key> jobs;
    for (const standins::caller_answer& each : history_.answers)
        if (!each.cancel && each.outcome == verdict::done)
            jobs.insert(each.job);
    return jobs.size();
}

void cell_simulation::schedule_drains(duration load_time)
{
    if (shape_.drain_period == duration::zero())
        return;
    for (duration at = shape_.drain_period; at < load_time; at += shape_.drain_period)
        schedule(at,
                 [this]
                 {
                     const std::vector<worker_id> all = workers_.ids();
                     workers_.drain(all[random_.below(all.size())],
                                    milliseconds(2500 + random_.below(4000)));
                 });
}

void cell_simulation::schedule_resizes(duration load_time)
{
    if (shape_.resize_period <= duration::zero())
        return;
    for (duration at{}; at < load_time; at += shape_.resize_period)
        schedule(at,
                 [this]
                 {
                     const std::vector<worker_id> all = workers_.ids();
                     workers_.resize(
                         all[random_.below(all.size())],
                         1 + static_cast<std::int64_t>(random_.below(cores_of_worker)));
                 });
    schedule(load_time,
             [this]
             {
                 for (const worker_id& each : workers_.ids())
                     workers_.resize(each, cores_of_worker);
             });
}

void cell_simulation::run(duration load_time, const std::vector<cell_failure>& failures)
{
    record_disturbance();
    const boot_time started_at = loop_.clock().now();
    loop_.advance(seconds(3));
    const std::uint64_t load_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(load_time).count());
    for (const cell_failure each : failures)
        schedule(milliseconds(random_.below(load_ms)),
                 [this, each] { inject_failure(each); });
    const std::uint64_t jobs =
        static_cast<std::uint64_t>(load_time / shape_.submit_period);
    for (std::uint64_t job = 0; job < jobs; ++job)
        schedule(milliseconds(random_.below(load_ms)),
                 [this]
                 {
                     const job_spec made = make_job();
                     choose_crashing_task(made);
                     choose_failing_task(made);
                     submit_new(made);
                 });
    for (std::size_t large = 0; large < shape_.large_jobs; ++large)
        schedule(milliseconds(random_.below(large_jobs_time_ms)),
                 [this]
                 {
                     const job_spec made = make_large_job();
                     submit_new(made);
                     if (shape_.large_jobs_per_cancel > 0 &&
                         random_.below(shape_.large_jobs_per_cancel) == 0)
                         schedule(milliseconds(random_.below(4000)),
                                  [this, job = made.id] { cancel(job); });
                 });
    schedule_service(load_time);
    schedule_crashes();
    schedule_resizes(load_time);
    schedule_drains(load_time);
    for (duration at{}; at < load_time + completion_time; at += count_query_period)
        schedule(at, [this] { query_counts(); });
    if (shape_.has_late_commands)
        for (const worker_id& each : workers_.ids())
            workers_.delay_commands(each, loop_.clock().now() + load_time / 2);
    loop_.advance(load_time + completion_time +
                  (shape_.steps_per_long_step > 0 || shape_.exceeds_capacity
                       ? extra_completion_time
                       : duration::zero()));
    for (int round = 0; round < 3; ++round)
    {
        query_unended_jobs();
        loop_.advance(seconds(2));
    }
    history_.ended_at = loop_.clock().now();
    // The links of all hosts to the store are squeezed, so none of them is in touch.
    if (shape_.small_hosts >= host_count)
        history_.failures.emplace_back(started_at, history_.ended_at);
}

} // namespace hawthornbeam::cell
