/// \file
/// Decides when an owner resigns or hands the cell over, and finds out who owns it.
#include "node_state.hpp"

namespace hawthornbeam::cell
{

namespace
{

/// An owner that receives no message of another instance for this long, while it still
/// reaches the store, is probably partitioned from them and resigns. It then leaves the
/// others resignation_pause to claim the cell.
constexpr duration isolation_limit = std::chrono::milliseconds(2000);
constexpr duration resignation_pause = std::chrono::milliseconds(1500);
/// An owner is cut off from the store when the store's last answer to another instance is
/// newer than its last answer to the owner by more than this. Longer than the time
/// between two renewals of the claim, since an idle owner would otherwise count as cut
/// off.
constexpr duration store_cut_off_limit = std::chrono::milliseconds(450);
constexpr duration store_cut_off_pause = std::chrono::milliseconds(4000);
/// An owner hands the cell over when another host has at least this many times its
/// processor share.
constexpr std::uint32_t hand_over_share_ratio = 2;
/// Time from a claim to the first comparison with the shares of other hosts. Longer than
/// two heartbeats, so that these hosts have reported.
constexpr duration share_comparison_delay = std::chrono::milliseconds(1200);
/// Shortest time between two hand-overs. The larger host may fail to claim the cell, and
/// this instance then claims it again.
constexpr duration hand_over_interval = std::chrono::milliseconds(10000);
/// An owner that the store has not answered for longer than this does not hand the cell
/// over, since no instance could claim it while the store fails.
constexpr duration max_store_silence = std::chrono::milliseconds(600);

} // namespace

void node::implementation::on_acquired(fence_token token, bool continued)
{
    if (continued && active_owner)
        return active_owner->change_token(token);
    owner_parts new_owner_parts{
        parts.loop,
        store,
        parts.directory,
        parts.log,
        parts.metrics,
        parts.limits,
        parts.self,
        std::chrono::minutes(5),
        [this](const endpoint& target, wire::cell_commands message,
               std::function<void(result<fence_token>)> done)
        { send_commands(target, std::move(message), std::move(done)); },
        [this](fence_token higher_token)
        {
            // Destroys the owner, so it must not run inside one of its calls.
            parts.loop.post(
                [weak = weak_from_this(), higher_token]
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (self)
                        self->claim.superseded(higher_token);
                });
        },
        [this] { return claim.confirmed_at(); },
        [this] { return store.is_failing(); }};
    parts.metrics.add("hawthornbeam_takeovers_total", {});
    hand_over_not_before =
        std::max(hand_over_not_before, parts.loop.clock().now() + share_comparison_delay);
    active_owner.reset();
    active_owner = std::make_unique<owner>(new_owner_parts, token);
    active_owner->configure(queues);
    active_owner->start();
    report_heartbeat();
}

void node::implementation::query_peer_for_owner()
{
    const std::optional<endpoint> peer = random_peer();
    if (claim.is_owner() || owner_accepts_reports || !store.is_failing() || !peer)
        return;
    parts.network.call(
        wire::peer_address(peer->value()), wire::cell_query{}, query_timeout,
        [weak = weak_from_this()](const result<wire::reply>& answer)
        {
            const std::shared_ptr<implementation> self = weak.lock();
            const wire::cell_query_reply* reply =
                answer ? std::get_if<wire::cell_query_reply>(&answer.value()) : nullptr;
            if (self && reply != nullptr)
                self->claim.on_owner_reported(reply->owner);
        });
}

void node::implementation::resign_when_isolated()
{
    const boot_time answered = parts.loop.clock().now() - store.silence();
    if (active_owner && store.is_failing() &&
        active_owner->store_answered_other_instance(answered + store_cut_off_limit))
    {
        peers = active_owner->agents();
        owner_accepts_reports = false;
        active_owner->resign();
        return claim.resign(store_cut_off_pause,
                            "the store answers other instances but not this one");
    }
    if (!claim.is_owner() || !last_peer_contact ||
        parts.loop.clock().now() - *last_peer_contact < isolation_limit)
        return;
    last_peer_contact.reset();
    claim.resign(resignation_pause, "no message from another instance");
}

void node::implementation::hand_over_to_larger_host()
{
    const boot_time now = parts.loop.clock().now();
    if (!active_owner || leaving || now < hand_over_not_before ||
        store.silence() > max_store_silence)
        return;
    const std::uint32_t largest_share = active_owner->largest_processor_share();
    if (largest_share < hand_over_share_ratio * parts.share)
        return;
    hand_over_not_before = now + hand_over_interval;
    parts.log.info("node", "cell handed over",
                   {{"share", std::uint64_t{parts.share}},
                    {"largest", std::uint64_t{largest_share}}});
    active_owner->hand_over(
        hand_over_wait,
        [this]
        {
            // Destroys the owner, so it must not run inside one of its calls.
            parts.loop.post(
                [weak = weak_from_this()]
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (self)
                        self->claim.resign(
                            resignation_pause,
                            "a host with a larger processor share is running");
                });
        });
}

} // namespace hawthornbeam::cell
