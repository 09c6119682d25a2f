#include "test/standins/hosted_worker.hpp"

namespace hawthornbeam::standins
{

hosted_worker::hosted_worker(event_loop& loop, worker_options options)
    : loop_(loop), state_(loop.clock(), std::move(options))
{
}

worker_state& hosted_worker::state()
{
    state_.advance();
    return state_;
}

void hosted_worker::events(generation held, std::uint64_t after, duration wait,
                           events_callback done)
{
    const result<lease_grant> renewed = state().renew(held);
    if (!renewed)
    {
        done(renewed.error());
        return;
    }
    if (state_.ended_after(after) || wait <= duration::zero())
    {
        done(state_.events(held, after));
        return;
    }
    const std::list<waiting_call>::iterator call =
        waiting_.insert(waiting_.end(), waiting_call{held, after, std::move(done), {}});
    call->timeout =
        loop_.after(wait,
                    [this, call]
                    {
                        std::list<waiting_call> ended;
                        ended.splice(ended.end(), waiting_, call);
                        ended.front().done(state().events(call->held, call->after));
                    });
}

void hosted_worker::changed()
{
    state_.advance();
    std::list<waiting_call> ready;
    for (std::list<waiting_call>::iterator call = waiting_.begin();
         call != waiting_.end();)
    {
        const std::list<waiting_call>::iterator current = call++;
        if (!state_.check_lease(current->held) || state_.ended_after(current->after))
            ready.splice(ready.end(), waiting_, current);
    }
    next_end_.reset();
    const std::optional<boot_time> next = state_.next_end();
    if (next)
        next_end_ = loop_.after(*next - loop_.clock().now(), [this] { changed(); });
    for (waiting_call& call : ready)
    {
        call.timeout.reset();
        call.done(state_.events(call.held, call.after));
    }
}

} // namespace hawthornbeam::standins
