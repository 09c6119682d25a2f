/// \file
/// Exchanges reports, commands and queries between instances.
#include "node_state.hpp"

#include "hawthornbeam/cell/retry_time.hpp"

namespace hawthornbeam::cell
{

namespace
{

/// Longest time between two reports of an agent.
constexpr duration heartbeat_period = std::chrono::milliseconds(500);
/// Timeouts of calls between instances; below the 1.2 s after which a claim ends.
constexpr duration report_timeout = std::chrono::milliseconds(1000);
constexpr duration commands_timeout = std::chrono::milliseconds(1000);
constexpr duration relay_timeout = std::chrono::milliseconds(1100);
/// Age up to which the owner's counts of waiting jobs are returned.
constexpr duration max_queue_depth_age = std::chrono::milliseconds(1800);
/// Period in which an owner checks whether it is cut off.
constexpr duration isolation_check_period = std::chrono::milliseconds(100);
/// Bytes of jobs in one report, well below the frame size of the inner protocol.
constexpr std::size_t max_job_bytes = std::size_t{256} << 10U;
/// Upper estimate of the encoded size of a job, and of a step, besides their strings.
constexpr std::size_t job_overhead = 256;
constexpr std::size_t step_overhead = 128;

std::size_t encoded_size(const job_spec& job)
{
    std::size_t bytes = job_overhead + job.payload.size();
    for (const step_spec& step : job.steps)
        bytes += step_overhead + step.label.size() + step.data_rack.value().size() +
                 step.after.size() * sizeof(std::uint32_t);
    return bytes;
}

} // namespace

node::implementation::implementation(const node_parts& given)
    : parts(given), store(given.loop, given.store),
      claim(given.loop, store, given.random, given.log,
            owner_identity{given.self, given.address, fence_token()},
            {[this](fence_token token, bool continued) { on_acquired(token, continued); },
             [this] { active_owner.reset(); },
             [this](const std::optional<owner_identity>&) { report_heartbeat(); }}),
      agent(given.loop, given.workers, given.log, given.limits.max_lease,
            [this](fence_token token, agent_report observations, boot_time observed_at)
            { report(token, std::move(observations), observed_at); }),
      receiver(
          {given.loop, store, given.log, [this] { return store.is_failing(); },
           [this](const job_spec& job, kv_revision stored)
           {
               unreported_jobs.push_back({job, stored, false});
               report_heartbeat();
           },
           [this](const job_key& job)
           {
               unreported_cancels.push_back(job);
               report_heartbeat();
           },
           [this](std::vector<job_key> jobs, states_callback done)
           { query_owner(std::move(jobs), std::move(done)); },
           [this](const relayed_change& change, std::function<void(result<verdict>)> done)
           { relay(change, std::move(done)); }})
{
}

std::optional<endpoint> node::implementation::random_peer()
{
    if (peers.empty())
        return std::nullopt;
    return peers[parts.random.below(peers.size())];
}

void node::implementation::record_store_state()
{
    if (store.is_failing() == logged_store_failing)
        return;
    logged_store_failing = !logged_store_failing;
    const std::int64_t silence_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(store.silence()).count();
    if (logged_store_failing)
        parts.log.warning(
            "node", "store does not answer",
            {{"silence_ms", silence_ms}, {"owner", claim.is_owner() ? 1 : 0}});
    else
        parts.log.info("node", "store answers again", {});
    parts.metrics.set_gauge("hawthornbeam_store_answers", {},
                            logged_store_failing ? 0 : 1);
}

void node::implementation::report_heartbeat()
{
    report(agent.token(), agent_report(), parts.loop.clock().now());
}

void node::implementation::report(fence_token known_token, agent_report observations,
                                  boot_time observed_at)
{
    const std::optional<owner_identity>& target = claim.owner();
    if (!target)
        return;
    const boot_time sent = parts.loop.clock().now();
    const std::vector<polled_worker> polled = polled_workers(observations);
    wire::cell_report message;
    message.token = known_token;
    message.address = parts.address;
    message.share = parts.share;
    message.leaving = leaving;
    message.store_unanswered_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(store.silence()).count());
    message.report = std::move(observations);
    const std::vector<unreported_job> jobs =
        claim.is_owner() ? std::exchange(unreported_jobs, {}) : take_unreported();
    for (const unreported_job& job : jobs)
    {
        const bool is_new = !job.offered && job.stored.value() > target->token.value();
        message.accepted.push_back({job.job, is_new});
    }
    message.cancelled = std::exchange(unreported_cancels, {});
    if (claim.is_owner())
    {
        if (!active_owner)
            return;
        const report_receipt receipt =
            active_owner->handle_report(parts.self, std::move(message));
        if (known_token == claim.token())
            agent.on_report_received(known_token, receipt, polled, observed_at, sent);
        return;
    }
    parts.network.call(
        wire::peer_address(target->address.value()), message, report_timeout,
        [weak = weak_from_this(), jobs, cancels = message.cancelled,
         addressed_owner = *target, known_token, polled, observed_at,
         sent](const result<wire::reply>& answer)
        {
            const std::shared_ptr<implementation> self = weak.lock();
            if (!self)
                return;
            const wire::cell_report_reply* reply =
                answer ? std::get_if<wire::cell_report_reply>(&answer.value()) : nullptr;
            const bool offered =
                !answer && answer.error().code == error_code::outcome_unknown;
            self->owner_accepts_reports = reply != nullptr && reply->is_owner;
            if (self->owner_accepts_reports)
            {
                if (reply->owner.token == known_token)
                    self->agent.on_report_received(
                        known_token,
                        {reply->not_counted,
                         std::chrono::milliseconds(reply->unconfirmed_ms),
                         reply->has_calls},
                        polled, observed_at, sent);
                if (!self->unreported_jobs.empty())
                    self->report_heartbeat();
                return;
            }
            self->queue_unreported(jobs, cancels, offered);
            if (reply == nullptr)
                return;
            self->claim.on_owner_reported(reply->owner);
            if (reply->instance != addressed_owner.instance)
                self->claim.on_owner_stopped(
                    addressed_owner.token,
                    "another process answers at the owner's address");
        });
}

std::vector<node::implementation::unreported_job> node::implementation::take_unreported()
{
    // An owner reads from the store what it was not told of, and so a job that does not
    // fit into any report.
    std::erase_if(unreported_jobs, [](const unreported_job& each)
                  { return encoded_size(each.job) > max_job_bytes; });
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (; count < unreported_jobs.size(); ++count)
    {
        bytes += encoded_size(unreported_jobs[count].job);
        if (bytes > max_job_bytes)
            break;
    }
    const auto end = unreported_jobs.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<unreported_job> taken(std::make_move_iterator(unreported_jobs.begin()),
                                      std::make_move_iterator(end));
    unreported_jobs.erase(unreported_jobs.begin(), end);
    return taken;
}

void node::implementation::queue_unreported(std::vector<unreported_job> jobs,
                                            const std::vector<job_key>& cancels,
                                            bool offered)
{
    // The next heartbeat sends them.
    for (unreported_job& job : jobs)
    {
        job.offered = job.offered || offered;
        unreported_jobs.push_back(std::move(job));
    }
    unreported_cancels.insert(unreported_cancels.end(), cancels.begin(), cancels.end());
}

void node::implementation::send_commands(const endpoint& target,
                                         wire::cell_commands message,
                                         std::function<void(result<fence_token>)> done)
{
    message.owner = parts.address;
    if (target == parts.address)
    {
        parts.loop.post(
            [weak = weak_from_this(), message = std::move(message),
             done = std::move(done)]
            {
                const std::shared_ptr<implementation> self = weak.lock();
                if (!self)
                    return;
                self->handle_commands(self->parts.self, message);
                done(self->agent.token());
            });
        return;
    }
    parts.network.call(
        wire::peer_address(target.value()), std::move(message), commands_timeout,
        [done = std::move(done)](const result<wire::reply>& answer)
        {
            if (!answer)
                return done(answer.error());
            const wire::cell_commands_reply* reply =
                std::get_if<wire::cell_commands_reply>(&answer.value());
            if (reply == nullptr)
                return done(make_error(error_code::outcome_unknown, "unexpected reply"));
            done(reply->known);
        });
}

wire::reply node::implementation::handle_commands(const instance_id& from,
                                                  const wire::cell_commands& message)
{
    if (claim.token() > message.token)
        return wire::cell_commands_reply{claim.token()};
    agent.execute(message.token, message.commands);
    if (message.token == agent.token())
    {
        if (message.resigned)
            claim.on_owner_stopped(message.token, "the owner resigned");
        else if (message.leaving)
            claim.on_owner_leaving();
        else if (from != parts.self)
            claim.on_owner_message({from, message.owner, message.token});
        if (message.largest_processor_share > 0)
            claim.set_relative_size(std::min(1.0, static_cast<double>(parts.share) /
                                                      message.largest_processor_share));
        for (const wire::cell_job_state& job : message.ended)
            receiver.record_ended(job.job, job.state);
        if (!message.peers.empty())
            peers = message.peers;
        if (!message.depths.empty())
        {
            queue_depths_at = parts.loop.clock().now();
            queue_depths.clear();
            for (const queue_depth& depth : message.depths)
                queue_depths[depth.queue] = depth.waiting;
        }
    }
    return wire::cell_commands_reply{agent.token()};
}

void node::implementation::query_owner(std::vector<job_key> jobs, states_callback done)
{
    const std::optional<owner_identity>& target = claim.owner();
    if (!target)
        return done(make_error(error_code::unavailable, "no owner of the cell is known"));
    const std::function<void(bool, const std::vector<wire::cell_job_state>&)>
        deliver_states =
            [done](bool is_owner, const std::vector<wire::cell_job_state>& found)
    {
        if (!is_owner)
            return done(make_error(error_code::unavailable,
                                   "the asked instance does not own the cell"));
        std::vector<std::pair<job_key, job_state>> states;
        for (const wire::cell_job_state& each : found)
            states.emplace_back(each.job, each.state);
        done(std::move(states));
    };
    if (claim.is_owner())
    {
        const std::optional<std::vector<wire::cell_job_state>> found =
            active_owner ? active_owner->states(jobs) : std::nullopt;
        return deliver_states(found.has_value(),
                              found.value_or(std::vector<wire::cell_job_state>()));
    }
    parts.network.call(wire::peer_address(target->address.value()),
                       wire::cell_query{std::move(jobs)}, query_timeout,
                       [done, deliver_states](const result<wire::reply>& answer)
                       {
                           const wire::cell_query_reply* found =
                               answer
                                   ? std::get_if<wire::cell_query_reply>(&answer.value())
                                   : nullptr;
                           if (found == nullptr)
                               return deliver_states(false, {});
                           deliver_states(found->is_owner, found->found);
                       });
}

void node::implementation::relay(const relayed_change& change,
                                 std::function<void(result<verdict>)> done)
{
    // Other instances relay through the owner, which needs the store in any case. An
    // owner that the store does not serve relays through an agent.
    std::optional<endpoint> target;
    if (claim.is_owner())
    {
        if (active_owner)
            peers = active_owner->agents();
        target = random_peer();
    }
    else if (claim.owner())
        target = claim.owner()->address;
    if (!target)
        return done(make_error(error_code::unavailable,
                               "no other instance is known to relay through"));
    parts.network.call(wire::peer_address(target->value()), wire::cell_relay{change},
                       relay_timeout,
                       [done = std::move(done)](const result<wire::reply>& answer)
                       {
                           if (!answer)
                               return done(answer.error());
                           const wire::cell_relay_reply* reply =
                               std::get_if<wire::cell_relay_reply>(&answer.value());
                           done(reply == nullptr ? verdict::unknown : reply->outcome);
                       });
}

void node::implementation::serve(const instance_id& from, wire::request message,
                                 const std::function<void(wire::reply)>& answer)
{
    last_peer_contact = parts.loop.clock().now();
    if (wire::cell_report* report_message = std::get_if<wire::cell_report>(&message))
    {
        wire::cell_report_reply reply;
        reply.is_owner = active_owner != nullptr && claim.is_owner();
        reply.instance = parts.self;
        reply.owner = known_owner();
        if (reply.is_owner)
        {
            report_receipt receipt =
                active_owner->handle_report(from, std::move(*report_message));
            reply.not_counted = std::move(receipt.not_counted);
            reply.has_calls = receipt.has_calls;
            // Rounded up, so that the claim never seems to be confirmed later.
            reply.unconfirmed_ms =
                static_cast<std::uint32_t>(
                    std::min<duration>(receipt.unconfirmed, std::chrono::hours(1)) /
                    std::chrono::milliseconds(1)) +
                1;
        }
        return answer(reply);
    }
    if (const wire::cell_commands* commands = std::get_if<wire::cell_commands>(&message))
        return answer(handle_commands(from, *commands));
    if (wire::cell_relay* relayed = std::get_if<wire::cell_relay>(&message))
        return receiver.store_relayed(std::move(relayed->change),
                                      [answer](verdict outcome)
                                      { answer(wire::cell_relay_reply{outcome}); });
    if (const wire::cell_query* query = std::get_if<wire::cell_query>(&message))
    {
        wire::cell_query_reply reply;
        const std::optional<std::vector<wire::cell_job_state>> found =
            active_owner ? active_owner->states(query->jobs) : std::nullopt;
        reply.is_owner = found.has_value();
        reply.owner = known_owner();
        if (found)
            reply.found = *found;
        return answer(reply);
    }
    answer(wire::failure_reply{error_code::invalid_input, "not a message of a cell"});
}

node::node(const node_parts& parts)
    : implementation_(std::make_shared<implementation>(parts))
{
}

node::~node() = default;

void node::start()
{
    implementation& self = *implementation_;
    self.parts.network.serve([&self](const instance_id& from, wire::request message,
                                     const std::function<void(wire::reply)>& answer)
                             { self.serve(from, std::move(message), answer); });
    self.heartbeat = self.parts.loop.every(heartbeat_period,
                                           [&self]
                                           {
                                               self.report_heartbeat();
                                               self.record_store_state();
                                               self.hand_over_to_larger_host();
                                               self.query_peer_for_owner();
                                           });
    self.isolation_check = self.parts.loop.every(isolation_check_period, [&self]
                                                 { self.resign_when_isolated(); });
    self.claim.start();
}

void node::configure(const std::vector<queue_policy>& queues)
{
    implementation_->queues = queues;
    implementation_->receiver.configure(queues);
    // An owner without the policies of the queues would fail and place jobs by defaults.
    implementation_->claim.enable();
    if (implementation_->active_owner)
        implementation_->active_owner->configure(queues);
}

receiver& node::requests()
{
    return implementation_->receiver;
}

std::optional<std::uint64_t> node::waiting(const queue_name& queue) const
{
    const implementation& self = *implementation_;
    if (self.parts.loop.clock().now() - self.queue_depths_at > max_queue_depth_age)
        return std::nullopt;
    const auto found = self.queue_depths.find(queue);
    return found == self.queue_depths.end() ? 0 : found->second;
}

std::chrono::seconds node::retry_after() const
{
    const implementation& self = *implementation_;
    return retry_time(self.store.is_failing() ? self.store.silence() : duration::zero(),
                      self.parts.random.unit());
}

void node::leave(std::function<void()> done)
{
    implementation& self = *implementation_;
    self.leaving = true;
    if (!self.active_owner)
    {
        self.claim.release();
        self.report_heartbeat();
        return done();
    }
    self.active_owner->hand_over(hand_over_wait,
                                 [&self, done = std::move(done)]
                                 {
                                     self.parts.loop.post(
                                         [&self, done]
                                         {
                                             self.claim.release();
                                             done();
                                         });
                                 });
}

} // namespace hawthornbeam::cell
