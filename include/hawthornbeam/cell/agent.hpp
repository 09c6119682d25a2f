/// \file
/// Carries out an owner's orders at workers and reports what they answer.
#ifndef HAWTHORNBEAM_CELL_AGENT_HPP
#define HAWTHORNBEAM_CELL_AGENT_HPP

#include "hawthornbeam/cell/ports.hpp"
#include "hawthornbeam/support/event_loop.hpp"
#include "hawthornbeam/support/log.hpp"

#include <memory>

namespace hawthornbeam::cell
{

/// Looks at the workers that the owner assigned to this instance, all the time, and sends
/// starts, stops and questions to the advice service. Answers are collected for some
/// milliseconds and reported together, since each message wakes its receiver.
class agent
{
public:
    using report_sink = std::function<void(fence_token, agent_report)>;

    /// \p max_lease is what a look asks for.
    agent(event_loop& loop, worker_port& port, const logger& log, duration max_lease,
          report_sink sink);
    ~agent();

    /// Carries out orders; those with a lower token than the highest one are dropped.
    /// Assignments of an earlier token end.
    void execute(fence_token token, const agent_commands& commands);
    /// The highest token of an owner so far.
    fence_token token() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::cell

#endif
