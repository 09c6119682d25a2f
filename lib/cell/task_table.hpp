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
/// tasks than fit in memory, so a block of tasks takes memory when one of them changes,
/// and gives it back when fold() finds them equal.
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
        if (block >= blocks_.size() || blocks_[block].empty())
            return initial_;
        return is_folded(block) ? blocks_[block].front()
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
        if (tasks.empty() || is_folded(block))
        {
            const Task common = tasks.empty() ? initial_ : tasks.front();
            tasks.resize(tasks_in(block), common);
        }
        return tasks[index % block_size];
    }
    /// Calls \p visit with the index and the state of each task that may have changed.
    template <class Visitor>
    void visit_changed(const Visitor& visit) const
    {
        for (std::size_t block = 0; block < blocks_.size(); ++block)
        {
            const std::vector<Task>& tasks = blocks_[block];
            const std::size_t count = tasks.empty() ? 0 : tasks_in(block);
            for (std::size_t i = 0; i < count; ++i)
                visit(static_cast<std::uint32_t>(block * block_size + i),
                      is_folded(block) ? tasks.front() : tasks[i]);
        }
    }
    /// Keeps one state for the block of a task if \p is_equal accepts each of its tasks
    /// together with the first one. Invalidates references to tasks.
    template <class Equality>
    void fold(std::uint32_t index, const Equality& is_equal)
    {
        const std::size_t block = index / block_size;
        if (block >= blocks_.size() || blocks_[block].empty() || is_folded(block))
            return;
        std::vector<Task>& tasks = blocks_[block];
        for (const Task& task : tasks)
            if (!is_equal(tasks.front(), task))
                return;
        tasks = std::vector<Task>{tasks.front()};
    }
    /// Number of states that are kept in memory, without the initial one.
    std::size_t kept_states() const
    {
        std::size_t kept = 0;
        for (const std::vector<Task>& tasks : blocks_)
            kept += tasks.size();
        return kept;
    }

private:
    static constexpr std::uint32_t block_size = 32;

    std::size_t tasks_in(std::size_t block) const
    {
        return std::min<std::size_t>(block_size, size_ - block * block_size);
    }
    bool is_folded(std::size_t block) const
    {
        return blocks_[block].size() == 1 && tasks_in(block) > 1;
    }

    std::uint32_t size_ = 0;
    Task initial_{};
    /// Empty: all tasks are as at the beginning. One state: all are equal to it.
    std::vector<std::vector<Task>> blocks_;
};

} // namespace hawthornbeam::cell

#endif
