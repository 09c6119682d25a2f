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
constexpr duration poll_wait = std::chrono::milliseconds(1000);
/// Pause after a look that failed.
constexpr duration poll_retry_delay = std::chrono::milliseconds(250);
/// Least time between two looks at a worker: ends that follow each other closely are read
/// together.
constexpr duration poll_spacing = std::chrono::milliseconds(60);
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
    worker_incarnation incarnation;
    end_number acknowledged; ///< By the owner.
    end_number forgotten;    ///< By the worker.
    end_number listed;       ///< Highest end that a look returned.
    worker_time clock;
    boot_time clock_at{};
    std::uint32_t failures = 0;
    bool polling = false;
    boot_time poll_sent_at{};
    timer_handle next;
};

} // namespace

class agent::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& given_loop, worker_port& given_port,
                   const logger& given_log, duration lease, report_sink given_sink)
        : loop(given_loop), port(given_port), log(given_log), max_lease(lease),
          sink(std::move(given_sink))
    {
    }

    void assign(const assign_command& command);
    void acknowledge(const acknowledge_command& command);
    void poll(const worker_id& id);
    void schedule_poll(const worker_id& id, duration delay);
    void handle_poll(const worker_id& id, end_number acknowledged, poll_answer answer);
    void start(const start_command& command);
    void stop_run(const stop_command& command);
    void ask(const advice_command& command);
    command_result& add_result(const worker_id& worker, const run_ref& run,
                               command_outcome outcome);
    void schedule_report();

    event_loop& loop;
    worker_port& port;
    const logger& log;
    duration max_lease;
    report_sink sink;
    fence_token token;
    std::map<worker_id, assigned_worker> workers;
    std::uint64_t events = 1; ///< Answers so far.
    agent_report pending;
    bool report_due = false;
    timer_handle report_timer;
};

void agent::implementation::assign(const assign_command& command)
{
    if (!command.assigned)
    {
        workers.erase(command.worker);
        return;
    }
    assigned_worker& worker = workers[command.worker];
    if (worker.assignment >= command.assignment)
        return;
    worker.address = command.address;
    worker.assignment = command.assignment;
    worker.failures = 0;
    if (!worker.polling)
        schedule_poll(command.worker, duration::zero());
}

void agent::implementation::acknowledge(const acknowledge_command& command)
{
    const auto found = workers.find(command.worker);
    if (found == workers.end() || found->second.incarnation != command.incarnation)
        return;
    found->second.acknowledged = std::max(found->second.acknowledged, command.last);
    if (!found->second.polling && found->second.acknowledged >= found->second.listed)
        schedule_poll(command.worker, duration::zero());
}

void agent::implementation::schedule_poll(const worker_id& id, duration delay)
{
    assigned_worker& worker = workers.at(id);
    const boot_time earliest = worker.poll_sent_at + poll_spacing;
    const boot_time now = loop.clock().now();
    if (now + delay < earliest)
        delay = earliest - now;
    worker.next = loop.after(delay, [this, id] { poll(id); });
}

void agent::implementation::poll(const worker_id& id)
{
    const auto found = workers.find(id);
    if (found == workers.end() || found->second.polling)
        return;
    assigned_worker& worker = found->second;
    worker.polling = true;
    worker.poll_sent_at = loop.clock().now();
    poll_call call;
    call.worker = id;
    call.address = worker.address;
    call.token = token;
    if (worker.acknowledged > worker.forgotten && worker.failures == 0 &&
        worker.poll_sent_at - worker.clock_at <= acknowledgement_age)
        call.acknowledged = worker.acknowledged;
    if (worker.clock_at != boot_time())
    {
        const duration since = worker.poll_sent_at - worker.clock_at + max_lease;
        call.lease_until = worker_time(
            worker.clock.value() +
            std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
        call.wait = poll_wait;
    }
    const event_position sent_position{worker.assignment, events};
    port.poll(call,
              [weak = weak_from_this(), id, sent_position,
               acknowledged = call.acknowledged](poll_answer answer)
              {
                  const std::shared_ptr<implementation> self = weak.lock();
                  if (!self)
                      return;
                  answer.poll.sent_position = sent_position;
                  self->handle_poll(id, acknowledged, std::move(answer));
              });
}

void agent::implementation::handle_poll(const worker_id& id, end_number acknowledged,
                                        poll_answer answer)
{
    const auto found = workers.find(id);
    if (found == workers.end())
        return;
    assigned_worker& worker = found->second;
    worker.polling = false;
    if (worker.assignment != answer.poll.sent_position.assignment)
        return schedule_poll(id, duration::zero());
    if (answer.outcome != command_outcome::accepted)
    {
        ++worker.failures;
        if (worker.failures == 1)
            log.info("agent", "look failed",
                     {{"worker", id.value()}, {"reason", to_string(answer.outcome)}});
        if (answer.outcome == command_outcome::fenced ||
            worker.failures % failures_to_report == 0)
        {
            pending.unreachable.push_back(id);
            if (answer.outcome == command_outcome::fenced)
                add_result(id, run_ref(), command_outcome::fenced);
            schedule_report();
        }
        return schedule_poll(id, poll_retry_delay);
    }
    ++events;
    worker.failures = 0;
    poll_result& poll = answer.poll;
    poll.worker = id;
    if (poll.incarnation != worker.incarnation)
    {
        worker.incarnation = poll.incarnation;
        worker.acknowledged = end_number();
        worker.forgotten = end_number();
        worker.listed = end_number();
    }
    else
        worker.forgotten = std::max(worker.forgotten, acknowledged);
    const bool first = worker.clock_at == boot_time();
    worker.clock = poll.clock;
    worker.clock_at = loop.clock().now();
    for (const ended_task& end : poll.ended)
        worker.listed = std::max(worker.listed, end.number);
    const bool unacknowledged = worker.listed > worker.acknowledged;
    pending.polls.push_back(std::move(poll));
    schedule_report();
    schedule_poll(id, unacknowledged && !first ? acknowledgement_wait : duration::zero());
}

command_result& agent::implementation::add_result(const worker_id& worker,
                                                  const run_ref& run,
                                                  command_outcome outcome)
{
    command_result& result = pending.results.emplace_back();
    result.worker = worker;
    result.run = run;
    result.outcome = outcome;
    result.token = token.value();
    const auto found = workers.find(worker);
    if (found != workers.end())
        result.position = event_position{found->second.assignment, ++events};
    return result;
}

void agent::implementation::start(const start_command& command)
{
    port.start(command, token,
               [weak = weak_from_this(), worker = command.worker, run = command.run,
                command_token = token](command_outcome outcome)
               {
                   const std::shared_ptr<implementation> self = weak.lock();
                   if (!self || self->token != command_token)
                       return;
                   self->add_result(worker, run, outcome);
                   self->schedule_report();
               });
}

void agent::implementation::stop_run(const stop_command& command)
{
    port.stop(command, token,
              [weak = weak_from_this(), worker = command.worker, run = command.run,
               command_token = token](command_outcome outcome)
              {
                  const std::shared_ptr<implementation> self = weak.lock();
                  if (!self || self->token != command_token)
                      return;
                  self->add_result(worker, run, outcome).stop = true;
                  self->schedule_report();
                  // The next look shows whether the room is free.
                  if (self->workers.contains(worker) && !self->workers.at(worker).polling)
                      self->schedule_poll(worker, duration::zero());
              });
}

void agent::implementation::ask(const advice_command& command)
{
    port.advise(command, advice_timeout,
                [weak = weak_from_this(), command_token = token](advice_result result)
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (!self || self->token != command_token)
                        return;
                    self->pending.advice.push_back(std::move(result));
                    self->schedule_report();
                });
}

void agent::implementation::schedule_report()
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

agent::agent(event_loop& loop, worker_port& port, const logger& log, duration max_lease,
             report_sink sink)
    : implementation_(
          std::make_shared<implementation>(loop, port, log, max_lease, std::move(sink)))
{
}

agent::~agent() = default;

void agent::execute(fence_token token, const agent_commands& commands)
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
    for (const assign_command& command : commands.assignments)
        self.assign(command);
    for (const acknowledge_command& command : commands.acknowledgements)
        self.acknowledge(command);
    for (const stop_command& command : commands.stops)
        self.stop_run(command);
    for (const start_command& command : commands.starts)
        self.start(command);
    for (const advice_command& command : commands.advice)
        self.ask(command);
}

fence_token agent::token() const
{
    return implementation_->token;
}

} // namespace hawthornbeam::cell
