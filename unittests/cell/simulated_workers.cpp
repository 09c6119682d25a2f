#include "simulated_workers.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

using standins::run_event;

/// Bounds from the users' documentation: `kill-grace-ms`, `gang-ms` and `hold-max-ms`.
constexpr duration stop_grace = std::chrono::milliseconds(900);
constexpr duration gang_wait = std::chrono::milliseconds(3000);
constexpr duration max_lease = std::chrono::milliseconds(10000);
/// One-way delay between an instance and a worker, and the instance's time-out.
constexpr duration link_delay = std::chrono::milliseconds(1);
constexpr duration command_timeout = std::chrono::milliseconds(700);
/// Probability that a run fails by itself, without an injected failure.
constexpr double failure_probability = 0.05;
/// Maximum delay of a command or poll that is executed late.
constexpr duration max_command_delay = std::chrono::milliseconds(12000);
/// Time for which the entry of an ended worker stays listed: three heartbeats.
constexpr duration entry_retention = std::chrono::milliseconds(4500);
/// Time until the process of a worker that a task has crashed starts again.
constexpr duration restart_time = std::chrono::milliseconds(3000);
/// Maximum number of calls of one host that wait at the advice service.
constexpr std::size_t max_waiting_calls = 32;
/// Added to the seed of the workers for the delays of late polls.
constexpr std::uint64_t poll_delay_seed = 1'000'003;
/// The clock of a new incarnation is ahead of or behind the time by at most this.
constexpr duration max_clock_offset = std::chrono::seconds(5000);
/// Added to the seed of the workers for the clocks of their incarnations.
constexpr std::uint64_t clock_seed = 2'000'003;
/// Part of its time after which a run on a faulty worker fails.
constexpr std::int64_t faulty_run_divisor = 10;

std::int64_t whole_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

simulated_workers::simulated_workers(event_loop& loop, std::uint64_t seed,
                                     standins::cell_history& history)
    : loop_(loop), random_(seed), clocks_(seed + clock_seed),
      poll_delays_(seed + poll_delay_seed), history_(history)
{
}

void simulated_workers::add(const std::string& name, std::int64_t cores)
{
    simulated_worker& added = workers_[worker_id(name)];
    added.info.id = worker_id(name);
    added.info.address = endpoint(name + ":1");
    added.info.service = service_name("pool");
    added.info.incarnation =
        worker_incarnation(loop_.clock().wall_now().time_since_epoch().count());
    added.info.capacity =
        resources{millicores(cores * 1000), byte_count(std::int64_t{32} << 30U),
                  accelerator_count()};
    begin_incarnation(added);
    history_.workers.push_back({added.info});
    history_.workers.back().up_since = added.started_at;
}

standins::worker_record& simulated_workers::record_of(const simulated_worker& worker)
{
    return *std::ranges::find_if(history_.workers,
                                 [&worker](const standins::worker_record& each)
                                 {
                                     return each.info.id == worker.info.id &&
                                            each.info.incarnation ==
                                                worker.info.incarnation;
                                 });
}

void simulated_workers::record_event(const simulated_worker& worker, run_event::kind type,
                                     const run_ref& run, run_end outcome)
{
    run_event event;
    event.at = loop_.clock().now();
    event.worker = worker.info.id;
    event.incarnation = worker.info.incarnation;
    event.type = type;
    event.run = run;
    event.outcome = outcome;
    history_.run_events.push_back(std::move(event));
}

const step_spec& simulated_workers::step_of(const task_ref& task) const
{
    return history_.submitted.at(task.job).steps.at(task.step);
}

void simulated_workers::begin_incarnation(simulated_worker& worker)
{
    worker.started_at = loop_.clock().now();
    const double behind = 2 * clocks_.unit() - 1;
    worker.clock_zero = boot_time(std::chrono::milliseconds(static_cast<std::int64_t>(
        behind * static_cast<double>(whole_ms(max_clock_offset)))));
}

worker_time simulated_workers::clock_of(const simulated_worker& worker) const
{
    return worker_time(whole_ms(loop_.clock().now() - worker.clock_zero));
}

void simulated_workers::extend_lease(simulated_worker& worker, worker_time until)
{
    const boot_time now = loop_.clock().now();
    const boot_time requested_until = std::min(
        worker.clock_zero + std::chrono::milliseconds(until.value()), now + max_lease);
    worker.lease_until = std::max(worker.lease_until, requested_until);
    const worker_id id = worker.info.id;
    worker.lease_timer = loop_.after(
        worker.lease_until - now,
        [this, id]
        {
            simulated_worker& lapsed = workers_.at(id);
            record_event(lapsed, run_event::kind::lapsed, run_ref(), run_end::lapsed);
            while (!lapsed.runs.empty())
                end_run(lapsed, lapsed.runs.begin()->first, run_end::lapsed);
        });
}

poll_answer simulated_workers::answer(const simulated_worker& worker) const
{
    poll_answer reply;
    reply.poll.worker = worker.info.id;
    reply.poll.incarnation = worker.info.incarnation;
    reply.poll.clock = clock_of(worker);
    reply.poll.ended = worker.ended;
    if (reply.poll.ended.size() > max_listed_ends_)
        reply.poll.ended.resize(max_listed_ends_);
    reply.poll.ends_complete = reply.poll.ended.size() < max_listed_ends_;
    for (const auto& [task, run] : worker.runs)
    {
        running_task running;
        running.run = {task, run.number};
        if (run.working_since && run.work_time > duration::zero())
            running.percent = static_cast<std::uint32_t>(
                100 * (loop_.clock().now() - *run.working_since) / run.work_time);
        reply.poll.running.push_back(running);
    }
    return reply;
}

void simulated_workers::answer_polls(simulated_worker& worker)
{
    std::map<std::uint64_t, waiting_poll> waiting;
    waiting.swap(worker.waiting);
    for (auto& [number, poll] : waiting)
        poll.done(answer(worker));
}

void simulated_workers::poll(const poll_call& call,
                             const std::function<void(poll_answer)>& done)
{
    simulated_worker& worker = workers_.at(call.worker);
    if (call.token < worker.token)
    {
        poll_answer refused;
        refused.outcome = command_outcome::fenced;
        return done(refused);
    }
    worker.token = call.token;
    if (call.lease_until)
        extend_lease(worker, *call.lease_until);
    std::erase_if(worker.ended,
                  [&](const ended_task& each)
                  {
                      if (each.number > call.acknowledged)
                          return false;
                      record_event(worker, run_event::kind::acknowledged, each.run,
                                   each.outcome);
                      return true;
                  });
    if (!worker.ended.empty() || call.wait <= duration::zero())
        return done(answer(worker));
    const std::uint64_t number = ++worker.last_poll;
    const worker_id id = call.worker;
    waiting_poll& waiting = worker.waiting[number];
    waiting.done = done;
    waiting.timeout = loop_.after(call.wait,
                                  [this, id, number]
                                  {
                                      simulated_worker& polled = workers_.at(id);
                                      const auto found = polled.waiting.find(number);
                                      const std::function<void(poll_answer)> reply =
                                          found->second.done;
                                      polled.waiting.erase(found);
                                      reply(answer(polled));
                                  });
}

command_outcome simulated_workers::start(const start_command& command, fence_token token)
{
    simulated_worker& worker = workers_.at(command.worker);
    if (!worker.up)
        return command_outcome::unanswered;
    if (token < worker.token)
        return command_outcome::fenced;
    worker.token = token;
    const task_ref& task = command.run.task;
    const auto present = worker.runs.find(task);
    if (present != worker.runs.end() && present->second.number == command.run.run)
        return command_outcome::accepted;
    const auto ended = worker.last_ended_runs.find(task);
    if (present != worker.runs.end() ||
        (ended != worker.last_ended_runs.end() && command.run.run <= ended->second))
        return command_outcome::superseded;
    if (clock_of(worker) > command.deadline)
        return command_outcome::late;
    if (!is_permitted(worker, command))
        return command_outcome::no_ticket;
    extend_lease(worker, command.deadline);
    run_event event;
    event.at = loop_.clock().now();
    event.worker = worker.info.id;
    event.incarnation = worker.info.incarnation;
    event.type = run_event::kind::started;
    event.run = command.run;
    event.payload = command.payload;
    history_.run_events.push_back(std::move(event));
    simulated_run& added = worker.runs[task];
    added.number = command.run.run;
    const step_spec& step = step_of(task);
    added.work_time = std::chrono::duration_cast<duration>(step.estimate *
                                                           (0.7 + 0.6 * random_.unit()));
    const bool is_faulty = loop_.clock().now() < worker.fails_runs_until;
    if (is_faulty)
        added.work_time /= faulty_run_divisor;
    added.will_fail = random_.unit() < failure_probability || is_faulty ||
                      history_.failing_tasks.contains(task);
    if (!step.gang)
    {
        start_work(worker, task);
        return command_outcome::accepted;
    }
    const worker_id id = command.worker;
    added.end_timer = loop_.after(gang_wait, [this, id, task]
                                  { end_run(workers_.at(id), task, run_end::alone); });
    start_complete_gang(command.run.task);
    return command_outcome::accepted;
}

bool simulated_workers::is_permitted(const simulated_worker& worker,
                                     const start_command& command) const
{
    if (!ticket_queue_)
        return true;
    const auto found = tickets_.find(command.permission);
    return found != tickets_.end() && found->second.worker == worker.info.id &&
           found->second.incarnation == worker.info.incarnation &&
           found->second.job == command.run.task.job &&
           found->second.step == command.run.task.step &&
           loop_.clock().now() < found->second.valid_until;
}

std::optional<duration> simulated_workers::queue_advice(const advice_command& command,
                                                        std::size_t host)
{
    const boot_time now = loop_.clock().now();
    std::vector<boot_time>& waiting = advice_answers_[host];
    std::erase_if(waiting, [now](boot_time each) { return each <= now; });
    if (!ticket_queue_ || waiting.size() >= max_waiting_calls)
        return std::nullopt;
    const boot_time begin = waiting.empty() ? now : waiting.back();
    waiting.push_back(begin +
                      ticket_queue_->advice->answer_time(std::ssize(command.workers)));
    return waiting.back() - now;
}

advice_result simulated_workers::advise(const advice_command& command)
{
    advice_result result;
    result.job = command.job;
    result.step = command.step;
    result.answered = true;
    result.asked = command.workers;
    result.valid_ms = whole_ms(ticket_queue_->advice->valid);
    const std::set<worker_id>& admitted =
        history_.admitted.at({command.job, command.step});
    for (const worker_id& each : command.workers)
    {
        const auto worker = workers_.find(each);
        if (!admitted.contains(each) || worker == workers_.end())
            continue;
        const ticket issued("t" + std::to_string(tickets_.size()));
        tickets_[issued] = {each, worker->second.info.incarnation, command.job,
                            command.step,
                            loop_.clock().now() + ticket_queue_->advice->valid};
        result.tickets.emplace_back(each, issued);
    }
    return result;
}

/// Starts the work of a gang when all members of one run have started.
void simulated_workers::start_complete_gang(const task_ref& task)
{
    const step_spec& step = step_of(task);
    std::map<run_number, std::vector<std::pair<worker_id, task_ref>>> present;
    for (const auto& [id, worker] : workers_)
        for (const auto& [ref, run] : worker.runs)
            if (ref.job == task.job && ref.step == task.step)
                present[run.number].emplace_back(id, ref);
    for (const auto& [number, members] : present)
        if (members.size() == step.count)
            for (const auto& [id, ref] : members)
                start_work(workers_.at(id), ref);
}

void simulated_workers::start_work(simulated_worker& worker, const task_ref& task)
{
    simulated_run& run = worker.runs.at(task);
    run.working_since = loop_.clock().now();
    const worker_id id = worker.info.id;
    const run_number number = run.number;
    const run_end outcome = run.will_fail ? run_end::failed : run_end::done;
    const bool gang = step_of(task).gang;
    if (!step_of(task).persistent)
        run.end_timer = loop_.after(run.work_time,
                                    [this, id, task, number, outcome, gang]
                                    {
                                        if (gang && outcome == run_end::done)
                                            return end_gang_run(task, number, outcome);
                                        end_run(workers_.at(id), task, outcome);
                                    });
    const auto crashing = history_.crashing_tasks.find(task);
    if (crashing != history_.crashing_tasks.end())
        run.crash_timer = loop_.after(crashing->second, [this, id, task, number]
                                      { crash_by_task(id, task, number); });
}

void simulated_workers::crash_by_task(const worker_id& id, const task_ref& task,
                                      run_number run)
{
    // Erases the timer that is calling, so it runs from the loop.
    schedule(loop_, duration::zero(),
             [this, id, task, run]
             {
                 const simulated_worker& worker = workers_.at(id);
                 const auto found = worker.runs.find(task);
                 if (worker.up && found != worker.runs.end() &&
                     found->second.number == run)
                     end_process(id, restart_time, random_.below(2) == 0);
             });
}

void simulated_workers::end_run(simulated_worker& worker, task_ref task, run_end outcome)
{
    const auto found = worker.runs.find(task);
    const run_number number = found->second.number;
    worker.runs.erase(found);
    run_number& last = worker.last_ended_runs[task];
    last = std::max(last, number);
    ended_task end;
    end.number = end_number(++worker.last_end);
    end.run = {task, number};
    end.outcome = outcome;
    worker.ended.push_back(end);
    record_event(worker, run_event::kind::ended, end.run, outcome);
    answer_polls(worker);
    if (step_of(task).gang && outcome != run_end::done && outcome != run_end::broken)
        end_gang_run(task, number, run_end::broken);
}

/// Ends the remaining members of one run of a gang. If \p outcome isn't `done`, members
/// that haven't begun their work continue to wait.
void simulated_workers::end_gang_run(const task_ref& member, run_number run,
                                     run_end outcome)
{
    std::vector<std::pair<worker_id, task_ref>> members;
    for (const auto& [id, worker] : workers_)
        for (const auto& [ref, present] : worker.runs)
            if (ref.job == member.job && ref.step == member.step &&
                present.number == run &&
                (outcome == run_end::done || present.working_since))
                members.emplace_back(id, ref);
    for (const auto& [id, ref] : members)
        end_run(workers_.at(id), ref, outcome);
}

command_outcome simulated_workers::stop(const stop_command& command, fence_token token)
{
    simulated_worker& worker = workers_.at(command.worker);
    if (!worker.up)
        return command_outcome::unanswered;
    if (token < worker.token)
        return command_outcome::fenced;
    worker.token = token;
    const task_ref task = command.run.task;
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end() || found->second.number != command.run.run)
    {
        // A start command for this run that arrives later is superseded.
        run_number& last = worker.last_ended_runs[task];
        last = std::max(last, command.run.run);
        return command_outcome::accepted;
    }
    const worker_id id = command.worker;
    const run_number number = command.run.run;
    found->second.stop_timer = loop_.after(
        stop_grace,
        [this, id, task, number]
        {
            simulated_worker& stopping = workers_.at(id);
            const auto present = stopping.runs.find(task);
            if (present != stopping.runs.end() && present->second.number == number)
                end_run(stopping, task, run_end::stopped);
        });
    return command_outcome::accepted;
}

void simulated_workers::crash(const worker_id& id, duration pause)
{
    simulated_worker& worker = workers_.at(id);
    for (const auto& [task, run] : worker.runs)
        record_event(worker, run_event::kind::lost, {task, run.number}, run_end::lapsed);
    worker.runs.clear();
    worker.waiting.clear();
    worker.ended.clear();
    worker.last_ended_runs.clear();
    worker.lease_timer.reset();
    if (worker.up)
        record_of(worker).up_until = loop_.clock().now();
    worker.up = false;
    worker.restart_timer = loop_.after(pause, [this, id] { restart(id); });
}

void simulated_workers::restart(const worker_id& id)
{
    simulated_worker& restarted = workers_.at(id);
    restarted.up = true;
    restarted.process_ended = false;
    restarted.info.incarnation =
        worker_incarnation(loop_.clock().wall_now().time_since_epoch().count());
    restarted.info.draining = false;
    restarted.fails_runs_until = boot_time();
    restarted.token = fence_token();
    restarted.last_end = 0;
    restarted.lease_until = boot_time();
    begin_incarnation(restarted);
    history_.workers.push_back({restarted.info});
    history_.workers.back().up_since = restarted.started_at;
}

void simulated_workers::delay_entry(const worker_id& id, boot_time until)
{
    simulated_worker& worker = workers_.at(id);
    worker.late_entry = worker.info;
    worker.entry_late_until = until;
}

void simulated_workers::reset_polls(simulated_worker& worker)
{
    std::map<std::uint64_t, waiting_poll> waiting;
    waiting.swap(worker.waiting);
    poll_answer reset;
    reset.outcome = command_outcome::unanswered;
    for (const auto& [number, poll] : waiting)
        poll.done(reset);
}

void simulated_workers::end_process(const worker_id& id, duration pause, bool new_id)
{
    simulated_worker& worker = workers_.at(id);
    if (!worker.up)
        return;
    reset_polls(worker);
    crash(id, pause);
    worker.process_ended = true;
    worker.entry_listed_until = loop_.clock().now() + entry_retention;
    if (!new_id)
        return;
    worker.restart_timer =
        loop_.after(pause,
                    [this, id]
                    {
                        simulated_worker& ended = workers_.at(id);
                        ended.replaced = true;
                        worker_info info = ended.info;
                        info.id =
                            worker_id(id.value() + "." + std::to_string(++last_new_id_));
                        simulated_worker& added = workers_[info.id];
                        added.info = info;
                        begin_incarnation(added);
                        history_.workers.push_back({info});
                        history_.workers.back().up_since = added.started_at;
                    });
}

void simulated_workers::resize(const worker_id& id, std::int64_t cores)
{
    simulated_worker& worker = workers_.at(id);
    worker.info.capacity.processors = millicores(cores * 1000);
    record_of(worker).capacity_changes.emplace_back(loop_.clock().now(),
                                                    worker.info.capacity);
}

std::optional<command_outcome> simulated_workers::refusal(const worker_id& id) const
{
    const simulated_worker& worker = workers_.at(id);
    if (worker.up && loop_.clock().now() < worker.resets_until)
        return command_outcome::no_listener;
    if (worker.up || !worker.process_ended || loop_.clock().now() < worker.cut_off_until)
        return std::nullopt;
    return worker.replaced ? command_outcome::other_worker : command_outcome::no_listener;
}

void simulated_workers::fail_runs(const worker_id& id, boot_time until)
{
    simulated_worker& worker = workers_.at(id);
    if (!worker.up)
        return;
    worker.fails_runs_until = std::max(worker.fails_runs_until, until);
    record_of(worker).faulty.emplace_back(loop_.clock().now(), until);
}

void simulated_workers::cut_off(const worker_id& id, boot_time until)
{
    workers_.at(id).cut_off_until = until;
    workers_.at(id).waiting.clear();
}

void simulated_workers::restrict_to(const std::set<std::size_t>& hosts,
                                    const worker_id& id, boot_time until)
{
    simulated_worker& worker = workers_.at(id);
    worker.only_hosts = hosts;
    worker.restricted_until = until;
    worker.waiting.clear();
}

void simulated_workers::reset_connections(const worker_id& id, boot_time until)
{
    workers_.at(id).resets_until = until;
    reset_polls(workers_.at(id));
}

void simulated_workers::delay_commands(const worker_id& id, boot_time until)
{
    workers_.at(id).delay_commands_until = until;
}

void simulated_workers::delay_polls(const worker_id& id, boot_time until)
{
    workers_.at(id).delay_polls_until = until;
}

void simulated_workers::drain(const worker_id& id, duration pause)
{
    simulated_worker& worker = workers_.at(id);
    if (!worker.up || worker.info.draining)
        return;
    worker.info.draining = true;
    record_of(worker).draining_since = loop_.clock().now();
    worker.restart_timer =
        loop_.after(pause, [this, id] { crash(id, std::chrono::seconds(3)); });
}

void simulated_workers::schedule(event_loop& loop, duration delay,
                                 std::function<void()> action)
{
    const std::uint64_t number = ++last_call_;
    scheduled_calls_[number] = loop.after(delay,
                                          [this, number, action = std::move(action)]
                                          {
                                              const std::function<void()> due = action;
                                              scheduled_calls_.erase(number);
                                              due();
                                          });
}

void simulated_workers::record_late_command()
{
    history_.late_commands.push_back(loop_.clock().now());
}

bool simulated_workers::is_cut_off(const worker_id& id, std::size_t host) const
{
    const simulated_worker& worker = workers_.at(id);
    const boot_time now = loop_.clock().now();
    return !worker.up || now < worker.cut_off_until ||
           (now < worker.restricted_until && !worker.only_hosts.contains(host));
}

duration simulated_workers::command_delay(const worker_id& id)
{
    return call_delay(workers_.at(id).delay_commands_until, random_);
}

duration simulated_workers::poll_delay(const worker_id& id)
{
    return call_delay(workers_.at(id).delay_polls_until, poll_delays_);
}

duration simulated_workers::call_delay(boot_time until, random_source& random) const
{
    if (loop_.clock().now() >= until)
        return duration::zero();
    return duration(static_cast<std::int64_t>(
        random.unit() * static_cast<double>(max_command_delay.count())));
}

std::vector<worker_info> simulated_workers::entries() const
{
    std::vector<worker_info> listed;
    const boot_time now = loop_.clock().now();
    for (const auto& [id, worker] : workers_)
        if (worker.late_entry && now < worker.entry_late_until)
            listed.push_back(*worker.late_entry);
        else if (worker.up || now < worker.entry_listed_until)
            listed.push_back(worker.info);
    return listed;
}

std::vector<worker_id> simulated_workers::ids() const
{
    std::vector<worker_id> all;
    for (const auto& [id, worker] : workers_)
        if (!worker.replaced)
            all.push_back(id);
    return all;
}

simulated_port::simulated_port(event_loop& loop, event_loop& instance_loop,
                               simulated_workers& workers, std::size_t host,
                               duration call_time)
    : loop_(loop), instance_loop_(instance_loop), workers_(workers), host_(host),
      call_time_(call_time)
{
}

void simulated_port::prepare_call(std::function<void(simulated_port&)> send,
                                  std::function<void()> not_sent)
{
    if (call_time_ == duration::zero())
        return send(*this);
    const boot_time now = instance_loop_.clock().now();
    const boot_time begin = std::max(now, processor_free_at_);
    if (begin - now > command_timeout)
    {
        workers_.record_unsent_call();
        return workers_.schedule(instance_loop_, command_timeout, std::move(not_sent));
    }
    processor_free_at_ = begin + call_time_;
    // The host may end before.
    workers_.schedule(instance_loop_, processor_free_at_ - now,
                      [port = *this, send = std::move(send)]() mutable { send(port); });
}

void simulated_port::poll(const poll_call& call, std::function<void(poll_answer)> done)
{
    prepare_call([call, done](simulated_port& port) { port.send_poll(call, done); },
                 [done]
                 {
                     poll_answer not_sent;
                     not_sent.outcome = command_outcome::not_sent;
                     done(not_sent);
                 });
}

void simulated_port::send_poll(const poll_call& call,
                               std::function<void(poll_answer)> done)
{
    // The worker's answer or the time-out completes the call, whichever comes first.
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::function<void(poll_answer)> once =
        [answered, done = std::move(done)](poll_answer given)
    {
        if (!std::exchange(*answered, true))
            done(std::move(given));
    };
    poll_answer no_answer;
    no_answer.outcome = command_outcome::unanswered;
    workers_.schedule(instance_loop_, call.wait + command_timeout,
                      [once, no_answer] { once(no_answer); });
    const std::optional<command_outcome> refusal = workers_.refusal(call.worker);
    if (refusal)
    {
        poll_answer refused;
        refused.outcome = *refusal;
        return workers_.schedule(instance_loop_, 2 * link_delay,
                                 [once, refused] { once(refused); });
    }
    if (workers_.is_cut_off(call.worker, host_))
        return;
    const duration delay = workers_.poll_delay(call.worker);
    if (delay > duration::zero())
        return workers_.schedule(loop_, delay,
                                 [&workers = workers_, host = host_, call]
                                 {
                                     if (!workers.is_cut_off(call.worker, host))
                                         workers.poll(call, [](const poll_answer&) {});
                                 });
    workers_.schedule(
        loop_, link_delay,
        [&instance_loop = instance_loop_, &workers = workers_, host = host_, call, once]
        {
            if (workers.is_cut_off(call.worker, host))
                return;
            workers.poll(call,
                         [&instance_loop, &workers, once](const poll_answer& given) {
                             workers.schedule(instance_loop, link_delay,
                                              [once, given] { once(given); });
                         });
        });
}

void simulated_port::command(const worker_id& worker,
                             std::function<command_outcome()> execute,
                             std::function<void(command_outcome)> done)
{
    prepare_call([worker, execute = std::move(execute), done](simulated_port& port)
                 { port.send_command(worker, execute, done); },
                 [done] { done(command_outcome::not_sent); });
}

void simulated_port::send_command(const worker_id& worker,
                                  std::function<command_outcome()> execute,
                                  std::function<void(command_outcome)> done)
{
    const std::function<void()> unanswered =
        [&instance_loop = instance_loop_, &workers = workers_, done]
    {
        workers.schedule(instance_loop, command_timeout,
                         [done] { done(command_outcome::unanswered); });
    };
    const std::optional<command_outcome> refusal = workers_.refusal(worker);
    if (refusal)
        return workers_.schedule(instance_loop_, 2 * link_delay,
                                 [done, refusal] { done(*refusal); });
    if (workers_.is_cut_off(worker, host_))
        return unanswered();
    const duration delay = workers_.command_delay(worker);
    if (delay > duration::zero())
    {
        workers_.schedule(
            loop_, delay,
            [&workers = workers_, worker, host = host_, execute = std::move(execute)]
            {
                if (workers.is_cut_off(worker, host))
                    return;
                workers.record_late_command();
                execute();
            });
        return unanswered();
    }
    workers_.schedule(loop_, link_delay,
                      [&instance_loop = instance_loop_, &workers = workers_,
                       execute = std::move(execute), done = std::move(done)]
                      {
                          const command_outcome outcome = execute();
                          workers.schedule(instance_loop, link_delay,
                                           [done, outcome] { done(outcome); });
                      });
}

void simulated_port::start(const start_command& given, fence_token token,
                           std::function<void(command_outcome)> done)
{
    command(
        given.worker,
        [&workers = workers_, given, token] { return workers.start(given, token); },
        std::move(done));
}

void simulated_port::stop(const stop_command& given, fence_token token,
                          std::function<void(command_outcome)> done)
{
    command(
        given.worker,
        [&workers = workers_, given, token] { return workers.stop(given, token); },
        std::move(done));
}

void simulated_port::advise(const advice_command& command, duration timeout,
                            std::function<void(advice_result)> done)
{
    const std::optional<duration> wait = workers_.queue_advice(command, host_);
    if (wait && *wait < timeout)
        return workers_.schedule(loop_, *wait,
                                 [&instance_loop = instance_loop_, &workers = workers_,
                                  command, done = std::move(done)]
                                 {
                                     const advice_result result = workers.advise(command);
                                     workers.schedule(instance_loop, link_delay,
                                                      [done, result] { done(result); });
                                 });
    advice_result refused;
    refused.job = command.job;
    refused.step = command.step;
    refused.asked = command.workers;
    workers_.schedule(instance_loop_, wait ? timeout : link_delay,
                      [done = std::move(done), refused] { done(refused); });
}

void simulated_directory::start(
    std::function<void(const std::vector<worker_info>&)> changed)
{
    poll_ = instance_loop_.every(period_,
                                 [this, changed = std::move(changed)]
                                 {
                                     current_until_ = instance_loop_.clock().now();
                                     changed(workers_.entries());
                                 });
}

void simulated_directory::stop()
{
    poll_.reset();
}

} // namespace hawthornbeam::cell
