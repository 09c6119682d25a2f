/// \file
/// Calls to an in-process fake with fault injection.
#ifndef HAWTHORNBEAM_TEST_STANDINS_FAULTY_CALLS_HPP
#define HAWTHORNBEAM_TEST_STANDINS_FAULTY_CALLS_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>
#include <memory>
#include <set>

namespace hawthornbeam::standins
{

/// Faults injected into calls to one external system.
struct fault_settings
{
    bool unreachable = false; ///< Calls fail at once and are not applied.
    bool silent = false;      ///< Calls are not applied, and no call is answered.
    duration delay{};         ///< Delay before a call is applied.
    int lose_answers = 0;     ///< Number of next writes applied but not answered.
};

/// Runs calls on an event loop with the guarantees of a network client: a callback runs
/// exactly once, never inside the call itself, and at the latest after a timeout. The
/// destructor drops open calls without calling back.
class faulty_calls
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    explicit faulty_calls(event_loop& loop) : loop_(loop) {}
    faulty_calls(const faulty_calls&) = delete;
    faulty_calls& operator=(const faulty_calls&) = delete;
    ~faulty_calls()
    {
        for (const std::shared_ptr<open_call>& open : open_)
        {
            open->timeout.reset();
            open->start.reset();
        }
    }

    /// Runs \p apply, which passes its result to the callback it receives. An unanswered
    /// call fails as outcome_unknown if \p write is set, otherwise as unavailable.
    /// Changes of \p faults also affect open calls, which keep the settings alive.
    template <class T>
    void call(const std::shared_ptr<fault_settings>& faults, bool write, duration timeout,
              std::function<void(callback<T>)> apply, callback<T> done)
    {
        const std::shared_ptr<open_call> open = std::make_shared<open_call>();
        open_.insert(open);
        const callback<T> finish = [this, open, done = std::move(done)](result<T> answer)
        {
            if (end(open))
                done(std::move(answer));
        };
        open->timeout =
            loop_.after(timeout,
                        [finish, write]
                        {
                            finish(make_error(write ? error_code::outcome_unknown
                                                    : error_code::unavailable,
                                              "no answer in time"));
                        });
        if (faults->silent)
        {
            open->started = true;
            return;
        }
        if (faults->unreachable)
        {
            open->started = true;
            open->start = loop_.after(
                duration::zero(), [finish]
                { finish(make_error(error_code::unavailable, "connection refused")); });
            return;
        }
        open->start =
            loop_.after(faults->delay,
                        [this, open, faults, write, apply = std::move(apply), finish]
                        {
                            mark_started(open);
                            const bool lost = write && faults->lose_answers > 0;
                            if (lost)
                                --faults->lose_answers;
                            apply(
                                [faults, lost, finish](result<T> answer)
                                {
                                    if (!lost && !faults->silent)
                                        finish(std::move(answer));
                                });
                        });
    }

private:
    /// Stays in open_ until it has been both applied and completed, because a slow call
    /// is applied even after it timed out at the caller.
    struct open_call
    {
        timer_handle timeout;
        timer_handle start;
        bool started = false;
        bool ended = false;
    };

    /// Marks the call as completed. Returns false if it already was.
    bool end(const std::shared_ptr<open_call>& open)
    {
        if (std::exchange(open->ended, true))
            return false;
        open->timeout.reset();
        if (open->started)
            open_.erase(open);
        return true;
    }
    void mark_started(const std::shared_ptr<open_call>& open)
    {
        open->started = true;
        if (open->ended)
            open_.erase(open);
    }

    event_loop& loop_;
    std::set<std::shared_ptr<open_call>> open_;
};

} // namespace hawthornbeam::standins

#endif
