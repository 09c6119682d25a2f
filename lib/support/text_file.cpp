#include "hawthornbeam/support/text_file.hpp"

#include <fstream>
#include <sstream>

namespace hawthornbeam
{

std::optional<std::string> read_text_file(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (stream)
        text << stream.rdbuf();
    if (!stream || stream.bad())
        return std::nullopt;
    return text.str();
}

} // namespace hawthornbeam
