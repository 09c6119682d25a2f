/// \file
/// In-memory network between instances with fault injection, for deterministic tests.
#ifndef HAWTHORNBEAM_TEST_STANDINS_MEMORY_NETWORK_HPP
#define HAWTHORNBEAM_TEST_STANDINS_MEMORY_NETWORK_HPP

#include "hawthornbeam/membership/membership.hpp"
#include "hawthornbeam/support/random_source.hpp"
#include "test/standins/pausable_loop.hpp"

#include <map>
#include <set>
#include <vector>

namespace hawthornbeam::standins
{

class memory_channel;
class memory_peer_network;

/// Number of messages of one kind and their encoded size, without framing and TCP
/// headers.
struct message_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Carries datagrams and requests between instances on one event loop. Must outlive the
/// channels and peer networks created from it.
class memory_network
{
public:
    memory_network(event_loop& loop, std::uint64_t seed);
    ~memory_network();
    memory_network(const memory_network&) = delete;
    memory_network& operator=(const memory_network&) = delete;

    /// Returns the event loop of an instance, on which pause() and kill() act. After
    /// kill(), a new call returns the loop of the instance's next incarnation.
    pausable_loop& loop_of(const instance_id& id);
    /// Attaches an instance. If the address is in use, the new instance replaces the old.
    std::unique_ptr<memory_channel> make_channel(const instance_id& id,
                                                 const gossip_address& address);
    std::unique_ptr<memory_peer_network> make_peers(const instance_id& id,
                                                    const wire::peer_address& address);

    /// Drops everything sent from \p from to \p to.
    void cut(const instance_id& from, const instance_id& to);
    void cut_both(const instance_id& a, const instance_id& b);
    /// Cuts the links between all instances of \p a and all of \p b, in both directions.
    void partition(const std::vector<instance_id>& a, const std::vector<instance_id>& b);
    /// Removes the cuts between \p a and \p b in both directions.
    void heal(const instance_id& a, const instance_id& b);
    void heal_all();
    /// Delays each message by \p min_delay plus a random part of \p spread.
    void set_delay(duration min_delay, duration spread);
    /// Drops this fraction of datagrams.
    void set_datagram_loss(double fraction) { loss_ = fraction; }
    /// Pauses an instance; messages to it are queued.
    void pause(const instance_id& id);
    void resume(const instance_id& id);
    /// Ends an instance without notifying its peers; connections to it are reset.
    void kill(const instance_id& id);
    /// Drops the next \p count responses of \p server to \p caller; the requests take
    /// effect.
    void lose_answers(const instance_id& caller, const instance_id& server,
                      unsigned count);
    /// Blackholes the open connection from \p caller to \p server for good; a new
    /// connection works.
    void silence(const instance_id& caller, const instance_id& server);

    /// Returns the bytes of all datagrams sent by \p id.
    std::uint64_t datagram_bytes(const instance_id& id) const;
    /// Returns the requests sent by all instances, by index in wire::request.
    const std::map<std::size_t, message_traffic>& requests() const { return requests_; }
    /// Returns the number of requests that were not sent since they exceed a frame.
    std::size_t oversized() const { return oversized_; }
    /// Returns the replies sent by all instances, by index in wire::reply.
    const std::map<std::size_t, message_traffic>& replies() const { return replies_; }

private:
    friend class memory_channel;
    friend class memory_peer_network;

    bool is_cut(const instance_id& from, const instance_id& to) const;
    bool is_dead(const instance_id& id) const;
    bool is_paused(const instance_id& id) const;
    bool consume_lost_answer(const instance_id& caller, const instance_id& server);
    duration next_delay();
    static void count(message_traffic& traffic, const std::string& bytes);
    /// Runs \p action on the base loop after \p delay.
    void run_after(duration delay, std::function<void()> action);
    void send_datagram(const memory_channel& sender, const gossip_address& to,
                       const std::string& bytes);
    memory_peer_network* peers_at(const wire::peer_address& address) const;
    /// Retries the requests that wait for a connection.
    void retry_connections();

    event_loop& loop_;
    random_source random_;
    duration min_delay_ = std::chrono::milliseconds(1);
    duration delay_spread_{};
    double loss_ = 0;
    std::map<instance_id, std::vector<std::unique_ptr<pausable_loop>>> loops_;
    std::map<gossip_address, memory_channel*> channels_;
    std::map<wire::peer_address, memory_peer_network*> peers_;
    std::set<std::pair<instance_id, instance_id>> cuts_;
    std::map<std::pair<instance_id, instance_id>, unsigned> lost_answers_;
    std::map<instance_id, std::uint64_t> datagram_bytes_;
    std::map<std::size_t, message_traffic> requests_;
    std::size_t oversized_ = 0;
    std::map<std::size_t, message_traffic> replies_;
    std::map<std::uint64_t, timer_handle> deliveries_;
    std::uint64_t next_delivery_ = 0;
};

/// Sends and receives the datagrams of one instance.
class memory_channel final : public datagram_channel
{
public:
    memory_channel(memory_network& network, instance_id id, gossip_address address);
    ~memory_channel() override;
    memory_channel(const memory_channel&) = delete;
    memory_channel& operator=(const memory_channel&) = delete;

    void send(const gossip_address& to, const std::string& bytes) override;
    void on_receive(receiver handler) override;

private:
    friend class memory_network;

    memory_network& network_;
    instance_id id_;
    gossip_address address_;
    std::shared_ptr<receiver> handler_;
    pausable_loop& loop_;
};

} // namespace hawthornbeam::standins

#endif
