/// \file
/// Counters for totals that other parts keep, and the usage of this process.
#ifndef HAWTHORNBEAM_METRICS_TOTALS_HPP
#define HAWTHORNBEAM_METRICS_TOTALS_HPP

#include "hawthornbeam/metrics/metrics.hpp"

#include <functional>

namespace hawthornbeam
{

/// Copies totals that other parts keep into counters of a registry.
class total_counters
{
public:
    /// \p metrics outlives the object.
    explicit total_counters(metrics_registry& metrics) : metrics_(metrics) {}

    /// Keeps the counter \p name with \p labels equal to \p total, from zero on. The
    /// counter exists at once, so that its first increase is visible to a reader.
    void follow(std::string name, metric_labels labels, std::function<double()> total);
    /// Reads all totals and adds what they have grown by. A total that has fallen adds
    /// nothing until it exceeds its highest value, since a counter must never fall.
    void update();

private:
    struct followed
    {
        std::string name;
        metric_labels labels;
        std::function<double()> total;
        double written = 0;
    };

    metrics_registry& metrics_;
    std::vector<followed> all_;
};

/// What this process has used.
struct process_usage
{
    double cpu_seconds = 0;           ///< User and system time of all threads.
    std::uint64_t resident_bytes = 0; ///< Zero when the system does not tell.
};

/// Reads getrusage() and /proc/self/statm.
process_usage read_process_usage();

} // namespace hawthornbeam

#endif
