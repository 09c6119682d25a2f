/// \file
/// Interfaces through which an instance reaches workers and the advice service.
#ifndef HAWTHORNBEAM_CELL_PORTS_HPP
#define HAWTHORNBEAM_CELL_PORTS_HPP

#include "hawthornbeam/cell/types.hpp"
#include "hawthornbeam/support/result.hpp"

#include <functional>

namespace hawthornbeam::cell
{

/// A call that extends a worker's lease and reads its runs.
struct look_call
{
    worker_id worker;
    endpoint address;
    fence_token token;
    end_number acknowledged; ///< Ends up to it are forgotten by the worker.
    std::optional<worker_time> lease_until; ///< Empty: the lease stays as it is.
    duration wait{};                        ///< How long the worker may wait for an end.
};

/// Answer to a look, or why there is none.
struct look_answer
{
    order_outcome outcome = order_outcome::accepted;
    worker_look look;
};

/// Sends orders to workers. Each callback runs once on the loop.
class worker_port
{
public:
    virtual ~worker_port() = default;
    virtual void look(const look_call& call, std::function<void(look_answer)> done) = 0;
    virtual void start(const start_order& order, fence_token token,
                       std::function<void(order_outcome)> done) = 0;
    virtual void stop(const stop_order& order, fence_token token,
                      std::function<void(order_outcome)> done) = 0;
    virtual void advise(const advice_order& order, duration timeout,
                        std::function<void(advice_result)> done) = 0;
};

} // namespace hawthornbeam::cell

#endif
