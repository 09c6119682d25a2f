/// \file
/// Tasks of a step that take memory only once they change.
#include "lib/cell/task_table.hpp"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace
{

using hawthornbeam::cell::task_table;

class task_table_test : public testing::TestWithParam<std::uint32_t>
{
};

TEST_P(task_table_test, changed_tasks_keep_their_state_and_others_the_initial_one)
{
    const std::uint32_t size = GetParam();
    task_table<std::string> tasks(size, "initial");
    const std::map<std::uint32_t, std::string> changes{
        {size - 1, "last"}, {size / 2, "middle"}, {0, "first"}};
    for (const auto& [index, state] : changes)
        tasks.modify(index) = state;
    std::map<std::uint32_t, std::string> visited;
    tasks.visit_changed(
        [&visited](std::uint32_t index, const std::string& state)
        {
            if (state != "initial")
                visited[index] = state;
        });
    EXPECT_EQ(tasks.size(), size);
    EXPECT_EQ(visited, changes);
    for (std::uint32_t index = 0; index < size; ++index)
        EXPECT_EQ(tasks[index], changes.contains(index) ? changes.at(index) : "initial");
}

// Guards against equal tasks that take memory, and against folding that changes others.
TEST_P(task_table_test, folded_blocks_keep_the_states_of_their_tasks)
{
    const std::uint32_t size = GetParam();
    task_table<std::string> tasks(size, "initial");
    const auto is_equal = [](const std::string& one, const std::string& other)
    { return one == other; };
    for (std::uint32_t index = 0; index < size; ++index)
    {
        tasks.modify(index) = "done";
        tasks.fold(index, is_equal);
    }
    constexpr std::uint32_t tasks_of_a_state = 32;
    EXPECT_EQ(tasks.kept_states(), (size + tasks_of_a_state - 1) / tasks_of_a_state);
    std::uint32_t visited = 0;
    tasks.visit_changed(
        [&visited](std::uint32_t index, const std::string& state)
        {
            EXPECT_EQ(index, visited++);
            EXPECT_EQ(state, "done");
        });
    EXPECT_EQ(visited, size);
    tasks.modify(size / 2) = "changed";
    tasks.fold(size / 2, is_equal);
    for (std::uint32_t index = 0; index < size; ++index)
        EXPECT_EQ(tasks[index], index == size / 2 ? "changed" : "done");
}

INSTANTIATE_TEST_SUITE_P(sizes, task_table_test,
                         testing::Values(1U, 31U, 32U, 33U, 1000U));

// Guards against a step whose unstarted tasks take memory.
TEST(task_table_memory_test, only_tasks_near_changed_ones_are_kept)
{
    task_table<std::string> tasks(4'000'000'000U, "initial");
    tasks.modify(70) = "changed";
    std::size_t kept = 0;
    tasks.visit_changed([&kept](std::uint32_t, const std::string&) { ++kept; });
    EXPECT_LE(kept, 32U);
}

} // namespace
