/// \file
/// Checks that accepted jobs start while there is room for them.
#ifndef HAWTHORNBEAM_TEST_STANDINS_LIVENESS_CHECKER_HPP
#define HAWTHORNBEAM_TEST_STANDINS_LIVENESS_CHECKER_HPP

#include "test/standins/cell_checker.hpp"

namespace hawthornbeam::standins
{

/// Returns the jobs in \p history that had nothing running for longer than the documented
/// bound, although a ready task could run: no failure is near, there is room for it twice
/// over, and less than half of the capacity of its service is in use. Jobs that a caller
/// cancelled are left out.
std::vector<broken_rule> check_liveness(const cell_history& history);

} // namespace hawthornbeam::standins

#endif
