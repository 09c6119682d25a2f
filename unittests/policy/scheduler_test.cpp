/// \file
/// Tests of the scheduler through its public interface.
#include "hawthornbeam/policy/scheduler.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::policy
{
namespace
{

// Guards against a scheduler that never starts a task that fits.
TEST(scheduler_test, starts_a_task_that_fits)
{
    scheduler subject({});
    operators_table table;
    table.rows.emplace_back().id = row_id("a/batch");
    subject.set_table(table);
    const resources capacity{millicores(4000), byte_count(1000), accelerator_count(0)};
    subject.add_worker({worker_id("w"), failure_domain_id("d"), rack_id("r"), capacity});
    waiting_task task;
    task.id = task_id{job_id(1, 1), 0, 0};
    task.row = row_id("a/batch");
    task.size = capacity;
    EXPECT_FALSE(subject.enqueue(task, boot_time()).has_value());
    EXPECT_EQ(subject.decide(boot_time(), 10).placements.size(), 1U);
}

} // namespace
} // namespace hawthornbeam::policy
