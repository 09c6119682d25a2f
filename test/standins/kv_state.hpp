/// \file
/// State of the stand-in for the platform's key-value service, without transport.
#ifndef HAWTHORNBEAM_TEST_STANDINS_KV_STATE_HPP
#define HAWTHORNBEAM_TEST_STANDINS_KV_STATE_HPP

#include "hawthornbeam/platform/kv_service.hpp"

#include <map>

namespace hawthornbeam::standins
{

/// Keys with revisions. Every write and removal increments one revision counter for the
/// whole store.
class kv_state
{
public:
    std::optional<kv_entry> read(const std::string& key) const;
    std::vector<kv_entry> list(const std::string& prefix) const;
    /// Fails with conflict when the key's revision is not \p expected, and with
    /// limit_exceeded when the value is larger than 1 MiB.
    result<kv_revision> write(const std::string& key, std::string value,
                              kv_revision expected);
    result<bool> remove(const std::string& key, kv_revision expected);
    /// Returns the entries with \p prefix written after revision \p after. Sets `skipped`
    /// if \p after is newer than the store, as after a restart that lost state.
    kv_changes changes(const std::string& prefix, kv_revision after) const;
    kv_revision newest() const { return newest_; }

private:
    std::map<std::string, kv_entry> entries_;
    kv_revision newest_;
};

} // namespace hawthornbeam::standins

#endif
