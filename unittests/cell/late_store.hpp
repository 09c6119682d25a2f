/// \file
/// A cell_store that executes chosen transactions late, without an answer.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_LATE_STORE_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_LATE_STORE_HPP

#include "hawthornbeam/cell/store.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

/// A store that executes some transactions late: their callers get no answer.
class late_store final : public cell_store
{
public:
    explicit late_store(cell_store& store) : store_(store) {}

    void read(const std::string& key, callback<std::optional<store_item>> done) override
    {
        store_.read(key, std::move(done));
    }
    void list(const std::string& prefix, callback<store_listing> done) override
    {
        store_.list(prefix, std::move(done));
    }
    void watch(const std::string& prefix, kv_revision after, watch_times times,
               callback<store_changes> done) override
    {
        store_.watch(prefix, after, times, std::move(done));
    }
    void grant(duration ttl, callback<lease_id> done) override
    {
        store_.grant(ttl, std::move(done));
    }
    void renew(lease_id lease, callback<bool> done) override
    {
        store_.renew(lease, std::move(done));
    }
    void commit(store_transaction change, callback<store_commit> done) override
    {
        const bool is_late = std::ranges::any_of(change.puts, [this](const store_put& put)
                                                 { return put.key == late_key; });
        if (!is_late)
            return store_.commit(std::move(change), std::move(done));
        late.push_back(std::move(change));
        done(make_error(error_code::outcome_unknown, "no answer"));
    }
    /// Executes the late transactions.
    void execute_late()
    {
        for (store_transaction& change : std::exchange(late, {}))
            store_.commit(std::move(change), [](const result<store_commit>&) {});
    }

    std::string late_key; ///< Transactions that put this key are late.
    std::vector<store_transaction> late;

private:
    cell_store& store_;
};

} // namespace hawthornbeam::cell

#endif
