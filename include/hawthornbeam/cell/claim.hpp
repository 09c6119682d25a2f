/// \file
/// Claims the ownership of a cell in the store and follows who has it.
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
/// a higher token than all earlier ones. While the store is away the owner keeps its
/// role: nobody can claim, and workers refuse lower tokens.
class claim
{
public:
    struct events
    {
        /// This instance owns the cell. \p continued: no other instance has owned it
        /// since the last time, so that what it knows is still complete.
        std::function<void(fence_token token, bool continued)> acquired;
        /// Another instance owns the cell, or the claim was released.
        std::function<void()> lost;
        /// Another owner, or none, was seen.
        std::function<void(const std::optional<owner_identity>&)> changed;
    };

    claim(event_loop& loop, cell_store& store, random_source& random, const logger& log,
          owner_identity self, events handlers);
    ~claim();

    void start();
    /// Hands the cell over and does not claim it again.
    void release();
    /// Gives the claim up for others to take; claims again when none of them has done so
    /// within \p pause.
    void resign(duration pause, const char* reason);
    /// A worker or an instance has shown a higher token: the role ends at once.
    void superseded(fence_token higher);
    /// A message of an owner arrived, so nobody needs to claim for a moment.
    void on_owner_message(const owner_identity& sender);
    /// Another instance knows this owner. The store may not have told of it, since it
    /// does not serve this host.
    void on_owner_reported(const owner_identity& known);
    /// The owner hands the cell over: nobody needs to wait for it.
    void on_owner_leaving();
    /// How large this host is beside the largest one, above 0 and at most 1. Smaller
    /// hosts claim later, since they may not keep up with a cell.
    void set_relative_size(double relative_size);
    /// The owner with \p token acts no more: its process has ended or it has resigned.
    /// Its claim is replaced without waiting for the end of its lease. When it acts after
    /// all, it learns of the higher token from the store and from workers.
    void on_owner_stopped(fence_token token, const char* reason);

    bool is_owner() const;
    fence_token token() const;
    const std::optional<owner_identity>& owner() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
