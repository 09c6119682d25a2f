/// \file
/// The list and watch loop of a prefix follower.
#include "hawthornbeam/cell/prefix_follower.hpp"

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
    void handle_listing(const result<store_listing>& answer);
    void watch();
    void schedule_watch(duration pause);
    void handle_changes(const result<store_changes>& answer);

    event_loop& loop;
    cell_store& store;
    std::string prefix;
    times intervals;
    events handlers;
    kv_revision position; ///< Revision after which the next watch continues.
    timer_handle next_call;
};

void prefix_follower::implementation::list()
{
    store.list(prefix,
               [weak = weak_from_this()](const result<store_listing>& answer)
               {
                   const std::shared_ptr<implementation> self = weak.lock();
                   if (self)
                       self->handle_listing(answer);
               });
}

void prefix_follower::implementation::handle_listing(const result<store_listing>& answer)
{
    if (!answer)
    {
        next_call = loop.after(retry_delay, [this] { list(); });
        return;
    }
    position = answer.value().at;
    handlers.listed(answer.value());
    schedule_watch(intervals.pause);
}

void prefix_follower::implementation::watch()
{
    store.watch(prefix, position, watch_times{intervals.wait},
                [weak = weak_from_this()](const result<store_changes>& answer)
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (self)
                        self->handle_changes(answer);
                });
}

void prefix_follower::implementation::schedule_watch(duration pause)
{
    if (pause <= duration::zero())
        return watch();
    next_call = loop.after(pause, [this] { watch(); });
}

void prefix_follower::implementation::handle_changes(const result<store_changes>& answer)
{
    if (!answer)
        return schedule_watch(retry_delay);
    if (answer.value().history_lost)
        return list();
    // The store may end a waiting watch early and omit changes that occurred meanwhile,
    // so an answer without changes does not advance the position.
    if (!answer.value().events.empty())
        position = std::max(position, answer.value().at);
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

} // namespace hawthornbeam::cell
