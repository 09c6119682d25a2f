#include "test/standins/memory_network.hpp"

#include "test/standins/memory_peer_network.hpp"

namespace hawthornbeam::standins
{

namespace
{

/// Maximum number of datagrams queued for a paused instance, like a socket buffer.
constexpr std::size_t max_queued_datagrams = 4096;

} // namespace

memory_network::memory_network(event_loop& loop, std::uint64_t seed)
    : loop_(loop), random_(seed)
{
}

memory_network::~memory_network() = default;

pausable_loop& memory_network::loop_of(const instance_id& id)
{
    std::vector<std::unique_ptr<pausable_loop>>& incarnations = loops_[id];
    if (incarnations.empty() || incarnations.back()->is_dead())
        incarnations.push_back(std::make_unique<pausable_loop>(loop_));
    return *incarnations.back();
}

std::unique_ptr<memory_channel>
memory_network::make_channel(const instance_id& id, const gossip_address& address)
{
    return std::make_unique<memory_channel>(*this, id, address);
}

std::unique_ptr<memory_peer_network>
memory_network::make_peers(const instance_id& id, const wire::peer_address& address)
{
    return std::make_unique<memory_peer_network>(*this, id, address);
}

void memory_network::cut(const instance_id& from, const instance_id& to)
{
    cuts_.emplace(from, to);
}

void memory_network::cut_both(const instance_id& a, const instance_id& b)
{
    cut(a, b);
    cut(b, a);
}

void memory_network::partition(const std::vector<instance_id>& a,
                               const std::vector<instance_id>& b)
{
    for (const instance_id& left : a)
        for (const instance_id& right : b)
            cut_both(left, right);
}

void memory_network::heal(const instance_id& a, const instance_id& b)
{
    cuts_.erase({a, b});
    cuts_.erase({b, a});
    retry_connections();
}

void memory_network::heal_all()
{
    cuts_.clear();
    retry_connections();
}

void memory_network::set_delay(duration min_delay, duration spread)
{
    min_delay_ = min_delay;
    delay_spread_ = spread;
}

void memory_network::pause(const instance_id& id)
{
    loop_of(id).pause();
}

void memory_network::resume(const instance_id& id)
{
    loop_of(id).resume();
    retry_connections();
}

void memory_network::kill(const instance_id& id)
{
    loop_of(id).kill();
    for (const auto& [address, peers] : peers_)
        peers->reset_connections(id);
}

void memory_network::lose_answers(const instance_id& caller, const instance_id& server,
                                  unsigned count)
{
    lost_answers_[{caller, server}] = count;
}

void memory_network::silence(const instance_id& caller, const instance_id& server)
{
    for (const auto& [address, peers] : peers_)
        if (peers->id() == caller)
            peers->silence(server);
}

std::uint64_t memory_network::datagram_bytes(const instance_id& id) const
{
    const auto found = datagram_bytes_.find(id);
    return found == datagram_bytes_.end() ? 0 : found->second;
}

void memory_network::count(message_traffic& traffic, const std::string& bytes)
{
    ++traffic.messages;
    traffic.bytes += bytes.size();
}

bool memory_network::is_cut(const instance_id& from, const instance_id& to) const
{
    return cuts_.contains({from, to});
}

bool memory_network::is_dead(const instance_id& id) const
{
    const auto found = loops_.find(id);
    return found != loops_.end() && found->second.back()->is_dead();
}

bool memory_network::is_paused(const instance_id& id) const
{
    const auto found = loops_.find(id);
    return found != loops_.end() && found->second.back()->is_paused();
}

bool memory_network::consume_lost_answer(const instance_id& caller,
                                         const instance_id& server)
{
    const auto found = lost_answers_.find({caller, server});
    if (found == lost_answers_.end() || found->second == 0)
        return false;
    --found->second;
    return true;
}

duration memory_network::next_delay()
{
    if (delay_spread_ == duration::zero())
        return min_delay_;
    return min_delay_ + duration(static_cast<duration::rep>(random_.below(
                            static_cast<std::uint64_t>(delay_spread_.count()))));
}

void memory_network::run_after(duration delay, std::function<void()> action)
{
    const std::uint64_t key = next_delivery_++;
    deliveries_.emplace(key, loop_.after(delay,
                                         [this, key, action = std::move(action)]
                                         {
                                             action();
                                             deliveries_.erase(key);
                                         }));
}

void memory_network::send_datagram(const memory_channel& sender, const gossip_address& to,
                                   const std::string& bytes)
{
    if (sender.loop_.is_dead())
        return;
    datagram_bytes_[sender.id_] += bytes.size();
    if (loss_ > 0 && random_.unit() < loss_)
        return;
    run_after(next_delay(),
              [this, from = sender.id_, from_address = sender.address_, to, bytes]
              {
                  const auto found = channels_.find(to);
                  if (found == channels_.end() || is_cut(from, found->second->id_))
                      return;
                  memory_channel& target = *found->second;
                  if (target.loop_.waiting() >= max_queued_datagrams)
                      return;
                  target.loop_.deliver(
                      [weak = std::weak_ptr<datagram_channel::receiver>(target.handler_),
                       from_address, bytes]
                      {
                          const std::shared_ptr<datagram_channel::receiver> handler =
                              weak.lock();
                          if (handler && *handler)
                              (*handler)(from_address, bytes);
                      });
              });
}

memory_peer_network* memory_network::peers_at(const wire::peer_address& address) const
{
    const auto found = peers_.find(address);
    return found == peers_.end() ? nullptr : found->second;
}

void memory_network::retry_connections()
{
    for (const auto& [address, peers] : peers_)
        peers->retry();
}

memory_channel::memory_channel(memory_network& network, instance_id id,
                               gossip_address address)
    : network_(network), id_(std::move(id)), address_(std::move(address)),
      loop_(network.loop_of(id_))
{
    network_.channels_[address_] = this;
}

memory_channel::~memory_channel()
{
    const auto found = network_.channels_.find(address_);
    if (found != network_.channels_.end() && found->second == this)
        network_.channels_.erase(found);
}

void memory_channel::send(const gossip_address& to, const std::string& bytes)
{
    network_.send_datagram(*this, to, bytes);
}

void memory_channel::on_receive(receiver handler)
{
    handler_ = std::make_shared<receiver>(std::move(handler));
}

} // namespace hawthornbeam::standins
