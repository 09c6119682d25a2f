/// \file
/// Implements the workers of a simulated cell.
#include "simulated_workers.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

using standins::run_event;

/// Bounds of the users' pages: `kill-grace-ms`, `gang-ms`, `hold-max-ms`.
constexpr duration stop_time = std::chrono::milliseconds(400);
constexpr duration gang_wait = std::chrono::milliseconds(3000);
constexpr duration max_lease = std::chrono::milliseconds(6000);
/// Of a connection, and the time-outs of a caller.
constexpr duration link_delay = std::chrono::milliseconds(1);
constexpr duration command_timeout = std::chrono::milliseconds(700);
/// Part of runs that fail by their own fault.
constexpr double failing_part = 0.05;
/// Orders are carried out late by at most this.
constexpr duration max_delay = std::chrono::milliseconds(8000);
/// A change shows in the list of workers after it.
constexpr duration list_period = std::chrono::milliseconds(250);

std::int64_t whole_ms(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

simulated_workers::simulated_workers(event_loop& loop, std::uint64_t seed,
                                     standins::cell_history& history)
    : loop_(loop), random_(seed), history_(history)
{
}

void simulated_workers::add(const std::string& name, std::int64_t cores)
{
    simulated_worker& added = workers_[worker_id(name)];
    added.info.id = worker_id(name);
    added.info.address = endpoint(name + ":1");
    added.info.service = service_name("pool");
    added.info.incarnation = worker_incarnation(1000);
    added.info.capacity =
        resources{millicores(cores * 1000), byte_count(std::int64_t{32} << 30U),
                  accelerator_count()};
    added.born = loop_.clock().now();
    history_.workers.push_back({added.info, boot_time::max()});
}

void simulated_workers::note(const simulated_worker& host, run_event::kind what,
                             const run_ref& run, run_end outcome)
{
    run_event event;
    event.at = loop_.clock().now();
    event.worker = host.info.id;
    event.incarnation = host.info.incarnation;
    event.what = what;
    event.run = run;
    event.outcome = outcome;
    history_.runs.push_back(std::move(event));
}

const step_spec& simulated_workers::step_of(const task_ref& task) const
{
    return history_.submitted.at(task.job).steps.at(task.step);
}

worker_time simulated_workers::clock_of(const simulated_worker& host) const
{
    return worker_time(whole_ms(loop_.clock().now() - host.born));
}

void simulated_workers::extend_lease(simulated_worker& host, worker_time until)
{
    const boot_time now = loop_.clock().now();
    const boot_time wanted =
        std::min(host.born + std::chrono::milliseconds(until.value()), now + max_lease);
    host.lease_until = std::max(host.lease_until, wanted);
    const worker_id id = host.info.id;
    host.lease =
        loop_.after(host.lease_until - now,
                    [this, id]
                    {
                        simulated_worker& lapsed = workers_.at(id);
                        while (!lapsed.runs.empty())
                            end_run(lapsed, lapsed.runs.begin()->first, run_end::lapsed);
                    });
}

poll_answer simulated_workers::answer(const simulated_worker& host) const
{
    poll_answer given;
    given.poll.worker = host.info.id;
    given.poll.incarnation = host.info.incarnation;
    given.poll.clock = clock_of(host);
    given.poll.ended = host.ended;
    for (const auto& [task, run] : host.runs)
    {
        running_task shown;
        shown.run = {task, run.number};
        if (run.working_since && run.work > duration::zero())
            shown.percent = static_cast<std::uint32_t>(
                100 * (loop_.clock().now() - *run.working_since) / run.work);
        given.poll.running.push_back(shown);
    }
    return given;
}

void simulated_workers::answer_polls(simulated_worker& host)
{
    std::map<std::uint64_t, waiting_poll> waiting;
    waiting.swap(host.waiting);
    for (auto& [number, poll] : waiting)
        poll.done(answer(host));
}

void simulated_workers::poll(const poll_call& call,
                             const std::function<void(poll_answer)>& done)
{
    simulated_worker& host = workers_.at(call.worker);
    if (call.token < host.token)
    {
        poll_answer refused;
        refused.outcome = command_outcome::fenced;
        return done(refused);
    }
    host.token = call.token;
    if (call.lease_until)
        extend_lease(host, *call.lease_until);
    std::erase_if(host.ended,
                  [&](const ended_task& each)
                  {
                      if (each.number > call.acknowledged)
                          return false;
                      note(host, run_event::kind::acknowledged, each.run, each.outcome);
                      return true;
                  });
    if (!host.ended.empty() || call.wait <= duration::zero())
        return done(answer(host));
    const std::uint64_t number = ++host.last_poll;
    const worker_id id = call.worker;
    waiting_poll& waiting = host.waiting[number];
    waiting.done = done;
    waiting.timeout = loop_.after(call.wait,
                                  [this, id, number]
                                  {
                                      simulated_worker& asked = workers_.at(id);
                                      const auto found = asked.waiting.find(number);
                                      const std::function<void(poll_answer)> reply =
                                          found->second.done;
                                      asked.waiting.erase(found);
                                      reply(answer(asked));
                                  });
}

command_outcome simulated_workers::start(const start_command& command, fence_token token)
{
    simulated_worker& host = workers_.at(command.worker);
    if (!host.up)
        return command_outcome::unanswered;
    if (token < host.token)
        return command_outcome::fenced;
    host.token = token;
    const task_ref& task = command.run.task;
    const auto present = host.runs.find(task);
    if (present != host.runs.end() && present->second.number == command.run.run)
        return command_outcome::accepted;
    const auto ended = host.ended_runs.find(task);
    if (present != host.runs.end() ||
        (ended != host.ended_runs.end() && command.run.run <= ended->second))
        return command_outcome::superseded;
    if (clock_of(host) > command.deadline)
        return command_outcome::late;
    extend_lease(host, command.deadline);
    run_event event;
    event.at = loop_.clock().now();
    event.worker = host.info.id;
    event.incarnation = host.info.incarnation;
    event.what = run_event::kind::started;
    event.run = command.run;
    event.payload = command.payload;
    history_.runs.push_back(std::move(event));
    simulated_run& added = host.runs[task];
    added.number = command.run.run;
    const step_spec& step = step_of(task);
    added.work = std::chrono::duration_cast<duration>(step.estimate *
                                                      (0.7 + 0.6 * random_.unit()));
    added.fails = random_.unit() < failing_part;
    if (!step.gang)
    {
        work(host, task);
        return command_outcome::accepted;
    }
    const worker_id id = command.worker;
    added.end = loop_.after(gang_wait, [this, id, task]
                            { end_run(workers_.at(id), task, run_end::alone); });
    begin_work(command.run.task);
    return command_outcome::accepted;
}

/// Starts the work of a gang once all members of one run are there.
void simulated_workers::begin_work(const task_ref& task)
{
    const step_spec& step = step_of(task);
    std::map<run_number, std::vector<std::pair<worker_id, task_ref>>> present;
    for (const auto& [id, host] : workers_)
        for (const auto& [ref, run] : host.runs)
            if (ref.job == task.job && ref.step == task.step)
                present[run.number].emplace_back(id, ref);
    for (const auto& [number, members] : present)
        if (members.size() == step.count)
            for (const auto& [id, ref] : members)
                work(workers_.at(id), ref);
}

void simulated_workers::work(simulated_worker& host, const task_ref& task)
{
    simulated_run& run = host.runs.at(task);
    run.working_since = loop_.clock().now();
    const worker_id id = host.info.id;
    const run_number number = run.number;
    const run_end outcome = run.fails ? run_end::failed : run_end::done;
    const bool gang = step_of(task).gang;
    run.end = loop_.after(run.work,
                          [this, id, task, number, outcome, gang]
                          {
                              if (gang && outcome == run_end::done)
                                  return end_gang(task, number, outcome);
                              end_run(workers_.at(id), task, outcome);
                          });
}

void simulated_workers::end_run(simulated_worker& host, task_ref task, run_end outcome)
{
    const auto found = host.runs.find(task);
    const run_number number = found->second.number;
    host.runs.erase(found);
    run_number& last = host.ended_runs[task];
    last = std::max(last, number);
    ended_task end;
    end.number = end_number(++host.last_end);
    end.run = {task, number};
    end.outcome = outcome;
    host.ended.push_back(end);
    note(host, run_event::kind::ended, end.run, outcome);
    answer_polls(host);
    if (step_of(task).gang && outcome != run_end::done && outcome != run_end::broken)
        end_gang(task, number, run_end::broken);
}

/// Ends all members of one run of a gang that are still there.
void simulated_workers::end_gang(const task_ref& member, run_number run, run_end outcome)
{
    std::vector<std::pair<worker_id, task_ref>> members;
    for (const auto& [id, host] : workers_)
        for (const auto& [ref, present] : host.runs)
            if (ref.job == member.job && ref.step == member.step &&
                present.number == run &&
                (outcome == run_end::done || present.working_since))
                members.emplace_back(id, ref);
    for (const auto& [id, ref] : members)
        end_run(workers_.at(id), ref, outcome);
}

command_outcome simulated_workers::stop(const stop_command& command, fence_token token)
{
    simulated_worker& host = workers_.at(command.worker);
    if (!host.up)
        return command_outcome::unanswered;
    if (token < host.token)
        return command_outcome::fenced;
    host.token = token;
    const task_ref task = command.run.task;
    const auto found = host.runs.find(task);
    if (found == host.runs.end() || found->second.number != command.run.run)
    {
        // A run that comes later is refused.
        run_number& last = host.ended_runs[task];
        last = std::max(last, command.run.run);
        return command_outcome::accepted;
    }
    const worker_id id = command.worker;
    const run_number number = command.run.run;
    found->second.stop = loop_.after(stop_time,
                                     [this, id, task, number]
                                     {
                                         simulated_worker& stopping = workers_.at(id);
                                         const auto present = stopping.runs.find(task);
                                         if (present != stopping.runs.end() &&
                                             present->second.number == number)
                                             end_run(stopping, task, run_end::stopped);
                                     });
    return command_outcome::accepted;
}

void simulated_workers::crash(const worker_id& id, duration pause)
{
    simulated_worker& host = workers_.at(id);
    for (const auto& [task, run] : host.runs)
        note(host, run_event::kind::lost, {task, run.number}, run_end::lapsed);
    host.runs.clear();
    host.waiting.clear();
    host.ended.clear();
    host.ended_runs.clear();
    host.lease.reset();
    host.up = false;
    host.change =
        loop_.after(pause,
                    [this, id]
                    {
                        simulated_worker& next = workers_.at(id);
                        next.up = true;
                        next.info.incarnation =
                            worker_incarnation(next.info.incarnation.value() + 1000);
                        next.info.draining = false;
                        next.token = fence_token();
                        next.last_end = 0;
                        next.lease_until = boot_time();
                        next.born = loop_.clock().now();
                        history_.workers.push_back({next.info, boot_time::max()});
                    });
}

void simulated_workers::cut_off(const worker_id& id, boot_time until)
{
    workers_.at(id).cut_off_until = until;
    workers_.at(id).waiting.clear();
}

void simulated_workers::delay_commands(const worker_id& id, boot_time until)
{
    workers_.at(id).late_until = until;
}

void simulated_workers::drain(const worker_id& id, duration pause)
{
    simulated_worker& host = workers_.at(id);
    if (!host.up || host.info.draining)
        return;
    host.info.draining = true;
    for (standins::worker_record& record : history_.workers)
        if (record.info.id == id && record.info.incarnation == host.info.incarnation)
            record.draining_since = loop_.clock().now();
    host.change = loop_.after(pause, [this, id] { crash(id, std::chrono::seconds(3)); });
}

void simulated_workers::later(event_loop& loop, duration delay,
                              std::function<void()> action)
{
    const std::uint64_t number = ++last_call_;
    calls_[number] = loop.after(delay,
                                [this, number, action = std::move(action)]
                                {
                                    const std::function<void()> due = action;
                                    calls_.erase(number);
                                    due();
                                });
}

void simulated_workers::record_late_command()
{
    history_.late_commands.push_back(loop_.clock().now());
}

bool simulated_workers::is_cut_off(const worker_id& id) const
{
    const simulated_worker& host = workers_.at(id);
    return !host.up || loop_.clock().now() < host.cut_off_until;
}

duration simulated_workers::command_delay(const worker_id& id)
{
    if (loop_.clock().now() >= workers_.at(id).late_until)
        return duration::zero();
    return duration(static_cast<std::int64_t>(random_.unit() *
                                              static_cast<double>(max_delay.count())));
}

std::vector<worker_info> simulated_workers::entries() const
{
    std::vector<worker_info> listed;
    for (const auto& [id, host] : workers_)
        if (host.up)
            listed.push_back(host.info);
    return listed;
}

std::vector<worker_id> simulated_workers::ids() const
{
    std::vector<worker_id> all;
    for (const auto& [id, host] : workers_)
        all.push_back(id);
    return all;
}

simulated_port::simulated_port(event_loop& loop, event_loop& own,
                               simulated_workers& workers)
    : loop_(loop), own_(own), workers_(workers)
{
}

void simulated_port::poll(const poll_call& call, std::function<void(poll_answer)> done)
{
    // Whichever comes first answers the call: the worker or the time-out.
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::function<void(poll_answer)> once =
        [answered, done = std::move(done)](poll_answer given)
    {
        if (!std::exchange(*answered, true))
            done(std::move(given));
    };
    poll_answer nothing;
    nothing.outcome = command_outcome::unanswered;
    workers_.later(own_, call.wait + command_timeout, [once, nothing] { once(nothing); });
    if (workers_.is_cut_off(call.worker))
        return;
    workers_.later(loop_, link_delay,
                   [&own = own_, &workers = workers_, call, once]
                   {
                       if (workers.is_cut_off(call.worker))
                           return;
                       workers.poll(call,
                                    [&own, &workers, once](const poll_answer& given) {
                                        workers.later(own, link_delay,
                                                      [once, given] { once(given); });
                                    });
                   });
}

void simulated_port::command(const worker_id& worker,
                             std::function<command_outcome()> execute,
                             std::function<void(command_outcome)> done)
{
    const std::function<void()> unanswered = [&own = own_, &workers = workers_, done] {
        workers.later(own, command_timeout,
                      [done] { done(command_outcome::unanswered); });
    };
    if (workers_.is_cut_off(worker))
        return unanswered();
    const duration delay = workers_.command_delay(worker);
    if (delay > duration::zero())
    {
        workers_.later(loop_, delay,
                       [&workers = workers_, worker, execute = std::move(execute)]
                       {
                           if (workers.is_cut_off(worker))
                               return;
                           workers.record_late_command();
                           execute();
                       });
        return unanswered();
    }
    workers_.later(loop_, link_delay,
                   [&own = own_, &workers = workers_, execute = std::move(execute),
                    done = std::move(done)]
                   {
                       const command_outcome outcome = execute();
                       workers.later(own, link_delay, [done, outcome] { done(outcome); });
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

void simulated_port::advise(const advice_command& command, duration /*timeout*/,
                            std::function<void(advice_result)> done)
{
    advice_result refused;
    refused.job = command.job;
    refused.step = command.step;
    refused.asked = command.workers;
    workers_.later(own_, link_delay,
                   [done = std::move(done), refused] { done(refused); });
}

void simulated_directory::start(
    std::function<void(const std::vector<worker_info>&)> changed)
{
    poll_ = own_.every(list_period, [this, changed = std::move(changed)]
                       { changed(workers_.entries()); });
}

void simulated_directory::stop()
{
    poll_.reset();
}

} // namespace hawthornbeam::cell
