/// \file
/// Interface for calls to workers and to the advice service.
#ifndef HAWTHORNBEAM_CELL_PORTS_HPP
#define HAWTHORNBEAM_CELL_PORTS_HPP

#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>

namespace hawthornbeam::cell
{

/// A call that extends a worker's lease and reads its runs.
struct poll_call
{
    worker_id worker;
    endpoint address;
    fence_token token;
    end_number acknowledged;                ///< The worker drops run ends up to this one.
    std::optional<worker_time> lease_until; ///< Empty to leave the lease unchanged.
    duration wait{}; ///< Time the worker may wait for a run to end.
};

/// Outcome of a poll. \c poll is valid only if the outcome is \c accepted.
struct poll_answer
{
    command_outcome outcome = command_outcome::accepted;
    poll_result poll;
};

/// Sends polls and commands to workers, and requests to the advice service. Each callback
/// runs once, on the event loop.
class worker_port
{
public:
    virtual ~worker_port() = default;
    virtual void poll(const poll_call& call, std::function<void(poll_answer)> done) = 0;
    virtual void start(const start_command& command, fence_token token,
                       std::function<void(command_outcome)> done) = 0;
    virtual void stop(const stop_command& command, fence_token token,
                      std::function<void(command_outcome)> done) = 0;
    virtual void advise(const advice_command& command, duration timeout,
                        std::function<void(advice_result)> done) = 0;
};

} // namespace hawthornbeam::cell

#endif
