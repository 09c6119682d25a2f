/// \file
/// Keeps what an agent has sent to workers, for the next owner of the cell. Performs no
/// I/O.
#ifndef HAWTHORNBEAM_LIB_CELL_CALL_LEDGER_HPP
#define HAWTHORNBEAM_LIB_CELL_CALL_LEDGER_HPP

#include "hawthornbeam/cell/types.hpp"

#include <map>

namespace hawthornbeam::cell
{

/// After this time without a call that can extend its lease, a worker has no runs: the
/// call may have been executed late, and has then set the longest lease.
inline constexpr duration call_retention = std::chrono::seconds(25);

/// A poll that was sent.
struct sent_poll
{
    std::uint64_t position = 0; ///< In the order of the calls and answers of the agent.
    boot_time at{};
};

/// The runs that each worker may have, as its answers and the calls to it show. It holds
/// calls for all owners that have commanded the agent.
class call_ledger
{
public:
    /// Keeps at most \p max_runs runs. With more, calls() is incomplete.
    explicit call_ledger(std::size_t max_runs) : max_runs_(max_runs) {}

    /// Records a start that is sent now.
    void record_start(const worker_id& worker, const run_ref& run, boot_time now);
    void record_start_answer(const worker_id& worker, const run_ref& run,
                             command_outcome outcome);
    /// Records a poll that is sent now.
    sent_poll record_poll(const worker_id& worker, bool extends_lease, boot_time now);
    /// Records the answer to a poll.
    void record_poll_answer(const poll_result& poll, const sent_poll& sent,
                            boot_time now);

    /// Returns the calls that may still have an effect, for a new owner.
    former_calls calls(boot_time now);

private:
    struct known_run
    {
        run_number run;
        boot_time sent_at{};
        /// Position of the latest sign that the worker has begun the run; zero if its
        /// start has no answer.
        std::uint64_t shown_position = 0;
    };
    struct called_worker
    {
        boot_time last_call_at{}; ///< Latest call that can have extended the lease.
        std::map<task_ref, known_run> runs;
    };

    /// Returns the record of a run, unless a newer one of its task is known or there is
    /// no room for it.
    known_run* find_or_add(called_worker& worker, const run_ref& run, boot_time now);
    void record_shown(called_worker& worker, const run_ref& run, std::uint64_t position,
                      boot_time now);
    void remove_old(boot_time now);

    std::size_t max_runs_;
    std::size_t run_count_ = 0;
    std::uint64_t position_ = 0; ///< Calls and answers so far.
    boot_time removed_at_{};     ///< Last time that old records were removed.
    boot_time incomplete_until_ = boot_time::min();
    std::map<worker_id, called_worker> workers_;
};

} // namespace hawthornbeam::cell

#endif
