/// \file
/// Runs asynchronous calls of the bindings to completion on a GLib event loop.
#ifndef HAWTHORNBEAM_UNITTESTS_PLATFORM_LOOPBACK_HPP
#define HAWTHORNBEAM_UNITTESTS_PLATFORM_LOOPBACK_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>
#include <optional>

namespace hawthornbeam
{

/// Event loop and logger of a test.
class loopback
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    /// Starts a call and runs the loop until its callback has run.
    template <class T>
    result<T> wait(const std::function<void(callback<T>)>& start)
    {
        std::optional<result<T>> outcome;
        start(
            [&](result<T> received)
            {
                outcome.emplace(std::move(received));
                loop.quit();
            });
        loop.run();
        return std::move(*outcome);
    }

    glib_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
};

/// Returns the error code of \p outcome, or nullopt on success.
template <class T>
std::optional<error_code> code_of(const result<T>& outcome)
{
    if (outcome)
        return std::nullopt;
    return outcome.error().code;
}

} // namespace hawthornbeam

#endif
