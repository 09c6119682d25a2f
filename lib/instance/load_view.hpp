/// \file
/// Summaries of the load at other instances.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_LOAD_VIEW_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_LOAD_VIEW_HPP

#include "hawthornbeam/policy/scheduler.hpp"
#include "lib/instance/context.hpp"

#include <map>

namespace hawthornbeam
{

/// Asks a bounded number of instances for their status each period, in turn.
class load_view
{
public:
    explicit load_view(context& shared);

    void start();
    void on_change(std::function<void()> handler) { changed_ = std::move(handler); }

    /// The last summary of an instance; nullptr when none is known.
    const wire::status_reply* find(const instance_id& id) const;
    /// Sum of the rows of all other instances.
    std::vector<policy::row_usage> remote_usage() const;
    /// Installs this instance's own summary, so that all are chosen alike.
    void set_own(wire::status_reply status);
    void forget_departed();

private:
    void ask_some();

    context& shared_;
    std::function<void()> changed_;
    std::map<instance_id, wire::status_reply> summaries_;
    instance_id last_asked_;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
