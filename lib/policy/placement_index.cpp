/// \file
/// Bucket levels, updates and sampling of the placement index.
#include "placement_index.hpp"

#include <bit>

namespace hawthornbeam::policy
{

namespace
{

/// Returns the level of \p amount: 0 below \p unit, and two levels per octave from there.
/// The level does not decrease when \p amount grows.
unsigned level_of(std::int64_t amount, std::int64_t unit, unsigned levels)
{
    if (amount < unit)
        return 0;
    assert(unit > 0 && "levels need a positive unit");
    const std::uint64_t ratio = static_cast<std::uint64_t>(amount / unit);
    const unsigned octave = static_cast<unsigned>(std::bit_width(ratio | 1)) - 1;
    const bool upper_half = octave > 0 && ((ratio >> ((octave - 1) & 63U)) & 1) != 0;
    return std::min(levels - 1, 1 + 2 * octave + (upper_half ? 1U : 0U));
}

constexpr std::int64_t processor_unit = 100;           // millicores
constexpr std::int64_t memory_unit = 64LL << 20;       // bytes
constexpr std::size_t max_tries_per_edge_bucket = 16;  // workers examined
constexpr std::size_t max_edge_tries_per_search = 128; // workers examined

} // namespace

placement_index::placement_index()
    : bucket_positions_(static_cast<std::size_t>(accelerator_levels) * processor_levels *
                        memory_levels)
{
}

placement_index::bucket_key placement_index::key_of(const resources& free)
{
    const std::int64_t accelerators =
        std::clamp<std::int64_t>(free.accelerators.value(), 0, accelerator_levels - 1);
    return {static_cast<unsigned>(accelerators),
            level_of(free.processors.value(), processor_unit, processor_levels),
            level_of(free.memory.value(), memory_unit, memory_levels)};
}

std::size_t placement_index::bucket_number(const bucket_key& key)
{
    return (static_cast<std::size_t>(key.accelerators) * processor_levels +
            key.processors) *
               memory_levels +
           key.memory;
}

void placement_index::update(index worker, const resources& free)
{
    const bucket_key key = key_of(free);
    const std::size_t bucket = bucket_number(key);
    if (worker < locations_.size() && locations_[worker].bucket == bucket)
    {
        buckets_[bucket_positions_[bucket] - 1U][locations_[worker].position].free = free;
        return;
    }
    remove(worker);
    if (worker >= locations_.size())
        locations_.resize(worker + 1);
    if (bucket_positions_[bucket] == 0)
    {
        buckets_.emplace_back();
        bucket_positions_[bucket] = static_cast<std::uint16_t>(buckets_.size());
    }
    std::vector<entry>& entries = buckets_[bucket_positions_[bucket] - 1U];
    locations_[worker] = {static_cast<std::uint32_t>(bucket),
                          static_cast<std::uint32_t>(entries.size())};
    entries.push_back({worker, free});
    masks_[key.accelerators][key.processors] |= 1ULL << key.memory;
    processor_masks_[key.accelerators] |= 1U << key.processors;
    ++size_;
}

void placement_index::remove(index worker)
{
    if (worker >= locations_.size() || locations_[worker].bucket == none)
        return;
    const location old = locations_[worker];
    std::vector<entry>& entries = buckets_[bucket_positions_[old.bucket] - 1U];
    entries[old.position] = entries.back();
    locations_[entries[old.position].worker].position = old.position;
    entries.pop_back();
    locations_[worker] = location();
    --size_;
    if (!entries.empty())
        return;
    const std::size_t memory = old.bucket % memory_levels;
    const std::size_t processors = old.bucket / memory_levels % processor_levels;
    const std::size_t accelerators = old.bucket / memory_levels / processor_levels;
    masks_[accelerators][processors] &= ~(1ULL << memory);
    if (masks_[accelerators][processors] == 0)
        processor_masks_[accelerators] &= ~(1U << processors);
}

void placement_index::collect(const bucket_key& key, const resources& size, bool exact,
                              std::size_t max_count, random_source& random,
                              std::size_t& edge_tries, std::vector<index>& found) const
{
    const std::vector<entry>& entries =
        buckets_[bucket_positions_[bucket_number(key)] - 1U];
    const std::size_t limit =
        exact ? max_count - found.size() : max_tries_per_edge_bucket;
    const std::size_t examined = std::min(entries.size(), limit);
    // Consecutive entries from a random position cost one cache miss instead of one for
    // each worker.
    std::size_t position = random.below(entries.size());
    for (std::size_t i = 0; i < examined && found.size() < max_count; ++i)
    {
        const entry& candidate = entries[position];
        if (exact || size.fits_in(candidate.free))
            found.push_back(candidate.worker);
        position = position + 1 == entries.size() ? 0 : position + 1;
    }
    edge_tries += exact ? 0 : examined;
}

void placement_index::sample(const resources& size, std::size_t max_count,
                             random_source& random, std::vector<index>& found) const
{
    const bucket_key need = key_of(size);
    std::size_t edge_tries = 0;
    for (unsigned a = need.accelerators; a < accelerator_levels; ++a)
    {
        std::uint32_t processors = processor_masks_[a] & (~0U << need.processors);
        while (processors != 0)
        {
            const unsigned p = static_cast<unsigned>(std::countr_zero(processors));
            processors &= processors - 1;
            std::uint64_t mask = masks_[a][p] & (~0ULL << need.memory);
            while (mask != 0)
            {
                const unsigned m = static_cast<unsigned>(std::countr_zero(mask));
                mask &= mask - 1;
                // Every worker in an exact bucket fits. The last accelerator level counts
                // as inexact, because it has no upper bound.
                const bool exact =
                    p > need.processors && m > need.memory && a + 1 < accelerator_levels;
                if (!exact && edge_tries >= max_edge_tries_per_search)
                    continue;
                collect({a, p, m}, size, exact, max_count, random, edge_tries, found);
                if (found.size() >= max_count)
                    return;
            }
        }
    }
}

} // namespace hawthornbeam::policy
