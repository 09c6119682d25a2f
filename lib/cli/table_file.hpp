/// \file
/// Table files in TOML and the difference between two lists of rows.
#ifndef HAWTHORNBEAM_LIB_CLI_TABLE_FILE_HPP
#define HAWTHORNBEAM_LIB_CLI_TABLE_FILE_HPP

#include "hawthornbeam/support/result.hpp"

#include <nlohmann/json_fwd.hpp>

namespace hawthornbeam
{

/// Parses the rows of a table file and fills in the defaults; \p rows gets the form of
/// the API. Returns everything that is wrong.
findings parse_table_file(std::string_view text, const std::string& file,
                          nlohmann::json& rows);

/// One line for each added ("+"), deleted ("-") and changed ("~") row.
std::vector<std::string> difference(const nlohmann::json& before,
                                    const nlohmann::json& after);

} // namespace hawthornbeam

#endif
