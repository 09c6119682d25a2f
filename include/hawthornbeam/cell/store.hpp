/// \file
/// Interface to the store of the state that must survive restarts of the instances.
#ifndef HAWTHORNBEAM_CELL_STORE_HPP
#define HAWTHORNBEAM_CELL_STORE_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornbeam::cell
{

/// Lease of the store; keys that were put with it are removed when it ends. Zero means no
/// lease.
using lease_id = strong_number<struct lease_tag, std::uint64_t>;

/// Limit on the sum of expectations, puts and removals of a transaction.
inline constexpr std::size_t max_transaction_entries = 32;

struct store_item
{
    std::string key;
    std::string value;
    kv_revision revision;
    lease_id lease = {}; ///< Zero if the key has none.
};

/// All keys with a prefix, read page by page and therefore not a snapshot.
struct store_listing
{
    std::vector<store_item> items;
    kv_revision at; ///< Revision of the store before the first page was read.
};

/// A change of one key, reported by a watch.
struct store_event
{
    store_item item; ///< The value is empty when the key was removed.
    bool removed = false;
};

struct store_changes
{
    std::vector<store_event> events;
    kv_revision at; ///< Revision after which the next watch continues.
    /// Changes are missing; the caller has to list the keys again.
    bool history_lost = false;
};

struct store_put
{
    std::string key;
    std::string value;
    lease_id lease;
};

/// The revision that a key must have; zero means that the key must not exist.
struct store_expectation
{
    std::string key;
    kv_revision revision;
};

/// Changes that are applied atomically, if all expectations hold.
struct store_transaction
{
    std::vector<store_expectation> expect;
    std::vector<store_put> puts;
    std::vector<std::string> removals;

    std::size_t size() const { return expect.size() + puts.size() + removals.size(); }
};

/// Time limits of a watch.
struct watch_times
{
    duration wait{}; ///< For a change to occur.
    /// For the answer to arrive after that. The default suffices for an answer with a few
    /// changes; one with all changes of several seconds needs more on a slow link.
    duration transfer = std::chrono::milliseconds(700);
};

/// Result of a transaction that the store answered.
struct store_commit
{
    bool committed = false;
    bool lease_ended = false; ///< Not committed because the lease of a put has ended.
    kv_revision revision;     ///< Revision of the change.
    /// If not committed: current state of the expected keys; an absent key has revision
    /// zero.
    std::vector<store_item> conflicts;
};

/// A linearizable store with transactions, leases and watches. Each callback runs once,
/// on the event loop. A write that may have taken effect, or may still take effect
/// seconds later, fails with outcome_unknown; unavailable and limit_exceeded mean that
/// nothing was written.
class cell_store
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    virtual ~cell_store() = default;

    virtual void read(const std::string& key,
                      callback<std::optional<store_item>> done) = 0;
    virtual void list(const std::string& prefix, callback<store_listing> done) = 0;
    /// Waits for changes of keys with \p prefix after revision \p after.
    virtual void watch(const std::string& prefix, kv_revision after, watch_times times,
                       callback<store_changes> done) = 0;
    virtual void commit(store_transaction change, callback<store_commit> done) = 0;
    virtual void grant(duration ttl, callback<lease_id> done) = 0;
    /// Extends a lease; the result is false when the lease has ended.
    virtual void renew(lease_id lease, callback<bool> done) = 0;
};

} // namespace hawthornbeam::cell

#endif
