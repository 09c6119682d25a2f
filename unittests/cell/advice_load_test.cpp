/// \file
/// Tests placement under a load of gangs whose queue has an advice service. The hosts
/// that request advice are simulated; each sends one request at a time.
#include "fleet.hpp"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <queue>
#include <random>
#include <tuple>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick = milliseconds(20);
constexpr duration network_delay = milliseconds(40);
/// A host whose backlog of advice requests is this long takes no further long request.
constexpr duration max_backlog = milliseconds(1200);

/// A kind of job and its arrival rate.
struct job_stream
{
    queue_policy queue;
    double permitted_share = 1; ///< Share of the workers on which a step may run.
    bool gang = false;
    double per_second = 0;
    std::uint32_t min_count = 1;
    std::uint32_t max_count = 1;
    std::int64_t min_millicores = 1000;
    std::int64_t max_millicores = 1000;
    duration run_time = seconds(1);
};

job_stream make_stream(const std::string& name, int priority, double stretch,
                       duration objective)
{
    job_stream made;
    made.queue.name = queue_name(name);
    made.queue.service = service_name("pool");
    made.queue.priority = priority;
    made.queue.attempts = 4;
    made.queue.stretch = stretch;
    made.queue.objective = objective;
    return made;
}

/// Large gangs with slow advice that permits a quarter of the workers.
job_stream gangs(double per_second)
{
    job_stream made = make_stream("gangs", 1, 2.2, seconds(1));
    made.queue.advice = advice_policy{milliseconds(442), std::chrono::microseconds(6370),
                                      milliseconds(1500)};
    made.permitted_share = 0.25;
    made.gang = true;
    made.per_second = per_second;
    made.min_count = 4;
    made.max_count = 36;
    made.min_millicores = 10000;
    made.max_millicores = 26000;
    made.run_time = seconds(4);
    return made;
}

/// Small tasks with a higher priority than the gangs.
job_stream small_tasks(double per_second)
{
    job_stream made = make_stream("small", 0, 1.5, milliseconds(300));
    made.queue.advice = advice_policy{std::chrono::microseconds(11700),
                                      std::chrono::microseconds(169), milliseconds(1500)};
    made.permitted_share = 0.7;
    made.per_second = per_second;
    made.min_count = 1;
    made.max_count = 5;
    made.min_millicores = 5000;
    made.max_millicores = 15000;
    made.run_time = seconds(1);
    return made;
}

/// Simulates streams of jobs on workers of 64 cores.
class advice_load
{
public:
    advice_load(std::size_t workers, std::size_t hosts, std::vector<job_stream> streams)
        : fleet_(workers), host_free_at_(hosts), streams_(std::move(streams))
    {
        for (const worker_info& info : fleet_.cell.workers())
        {
            worker_info& changed = fleet_.info(info.id.value());
            changed.capacity =
                resources{millicores(worker_millicores),
                          byte_count(std::int64_t{256} << 30U), accelerator_count()};
            fleet_.publish(info.id.value());
        }
        std::vector<queue_policy> queues;
        for (const job_stream& each : streams_)
            queues.push_back(each.queue);
        fleet_.cell.configure(queues);
        fleet_.cell.set_advice_hosts(
            static_cast<std::uint32_t>(host_free_at_.size() - host_free_at_.size() / 4));
    }

    void simulate(duration length, bool with_arrivals)
    {
        const boot_time end = fleet_.clock.now() + length;
        while (fleet_.clock.now() < end)
        {
            fleet_.advance(tick);
            if (with_arrivals)
                submit_jobs();
            run_due_events();
            if (++ticks_ % 5 == 0)
                fleet_.poll_all();
            fleet_.store_changes();
            const decisions decided = fleet_.decide();
            for (const start_command& command : decided.starts)
                record_start(command);
            for (const advice_command& command : decided.advice)
                request_advice(command);
        }
    }

    /// Jobs of a queue that were submitted more than \p age ago and of which no
    /// task has started.
    std::size_t count_unstarted(const std::string& queue, duration age) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            submitted_,
            [&](const std::pair<const job_key, arrival>& entry)
            {
                return entry.second.queue == queue && !started_.contains(entry.first) &&
                       fleet_.clock.now() - entry.second.at > age;
            }));
    }

    std::size_t count_submitted(const std::string& queue) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            submitted_, [&](const std::pair<const job_key, arrival>& entry)
            { return entry.second.queue == queue; }));
    }

    /// The longest time from submission to the first start of a job.
    duration longest_wait(const std::string& queue) const
    {
        duration longest{};
        for (const auto& [job, at] : started_)
            if (submitted_.at(job).queue == queue)
                longest = std::max(longest, at - submitted_.at(job).at);
        return longest;
    }

    std::int64_t max_millicores() const { return fleet_.max_millicores(); }
    static constexpr std::int64_t worker_millicores = 64000;

private:
    struct arrival
    {
        std::string queue;
        boot_time at{};
        std::size_t kind = 0;
    };
    struct event
    {
        boot_time at{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    void schedule(duration delay, std::function<void()> action)
    {
        events_.push({fleet_.clock.now() + delay, ++events_added_, std::move(action)});
    }

    void run_due_events()
    {
        while (!events_.empty() && events_.top().at <= fleet_.clock.now())
        {
            const std::function<void()> action = events_.top().action;
            events_.pop();
            action();
        }
    }

    void submit_jobs()
    {
        for (std::size_t kind = 0; kind < streams_.size(); ++kind)
        {
            const job_stream& each = streams_[kind];
            const double mean =
                each.per_second * std::chrono::duration<double>(tick).count();
            for (int jobs = std::poisson_distribution<int>(mean)(random_); jobs > 0;
                 --jobs)
                submit_job(kind);
        }
    }

    void submit_job(std::size_t kind)
    {
        const job_stream& each = streams_[kind];
        const std::string queue = each.queue.name.value();
        const std::string id = queue + "-" + std::to_string(submitted_.size());
        job_spec spec = fleet::job(id, queue, between(each.min_count, each.max_count), 1,
                                   each.run_time);
        spec.steps[0].gang = each.gang;
        spec.steps[0].size.processors =
            millicores(between(each.min_millicores, each.max_millicores));
        submitted_[spec.id] = arrival{queue, fleet_.clock.now(), kind};
        fleet_.submit(spec);
    }

    template <class Number>
    Number between(Number min, Number max)
    {
        return std::uniform_int_distribution<Number>(min, max)(random_);
    }

    void record_start(const start_command& command)
    {
        started_.try_emplace(command.run.task.job, fleet_.clock.now());
        schedule(streams_[submitted_.at(command.run.task.job).kind].run_time,
                 [this, run = command.run] { fleet_.end(run, run_end::done); });
    }

    /// Whether a step may run on the worker; the answer stays the same during the test.
    bool is_permitted(const advice_command& command, const worker_id& worker,
                      double share) const
    {
        const std::size_t hash =
            std::hash<std::string>()("policy" + worker.value() + command.job.value());
        return static_cast<double>(hash % 1000) < share * 1000;
    }

    void request_advice(const advice_command& command)
    {
        const boot_time now = fleet_.clock.now();
        const duration answer_time = fleet_.cell.advice_duration(command);
        const bool is_short = answer_time <= milliseconds(30);
        const std::size_t reserved = host_free_at_.size() / 4;
        std::size_t chosen = host_free_at_.size();
        duration shortest_backlog = is_short ? milliseconds(150) : max_backlog;
        for (std::size_t host = 0; host < host_free_at_.size(); ++host)
        {
            const duration backlog =
                std::max(duration::zero(), host_free_at_[host] - now);
            if ((is_short || host >= reserved) && backlog < shortest_backlog)
            {
                shortest_backlog = backlog;
                chosen = host;
            }
        }
        advice_result result;
        result.job = command.job;
        result.step = command.step;
        result.asked = command.workers;
        if (chosen == host_free_at_.size())
            return fleet_.cell.observe(result, now);
        host_free_at_[chosen] = std::max(host_free_at_[chosen], now) + answer_time;
        result.answered = true;
        const job_stream& kind = streams_[submitted_.at(command.job).kind];
        for (const worker_id& worker : command.workers)
            if (is_permitted(command, worker, kind.permitted_share))
                result.tickets.emplace_back(worker, ticket("t"));
        result.valid_ms = kind.queue.advice->valid / milliseconds(1);
        schedule(host_free_at_[chosen] - now + network_delay,
                 [this, result] { fleet_.cell.observe(result, fleet_.clock.now()); });
    }

    fleet fleet_;
    /// When each host completes its last request.
    std::vector<boot_time> host_free_at_;
    std::vector<job_stream> streams_;
    std::mt19937 random_{7};
    std::map<job_key, arrival> submitted_;
    std::map<job_key, boot_time> started_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t events_added_ = 0;
    std::uint64_t ticks_ = 0;
};

} // namespace

// Guards against limits on advice requests that do not grow with the cell: gangs then
// compete for the few permitted requests while most workers are free and most hosts send
// none.
TEST(advice_load_test, gang_start_rate_grows_with_the_hosts_that_request_advice)
{
    advice_load load(350, 38, {gangs(8), small_tasks(40)});
    load.simulate(seconds(12), true);
    ASSERT_GT(load.count_submitted("gangs"), 80U);
    EXPECT_LE(load.count_unstarted("gangs", seconds(2)), 4U);
    load.simulate(seconds(8), false);
    EXPECT_EQ(load.count_unstarted("gangs", seconds(3)), 0U);
    EXPECT_LE(load.longest_wait("gangs"), seconds(8));
    EXPECT_LE(load.max_millicores(), advice_load::worker_millicores);
}

} // namespace hawthornbeam::cell
