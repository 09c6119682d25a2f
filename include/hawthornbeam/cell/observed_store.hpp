/// \file
/// A store wrapper that detects when the store stops answering.
#ifndef HAWTHORNBEAM_CELL_OBSERVED_STORE_HPP
#define HAWTHORNBEAM_CELL_OBSERVED_STORE_HPP

#include "hawthornbeam/cell/store.hpp"
#include "hawthornbeam/support/event_loop.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Forwards calls to a store and records answers and failures. A failed call does not
/// count against the store when a later call was answered.
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

    /// Time since the last answer; without one, since construction.
    duration silence() const;
    /// True when several calls in a row failed and none was answered for some time: the
    /// store is unreachable or does not serve this host.
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
