/// \file
/// Interface to the store that keeps what must outlast the processes.
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

/// Lease of the store; its keys are removed when it ends. Zero: none.
using lease_id = strong_number<struct lease_tag, std::uint64_t>;

/// Most expectations, puts and removals of a transaction together.
inline constexpr std::size_t max_transaction_entries = 32;

struct store_item
{
    std::string key;
    std::string value;
    kv_revision revision;
};

/// A page-wise read of all keys with a prefix; not a snapshot.
struct store_listing
{
    std::vector<store_item> items;
    kv_revision at; ///< Revision of the store before the first page was read.
};

/// A change that a watch reports.
struct store_event
{
    store_item item; ///< The value is empty when the key was removed.
    bool removed = false;
};

struct store_changes
{
    std::vector<store_event> events;
    kv_revision at;            ///< Continue the watch after it.
    bool history_lost = false; ///< The caller has to list the keys again.
};

struct store_put
{
    std::string key;
    std::string value;
    lease_id lease;
};

/// A key's expected revision; zero: the key does not exist.
struct store_expectation
{
    std::string key;
    kv_revision revision;
};

/// A change that is made as a whole or not at all.
struct store_transaction
{
    std::vector<store_expectation> expect;
    std::vector<store_put> puts;
    std::vector<std::string> removals;

    std::size_t size() const { return expect.size() + puts.size() + removals.size(); }
};

/// How long a watch may take.
struct watch_times
{
    duration wait{}; ///< For a change to come.
    /// For the answer to arrive after that. The usual one suffices for some changes; all
    /// of several seconds need more on a slow link.
    duration transfer = std::chrono::milliseconds(700);
};

/// What became of a transaction whose answer arrived.
struct store_commit
{
    bool committed = false;
    bool lease_ended = false;          ///< Not committed: a lease of a put has ended.
    kv_revision revision;              ///< Of the change.
    std::vector<store_item> conflicts; ///< Not committed: the expected keys as they are;
                                       ///< an absent key has revision zero.
};

/// A linearizable store with transactions, leases and watches. Each callback runs once on
/// the loop. A write that may have taken effect, now or seconds later, fails with
/// outcome_unknown; unavailable and limit_exceeded mean that nothing was done.
class cell_store
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    virtual ~cell_store() = default;

    virtual void read(const std::string& key,
                      callback<std::optional<store_item>> done) = 0;
    virtual void list(const std::string& prefix, callback<store_listing> done) = 0;
    /// Waits for changes of keys with \p prefix after \p after.
    virtual void watch(const std::string& prefix, kv_revision after, watch_times times,
                       callback<store_changes> done) = 0;
    virtual void commit(store_transaction change, callback<store_commit> done) = 0;
    virtual void grant(duration ttl, callback<lease_id> done) = 0;
    /// False when the lease has ended.
    virtual void renew(lease_id lease, callback<bool> done) = 0;
};

} // namespace hawthornbeam::cell

#endif
