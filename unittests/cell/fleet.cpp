#include "fleet.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{
constexpr std::int64_t worker_millicores = 8000;
constexpr std::int64_t worker_bytes = std::int64_t{32} << 30U;
} // namespace

fleet::fleet(std::size_t count, bool poll_initially)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        simulated_worker& added = workers_["w" + std::to_string(number)];
        added.info.id = worker_id("w" + std::to_string(number));
        added.info.address = endpoint("10.0.0.1:" + std::to_string(8000 + number));
        added.info.service = service_name("pool");
        added.info.capacity = resources{millicores(worker_millicores),
                                        byte_count(worker_bytes), accelerator_count()};
        added.info.incarnation = worker_incarnation(1000);
        publish(added.info.id.value());
        cell.allow_worker(added.info.id);
    }
    if (poll_initially)
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
    simulated_worker& worker = workers_.at(command.worker.value());
    command_result result;
    result.worker = command.worker;
    result.run = command.run;
    const auto last_ended = worker.last_ended_runs.find(command.run.task);
    const bool superseded = last_ended != worker.last_ended_runs.end() &&
                            command.run.run <= last_ended->second;
    if (outcome == delivery::invalid)
        result.outcome = command_outcome::invalid;
    else if (outcome == delivery::refused || superseded)
        result.outcome =
            superseded ? command_outcome::superseded : command_outcome::no_room;
    else if (outcome != delivery::lost)
    {
        worker.running[command.run.task] = command.run.run;
        update_max_millicores(worker);
    }
    if (outcome == delivery::lost || outcome == delivery::answer_lost)
        result.outcome = command_outcome::unanswered;
    result.position = event_position{1, ++worker.event_count};
    cell.observe(result, clock.now());
}

void fleet::deliver(const stop_command& command)
{
    simulated_worker& worker = workers_.at(command.worker.value());
    const auto found = worker.running.find(command.run.task);
    if (found != worker.running.end() && found->second == command.run.run)
        end(command.run, run_end::stopped);
    run_number& last = worker.last_ended_runs[command.run.task];
    last = std::max(last, command.run.run);
    command_result result;
    result.worker = command.worker;
    result.run = command.run;
    result.stop = true;
    result.position = event_position{1, ++worker.event_count};
    cell.observe(result, clock.now());
}

void fleet::update_max_millicores(const simulated_worker& worker)
{
    std::int64_t used = 0;
    for (const auto& [task, run] : worker.running)
        used += jobs_.at(task.job).steps[task.step].size.processors.value();
    max_millicores_ = std::max(max_millicores_, used);
}

void fleet::freeze_progress(const std::string& worker_name, std::uint32_t percent)
{
    simulated_worker& worker = workers_.at(worker_name);
    worker.progress_percent = percent;
    worker.progress_frozen = true;
}

poll_result fleet::look(const std::string& worker_name)
{
    simulated_worker& worker = workers_.at(worker_name);
    poll_result poll;
    poll.worker = worker.info.id;
    poll.sent_position = event_position{1, worker.event_count};
    poll.incarnation = worker.info.incarnation;
    poll.clock = worker_time(5000);
    // Running tasks progress by 1 % from poll to poll.
    if (!worker.progress_frozen)
        ++worker.progress_percent;
    for (const auto& [task, run] : worker.running)
        poll.running.push_back({{task, run}, checkpoint(), worker.progress_percent});
    poll.ended = worker.ended;
    if (poll.ended.size() > max_listed_ends_)
        poll.ended.resize(max_listed_ends_);
    poll.ends_complete = poll.ended.size() < max_listed_ends_;
    return poll;
}

void fleet::acknowledge(const pending_changes& batch)
{
    for (const acknowledge_command& each : batch.covered)
        std::erase_if(workers_.at(each.worker.value()).ended,
                      [&each](const ended_task& end) { return end.number <= each.last; });
}

void fleet::poll(const std::string& worker_name)
{
    cell.observe(look(worker_name), clock.now());
}

void fleet::poll_all()
{
    for (const auto& [name, worker] : workers_)
        poll(name);
}

void fleet::end(const run_ref& run, run_end outcome)
{
    for (auto& [name, worker] : workers_)
    {
        const auto found = worker.running.find(run.task);
        if (found == worker.running.end() || found->second != run.run)
            continue;
        worker.running.erase(found);
        worker.last_ended_runs[run.task] = run.run;
        worker.ended.push_back(
            {end_number(++worker.last_end_number), run, outcome, checkpoint()});
    }
}

void fleet::end_all(run_end outcome)
{
    std::vector<run_ref> running_runs;
    for (const auto& [name, worker] : workers_)
        for (const auto& [task, run] : worker.running)
            running_runs.push_back({task, run});
    for (const run_ref& run : running_runs)
        end(run, outcome);
}

refused_poll fleet::refuse_poll(const std::string& worker_name, bool other_worker)
{
    simulated_worker& worker = workers_.at(worker_name);
    return refused_poll{worker.info.id, worker.info.address,
                        event_position{1, ++worker.event_count}, other_worker, 0};
}

void fleet::end_process(const std::string& worker_name, bool other_worker)
{
    workers_.at(worker_name).running.clear();
    cell.observe(refuse_poll(worker_name, other_worker), clock.now());
}

void fleet::hand_over_to(scheduler& next) const
{
    next.configure(queues_);
    for (const auto& [name, worker] : workers_)
    {
        next.update_worker(worker.info, clock.now());
        next.allow_worker(worker.info.id);
    }
}

void fleet::restart(const std::string& worker_name)
{
    simulated_worker& worker = workers_.at(worker_name);
    worker.running.clear();
    worker.last_ended_runs.clear();
    worker.ended.clear();
    worker.last_end_number = 0;
    worker.info.incarnation = worker_incarnation(worker.info.incarnation.value() + 1);
    publish(worker_name);
}

pending_changes fleet::store_changes()
{
    const pending_changes batch = cell.take_changes();
    cell.stored(batch, clock.now());
    return batch;
}

std::vector<std::pair<worker_id, run_ref>> fleet::runs(const std::string& job) const
{
    std::vector<std::pair<worker_id, run_ref>> found;
    for (const auto& [name, worker] : workers_)
        for (const auto& [task, run] : worker.running)
            if (task.job.value() == job)
                found.emplace_back(worker.info.id, run_ref{task, run});
    return found;
}

} // namespace hawthornbeam::cell
