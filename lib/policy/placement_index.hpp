/// \file
/// Index of the workers of one failure domain by their free capacity.
#ifndef HAWTHORNBEAM_POLICY_PLACEMENT_INDEX_HPP
#define HAWTHORNBEAM_POLICY_PLACEMENT_INDEX_HPP

#include "records.hpp"

#include "hawthornbeam/support/random_source.hpp"

namespace hawthornbeam::policy
{

/// Groups workers into buckets by the logarithms of their free processors and memory and
/// by their free accelerators. Bit masks of the non-empty buckets let a search skip the
/// empty ones, so that its cost hardly depends on the number of workers.
class placement_index
{
public:
    placement_index();

    /// Adds \p worker with the free capacity \p free, or changes its free capacity.
    void update(index worker, const resources& free);
    void remove(index worker);
    /// Appends to \p found up to \p max_count workers whose free capacity is at least
    /// \p size, beginning with the buckets of least free capacity. Edge buckets, which
    /// contain workers both above and below \p size, are only sampled, so a search can
    /// miss workers that fit.
    void sample(const resources& size, std::size_t max_count, random_source& random,
                std::vector<index>& found) const;
    std::size_t size() const { return size_; }

private:
    static constexpr unsigned accelerator_levels = 10;
    static constexpr unsigned processor_levels = 32;
    static constexpr unsigned memory_levels = 48;

    struct bucket_key
    {
        unsigned accelerators;
        unsigned processors;
        unsigned memory;
    };
    struct entry
    {
        index worker;
        resources free;
    };
    struct location
    {
        std::uint32_t bucket = none;
        std::uint32_t position = 0;
    };

    static bucket_key key_of(const resources& free);
    static std::size_t bucket_number(const bucket_key& key);
    void collect(const bucket_key& key, const resources& size, bool exact,
                 std::size_t max_count, random_source& random, std::size_t& edge_tries,
                 std::vector<index>& found) const;

    /// Maps a bucket number to the position in buckets_ plus 1, or to 0 for a bucket
    /// never used, as are most of the 15,360.
    std::vector<std::uint16_t> bucket_positions_;
    std::vector<std::vector<entry>> buckets_;
    /// One bit for each memory level with a non-empty bucket.
    std::array<std::array<std::uint64_t, processor_levels>, accelerator_levels> masks_{};
    /// One bit for each processor level whose entry in masks_ is not zero.
    std::array<std::uint32_t, accelerator_levels> processor_masks_{};
    std::vector<location> locations_; ///< Indexed by worker.
    std::size_t size_ = 0;
};

} // namespace hawthornbeam::policy

#endif
