/// \file
/// A cell_store in memory on an injected loop, with the failures of the real one.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_MEMORY_STORE_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_MEMORY_STORE_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"

#include <map>
#include <memory>

namespace hawthornbeam::cell
{

/// How the store treats calls.
enum class store_condition
{
    well,
    refusing,        ///< Answers that it has done nothing.
    cutting_watches, ///< Ends waiting watches without the changes that came meanwhile.
    deaf_watches,    ///< Answers watches without the changes that they should show.
    losing_answers   ///< Does what it is asked and does not answer.
};

/// What all clients of the store share.
struct memory_store_state
{
    explicit memory_store_state(event_loop& given) : loop(given) {}

    void expire();
    void put(const std::string& key, std::string value, lease_id lease);
    void remove(const std::string& key);
    /// Forgets changes that are older than the store keeps them.
    void drop_old_history();
    /// Drops the changes so far; watches that continue from before have to list.
    void forget_history() { forgotten = revision; }

    event_loop& loop;
    std::map<std::string, store_item> items;
    std::map<std::string, lease_id> leases_of;
    std::map<lease_id, std::pair<boot_time, duration>> leases;
    std::vector<store_event> history;
    std::vector<boot_time> changed_at; ///< Of each change of the history.
    std::size_t dropped = 0;           ///< First changes of it that were dropped.
    std::uint64_t revision = 1;
    std::uint64_t forgotten = 0; ///< Changes up to it are no longer available.
    /// Items of a page of a listing.
    std::size_t page_items = 500;
    std::size_t lists = 0;
    std::uint64_t last_lease = 0;
    std::size_t commits = 0;
};

/// The store as one client sees it.
class memory_store final : public cell_store
{
public:
    explicit memory_store(memory_store_state& state) : memory_store(state, state.loop) {}
    /// Answers arrive on \p own, which may be paused.
    memory_store(memory_store_state& state, event_loop& own) : state_(state), loop_(own)
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
    /// How long a page of a listing, or so many changes, are on their way to this client.
    duration page_time = std::chrono::milliseconds(4);

private:
    void later(duration delay, std::function<void()> action);
    template <class T>
    void answer(const callback<T>& done, std::function<T()> work);
    void list_page(const std::string& prefix, const std::string& after,
                   std::shared_ptr<store_listing> listed, callback<store_listing> done);
    store_commit apply(const store_transaction& change);
    void poll(const std::string& prefix, kv_revision after, boot_time until,
              duration transfer_limit, bool waiting, const callback<store_changes>& done);

    memory_store_state& state_;
    event_loop& loop_;
    std::map<std::uint64_t, timer_handle> timers_;
    std::uint64_t last_timer_ = 0;
};

} // namespace hawthornbeam::cell

#endif
