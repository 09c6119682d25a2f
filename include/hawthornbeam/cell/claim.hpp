/// \file
/// Leader election for a cell: claims its ownership in the store and tracks the owner.
#ifndef HAWTHORNBEAM_CELL_CLAIM_HPP
#define HAWTHORNBEAM_CELL_CLAIM_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/support/random_source.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// The claim is a key with a lease. Its revision is the fencing token, so each claim has
/// a higher token than all earlier ones. While the store does not answer, the owner keeps
/// its role until it learns of another claim; what it may still do depends on the time
/// since its claim was confirmed.
class claim
{
public:
    struct events
    {
        /// This instance has become the owner, or has renewed its claim with a new token.
        /// \p continued is true if no other instance has owned the cell since its last
        /// claim, so that its state is still complete.
        std::function<void(fence_token token, bool continued)> acquired;
        /// This instance is no longer the owner: another one has claimed the cell, or the
        /// claim was removed.
        std::function<void()> lost;
        /// The known owner has changed.
        std::function<void(const std::optional<owner_identity>&)> changed;
    };

    claim(event_loop& loop, cell_store& store, random_source& random, const logger& log,
          owner_identity self, events handlers);
    ~claim();

    /// Follows the claims of all instances. This instance makes none before enable().
    void start();
    /// Allows this instance to claim the cell from now on.
    void enable();
    /// Removes the claim of this instance, if any, and does not claim again.
    void release();
    /// Removes the claim so that another instance can become the owner. If none has
    /// claimed the cell within \p pause, this instance claims it again.
    void resign(duration pause, const char* reason);
    /// Steps down at once if \p higher, received from a worker, an instance or the store,
    /// is above the token of this instance.
    void superseded(fence_token higher);
    /// Handles a message from an owner, which shows that it is alive: claims are delayed
    /// for a short time so that it can restore its own claim if that has expired.
    void on_owner_message(const owner_identity& sender);
    /// Handles an owner that another instance has reported. This host may not know it yet
    /// if the store does not answer here.
    void on_owner_reported(const owner_identity& known);
    /// Handles a planned stop of the owner: claims are not delayed for it any longer.
    void on_owner_leaving();
    /// Sets the size of this host relative to the largest one, above 0 and at most 1.
    /// Smaller hosts claim later, since they may not keep up with a cell.
    void set_relative_size(double relative_size);
    /// The owner with \p token has ended its process or resigned. Its claim is replaced
    /// before the lease expires. If the owner is still running after all, the store and
    /// the workers reject its token and it steps down.
    void on_owner_stopped(fence_token token, const char* reason);

    bool is_owner() const;
    /// When the latest call was sent whose answer showed that the claim of this instance
    /// stands. While the store does not answer, another instance may claim the cell.
    boot_time confirmed_at() const;
    fence_token token() const;
    const std::optional<owner_identity>& owner() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
