/// \file
/// Conversion of table rows to and from JSON, used to parse, patch and compare tables.
#ifndef HAWTHORNBEAM_LIB_TABLE_ROW_JSON_HPP
#define HAWTHORNBEAM_LIB_TABLE_ROW_JSON_HPP

#include "hawthornbeam/table/table.hpp"

#include <nlohmann/json.hpp>

namespace hawthornbeam
{

/// Serializes all fields of \p row to the JSON form described in docs/api.md.
nlohmann::json row_json(const table_row& row);
/// Reads a row whose JSON pointer is \p place. Adds findings for wrong types, unknown
/// fields and a missing partner or kind. Value ranges are checked by check_rows().
table_row read_row(const nlohmann::json& value, const std::string& place,
                   findings& faults);
/// Parses \p text. Adds a finding and returns an empty object if the text is malformed or
/// not an object.
nlohmann::json parse_object(std::string_view text, findings& faults);
/// Adds a finding for each member of \p object whose name is not in \p known.
void check_fields(const nlohmann::json& object, const std::string& place,
                  std::initializer_list<std::string_view> known, findings& faults);
/// Builds a finding that has no file and no line, for JSON received from a client or the
/// key-value service.
finding fault_at(std::string place, std::string message, std::string expected);

} // namespace hawthornbeam

#endif
