/// \file
/// Implements the workers of the scheduler's tests.
#include "fleet.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{
constexpr std::int64_t worker_millicores = 8000;
constexpr std::int64_t worker_bytes = std::int64_t{32} << 30U;
} // namespace

fleet::fleet(std::size_t count, bool polled)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        worker& added = workers_["w" + std::to_string(number)];
        added.info.id = worker_id("w" + std::to_string(number));
        added.info.address = endpoint("10.0.0.1:" + std::to_string(8000 + number));
        added.info.service = service_name("pool");
        added.info.capacity = resources{millicores(worker_millicores),
                                        byte_count(worker_bytes), accelerator_count()};
        added.info.incarnation = worker_incarnation(1000);
        publish(added.info.id.value());
        cell.allow_worker(added.info.id);
    }
    if (polled)
        poll_all();
}

void fleet::publish(const std::string& worker)
{
    cell.update_worker(workers_.at(worker).info, clock.now());
}

void fleet::add_queue(const std::string& name, int priority, std::uint32_t attempts,
                      double stretch, duration objective)
{
    queue_policy queue;
    queue.name = queue_name(name);
    queue.service = service_name("pool");
    queue.priority = priority;
    queue.attempts = attempts;
    queue.stretch = stretch;
    queue.objective = objective;
    queues_.push_back(queue);
    cell.configure(queues_);
}

job_spec fleet::job(const std::string& id, const std::string& queue, std::uint32_t count,
                    std::int64_t cores, duration run_time)
{
    job_spec spec;
    spec.id = job_key(id);
    spec.queue = queue_name(queue);
    spec.payload = "payload of " + id;
    step_spec step;
    step.count = count;
    step.size.processors = millicores(cores * 1000);
    step.estimate = run_time;
    spec.steps.push_back(step);
    return spec;
}

bool fleet::submit(const job_spec& spec, bool inherited)
{
    jobs_[spec.id] = spec;
    return cell.add_job(spec, inherited, clock.now());
}

decisions fleet::decide(delivery outcome)
{
    const decisions decided = cell.decide(clock.now());
    for (const stop_command& command : decided.stops)
        deliver(command);
    for (const start_command& command : decided.starts)
        deliver(command, outcome);
    return decided;
}

void fleet::deliver(const start_command& command, delivery outcome)
{
    worker& host = workers_.at(command.worker.value());
    command_result result;
    result.worker = command.worker;
    result.run = command.run;
    const auto ended = host.ended_runs.find(command.run.task);
    const bool superseded =
        ended != host.ended_runs.end() && command.run.run <= ended->second;
    if (outcome == delivery::refused || superseded)
        result.outcome =
            superseded ? command_outcome::superseded : command_outcome::no_room;
    else if (outcome != delivery::lost)
    {
        host.running[command.run.task] = command.run.run;
        measure(host);
    }
    if (outcome == delivery::lost || outcome == delivery::answer_lost)
        result.outcome = command_outcome::unanswered;
    result.position = event_position{1, ++host.events};
    cell.observe(result, clock.now());
}

void fleet::deliver(const stop_command& command)
{
    worker& host = workers_.at(command.worker.value());
    const auto found = host.running.find(command.run.task);
    if (found != host.running.end() && found->second == command.run.run)
        end(command.run, run_end::stopped);
    run_number& last = host.ended_runs[command.run.task];
    last = std::max(last, command.run.run);
    command_result result;
    result.worker = command.worker;
    result.run = command.run;
    result.stop = true;
    result.position = event_position{1, ++host.events};
    cell.observe(result, clock.now());
}

void fleet::measure(const worker& host)
{
    std::int64_t used = 0;
    for (const auto& [task, run] : host.running)
        used += jobs_.at(task.job).steps[task.step].size.processors.value();
    max_millicores_ = std::max(max_millicores_, used);
}

void fleet::stand_at(const std::string& worker_name, std::uint32_t percent)
{
    worker& host = workers_.at(worker_name);
    host.percent = percent;
    host.stands = true;
}

void fleet::poll(const std::string& worker_name)
{
    worker& host = workers_.at(worker_name);
    poll_result seen;
    seen.worker = host.info.id;
    seen.sent_position = event_position{1, host.events};
    seen.incarnation = host.info.incarnation;
    seen.clock = worker_time(5000);
    // Running tasks make progress from look to look.
    if (!host.stands)
        ++host.percent;
    for (const auto& [task, run] : host.running)
        seen.running.push_back({{task, run}, checkpoint(), host.percent});
    seen.ended = host.ended;
    cell.observe(seen, clock.now());
}

void fleet::poll_all()
{
    for (const auto& [name, host] : workers_)
        poll(name);
}

void fleet::end(const run_ref& run, run_end outcome)
{
    for (auto& [name, host] : workers_)
    {
        const auto found = host.running.find(run.task);
        if (found == host.running.end() || found->second != run.run)
            continue;
        host.running.erase(found);
        host.ended_runs[run.task] = run.run;
        host.ended.push_back({end_number(++host.last_end), run, outcome, checkpoint()});
    }
}

void fleet::end_all(run_end outcome)
{
    std::vector<run_ref> all;
    for (const auto& [name, host] : workers_)
        for (const auto& [task, run] : host.running)
            all.push_back({task, run});
    for (const run_ref& run : all)
        end(run, outcome);
}

void fleet::restart(const std::string& worker_name)
{
    worker& host = workers_.at(worker_name);
    host.running.clear();
    host.ended_runs.clear();
    host.ended.clear();
    host.last_end = 0;
    host.info.incarnation = worker_incarnation(host.info.incarnation.value() + 1);
    publish(worker_name);
}

pending_changes fleet::store()
{
    const pending_changes batch = cell.take_changes();
    cell.stored(batch, clock.now());
    return batch;
}

std::vector<std::pair<worker_id, run_ref>> fleet::runs(const std::string& job) const
{
    std::vector<std::pair<worker_id, run_ref>> found;
    for (const auto& [name, host] : workers_)
        for (const auto& [task, run] : host.running)
            if (task.job.value() == job)
                found.emplace_back(host.info.id, run_ref{task, run});
    return found;
}

} // namespace hawthornbeam::cell
