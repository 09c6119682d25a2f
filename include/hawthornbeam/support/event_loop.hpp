/// \file
/// Timers on the process's one loop, with a manual twin for tests.
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

    /// Cancels the timer; harmless when it has fired.
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

/// Schedules callbacks on the one thread of the process.
class event_loop
{
public:
    virtual ~event_loop() = default;

    virtual const clock_source& clock() const = 0;
    /// Calls \p action once after \p delay. Dropping the handle cancels it.
    [[nodiscard]] virtual timer_handle after(duration delay,
                                             std::function<void()> action) = 0;
    /// Calls \p action every \p period until the handle is dropped.
    [[nodiscard]] virtual timer_handle every(duration period,
                                             std::function<void()> action) = 0;
    /// Calls \p action once as soon as the loop is idle; cannot be cancelled.
    virtual void post(std::function<void()> action) = 0;
};

/// Runs on the default GLib main context.
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

/// Runs callbacks only inside advance(), in order of their due time. Callbacks that are
/// due at the same time run in the order they were scheduled.
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

    /// Runs everything that becomes due within \p step and moves the clock.
    void advance(duration step);
    /// Moves the clock without running anything, as a paused process sees it.
    void skip(duration step);
    /// Runs what is due now.
    void run_ready();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
