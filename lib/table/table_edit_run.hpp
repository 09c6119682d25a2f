/// \file
/// One edit of the operators' table, from its first read to its final outcome.
#ifndef HAWTHORNBEAM_LIB_TABLE_TABLE_EDIT_RUN_HPP
#define HAWTHORNBEAM_LIB_TABLE_TABLE_EDIT_RUN_HPP

#include "hawthornbeam/table/table_store.hpp"

#include <string>

namespace hawthornbeam
{

/// Key of the operators' table.
inline const std::string table_key = "table";
/// Key of the history entry of \p version.
std::string history_key(table_version version);

/// A table as it is stored, with its revision; version and revision are zero when the
/// key is absent.
struct stored_table
{
    operators_table table;
    kv_revision revision;
    std::string json;
};
/// Fails with invalid_input, naming the key, when the value cannot be read.
result<stored_table> decode_stored_table(const std::optional<kv_entry>& entry);

/// What an edit needs of its store.
struct edit_context
{
    kv_service& kv;
    event_loop& loop;
    const logger& log;
    table_store::options settings;
    random_source random;
    /// Called for each table read from the service.
    std::function<void(const operators_table&)> seen;
    /// Called with the success of each call.
    std::function<void(bool)> answered;
    /// Versions up to this one have their history entry.
    table_version history_written;
};

/// Runs an edit. Keeps itself alive until \p done has been called.
void run_edit(const std::shared_ptr<edit_context>& context, operators_table wanted,
              table_version if_match, std::function<void(edit_outcome)> done);

} // namespace hawthornbeam

#endif
