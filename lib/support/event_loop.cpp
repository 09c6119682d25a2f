#include "hawthornbeam/support/event_loop.hpp"

#include <algorithm>
#include <cstdint>
#include <glib.h>
#include <map>
#include <utility>

namespace hawthornbeam
{

namespace
{

using action = std::function<void()>;

struct glib_timer
{
    action run;
    bool repeats = false;
    guint source_id = 0;
};

gboolean fire_timer(gpointer data)
{
    // This reference keeps the timer alive when its action destroys the handle.
    const std::shared_ptr<glib_timer> timer =
        *static_cast<std::shared_ptr<glib_timer>*>(data);
    if (!timer->repeats)
        timer->source_id = 0;
    timer->run();
    return timer->repeats && timer->source_id != 0 ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void delete_timer(gpointer data)
{
    delete static_cast<std::shared_ptr<glib_timer>*>(data);
}

gboolean run_posted(gpointer data)
{
    (*static_cast<action*>(data))();
    return G_SOURCE_REMOVE;
}

void delete_posted(gpointer data)
{
    delete static_cast<action*>(data);
}

guint to_milliseconds(duration delay)
{
    const std::int64_t rounded_up =
        std::chrono::ceil<std::chrono::milliseconds>(delay).count();
    return static_cast<guint>(rounded_up < 0 ? 0 : rounded_up);
}

timer_handle start_glib_timer(duration delay, action run, bool repeats)
{
    const std::shared_ptr<glib_timer> timer = std::make_shared<glib_timer>();
    timer->run = std::move(run);
    timer->repeats = repeats;
    timer->source_id =
        g_timeout_add_full(G_PRIORITY_DEFAULT, to_milliseconds(delay), fire_timer,
                           new std::shared_ptr<glib_timer>(timer), delete_timer);
    return timer_handle(
        [timer]
        {
            const guint source_id = std::exchange(timer->source_id, 0);
            if (source_id != 0)
                g_source_remove(source_id);
        });
}

} // namespace

class glib_event_loop::implementation
{
public:
    system_clock_source clock;
    GMainLoop* loop = g_main_loop_new(nullptr, FALSE);
};

glib_event_loop::glib_event_loop() : implementation_(std::make_unique<implementation>())
{
}

glib_event_loop::~glib_event_loop()
{
    g_main_loop_unref(implementation_->loop);
}

const clock_source& glib_event_loop::clock() const
{
    return implementation_->clock;
}

timer_handle glib_event_loop::after(duration delay, action run)
{
    return start_glib_timer(delay, std::move(run), false);
}

timer_handle glib_event_loop::every(duration period, action run)
{
    return start_glib_timer(period, std::move(run), true);
}

void glib_event_loop::post(action run)
{
    g_idle_add_full(G_PRIORITY_DEFAULT, run_posted, new action(std::move(run)),
                    delete_posted);
}

void glib_event_loop::run()
{
    g_main_loop_run(implementation_->loop);
}

void glib_event_loop::quit()
{
    g_main_loop_quit(implementation_->loop);
}

class manual_event_loop::implementation
{
public:
    using key = std::pair<boot_time, std::uint64_t>;

    key schedule(duration delay, action run)
    {
        const key at{clock.now() + std::max(delay, duration::zero()), next_sequence++};
        pending.emplace(at, std::move(run));
        return at;
    }
    void run_until(boot_time end)
    {
        while (!pending.empty() && pending.begin()->first.first <= end)
        {
            std::map<key, action>::node_type due = pending.extract(pending.begin());
            if (due.key().first > clock.now())
                clock.set(due.key().first);
            due.mapped()();
        }
        if (clock.now() < end)
            clock.set(end);
    }

    manual_clock clock;
    std::uint64_t next_sequence = 0;
    std::map<key, action> pending;
};

manual_event_loop::manual_event_loop()
    : implementation_(std::make_unique<implementation>())
{
}

manual_event_loop::~manual_event_loop() = default;

const clock_source& manual_event_loop::clock() const
{
    return implementation_->clock;
}

timer_handle manual_event_loop::after(duration delay, action run)
{
    const implementation::key at = implementation_->schedule(delay, std::move(run));
    return timer_handle([this, at] { implementation_->pending.erase(at); });
}

timer_handle manual_event_loop::every(duration period, action run)
{
    struct repeating_timer
    {
        timer_handle current;
        action run;
        bool cancelled = false;
    };
    const std::shared_ptr<repeating_timer> timer = std::make_shared<repeating_timer>();
    timer->run = std::move(run);
    const std::shared_ptr<action> fire = std::make_shared<action>();
    const std::weak_ptr<action> weak_fire = fire;
    *fire = [this, period, timer, weak_fire]
    {
        const std::shared_ptr<action> again = weak_fire.lock();
        if (!again || timer->cancelled)
            return;
        timer->current = after(period, [again] { (*again)(); });
        timer->run();
    };
    timer->current = after(period, [fire] { (*fire)(); });
    return timer_handle(
        [timer]
        {
            timer->cancelled = true;
            timer->current.reset();
        });
}

void manual_event_loop::post(action run)
{
    implementation_->schedule(duration::zero(), std::move(run));
}

void manual_event_loop::advance(duration step)
{
    implementation_->run_until(implementation_->clock.now() + step);
}

void manual_event_loop::skip(duration step)
{
    implementation_->clock.advance(step);
}

void manual_event_loop::run_ready()
{
    implementation_->run_until(implementation_->clock.now());
}

} // namespace hawthornbeam
