/// \file
/// Seeded pseudo-random number generator with the same sequence on every machine.
#ifndef HAWTHORNBEAM_SUPPORT_RANDOM_SOURCE_HPP
#define HAWTHORNBEAM_SUPPORT_RANDOM_SOURCE_HPP

#include "hawthornbeam/support/clock.hpp"

#include <cassert>
#include <cstdint>

namespace hawthornbeam
{

/// SplitMix64 generator. It is predictable, so it must not generate secrets.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    /// Returns 64 random bits.
    std::uint64_t next()
    {
        state_ += 0x9E3779B97F4A7C15ULL;
        std::uint64_t z = state_;
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31);
    }
    /// Returns a uniform value in [0, bound); \p bound is positive.
    std::uint64_t below(std::uint64_t bound)
    {
        assert(bound > 0 && "an empty range has no value");
        return static_cast<std::uint64_t>(
            __extension__(static_cast<unsigned __int128>(next()) * bound) >> 64);
    }
    /// Returns a uniform value in [0, 1).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
    /// Returns \p base scaled by a uniform factor in [1 - spread, 1 + spread].
    duration jitter(duration base, double spread)
    {
        const double factor = 1.0 - spread + 2.0 * spread * unit();
        return duration(
            static_cast<duration::rep>(static_cast<double>(base.count()) * factor));
    }

private:
    std::uint64_t state_;
};

} // namespace hawthornbeam

#endif
