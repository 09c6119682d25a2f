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
    const member_table& table() const { return table_; }

    std::function<void()> change_handler;
    std::function<void(const member&)> table_handler;
    boot_time last_contact = boot_time::min();
    std::uint64_t malformed = 0;

private:
    struct running_probe
    {
        instance_id target;
        std::uint32_t sequence = 0;
    };
    struct relay
    {
        gossip_address requester;
        std::uint32_t sequence = 0;
        boot_time since{};
    };
    struct running_sync
    {
        gossip_address peer;
        instance_id after;
        std::uint32_t sequence = 0;
        int attempts = 0;
    };

    void notice_pause();
    void tick();
    void begin_probe();
    void ask_helpers(const instance_id& target, std::uint32_t sequence);
    /// Spreads news at once instead of with the next probes.
    void tell_several();
    void probe_failed(const instance_id& target);
    void check_suspicions();
    void watch_suspicions();
    void maintain();
    std::vector<gossip_address> unreached() const;
    const member_record* next_target();
    const member_record* random_live();

    void start_sync(const gossip_address& peer);
    void send_sync();
    void on_sync_request(const gossip_address& from, const gossip_message& message);
    void on_sync_reply(const gossip_message& message);

    void receive(const gossip_address& from, const std::string& bytes);
    void dispatch(const gossip_address& from, const gossip_message& message);
    /// True when \p message says that this instance is not alive. The sender may have
    /// missed a refutation, which is no longer news here and must be repeated.
    bool is_accused(const gossip_message& message) const;
    void merge_updates(const gossip_message& message);
    void note_sender(const gossip_address& from, const gossip_message& message);
    void on_ack(const gossip_message& message);
    void on_ping_request(const gossip_address& from, const gossip_message& message);

    gossip_message make(gossip_kind kind, std::uint32_t sequence) const;
    std::size_t room_in(const gossip_message& message) const;
    void send(const gossip_address& to, gossip_message message,
              std::initializer_list<instance_id> about);
    void ping(const member& target, std::uint32_t sequence);
    void log_state(const member_record& record) const;
    void notify();

    event_loop& loop_;
    datagram_channel& channel_;
    const logger& log_;
    options settings_;
    random_source random_;
    member_table table_;
    table_version newest_table_;
    boot_time last_seen_;
    std::vector<gossip_address> seeds_;
    std::vector<instance_id> probe_order_;
    std::optional<running_probe> probe_;
    std::optional<running_sync> sync_;
    std::map<std::uint32_t, relay> relays_;
    std::uint32_t next_sequence_ = 1;
    std::uint64_t ticks_ = 0;
    std::uint64_t next_compare_ = 0;
    std::uint64_t compare_interval_ = 1;
    bool joined_ = false;
    bool changed_ = false;
    bool watching_ = false; ///< The suspicion timer runs.
    timer_handle first_tick_;
    timer_handle ticker_;
    timer_handle probe_timer_;
    timer_handle suspicion_timer_;
    timer_handle sync_timer_;
};

} // namespace hawthornbeam

#endif
