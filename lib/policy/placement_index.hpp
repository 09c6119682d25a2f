/// \file
/// Index of the workers of one failure domain by free size.
#ifndef HAWTHORNBEAM_POLICY_PLACEMENT_INDEX_HPP
#define HAWTHORNBEAM_POLICY_PLACEMENT_INDEX_HPP

#include "records.hpp"

#include "hawthornbeam/support/random_source.hpp"

namespace hawthornbeam::policy
{

/// Groups workers into buckets by the logarithm of free processors and memory and by free
/// accelerators. Bit masks of the non-empty buckets let a search skip empty ones, so its
/// cost hardly depends on the number of workers.
class placement_index
{
public:
    placement_index();

    /// Adds \p worker or moves it to the bucket of \p free.
    void update(index worker, const resources& free);
    void remove(index worker);
    /// Appends up to \p most workers whose free size holds \p size, from the tightest
    /// buckets first. A search that finds none may, in the buckets at the edge of
    /// \p size, have left out workers beyond the sampled ones.
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

    /// Bucket number to position in buckets_ + 1; most of the 15,360 are never used.
    std::vector<std::uint16_t> bucket_positions_;
    std::vector<std::vector<entry>> buckets_;
    std::array<std::array<std::uint64_t, processor_levels>, accelerator_levels> masks_{};
    /// Bit per processor level with a non-zero mask.
    std::array<std::uint32_t, accelerator_levels> processor_masks_{};
    std::vector<location> locations_; ///< By worker.
    std::size_t size_ = 0;
};

} // namespace hawthornbeam::policy

#endif
