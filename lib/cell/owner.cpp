/// \file
/// Owner of a cell: reports of agents, decisions and commands.
#include "owner_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Batches input before a decision.
constexpr duration decision_delay = std::chrono::milliseconds(10);
/// Period of the decisions that depend on time alone: repeated stops, expired leases and
/// tickets.
constexpr duration decision_period = std::chrono::milliseconds(100);
/// Period of the messages to every agent, which are sent even without commands.
constexpr duration broadcast_period = std::chrono::milliseconds(400);
/// The state of an agent without a report for this long is dropped.
constexpr duration agent_retention = 10 * agent_timeout;
/// Upper limit for the age of a job that is computed from its submission time.
constexpr std::chrono::milliseconds max_age = std::chrono::minutes(2);
/// Lateness of a periodic decision that is logged, since the host cannot keep up. It is
/// half of the time after which an agent counts as lost.
constexpr duration late_decision_threshold = agent_timeout / 2;
/// Share of the time that decisions may take, in percent, before it is logged.
constexpr std::int64_t busy_threshold = 25;
/// Age of the list of workers that is logged. Its source is asked about once a second.
constexpr duration old_worker_list_threshold = std::chrono::milliseconds(1500);
/// Bytes of starts in one message, well below the frame size of the inner protocol: a
/// message that exceeds it is not sent.
constexpr std::size_t max_start_bytes = std::size_t{256} << 10U;
/// Upper estimate of the size of a start besides its payload and its saved state.
constexpr std::size_t start_overhead = 1024;

/// Splits commands by the size of their starts. The first part has all other commands.
std::vector<agent_commands> split_by_size(agent_commands commands)
{
    const std::vector<start_command> starts = std::exchange(commands.starts, {});
    std::vector<agent_commands> parts;
    parts.push_back(std::move(commands));
    std::size_t bytes = 0;
    for (const start_command& command : starts)
    {
        const std::size_t size =
            command.payload.size() + command.saved.value().size() + start_overhead;
        if (bytes + size > max_start_bytes && bytes > 0)
        {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back().starts.push_back(command);
    }
    return parts;
}

} // namespace

void owner::implementation::begin()
{
    parts.directory.start(
        [this](const std::vector<worker_info>& listed)
        {
            if (loaded)
                handle_workers(listed);
            else
                early_workers = listed;
        });
    last_decision_tick = parts.loop.clock().now();
    decision_timer =
        parts.loop.every(decision_period,
                         [this]
                         {
                             record_lateness();
                             if (parts.loop.clock().now() < pacer.not_before())
                                 return schedule_decision();
                             decide();
                         });
    broadcast_timer = parts.loop.every(broadcast_period, [this] { broadcast(); });
    load_timer = parts.loop.every(reload_period, [this] { follow(); });
    load();
}

void owner::implementation::record_lateness()
{
    const boot_time now = parts.loop.clock().now();
    const duration late = now - std::exchange(last_decision_tick, now) - decision_period;
    parts.metrics.observe("hawthornbeam_decision_delay_seconds", {},
                          std::max(late, duration::zero()));
    if (late > late_decision_threshold)
        parts.log.warning(
            "owner", "decisions are late",
            {{"late_ms", std::int64_t{late / std::chrono::milliseconds(1)}}});
}

void owner::implementation::schedule_decision()
{
    if (decision_due)
        return;
    decision_due = true;
    const duration pause = pacer.not_before() - parts.loop.clock().now();
    early_decision_timer = parts.loop.after(std::max(decision_delay, pause),
                                            [this]
                                            {
                                                decision_due = false;
                                                decide();
                                            });
}

void owner::implementation::record_instance(const instance_id& from,
                                            const wire::cell_report& report,
                                            boot_time now)
{
    bool changed = false;
    if (from == parts.self)
    {
        changed = evidence.remove_at(report.address) || own_address != report.address;
        own_address = report.address;
    }
    else if (report.leaving)
        changed = evidence.remove_instance(from);
    else
        changed = evidence.add_instance({from, report.address}, now);
    instances_changed = instances_changed || changed;
}

boot_time owner::implementation::confirmed_at() const
{
    return evidence.confirmed_at(parts.confirmed_by_store());
}

bool owner::implementation::check_claim(boot_time now)
{
    const duration unconfirmed = now - confirmed_at();
    const bool confirmed = unconfirmed <= parts.limits.max_unconfirmed_start();
    if (confirmed == std::exchange(claim_confirmed, confirmed))
        return confirmed;
    parts.metrics.set_gauge("hawthornbeam_claim_confirmed", {}, confirmed ? 1 : 0);
    if (confirmed)
        parts.log.info("owner", "claim confirmed again", {});
    else
        parts.log.warning(
            "owner", "claim not confirmed",
            {{"unconfirmed_ms", std::int64_t{unconfirmed / std::chrono::milliseconds(1)}},
             {"silent", std::uint64_t{evidence.silent_since(
                            now - parts.limits.max_unconfirmed_start())}}});
    return confirmed;
}

report_receipt owner::implementation::handle_report(const instance_id& from,
                                                    wire::cell_report report)
{
    const boot_time now = parts.loop.clock().now();
    agent_state& sender = agents[from];
    const bool usable = sender.is_usable(now);
    sender.address = report.address;
    sender.processor_share = std::max(report.share, 1U) / 1000.0;
    sender.last_report_at = now;
    sender.commands_failed = false;
    const bool leaves = report.leaving && !sender.leaving;
    sender.leaving = report.leaving;
    record_instance(from, report, now);
    sender.store_answered_at =
        now - std::chrono::milliseconds(report.store_unanswered_ms);
    for (wire::accepted_job& accepted : report.accepted)
    {
        // Wait for the stored jobs: a former owner may have stored a final state of the
        // job.
        if (loaded)
            add_job(std::move(accepted.job), !accepted.is_new);
        else
            early_jobs.push_back(std::move(accepted));
    }
    for (const job_key& job : report.cancelled)
        cancel(job, "report");
    report_receipt receipt;
    if (report.token == token)
    {
        receipt.has_calls = report.report.calls.has_value();
        if (report.report.calls)
            handle_former_calls(from, *report.report.calls, now);
        receipt.not_counted = apply_report(from, report.report, now);
    }
    if (!usable || leaves)
        assign_workers();
    schedule_decision();
    receipt.unconfirmed = parts.loop.clock().now() - confirmed_at();
    return receipt;
}

void owner::implementation::add_job(job_spec job, bool inherited)
{
    const job_key id = job.id;
    const boot_time submitted = submission_time(job);
    if (cell.add_job(std::move(job), inherited, submitted) &&
        early_cancels.erase(id) != 0)
        cell.cancel(id);
}

void owner::implementation::cancel(const job_key& job, const char* source)
{
    const std::optional<job_state> state = cell.state(job);
    const bool is_new =
        state ? !is_final(*state)
              : early_cancels.try_emplace(job, parts.loop.clock().now()).second;
    if (!is_new)
        return;
    parts.log.info(
        "owner", "cancel received",
        {{"job", job.value()}, {"source", source}, {"job_known", state ? 1 : 0}});
    if (state)
        cell.cancel(job);
}

boot_time owner::implementation::submission_time(const job_spec& job) const
{
    // The wall clocks of hosts may differ by seconds, so the computed age is clamped.
    const std::int64_t now_ms = parts.loop.clock().wall_now().time_since_epoch().count();
    const std::chrono::milliseconds age(
        std::clamp<std::int64_t>(now_ms - job.submitted_ms, 0, max_age.count()));
    return parts.loop.clock().now() - age;
}

std::vector<worker_id> owner::implementation::apply_report(const instance_id& from,
                                                           const agent_report& report,
                                                           boot_time now)
{
    std::vector<worker_id> not_counted;
    for (const command_result& result : report.results)
    {
        if (result.outcome == command_outcome::fenced && result.token == token.value())
        {
            parts.superseded(fence_token(token.value() + 1));
            return not_counted;
        }
        cell.observe(ordered_by_polls(result), now);
    }
    for (const poll_result& poll : report.polls)
    {
        // Polls of a former agent cannot be ordered with those of the current agent: a
        // run in the result may have started after a poll that the current agent sent
        // earlier.
        const auto route = routes.find(poll.worker);
        if (route != routes.end() &&
            poll.sent_position.assignment == route->second.assignment)
        {
            forget_previous_agents(route->second, poll, now);
            cell.observe(poll, now);
        }
        else
        {
            parts.log.info("owner", "poll not counted",
                           {{"worker", poll.worker.value()}, {"agent", from.value()}});
            not_counted.push_back(poll.worker);
        }
    }
    for (const refused_poll& refused : report.refused_polls)
    {
        const auto route = routes.find(refused.worker);
        if (route != routes.end() && refused.address == route->second.address &&
            refused.sent_position.assignment == route->second.assignment)
            cell.observe(refused, now);
    }
    agent_state& sender = agents[from];
    for (const advice_result& result : report.advice)
    {
        sender.pending_advice.erase({result.job, result.step});
        sender.advice_not_before =
            result.answered ? boot_time() : now + failed_advice_pause;
        cell.observe(result, now);
    }
    for (const worker_id& id : report.unreachable)
    {
        // The worker may be reachable from another agent.
        const auto route = routes.find(id);
        if (route != routes.end() && route->second.agent == from && agents.size() > 2)
            reassign_worker(id, route->second);
    }
    schedule_store();
    return not_counted;
}

void owner::implementation::decide()
{
    if (!loaded || stopping)
        return send_commands();
    const boot_time now = parts.loop.clock().now();
    check_worker_list(now);
    if (!check_claim(now))
        return send_commands();
    decide_now(now);
    const boot_time end = parts.loop.clock().now();
    parts.metrics.observe("hawthornbeam_decision_seconds", {}, end - now);
    const std::optional<decision_load> load = pacer.record(now, end);
    if (load && load->busy_percent() >= busy_threshold)
        parts.log.info(
            "owner", "decisions take long",
            {{"busy_percent", load->busy_percent()},
             {"decisions", std::uint64_t{load->decisions}},
             {"longest_ms", std::int64_t{load->longest / std::chrono::milliseconds(1)}},
             {"open_jobs", std::uint64_t{cell.open_jobs()}}});
}

void owner::implementation::check_worker_list(boot_time now)
{
    const duration age = now - parts.directory.current_until();
    const bool is_old = age > old_worker_list_threshold;
    if (is_old == std::exchange(worker_list_is_old, is_old))
        return;
    if (is_old)
        parts.log.warning("owner", "list of workers is old",
                          {{"age_ms", std::int64_t{age / std::chrono::milliseconds(1)}}});
    else
        parts.log.info("owner", "list of workers is current again", {});
}

boot_time owner::implementation::workers_confirmed_at(boot_time now) const
{
    // While the store answers nobody, it stores no entry.
    const bool store_is_away =
        parts.store_is_failing() && agents_with_store_access().empty();
    return store_is_away ? now : parts.directory.current_until();
}

void owner::implementation::decide_now(boot_time now)
{
    cell.confirm_claim(confirmed_at());
    cell.confirm_workers(workers_confirmed_at(now));
    cell.set_advice_hosts(hosts_for_long_advice(now));
    decisions decided = cell.decide(now);
    for (start_command& command : decided.starts)
    {
        agent_commands* const commands = commands_for(command.worker);
        if (commands != nullptr)
            commands->starts.push_back(std::move(command));
        else
            record_start_not_sent(command.worker, command.run, now);
    }
    for (const stop_command& command : decided.stops)
    {
        agent_commands* const commands = commands_for(command.worker);
        if (commands != nullptr)
            commands->stops.push_back(command);
    }
    for (advice_command& command : decided.advice)
        route_advice(std::move(command), now);
    schedule_store();
    send_commands();
}

void owner::implementation::record_start_not_sent(const worker_id& worker,
                                                  const run_ref& run, boot_time now)
{
    command_result result;
    result.worker = worker;
    result.run = run;
    result.outcome = command_outcome::not_sent;
    cell.observe(result, now);
}

void owner::implementation::acknowledge(const std::vector<acknowledge_command>& covered)
{
    for (const acknowledge_command& command : covered)
    {
        agent_commands* const commands = commands_for(command.worker);
        if (commands != nullptr)
            commands->acknowledgements.push_back(command);
    }
    send_commands();
}

void owner::implementation::send_commands()
{
    std::map<instance_id, agent_commands> sending;
    sending.swap(outbox);
    for (auto& [id, commands] : sending)
    {
        if (commands.empty())
            continue;
        for (agent_commands& part : split_by_size(std::move(commands)))
        {
            wire::cell_commands message;
            message.commands = std::move(part);
            send_to(id, std::move(message));
        }
    }
}

void owner::implementation::broadcast()
{
    const boot_time now = parts.loop.clock().now();
    refuse_lost_advice(now);
    remove_expired_cancels();
    std::erase_if(agents, [now](const std::pair<const instance_id, agent_state>& entry)
                  { return now - entry.second.last_report_at > agent_retention; });
    if (evidence.remove_unheard(now))
        instances_changed = true;
    assign_workers();
    const std::uint32_t largest = largest_processor_share();
    std::vector<queue_depth> depths;
    if (loaded)
    {
        remove_dropped_workers();
        depths = cell.depths();
    }
    parts.metrics.set_gauge("hawthornbeam_open_jobs", {},
                            static_cast<double>(cell.open_jobs()));
    parts.metrics.set_gauge("hawthornbeam_settled", {}, cell.is_settled() ? 1 : 0);
    parts.metrics.set_gauge("hawthornbeam_awaited_agents", {},
                            static_cast<double>(cell.awaited_agents()));
    parts.metrics.set_gauge(
        "hawthornbeam_worker_list_age_seconds", {},
        std::chrono::duration<double>(now - parts.directory.current_until()).count());
    for (const queue_depth& depth : depths)
        parts.metrics.set_gauge("hawthornbeam_waiting_jobs",
                                {{"queue", depth.queue.value()}},
                                static_cast<double>(depth.waiting));
    const std::vector<endpoint> peers = agents_with_store_access();
    std::map<instance_id, agent_commands> sending;
    sending.swap(outbox);
    for (const auto& [id, state] : agents)
    {
        if (!state.is_alive(now))
            continue;
        std::vector<agent_commands> split = split_by_size(std::move(sending[id]));
        for (std::size_t later = 1; later < split.size(); ++later)
            std::ranges::move(split[later].starts, std::back_inserter(outbox[id].starts));
        wire::cell_commands message;
        message.commands = std::move(split.front());
        message.ended = newly_ended;
        message.depths = depths;
        message.peers = peers;
        message.largest_processor_share = largest;
        send_to(id, std::move(message));
    }
    newly_ended.clear();
    send_commands();
}

void owner::implementation::send_to(const instance_id& id, wire::cell_commands message)
{
    const auto found = agents.find(id);
    if (found == agents.end())
        return;
    message.token = token;
    message.leaving = stopping;
    message.resigned = resigned;
    sent_commands commands;
    for (const start_command& command : message.commands.starts)
        commands.starts.emplace_back(command.worker, command.run);
    for (const advice_command& command : message.commands.advice)
        commands.advice.emplace_back(command.job, command.step);
    parts.send(found->second.address, std::move(message),
               [weak = weak_from_this(), id, commands = std::move(commands),
                sent = parts.loop.clock().now()](result<fence_token> answer)
               {
                   const std::shared_ptr<implementation> self = weak.lock();
                   if (self)
                       self->handle_answer(id, sent, commands, answer);
               });
}

void owner::implementation::handle_answer(const instance_id& id, boot_time sent,
                                          const sent_commands& commands,
                                          const result<fence_token>& answer)
{
    if (answer)
    {
        if (answer.value() > token)
            parts.superseded(answer.value());
        else
            evidence.record_answer(id, sent);
        return;
    }
    const boot_time now = parts.loop.clock().now();
    parts.metrics.add("hawthornbeam_orders_not_taken_total", {});
    parts.log.warning("owner", "commands not accepted",
                      {{"agent", id.value()}, {"reason", answer.error().message}});
    if (answer.error().code != error_code::outcome_unknown)
        for (const auto& [worker, run] : commands.starts)
            record_start_not_sent(worker, run, now);
    const auto found = agents.find(id);
    if (found == agents.end())
        return;
    // The agent becomes usable again with its next report and then gets new assignments.
    found->second.commands_failed = true;
    for (const std::pair<job_key, std::uint32_t>& step : commands.advice)
    {
        const auto request = found->second.pending_advice.find(step);
        if (request == found->second.pending_advice.end())
            continue;
        refuse_advice(request->second.command, now);
        found->second.pending_advice.erase(request);
    }
    assign_workers();
    schedule_decision();
}

owner::owner(const owner_parts& parts, fence_token token)
    : implementation_(std::make_shared<implementation>(parts, token))
{
}

owner::~owner()
{
    implementation_->parts.directory.stop();
}

void owner::start()
{
    implementation_->begin();
}

void owner::change_token(fence_token token)
{
    implementation& self = *implementation_;
    self.token = token;
    self.writer.set_token(token);
    // Agents drop all assignments of an earlier token, so every worker is assigned again.
    for (auto& [id, route] : self.routes)
        self.unassign(route);
    self.outbox.clear();
    // They also drop the answers to requests of an earlier token.
    const boot_time now = self.parts.loop.clock().now();
    for (auto& [id, agent] : self.agents)
        self.refuse_all_advice(agent, now);
    self.assign_workers();
    self.send_commands();
    self.schedule_decision();
}

void owner::resign()
{
    implementation& self = *implementation_;
    self.resigned = true;
    const boot_time now = self.parts.loop.clock().now();
    for (const auto& [id, agent] : self.agents)
        if (id != self.parts.self && agent.is_alive(now))
            self.send_to(id, wire::cell_commands());
}

void owner::configure(const std::vector<queue_policy>& queues)
{
    implementation_->cell.configure(queues);
    implementation_->queues_changed = true;
    implementation_->schedule_store();
    implementation_->schedule_decision();
}

report_receipt owner::handle_report(const instance_id& from, wire::cell_report report)
{
    return implementation_->handle_report(from, std::move(report));
}

std::optional<std::vector<wire::cell_job_state>>
owner::states(const std::vector<job_key>& jobs) const
{
    if (!implementation_->loaded)
        return std::nullopt;
    std::vector<wire::cell_job_state> found;
    for (const job_key& job : jobs)
    {
        const std::optional<job_state> state = implementation_->cell.state(job);
        if (state)
            found.push_back({job, *state});
    }
    return found;
}

void owner::hand_over(duration wait, std::function<void()> done)
{
    implementation& self = *implementation_;
    self.stopping = true;
    self.broadcast();
    self.handover_timer = self.parts.loop.after(wait, std::move(done));
}

} // namespace hawthornbeam::cell
