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

fleet::fleet(std::size_t count, bool looked)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        worker& added = workers_["w" + std::to_string(number)];
        added.info.id = worker_id("w" + std::to_string(number));
        added.info.address = endpoint("10.0.0.1:" + std::to_string(8000 + number));
        added.info.service = service_name("pool");
        added.info.capacity = resources{millicores(worker_millicores),
                                        byte_count(worker_bytes), accelerator_count()};
        added.info.life = worker_life(1000);
        publish(added.info.id.value());
        cell.allow_worker(added.info.id);
    }
    if (looked)
        look_at_all();
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

decisions fleet::decide(delivery how)
{
    const decisions decided = cell.decide(clock.now());
    for (const stop_order& order : decided.stops)
        deliver(order);
    for (const start_order& order : decided.starts)
        deliver(order, how);
    return decided;
}

void fleet::deliver(const start_order& order, delivery how)
{
    worker& host = workers_.at(order.worker.value());
    order_result result;
    result.worker = order.worker;
    result.run = order.run;
    const auto ended = host.ended_runs.find(order.run.task);
    const bool superseded =
        ended != host.ended_runs.end() && order.run.run <= ended->second;
    if (how == delivery::refused || superseded)
        result.outcome = superseded ? order_outcome::superseded : order_outcome::no_room;
    else if (how != delivery::lost)
    {
        host.running[order.run.task] = order.run.run;
        measure(host);
    }
    if (how == delivery::lost || how == delivery::answer_lost)
        result.outcome = order_outcome::unanswered;
    result.seen = observation{1, ++host.events};
    cell.observe(result, clock.now());
}

void fleet::deliver(const stop_order& order)
{
    worker& host = workers_.at(order.worker.value());
    const auto found = host.running.find(order.run.task);
    if (found != host.running.end() && found->second == order.run.run)
        end(order.run, run_end::stopped);
    run_number& last = host.ended_runs[order.run.task];
    last = std::max(last, order.run.run);
    order_result result;
    result.worker = order.worker;
    result.run = order.run;
    result.stop = true;
    result.seen = observation{1, ++host.events};
    cell.observe(result, clock.now());
}

void fleet::measure(const worker& host)
{
    std::int64_t used = 0;
    for (const auto& [task, run] : host.running)
        used += jobs_.at(task.job).steps[task.step].size.processors.value();
    most_millicores_ = std::max(most_millicores_, used);
}

void fleet::stand_at(const std::string& worker_name, std::uint32_t percent)
{
    worker& host = workers_.at(worker_name);
    host.percent = percent;
    host.stands = true;
}

void fleet::look(const std::string& worker_name)
{
    worker& host = workers_.at(worker_name);
    worker_look seen;
    seen.worker = host.info.id;
    seen.began = observation{1, host.events};
    seen.life = host.info.life;
    seen.clock = worker_time(5000);
    // Running tasks make progress from look to look.
    if (!host.stands)
        ++host.percent;
    for (const auto& [task, run] : host.running)
        seen.running.push_back({{task, run}, checkpoint(), host.percent});
    seen.ended = host.ended;
    cell.observe(seen, clock.now());
}

void fleet::look_at_all()
{
    for (const auto& [name, host] : workers_)
        look(name);
}

void fleet::end(const run_ref& run, run_end how)
{
    for (auto& [name, host] : workers_)
    {
        const auto found = host.running.find(run.task);
        if (found == host.running.end() || found->second != run.run)
            continue;
        host.running.erase(found);
        host.ended_runs[run.task] = run.run;
        host.ended.push_back({end_number(++host.last_end), run, how, checkpoint()});
    }
}

void fleet::end_all(run_end how)
{
    std::vector<run_ref> all;
    for (const auto& [name, host] : workers_)
        for (const auto& [task, run] : host.running)
            all.push_back({task, run});
    for (const run_ref& run : all)
        end(run, how);
}

void fleet::restart(const std::string& worker_name)
{
    worker& host = workers_.at(worker_name);
    host.running.clear();
    host.ended_runs.clear();
    host.ended.clear();
    host.last_end = 0;
    host.info.life = worker_life(host.info.life.value() + 1);
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
