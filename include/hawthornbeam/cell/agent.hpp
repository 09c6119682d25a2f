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

/// Polls the workers that the owner assigned to this instance, and sends starts and stops
/// to them and requests to the advice service. Results are batched for some milliseconds,
/// since each message wakes its receiver.
class agent
{
public:
    using report_sink = std::function<void(fence_token, agent_report)>;

    /// Each poll extends the lease of its worker to \p max_lease from then on.
    agent(event_loop& loop, worker_port& port, const logger& log, duration max_lease,
          report_sink sink);
    ~agent();

    /// Executes \p commands unless \p token is lower than the highest token so far. A
    /// higher token removes all earlier assignments and discards unreported results.
    void execute(fence_token token, const agent_commands& commands);
    /// Highest token received from an owner.
    fence_token token() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
