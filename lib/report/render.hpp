/// \file
/// Wording that the text, JSON and HTML forms of the burn report share.
#ifndef HAWTHORNBEAM_LIB_REPORT_RENDER_HPP
#define HAWTHORNBEAM_LIB_REPORT_RENDER_HPP

#include "hawthornbeam/report/burn.hpp"

namespace hawthornbeam
{

/// "page", "ticket", "used up", "ok" or "no data".
const char* state_of(const objective_burn& burn);
/// Rows that burn too fast first, otherwise in the order of the objectives.
std::vector<const row_burn*> by_urgency(const burn_report& report);
/// "12.5%", with more digits for small fractions.
std::string percent(double fraction);
/// "1.2 d", "3.0 h" or "15 min".
std::string span_text(duration span);

} // namespace hawthornbeam

#endif
