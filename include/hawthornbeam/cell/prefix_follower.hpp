/// \file
/// Reports all changes of the store's keys that begin with a prefix.
#ifndef HAWTHORNBEAM_CELL_PREFIX_FOLLOWER_HPP
#define HAWTHORNBEAM_CELL_PREFIX_FOLLOWER_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Lists all keys with a prefix once and then watches for changes, which it reports in
/// order. Lists the keys again only when the store has discarded changes that it still
/// needs. A watch that the store ends early loses no change, since the position advances
/// only with changes that arrived.
class prefix_follower
{
public:
    struct times
    {
        /// Time for which the store holds a watch open without a change.
        duration wait = std::chrono::milliseconds(1000);
        /// Time from an answer to the next watch.
        duration pause{};
    };
    struct events
    {
        /// Called with all keys, at the start and after changes were lost.
        std::function<void(const store_listing&)> listed;
        /// Called with the changes since the last answer; there may be none.
        std::function<void(const std::vector<store_event>&)> changed;
    };

    prefix_follower(event_loop& loop, cell_store& store, std::string prefix,
                    const times& intervals, events handlers);
    ~prefix_follower();

    void start();
    /// Skips changes up to \p revision, which the caller already knows.
    void advance_to(kv_revision revision);
    /// All changes that the store had accepted by this time have been reported. Zero
    /// before the first listing.
    boot_time reported_until() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
