#include "admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornbeam::policy
{

namespace
{

/// Time constant of the exponential decay of observed starts: long enough to average over
/// the ends of single tasks, short enough to follow a change of the table within seconds.
constexpr double decay_seconds = 2.0;
/// No estimate is made from a shorter observation.
constexpr double min_busy_seconds = 0.1;
/// Upper bound of the estimated wait, and so of the retry hint in refusals.
constexpr double max_wait_seconds = 600;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::int64_t fit_count(std::int64_t whole, std::int64_t part)
{
    return part <= 0 ? std::numeric_limits<std::int64_t>::max() : whole / part;
}

std::int64_t fit_count(const resources& capacity, const resources& size)
{
    return std::min(
        {fit_count(capacity.processors.value(), size.processors.value()),
         fit_count(capacity.memory.value(), size.memory.value()),
         fit_count(capacity.accelerators.value(), size.accelerators.value())});
}

resources smaller(const resources& a, const resources& b)
{
    return {std::min(a.processors, b.processors), std::min(a.memory, b.memory),
            std::min(a.accelerators, b.accelerators)};
}

bool is_larger(const resources& a, const resources& b)
{
    return a.processors != b.processors ? a.processors > b.processors
                                        : a.memory > b.memory;
}

} // namespace

void drain_estimator::advance(boot_time now, bool backlog)
{
    if (now <= last_)
        return;
    const double elapsed = seconds(now - last_);
    last_ = now;
    if (!backlog)
        return;
    const double kept = std::exp(-elapsed / decay_seconds);
    starts_ *= kept;
    busy_seconds_ = busy_seconds_ * kept + std::min(elapsed, decay_seconds);
}

duration drain_estimator::wait(std::size_t ahead) const
{
    if (ahead == 0 || busy_seconds_ < min_busy_seconds)
        return duration(0);
    // Without any start, the rate is known only to be below one start per observed time.
    // Assuming one start keeps the estimate finite for a backlog younger than the first
    // completed task.
    const double rate = std::max(starts_, 1.0) / busy_seconds_;
    const double wait = std::min(max_wait_seconds, static_cast<double>(ahead) / rate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

bool start_rate::admits(boot_time now, std::uint32_t per_second, double scale)
{
    if (per_second == 0)
        return true;
    const double limit = std::max(1.0, static_cast<double>(per_second) * scale);
    const double burst = std::max(1.0, std::floor(limit / 10));
    // A full bucket and the refill of one second give burst + refill - 1 starts.
    const double refill = static_cast<double>(per_second) * scale < 1.0
                              ? static_cast<double>(per_second) * scale
                              : limit - burst + 1;
    if (now > last_)
    {
        tokens_ += refill * seconds(now - last_);
        last_ = now;
    }
    tokens_ = std::min(tokens_, burst);
    // The tolerance prevents a rounding error from delaying a start by a whole interval.
    return tokens_ >= 1.0 - 1e-9;
}

void shape_set::add(const resources& capacity)
{
    for (shape& entry : shapes_)
    {
        if (entry.capacity != capacity)
            continue;
        ++entry.count;
        return;
    }
    shapes_.push_back({capacity, 1});
}

void shape_set::remove(const resources& capacity)
{
    for (shape& entry : shapes_)
    {
        if (entry.capacity == capacity)
            --entry.count;
    }
    std::erase_if(shapes_, [](const shape& entry) { return entry.count == 0; });
}

bool shape_set::fits_any(const resources& size) const
{
    return size.fits_in(largest_remote_) ||
           std::any_of(shapes_.begin(), shapes_.end(),
                       [&](const shape& entry) { return size.fits_in(entry.capacity); });
}

std::uint64_t shape_set::count_fitting(const resources& size) const
{
    std::uint64_t sum = 0;
    for (const shape& entry : shapes_)
    {
        const std::uint64_t each = static_cast<std::uint64_t>(
            std::min<std::int64_t>(fit_count(entry.capacity, size), 1 << 30));
        sum += each * entry.count;
    }
    return sum;
}

resources shape_set::clamp_to_worker(const resources& declared,
                                     const resources& estimate) const
{
    const resources* largest_shape = nullptr;
    for (const shape& entry : shapes_)
    {
        if (declared.fits_in(entry.capacity) &&
            (largest_shape == nullptr || is_larger(entry.capacity, *largest_shape)))
            largest_shape = &entry.capacity;
    }
    return largest_shape == nullptr ? declared : smaller(estimate, *largest_shape);
}

resources shape_set::largest() const
{
    resources sum = largest_remote_;
    for (const shape& entry : shapes_)
        sum = component_max(sum, entry.capacity);
    return sum;
}

} // namespace hawthornbeam::policy
