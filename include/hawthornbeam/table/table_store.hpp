/// \file
/// The operators' table in the key-value service: reading, watching and editing.
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

/// What an edit led to.
struct edit_outcome
{
    enum class kind
    {
        accepted,
        stale,       ///< If-Match does not name the current version; `current` is set.
        faulty,      ///< The rows have findings; nothing was written.
        unavailable, ///< Known not to be written.
        unknown, ///< May have been written; `message` names the change id to look for.
    };
    kind what = kind::unavailable;
    operators_table current; ///< The table in force after the edit or race.
    findings faults;
    std::string message;
};

/// Holds the newest table an instance knows. Installs only newer versions, so a stale
/// answer never brings an old split back.
class table_store
{
public:
    struct options
    {
        /// Random for each start of a process, as change ids contain it.
        std::uint64_t seed = 1;
        instance_id self;
        duration poll_period = std::chrono::minutes(1);
        duration watch_wait = std::chrono::seconds(30);
        std::uint64_t history_length = 50;
        /// An edit keeps trying this long while the service is away.
        duration edit_limit = std::chrono::seconds(5);
        duration min_back_off = std::chrono::milliseconds(200);
        duration max_back_off = std::chrono::minutes(1);
    };

    table_store(kv_service& kv, event_loop& loop, const logger& log, options settings);
    ~table_store();

    /// Reads the table once and polls slowly from then on.
    void start();
    /// Turns the waiting watch on or off; few instances of a failure domain watch.
    void set_watching(bool watching);
    /// Installs a table received from a peer when it is newer; true when installed.
    bool install(const operators_table& table);
    /// Replaces all rows when \p if_match is the current version. The outcome is final:
    /// after an unknown outcome the key is read back and the change id compared, and the
    /// write is repeated with the same change id until it is resolved or the limit ends.
    void replace(std::vector<table_row> rows, table_version if_match, std::string author,
                 std::function<void(edit_outcome)> done);
    /// The last edits, newest first, at most \p most; one read for each.
    void history(std::size_t most,
                 std::function<void(result<std::vector<operators_table>>)> done);

    const operators_table& current() const;
    void on_installed(std::function<void(const operators_table&)> handler);
    /// When the service last answered; min() when it never has.
    boot_time last_answer() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
