/// \file
/// Formatting shared by the text, JSON and HTML renderers of the burn report.
#ifndef HAWTHORNBEAM_LIB_REPORT_RENDER_HPP
#define HAWTHORNBEAM_LIB_REPORT_RENDER_HPP

#include "hawthornbeam/report/burn.hpp"

namespace hawthornbeam
{

/// Returns "page", "ticket", "used up", "ok" or "no data".
const char* state_of(const objective_burn& burn);
/// Returns the rows with an alarm before the others; both groups keep the order of the
/// objectives file.
std::vector<const row_burn*> by_urgency(const burn_report& report);
/// Formats a fraction like "12.5%", with more digits below 0.1%.
std::string percent(double fraction);
/// Formats a duration like "1.2 d", "3.0 h" or "15 min".
std::string span_text(duration span);

} // namespace hawthornbeam

#endif
