/// \file
/// Units of resources, and the resource vector of a task or worker.
#ifndef HAWTHORNBEAM_SUPPORT_UNITS_HPP
#define HAWTHORNBEAM_SUPPORT_UNITS_HPP

#include "hawthornbeam/support/strong.hpp"

namespace hawthornbeam
{

/// Thousandths of one processor core.
using millicores = strong_number<struct millicores_tag, std::int64_t>;
/// Bytes of memory.
using byte_count = strong_number<struct byte_count_tag, std::int64_t>;
/// Whole accelerators.
using accelerator_count = strong_number<struct accelerator_count_tag, std::int64_t>;

/// Amounts of the three resources that a worker offers and a task occupies.
struct resources
{
    millicores processors;
    byte_count memory;
    accelerator_count accelerators;

    friend constexpr bool operator==(const resources&, const resources&) = default;

    constexpr resources& operator+=(const resources& other)
    {
        processors += other.processors;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    constexpr resources& operator-=(const resources& other)
    {
        processors -= other.processors;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend constexpr resources operator+(resources a, const resources& b)
    {
        return a += b;
    }
    friend constexpr resources operator-(resources a, const resources& b)
    {
        return a -= b;
    }

    /// True when this vector is at most \p capacity in every component.
    constexpr bool fits_in(const resources& capacity) const
    {
        return processors <= capacity.processors && memory <= capacity.memory &&
               accelerators <= capacity.accelerators;
    }
    /// True when no component is negative.
    constexpr bool is_valid() const
    {
        return processors.value() >= 0 && memory.value() >= 0 &&
               accelerators.value() >= 0;
    }

    /// Called by cereal.
    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(processors, memory, accelerators);
    }
};

/// The larger of \p a and \p b in each component.
constexpr resources component_max(const resources& a, const resources& b)
{
    return resources{a.processors < b.processors ? b.processors : a.processors,
                     a.memory < b.memory ? b.memory : a.memory,
                     a.accelerators < b.accelerators ? b.accelerators : a.accelerators};
}

} // namespace hawthornbeam

#endif
