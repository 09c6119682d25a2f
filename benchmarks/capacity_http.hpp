/// \file
/// Processor time of the HTTP bindings against the stand-ins over loopback.
#ifndef HAWTHORNBEAM_BENCHMARKS_CAPACITY_HTTP_HPP
#define HAWTHORNBEAM_BENCHMARKS_CAPACITY_HTTP_HPP

namespace hawthornbeam
{

/// Measures leases, starts and the host list over HTTP and prints their slopes.
void measure_http();

} // namespace hawthornbeam

#endif
