/// \file
/// A store that notes whether it answers.
#ifndef HAWTHORNBEAM_CELL_OBSERVED_STORE_HPP
#define HAWTHORNBEAM_CELL_OBSERVED_STORE_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Passes calls on to a store and notes which are answered. Calls that failed say nothing
/// about the store when others were answered meanwhile.
class observed_store final : public cell_store
{
public:
    observed_store(event_loop& loop, cell_store& store);
    ~observed_store() override;

    void read(const std::string& key, callback<std::optional<store_item>> done) override;
    void list(const std::string& prefix, callback<store_listing> done) override;
    void watch(const std::string& prefix, kv_revision after, watch_times times,
               callback<store_changes> done) override;
    void commit(store_transaction change, callback<store_commit> done) override;
    void grant(duration ttl, callback<lease_id> done) override;
    void renew(lease_id lease, callback<bool> done) override;

    /// Time since the last answer, or since the start.
    duration silence() const;
    /// True when calls fail and none was answered for some time: the store is away, or
    /// does not serve this host.
    bool is_failing() const;

private:
    struct answer_record;
    template <class T>
    callback<T> recording(callback<T> done);

    event_loop& loop_;
    cell_store& store_;
    std::shared_ptr<answer_record> record_;
};

} // namespace hawthornbeam::cell

#endif
