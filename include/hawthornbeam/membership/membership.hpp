/// \file
/// Which instances are live, by probes with suspicion and refutation.
#ifndef HAWTHORNBEAM_MEMBERSHIP_MEMBERSHIP_HPP
#define HAWTHORNBEAM_MEMBERSHIP_MEMBERSHIP_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/random_source.hpp"
#include "hawthornbeam/support/result.hpp"
#include "hawthornbeam/wire/peer_network.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// "IP:PORT" for gossip datagrams.
using gossip_address = string_id<struct gossip_address_tag>;

enum class member_state : std::uint8_t
{
    alive,
    suspected,
    leaving, ///< Hands over and takes no new work.
    dead
};

/// An instance as the member list knows it.
struct member
{
    instance_id id;
    gossip_address gossip;
    wire::peer_address peer;
    std::string http; ///< "IP:PORT" of its HTTP API.
    failure_domain_id failure_domain;
    incarnation life;
    member_state state = member_state::alive;
    table_version table; ///< Newest table version it has reported.
};

/// Sends and receives datagrams; tests use an in-memory one.
class datagram_channel
{
public:
    using receiver = std::function<void(const gossip_address& from, std::string bytes)>;

    virtual ~datagram_channel() = default;
    /// Sends best-effort; loss is normal.
    virtual void send(const gossip_address& to, const std::string& bytes) = 0;
    virtual void on_receive(receiver handler) = 0;
};

/// UDP on the GLib loop.
class udp_channel final : public datagram_channel
{
public:
    /// Binds \p ip and \p port (zero picks a free one).
    static result<std::unique_ptr<udp_channel>> open(const std::string& ip,
                                                     std::uint16_t port);
    ~udp_channel() override;
    void send(const gossip_address& to, const std::string& bytes) override;
    void on_receive(receiver handler) override;
    std::uint16_t port() const;
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

private:
    class implementation;
    explicit udp_channel(std::unique_ptr<implementation> state);
    std::unique_ptr<implementation> implementation_;
};

/// Member list with constant cost per instance: one probe a period, indirect probes
/// through others, suspicion before death, refutation by a higher incarnation. Updates
/// travel on the probes.
class membership
{
public:
    struct options
    {
        member self;
        std::vector<gossip_address> seeds;
        std::uint64_t seed = 1;
        duration probe_period = std::chrono::milliseconds(500);
        duration probe_timeout = std::chrono::milliseconds(200);
        duration suspicion = std::chrono::milliseconds(1500);
        std::size_t indirect_probes = 3;
        std::size_t most_datagram_bytes = 1400;
    };

    membership(event_loop& loop, datagram_channel& channel, const logger& log,
               options settings);
    ~membership();

    /// Begins to probe and to join the seeds.
    void start();
    /// Announces that this instance is leaving.
    void announce_leaving();
    /// Sets the table version carried on every message.
    void set_table_version(table_version version);
    /// More addresses to join, for example from the host list.
    void add_seeds(const std::vector<gossip_address>& seeds);

    const member& self() const;
    /// All known members that are not dead, this one included, ordered by id.
    std::vector<member> members() const;
    /// Ids of members that may own something: alive or suspected, and not leaving.
    std::vector<instance_id> candidates() const;
    const member* find(const instance_id& id) const;
    /// Called after the set of members or a member's state has changed.
    void on_change(std::function<void()> handler);
    /// Called when a member reports a newer table version than any seen before.
    void on_newer_table(std::function<void(const member& from)> handler);
    /// When the last message of any other member arrived; min() when none has.
    boot_time last_contact() const;
    /// Datagrams dropped because they could not be decoded.
    std::uint64_t malformed_datagrams() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
