/// \file
/// Memory of jobs with many ended tasks.
#include "fleet.hpp"

#include <gtest/gtest.h>
#include <malloc.h>

namespace hawthornbeam::cell
{
namespace
{

/// Memory of a process for control, docs/design.md, section 1.
constexpr std::size_t control_memory_bytes = std::size_t{32} << 20U;
constexpr std::uint32_t count = 300'000;

/// Bytes in use; zero with allocators that do not tell.
std::size_t used_bytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

// Guards against ended tasks of a large job that exhaust the memory of the owner.
TEST(ended_tasks_test, take_little_memory)
{
    fleet workers(1);
    workers.add_queue("q", 0);
    workers.submit(fleet::job("large", "q", count, 1), true);
    const std::size_t before = used_bytes();
    for (std::uint32_t task = 0; task + 1 < count; ++task)
        workers.cell.restore_end(
            {{{job_key("large"), 0, task}, run_number(1)}, run_end::done});
    EXPECT_LE(used_bytes(), before + control_memory_bytes);
    EXPECT_EQ(workers.cell.state(job_key("large")), job_state::running);
    workers.cell.restore_end(
        {{{job_key("large"), 0, count - 1}, run_number(1)}, run_end::done});
    workers.store_changes();
    EXPECT_EQ(workers.cell.state(job_key("large")), job_state::done);
}

// Guards against an end that is listed again and counts for a task that was folded.
TEST(ended_tasks_test, end_that_is_listed_again_changes_nothing)
{
    constexpr std::uint32_t tasks = 64;
    fleet workers(1);
    workers.add_queue("q", 0, 1);
    workers.submit(fleet::job("large", "q", tasks, 1), true);
    for (std::uint32_t task = 0; task + 1 < tasks; ++task)
        workers.cell.restore_end(
            {{{job_key("large"), 0, task}, run_number(1)}, run_end::done});
    workers.cell.restore_end(
        {{{job_key("large"), 0, 3}, run_number(1)}, run_end::failed});
    EXPECT_EQ(workers.cell.state(job_key("large")), job_state::running);
    const decisions decided = workers.decide();
    ASSERT_EQ(decided.starts.size(), 1U);
    EXPECT_EQ(decided.starts[0].run.task.index, tasks - 1);
}

} // namespace
} // namespace hawthornbeam::cell
