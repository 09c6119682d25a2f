/// \file
/// The context shared by all modules of an instance.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_CONTEXT_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_CONTEXT_HPP

#include "hawthornbeam/instance/instance.hpp"
#include "hawthornbeam/support/random_source.hpp"

namespace hawthornbeam
{

/// Services, options and random source of an instance.
struct context
{
    instance_parts parts;
    instance_options options;
    random_source random;

    /// Callbacks hold a weak pointer to this object, which expires with the instance.
    std::shared_ptr<int> alive = std::make_shared<int>(0);

    boot_time now() const { return parts.loop.clock().now(); }

    /// Wraps a callback so that calls after the destruction of the instance do nothing.
    template <class Callback>
    auto guarded(Callback callback) const
    {
        return [weak = std::weak_ptr<int>(alive),
                callback = std::move(callback)](auto&&... arguments) mutable
        {
            if (weak.lock())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }
};

} // namespace hawthornbeam

#endif
