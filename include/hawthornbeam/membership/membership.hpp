/// \file
/// Failure detection and membership of instances by a SWIM-style gossip protocol.
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

/// "IP:PORT" on which an instance receives gossip datagrams.
using gossip_address = string_id<struct gossip_address_tag>;

enum class member_state : std::uint8_t
{
    alive,
    suspected,
    leaving, ///< The instance is transferring its work and accepts no new work.
    dead
};

/// An entry of the member list.
struct member
{
    instance_id id;
    gossip_address gossip;
    wire::peer_address peer;
    std::string http; ///< "IP:PORT" of its HTTP API.
    failure_domain_id failure_domain;
    incarnation incarnation_number; ///< Increases on restart and on refutation.
    member_state state = member_state::alive;
    table_version table; ///< Newest table version that the member has reported.
};

/// Sends and receives datagrams; tests use an in-memory implementation.
class datagram_channel
{
public:
    using receiver = std::function<void(const gossip_address& from, std::string bytes)>;

    virtual ~datagram_channel() = default;
    /// Sends a datagram without delivery guarantee; callers must tolerate loss.
    virtual void send(const gossip_address& to, const std::string& bytes) = 0;
    virtual void on_receive(receiver handler) = 0;
};

/// Sends and receives UDP datagrams on the GLib main loop.
class udp_channel final : public datagram_channel
{
public:
    /// Opens a socket bound to \p ip and \p port; port zero selects a free port.
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

/// Member list with a constant network cost per instance. Each instance probes one member
/// per probe period, directly and then indirectly through other members. A member that
/// does not reply is suspected first and declared dead later; it refutes a suspicion with
/// a higher incarnation. Updates are piggybacked on the probe messages.
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
        std::size_t max_datagram_bytes = 1400;
    };

    membership(event_loop& loop, datagram_channel& channel, const logger& log,
               options settings);
    ~membership();

    /// Starts probing and joins the cluster through the seeds.
    void start();
    void announce_leaving();
    /// Sets the table version that is sent with every message.
    void set_table_version(table_version version);
    /// Adds addresses to join through, for example from the host list.
    void add_seeds(const std::vector<gossip_address>& seeds);

    const member& self() const;
    /// Returns the members that are not dead, including this instance, ordered by id.
    std::vector<member> members() const;
    /// Returns the ids of members eligible for ownership: alive or suspected, not
    /// leaving.
    std::vector<instance_id> candidates() const;
    const member* find(const instance_id& id) const;
    /// Sets the handler called after the member list or the state of a member changes.
    void on_change(std::function<void()> handler);
    /// Sets the handler called when a member reports a table version newer than all
    /// previously reported ones.
    void on_newer_table(std::function<void(const member& from)> handler);
    /// Time when the last message from another member arrived; min() if there was none.
    boot_time last_contact() const;
    /// Number of datagrams dropped because they were too long or could not be decoded.
    std::uint64_t malformed_datagrams() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
