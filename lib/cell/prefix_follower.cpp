/// \file
/// The list and watch loop of a prefix follower.
#include "hawthornbeam/cell/prefix_follower.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Delay after a failed call; short, since the store often answers again within a second.
constexpr duration retry_delay = std::chrono::milliseconds(150);

} // namespace

class prefix_follower::implementation
    : public std::enable_shared_from_this<implementation>
{
public:
    implementation(event_loop& given_loop, cell_store& given_store,
                   std::string given_prefix, const times& given_intervals,
                   events given_handlers)
        : loop(given_loop), store(given_store), prefix(std::move(given_prefix)),
          intervals(given_intervals), handlers(std::move(given_handlers))
    {
    }

    void list();
    void handle_listing(const result<store_listing>& answer, boot_time sent);
    void watch();
    void schedule_watch(duration pause);
    void handle_changes(const result<store_changes>& answer, boot_time sent);

    event_loop& loop;
    cell_store& store;
    std::string prefix;
    times intervals;
    events handlers;
    kv_revision position; ///< Revision after which the next watch continues.
    boot_time reported_until{};
    timer_handle next_call;
};

void prefix_follower::implementation::list()
{
    store.list(prefix,
               [weak = weak_from_this(),
                sent = loop.clock().now()](const result<store_listing>& answer)
               {
                   const std::shared_ptr<implementation> self = weak.lock();
                   if (self)
                       self->handle_listing(answer, sent);
               });
}

void prefix_follower::implementation::handle_listing(const result<store_listing>& answer,
                                                     boot_time sent)
{
    if (!answer)
    {
        next_call = loop.after(retry_delay, [this] { list(); });
        return;
    }
    position = answer.value().at;
    reported_until = sent;
    handlers.listed(answer.value());
    schedule_watch(intervals.pause);
}

void prefix_follower::implementation::watch()
{
    store.watch(prefix, position, watch_times{intervals.wait},
                [weak = weak_from_this(),
                 sent = loop.clock().now()](const result<store_changes>& answer)
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (self)
                        self->handle_changes(answer, sent);
                });
}

void prefix_follower::implementation::schedule_watch(duration pause)
{
    if (pause <= duration::zero())
        return watch();
    next_call = loop.after(pause, [this] { watch(); });
}

void prefix_follower::implementation::handle_changes(const result<store_changes>& answer,
                                                     boot_time sent)
{
    if (!answer)
        return schedule_watch(retry_delay);
    if (answer.value().history_lost)
        return list();
    // The store may end a waiting watch early and omit changes that occurred meanwhile,
    // so an answer without changes does not advance the position.
    if (!answer.value().events.empty())
        position = std::max(position, answer.value().at);
    // A watch that has waited for its whole time without a change saw all that came
    // meanwhile.
    const boot_time waited_until = sent + intervals.wait;
    const bool has_waited =
        answer.value().events.empty() && loop.clock().now() >= waited_until;
    reported_until = has_waited ? waited_until : sent;
    handlers.changed(answer.value().events);
    schedule_watch(intervals.pause);
}

prefix_follower::prefix_follower(event_loop& loop, cell_store& store, std::string prefix,
                                 const times& intervals, events handlers)
    : implementation_(std::make_shared<implementation>(loop, store, std::move(prefix),
                                                       intervals, std::move(handlers)))
{
}

prefix_follower::~prefix_follower() = default;

void prefix_follower::start()
{
    implementation_->list();
}

void prefix_follower::advance_to(kv_revision revision)
{
    implementation_->position = std::max(implementation_->position, revision);
}

boot_time prefix_follower::reported_until() const
{
    return implementation_->reported_until;
}

} // namespace hawthornbeam::cell
