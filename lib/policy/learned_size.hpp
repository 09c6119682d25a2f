/// \file
/// Learns how the real sizes of a row's tasks compare with the declared ones.
#ifndef HAWTHORNBEAM_POLICY_LEARNED_SIZE_HPP
#define HAWTHORNBEAM_POLICY_LEARNED_SIZE_HPP

#include "hawthornbeam/support/units.hpp"

#include <array>
#include <cstdint>

namespace hawthornbeam::policy
{

/// Quantiles of used/declared over the tasks of one row. The ratio is learned rather than
/// the amount, so that the large tasks of a mixed row do not inflate its small ones. Each
/// task counts once, with its peak, however often it reports.
class learned_size
{
public:
    /// What one task has added so far.
    struct sample
    {
        std::uint8_t processors = 0; ///< Bucket + 1; 0 before the first report.
        std::uint8_t memory = 0;
    };

    /// Raises the peak of one task.
    void report(sample& task, const resources& declared, double cores, double bytes);
    /// The larger of \p declared and the 95% quantile; \p declared after few reports.
    resources estimate(const resources& declared) const;
    std::uint32_t samples() const { return processors_.count; }

private:
    /// A quarter of an octave each, ratios from 1/256 to 256.
    static constexpr std::size_t buckets = 64;
    struct histogram
    {
        std::array<std::uint16_t, buckets> counts{};
        std::uint32_t count = 0;
        double factor = 1.0; ///< Upper edge of the quantile's bucket.

        void raise_peak(std::uint8_t& task, double ratio);
        void update_factor();
    };
    histogram processors_;
    histogram memory_;
};

} // namespace hawthornbeam::policy

#endif
