/// \file
/// Keeps a cell_store in memory on a given event loop, and simulates failures of the real
/// store.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_MEMORY_STORE_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_MEMORY_STORE_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"

#include <map>
#include <memory>

namespace hawthornbeam::cell
{

/// Condition of the store for one client.
enum class store_condition
{
    well,            ///< Serves all calls.
    refusing,        ///< Rejects calls without executing them.
    cutting_watches, ///< Ends waiting watches without the changes made meanwhile.
    deaf_watches,    ///< Answers every watch without its changes.
    delaying_writes, ///< Executes one in three writes seconds later, without an answer.
    losing_answers   ///< Executes calls, but their answers are lost.
};

/// State of the store that all of its clients share.
struct memory_store_state
{
    explicit memory_store_state(event_loop& given) : loop(given) {}

    /// Ends leases whose time is over, and removes their keys.
    void expire();
    void put(const std::string& key, std::string value, lease_id lease);
    void remove(const std::string& key);
    /// Makes changes that are older than the retention time unavailable to watches.
    void drop_old_history();
    /// Makes all changes so far unavailable, so that watches from an earlier revision
    /// have to list again.
    void forget_history() { compacted_revision = revision; }

    event_loop& loop;
    std::map<std::string, store_item> items;
    std::map<std::string, lease_id> key_leases;
    std::map<lease_id, std::pair<boot_time, duration>> leases;
    std::vector<store_event> history;
    std::vector<boot_time> change_times; ///< Time of each change in `history`.
    std::size_t expired_changes = 0; ///< Number of first changes past the retention time.
    std::uint64_t revision = 1;
    /// Changes up to this revision are unavailable.
    std::uint64_t compacted_revision = 0;
    /// Maximum number of items in a page of a listing.
    std::size_t page_items = 500;
    std::size_t lists = 0; ///< Number of listings so far.
    std::uint64_t last_lease = 0;
    std::size_t commits = 0; ///< Number of transactions so far, with rejected ones.
    /// Transactions that will be executed late, whatever becomes of their clients.
    std::map<std::uint64_t, timer_handle> late_commits;
    std::uint64_t last_late_commit = 0;
};

/// One client's connection to the store.
class memory_store final : public cell_store
{
public:
    explicit memory_store(memory_store_state& state) : memory_store(state, state.loop) {}
    /// Delivers answers on \p instance_loop, which may be paused.
    memory_store(memory_store_state& state, event_loop& instance_loop)
        : state_(state), loop_(instance_loop)
    {
    }

    void read(const std::string& key, callback<std::optional<store_item>> done) override;
    void list(const std::string& prefix, callback<store_listing> done) override;
    void watch(const std::string& prefix, kv_revision after, watch_times times,
               callback<store_changes> done) override;
    void commit(store_transaction change, callback<store_commit> done) override;
    void grant(duration ttl, callback<lease_id> done) override;
    void renew(lease_id lease, callback<bool> done) override;

    store_condition condition = store_condition::well;
    /// Transfer time of a page of a listing, or of as many changes, to this client.
    duration page_time = std::chrono::milliseconds(4);

private:
    /// Runs \p action after \p delay; the client owns the timer.
    void schedule(duration delay, std::function<void()> action);
    template <class T>
    /// Runs \p operation and passes its result to \p done, with the failures that
    /// `condition` selects.
    void execute(const callback<T>& done, std::function<T()> operation);
    void list_page(const std::string& prefix, const std::string& after,
                   std::shared_ptr<store_listing> listed, callback<store_listing> done);
    static store_commit apply(memory_store_state& state, const store_transaction& change);
    /// Executes the transaction seconds later.
    void commit_late(const store_transaction& change);
    void check_watch(const std::string& prefix, kv_revision after, boot_time until,
                     duration transfer_limit, bool waiting,
                     const callback<store_changes>& done);

    memory_store_state& state_;
    event_loop& loop_;
    std::map<std::uint64_t, timer_handle> timers_;
    std::uint64_t last_timer_ = 0;
};

} // namespace hawthornbeam::cell

#endif
