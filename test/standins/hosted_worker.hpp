/// \file
/// A worker stand-in on an event loop, with its timers and pending event calls.
#ifndef HAWTHORNBEAM_TEST_STANDINS_HOSTED_WORKER_HPP
#define HAWTHORNBEAM_TEST_STANDINS_HOSTED_WORKER_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "test/standins/worker_state.hpp"

#include <list>

namespace hawthornbeam::standins
{

/// Drives a worker_state: ends tasks on time and answers pending event calls.
class hosted_worker
{
public:
    using events_callback = std::function<void(result<worker_events>)>;

    hosted_worker(event_loop& loop, worker_options options);

    /// Long poll for task events. Renews the lease, then answers as soon as a task has
    /// ended with an event number above \p after, the lease has ended or \p wait has
    /// passed. \p done may run inside the call.
    void events(generation held, std::uint64_t after, duration wait,
                events_callback done);
    /// Returns the state, advanced to the current time. After modifying it, call
    /// changed().
    worker_state& state();
    const worker_state& state() const { return state_; }
    /// Resets the timer for the next task end and answers the event calls that are ready.
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
