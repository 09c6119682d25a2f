/// \file
/// Reads and appends recordings: files of metrics snapshots with one line of JSON for
/// each sample of each instance.
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
    std::string snapshot; ///< Result of metrics_registry::snapshot().
};

/// Formats a sample as one line of JSON with a trailing line feed.
std::string to_json_line(const metrics_sample& sample);

/// Appends samples to \p file, which is created when it does not exist. If the last line
/// is incomplete because a writer was interrupted, a line feed is written first, so that
/// the new samples remain readable.
result<bool> append_samples(const std::string& file,
                            const std::vector<metrics_sample>& samples);

/// Calls \p consume with each sample in the order of the lines. Each malformed line and
/// each error returned by \p consume become a finding. At most 100 of them are listed;
/// one more finding then gives the number of the others.
findings read_samples(std::istream& lines, const std::string& file,
                      const std::function<result<bool>(const metrics_sample&)>& consume);
/// Reads a file as read_samples() does. An unreadable file is reported as a finding.
findings
read_recording(const std::string& file,
               const std::function<result<bool>(const metrics_sample&)>& consume);

} // namespace hawthornbeam

#endif
