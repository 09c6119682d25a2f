/// \file
/// A worker stand-in on an event loop: timers and waiting event calls.
#ifndef HAWTHORNBEAM_TEST_STANDINS_HOSTED_WORKER_HPP
#define HAWTHORNBEAM_TEST_STANDINS_HOSTED_WORKER_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "test/standins/worker_state.hpp"

#include <list>

namespace hawthornbeam::standins
{

/// Ends tasks on time and answers waiting event calls.
class hosted_worker
{
public:
    using events_callback = std::function<void(result<worker_events>)>;

    hosted_worker(event_loop& loop, worker_options options);

    /// Renews the lease, then answers when a task has ended after \p after, when the
    /// lease is found ended or when \p wait has passed. \p done may run inside the call.
    void events(generation held, std::uint64_t after, duration wait,
                events_callback done);
    /// The state up to now. Call changed() after any change to it.
    worker_state& state();
    const worker_state& state() const { return state_; }
    /// Sets the timer for the next end of a task and answers waiting calls.
    void changed();

private:
    struct waiting_call
    {
        generation held;
        std::uint64_t after = 0;
        events_callback done;
        timer_handle timeout;
    };

    event_loop& loop_;
    worker_state state_;
    std::list<waiting_call> waiting_;
    timer_handle next_end_;
};

} // namespace hawthornbeam::standins

#endif
