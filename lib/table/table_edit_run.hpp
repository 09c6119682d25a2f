/// \file
/// Edit of the operators' table in the key-value service, and the keys and values stored
/// there.
#ifndef HAWTHORNBEAM_LIB_TABLE_TABLE_EDIT_RUN_HPP
#define HAWTHORNBEAM_LIB_TABLE_TABLE_EDIT_RUN_HPP

#include "hawthornbeam/table/table_store.hpp"

#include <string>

namespace hawthornbeam
{

/// Key of the current table.
inline const std::string table_key = "table";
/// Returns the key of the history entry of \p version.
std::string history_key(table_version version);

/// A table read from the key-value service. The version and the revision are zero if the
/// key does not exist.
struct stored_table
{
    operators_table table;
    kv_revision revision;
    std::string json;
};
/// Parses the value of \p entry. Fails with invalid_input if it cannot be parsed. The
/// error message contains the key.
result<stored_table> decode_stored_table(const std::optional<kv_entry>& entry);

/// Objects and state that all edits share with their table_store.
struct edit_context
{
    kv_service& kv;
    event_loop& loop;
    const logger& log;
    table_store::options settings;
    random_source random;
    /// Called with each table that was read from or written to the service.
    std::function<void(const operators_table&)> on_table_received;
    /// Called after each read or write, with true if it succeeded or reported a conflict.
    std::function<void(bool)> on_call_finished;
    /// The newest version known to have a history entry. All older versions have had one
    /// too.
    table_version newest_history_version;
};

/// Starts an edit, which stays alive until it has called \p done.
void run_edit(const std::shared_ptr<edit_context>& context, operators_table new_table,
              table_version if_match, std::function<void(edit_outcome)> done);

} // namespace hawthornbeam

#endif
