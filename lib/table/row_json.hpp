/// \file
/// JSON form of table rows, shared by parsing, patching and comparing.
#ifndef HAWTHORNBEAM_LIB_TABLE_ROW_JSON_HPP
#define HAWTHORNBEAM_LIB_TABLE_ROW_JSON_HPP

#include "hawthornbeam/table/table.hpp"

#include <nlohmann/json.hpp>

namespace hawthornbeam
{

/// All fields of \p row in the form of docs/api.md.
nlohmann::json row_json(const table_row& row);
/// Reads a row; \p place is its JSON pointer. Adds findings for wrong types, unknown
/// fields and missing names; ranges are checked by check_rows().
table_row read_row(const nlohmann::json& value, const std::string& place,
                   findings& faults);
/// Parses \p text; a syntax fault or a value that is no object becomes a finding.
nlohmann::json parse_object(std::string_view text, findings& faults);
/// Adds a finding for each member of \p object that \p known does not contain.
void check_fields(const nlohmann::json& object, const std::string& place,
                  std::initializer_list<std::string_view> known, findings& faults);
/// Builds a finding of a request body.
finding fault_at(std::string place, std::string message, std::string expected);

} // namespace hawthornbeam

#endif
