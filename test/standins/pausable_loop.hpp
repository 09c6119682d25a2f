/// \file
/// Event loop of one instance that can be paused or killed independently of others.
#ifndef HAWTHORNBEAM_TEST_STANDINS_PAUSABLE_LOOP_HPP
#define HAWTHORNBEAM_TEST_STANDINS_PAUSABLE_LOOP_HPP

#include "hawthornbeam/support/event_loop.hpp"

#include <deque>

namespace hawthornbeam::standins
{

/// Forwards timers to a shared loop. While paused, expired timers and posted actions are
/// queued, as in a stopped process, and the clock continues. After kill(), no action
/// runs.
class pausable_loop final : public event_loop
{
public:
    explicit pausable_loop(event_loop& base);

    const clock_source& clock() const override { return base_.clock(); }
    [[nodiscard]] timer_handle after(duration delay,
                                     std::function<void()> action) override;
    [[nodiscard]] timer_handle every(duration period,
                                     std::function<void()> action) override;
    void post(std::function<void()> action) override;

    /// Runs \p action now or, while paused, at resume().
    void deliver(const std::function<void()>& action);
    void pause();
    /// Runs the queued actions in the order in which they became due.
    void resume();
    void kill();
    bool is_paused() const;
    bool is_dead() const;
    /// Number of actions queued until resume().
    std::size_t waiting() const;

private:
    struct state
    {
        bool paused = false;
        bool dead = false;
        std::deque<std::function<void()>> due;

        void run(const std::function<void()>& action);
    };

    event_loop& base_;
    std::shared_ptr<state> state_;
};

} // namespace hawthornbeam::standins

#endif
