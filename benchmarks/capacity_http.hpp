/// \file
/// Measures the HTTP bindings against the stand-ins over loopback.
#ifndef HAWTHORNBEAM_BENCHMARKS_CAPACITY_HTTP_HPP
#define HAWTHORNBEAM_BENCHMARKS_CAPACITY_HTTP_HPP

namespace hawthornbeam
{

/// Measures leases, task starts and the host list over HTTP and prints a fitted line for
/// each cost.
void measure_http();

} // namespace hawthornbeam

#endif
