/// \file
/// Load summaries of all instances.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_LOAD_VIEW_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_LOAD_VIEW_HPP

#include "hawthornbeam/policy/scheduler.hpp"
#include "lib/instance/context.hpp"

#include <map>

namespace hawthornbeam
{

/// Requests the status of a bounded number of instances each period, round-robin, and
/// keeps the last summary of each.
class load_view
{
public:
    explicit load_view(context& shared);

    void start();
    void on_change(std::function<void()> handler)
    {
        change_handler_ = std::move(handler);
    }

    /// The last summary of an instance; nullptr when none is known.
    const wire::status_reply* find(const instance_id& id) const;
    /// Row usage summed over all other instances.
    std::vector<policy::row_usage> remote_usage() const;
    /// Stores the summary of this instance, so that find() covers it like any other.
    void set_own(wire::status_reply status);
    void forget_departed();

private:
    void request_summaries();

    context& shared_;
    std::function<void()> change_handler_;
    std::map<instance_id, wire::status_reply> summaries_;
    instance_id last_requested_;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
