/// \file
/// State of an instance: its roles, timers and the handlers of requests from peers.
#ifndef HAWTHORNBEAM_LIB_INSTANCE_IMPLEMENTATION_HPP
#define HAWTHORNBEAM_LIB_INSTANCE_IMPLEMENTATION_HPP

#include "lib/instance/job_owner.hpp"
#include "lib/instance/loopback_network.hpp"
#include "lib/instance/router.hpp"
#include "lib/instance/slice_owner.hpp"

namespace hawthornbeam
{

/// State of an instance. All roles refer to the shared context.
class instance::implementation
{
public:
    using reply_callback = std::function<void(wire::reply)>;

    implementation(const instance_parts& parts, const instance_options& options);

    void start();
    void settle();
    void members_changed();
    void table_installed(const operators_table& table);
    void fetch_table(const member& from);
    void fetch_missed_table();
    void check_isolation();
    void check_claims();
    void update_gauges();
    void begin_leaving();
    void poll_leaving();
    instance_id job_owner_of(const task_id& task) const;
    bool is_alone() const;
    /// Returns false for an instance that is unknown or marked dead in the member list.
    /// After a network partition the list marks peers as dead until gossip from them
    /// arrives again; this instance's view of its own slices and partitions is out of
    /// date for that time.
    bool is_known_alive(const instance_id& id) const;
    wire::status_reply status(const wire::status_request& request) const;

    /// Records that the process runs, and claims the job partitions again if it was
    /// paused since the last call. After a pause other instances may own the partitions,
    /// and requests from before the pause may still be in the socket buffers.
    void check_for_pause();
    void handle(const instance_id& from, wire::request message, reply_callback answer);
    void on(const instance_id& from, wire::submit_request message, reply_callback answer);
    void on(const instance_id&, const wire::job_query& message, reply_callback answer);
    void on(const instance_id&, const wire::job_list_request& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::cancel_request& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::start_request& message,
            const reply_callback& answer);
    void on(const instance_id& from, const wire::update_request& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::stop_request& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::inventory_request& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::epochs_request& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::table_fetch& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::status_request& message,
            const reply_callback& answer);
    void on(const instance_id&, const wire::drain_request& message,
            const reply_callback& answer);
    /// Rejects the messages of cells, which only the instances of a cell handle.
    template <class CellMessage>
    void on(const instance_id&, const CellMessage&, const reply_callback& answer)
    {
        answer(wire::failure_reply{error_code::invalid_input,
                                   "this instance takes no messages of cells"});
    }
    void on(const instance_id&, const wire::explain_request& message,
            const reply_callback& answer);

    loopback_network network;
    context shared;
    fleet workers;
    load_view loads;
    slice_owner slices;
    job_owner jobs;
    router routes;
    bool started = false;
    bool settled = false;
    bool leaving = false;
    bool leave_announced = false;
    bool slices_released = false;
    bool partitions_released = false;
    boot_time leave_limit{};
    incarnation known_incarnation;
    boot_time last_pause_check{};
    std::function<void()> leave_callback;
    timer_handle settle_timer;
    timer_handle gauges_timer;
    timer_handle pause_check_timer;
    timer_handle leave_timer;
};

} // namespace hawthornbeam

#endif
