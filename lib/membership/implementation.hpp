/// \file
/// State of the membership protocol.
#ifndef HAWTHORNBEAM_LIB_MEMBERSHIP_IMPLEMENTATION_HPP
#define HAWTHORNBEAM_LIB_MEMBERSHIP_IMPLEMENTATION_HPP

#include "member_table.hpp"

#include <initializer_list>
#include <map>
#include <optional>

namespace hawthornbeam
{

class membership::implementation
{
public:
    implementation(event_loop& loop, datagram_channel& channel, const logger& log,
                   options settings);
    ~implementation() { channel_.on_receive(nullptr); }

    void start();
    void announce_leaving();
    void set_table_version(table_version version);
    void add_seeds(const std::vector<gossip_address>& seeds);
    const member_table& members() const { return members_; }

    std::function<void()> change_handler;
    std::function<void(const member&)> newer_table_handler;
    boot_time last_contact = boot_time::min();
    std::uint64_t malformed_datagrams = 0;

private:
    struct running_probe
    {
        instance_id target;
        std::uint32_t sequence = 0;
    };
    /// An indirect probe sent on behalf of another member.
    struct relay
    {
        gossip_address requester;
        std::uint32_t sequence = 0; ///< Of the ping_request.
        boot_time created_at{};
    };
    /// The paged request of the member list of one peer.
    struct running_sync
    {
        gossip_address peer;
        instance_id after_id; ///< Last id of the previous page.
        std::uint32_t sequence = 0;
        int attempts = 0;
    };

    /// Discards outstanding probes and relays and restarts the suspicion timeouts if this
    /// process did not run for longer than a probe period and timeout, since replies may
    /// have been missed.
    void detect_pause();
    void tick();
    void start_probe();
    void send_indirect_probes(const instance_id& target, std::uint32_t sequence);
    /// Sends pending updates at once instead of with the next regular probes.
    void ping_random_members();
    void on_probe_failed(const instance_id& target);
    void check_suspicions();
    void schedule_suspicion_check();
    /// Removes old dead members, contacts unreached addresses and starts the periodic
    /// sync of the member list.
    void maintain();
    /// Returns the addresses of dead members and of seeds that are not live members; all
    /// seeds before the first sync reply.
    std::vector<gossip_address> unreached_addresses() const;
    const member_record* next_probe_target();
    const member_record* random_live_member();

    void start_sync(const gossip_address& peer);
    void send_sync();
    void on_sync_request(const gossip_address& from, const gossip_message& message);
    void on_sync_reply(const gossip_message& message);

    void receive(const gossip_address& from, const std::string& bytes);
    void dispatch(const gossip_address& from, const gossip_message& message);
    /// True if \p message reports this instance as suspected or dead. The sender may have
    /// missed a refutation that is no longer pending here, so it must be sent again.
    bool reports_self_not_alive(const gossip_message& message) const;
    void merge_updates(const gossip_message& message);
    void on_sender(const gossip_address& from, const gossip_message& message);
    void on_ack(const gossip_message& message);
    void on_ping_request(const gossip_address& from, const gossip_message& message);

    gossip_message make_message(gossip_kind kind, std::uint32_t sequence) const;
    /// Returns the number of bytes left in the datagram of \p message.
    std::size_t remaining_bytes(const gossip_message& message) const;
    /// Attaches the updates about the members \p about that the receiver may need, then
    /// pending updates up to the size limit, and sends \p message.
    void send(const gossip_address& to, gossip_message message,
              std::initializer_list<instance_id> about);
    void ping(const member& target, std::uint32_t sequence);
    void log_state(const member_record& record) const;
    void notify_if_changed();

    event_loop& loop_;
    datagram_channel& channel_;
    const logger& log_;
    options settings_;
    random_source random_;
    member_table members_;
    table_version newest_table_version_;
    boot_time last_activity_; ///< When a timer or datagram was last handled.
    std::vector<gossip_address> seeds_;
    std::vector<instance_id> probe_order_; ///< Rest of the round, next target last.
    std::optional<running_probe> probe_;
    std::optional<running_sync> sync_;
    std::map<std::uint32_t, relay> relays_; ///< By the sequence of the relayed ping.
    std::uint32_t next_sequence_ = 1;
    std::uint64_t tick_count_ = 0; ///< One tick per probe period.
    std::uint64_t next_sync_tick_ = 0;
    std::uint64_t sync_interval_ticks_ = 1;
    bool joined_ = false;
    bool changed_ = false;
    bool suspicion_check_scheduled_ = false;
    timer_handle first_tick_timer_;
    timer_handle tick_timer_;
    timer_handle probe_timer_;
    timer_handle suspicion_timer_;
    timer_handle sync_timer_;
};

} // namespace hawthornbeam

#endif
