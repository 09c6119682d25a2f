/// \file
/// Interface to the platform's key-value service.
#ifndef HAWTHORNBEAM_PLATFORM_KV_SERVICE_HPP
#define HAWTHORNBEAM_PLATFORM_KV_SERVICE_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// A key's value and the revision of its last write.
struct kv_entry
{
    std::string key;
    std::string value; ///< At most 1 MiB.
    kv_revision revision;
};

/// Result of a watch.
struct kv_changes
{
    std::vector<kv_entry> changed; ///< Latest value of each changed key.
    kv_revision seen;              ///< Pass as `after` of the next watch.
    /// True when the service no longer has the changes since the requested revision;
    /// the caller must list the keys again.
    bool skipped = false;
};

/// Purpose of a call; traffic is counted separately for each cause.
enum class kv_cause
{
    table,
    journal,
    claim,
    recovery
};

/// A small key-value store with compare-and-swap and watches. Every call, including a
/// watch, counts against the service's rate limit. Each callback runs exactly once, on
/// the event loop. A write that may have been applied fails with
/// error_code::outcome_unknown; unavailable means that it was not applied.
class kv_service
{
public:
    template <class T>
    using callback = std::function<void(result<T>)>;

    virtual ~kv_service() = default;

    /// Reads one key; yields nullopt when the key is absent.
    virtual void read(kv_cause cause, const std::string& key,
                      callback<std::optional<kv_entry>> done) = 0;
    /// Reads all keys that begin with \p prefix, ordered by key.
    virtual void list(kv_cause cause, const std::string& prefix,
                      callback<std::vector<kv_entry>> done) = 0;
    /// Writes \p value if the key's revision is \p expected (zero if the key must be
    /// absent) and yields the new revision. Fails with conflict if the revision differs.
    virtual void write(kv_cause cause, const std::string& key, std::string value,
                       kv_revision expected, callback<kv_revision> done) = 0;
    /// Deletes the key if its revision is \p expected.
    virtual void remove(kv_cause cause, const std::string& key, kv_revision expected,
                        callback<bool> done) = 0;
    /// Waits up to \p wait for changes of keys with \p prefix after revision \p after.
    virtual void watch(kv_cause cause, const std::string& prefix, kv_revision after,
                       duration wait, callback<kv_changes> done) = 0;
};

} // namespace hawthornbeam

#endif
