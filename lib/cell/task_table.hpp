/// \file
/// Tasks of a step, with memory only for those that have a state of their own.
#ifndef HAWTHORNBEAM_LIB_CELL_TASK_TABLE_HPP
#define HAWTHORNBEAM_LIB_CELL_TASK_TABLE_HPP

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace hawthornbeam::cell
{

/// A fixed number of tasks, which all begin with the same state. A job may have more
/// tasks than fit in memory, so a block of tasks takes memory when one of them changes.
template <class Task>
class task_table
{
public:
    task_table() = default;
    task_table(std::uint32_t size, Task initial)
        : size_(size), initial_(std::move(initial))
    {
    }

    std::uint32_t size() const { return size_; }
    const Task& operator[](std::uint32_t index) const
    {
        assert(index < size_ && "the step has the task");
        const std::size_t block = index / block_size;
        return block >= blocks_.size() || blocks_[block].empty()
                   ? initial_
                   : blocks_[block][index % block_size];
    }
    /// Returns a task in order to change it.
    Task& modify(std::uint32_t index)
    {
        assert(index < size_ && "the step has the task");
        const std::size_t block = index / block_size;
        if (block >= blocks_.size())
            blocks_.resize(block + 1);
        std::vector<Task>& tasks = blocks_[block];
        if (tasks.empty())
            tasks.resize(std::min(block_size, size_ - index / block_size * block_size),
                         initial_);
        return tasks[index % block_size];
    }
    /// Calls \p visit with the index and the state of each task that may have changed.
    template <class Visitor>
    void visit_changed(const Visitor& visit) const
    {
        for (std::size_t block = 0; block < blocks_.size(); ++block)
            for (std::size_t i = 0; i < blocks_[block].size(); ++i)
                visit(static_cast<std::uint32_t>(block * block_size + i),
                      blocks_[block][i]);
    }

private:
    static constexpr std::uint32_t block_size = 32;

    std::uint32_t size_ = 0;
    Task initial_{};
    std::vector<std::vector<Task>> blocks_; ///< Empty: all tasks are as at the beginning.
};

} // namespace hawthornbeam::cell

#endif
