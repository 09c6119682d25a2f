/// \file
/// Learned ratio of the used to the declared resources of the tasks of a row.
#ifndef HAWTHORNBEAM_POLICY_LEARNED_SIZE_HPP
#define HAWTHORNBEAM_POLICY_LEARNED_SIZE_HPP

#include "hawthornbeam/support/units.hpp"

#include <array>
#include <cstdint>

namespace hawthornbeam::policy
{

/// Histograms of the ratio of used to declared resources over the tasks of one row. The
/// ratio is learned rather than the amount, so that large tasks of a mixed row do not
/// inflate the estimates of its small ones. Each task counts once, with its peak usage,
/// however many reports it sends.
class learned_size
{
public:
    /// The contribution of one task to the histograms.
    struct sample
    {
        std::uint8_t processors = 0; ///< Bucket + 1; 0 before the first report.
        std::uint8_t memory = 0;
    };

    /// Records the usage of one task, in cores and bytes, if it exceeds the task's peak.
    void report(sample& task, const resources& declared, double cores, double bytes);
    /// Returns \p declared scaled by the 95% quantile of the ratios, but no less than
    /// \p declared. Returns \p declared itself while there are too few samples.
    resources estimate(const resources& declared) const;
    std::uint32_t samples() const { return processors_.count; }

private:
    /// Each bucket covers a quarter of an octave; the range is 1/256 to 256.
    static constexpr std::size_t buckets = 64;
    struct histogram
    {
        std::array<std::uint16_t, buckets> counts{};
        std::uint32_t count = 0;
        double factor = 1.0; ///< Upper edge of the bucket that contains the quantile.

        void raise_peak(std::uint8_t& task, double ratio);
        void update_factor();
    };
    histogram processors_;
    histogram memory_;
};

} // namespace hawthornbeam::policy

#endif
