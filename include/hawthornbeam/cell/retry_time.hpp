/// \file
/// When callers that were refused should come back.
#ifndef HAWTHORNBEAM_CELL_RETRY_TIME_HPP
#define HAWTHORNBEAM_CELL_RETRY_TIME_HPP

#include "hawthornbeam/support/clock.hpp"

namespace hawthornbeam::cell
{

/// Answers the load of callers that return to an outage of the store: one that has lasted
/// for \p outage is expected to last as long again, so that callers with few attempts do
/// not use them up and a short outage costs them little. \p spread, from 0 to 1, keeps
/// callers that were refused together from returning together.
std::chrono::seconds retry_time(duration outage, double spread);

} // namespace hawthornbeam::cell

#endif
