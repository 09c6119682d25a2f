/// \file
/// Time after which callers whose requests were refused should retry.
#ifndef HAWTHORNBEAM_CELL_RETRY_TIME_HPP
#define HAWTHORNBEAM_CELL_RETRY_TIME_HPP

#include "hawthornbeam/support/clock.hpp"

namespace hawthornbeam::cell
{

/// Grows with the time that the store has been failing: an outage that has lasted for
/// \p outage is expected to last as long again. Callers with few attempts then do not use
/// them all during the outage, and a short outage costs them little time. \p jitter, from
/// 0 to 1, is a random value per caller: callers refused together do not retry together.
std::chrono::seconds retry_time(duration outage, double jitter);

} // namespace hawthornbeam::cell

#endif
