/// \file
/// A token bucket: bounds how often something is done, and allows bursts.
#ifndef HAWTHORNBEAM_LIB_CELL_TOKEN_BUCKET_HPP
#define HAWTHORNBEAM_LIB_CELL_TOKEN_BUCKET_HPP

#include "hawthornbeam/support/clock.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

class token_bucket
{
public:
    /// Holds up to \p burst tokens; one is added in each \p period. It begins full.
    token_bucket(double burst, duration period)
        : burst_(burst), period_(period), tokens_(burst)
    {
    }

    /// Takes a token. Returns false if there is none.
    bool take(boot_time now)
    {
        const double added = std::chrono::duration<double>(now - updated_at_) / period_;
        tokens_ = std::min(burst_, tokens_ + added);
        updated_at_ = now;
        if (tokens_ < 1)
            return false;
        --tokens_;
        return true;
    }

private:
    double burst_;
    duration period_;
    double tokens_;
    boot_time updated_at_{};
};

} // namespace hawthornbeam::cell

#endif
