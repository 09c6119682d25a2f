/// \file
/// Peer requests between instances over the in-memory network.
#ifndef HAWTHORNBEAM_TEST_STANDINS_MEMORY_PEER_NETWORK_HPP
#define HAWTHORNBEAM_TEST_STANDINS_MEMORY_PEER_NETWORK_HPP

#include "test/standins/memory_network.hpp"

namespace hawthornbeam::standins
{

/// Sends the requests of one instance and reports the same errors as tcp_peer_network.
/// Each message is encoded by the sender and decoded by the receiver.
class memory_peer_network final : public wire::peer_network
{
public:
    memory_peer_network(memory_network& network, instance_id id,
                        wire::peer_address address);
    ~memory_peer_network() override;
    memory_peer_network(const memory_peer_network&) = delete;
    memory_peer_network& operator=(const memory_peer_network&) = delete;

    void call(const wire::peer_address& to, wire::request message, duration deadline,
              std::function<void(result<wire::reply>)> done) override;
    void serve(wire::request_handler handler) override;

    const instance_id& id() const { return id_; }

private:
    friend class memory_network;

    struct open_call
    {
        std::string bytes; ///< Encoded request; empty once written.
        std::function<void(result<wire::reply>)> done;
        timer_handle deadline;
        bool written = false;
    };
    /// A connection to one address.
    struct link
    {
        std::map<std::uint64_t, open_call> open;
        instance_id server; ///< Empty until established.
        bool silent = false;
        std::uint64_t number = 0; ///< Responses on an older connection are dropped.
        boot_time last_received{};
        boot_time last_delivery{};
        timer_handle check_timer;
    };

    void write_pending(const wire::peer_address& to);
    void write(const wire::peer_address& to, std::uint64_t call_id, open_call& call);
    void receive(const instance_id& from, const std::string& bytes,
                 const std::function<void(std::string)>& answer);
    void send_answer(const wire::peer_address& to, std::uint64_t number,
                     std::uint64_t call_id, const instance_id& server,
                     const std::string& bytes);
    void finish(const wire::peer_address& to, std::uint64_t call_id,
                result<wire::reply> outcome);
    void check(const wire::peer_address& to);
    void drop(const wire::peer_address& to, const std::string& reason);
    bool is_reachable(const instance_id& server) const;
    void reset_connections(const instance_id& server);
    void silence(const instance_id& server);
    void retry();

    memory_network& network_;
    instance_id id_;
    wire::peer_address address_;
    pausable_loop& loop_;
    wire::request_handler handler_;
    std::map<wire::peer_address, link> links_;
    std::uint64_t next_call_ = 1;
    std::uint64_t next_link_ = 1;
    std::shared_ptr<bool> alive_;
};

} // namespace hawthornbeam::standins

#endif
