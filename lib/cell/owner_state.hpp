/// \file
/// State of the owner of a cell.
#ifndef HAWTHORNBEAM_LIB_CELL_OWNER_STATE_HPP
#define HAWTHORNBEAM_LIB_CELL_OWNER_STATE_HPP

#include "hawthornbeam/cell/owner.hpp"
#include "stored_form.hpp"

#include <deque>
#include <map>

namespace hawthornbeam::cell
{

/// How often the owner reads from the store what it may not have been told: jobs and
/// cancels of receivers that died after they had stored them.
inline constexpr duration reload_period = std::chrono::milliseconds(1000);

/// An agent that was not heard for this long has its workers taken away.
inline constexpr duration agent_timeout = std::chrono::milliseconds(1500);

/// The store counts as answering an agent when it did so within this time; every instance
/// calls it once a second.
inline constexpr duration store_answer_age = std::chrono::milliseconds(1500);

struct agent_state
{
    bool is_alive(boot_time now) const
    {
        return last_report_at != boot_time() && now - last_report_at <= agent_timeout;
    }
    /// True when it can be given workers and questions.
    bool is_usable(boot_time now) const { return is_alive(now) && !leaving && !broken; }

    /// True when the store answered it lately.
    bool is_served(boot_time now) const
    {
        return now - store_answered_at < store_answer_age;
    }

    endpoint address;
    double share = 1; ///< Of a processor.
    boot_time last_report_at{};
    bool leaving = false;
    boot_time store_answered_at{}; ///< When the store answered it last.
    bool broken = false;           ///< Orders did not reach it.
    duration advice_backlog{};
    std::map<std::pair<job_key, std::uint32_t>, duration> asked;
};

/// Who looks at a worker.
struct worker_route
{
    endpoint address;
    instance_id agent;
    std::uint64_t assignment = 0;
};

class owner::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(const owner_parts& given, fence_token claimed)
        : parts(given), token(claimed), cell(given.limits, given.log, given.metrics)
    {
    }

    void begin();
    void record_lateness();
    void schedule_decision();
    void decide();
    void handle_report(const instance_id& from, wire::cell_report report);
    /// Every job comes in here, whether a receiver reported it or the store shows it, and
    /// meets a cancel that was learned before it.
    void add_job(job_spec job, bool inherited);
    /// Cancels a job, or notes the cancel until the job is known. \p source is logged.
    void cancel(const job_key& job, const char* source);
    void observe(const instance_id& from, const agent_report& report, boot_time now);
    void handle_workers(const std::vector<worker_info>& listed);
    void drop_ended_workers();
    void assign_workers();
    /// Orders that go to the agent of a worker next; nullptr when it has none.
    agent_commands* commands_for(const worker_id& worker);
    void assign(const worker_id& id, worker_route& route, const instance_id& agent);
    command_result ordered_by_polls(command_result result);
    void move_worker(const worker_id& id, worker_route& route);
    boot_time submission_time(const job_spec& job) const;
    void refuse_start(const worker_id& worker, const run_ref& run, boot_time now);
    /// Agents that may take long questions to the advice service.
    std::uint32_t hosts_for_long_advice(boot_time now) const;
    void route_advice(advice_command command, boot_time now);
    void send_commands();
    void broadcast();
    void send_to(const instance_id& id, wire::cell_commands message);
    std::vector<endpoint> served_agents() const;
    std::uint32_t largest_processor_share() const;
    void handle_answer(const instance_id& id,
                       const std::vector<std::pair<worker_id, run_ref>>& starts,
                       const result<fence_token>& answer);

    // Reading and writing of the store (owner_store.cpp).
    void load();
    void read_stored_jobs();
    void handle_listing(const store_listing& listing);
    void handle_item(const store_item& item, std::vector<stored_end>& ends,
                     std::vector<job_key>& cancels);
    void remove_ends_of_ended_jobs();
    void follow();
    void take_changes(const result<store_changes>& answer);
    void move_position(const store_changes& answer);
    void schedule_store();
    void store_now();
    void commit(store_transaction change);
    void handle_commit(const store_transaction& change,
                       const result<store_commit>& answer);
    void finish_batch();
    void remove_outdated(store_transaction& change);

    owner_parts parts;
    fence_token token;
    scheduler cell;
    bool loaded = false;
    bool loading = false;
    boot_time load_began{};
    /// Workers that were listed before the stored jobs were read.
    std::optional<std::vector<worker_info>> early_workers;
    /// Jobs that were reported before.
    std::vector<wire::accepted_job> early_accepted;
    bool stopping = false;
    bool resigned = false;
    std::map<instance_id, agent_state> agents;
    std::map<worker_id, worker_route> routes;
    std::uint64_t last_assignment = 0;
    std::map<instance_id, agent_commands> outbox;
    std::vector<wire::cell_job_state> newly_ended;
    std::set<job_key> cancelled_early; ///< Cancels that came before their jobs.

    // What is being stored.
    bool storing = false;
    pending_changes batch; ///< Under way, or waiting to be stored again.
    std::string batch_key; ///< Key of its ends.
    std::uint64_t last_batch = 0;
    std::map<std::string, std::set<job_key>> ends_records; ///< Jobs of stored ends.
    std::map<job_key, std::set<std::string>> records_of;   ///< Reverse of it.
    std::vector<std::string> outdated;                     ///< Keys to remove.
    std::deque<std::pair<boot_time, job_key>> ended;       ///< Stored final states.
    std::set<worker_id> stored_workers;
    std::set<worker_id> workers_to_store;
    bool workers_changed = false;
    /// The workers that the write under way names.
    std::optional<std::set<worker_id>> workers_in_batch;
    kv_revision followed; ///< Revision up to which changes were read.
    bool following = false;
    duration follow_transfer = watch_times().transfer; ///< Time for the next answer.
    /// Position and time of the first of the answers without changes that came last.
    std::optional<std::pair<kv_revision, boot_time>> unchanged_since;

    boot_time ticked_at{}; ///< Of the decision timer.
    bool decision_due = false;
    bool store_due = false;
    timer_handle early_decision_timer;
    timer_handle store_timer;
    timer_handle read_timer;
    timer_handle decision_timer;
    timer_handle broadcast_timer;
    timer_handle load_timer;
    timer_handle handover_timer;
};

} // namespace hawthornbeam::cell

#endif
