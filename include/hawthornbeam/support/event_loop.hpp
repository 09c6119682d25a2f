/// \file
/// Event loop of the process with timers, and a manually advanced loop for tests.
#ifndef HAWTHORNBEAM_SUPPORT_EVENT_LOOP_HPP
#define HAWTHORNBEAM_SUPPORT_EVENT_LOOP_HPP

#include "hawthornbeam/support/clock.hpp"

#include <functional>
#include <memory>

namespace hawthornbeam
{

/// Cancels a timer when destroyed or reset.
class timer_handle
{
public:
    timer_handle() = default;
    explicit timer_handle(std::function<void()> cancel) : cancel_(std::move(cancel)) {}
    timer_handle(timer_handle&& other) noexcept : cancel_(std::move(other.cancel_))
    {
        other.cancel_ = nullptr;
    }
    timer_handle& operator=(timer_handle&& other) noexcept
    {
        if (this == &other)
            return *this;
        reset();
        cancel_ = std::move(other.cancel_);
        other.cancel_ = nullptr;
        return *this;
    }
    ~timer_handle() { reset(); }

    /// Cancels the timer; has no effect after it has fired.
    void reset()
    {
        if (!cancel_)
            return;
        const std::function<void()> cancel = std::move(cancel_);
        cancel_ = nullptr;
        cancel();
    }

private:
    std::function<void()> cancel_;
};

/// Schedules callbacks, which all run on a single thread.
class event_loop
{
public:
    virtual ~event_loop() = default;

    virtual const clock_source& clock() const = 0;
    /// Calls \p action once after \p delay. Destroying the handle cancels it.
    [[nodiscard]] virtual timer_handle after(duration delay,
                                             std::function<void()> action) = 0;
    /// Calls \p action every \p period until the handle is destroyed.
    [[nodiscard]] virtual timer_handle every(duration period,
                                             std::function<void()> action) = 0;
    /// Calls \p action once as soon as the loop is idle; cannot be cancelled.
    virtual void post(std::function<void()> action) = 0;
};

/// An event loop on the default GLib main context.
class glib_event_loop final : public event_loop
{
public:
    glib_event_loop();
    ~glib_event_loop() override;

    const clock_source& clock() const override;
    [[nodiscard]] timer_handle after(duration delay,
                                     std::function<void()> action) override;
    [[nodiscard]] timer_handle every(duration period,
                                     std::function<void()> action) override;
    void post(std::function<void()> action) override;

    /// Runs until quit() is called.
    void run();
    void quit();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// An event loop for tests that runs callbacks only inside advance() and run_ready(), in
/// order of their due times. Callbacks that are due at the same time run in the order in
/// which they were scheduled.
class manual_event_loop final : public event_loop
{
public:
    manual_event_loop();
    ~manual_event_loop() override;

    const clock_source& clock() const override;
    [[nodiscard]] timer_handle after(duration delay,
                                     std::function<void()> action) override;
    [[nodiscard]] timer_handle every(duration period,
                                     std::function<void()> action) override;
    void post(std::function<void()> action) override;

    /// Advances the clock by \p step and runs each callback that becomes due.
    void advance(duration step);
    /// Advances the clock without running callbacks, as if the process had been paused.
    void skip(duration step);
    /// Runs the callbacks that are due now.
    void run_ready();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
