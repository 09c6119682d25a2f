/// \file
/// Text form of a metrics snapshot.
#ifndef HAWTHORNBEAM_LIB_METRICS_SNAPSHOT_HPP
#define HAWTHORNBEAM_LIB_METRICS_SNAPSHOT_HPP

#include "hawthornbeam/metrics/metrics.hpp"

#include <cstdint>

namespace hawthornbeam
{

/// Number of bins of a histogram, without the underflow and overflow bins.
inline constexpr int histogram_bins = 140;

enum class metric_kind : char
{
    counter = 'c',
    gauge = 'g',
    histogram = 'h'
};

/// One series of a snapshot. `bins` contains the index and count of each non-empty bin;
/// index -1 is the underflow bin and index histogram_bins the overflow bin.
struct snapshot_series
{
    metric_kind kind = metric_kind::counter;
    std::string name;
    metric_labels labels;
    double value = 0; ///< Counter or gauge value, or sum of the observations in seconds.
    std::vector<std::pair<int, std::uint64_t>> bins;
};

/// Returns true for metric names that Prometheus accepts without quotes.
bool is_metric_name(std::string_view name);
/// Returns true for label names that Prometheus accepts and does not reserve.
bool is_label_name(std::string_view name);

/// Writes a header, one line per series, and a last line with the number of series.
std::string write_snapshot(const std::vector<snapshot_series>& all);
/// Parses the output of write_snapshot(). An error message contains the line number.
result<std::vector<snapshot_series>> parse_snapshot(std::string_view text);

} // namespace hawthornbeam

#endif
