/// \file
/// Reliable delivery of task updates to job owners.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_UPDATE_SENDER_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_UPDATE_SENDER_HPP

#include "lib/instance/context.hpp"

#include <map>
#include <unordered_map>

namespace hawthornbeam
{

/// Keeps the newest update of each task and resends it until its job owner has recorded
/// it. Updates for the same instance are sent in batches.
class update_sender
{
public:
    /// Returns the instance that records the updates of a task; empty while unknown.
    using route = std::function<instance_id(const task_id&)>;
    using recorded = std::function<void(const wire::task_update&)>;

    update_sender(context& shared, route find_owner, recorded on_recorded);

    /// Queues \p update; it replaces an unrecorded update of the same task.
    void send(wire::task_update update);
    /// Discards the pending update of a task.
    void drop(const task_id& task) { pending_.erase(task); }
    std::size_t pending() const { return pending_.size(); }

private:
    struct entry
    {
        wire::task_update update;
        bool in_flight = false;
        /// Changes with each replacement, so that a reply to an older update does not
        /// confirm a newer one.
        std::uint64_t revision = 0;
    };

    void schedule(duration delay);
    void flush();
    void send_batch(const instance_id& to, std::vector<task_id> ids);
    void handle_recorded(const std::vector<std::pair<task_id, std::uint64_t>>& sent,
                         const std::vector<task_id>& confirmed);

    context& shared_;
    route route_;
    recorded recorded_;
    std::unordered_map<task_id, entry> pending_;
    std::uint64_t next_revision_ = 1;
    bool scheduled_ = false;
    timer_handle timer_;
};

} // namespace hawthornbeam

#endif
