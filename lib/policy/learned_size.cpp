/// \file
/// Histogram updates and size estimates.
#include "learned_size.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornbeam::policy
{

namespace
{

constexpr double quantile = 0.95;
/// With fewer samples a single outlier would determine the quantile.
constexpr std::uint32_t min_samples = 20;
/// At this count the weight of all earlier samples is halved, so that the estimate adapts
/// to a new release of a program within a few thousand tasks.
constexpr std::uint32_t halving_count = 8192;
constexpr double buckets_per_octave = 4.0;
constexpr double bucket_of_ratio_one = 32.0;
/// Smaller declared sizes are raised to these values, so that the ratio is defined for a
/// declared size of zero.
constexpr double min_declared_cores = 0.01;
constexpr double min_declared_bytes = 1 << 20;

} // namespace

void learned_size::histogram::raise_peak(std::uint8_t& task, double ratio)
{
    const double position =
        std::ceil(std::log2(std::max(ratio, 1e-9)) * buckets_per_octave) +
        bucket_of_ratio_one;
    const std::uint8_t bucket = static_cast<std::uint8_t>(
        std::clamp(position, 0.0, static_cast<double>(buckets - 1)));
    if (task > bucket)
        return;
    // Halving may already have removed the task's previous entry.
    if (task > 0 && counts[task - 1U] > 0)
    {
        --counts[task - 1U];
        --count;
    }
    task = static_cast<std::uint8_t>(bucket + 1);
    ++counts[bucket];
    ++count;
    if (count >= halving_count)
    {
        count = 0;
        for (std::uint16_t& entry : counts)
        {
            entry /= 2;
            count += entry;
        }
    }
    update_factor();
}

void learned_size::histogram::update_factor()
{
    const double rank = quantile * count;
    std::uint32_t sum = 0;
    std::size_t bucket = 0;
    while (bucket + 1 < buckets)
    {
        sum += counts[bucket];
        if (sum >= rank)
            break;
        ++bucket;
    }
    factor = std::exp2((static_cast<double>(bucket) - bucket_of_ratio_one) /
                       buckets_per_octave);
}

void learned_size::report(sample& task, const resources& declared, double cores,
                          double bytes)
{
    const double declared_cores = std::max(
        min_declared_cores, static_cast<double>(declared.processors.value()) / 1000);
    const double declared_bytes =
        std::max(min_declared_bytes, static_cast<double>(declared.memory.value()));
    processors_.raise_peak(task.processors, cores / declared_cores);
    memory_.raise_peak(task.memory, bytes / declared_bytes);
}

resources learned_size::estimate(const resources& declared) const
{
    if (processors_.count < min_samples)
        return declared;
    const double cores = std::max(1000 * min_declared_cores,
                                  static_cast<double>(declared.processors.value())) *
                         processors_.factor;
    const double bytes =
        std::max(min_declared_bytes, static_cast<double>(declared.memory.value())) *
        memory_.factor;
    const resources learned{millicores(static_cast<std::int64_t>(cores)),
                            byte_count(static_cast<std::int64_t>(bytes)),
                            declared.accelerators};
    return component_max(declared, learned);
}

} // namespace hawthornbeam::policy
