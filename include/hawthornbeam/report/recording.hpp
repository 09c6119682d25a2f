/// \file
/// A file of metrics snapshots, one JSON line for each sample of each instance.
#ifndef HAWTHORNBEAM_REPORT_RECORDING_HPP
#define HAWTHORNBEAM_REPORT_RECORDING_HPP

#include "hawthornbeam/support/clock.hpp"
#include "hawthornbeam/support/ids.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace hawthornbeam
{

/// The metrics of one instance at one time.
struct metrics_sample
{
    wall_time time{};
    instance_id instance;
    std::string snapshot; ///< Text of metrics_registry::snapshot().
};

/// Writes a sample as one line with its line feed.
std::string to_json_line(const metrics_sample& sample);

/// Appends samples to \p file, creating it when absent. An unfinished last line, left by
/// a writer that was interrupted, is ended first, so that it damages no new sample.
result<bool> append_samples(const std::string& file,
                            const std::vector<metrics_sample>& samples);

/// Calls \p use with each sample in the order of the lines; an error from \p use and each
/// damaged line become findings. At most 100 findings are listed, then their number.
findings read_samples(std::istream& lines, const std::string& file,
                      const std::function<result<bool>(const metrics_sample&)>& use);
/// Reads a file. A file that cannot be read is a finding.
findings read_recording(const std::string& file,
                        const std::function<result<bool>(const metrics_sample&)>& use);

} // namespace hawthornbeam

#endif
