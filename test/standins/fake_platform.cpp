#include "test/standins/fake_platform.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornbeam::standins
{

hosted_worker& fake_worker_gateway::add(const worker_address& address,
                                        worker_options options)
{
    workers_[address] = std::make_unique<hosted_worker>(loop_, std::move(options));
    return *workers_[address];
}

hosted_worker& fake_worker_gateway::worker(const worker_address& address)
{
    assert(workers_.contains(address) && "the worker must have been added");
    return *workers_[address];
}

fault_settings& fake_worker_gateway::faults(const worker_address& address)
{
    return *faults_of(address);
}

std::shared_ptr<fault_settings>
fake_worker_gateway::faults_of(const worker_address& address)
{
    std::shared_ptr<fault_settings>& faults = faults_[address];
    if (!faults)
    {
        faults = std::make_shared<fault_settings>();
        faults->unreachable = !workers_.contains(address);
    }
    return faults;
}

std::vector<history_entry> fake_worker_gateway::history() const
{
    std::vector<history_entry> all;
    for (const std::pair<const worker_address, std::unique_ptr<hosted_worker>>& worker :
         workers_)
    {
        const std::vector<history_entry>& own = worker.second->state().history();
        all.insert(all.end(), own.begin(), own.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const history_entry& a, const history_entry& b)
                     { return a.at < b.at; });
    return all;
}

template <class T>
void fake_worker_gateway::change_state(const worker_address& worker, bool write,
                                       std::function<result<T>(worker_state&)> change,
                                       callback<T> done)
{
    calls_.call<T>(
        faults_of(worker), write, timeout_,
        [this, worker, change = std::move(change)](const callback<T>& answer)
        {
            hosted_worker& called = this->worker(worker);
            result<T> outcome = change(called.state());
            called.changed();
            answer(std::move(outcome));
        },
        std::move(done));
}

void fake_worker_gateway::acquire(const worker_address& worker, const instance_id& owner,
                                  callback<lease_grant> done)
{
    change_state<lease_grant>(
        worker, true, [owner](worker_state& state) { return state.acquire(owner); },
        std::move(done));
}

void fake_worker_gateway::release(const worker_address& worker, generation held,
                                  callback<bool> done)
{
    change_state<bool>(
        worker, true, [held](worker_state& state) { return state.release(held); },
        std::move(done));
}

void fake_worker_gateway::start(const worker_address& worker, generation held,
                                std::vector<task_start> tasks,
                                callback<std::vector<start_outcome>> done)
{
    change_state<std::vector<start_outcome>>(
        worker, true,
        [held, tasks = std::move(tasks)](worker_state& state)
        { return state.start(held, tasks); },
        std::move(done));
}

void fake_worker_gateway::events(const worker_address& worker, generation held,
                                 std::uint64_t after, duration wait,
                                 callback<worker_events> done)
{
    calls_.call<worker_events>(
        faults_of(worker), false, timeout_ + wait,
        [this, worker, held, after, wait](callback<worker_events> answer)
        { this->worker(worker).events(held, after, wait, std::move(answer)); },
        std::move(done));
}

void fake_worker_gateway::list(const worker_address& worker,
                               callback<std::vector<task_report>> done)
{
    change_state<std::vector<task_report>>(
        worker, false,
        [](worker_state& state) -> result<std::vector<task_report>>
        { return state.list(); },
        std::move(done));
}

void fake_worker_gateway::task(const worker_address& worker, const task_id& id,
                               callback<std::optional<task_report>> done)
{
    change_state<std::optional<task_report>>(
        worker, false,
        [id](worker_state& state) -> result<std::optional<task_report>>
        { return state.task(id); },
        std::move(done));
}

void fake_worker_gateway::acknowledge(const worker_address& worker, generation held,
                                      std::vector<task_id> tasks, callback<bool> done)
{
    change_state<bool>(
        worker, true,
        [held, tasks = std::move(tasks)](worker_state& state)
        { return state.acknowledge(held, tasks); },
        std::move(done));
}

void fake_worker_gateway::control(const worker_address& worker, generation held,
                                  const task_id& id, task_action action,
                                  callback<bool> done)
{
    change_state<bool>(
        worker, true,
        [held, id, action](worker_state& state)
        { return state.control(held, id, action); },
        std::move(done));
}

void fake_host_list::list(callback done)
{
    calls_.call<std::vector<host_entry>>(
        faults_, false, timeout_,
        [this](const callback& answer) { answer(state_.shown()); }, std::move(done));
}

} // namespace hawthornbeam::standins
