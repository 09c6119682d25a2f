/// \file
/// Follows the keys of the store that begin with a prefix.
#ifndef HAWTHORNBEAM_CELL_PREFIX_FOLLOWER_HPP
#define HAWTHORNBEAM_CELL_PREFIX_FOLLOWER_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Reads all keys with a prefix once and then each change in order. Lists the keys anew
/// only when the store has dropped the changes in between. A change is not missed when
/// the store drops a waiting watch: the position moves only with changes that arrived.
class prefix_follower
{
public:
    struct times
    {
        /// How long a watch waits for a change.
        duration wait = std::chrono::milliseconds(1000);
        /// Pause between an answer and the next watch.
        duration pause{};
    };
    struct events
    {
        /// All keys, at the start and after a gap.
        std::function<void(const store_listing&)> listed;
        /// Changes since the last answer; may be empty.
        std::function<void(const std::vector<store_event>&)> changed;
    };

    prefix_follower(event_loop& loop, cell_store& store, std::string prefix,
                    const times& waits, events handlers);
    ~prefix_follower();

    void start();
    /// Changes up to \p revision are known from elsewhere.
    void advance_to(kv_revision revision);

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
