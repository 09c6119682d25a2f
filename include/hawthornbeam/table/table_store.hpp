/// \file
/// Reads, watches and edits the operators' table in the key-value service.
#ifndef HAWTHORNBEAM_TABLE_TABLE_STORE_HPP
#define HAWTHORNBEAM_TABLE_TABLE_STORE_HPP

#include "hawthornbeam/platform/kv_service.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"
#include "hawthornbeam/support/random_source.hpp"
#include "hawthornbeam/table/table.hpp"

#include <functional>
#include <memory>

namespace hawthornbeam
{

/// Result of an edit of the table.
struct edit_outcome
{
    enum class kind
    {
        accepted,
        stale,       ///< The If-Match version is not the current one. `current` is set.
        faulty,      ///< The rows have findings. Nothing was written.
        unavailable, ///< The edit could not be completed and was certainly not written.
        unknown, ///< The edit may have been written. `message` contains its change id.
    };
    kind what = kind::unavailable;
    /// The current table after the edit, or after the concurrent edit that won.
    operators_table current;
    findings faults;
    std::string message;
};

/// Stores the newest version of the table that an instance has received. Only newer
/// versions are installed, so that a stale response never reverts weights and limits to
/// older values.
class table_store
{
public:
    struct options
    {
        /// Must be chosen at random at each process start, because change ids contain it.
        std::uint64_t seed = 1;
        instance_id self;
        duration poll_period = std::chrono::minutes(1);
        duration watch_wait = std::chrono::seconds(30);
        std::uint64_t history_length = 50;
        /// How long an edit is retried while the service is unavailable.
        duration edit_limit = std::chrono::seconds(5);
        duration min_back_off = std::chrono::milliseconds(200);
        duration max_back_off = std::chrono::minutes(1);
    };

    table_store(kv_service& kv, event_loop& loop, const logger& log, options settings);
    ~table_store();

    /// Reads the table immediately and then once per `poll_period`.
    void start();
    /// Enables or disables the long-polling watch. Only a few instances of a failure
    /// domain watch the table.
    void set_watching(bool watching);
    /// Installs a table received from a peer if it is newer than the current one. Returns
    /// true if it was installed.
    bool install(const operators_table& table);
    /// Replaces all rows if \p if_match is the current version. If the result of a write
    /// is unknown, the key is read back and its change id is compared. The write is
    /// repeated with the same change id until its result is known or `edit_limit` has
    /// passed. \p done is called once, with the final outcome.
    void replace(std::vector<table_row> rows, table_version if_match, std::string author,
                 std::function<void(edit_outcome)> done);
    /// Reads the last edits, newest first and at most \p max_entries of them. Each edit
    /// takes one read from the service.
    void history(std::size_t max_entries,
                 std::function<void(result<std::vector<operators_table>>)> done);

    const operators_table& current() const;
    /// Adds a handler that is called after each installation of a newer table.
    void on_installed(std::function<void(const operators_table&)> handler);
    /// Time of the last response from the key-value service, or `boot_time::min()` if
    /// there was none.
    boot_time last_answer() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
