/// \file
/// Agent: executes the commands of an owner at workers and reports the results.
#ifndef HAWTHORNBEAM_CELL_AGENT_HPP
#define HAWTHORNBEAM_CELL_AGENT_HPP

#include "hawthornbeam/cell/ports.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// A worker whose answer is part of a report.
struct polled_worker
{
    worker_id worker;
    std::uint64_t assignment = 0;
};

/// Returns the workers whose answers are in \p report.
std::vector<polled_worker> polled_workers(const agent_report& report);

/// What an agent learns from the owner's answer to its report.
struct report_receipt
{
    /// Workers whose poll results were ignored: another agent polls them now.
    std::vector<worker_id> not_counted;
    /// Time since it was certain that no other instance owns the cell.
    duration unconfirmed{};
    /// Whether the owner has received the agent's calls for former owners.
    bool has_calls = false;
};

/// Polls the workers that the owner assigned to this instance, and sends starts and stops
/// to them and requests to the advice service. Results are batched for some milliseconds,
/// since each message wakes its receiver.
class agent
{
public:
    /// Receives a report and the time of the first observation in it.
    using report_sink =
        std::function<void(fence_token, agent_report, boot_time observed_at)>;

    /// A poll extends the lease of its worker to \p max_lease from then on if the owner
    /// has counted a recent answer of the worker and its claim was confirmed recently.
    agent(event_loop& loop, worker_port& port, const logger& log, duration max_lease,
          report_sink sink);
    ~agent();

    /// Executes \p commands unless \p token is lower than the highest token so far. A
    /// higher token removes all earlier assignments and discards unreported results. The
    /// calls for former owners are then reported until the new owner has received them.
    void execute(fence_token token, const agent_commands& commands);
    /// Handles the receipt of a report that was sent to the owner with \p token at
    /// \p sent and contained answers of \p polled, observed at \p observed_at or later.
    void on_report_received(fence_token token, const report_receipt& receipt,
                            const std::vector<polled_worker>& polled,
                            boot_time observed_at, boot_time sent);
    /// Highest token received from an owner.
    fence_token token() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
