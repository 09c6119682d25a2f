/// \file
/// State of the host list stand-in, without transport.
#ifndef HAWTHORNBEAM_TEST_STANDINS_HOST_LIST_STATE_HPP
#define HAWTHORNBEAM_TEST_STANDINS_HOST_LIST_STATE_HPP

#include "hawthornbeam/platform/host_list.hpp"

#include <deque>
#include <map>

namespace hawthornbeam::standins
{

/// A host list whose readers see each change after a fixed lag.
class host_list_state
{
public:
    host_list_state(const clock_source& clock, duration lag) : clock_(clock), lag_(lag) {}

    /// Adds or replaces a host; visible after the lag.
    void set(host_entry host);
    /// Sets whether a host is leaving; visible after the lag.
    void set_leaving(const worker_id& id, bool leaving);
    /// Removes a host; visible after the lag.
    void remove(const worker_id& id);
    /// Makes all pending changes visible at once.
    void show_all();
    /// Returns the visible hosts, ordered by id.
    std::vector<host_entry> shown();

private:
    struct change
    {
        boot_time visible_at;
        worker_id id;
        std::optional<host_entry> host; ///< Empty for a removal.
    };

    void add_change(const worker_id& id, std::optional<host_entry> host);
    void show_oldest();

    const clock_source& clock_;
    duration lag_;
    std::map<worker_id, host_entry> current_;
    std::map<worker_id, host_entry> shown_;
    std::deque<change> pending_;
};

} // namespace hawthornbeam::standins

#endif
