/// \file
/// Tests placement under a load of gangs whose queue has an advice service. The hosts
/// that ask are simulated: each asks one question after the other.
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
constexpr duration travel = milliseconds(40);
constexpr duration max_backlog = milliseconds(1200);

/// One kind of job and how much of it arrives.
struct stream
{
    queue_policy queue;
    double good_share = 1; ///< Of the workers, for each step.
    bool gang = false;
    double per_second = 0;
    std::uint32_t min_count = 1;
    std::uint32_t max_count = 1;
    std::int64_t min_millicores = 1000;
    std::int64_t max_millicores = 1000;
    duration run_time = seconds(1);
};

stream make_stream(const std::string& name, int priority, double stretch,
                   duration objective)
{
    stream made;
    made.queue.name = queue_name(name);
    made.queue.service = service_name("pool");
    made.queue.priority = priority;
    made.queue.attempts = 4;
    made.queue.stretch = stretch;
    made.queue.objective = objective;
    return made;
}

/// Wide gangs with slow advice that allows a quarter of the workers.
stream gangs(double per_second)
{
    stream made = make_stream("gangs", 1, 2.2, seconds(1));
    made.queue.advice = advice_policy{milliseconds(442), std::chrono::microseconds(6370),
                                      milliseconds(1500)};
    made.good_share = 0.25;
    made.gang = true;
    made.per_second = per_second;
    made.min_count = 4;
    made.max_count = 36;
    made.min_millicores = 10000;
    made.max_millicores = 26000;
    made.run_time = seconds(4);
    return made;
}

/// Small tasks that go before the gangs.
stream small_tasks(double per_second)
{
    stream made = make_stream("small", 0, 1.5, milliseconds(300));
    made.queue.advice = advice_policy{std::chrono::microseconds(11700),
                                      std::chrono::microseconds(169), milliseconds(1500)};
    made.good_share = 0.7;
    made.per_second = per_second;
    made.min_count = 1;
    made.max_count = 5;
    made.min_millicores = 5000;
    made.max_millicores = 15000;
    made.run_time = seconds(1);
    return made;
}

/// Plays streams of jobs on workers of 64 cores.
class advice_load
{
public:
    advice_load(std::size_t workers, std::size_t hosts, std::vector<stream> streams)
        : fleet_(workers), hosts_(hosts), streams_(std::move(streams))
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
        for (const stream& each : streams_)
            queues.push_back(each.queue);
        fleet_.cell.configure(queues);
        fleet_.cell.set_advice_hosts(
            static_cast<std::uint32_t>(hosts_.size() - hosts_.size() / 4));
    }

    void play(duration length, bool with_arrivals)
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
            fleet_.store();
            const decisions decided = fleet_.decide();
            for (const start_command& command : decided.starts)
                record_start(command);
            for (const advice_command& command : decided.advice)
                ask(command);
        }
    }

    /// Jobs of a queue of which nothing has run \p age after they were submitted.
    std::size_t unstarted(const std::string& queue, duration age) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            submitted_,
            [&](const std::pair<const job_key, arrival>& entry)
            {
                return entry.second.queue == queue && !started_.contains(entry.first) &&
                       fleet_.clock.now() - entry.second.at > age;
            }));
    }

    std::size_t submitted(const std::string& queue) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            submitted_, [&](const std::pair<const job_key, arrival>& entry)
            { return entry.second.queue == queue; }));
    }

    /// The longest wait of a started job.
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
        std::function<void()> run;
        bool operator>(const event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    void after(duration delay, std::function<void()> run)
    {
        events_.push({fleet_.clock.now() + delay, ++events_added_, std::move(run)});
    }

    void run_due_events()
    {
        while (!events_.empty() && events_.top().at <= fleet_.clock.now())
        {
            const std::function<void()> run = events_.top().run;
            events_.pop();
            run();
        }
    }

    void submit_jobs()
    {
        for (std::size_t kind = 0; kind < streams_.size(); ++kind)
        {
            const stream& each = streams_[kind];
            const double mean =
                each.per_second * std::chrono::duration<double>(tick).count();
            for (int jobs = std::poisson_distribution<int>(mean)(random_); jobs > 0;
                 --jobs)
                submit_job(kind);
        }
    }

    void submit_job(std::size_t kind)
    {
        const stream& each = streams_[kind];
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
    Number between(Number least, Number most)
    {
        return std::uniform_int_distribution<Number>(least, most)(random_);
    }

    void record_start(const start_command& command)
    {
        started_.try_emplace(command.run.task.job, fleet_.clock.now());
        after(streams_[submitted_.at(command.run.task.job).kind].run_time,
              [this, run = command.run] { fleet_.end(run, run_end::done); });
    }

    /// Which workers may run a step does not change.
    bool is_good(const advice_command& command, const worker_id& worker,
                 double share) const
    {
        const std::size_t mixed =
            std::hash<std::string>()("policy" + worker.value() + command.job.value());
        return static_cast<double>(mixed % 1000) < share * 1000;
    }

    void ask(const advice_command& command)
    {
        const boot_time now = fleet_.clock.now();
        const duration cost = fleet_.cell.advice_duration(command);
        const bool is_short = cost <= milliseconds(30);
        const std::size_t reserved = hosts_.size() / 4;
        std::size_t best = hosts_.size();
        duration least = is_short ? milliseconds(150) : max_backlog;
        for (std::size_t host = 0; host < hosts_.size(); ++host)
        {
            const duration backlog = std::max(duration::zero(), hosts_[host] - now);
            if ((is_short || host >= reserved) && backlog < least)
            {
                least = backlog;
                best = host;
            }
        }
        advice_result result;
        result.job = command.job;
        result.step = command.step;
        result.asked = command.workers;
        if (best == hosts_.size())
            return fleet_.cell.observe(result, now);
        hosts_[best] = std::max(hosts_[best], now) + cost;
        result.answered = true;
        const stream& kind = streams_[submitted_.at(command.job).kind];
        for (const worker_id& worker : command.workers)
            if (is_good(command, worker, kind.good_share))
                result.tickets.emplace_back(worker, ticket("t"));
        result.valid_ms = kind.queue.advice->valid / milliseconds(1);
        after(hosts_[best] - now + travel,
              [this, result] { fleet_.cell.observe(result, fleet_.clock.now()); });
    }

    fleet fleet_;
    std::vector<boot_time> hosts_; ///< When each has its last answer.
    std::vector<stream> streams_;
    std::mt19937 random_{7};
    std::map<job_key, arrival> submitted_;
    std::map<job_key, boot_time> started_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t events_added_ = 0;
    std::uint64_t ticks_ = 0;
};

} // namespace

// Guards against limits on questions that do not grow with the cell: gangs then queue for
// the few places while most workers are free and most hosts ask nothing.
TEST(advice_load_test, starts_gangs_at_the_pace_at_which_many_hosts_can_ask)
{
    advice_load load(350, 38, {gangs(8), small_tasks(40)});
    load.play(seconds(12), true);
    ASSERT_GT(load.submitted("gangs"), 80U);
    EXPECT_LE(load.unstarted("gangs", seconds(2)), 4U);
    load.play(seconds(8), false);
    EXPECT_EQ(load.unstarted("gangs", seconds(3)), 0U);
    EXPECT_LE(load.longest_wait("gangs"), seconds(8));
    EXPECT_LE(load.max_millicores(), advice_load::worker_millicores);
}

} // namespace hawthornbeam::cell
