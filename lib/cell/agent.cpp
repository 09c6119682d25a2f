/// \file
/// Implements the agent.
#include "hawthornbeam/cell/agent.hpp"

#include <cassert>
#include <map>

namespace hawthornbeam::cell
{

namespace
{

/// A look waits this long for an end, so that progress is seen at least that often.
constexpr duration look_wait = std::chrono::milliseconds(1000);
/// Pause after a look that failed.
constexpr duration look_retry = std::chrono::milliseconds(250);
/// Least time between two looks at a worker: ends that follow each other closely are read
/// together.
constexpr duration look_spacing = std::chrono::milliseconds(60);
/// With ends that are not stored yet, a look returns at once; the next one waits for
/// their acknowledgement or so long.
constexpr duration acknowledgement_wait = std::chrono::milliseconds(500);
/// Ends are acknowledged only so soon after an answer. Later, or after a failed look, the
/// worker may have restarted under its id, and would forget the ends of its new life.
constexpr duration acknowledgement_age = std::chrono::milliseconds(1000);
/// Answers are collected for this long before they are reported.
constexpr duration report_delay = std::chrono::milliseconds(20);
/// Looks without an answer after which a worker is reported as unreachable.
constexpr std::uint32_t failures_to_report = 3;
constexpr duration advice_timeout = std::chrono::seconds(3);

struct assigned_worker
{
    endpoint address;
    std::uint64_t assignment = 0;
    worker_life life;
    end_number acknowledged; ///< By the owner.
    end_number forgotten;    ///< By the worker.
    end_number listed;       ///< Highest end that a look returned.
    worker_time clock;
    boot_time clock_at{};
    std::uint32_t failures = 0;
    bool looking = false;
    boot_time look_began{};
    timer_handle next;
};

} // namespace

class agent::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& given_loop, worker_port& given_port,
                   const logger& given_log, duration lease, report_sink given_sink)
        : loop(given_loop), port(given_port), log(given_log), most_lease(lease),
          sink(std::move(given_sink))
    {
    }

    void assign(const assign_order& order);
    void acknowledge(const acknowledge_order& order);
    void look(const worker_id& id);
    void look_after(const worker_id& id, duration delay);
    void take_look(const worker_id& id, end_number acknowledged, look_answer answer);
    void start(const start_order& order);
    void stop_run(const stop_order& order);
    void ask(const advice_order& order);
    order_result& add_result(const worker_id& worker, const run_ref& run,
                             order_outcome outcome);
    void report_soon();

    event_loop& loop;
    worker_port& port;
    const logger& log;
    duration most_lease;
    report_sink sink;
    fence_token token;
    std::map<worker_id, assigned_worker> workers;
    std::uint64_t events = 1; ///< Answers so far.
    agent_report pending;
    bool report_due = false;
    timer_handle report_timer;
};

void agent::implementation::assign(const assign_order& order)
{
    if (!order.assigned)
    {
        workers.erase(order.worker);
        return;
    }
    assigned_worker& worker = workers[order.worker];
    if (worker.assignment >= order.assignment)
        return;
    worker.address = order.address;
    worker.assignment = order.assignment;
    worker.failures = 0;
    if (!worker.looking)
        look_after(order.worker, duration::zero());
}

void agent::implementation::acknowledge(const acknowledge_order& order)
{
    const auto found = workers.find(order.worker);
    if (found == workers.end() || found->second.life != order.life)
        return;
    found->second.acknowledged = std::max(found->second.acknowledged, order.last);
    if (!found->second.looking && found->second.acknowledged >= found->second.listed)
        look_after(order.worker, duration::zero());
}

void agent::implementation::look_after(const worker_id& id, duration delay)
{
    assigned_worker& worker = workers.at(id);
    const boot_time earliest = worker.look_began + look_spacing;
    const boot_time now = loop.clock().now();
    if (now + delay < earliest)
        delay = earliest - now;
    worker.next = loop.after(delay, [this, id] { look(id); });
}

void agent::implementation::look(const worker_id& id)
{
    const auto found = workers.find(id);
    if (found == workers.end() || found->second.looking)
        return;
    assigned_worker& worker = found->second;
    worker.looking = true;
    worker.look_began = loop.clock().now();
    look_call call;
    call.worker = id;
    call.address = worker.address;
    call.token = token;
    if (worker.acknowledged > worker.forgotten && worker.failures == 0 &&
        worker.look_began - worker.clock_at <= acknowledgement_age)
        call.acknowledged = worker.acknowledged;
    if (worker.clock_at != boot_time())
    {
        const duration since = worker.look_began - worker.clock_at + most_lease;
        call.lease_until = worker_time(
            worker.clock.value() +
            std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
        call.wait = look_wait;
    }
    const observation began{worker.assignment, events};
    port.look(call,
              [weak = weak_from_this(), id, began,
               acknowledged = call.acknowledged](look_answer answer)
              {
                  const std::shared_ptr<implementation> self = weak.lock();
                  if (!self)
                      return;
                  answer.look.began = began;
                  self->take_look(id, acknowledged, std::move(answer));
              });
}

void agent::implementation::take_look(const worker_id& id, end_number acknowledged,
                                      look_answer answer)
{
    const auto found = workers.find(id);
    if (found == workers.end())
        return;
    assigned_worker& worker = found->second;
    worker.looking = false;
    if (worker.assignment != answer.look.began.assignment)
        return look_after(id, duration::zero());
    if (answer.outcome != order_outcome::accepted)
    {
        ++worker.failures;
        if (worker.failures == 1)
            log.info("agent", "look failed",
                     {{"worker", id.value()}, {"reason", to_string(answer.outcome)}});
        if (answer.outcome == order_outcome::fenced ||
            worker.failures % failures_to_report == 0)
        {
            pending.unreachable.push_back(id);
            if (answer.outcome == order_outcome::fenced)
                add_result(id, run_ref(), order_outcome::fenced);
            report_soon();
        }
        return look_after(id, look_retry);
    }
    ++events;
    worker.failures = 0;
    worker_look& look = answer.look;
    look.worker = id;
    if (look.life != worker.life)
    {
        worker.life = look.life;
        worker.acknowledged = end_number();
        worker.forgotten = end_number();
        worker.listed = end_number();
    }
    else
        worker.forgotten = std::max(worker.forgotten, acknowledged);
    const bool first = worker.clock_at == boot_time();
    worker.clock = look.clock;
    worker.clock_at = loop.clock().now();
    for (const ended_task& end : look.ended)
        worker.listed = std::max(worker.listed, end.number);
    const bool unacknowledged = worker.listed > worker.acknowledged;
    pending.looks.push_back(std::move(look));
    report_soon();
    look_after(id, unacknowledged && !first ? acknowledgement_wait : duration::zero());
}

order_result& agent::implementation::add_result(const worker_id& worker,
                                                const run_ref& run, order_outcome outcome)
{
    order_result& result = pending.results.emplace_back();
    result.worker = worker;
    result.run = run;
    result.outcome = outcome;
    result.token = token.value();
    const auto found = workers.find(worker);
    if (found != workers.end())
        result.seen = observation{found->second.assignment, ++events};
    return result;
}

void agent::implementation::start(const start_order& order)
{
    port.start(order, token,
               [weak = weak_from_this(), worker = order.worker, run = order.run,
                ordered_with = token](order_outcome outcome)
               {
                   const std::shared_ptr<implementation> self = weak.lock();
                   if (!self || self->token != ordered_with)
                       return;
                   self->add_result(worker, run, outcome);
                   self->report_soon();
               });
}

void agent::implementation::stop_run(const stop_order& order)
{
    port.stop(order, token,
              [weak = weak_from_this(), worker = order.worker, run = order.run,
               ordered_with = token](order_outcome outcome)
              {
                  const std::shared_ptr<implementation> self = weak.lock();
                  if (!self || self->token != ordered_with)
                      return;
                  self->add_result(worker, run, outcome).stop = true;
                  self->report_soon();
                  // The next look shows whether the room is free.
                  if (self->workers.contains(worker) && !self->workers.at(worker).looking)
                      self->look_after(worker, duration::zero());
              });
}

void agent::implementation::ask(const advice_order& order)
{
    port.advise(order, advice_timeout,
                [weak = weak_from_this(), ordered_with = token](advice_result result)
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (!self || self->token != ordered_with)
                        return;
                    self->pending.advice.push_back(std::move(result));
                    self->report_soon();
                });
}

void agent::implementation::report_soon()
{
    if (pending.empty() || report_due)
        return;
    report_due = true;
    report_timer = loop.after(report_delay,
                              [this]
                              {
                                  report_due = false;
                                  sink(token, std::exchange(pending, agent_report()));
                              });
}

agent::agent(event_loop& loop, worker_port& port, const logger& log, duration most_lease,
             report_sink sink)
    : implementation_(
          std::make_shared<implementation>(loop, port, log, most_lease, std::move(sink)))
{
}

agent::~agent() = default;

void agent::carry_out(fence_token token, const agent_orders& orders)
{
    implementation& self = *implementation_;
    if (token < self.token)
        return;
    if (token > self.token)
    {
        self.log.info("agent", "new owner", {{"token", token.value()}});
        self.token = token;
        self.workers.clear();
        self.pending = agent_report();
    }
    for (const assign_order& order : orders.assignments)
        self.assign(order);
    for (const acknowledge_order& order : orders.acknowledgements)
        self.acknowledge(order);
    for (const stop_order& order : orders.stops)
        self.stop_run(order);
    for (const start_order& order : orders.starts)
        self.start(order);
    for (const advice_order& order : orders.advice)
        self.ask(order);
}

fence_token agent::token() const
{
    return implementation_->token;
}

} // namespace hawthornbeam::cell
