/// \file
/// Counters, gauges and histograms with labels; Prometheus text and mergeable snapshots.
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

/// All metrics of a process. Latencies are kept in Boost.Histogram histograms with
/// logarithmic bins from 0.1 ms to 1000 s, so that those of several instances can be
/// added. The number of label combinations of a name is bounded; further ones are
/// counted under the label value "other".
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();

    /// Adds to a counter; names end in "_total".
    void add(std::string_view name, const metric_labels& labels, double amount = 1);
    void set_gauge(std::string_view name, const metric_labels& labels, double value);
    /// Counts a time in a histogram; names end in "_seconds".
    void observe(std::string_view name, const metric_labels& labels, duration value);
    /// Sets the help text of a name.
    void describe(std::string_view name, std::string_view help);

    double counter(std::string_view name, const metric_labels& labels) const;
    /// The current value of a gauge; zero when it was never set.
    double gauge(std::string_view name, const metric_labels& labels) const;
    /// The number of observations of a histogram.
    std::uint64_t observations(std::string_view name, const metric_labels& labels) const;
    /// The \p q quantile (0 to 1) of a histogram, interpolated inside its bin; zero when
    /// nothing was observed.
    duration quantile(std::string_view name, const metric_labels& labels, double q) const;
    /// The share of observations above \p limit, by whole bins; zero when none.
    double fraction_above(std::string_view name, const metric_labels& labels,
                          duration limit) const;

    /// Prometheus text format, sorted by name.
    std::string prometheus_text() const;
    /// A compact form that merge() reads.
    std::string snapshot() const;
    /// Adds counters and histograms of a snapshot; gauges are summed.
    result<bool> merge(std::string_view snapshot_text);

    /// All label sets of a name.
    std::vector<metric_labels> label_sets(std::string_view name) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hawthornbeam

#endif
