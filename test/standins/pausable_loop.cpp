#include "test/standins/pausable_loop.hpp"

#include <utility>

namespace hawthornbeam::standins
{

pausable_loop::pausable_loop(event_loop& base)
    : base_(base), state_(std::make_shared<state>())
{
}

void pausable_loop::state::run(const std::function<void()>& action)
{
    if (dead)
        return;
    if (paused)
        due.push_back(action);
    else
        action();
}

timer_handle pausable_loop::after(duration delay, std::function<void()> action)
{
    // Resetting the handle must cancel the action even if the timer has expired and
    // the action is queued.
    const std::shared_ptr<bool> live = std::make_shared<bool>(true);
    const std::shared_ptr<timer_handle> inner = std::make_shared<timer_handle>(
        base_.after(delay,
                    [state = state_, live, action = std::move(action)]
                    {
                        state->run(
                            [live, action]
                            {
                                if (*live)
                                    action();
                            });
                    }));
    return timer_handle(
        [live, inner]
        {
            *live = false;
            inner->reset();
        });
}

timer_handle pausable_loop::every(duration period, std::function<void()> action)
{
    const std::shared_ptr<bool> live = std::make_shared<bool>(true);
    const std::shared_ptr<bool> queued = std::make_shared<bool>(false);
    const std::shared_ptr<timer_handle> inner = std::make_shared<timer_handle>(
        base_.every(period,
                    [state = state_, live, queued, action = std::move(action)]
                    {
                        // At most one expiry is queued; further ones are skipped.
                        if (std::exchange(*queued, true))
                            return;
                        state->run(
                            [live, queued, action]
                            {
                                *queued = false;
                                if (*live)
                                    action();
                            });
                    }));
    return timer_handle(
        [live, inner]
        {
            *live = false;
            inner->reset();
        });
}

void pausable_loop::post(std::function<void()> action)
{
    base_.post([state = state_, action = std::move(action)] { state->run(action); });
}

void pausable_loop::deliver(const std::function<void()>& action)
{
    state_->run(action);
}

void pausable_loop::pause()
{
    state_->paused = true;
}

void pausable_loop::resume()
{
    state_->paused = false;
    while (!state_->due.empty() && !state_->paused && !state_->dead)
    {
        const std::function<void()> action = std::move(state_->due.front());
        state_->due.pop_front();
        action();
    }
}

void pausable_loop::kill()
{
    state_->dead = true;
    state_->due.clear();
}

bool pausable_loop::is_paused() const
{
    return state_->paused;
}

bool pausable_loop::is_dead() const
{
    return state_->dead;
}

std::size_t pausable_loop::waiting() const
{
    return state_->due.size();
}

} // namespace hawthornbeam::standins
