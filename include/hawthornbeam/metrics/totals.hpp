/// \file
/// Counters for totals that other components maintain, and the resource usage of the
/// process.
#ifndef HAWTHORNBEAM_METRICS_TOTALS_HPP
#define HAWTHORNBEAM_METRICS_TOTALS_HPP

#include "hawthornbeam/metrics/metrics.hpp"

#include <functional>

namespace hawthornbeam
{

/// Exports totals that other components maintain as counters of a registry.
class total_counters
{
public:
    /// \p metrics must outlive the object.
    explicit total_counters(metrics_registry& metrics) : metrics_(metrics) {}

    /// Registers \p total, which update() copies to the counter \p name with \p labels.
    /// The counter is created with value zero, so that a scraper sees its first increase.
    void follow(std::string name, metric_labels labels, std::function<double()> total);
    /// Reads all totals and adds their increases to the counters. A total that has
    /// decreased adds nothing until it exceeds its previous maximum, since a counter must
    /// never decrease.
    void update();

private:
    struct followed_total
    {
        std::string name;
        metric_labels labels;
        std::function<double()> total;
        double exported = 0;
    };

    metrics_registry& metrics_;
    std::vector<followed_total> totals_;
};

/// Resource usage of this process.
struct process_usage
{
    double cpu_seconds = 0;           ///< User and system time of all threads.
    std::uint64_t resident_bytes = 0; ///< Zero when it cannot be read.
};

/// Reads getrusage() and /proc/self/statm.
process_usage read_process_usage();

} // namespace hawthornbeam

#endif
