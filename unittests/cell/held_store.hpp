/// \file
/// A cell_store that holds each transaction until the test decides on its outcome.
#ifndef HAWTHORNBEAM_UNITTESTS_CELL_HELD_STORE_HPP
#define HAWTHORNBEAM_UNITTESTS_CELL_HELD_STORE_HPP

#include "hawthornbeam/cell/store.hpp"

#include <vector>

namespace hawthornbeam::cell
{

/// Serves transactions only; other calls get no answer.
class held_store final : public cell_store
{
public:
    struct held_transaction
    {
        store_transaction change;
        callback<store_commit> done;
    };

    void read(const std::string&, callback<std::optional<store_item>>) override {}
    void list(const std::string&, callback<store_listing>) override {}
    void watch(const std::string&, kv_revision, watch_times,
               callback<store_changes>) override
    {
    }
    void grant(duration, callback<lease_id>) override {}
    void renew(lease_id, callback<bool>) override {}
    void commit(store_transaction change, callback<store_commit> done) override
    {
        held.push_back({std::move(change), std::move(done)});
    }

    void commit(std::size_t number)
    {
        store_commit committed;
        committed.committed = true;
        committed.revision = kv_revision(++last_revision_);
        take(number).done(committed);
    }
    void commit_first() { commit(0); }
    void commit_all()
    {
        while (!held.empty())
            commit_first();
    }
    void fail_first(error_code code) { take(0).done(make_error(code, "failed")); }
    void conflict_first(store_item current)
    {
        store_commit rejected;
        rejected.conflicts.push_back(std::move(current));
        take(0).done(rejected);
    }

    std::vector<held_transaction> held; ///< Oldest first.

private:
    held_transaction take(std::size_t number)
    {
        held_transaction taken = std::move(held.at(number));
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(number));
        return taken;
    }

    std::uint64_t last_revision_ = 100;
};

} // namespace hawthornbeam::cell

#endif
