/// \file
/// State of the stand-in for the host list, without transport.
#ifndef HAWTHORNBEAM_TEST_STANDINS_HOST_LIST_STATE_HPP
#define HAWTHORNBEAM_TEST_STANDINS_HOST_LIST_STATE_HPP

#include "hawthornbeam/platform/host_list.hpp"

#include <deque>
#include <map>

namespace hawthornbeam::standins
{

/// The hosts, shown as they were a fixed time ago.
class host_list_state
{
public:
    host_list_state(const clock_source& clock, duration lag) : clock_(clock), lag_(lag) {}

    /// Adds or replaces a host; shown after the lag.
    void set(host_entry host);
    /// Marks a host as leaving; shown after the lag.
    void set_leaving(const worker_id& id, bool leaving);
    /// Removes a host; shown after the lag.
    void remove(const worker_id& id);
    /// Shows all changes so far at once.
    void show_all();
    /// The list as it is shown now, ordered by id.
    std::vector<host_entry> shown();

private:
    struct change
    {
        boot_time visible_at;
        worker_id id;
        std::optional<host_entry> host; ///< Absent when the host is removed.
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
