/// \file
/// Sizes of tasks for which a decision found no worker.
#ifndef HAWTHORNBEAM_LIB_CELL_REJECTED_SIZES_HPP
#define HAWTHORNBEAM_LIB_CELL_REJECTED_SIZES_HPP

#include "hawthornbeam/cell/types.hpp"

#include <algorithm>
#include <vector>

namespace hawthornbeam::cell
{

/// What else than its size and run time decides which workers take a task without advice.
struct task_kind
{
    service_name service;
    std::string label;
    bool gang = false;
    bool uses_quarantined = false;
    bool passes_holds = false;

    friend auto operator<=>(const task_kind&, const task_kind&) = default;
};

/// Sizes and run times of tasks of one kind that no worker takes. Since a decision only
/// uses up capacity, no worker takes a later task that is at least as large and as long.
class rejected_sizes
{
public:
    bool covers(const resources& size, duration run_time) const
    {
        return std::ranges::any_of(
            rejected_, [&size, run_time](const rejected_size& each)
            { return each.size.fits_in(size) && each.run_time <= run_time; });
    }

    void add(const resources& size, duration run_time)
    {
        std::erase_if(rejected_, [&size, run_time](const rejected_size& each)
                      { return size.fits_in(each.size) && run_time <= each.run_time; });
        rejected_.push_back({size, run_time});
    }

private:
    struct rejected_size
    {
        resources size;
        duration run_time{};
    };

    std::vector<rejected_size> rejected_;
};

} // namespace hawthornbeam::cell

#endif
