/// \file
/// Counters, gauges and histograms with labels, Prometheus output and mergeable
/// snapshots.
#ifndef HAWTHORNBEAM_METRICS_METRICS_HPP
#define HAWTHORNBEAM_METRICS_METRICS_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/result.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornbeam
{

/// Label names and values of a metric, in the order they are written.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// All metrics of a process. Times are stored in Boost.Histogram histograms with the same
/// logarithmic bins from 0.1 ms to 1000 s, so that histograms of several instances can be
/// added. The number of label combinations per metric name is limited; values with
/// further combinations are recorded under the label value "other".
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    /// Adds \p amount to a counter, whose name must end in "_total".
    void add(std::string_view name, const metric_labels& labels, double amount = 1);
    void set_gauge(std::string_view name, const metric_labels& labels, double value);
    /// Records a time in a histogram, whose name must end in "_seconds".
    void observe(std::string_view name, const metric_labels& labels, duration value);
    /// Sets the help text of a metric.
    void describe(std::string_view name, std::string_view help);

    double counter(std::string_view name, const metric_labels& labels) const;
    /// The current value of a gauge, or zero when it was never set.
    double gauge(std::string_view name, const metric_labels& labels) const;
    /// The number of observations of a histogram.
    std::uint64_t observations(std::string_view name, const metric_labels& labels) const;
    /// The \p q quantile (0 to 1) of a histogram, interpolated within its bin; zero
    /// when the histogram is empty.
    duration quantile(std::string_view name, const metric_labels& labels, double q) const;
    /// The fraction of observations above \p limit; zero when the histogram is empty. The
    /// bin that contains \p limit counts as above it.
    double fraction_above(std::string_view name, const metric_labels& labels,
                          duration limit) const;

    /// Prometheus text format, sorted by name.
    std::string prometheus_text() const;
    /// Compact text form that merge() reads.
    std::string snapshot() const;
    /// Adds the counters, gauges and histograms of a snapshot to those of this registry.
    result<bool> merge(std::string_view snapshot_text);

    /// All label sets of a metric.
    std::vector<metric_labels> label_sets(std::string_view name) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
