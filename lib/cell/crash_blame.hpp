/// \file
/// Decides which runs may have caused the crash of their worker, and when a task is given
/// up. Performs no I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_CRASH_BLAME_HPP
#define HAWTHORNBEAM_LIB_CELL_CRASH_BLAME_HPP

#include "hawthornbeam/cell/types.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornbeam::cell
{

/// A run that a crash ended.
struct crashed_run
{
    duration age{};               ///< At the crash.
    double earlier_suspicion = 0; ///< Of the task, from earlier crashes.
};

/// Returns, for each of the runs on a worker that crashed, whether the run caused the
/// crash (`run_end::crashed`), may have caused it (`crash_suspect`) or probably did not
/// (`crash_bystander`). A run is the more suspect the younger it was and the more its
/// task was suspected before. A worker may also crash by itself, or for the same reason
/// as \p other_crashes workers at about the same time.
std::vector<run_end> assign_blame(const std::vector<crashed_run>& runs,
                                  std::size_t other_crashes);

/// The crashes that ended runs of one task.
class crash_record
{
public:
    /// Counts a crash. A run that was older than the proving time survives it first.
    /// \p age is the age of the task's run then; empty when unknown.
    void add(run_end role, std::optional<duration> age);
    /// Records that a run has lasted for \p age. Past the proving time, the former
    /// crashes do not count any more. Returns whether they counted before.
    bool add_survival(duration age);

    /// Returns whether the task is to be given up.
    bool is_conclusive() const;
    /// Returns whether the task should run on a worker that takes no other starts for
    /// the observation time.
    bool is_suspect() const;
    /// Run time after which a run counts as survived.
    duration proving_time() const;
    /// Time for which the worker of a run should take no other starts. It is limited,
    /// however late in their runs the workers crashed.
    duration observation_time() const;
    std::uint32_t crashes() const { return crashes_; }
    /// Zero for a task that is not suspected, 1 after one crash as a suspect.
    double suspicion() const;

private:
    std::uint32_t crashes_ = 0;
    std::uint32_t bystander_crashes_ = 0;
    std::uint32_t blame_ = 0;
    duration longest_age_{};
    std::optional<duration> blamed_age_; ///< At the last crash that it is blamed for.
    bool equal_ages_ = false;            ///< The last two such ages are about equal.
};

} // namespace hawthornbeam::cell

#endif
