/// \file
/// A peer network that handles the requests of an instance to itself locally.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_LOOPBACK_NETWORK_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_LOOPBACK_NETWORK_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/wire/peer_network.hpp"

namespace hawthornbeam
{

/// Forwards requests for other instances to the underlying network, and posts requests
/// for this instance to its own handler on the event loop.
class loopback_network final : public wire::peer_network
{
public:
    loopback_network(event_loop& loop, wire::peer_network& others, instance_id self_id,
                     wire::peer_address self_address)
        : loop_(loop), others_(others), self_id_(std::move(self_id)),
          self_address_(std::move(self_address))
    {
    }

    void call(const wire::peer_address& to, wire::request message, duration deadline,
              std::function<void(result<wire::reply>)> done) override
    {
        if (to != self_address_)
            return others_.call(to, std::move(message), deadline, std::move(done));
        const std::weak_ptr<int> liveness = liveness_;
        loop_.post(
            [this, liveness, message = std::move(message), done = std::move(done)]
            {
                if (!liveness.lock())
                    return;
                handler_(self_id_, message,
                         [done](wire::reply response)
                         {
                             const wire::failure_reply* failure =
                                 std::get_if<wire::failure_reply>(&response);
                             if (failure != nullptr)
                                 return done(make_error(failure->code, failure->message));
                             done(std::move(response));
                         });
            });
    }
    void serve(wire::request_handler handler) override
    {
        handler_ = handler;
        others_.serve(std::move(handler));
    }

private:
    event_loop& loop_;
    wire::peer_network& others_;
    instance_id self_id_;
    wire::peer_address self_address_;
    wire::request_handler handler_;
    /// Expires with this object; requests that are posted but not yet handled are then
    /// dropped.
    std::shared_ptr<int> liveness_ = std::make_shared<int>(0);
};

} // namespace hawthornbeam

#endif
