/// \file
/// Reads whole text files.
#ifndef HAWTHORNBEAM_SUPPORT_TEXT_FILE_HPP
#define HAWTHORNBEAM_SUPPORT_TEXT_FILE_HPP

#include <optional>
#include <string>

namespace hawthornbeam
{

/// Returns the contents of \p file, or nullopt when it cannot be read.
std::optional<std::string> read_text_file(const std::string& file);

} // namespace hawthornbeam

#endif
