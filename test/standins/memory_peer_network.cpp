#include "test/standins/memory_peer_network.hpp"

#include <algorithm>

namespace hawthornbeam::standins
{

namespace
{

/// Same values as the options of tcp_peer_network.
constexpr duration probe_period = std::chrono::seconds(1);
constexpr duration silence_limit = std::chrono::seconds(3);
constexpr std::size_t max_frame_bytes = std::size_t{1} << 20U;

} // namespace

memory_peer_network::memory_peer_network(memory_network& network, instance_id id,
                                         wire::peer_address address)
    : network_(network), id_(std::move(id)), address_(std::move(address)),
      loop_(network.loop_of(id_)), alive_(std::make_shared<bool>(true))
{
    network_.peers_[address_] = this;
}

memory_peer_network::~memory_peer_network()
{
    alive_.reset();
    const auto found = network_.peers_.find(address_);
    if (found != network_.peers_.end() && found->second == this)
    {
        network_.peers_.erase(found);
        for (const auto& [address, peers] : network_.peers_)
            peers->reset_connections(id_);
    }
    while (!links_.empty())
        drop(links_.begin()->first, "this instance shuts down");
}

void memory_peer_network::serve(wire::request_handler handler)
{
    handler_ = std::move(handler);
}

void memory_peer_network::call(const wire::peer_address& to, wire::request message,
                               duration deadline,
                               std::function<void(result<wire::reply>)> done)
{
    std::string bytes = wire::encode(message);
    if (bytes.size() > max_frame_bytes)
    {
        ++network_.oversized_;
        loop_.post(
            [done = std::move(done)] {
                done(make_error(error_code::limit_exceeded, "the request is too large"));
            });
        return;
    }
    const memory_peer_network* target = network_.peers_at(to);
    const bool refused =
        target == nullptr || network_.is_dead(target->id_) || loop_.is_dead();
    if (refused && (target == nullptr || !network_.is_cut(id_, target->id_)))
    {
        loop_.post(
            [done = std::move(done), to] {
                done(make_error(error_code::unavailable,
                                "cannot connect to " + to.value()));
            });
        return;
    }
    link& connection = links_[to];
    if (connection.open.empty())
    {
        connection.last_received = loop_.clock().now();
        connection.check_timer = loop_.every(probe_period, [this, to] { check(to); });
    }
    const std::uint64_t call_id = next_call_++;
    open_call& entry = connection.open[call_id];
    entry.bytes = std::move(bytes);
    memory_network::count(network_.requests_[message.index()], entry.bytes);
    entry.done = std::move(done);
    entry.deadline = loop_.after(
        deadline,
        [this, to, call_id]
        {
            const bool written = links_.at(to).open.at(call_id).written;
            finish(to, call_id,
                   make_error(written ? error_code::outcome_unknown
                                      : error_code::unavailable,
                              "no answer from " + to.value() + " within the deadline"));
        });
    write_pending(to);
}

bool memory_peer_network::is_reachable(const instance_id& server) const
{
    return !network_.is_cut(id_, server) && !network_.is_cut(server, id_) &&
           !network_.is_dead(server) && !network_.is_paused(server);
}

void memory_peer_network::write_pending(const wire::peer_address& to)
{
    const auto found = links_.find(to);
    if (found == links_.end())
        return;
    link& connection = found->second;
    if (connection.server.empty())
    {
        const memory_peer_network* target = network_.peers_at(to);
        if (target == nullptr || !is_reachable(target->id_))
            return;
        connection.server = target->id_;
        connection.number = next_link_++;
        connection.silent = false;
    }
    for (auto& [call_id, entry] : connection.open)
        if (!entry.written)
            write(to, call_id, entry);
}

void memory_peer_network::write(const wire::peer_address& to, std::uint64_t call_id,
                                open_call& entry)
{
    link& connection = links_.at(to);
    entry.written = true;
    const std::string bytes = std::move(entry.bytes);
    entry.bytes.clear();
    if (connection.silent)
        return;
    // Preserves the order of the requests on one connection.
    const boot_time now = loop_.clock().now();
    connection.last_delivery =
        std::max(connection.last_delivery, now + network_.next_delay());
    const std::weak_ptr<bool> alive = alive_;
    network_.run_after(
        connection.last_delivery - now,
        [this, alive, network = &network_, caller = id_, server = connection.server, to,
         number = connection.number, call_id, bytes]
        {
            memory_peer_network* target = network->peers_at(to);
            if (target == nullptr || target->id_ != server ||
                network->is_cut(caller, server))
                return;
            target->receive(
                caller, bytes,
                [this, alive, to, number, call_id, server](const std::string& answer)
                {
                    if (!alive.expired())
                        send_answer(to, number, call_id, server, answer);
                });
        });
}

void memory_peer_network::receive(const instance_id& from, const std::string& bytes,
                                  const std::function<void(std::string)>& answer)
{
    const std::weak_ptr<bool> alive = alive_;
    loop_.deliver(
        [this, alive, from, bytes, answer]
        {
            if (alive.expired())
                return;
            result<wire::request> message = wire::decode_request(bytes);
            if (!message || !handler_)
                return answer(wire::encode(wire::reply(wire::failure_reply{
                    message ? error_code::unavailable : error_code::invalid_input,
                    message ? "not ready to serve" : message.error().message})));
            handler_(from, std::move(message).value(),
                     [this, alive, answer](const wire::reply& given)
                     {
                         if (alive.expired())
                             return;
                         const std::string encoded = wire::encode(given);
                         memory_network::count(network_.replies_[given.index()], encoded);
                         answer(encoded);
                     });
        });
}

void memory_peer_network::send_answer(const wire::peer_address& to, std::uint64_t number,
                                      std::uint64_t call_id, const instance_id& server,
                                      const std::string& bytes)
{
    if (network_.is_dead(server) || network_.consume_lost_answer(id_, server))
        return;
    const std::weak_ptr<bool> alive = alive_;
    network_.run_after(network_.next_delay(),
                       [this, alive, to, number, call_id, server, bytes]
                       {
                           if (alive.expired() || network_.is_cut(server, id_))
                               return;
                           loop_.deliver(
                               [this, alive, to, number, call_id, bytes]
                               {
                                   if (alive.expired())
                                       return;
                                   const auto found = links_.find(to);
                                   if (found == links_.end() || found->second.silent ||
                                       found->second.number != number)
                                       return;
                                   finish(to, call_id, wire::decode_reply(bytes));
                               });
                       });
}

void memory_peer_network::finish(const wire::peer_address& to, std::uint64_t call_id,
                                 result<wire::reply> outcome)
{
    const auto found = links_.find(to);
    if (found == links_.end())
        return;
    link& connection = found->second;
    const auto entry = connection.open.find(call_id);
    if (entry == connection.open.end())
        return;
    const open_call ended = std::move(entry->second);
    connection.open.erase(entry);
    if (connection.open.empty())
        connection.check_timer.reset();
    if (outcome)
        if (const wire::failure_reply* failure =
                std::get_if<wire::failure_reply>(&outcome.value()))
            outcome = make_error(failure->code, failure->message);
    ended.done(std::move(outcome));
}

void memory_peer_network::check(const wire::peer_address& to)
{
    const auto found = links_.find(to);
    if (found == links_.end())
        return;
    link& connection = found->second;
    const boot_time now = loop_.clock().now();
    if (!connection.server.empty() && !connection.silent &&
        is_reachable(connection.server))
        connection.last_received = now;
    if (now - connection.last_received >= silence_limit)
        drop(to, "the connection is silent");
}

void memory_peer_network::drop(const wire::peer_address& to, const std::string& reason)
{
    const auto found = links_.find(to);
    if (found == links_.end())
        return;
    std::map<std::uint64_t, open_call> open = std::move(found->second.open);
    links_.erase(found);
    for (const auto& [call_id, entry] : open)
        entry.done(make_error(entry.written ? error_code::outcome_unknown
                                            : error_code::unavailable,
                              reason));
}

void memory_peer_network::reset_connections(const instance_id& server)
{
    std::vector<wire::peer_address> lost;
    for (const auto& [to, connection] : links_)
        if (connection.server == server && !network_.is_cut(server, id_))
            lost.push_back(to);
    const std::weak_ptr<bool> alive = alive_;
    for (const wire::peer_address& to : lost)
        network_.run_after(network_.next_delay(),
                           [this, alive, to, number = links_.at(to).number]
                           {
                               if (alive.expired())
                                   return;
                               loop_.deliver(
                                   [this, alive, to, number]
                                   {
                                       if (alive.expired())
                                           return;
                                       const auto found = links_.find(to);
                                       if (found != links_.end() &&
                                           found->second.number == number)
                                           drop(to, "the connection was reset");
                                   });
                           });
}

void memory_peer_network::silence(const instance_id& server)
{
    for (auto& [to, connection] : links_)
        if (connection.server == server)
            connection.silent = true;
}

void memory_peer_network::retry()
{
    std::vector<wire::peer_address> waiting;
    for (const auto& [to, connection] : links_)
        if (!connection.open.empty())
            waiting.push_back(to);
    for (const wire::peer_address& to : waiting)
        write_pending(to);
}

} // namespace hawthornbeam::standins
