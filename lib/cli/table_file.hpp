/// \file
/// Parser of TOML table files and the diff between two lists of rows.
#ifndef HAWTHORNBEAM_LIB_CLI_TABLE_FILE_HPP
#define HAWTHORNBEAM_LIB_CLI_TABLE_FILE_HPP

#include "hawthornbeam/support/result.hpp"

#include <nlohmann/json_fwd.hpp>

namespace hawthornbeam
{

/// Parses the rows of a table file, fills in the defaults and stores them in \p rows in
/// the JSON format of the API. Returns all errors in the file.
findings parse_table_file(std::string_view text, const std::string& file,
                          nlohmann::json& rows);

/// Returns one line for each added ("+"), deleted ("-") and changed ("~") row.
std::vector<std::string> difference(const nlohmann::json& before,
                                    const nlohmann::json& after);

} // namespace hawthornbeam

#endif
