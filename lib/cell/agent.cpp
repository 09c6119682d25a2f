/// \file
/// Agent of a cell: polls, commands and reports.
#include "hawthornbeam/cell/agent.hpp"

#include "call_ledger.hpp"

#include <algorithm>
#include <cassert>
#include <map>

namespace hawthornbeam::cell
{

namespace
{

/// Time for which a worker may delay its answer to a poll until a run ends. It bounds the
/// age of the reported progress.
constexpr duration poll_wait = std::chrono::milliseconds(1000);
/// Delay after a failed poll. The first failure in a row is followed at once by another
/// poll, since only one connection may have broken.
constexpr duration poll_retry_delay = std::chrono::milliseconds(250);
/// Minimum time between two polls of a worker, so that one poll returns several run ends
/// that follow closely.
constexpr duration poll_spacing = std::chrono::milliseconds(60);
/// A worker with unacknowledged run ends answers a poll at once. The next poll is delayed
/// until they are acknowledged, or for this long.
constexpr duration acknowledgement_wait = std::chrono::milliseconds(500);
/// Run ends are acknowledged only within this time after an answer. Later, or after a
/// failed poll, the worker may have restarted with the same id and would drop run ends of
/// its new incarnation.
constexpr duration max_acknowledgement_age = std::chrono::milliseconds(1000);
/// Batches results before a report.
constexpr duration report_delay = std::chrono::milliseconds(20);
/// Failed polls in a row after which a worker is reported as unreachable.
constexpr std::uint32_t failed_polls_to_report = 3;
constexpr duration advice_timeout = std::chrono::seconds(3);
/// Number of runs that the ledger of calls holds: several times those of a cell. A report
/// with all of them fits into a message.
constexpr std::size_t max_ledger_runs = 8192;
/// Time after which the calls for former owners are reported again if the owner has not
/// received them. Longer than the time-out of a report.
constexpr duration calls_report_period = std::chrono::milliseconds(1200);
struct assigned_worker
{
    endpoint address;
    std::uint64_t assignment = 0;
    worker_incarnation incarnation;
    end_number last_acknowledged; ///< Last run end that the owner has acknowledged.
    end_number last_dropped;      ///< Last run end that the worker has dropped.
    end_number last_listed;       ///< Last run end that a poll has returned.
    bool lease_extended = false;  ///< By the last poll that followed an answer.
    worker_time clock;            ///< Clock of the worker in its last answer.
    boot_time clock_read_at{};
    /// Time of an answer that the owner has counted, or earlier. It gives up the runs of
    /// the worker once the longest lease since then has ended.
    boot_time counted_at{};
    std::uint32_t failed_polls = 0;
    boot_time failing_since{}; ///< First of the failed polls in a row.
    bool polling = false;
    boot_time poll_sent_at{};
    timer_handle poll_timer;
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
    void handle_poll(const worker_id& id, const poll_call& call, poll_answer answer);
    /// Logs that another incarnation has answered than the one that the call was for.
    void log_other_incarnation(const assigned_worker& worker, const poll_call& call,
                               const poll_result& poll) const;
    void start(const start_command& command);
    void stop_run(const stop_command& command);
    void request_advice(const advice_command& command);
    command_result& add_result(const worker_id& worker, const run_ref& run,
                               command_outcome outcome);
    void schedule_report();
    /// Adds the calls for former owners to the next report.
    void report_former_calls();

    event_loop& loop;
    worker_port& port;
    const logger& log;
    duration max_lease;
    report_sink sink;
    fence_token token;
    boot_time claim_confirmed_at{}; ///< Claim with `token`.
    std::map<worker_id, assigned_worker> workers;
    call_ledger ledger{max_ledger_runs};
    /// Calls for the owners before the present one, until it has received them, and when
    /// the present one commanded this agent first.
    std::optional<former_calls> unreported_calls;
    boot_time commanded_at{};
    timer_handle calls_timer;
    /// Number of poll answers and results so far, for the positions of later ones.
    std::uint64_t event_count = 1;
    agent_report pending;
    boot_time pending_since{}; ///< Time of the first observation in `pending`.
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
    worker.failed_polls = 0;
    if (!worker.polling)
        schedule_poll(command.worker, duration::zero());
}

void agent::implementation::acknowledge(const acknowledge_command& command)
{
    const auto found = workers.find(command.worker);
    if (found == workers.end() || found->second.incarnation != command.incarnation)
        return;
    found->second.last_acknowledged =
        std::max(found->second.last_acknowledged, command.last);
    if (!found->second.polling &&
        found->second.last_acknowledged >= found->second.last_listed)
        schedule_poll(command.worker, duration::zero());
}

void agent::implementation::schedule_poll(const worker_id& id, duration delay)
{
    assigned_worker& worker = workers.at(id);
    const boot_time earliest = worker.poll_sent_at + poll_spacing;
    const boot_time now = loop.clock().now();
    if (now + delay < earliest)
        delay = earliest - now;
    worker.poll_timer = loop.after(delay, [this, id] { poll(id); });
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
    if (worker.last_acknowledged > worker.last_dropped && worker.failed_polls == 0 &&
        worker.poll_sent_at - worker.clock_read_at <= max_acknowledgement_age)
        call.acknowledged = worker.last_acknowledged;
    const bool is_confirmed =
        worker.poll_sent_at - claim_confirmed_at <= max_unconfirmed_time;
    // A worker may execute polls that get no answer.
    const bool is_counted =
        worker.poll_sent_at - worker.counted_at <= max_unconfirmed_time;
    if (worker.clock_read_at != boot_time() && is_confirmed && is_counted)
        call.lease_until =
            worker_time(worker.clock.value() +
                        std::chrono::duration_cast<std::chrono::milliseconds>(
                            worker.poll_sent_at - worker.clock_read_at + max_lease)
                            .count());
    if (worker.clock_read_at != boot_time())
        call.wait = poll_wait;
    if (worker.lease_extended && !call.lease_until)
        log.info(
            "agent", "lease not extended",
            {{"worker", id.value()},
             {"reason", is_confirmed ? "answers not counted" : "claim not confirmed"}});
    worker.lease_extended = call.lease_until.has_value();
    const event_position sent_position{worker.assignment, event_count};
    const sent_poll recorded =
        ledger.record_poll(id, worker.lease_extended, worker.poll_sent_at);
    port.poll(call,
              [weak = weak_from_this(), id, sent_position, recorded,
               command_token = token, call](poll_answer answer)
              {
                  const std::shared_ptr<implementation> self = weak.lock();
                  if (!self)
                      return;
                  answer.poll.worker = id;
                  if (answer.outcome == command_outcome::accepted)
                      self->ledger.record_poll_answer(answer.poll, recorded,
                                                      self->loop.clock().now());
                  if (self->token != command_token)
                      return;
                  answer.poll.sent_position = sent_position;
                  self->handle_poll(id, call, std::move(answer));
              });
}

void agent::implementation::log_other_incarnation(const assigned_worker& worker,
                                                  const poll_call& call,
                                                  const poll_result& poll) const
{
    const std::int64_t lease_ms =
        call.lease_until ? call.lease_until->value() - poll.clock.value() : 0;
    log.info("agent", "another incarnation answered",
             {{"worker", call.worker.value()},
              {"incarnation", poll.incarnation.value()},
              {"expected", worker.incarnation.value()},
              {"clock_ms", poll.clock.value()},
              {"lease_ms", lease_ms},
              {"acknowledged", call.acknowledged.value()}});
}

void agent::implementation::handle_poll(const worker_id& id, const poll_call& call,
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
        ++worker.failed_polls;
        if (worker.failed_polls == 1)
            worker.failing_since = loop.clock().now();
        if (worker.failed_polls == 1)
            log.info("agent", "poll failed",
                     {{"worker", id.value()}, {"reason", to_string(answer.outcome)}});
        const bool replaced = answer.outcome == command_outcome::other_worker;
        const bool refused = replaced || answer.outcome == command_outcome::no_listener;
        if (refused)
        {
            pending.refused_polls.push_back(
                {id, worker.address, answer.poll.sent_position, replaced,
                 static_cast<std::uint32_t>((loop.clock().now() - worker.failing_since) /
                                            std::chrono::milliseconds(1))});
            schedule_report();
        }
        if (answer.outcome == command_outcome::fenced ||
            (!replaced && worker.failed_polls % failed_polls_to_report == 0))
        {
            pending.unreachable.push_back(id);
            if (answer.outcome == command_outcome::fenced)
                add_result(id, run_ref(), command_outcome::fenced);
            schedule_report();
        }
        return schedule_poll(id, worker.failed_polls == 1 && !refused ? duration::zero()
                                                                      : poll_retry_delay);
    }
    ++event_count;
    worker.failed_polls = 0;
    poll_result& poll = answer.poll;
    if (poll.incarnation != worker.incarnation)
    {
        if (worker.clock_read_at != boot_time())
            log_other_incarnation(worker, call, poll);
        worker.incarnation = poll.incarnation;
        worker.last_acknowledged = end_number();
        worker.last_dropped = end_number();
        worker.last_listed = end_number();
    }
    else
        worker.last_dropped = std::max(worker.last_dropped, call.acknowledged);
    const bool first = worker.clock_read_at == boot_time();
    worker.clock = poll.clock;
    worker.clock_read_at = loop.clock().now();
    for (const ended_task& end : poll.ended)
        worker.last_listed = std::max(worker.last_listed, end.number);
    const bool unacknowledged = worker.last_listed > worker.last_acknowledged;
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
        result.position = event_position{found->second.assignment, ++event_count};
    return result;
}

void agent::implementation::start(const start_command& command)
{
    ledger.record_start(command.worker, command.run, loop.clock().now());
    port.start(command, token,
               [weak = weak_from_this(), worker = command.worker, run = command.run,
                command_token = token](command_outcome outcome)
               {
                   const std::shared_ptr<implementation> self = weak.lock();
                   if (!self)
                       return;
                   self->ledger.record_start_answer(worker, run, outcome);
                   if (self->token != command_token)
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
                  // Poll at once to learn whether the capacity has been released.
                  if (self->workers.contains(worker) && !self->workers.at(worker).polling)
                      self->schedule_poll(worker, duration::zero());
              });
}

void agent::implementation::request_advice(const advice_command& command)
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

void agent::implementation::report_former_calls()
{
    const duration age = loop.clock().now() - commanded_at;
    pending.calls = unreported_calls;
    for (worker_calls& each : pending.calls->workers)
        each.last_call_ms +=
            static_cast<std::uint32_t>(age / std::chrono::milliseconds(1));
    schedule_report();
}

void agent::implementation::schedule_report()
{
    if (pending.empty() || report_due)
        return;
    report_due = true;
    pending_since = loop.clock().now();
    report_timer =
        loop.after(report_delay,
                   [this]
                   {
                       report_due = false;
                       sink(token, std::exchange(pending, agent_report()), pending_since);
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
        self.claim_confirmed_at = boot_time();
        self.commanded_at = self.loop.clock().now();
        self.unreported_calls = self.ledger.calls(self.commanded_at);
        self.report_former_calls();
        self.calls_timer =
            self.loop.every(calls_report_period, [&self] { self.report_former_calls(); });
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
        self.request_advice(command);
}

void agent::on_report_received(fence_token token, const report_receipt& receipt,
                               const std::vector<polled_worker>& polled,
                               boot_time observed_at, boot_time sent)
{
    implementation& self = *implementation_;
    if (token != self.token)
        return;
    if (receipt.has_calls)
    {
        self.unreported_calls.reset();
        self.calls_timer.reset();
    }
    self.claim_confirmed_at =
        std::max(self.claim_confirmed_at, sent - receipt.unconfirmed);
    for (const polled_worker& each : polled)
    {
        const auto found = self.workers.find(each.worker);
        if (found == self.workers.end() || found->second.assignment != each.assignment)
            continue;
        if (std::ranges::find(receipt.not_counted, each.worker) !=
            receipt.not_counted.end())
            self.workers.erase(found);
        else
            found->second.counted_at = std::max(found->second.counted_at, observed_at);
    }
}

std::vector<polled_worker> polled_workers(const agent_report& report)
{
    std::vector<polled_worker> polled;
    polled.reserve(report.polls.size());
    for (const poll_result& poll : report.polls)
        polled.push_back({poll.worker, poll.sent_position.assignment});
    return polled;
}

fence_token agent::token() const
{
    return implementation_->token;
}

} // namespace hawthornbeam::cell
