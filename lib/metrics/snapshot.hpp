/// \file
/// Text form of a metrics snapshot.
#ifndef HAWTHORNBEAM_LIB_METRICS_SNAPSHOT_HPP
#define HAWTHORNBEAM_LIB_METRICS_SNAPSHOT_HPP

#include "hawthornbeam/metrics/metrics.hpp"

#include <cstdint>

namespace hawthornbeam
{

/// Bins of a histogram without those below and above its range.
inline constexpr int histogram_bins = 140;

enum class metric_kind : char
{
    counter = 'c',
    gauge = 'g',
    histogram = 'h'
};

/// One series of a snapshot. `bins` has the bins that are not empty; index -1 is below
/// the range and histogram_bins is above it.
struct snapshot_series
{
    metric_kind kind = metric_kind::counter;
    std::string name;
    metric_labels labels;
    double value = 0; ///< Counter or gauge value, or sum of the observations in seconds.
    std::vector<std::pair<int, std::uint64_t>> bins;
};

/// True for names that Prometheus accepts without quotes.
bool is_metric_name(std::string_view name);
/// True for label names that Prometheus accepts and that it does not use itself.
bool is_label_name(std::string_view name);

/// Writes one series to a line each, between a header and a line with their number.
std::string write_snapshot(const std::vector<snapshot_series>& all);
/// Parses what write_snapshot() writes; the error names the line.
result<std::vector<snapshot_series>> parse_snapshot(std::string_view text);

} // namespace hawthornbeam

#endif
