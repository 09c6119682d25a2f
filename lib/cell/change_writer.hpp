/// \file
/// Writes the changes of an owner to the store in overlapping transactions.
#ifndef HAWTHORNBEAM_LIB_CELL_CHANGE_WRITER_HPP
#define HAWTHORNBEAM_LIB_CELL_CHANGE_WRITER_HPP

#include "hawthornbeam/cell/scheduler.hpp"
#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Changes that are written in one transaction.
struct change_batch
{
    pending_changes changes;
    std::string ends_key; ///< Key of the record of its run ends; empty without ends.
    std::vector<std::string> removals; ///< Keys to remove.
    boot_time added_at{};              ///< When its oldest change was added.
};

/// Splits changes into batches and writes several of them at the same time, so that the
/// rate of changes is not bounded by the response time of the store. Each transaction
/// expects only the claim of the owner, and a repeated one writes the same values. A
/// final state may be stored before the ends of its runs, since it replaces them. Run
/// ends may be acknowledged to the workers only in the order in which they were added.
class change_writer
{
public:
    struct events
    {
        /// A batch is stored. Batches are reported in any order.
        std::function<void(const change_batch&)> stored;
        /// All ends up to these are stored, with those of all earlier batches.
        std::function<void(const std::vector<acknowledge_command>&)> covered;
        /// The store shows a claim with a higher token. Returns whether it ends the
        /// owner, which may have made it itself.
        std::function<bool(const store_item&)> later_claim;
    };

    change_writer(event_loop& loop, cell_store& store, const logger& log,
                  fence_token token, events handlers);
    ~change_writer();

    /// Sets the token of the claim that later transactions expect.
    void set_token(fence_token token);
    void add(pending_changes changes);
    /// Removes a key with one of the next batches.
    void remove(std::string key);
    /// True if write() sends a batch now. Changes that are added later are merged.
    bool has_capacity() const;
    /// Sends batches until all changes are sent or the limit of open transactions is
    /// reached. Failed ones are repeated after a pause; until one succeeds, no others are
    /// sent.
    void write();

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
