/// \file
/// What the modules of an instance share.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_CONTEXT_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_CONTEXT_HPP

#include "hawthornbeam/instance/instance.hpp"
#include "hawthornbeam/support/random_source.hpp"

namespace hawthornbeam
{

/// Parts, options and the random source of one instance.
struct context
{
    instance_parts parts;
    instance_options options;
    random_source random;

    /// Expires when the instance is destroyed.
    std::shared_ptr<int> life = std::make_shared<int>(0);

    boot_time now() const { return parts.loop.clock().now(); }

    /// Wraps a callback so that it does nothing once the instance is destroyed.
    template <class Callback>
    auto guarded(Callback callback) const
    {
        return [weak = std::weak_ptr<int>(life),
                callback = std::move(callback)](auto&&... arguments) mutable
        {
            if (weak.lock())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }
};

} // namespace hawthornbeam

#endif
