/// \file
/// Orders under way: bounds the starts and stops that are sent at the same time by what
/// agents and workers answer in time. What exceeds the bound stays with the scheduler,
/// which can still reorder it.
#include "cell_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Initial sizes of the windows, before any answer is known.
constexpr std::uint32_t initial_agent_orders = 32;
constexpr std::uint32_t initial_worker_orders = 16;
/// Answers are in time within this part of the time after which an order counts as
/// unanswered.
constexpr int acceptable_divisor = 4;
/// An order whose end was not reported counts as unanswered after this many times the
/// time-out of an answer.
constexpr int lost_order_factor = 2;

} // namespace

order_window scheduler::implementation::new_window(std::uint32_t initial) const
{
    return order_window({initial, limits.answer_limit / acceptable_divisor});
}

void scheduler::implementation::set_agent(worker_status& worker, const instance_id& agent)
{
    worker.agent = agent;
    worker.orders =
        &agents
             .try_emplace(agent, agent_orders{new_window(initial_agent_orders),
                                              new_window(initial_agent_orders)})
             .first->second;
}

order_window& scheduler::implementation::starts_of(worker_status& worker)
{
    if (!worker.starts)
        worker.starts = new_window(initial_worker_orders);
    return *worker.starts;
}

void scheduler::assign_agent(const worker_id& worker, const instance_id& agent)
{
    implementation& self = *implementation_;
    const auto found = self.workers.find(worker);
    if (found == self.workers.end() || found->second.agent == agent)
        return;
    // The former agent may be gone, and its answers with it.
    self.end_orders(found->second);
    const instance_id former = found->second.agent;
    self.set_agent(found->second, agent);
    const bool is_used = std::ranges::any_of(
        self.workers, [&former](const std::pair<const worker_id, worker_status>& entry)
        { return entry.second.agent == former; });
    if (!is_used)
        self.agents.erase(former);
}

bool scheduler::implementation::has_start_room(const worker_status& worker,
                                               const step_spec& spec,
                                               const step_status& step) const
{
    if (worker.starts && !worker.starts->has_room(order_share::all))
        return false;
    const order_window& of_agent = worker.orders->starts;
    // All members of a gang are sent at once.
    const bool is_small = spec.gang || step.starts_under_way < of_agent.few_orders();
    return of_agent.has_room(is_small ? order_share::all : order_share::common);
}

void scheduler::implementation::add_start(worker_status& worker, step_status& step,
                                          run_record& record, boot_time now)
{
    record.start_ordered_at = now;
    ++step.starts_under_way;
    starts_of(worker).add();
    worker.orders->starts.add();
}

void scheduler::implementation::end_start(worker_status& worker, const task_ref& task,
                                          run_record& record, const order_ending& ending)
{
    const boot_time ordered_at = std::exchange(record.start_ordered_at, boot_time());
    if (ordered_at == boot_time())
        return;
    job_status* job = find_job(task.job);
    if (job != nullptr && task.step < job->steps.size())
        --job->steps[task.step].starts_under_way;
    order_window& of_agent = worker.orders->starts;
    order_window& of_worker = starts_of(worker);
    switch (ending.kind)
    {
    case order_end::answered:
        of_agent.record_answer(ending.now - ordered_at, ending.now);
        of_worker.record_answer(ending.now - ordered_at, ending.now);
        break;
    case order_end::unanswered:
        // The agent has sent it, and other workers may answer.
        of_agent.remove();
        of_worker.record_timeout(ending.now);
        break;
    case order_end::not_sent:
        of_agent.record_timeout(ending.now);
        of_worker.remove();
        break;
    case order_end::dropped:
        of_agent.remove();
        of_worker.remove();
        break;
    }
}

void scheduler::implementation::end_stop(worker_status& worker, run_record& record,
                                         const order_ending& ending)
{
    const boot_time ordered_at = std::exchange(record.stop_ordered_at, boot_time());
    if (ordered_at == boot_time())
        return;
    order_window& of_agent = worker.orders->stops;
    if (ending.kind == order_end::answered)
        of_agent.record_answer(ending.now - ordered_at, ending.now);
    else if (ending.kind == order_end::not_sent)
        of_agent.record_timeout(ending.now);
    else
        of_agent.remove();
}

void scheduler::implementation::end_orders(worker_status& worker, const task_ref& task,
                                           run_record& record)
{
    end_start(worker, task, record, {order_end::dropped, boot_time()});
    end_stop(worker, record, {order_end::dropped, boot_time()});
}

void scheduler::implementation::end_orders(worker_status& worker)
{
    for (auto& [task, record] : worker.runs)
        end_orders(worker, task, record);
}

void scheduler::implementation::end_lost_orders(boot_time now)
{
    const duration longest = limits.answer_limit * lost_order_factor;
    for (auto& [id, worker] : workers)
        for (auto& [task, record] : worker.runs)
        {
            if (record.start_ordered_at != boot_time() &&
                now - record.start_ordered_at > longest)
                end_start(worker, task, record, {order_end::not_sent, now});
            if (record.stop_ordered_at != boot_time() &&
                now - record.stop_ordered_at > longest)
                end_stop(worker, record, {order_end::not_sent, now});
        }
}

void scheduler::implementation::queue_stop(const worker_id& worker,
                                           const endpoint& address, const task_ref& task,
                                           run_record& record)
{
    record.stop_waits = true;
    stops.push_back({worker, address, {task, record.run}});
}

std::vector<stop_command> scheduler::implementation::order_stops(boot_time now)
{
    std::vector<stop_command> ordered;
    std::vector<stop_command> waiting;
    for (stop_command& stop : stops)
    {
        const auto worker = workers.find(stop.worker);
        if (worker == workers.end())
        {
            ordered.push_back(std::move(stop));
            continue;
        }
        order_window& window = worker->second.orders->stops;
        if (!window.has_room(order_share::all))
        {
            waiting.push_back(std::move(stop));
            continue;
        }
        stop.address = worker->second.info.address;
        const auto record = worker->second.runs.find(stop.run.task);
        if (record != worker->second.runs.end() && record->second.run == stop.run.run)
        {
            run_record& run = record->second;
            run.stop_waits = false;
            run.command_sent_at = now;
            end_stop(worker->second, run, {order_end::dropped, now});
            run.stop_ordered_at = now;
            window.add();
        }
        ordered.push_back(std::move(stop));
    }
    stops = std::move(waiting);
    return ordered;
}

void scheduler::implementation::report_orders() const
{
    std::uint64_t size = 0;
    std::uint64_t starts_under_way = 0;
    std::uint64_t stops_under_way = 0;
    for (const auto& [id, orders] : agents)
    {
        size += orders.starts.limit();
        starts_under_way += orders.starts.under_way();
        stops_under_way += orders.stops.under_way();
    }
    metrics.set_gauge("hawthornbeam_start_window", {}, static_cast<double>(size));
    metrics.set_gauge("hawthornbeam_orders_under_way", {{"order", "start"}},
                      static_cast<double>(starts_under_way));
    metrics.set_gauge("hawthornbeam_orders_under_way", {{"order", "stop"}},
                      static_cast<double>(stops_under_way));
    metrics.set_gauge("hawthornbeam_stops_waiting", {},
                      static_cast<double>(stops.size()));
}

} // namespace hawthornbeam::cell
