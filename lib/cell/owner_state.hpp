/// \file
/// Private implementation class of the owner of a cell.
#ifndef HAWTHORNBEAM_LIB_CELL_OWNER_STATE_HPP
#define HAWTHORNBEAM_LIB_CELL_OWNER_STATE_HPP

#include "call_ledger.hpp"
#include "change_writer.hpp"
#include "claim_evidence.hpp"
#include "decision_pacer.hpp"
#include "hawthornbeam/cell/owner.hpp"
#include "stored_form.hpp"

#include <deque>
#include <map>

namespace hawthornbeam::cell
{

/// Period of reads of the store for jobs and cancels that were not reported, because the
/// receiving instance stored them and then crashed.
inline constexpr duration reload_period = std::chrono::milliseconds(1000);

/// The workers of an agent without a report for this long are assigned to other agents.
inline constexpr duration agent_timeout = std::chrono::milliseconds(1500);

/// An agent whose request for advice failed gets no others for this long.
inline constexpr duration failed_advice_pause = std::chrono::milliseconds(1000);

/// An agent counts as having access to the store if the store answered it within this
/// time; every instance calls the store once a second.
inline constexpr duration max_store_answer_age = std::chrono::milliseconds(1500);

/// A request to the advice service that an agent has not answered.
struct advice_in_flight
{
    advice_command command;
    duration expected{}; ///< Expected duration of the request.
    boot_time sent_at{};
};

struct agent_state
{
    bool is_alive(boot_time now) const
    {
        return last_report_at != boot_time() && now - last_report_at <= agent_timeout;
    }
    /// True if workers and advice requests can be assigned to the agent.
    bool is_usable(boot_time now) const
    {
        return is_alive(now) && !leaving && !commands_failed;
    }

    bool has_store_access(boot_time now) const
    {
        return now - store_answered_at < max_store_answer_age;
    }

    endpoint address;
    double processor_share = 1; ///< Processors available to the agent.
    boot_time last_report_at{};
    bool leaving = false;
    boot_time store_answered_at{}; ///< Last answer of the store to the agent.
    bool commands_failed = false; ///< Commands to the agent failed since its last report.
    /// Sum of the expected durations of the requests in flight.
    duration advice_backlog() const
    {
        duration sum{};
        for (const auto& [step, request] : pending_advice)
            sum += request.expected;
        return sum;
    }
    /// Before this time, requests go to other agents if there are any.
    boot_time advice_not_before{};
    /// Advice requests in flight, by job and step.
    std::map<std::pair<job_key, std::uint32_t>, advice_in_flight> pending_advice;
};

/// The agent that polls a worker.
struct worker_route
{
    endpoint address;
    instance_id agent;
    std::uint64_t assignment = 0;
    /// Agents that had the worker before, with the times when it was assigned to others.
    /// They may know of runs that a poll of the present agent has not listed.
    std::map<instance_id, boot_time> previous_agents;
};

class owner::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(const owner_parts& given, fence_token claimed)
        : parts(given), token(claimed), cell(given.limits, given.log, given.metrics),
          writer(given.loop, given.store, given.log, claimed,
                 {[this](const change_batch& batch) { handle_stored(batch); },
                  [this](const std::vector<acknowledge_command>& covered)
                  { acknowledge(covered); },
                  [this](const store_item& item) { return handle_claim(item); }})
    {
    }

    void begin();
    void record_lateness();
    void schedule_decision();
    void decide();
    /// Decides, without regard to the time it takes.
    void decide_now(boot_time now);
    /// The list of workers contains all entries that were stored by this time.
    boot_time workers_confirmed_at(boot_time now) const;
    /// Logs each change between a current list of workers and an old one.
    void check_worker_list(boot_time now);
    report_receipt handle_report(const instance_id& from, wire::cell_report report);
    /// Adds a job, whether it was reported by an instance or read from the store, and
    /// applies a cancel that arrived before it.
    void add_job(job_spec job, bool inherited);
    /// Cancels a job, or keeps the cancel until the job is known. \p source is logged.
    void cancel(const job_key& job, const char* source);
    /// Returns the workers whose poll results were ignored.
    std::vector<worker_id> apply_report(const instance_id& from,
                                        const agent_report& report, boot_time now);
    /// Records whether the sender of a report could claim the cell.
    void record_instance(const instance_id& from, const wire::cell_report& report,
                         boot_time now);
    /// Latest time at which it was certain that no other instance owned the cell.
    boot_time confirmed_at() const;
    /// Returns whether the owner may act at \p now, and logs each change.
    bool check_claim(boot_time now);
    void handle_workers(const std::vector<worker_info>& listed);
    void remove_dropped_workers();
    /// Assigns each worker to an agent, and lets the store name the agents.
    void assign_workers();
    void distribute_workers(boot_time now);
    /// Moves workers from the most loaded agents to the least loaded ones. \p load is
    /// that of each agent.
    void balance_workers(std::map<instance_id, double>& load);
    /// Returns the agents that workers may be assigned to, each with a load of zero.
    std::map<instance_id, double> assignable_agents(boot_time now) const;
    /// Decides which agents the store has to name, and allows starts on the workers of
    /// those that it names.
    void update_stored_agents(boot_time now);
    /// Forgets the agents of former owners once their calls have no effect any more, or
    /// are known and can be stored instead.
    void clear_former_agents(boot_time now);
    /// Takes the worker from its agent, if it has one.
    void unassign(worker_route& route);
    /// Forgets the agents that had the worker before its present one, whose poll has
    /// listed all runs that they may have started.
    static void forget_previous_agents(worker_route& route, const poll_result& poll,
                                       boot_time now);
    bool may_start_on(const worker_id& worker, const worker_route& route) const;
    void allow_workers();
    /// Pending commands to the agent of a worker; nullptr if no agent is assigned.
    agent_commands* commands_for(const worker_id& worker);
    void assign(const worker_id& id, worker_route& route, const instance_id& agent);
    /// Returns \p result with a position that can be compared with the polls of the
    /// worker's current agent.
    command_result ordered_by_polls(command_result result);
    void reassign_worker(const worker_id& id, worker_route& route);
    boot_time submission_time(const job_spec& job) const;
    void record_start_not_sent(const worker_id& worker, const run_ref& run,
                               boot_time now);
    /// Number of agents that may take long advice requests.
    std::uint32_t hosts_for_long_advice(boot_time now) const;
    void route_advice(advice_command command, boot_time now);
    /// Lets the step of a request ask again.
    void refuse_advice(const advice_command& command, boot_time now);
    /// Refuses requests whose answers cannot come any more.
    void refuse_lost_advice(boot_time now);
    void refuse_all_advice(agent_state& agent, boot_time now);
    void acknowledge(const std::vector<acknowledge_command>& covered);
    void send_commands();
    void broadcast();
    void send_to(const instance_id& id, wire::cell_commands message);
    std::vector<endpoint> agents_with_store_access() const;
    std::uint32_t largest_processor_share() const;
    /// The commands of a message that need an answer.
    struct sent_commands
    {
        std::vector<std::pair<worker_id, run_ref>> starts;
        std::vector<std::pair<job_key, std::uint32_t>> advice;
    };
    void handle_answer(const instance_id& id, boot_time sent,
                       const sent_commands& commands, const result<fence_token>& answer);

    // Store access (owner_store.cpp).
    void load();
    void read_stored_jobs();
    void handle_listing(const store_listing& listing);
    /// Returns whether another instance has claimed the cell after this owner.
    bool is_later_claim(const store_item& item) const;
    /// Ends the owner if another instance has made the claim. Returns whether it has.
    bool handle_claim(const store_item& item);
    void handle_term(const store_item& item);
    void handle_queues(const store_item& item);
    /// Reads the policy that a receiver has stored with a job.
    void handle_receiver_policy(const store_item& item);
    /// Removes the policies of receivers that the record of queues contains.
    void remove_receiver_policies();
    void handle_item(const store_item& item, std::vector<stored_end>& ends,
                     std::vector<job_key>& cancels);
    void remove_ends_of_ended_jobs();
    void follow();
    void handle_changes(const result<store_changes>& answer);
    /// Reads the cancels alone, page by page, which succeeds on links that are too slow
    /// for all changes, and releases the jobs that were held for their cancels.
    void read_cancels();
    void handle_cancels(const result<store_listing>& answer);
    void advance_position(const store_changes& answer);
    void schedule_store();
    void store_now();
    void remove_expired_jobs();
    /// Removes the cancels of jobs that were never stored.
    void remove_expired_cancels();
    void handle_stored(const change_batch& batch);
    void record_stored_ends(const change_batch& batch);
    /// Reads the instances that the former owner knew. Those that are not heard count as
    /// silent.
    void handle_instances(const store_item& item);
    /// Reads the workers on which former owners may have started tasks.
    void handle_stored_workers(const store_item& item);
    /// Reads the agents through which former owners may have started tasks.
    void handle_stored_agents(const store_item& item);
    void handle_former_calls(const instance_id& from, const former_calls& calls,
                             boot_time now);
    /// The records that a transaction writes.
    struct written_records
    {
        std::optional<std::set<worker_id>> workers;
        std::optional<std::set<instance_id>> agents;
        bool queues = false;
        bool instances = false;
    };
    /// Returns the instances that a later owner has to hear, this one included.
    std::vector<known_instance> instances_to_store() const;
    /// Writes the records of workers, queues and instances if they have changed.
    void write_records();
    void handle_records_conflict(const std::vector<store_item>& current);
    void handle_records_commit(const written_records& written,
                               const result<store_commit>& answer);

    owner_parts parts;
    fence_token token;
    scheduler cell;
    bool loaded = false;
    bool loading = false;
    boot_time load_started_at{};
    /// Worker list that arrived before the stored jobs were read.
    std::optional<std::vector<worker_info>> early_workers;
    /// Jobs that were reported before the stored jobs were read.
    std::vector<wire::accepted_job> early_jobs;
    /// Calls for former owners that were reported before the stored jobs were read, with
    /// the times of the reports.
    std::map<instance_id, std::pair<boot_time, former_calls>> early_calls;
    boot_time loaded_at{};
    bool stopping = false;
    bool resigned = false;
    std::map<instance_id, agent_state> agents;
    claim_evidence evidence;
    endpoint own_address;        ///< As in the last report of this instance.
    bool claim_confirmed = true; ///< As logged last.
    std::map<worker_id, worker_route> routes;
    std::uint64_t last_assignment = 0;
    std::map<instance_id, agent_commands> outbox;
    std::vector<wire::cell_job_state> newly_ended;
    /// Cancels that arrived before their jobs, and when.
    std::map<job_key, boot_time> early_cancels;

    change_writer writer;
    /// Jobs without a stored final state, by the key of a record of run ends.
    std::map<std::string, std::set<job_key>> jobs_by_ends_key;
    /// Keys of the records with run ends of a job.
    std::map<job_key, std::set<std::string>> ends_keys_by_job;
    /// Jobs with a stored final state and the time when it was stored or read.
    std::deque<std::pair<boot_time, job_key>> stored_final_jobs;
    std::set<worker_id> stored_workers;
    std::set<worker_id> workers_to_store;
    bool workers_changed = false;
    /// Agents of former owners, until their calls are stored or have no effect any more.
    std::set<instance_id> former_agents;
    std::set<instance_id> stored_agents;
    std::set<instance_id> agents_to_store;
    /// Whether the agents of former owners are known. If not, a successor has to wait as
    /// well, until all expected workers are settled.
    bool former_agents_known = false;
    std::vector<worker_calls> calls_to_store; ///< Of agents that were named before.
    bool agents_changed = false;
    bool queues_changed = true;              ///< Since they were stored.
    std::set<std::string> receiver_policies; ///< Keys that were read and not removed.
    bool instances_changed = false;
    bool writing_records = false;
    bool records_retry_due = false; ///< The last write failed.
    /// Revisions of the records; zero if there is none.
    kv_revision workers_revision;
    kv_revision agents_revision;
    kv_revision queues_revision;
    kv_revision instances_revision;
    kv_revision followed_revision; ///< Changes up to this revision have been read.
    bool following = false;
    bool reading_cancels = false;
    /// Transfer timeout of the next watch.
    duration follow_transfer = watch_times().transfer;
    /// Revision and time of the first in the current series of answers without changes.
    std::optional<std::pair<kv_revision, boot_time>> unchanged_since;

    decision_pacer pacer;
    bool worker_list_is_old = false; ///< As logged last.
    boot_time last_decision_tick{};  ///< Last run of the decision timer.
    bool decision_due = false;
    bool store_due = false;
    timer_handle early_decision_timer;
    timer_handle store_timer;
    timer_handle records_timer;
    timer_handle read_timer;
    timer_handle decision_timer;
    timer_handle broadcast_timer;
    timer_handle load_timer;
    timer_handle handover_timer;
};

} // namespace hawthornbeam::cell

#endif
