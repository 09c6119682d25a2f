#include "hawthornbeam/cell/owner.hpp"

#include "fleet.hpp"
#include "hawthornbeam/wire/peer_network.hpp"
#include "late_store.hpp"
#include "lib/cell/stored_form.hpp"
#include "memory_store.hpp"

#include <algorithm>

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t first_token = 2;

/// A directory whose list of workers the test sets.
class manual_worker_directory final : public worker_directory
{
public:
    explicit manual_worker_directory(const clock_source& source) : clock(source) {}

    void start(std::function<void(const std::vector<worker_info>&)> handler) override
    {
        changed_handler = std::move(handler);
        changed_handler(workers);
    }
    void stop() override { changed_handler = nullptr; }
    boot_time current_until() const override { return frozen_at.value_or(clock.now()); }

    const clock_source& clock;
    std::optional<boot_time> frozen_at; ///< Set: no later changes arrive.
    std::vector<worker_info> workers;
    std::function<void(const std::vector<worker_info>&)> changed_handler;
};

class owner_test : public testing::Test
{
protected:
    owner_test()
    {
        worker_info worker;
        worker.id = worker_id("w");
        worker.address = endpoint("10.0.0.1:1");
        worker.service = service_name("pool");
        worker.incarnation = worker_incarnation(7);
        worker.capacity = resources{millicores(8000), byte_count(0), accelerator_count()};
        directory.workers = {worker};
        state.revision = first_token;
        state.put("cell/owner", "", lease_id());
    }
    void configure()
    {
        queue_policy queue;
        queue.name = queue_name("q");
        queue.service = service_name("pool");
        queue.attempts = 3;
        cell->configure({queue});
    }
    std::unique_ptr<owner> make_owner()
    {
        return std::make_unique<owner>(
            owner_parts{
                loop, observed, directory, log, metrics, scheduler_limits(),
                instance_id("self"), std::chrono::minutes(5),
                [this](const endpoint& agent, wire::cell_commands message,
                       const std::function<void(result<fence_token>)>& done)
                {
                    sent.emplace_back(agent, std::move(message));
                    if (unreachable_agents.contains(agent))
                        done(make_error(error_code::outcome_unknown, "no answer"));
                    else if (!silent_agents.contains(agent))
                        done(current_token);
                },
                [this](fence_token higher) { superseding_tokens.push_back(higher); },
                [this]
                {
                    loop.skip(decision_delay);
                    delayed += decision_delay;
                    return store_confirmed_at.value_or(loop.clock().now());
                },
                [this] { return store_fails; }},
            fence_token(first_token));
    }
    void start()
    {
        configure();
        cell->start();
        report("a");
        loop.advance(milliseconds(200));
    }
    void report(const std::string& agent, agent_report observed = {},
                std::vector<wire::accepted_job> accepted = {})
    {
        wire::cell_report message;
        message.token = current_token;
        message.address = endpoint(agent);
        message.share = 250;
        message.store_unanswered_ms = store_unanswered_ms;
        message.report = std::move(observed);
        message.accepted = std::move(accepted);
        cell->handle_report(instance_id(agent), std::move(message));
    }
    poll_result poll(event_position sent_position) const
    {
        poll_result polled;
        polled.worker = worker_id("w");
        polled.sent_position = sent_position;
        polled.incarnation = worker_incarnation(7);
        return polled;
    }
    static agent_report report_with(poll_result poll)
    {
        agent_report observed;
        observed.polls.push_back(std::move(poll));
        return observed;
    }
    /// The number of the latest assignment that the owner sent.
    std::uint64_t latest_assignment() const
    {
        std::uint64_t latest = 0;
        for (const auto& [agent, message] : sent)
            for (const assign_command& command : message.commands.assignments)
                if (command.assigned)
                    latest = std::max(latest, command.assignment);
        return latest;
    }
    /// How often agents were told to poll a worker no more.
    std::size_t unassigned_workers() const
    {
        std::size_t count = 0;
        for (const auto& [agent, message] : sent)
            for (const assign_command& command : message.commands.assignments)
                count += command.assigned ? 0U : 1U;
        return count;
    }
    std::vector<start_command> sent_starts() const
    {
        std::vector<start_command> all;
        for (const auto& [agent, message] : sent)
            all.insert(all.end(), message.commands.starts.begin(),
                       message.commands.starts.end());
        return all;
    }
    end_number last_acknowledged() const
    {
        end_number last;
        for (const auto& [agent, message] : sent)
            for (const acknowledge_command& command : message.commands.acknowledgements)
                last = std::max(last, command.last);
        return last;
    }
    std::set<worker_id> stored_workers() const
    {
        const result<std::vector<worker_id>> stored =
            decode_workers(state.items.at("cell/workers").value);
        return {stored.value().begin(), stored.value().end()};
    }
    std::set<instance_id> stored_agents() const
    {
        const result<agents_record> stored =
            decode_agents(state.items.at("cell/agents").value);
        return {stored.value().agents.begin(), stored.value().agents.end()};
    }
    void drop_history()
    {
        ++state.revision;
        state.put("cell/other", "", lease_id());
        state.forget_history();
    }
    void advance_to_next_read()
    {
        const std::size_t before = state.lists;
        for (int step = 0; step < 2000 && state.lists == before; ++step)
            loop.advance(milliseconds(1));
    }
    void submit(const std::string& id)
    {
        report("a", {}, {{fleet::job(id, "q", 1, 1), true}});
        loop.advance(milliseconds(50));
    }

    /// Adds so many changes that a link of 500 ms for ten takes longer than any watch.
    void put_many_ends()
    {
        for (int record = 0; record < 70; ++record)
        {
            ++state.revision;
            state.put("cell/ends/1-" + std::to_string(record),
                      encode(std::vector<stored_end>()), lease_id());
        }
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    metrics_registry metrics;
    memory_store_state state{loop};
    memory_store store{state};
    late_store observed{store};
    manual_worker_directory directory{loop.clock()};
    std::vector<std::pair<endpoint, wire::cell_commands>> sent;
    std::vector<fence_token> superseding_tokens;
    std::optional<boot_time> store_confirmed_at; ///< Empty: at any time.
    std::uint32_t store_unanswered_ms = 0;       ///< As agents report it.
    bool store_fails = false;                    ///< The store does not answer this host.
    duration decision_delay{};                   ///< Time that a decision takes twice.
    duration delayed{};                          ///< Time that decisions have taken.
    std::set<endpoint> silent_agents;            ///< Do not answer commands.
    std::set<endpoint> unreachable_agents;       ///< Commands to them fail.
    fence_token current_token{first_token};
    std::unique_ptr<owner> cell = make_owner();
};

// Guards against an owner in an island that goes on while another instance may have
// claimed the cell.
TEST_F(owner_test, slow_decisions_leave_time_for_other_work)
{
    start();
    const boot_time begin = loop.clock().now();
    for (int step = 0; step < 100; ++step)
    {
        report("a");
        decision_delay = milliseconds(20);
        loop.advance(milliseconds(10));
        decision_delay = duration::zero();
    }
    const duration elapsed = loop.clock().now() - begin;
    EXPECT_GT(delayed, duration::zero());
    EXPECT_LE(delayed, elapsed * 6 / 10);
}

TEST_F(owner_test, starts_nothing_while_an_instance_may_have_claimed_the_cell)
{
    start();
    report("b");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    store_confirmed_at = loop.clock().now();
    silent_agents = {endpoint("b")};
    for (int tenths = 0; tenths < 66; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 2})));
        report("b");
        loop.advance(milliseconds(100));
    }
    submit("late");
    EXPECT_TRUE(sent_starts().empty());
    silent_agents.clear();
    report("b");
    loop.advance(seconds(1));
    report("a", report_with(poll({latest_assignment(), 3})));
    loop.advance(milliseconds(200));
    EXPECT_EQ(sent_starts().size(), 1U) << "all instances have answered";
}

/// What an owner can know about the workers after their list has stopped changing.
struct old_list
{
    const char* name;
    bool store_answers_owner;
    bool store_answers_others;
    std::size_t starts;
};

void PrintTo(const old_list& value, std::ostream* out)
{
    *out << value.name;
}

class old_worker_list_test : public owner_test,
                             public testing::WithParamInterface<old_list>
{
};

TEST_P(old_worker_list_test, workers_that_may_be_draining_get_no_starts)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    directory.frozen_at = loop.clock().now();
    store_fails = !GetParam().store_answers_owner;
    store_unanswered_ms = GetParam().store_answers_others ? 0 : 2000;
    for (int tenths = 0; tenths < 18; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 2})));
        loop.advance(milliseconds(100));
    }
    submit("late");
    EXPECT_EQ(sent_starts().size(), GetParam().starts);
    directory.frozen_at.reset();
    report("a", report_with(poll({latest_assignment(), 3})));
    loop.advance(milliseconds(200));
    EXPECT_EQ(sent_starts().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    lists, old_worker_list_test,
    testing::Values(old_list{"changes_are_handled_late", true, true, 0},
                    old_list{"store_turns_the_owner_away", false, true, 0},
                    old_list{"store_answers_nobody", false, false, 1}),
    [](const testing::TestParamInfo<old_list>& each)
    { return std::string(each.param.name); });

// Guards against an owner that is confirmed by those instances alone which are cut off
// with it.
TEST_F(owner_test, instance_that_only_the_former_owner_has_heard_counts_as_silent)
{
    ++state.revision;
    state.put(
        "cell/instances",
        encode(std::vector<known_instance>{{instance_id("b"), endpoint("b")},
                                           {instance_id("a0"), endpoint("a")},
                                           {instance_id("self0"), endpoint("self")}}),
        lease_id());
    start();
    report("self");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    store_confirmed_at = loop.clock().now();
    for (int tenths = 0; tenths < 66; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 2})));
        loop.advance(milliseconds(100));
    }
    submit("late");
    EXPECT_TRUE(sent_starts().empty());
    report("b");
    loop.advance(seconds(1));
    report("a", report_with(poll({latest_assignment(), 3})));
    loop.advance(milliseconds(200));
    EXPECT_EQ(sent_starts().size(), 1U) << "earlier processes at a and here have ended";
}

TEST_F(owner_test, instances_are_stored_for_the_next_owner)
{
    start();
    report("b");
    loop.advance(milliseconds(500));
    const result<std::vector<known_instance>> stored =
        decode_instances(state.items.at("cell/instances").value);
    ASSERT_TRUE(stored);
    EXPECT_EQ(stored.value().size(), 2U);
}

// Guards against a next owner that counts leases as ended while this host, unheard, has
// claimed the cell again and extends them.
TEST_F(owner_test, instances_stored_for_the_next_owner_include_this_one)
{
    start();
    report("self");
    loop.advance(milliseconds(500));
    const result<std::vector<known_instance>> stored =
        decode_instances(state.items.at("cell/instances").value);
    ASSERT_TRUE(stored);
    EXPECT_TRUE(std::ranges::any_of(
        stored.value(), [](const known_instance& each)
        { return each.id == instance_id("self") && each.address == endpoint("self"); }));
}

// Guards against tasks that wait in an outage of the store although their runs would end
// before a successor could start them.
TEST_F(owner_test, starts_tasks_that_end_with_their_lease_before_a_successor_acts)
{
    start();
    report("b");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    store_confirmed_at = loop.clock().now();
    silent_agents = {endpoint("b")};
    for (int tenths = 0; tenths < 60; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 2})));
        report("b");
        loop.advance(milliseconds(100));
    }
    submit("a");
    EXPECT_EQ(sent_starts().size(), 1U);
}

// Guards against an outage of the store that keeps running work from being scheduled.
TEST_F(owner_test, starts_tasks_in_a_store_outage_while_all_instances_answer)
{
    start();
    report("b");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    store_confirmed_at = loop.clock().now();
    for (int tenths = 0; tenths < 80; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 2})));
        report("b");
        loop.advance(milliseconds(100));
    }
    submit("a");
    EXPECT_EQ(sent_starts().size(), 1U);
}

class missed_claim_test : public owner_test,
                          public testing::WithParamInterface<const char*>
{
};

// Guards against an owner that reads jobs which a later owner has accepted: both would
// start them.
TEST_P(missed_claim_test, jobs_are_not_read_after_a_later_claim)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    ++state.revision;
    state.put(GetParam(), encode(owner_record{instance_id("other"), endpoint("o:1")}),
              lease_id());
    ++state.revision;
    state.put("cell/job/later",
              encode(job_record{job_state::queued, fleet::job("later", "q", 1, 1), 0}),
              lease_id());
    drop_history();
    for (int tenths = 0; tenths < 20; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 2})));
        loop.advance(milliseconds(100));
    }
    EXPECT_FALSE(superseding_tokens.empty());
    EXPECT_TRUE(sent_starts().empty());
}

// Guards against a takeover, in which all inherited tasks wait, when the store shows an
// owner that it has continued its claim before the answer to that write arrives.
TEST_P(missed_claim_test, own_continued_claim_does_not_supersede_the_owner)
{
    start();
    submit("a");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    ASSERT_EQ(sent_starts().size(), 1U);
    ++state.revision;
    state.put(GetParam(), encode(owner_record{instance_id("self"), endpoint("self:1")}),
              lease_id());
    poll_result ended = poll({latest_assignment(), 2});
    ended.ended.push_back(
        {end_number(1), sent_starts()[0].run, run_end::done, checkpoint()});
    report("a", report_with(ended));
    loop.advance(milliseconds(1500));
    EXPECT_TRUE(superseding_tokens.empty());
}

INSTANTIATE_TEST_SUITE_P(keys, missed_claim_test,
                         testing::Values("cell/owner", "cell/owner-last"));

// Guards against an agent that extends leases for a worker that was given to another one.
TEST_F(owner_test, receipt_names_the_workers_whose_answers_are_not_counted)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    wire::cell_report message;
    message.token = fence_token(first_token);
    message.address = endpoint("a");
    message.share = 250;
    message.report = report_with(poll({latest_assignment(), 2}));
    EXPECT_TRUE(cell->handle_report(instance_id("a"), message).not_counted.empty());
    message.report = report_with(poll({latest_assignment() - 1, 3}));
    EXPECT_EQ(cell->handle_report(instance_id("a"), message).not_counted,
              std::vector<worker_id>{worker_id("w")});
}

TEST_F(owner_test, job_starts_only_on_a_polled_and_stored_worker)
{
    start();
    submit("a");
    EXPECT_TRUE(sent_starts().empty());
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    EXPECT_TRUE(state.items.contains("cell/workers"));
    ASSERT_EQ(sent_starts().size(), 1U);
    EXPECT_EQ(sent_starts()[0].worker.value(), "w");
}

// Guards against a successor that does not know through which agents tasks were started.
TEST_F(owner_test, task_starts_only_through_an_agent_that_the_store_names)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    EXPECT_EQ(stored_agents(), std::set<instance_id>{instance_id("a")});
    // "a" falls silent, and the store refuses to name "b".
    store.condition = store_condition::refusing;
    for (int tenths = 0; tenths < 20; ++tenths)
    {
        report("b", report_with(poll({latest_assignment(), 2})));
        loop.advance(milliseconds(100));
    }
    report("b", report_with(poll({latest_assignment(), 2})),
           {{fleet::job("x", "q", 1, 1), true}});
    loop.advance(milliseconds(500));
    EXPECT_TRUE(sent_starts().empty());
    store.condition = store_condition::well;
    for (int tenths = 0; tenths < 10; ++tenths)
    {
        report("b", report_with(poll({latest_assignment(), 3})));
        loop.advance(milliseconds(100));
    }
    EXPECT_EQ(stored_agents(),
              (std::set<instance_id>{instance_id("a"), instance_id("b")}));
    EXPECT_EQ(sent_starts().size(), 1U);
}

// Guards against records that name lost agents for ever.
TEST_F(owner_test, agent_without_workers_is_named_while_its_calls_may_have_an_effect)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    // The worker is assigned to "b" 1.5 s after the last report of "a".
    for (int tenths = 0; tenths < 150; ++tenths)
    {
        report("b", report_with(poll({latest_assignment(), 2})));
        loop.advance(milliseconds(100));
    }
    EXPECT_TRUE(stored_agents().contains(instance_id("a")));
    for (int tenths = 0; tenths < 15; ++tenths)
    {
        report("b", report_with(poll({latest_assignment(), 3})));
        loop.advance(milliseconds(100));
    }
    EXPECT_EQ(stored_agents(), std::set<instance_id>{instance_id("b")});
}

// Guards against a second takeover that does not know the calls of an agent which the
// first one has heard.
TEST_F(owner_test, former_calls_are_stored_before_their_agent_is_named_no_more)
{
    state.put("cell/workers",
              encode(std::vector<worker_id>{worker_id("silent"), worker_id("w")}),
              lease_id());
    state.put("cell/agents", encode(agents_record{true, {instance_id("a")}, {}}),
              lease_id());
    configure();
    cell->start();
    agent_report observed;
    observed.calls =
        former_calls{true, {{worker_id("silent"), 0, {{job_key("x"), 0, 0}}}}};
    report("a", observed);
    loop.advance(milliseconds(2000));
    const result<agents_record> stored =
        decode_agents(state.items.at("cell/agents").value);
    ASSERT_EQ(stored.value().calls.size(), 1U);
    EXPECT_EQ(stored.value().calls[0].worker, worker_id("silent"));
    EXPECT_EQ(stored.value().calls[0].tasks,
              (std::vector<task_ref>{{job_key("x"), 0, 0}}));

    cell = make_owner();
    sent.clear();
    configure();
    job_record record;
    record.job = fleet::job("x", "q", 1, 1);
    state.put("cell/job/x", encode(record), lease_id());
    cell->start();
    for (int tenths = 0; tenths < 100; ++tenths)
    {
        agent_report later = report_with(poll({latest_assignment(), 1}));
        later.calls = former_calls{true, {}};
        report("a", later);
        loop.advance(milliseconds(100));
    }
    EXPECT_TRUE(sent_starts().empty());
    for (int tenths = 0; tenths < 20; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 1})));
        loop.advance(milliseconds(100));
    }
    EXPECT_EQ(sent_starts().size(), 1U);
}

// Guards against a worker that gets no tasks any more because its entry was away for a
// moment.
TEST_F(owner_test, worker_whose_entry_returns_gets_tasks)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(390));
    const std::vector<worker_info> listed = std::exchange(directory.workers, {});
    directory.changed_handler(directory.workers);
    loop.advance(milliseconds(200));
    directory.workers = listed;
    directory.changed_handler(directory.workers);
    for (int tenths = 0; tenths < 10; ++tenths)
    {
        report("a", report_with(poll({latest_assignment(), 2})));
        loop.advance(milliseconds(100));
    }
    submit("x");
    EXPECT_EQ(sent_starts().size(), 1U);
}

// Guards against a second takeover that takes the agents of one owner for those of all.
TEST_F(owner_test, record_of_agents_is_incomplete_while_earlier_ones_are_unknown)
{
    state.put("cell/workers",
              encode(std::vector<worker_id>{worker_id("silent"), worker_id("w")}),
              lease_id());
    start();
    const std::function<void(int)> pass_tenths = [this](int tenths)
    {
        for (int tenth = 0; tenth < tenths; ++tenth)
        {
            report("a", report_with(poll({latest_assignment(), 1})));
            loop.advance(milliseconds(100));
        }
    };
    pass_tenths(20);
    EXPECT_FALSE(decode_agents(state.items.at("cell/agents").value).value().complete);
    pass_tenths(120);
    EXPECT_TRUE(decode_agents(state.items.at("cell/agents").value).value().complete);
}

// Guards against an agent that has to poll all workers for seconds because it was the
// first one to report to a new owner.
TEST_F(owner_test, agents_that_report_later_get_their_share_of_the_workers_at_once)
{
    const worker_info first = directory.workers[0];
    for (int number = 1; number < 12; ++number)
    {
        directory.workers.push_back(first);
        directory.workers.back().id = worker_id("w" + std::to_string(number));
    }
    start();
    report("b");
    report("c");
    loop.advance(milliseconds(500));
    std::map<worker_id, endpoint> agent_of;
    for (const auto& [agent, message] : sent)
        for (const assign_command& command : message.commands.assignments)
            if (command.assigned)
                agent_of[command.worker] = agent;
    std::map<endpoint, std::size_t> workers_of;
    for (const auto& [worker, agent] : agent_of)
        ++workers_of[agent];
    EXPECT_EQ(workers_of.size(), 3U);
    for (const auto& [agent, count] : workers_of)
        EXPECT_LE(count, 5U) << agent.value();
}

class late_result_test : public owner_test
{
protected:
    /// Starts a task on "w" by way of "a", and lets the owner stop it because the start
    /// gets no answer.
    void stop_unanswered_start()
    {
        start();
        report("a", report_with(poll({latest_assignment(), 1})));
        loop.advance(milliseconds(500));
        submit("x");
        ASSERT_EQ(sent_starts().size(), 1U);
        for (int tenths = 0; tenths < 15; ++tenths)
        {
            report("a", report_with(poll({latest_assignment(), 2})));
            loop.advance(milliseconds(100));
        }
    }
    /// Lets "a", which has the worker no more, report the answer to the stop.
    void answer_stop()
    {
        agent_report observed;
        command_result& stopped = observed.results.emplace_back();
        stopped.worker = worker_id("w");
        stopped.run = sent_starts().front().run;
        stopped.stop = true;
        report("a", observed);
    }
    /// Lets this agent poll the worker, which shows no run.
    void poll_by(const std::string& agent, int tenths)
    {
        for (int tenth = 0; tenth < tenths; ++tenth)
        {
            report(agent, report_with(poll({latest_assignment(), 3})));
            loop.advance(milliseconds(100));
        }
    }
};

// Guards against a task that never starts again because its stop was answered while the
// worker had no agent, so that no poll seemed to be newer than the answer.
TEST_F(late_result_test, stop_answered_without_an_agent_releases_the_task)
{
    stop_unanswered_start();
    loop.advance(seconds(2));
    directory.workers[0].address = endpoint("10.0.0.2:1");
    directory.changed_handler(directory.workers);
    answer_stop();
    poll_by("a", 10);
    EXPECT_EQ(sent_starts().size(), 2U);
}

// Guards against taking a worker from its agent when the former one answers late.
TEST_F(late_result_test, answer_of_a_former_agent_leaves_the_worker_with_its_agent)
{
    stop_unanswered_start();
    poll_by("b", 20);
    answer_stop();
    sent.clear();
    loop.advance(milliseconds(20));
    ASSERT_FALSE(sent.empty());
    EXPECT_EQ(sent.front().first, endpoint("b"));
    ASSERT_EQ(sent.front().second.commands.assignments.size(), 1U);
    EXPECT_TRUE(sent.front().second.commands.assignments[0].assigned);
}

/// What the agents of the former owner report, beside a worker that nobody reaches.
struct takeover_case
{
    const char* name;
    std::vector<std::string> reporting_agents;
    std::string running_job; ///< May run on the silent worker, as agent "a" reports.
    std::size_t starts;      ///< In the first second.
};

class former_agents_test : public owner_test,
                           public testing::WithParamInterface<takeover_case>
{
};

// Guards against inherited jobs that all wait for one silent worker, and against starting
// one that it may run.
TEST_P(former_agents_test, inherited_job_starts_once_they_have_reported_other_calls_only)
{
    job_record record;
    record.job = fleet::job("x", "q", 1, 1);
    state.put("cell/job/x", encode(record), lease_id());
    state.put("cell/workers",
              encode(std::vector<worker_id>{worker_id("silent"), worker_id("w")}),
              lease_id());
    state.put("cell/agents",
              encode(agents_record{true, {instance_id("a"), instance_id("b")}, {}}),
              lease_id());
    configure();
    cell->start();
    for (int tenths = 0; tenths < 10; ++tenths)
    {
        for (const std::string& agent : GetParam().reporting_agents)
        {
            agent_report observed = report_with(poll({latest_assignment(), 1}));
            observed.calls = former_calls{true, {}};
            if (agent == "a")
                observed.calls->workers.push_back(
                    {worker_id("silent"), 0, {{job_key(GetParam().running_job), 0, 0}}});
            report(agent, observed);
        }
        loop.advance(milliseconds(100));
    }
    EXPECT_EQ(sent_starts().size(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    agents, former_agents_test,
    testing::Values(takeover_case{"task_of_another_job", {"a", "b"}, "y", 1},
                    takeover_case{"task_of_the_job", {"a", "b"}, "x", 0},
                    takeover_case{"one_is_silent", {"a"}, "y", 0},
                    takeover_case{"one_has_restarted", {"a", "b2"}, "y", 0}),
    [](const testing::TestParamInfo<takeover_case>& each)
    { return std::string(each.param.name); });

// A run that only a late poll by the former agent shows must not count as ended because
// the poll by the current agent, which was sent before the run started, does not show it.
TEST_F(owner_test, polls_of_two_agents_are_not_compared)
{
    start();
    submit("a");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(sent_starts().size(), 1U);
    const std::uint64_t former = latest_assignment();
    // Agent "a" sends no more reports; the worker is assigned to "b", which polls it.
    for (int round = 0; round < 6; ++round)
    {
        report("b");
        loop.advance(milliseconds(400));
    }
    const std::uint64_t present = latest_assignment();
    ASSERT_GT(present, former);
    poll_result late = poll({former, 5});
    late.running.push_back({sent_starts()[0].run, checkpoint(), 1});
    report("a", report_with(late));
    report("b", report_with(poll({present, 1})));
    loop.advance(milliseconds(50));
    EXPECT_EQ(sent_starts().size(), 1U);
}

TEST_F(owner_test, run_end_is_acknowledged_only_after_it_is_stored)
{
    start();
    submit("a");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(sent_starts().size(), 1U);
    store.condition = store_condition::refusing;
    poll_result ended = poll({latest_assignment(), 2});
    ended.ended.push_back(
        {end_number(1), sent_starts()[0].run, run_end::done, checkpoint()});
    report("a", report_with(ended));
    loop.advance(milliseconds(700));
    EXPECT_EQ(last_acknowledged(), end_number());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::running);
    store.condition = store_condition::well;
    loop.advance(milliseconds(700));
    EXPECT_EQ(last_acknowledged(), end_number(1));
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::done);
}

TEST_F(owner_test, superseded_owner_writes_nothing)
{
    start();
    submit("a");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    ++state.revision;
    state.put("cell/owner", "another", lease_id());
    poll_result ended = poll({latest_assignment(), 2});
    ended.ended.push_back(
        {end_number(1), sent_starts()[0].run, run_end::done, checkpoint()});
    report("a", report_with(ended));
    loop.advance(milliseconds(500));
    EXPECT_FALSE(superseding_tokens.empty());
    EXPECT_FALSE(state.items.contains("cell/job/a"));
    EXPECT_EQ(last_acknowledged(), end_number());
}

// A receiver whose report of a job was delayed may send it to a new owner before that
// owner has read from the store that the job ended under the former owner.
TEST_F(owner_test, ended_job_reported_before_the_store_was_read_does_not_run)
{
    job_record ended;
    ended.state = job_state::done;
    state.put("cell/job/a", encode(ended), lease_id());
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    cell->start();
    report("a", {}, {{fleet::job("a", "q", 1, 1), false}});
    loop.advance(milliseconds(200));
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(seconds(1));
    EXPECT_TRUE(sent_starts().empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::done);
}

// A listing reads cancels before jobs, so it can miss the cancel of a job that it
// contains.
TEST_F(owner_test, job_cancelled_before_it_was_read_does_not_start)
{
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    state.put("cell/job/a", encode(record), lease_id());
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    configure();
    cell->start();
    wire::cell_report cancelling;
    cancelling.token = fence_token(first_token);
    cancelling.address = endpoint("a");
    cancelling.cancelled = {job_key("a")};
    cell->handle_report(instance_id("a"), cancelling);
    loop.advance(milliseconds(200));
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(seconds(1));
    EXPECT_TRUE(sent_starts().empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// Guards against starts on a worker that the record of workers does not name: a successor
// would not wait for its lease.
TEST_F(owner_test, late_write_does_not_remove_a_worker_from_the_store)
{
    start();
    loop.advance(milliseconds(500));
    worker_info second = directory.workers[0];
    second.id = worker_id("w2");
    observed.late_key = "cell/workers";
    directory.changed_handler({directory.workers[0], second});
    loop.advance(milliseconds(100));
    ASSERT_EQ(observed.late.size(), 1U);
    worker_info third = second;
    third.id = worker_id("w3");
    directory.workers.push_back(second);
    directory.workers.push_back(third);
    observed.late_key.clear();
    directory.changed_handler(directory.workers);
    loop.advance(seconds(1));
    ASSERT_EQ(stored_workers().size(), 3U);
    observed.execute_late();
    loop.advance(milliseconds(100));
    EXPECT_EQ(stored_workers().size(), 3U);
}

// Guards against an owner that writes to a store without a pause while it is refused.
TEST_F(owner_test, refused_records_are_written_again_after_a_pause)
{
    start();
    loop.advance(milliseconds(500));
    worker_info second = directory.workers[0];
    second.id = worker_id("w2");
    directory.workers.push_back(second);
    observed.late_key = "cell/workers";
    directory.changed_handler(directory.workers);
    for (int round = 0; round < 100; ++round)
    {
        report("a");
        loop.advance(milliseconds(10));
    }
    EXPECT_GE(observed.late.size(), 3U);
    EXPECT_LE(observed.late.size(), 5U);
}

// The store may have executed a write whose answer was lost.
TEST_F(owner_test, workers_are_stored_after_an_answer_was_lost)
{
    start();
    loop.advance(milliseconds(500));
    worker_info second = directory.workers[0];
    second.id = worker_id("w2");
    directory.workers.push_back(second);
    observed.late_key = "cell/workers";
    directory.changed_handler(directory.workers);
    loop.advance(milliseconds(100));
    observed.late_key.clear();
    observed.execute_late();
    worker_info third = second;
    third.id = worker_id("w3");
    directory.workers.push_back(third);
    directory.changed_handler(directory.workers);
    loop.advance(seconds(1));
    EXPECT_EQ(stored_workers().size(), 3U);
}

// Guards against jobs that fail by a default policy because their queue was removed from
// the configuration before the owner started.
TEST_F(owner_test, job_of_a_removed_queue_keeps_the_policy_of_the_former_owner)
{
    start();
    loop.advance(milliseconds(500));
    ASSERT_TRUE(state.items.contains("cell/queues"));
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    state.put("cell/job/a", encode(record), lease_id());
    state.put("cell/ends/1-1",
              encode(std::vector<stored_end>{
                  {{{job_key("a"), 0, 0}, run_number(1)}, run_end::failed}}),
              lease_id());
    cell.reset();
    cell = make_owner();
    cell->configure({});
    cell->start();
    report("a");
    loop.advance(milliseconds(200));
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::running);
    EXPECT_EQ(sent_starts().size(), 1U);
}

class unknown_queue_test : public owner_test
{
protected:
    static queue_policy policy(const std::string& name)
    {
        queue_policy queue;
        queue.name = queue_name(name);
        queue.service = service_name("pool");
        queue.attempts = 3;
        return queue;
    }
    /// Stores a job and the policy of its queue as its receiver does.
    void store_job()
    {
        ++state.revision;
        job_record record;
        record.job = fleet::job("a", "brief", 1, 1);
        state.put("cell/job/a", encode(record), lease_id());
        state.put("cell/queue/brief", encode(std::vector<queue_policy>{policy("brief")}),
                  lease_id());
    }
    void expect_start()
    {
        for (int tenths = 0; tenths < 20; ++tenths)
        {
            report("a", report_with(poll({latest_assignment(), 1})));
            loop.advance(milliseconds(100));
        }
        EXPECT_EQ(sent_starts().size(), 1U);
    }
};

// Guards against jobs that never start because their queue came and went before an owner
// stored its policy.
TEST_F(unknown_queue_test, job_of_a_queue_that_this_owner_never_had_starts)
{
    start();
    loop.advance(milliseconds(500));
    store_job();
    expect_start();
}

TEST_F(unknown_queue_test, job_of_a_queue_that_no_owner_ever_had_starts)
{
    store_job();
    start();
    expect_start();
}

// Guards against a successor that finds neither the stored policy nor the one of its
// receiver, and against records that stay in the store for ever.
TEST_F(unknown_queue_test, policy_of_a_receiver_is_removed_once_the_owner_has_stored_it)
{
    store_job();
    start();
    loop.advance(seconds(2));
    EXPECT_FALSE(state.items.contains("cell/queue/brief"));
    const result<std::vector<queue_policy>> stored =
        decode_queues(state.items.at("cell/queues").value);
    ASSERT_TRUE(stored);
    EXPECT_EQ(
        std::ranges::count(stored.value(), queue_name("brief"), &queue_policy::name), 1);
}

// Guards against a policy that the receivers have replaced.
TEST_F(unknown_queue_test, policy_of_a_former_owner_takes_precedence)
{
    queue_policy stored = policy("brief");
    stored.service = service_name("other");
    state.put("cell/queues", encode(std::vector<queue_policy>{stored}), lease_id());
    store_job();
    start();
    loop.advance(seconds(2));
    const result<std::vector<queue_policy>> kept =
        decode_queues(state.items.at("cell/queues").value);
    ASSERT_TRUE(kept);
    const auto found =
        std::ranges::find(kept.value(), queue_name("brief"), &queue_policy::name);
    ASSERT_NE(found, kept.value().end());
    EXPECT_EQ(found->service, service_name("other"));
}

// A new owner waits for the longest lease (8 s) of each stored worker that it cannot
// poll, even if the worker left long ago.
TEST_F(owner_test, idle_worker_is_removed_from_the_store_when_it_leaves)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    ASSERT_EQ(stored_workers().size(), 1U);
    directory.changed_handler({});
    loop.advance(seconds(1));
    EXPECT_TRUE(stored_workers().empty());
    // The worker returns and is stored again before it is used.
    directory.changed_handler(directory.workers);
    loop.advance(milliseconds(500));
    EXPECT_EQ(stored_workers().size(), 1U);
}

// The entry of a worker also expires when the network cuts it off; its runs then
// continue.
TEST_F(owner_test, worker_with_a_run_stays_stored_until_its_lease_ends)
{
    start();
    submit("a");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(sent_starts().size(), 1U);
    poll_result running = poll({latest_assignment(), 2});
    running.running.push_back({sent_starts()[0].run, checkpoint(), 1});
    report("a", report_with(running));
    directory.changed_handler({});
    loop.advance(seconds(5));
    EXPECT_EQ(stored_workers().size(), 1U);
    loop.advance(seconds(6));
    EXPECT_TRUE(stored_workers().empty());
}

// Guards against runs that wait for their lease, or lose it, because nobody polls their
// worker any more once its entry is gone.
TEST_F(owner_test, worker_without_an_entry_is_polled_while_it_has_runs)
{
    start();
    submit("a");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(sent_starts().size(), 1U);
    poll_result running = poll({latest_assignment(), 2});
    running.running.push_back({sent_starts()[0].run, checkpoint(), 1});
    report("a", report_with(running));
    directory.changed_handler({});
    for (std::uint64_t answer = 3; answer < 20; ++answer)
    {
        loop.advance(seconds(1));
        running.sent_position = {latest_assignment(), answer};
        running.running[0].percent = static_cast<std::uint32_t>(answer);
        report("a", report_with(running));
    }
    EXPECT_EQ(unassigned_workers(), 0U);
    EXPECT_EQ(stored_workers().size(), 1U);
    EXPECT_EQ(sent_starts().size(), 1U);
    worker_info other = directory.workers[0];
    other.id = worker_id("other");
    other.address = endpoint("10.0.0.2:1");
    directory.changed_handler({other});
    loop.advance(milliseconds(200));
    agent_report replaced;
    replaced.refused_polls.push_back(
        {worker_id("w"), endpoint("10.0.0.1:1"), running.sent_position, true, 0});
    replaced.refused_polls[0].sent_position.event += 1;
    report("a", replaced);
    loop.advance(seconds(1));
    EXPECT_EQ(unassigned_workers(), 1U);
}

// A new owner does not know of runs on a worker that is not stored, and would start their
// tasks again.
TEST_F(owner_test, worker_added_during_a_write_is_not_used_before_it_is_stored)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(500));
    std::vector<worker_info> listed = directory.workers;
    listed.push_back(listed[0]);
    listed.back().id = worker_id("w2");
    directory.changed_handler(listed);
    // The write of "w2" is sent after 30 ms and answered 4 ms later.
    loop.advance(milliseconds(31));
    listed.push_back(listed[0]);
    listed.back().id = worker_id("w3");
    listed.back().capacity = resources{millicores(16000), byte_count(0), {}};
    directory.changed_handler(listed);
    report("a", {}, {{fleet::job("a", "q", 1, 12), true}});
    for (int step = 0; step < 300 && sent_starts().empty(); ++step)
    {
        poll_result polled = poll({latest_assignment(), 1});
        polled.worker = worker_id("w3");
        report("a", report_with(polled));
        loop.advance(milliseconds(1));
    }
    ASSERT_EQ(sent_starts().size(), 1U);
    EXPECT_EQ(sent_starts()[0].worker, worker_id("w3"));
    EXPECT_TRUE(stored_workers().contains(worker_id("w3")));
}

TEST_F(owner_test, store_answers_to_other_instances_are_recorded)
{
    start();
    loop.advance(seconds(1));
    const boot_time now = loop.clock().now();
    wire::cell_report message;
    message.address = endpoint("b");
    message.store_unanswered_ms = 400;
    cell->handle_report(instance_id("b"), message);
    EXPECT_TRUE(cell->store_answered_other_instance(now - milliseconds(500)));
    EXPECT_FALSE(cell->store_answered_other_instance(now - milliseconds(300)));
}

TEST_F(owner_test, resigning_owner_notifies_its_agents)
{
    start();
    sent.clear();
    cell->resign();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].first, endpoint("a"));
    EXPECT_TRUE(sent[0].second.resigned);
}

// A receiver that crashes after storing a job cannot report it, and the store may drop
// the change before the owner reads it.
TEST_F(owner_test, unreported_job_is_found_after_the_store_dropped_its_history)
{
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    ++state.revision;
    job_record record;
    record.job = fleet::job("orphan", "q", 1, 1);
    state.put("cell/job/orphan", encode(record), lease_id());
    state.forget_history();
    report("a", report_with(poll({latest_assignment(), 2})));
    loop.advance(milliseconds(700));
    report("a", report_with(poll({latest_assignment(), 3})));
    loop.advance(milliseconds(700));
    ASSERT_EQ(sent_starts().size(), 1U);
    EXPECT_EQ(sent_starts()[0].run.task.job, job_key("orphan"));
}

class dead_receiver_test : public owner_test,
                           public testing::WithParamInterface<store_condition>
{
};

// Guards against accepted jobs that their owner learns of too late, when the receiver has
// died and the store fails for a second.
TEST_P(dead_receiver_test, owner_learns_of_a_job_within_two_seconds)
{
    start();
    for (int offset = 0; offset < 100; ++offset)
    {
        const std::string id = "orphan" + std::to_string(offset);
        ++state.revision;
        job_record record;
        record.job = fleet::job(id, "q", 1, 1);
        state.put("cell/job/" + id, encode(record), lease_id());
        store.condition = GetParam();
        if (offset % 4 == 0)
            state.forget_history();
        duration unknown_for{};
        for (; cell->states({job_key(id)})->empty() && unknown_for < seconds(10);
             unknown_for += milliseconds(10))
        {
            if (unknown_for >= seconds(1))
                store.condition = store_condition::well;
            loop.advance(milliseconds(10));
        }
        store.condition = store_condition::well;
        EXPECT_LE(unknown_for, seconds(2)) << offset;
        loop.advance(milliseconds(1010) * offset / 10);
    }
}

INSTANTIATE_TEST_SUITE_P(conditions, dead_receiver_test,
                         testing::Values(store_condition::well, store_condition::refusing,
                                         store_condition::cutting_watches,
                                         store_condition::deaf_watches,
                                         store_condition::losing_answers));

// The delay before the next read attempt must not cancel the delay before a write.
TEST_F(owner_test, run_end_is_stored_after_a_repeated_read_of_the_jobs_failed)
{
    start();
    submit("a");
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(sent_starts().size(), 1U);
    drop_history();
    store.page_time = seconds(2);
    advance_to_next_read();
    loop.advance(milliseconds(1190));
    poll_result ended = poll({latest_assignment(), 2});
    ended.ended.push_back(
        {end_number(1), sent_starts()[0].run, run_end::done, checkpoint()});
    report("a", report_with(ended));
    loop.advance(milliseconds(20));
    store.page_time = milliseconds(4);
    loop.advance(seconds(2));
    EXPECT_EQ(last_acknowledged(), end_number(1));
}

// Concurrent reads share a slow link, and none of them would complete in time.
TEST_F(owner_test, reads_of_the_stored_jobs_do_not_overlap)
{
    start();
    for (int job = 0; job < 8; ++job)
        state.put("cell/ends/1-" + std::to_string(job), encode(std::vector<stored_end>()),
                  lease_id());
    state.page_items = 2;
    store.page_time = milliseconds(800);
    drop_history();
    advance_to_next_read();
    const std::size_t reads = state.lists;
    loop.advance(milliseconds(3500));
    EXPECT_EQ(state.lists, reads);
}

// A store that is about to drop its history may omit changes from watch answers for a
// second.
TEST_F(owner_test, cancel_omitted_from_a_watch_answer_is_found)
{
    start();
    submit("a");
    store.condition = store_condition::deaf_watches;
    ++state.revision;
    state.put("cell/cancel/a", "", lease_id());
    loop.advance(milliseconds(1500));
    store.condition = store_condition::well;
    loop.advance(milliseconds(1500));
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// Without changes to read, the watch position must still advance before the store drops
// the history at that position, since the jobs would have to be listed again.
TEST_F(owner_test, stored_jobs_are_not_listed_again_without_changes)
{
    start();
    loop.advance(seconds(50));
    EXPECT_EQ(state.lists, 1U);
}

// The receiver of the cancel may have crashed or reported it to the former owner, so the
// new owner must find it in the store.
TEST_F(owner_test, job_cancelled_while_the_jobs_were_read_does_not_start)
{
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    state.put("cell/job/a", encode(record), lease_id());
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    state.page_items = 1;
    store.page_time = milliseconds(150);
    configure();
    cell->start();
    // The key of the cancel sorts before the keys of the second page.
    loop.advance(milliseconds(200));
    ++state.revision;
    state.put("cell/cancel/a", "", lease_id());
    for (int step = 0; step < 300; ++step)
    {
        report("a", report_with(poll({latest_assignment(), 1})));
        loop.advance(milliseconds(10));
    }
    EXPECT_TRUE(sent_starts().empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// The cancel of a new job may have been reported to the former owner only.
TEST_F(owner_test, new_job_cancelled_while_the_jobs_were_read_does_not_start)
{
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    state.page_items = 1;
    store.page_time = milliseconds(150);
    configure();
    cell->start();
    // The key of the cancel sorts before the keys of the second page.
    loop.advance(milliseconds(200));
    ++state.revision;
    state.put("cell/cancel/a", "", lease_id());
    report("a", {}, {{fleet::job("a", "q", 1, 1), true}});
    for (int step = 0; step < 300; ++step)
    {
        report("a", report_with(poll({latest_assignment(), 1})));
        loop.advance(milliseconds(10));
    }
    EXPECT_TRUE(sent_starts().empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// Guards against inherited jobs that wait for a watch whose answer never arrives in time.
TEST_F(owner_test, inherited_job_starts_while_changes_arrive_too_slowly)
{
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    state.put("cell/job/a", encode(record), lease_id());
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    state.page_items = 10;
    store.page_time = milliseconds(500);
    configure();
    cell->start();
    loop.advance(milliseconds(400));
    put_many_ends();
    ++state.revision;
    state.put("cell/cancel/b", "", lease_id());
    for (int step = 0; step < 250; ++step)
    {
        report("a", report_with(poll({latest_assignment(), 1})));
        loop.advance(milliseconds(10));
    }
    ASSERT_EQ(sent_starts().size(), 1U);
    EXPECT_EQ(sent_starts()[0].run.task.job, job_key("a"));
}

// The same when the store drops its history before the first watch.
TEST_F(owner_test, inherited_job_starts_before_dropped_history_is_read_again)
{
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    state.put("cell/job/a", encode(record), lease_id());
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    state.page_items = 10;
    store.page_time = milliseconds(500);
    configure();
    cell->start();
    loop.advance(milliseconds(400));
    put_many_ends();
    state.forget_history();
    for (int step = 0; step < 250; ++step)
    {
        report("a", report_with(poll({latest_assignment(), 1})));
        loop.advance(milliseconds(10));
    }
    EXPECT_EQ(sent_starts().size(), 1U);
    loop.advance(seconds(8));
    EXPECT_EQ(state.lists, 3U) << "all jobs, the cancels, all jobs again";
}

// Guards against a job that is stored late, after its cancel was answered.
TEST_F(owner_test, job_that_is_stored_after_its_cancel_does_not_start)
{
    start();
    report("a", report_with(poll({1, 1})));
    ++state.revision;
    state.put("cell/cancel/a", "", lease_id());
    loop.advance(seconds(6));
    sent.clear();
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    ++state.revision;
    state.put("cell/job/a", encode(record), lease_id());
    report("a", report_with(poll({1, 2})));
    loop.advance(seconds(2));
    for (const auto& [agent, message] : sent)
        EXPECT_TRUE(message.commands.starts.empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// Guards against cancels of jobs that never existed, which would fill the store.
TEST_F(owner_test, cancel_of_a_job_that_is_never_stored_is_removed)
{
    state.put("cell/cancel/a", "", lease_id());
    start();
    loop.advance(seconds(30));
    EXPECT_TRUE(state.items.contains("cell/cancel/a"));
    loop.advance(seconds(40));
    EXPECT_FALSE(state.items.contains("cell/cancel/a"));
}

// Guards against cancels that take effect only after the store has dropped its history.
TEST_F(owner_test, cancel_is_found_while_changes_arrive_too_slowly)
{
    start();
    submit("a");
    state.page_items = 10;
    store.page_time = milliseconds(500);
    put_many_ends();
    ++state.revision;
    state.put("cell/cancel/a", "", lease_id());
    loop.advance(seconds(10));
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// On a slow link the answer to a read of many changes arrives after the default time-out.
TEST_F(owner_test, changes_that_arrive_slowly_are_applied)
{
    start();
    state.page_items = 10;
    store.page_time = milliseconds(400);
    for (int job = 0; job < 30; ++job)
    {
        ++state.revision;
        job_record record;
        record.job = fleet::job("orphan" + std::to_string(job), "q", 1, 1);
        state.put("cell/job/orphan" + std::to_string(job), encode(record), lease_id());
    }
    loop.advance(seconds(6));
    EXPECT_EQ(cell->states({job_key("orphan0"), job_key("orphan29")})->size(), 2U);
}

TEST_F(owner_test, owner_is_superseded_when_a_worker_refuses_its_token)
{
    start();
    agent_report refused;
    command_result result;
    result.worker = worker_id("w");
    result.outcome = command_outcome::fenced;
    result.token = first_token;
    refused.results.push_back(result);
    report("a", refused);
    EXPECT_EQ(superseding_tokens.size(), 1U);
}

// Guards against a wide job with a long payload that never starts, because the message
// with its starts exceeds the frame size of the inner protocol.
TEST_F(owner_test, starts_of_a_wide_job_are_sent_in_messages_that_fit_a_frame)
{
    constexpr std::uint32_t tasks = 2000;
    start();
    report("a", report_with(poll({latest_assignment(), 1})));
    loop.advance(milliseconds(200));
    job_spec wide = fleet::job("wide", "q", tasks, 1);
    wide.payload.assign(4000, 'p');
    wide.steps[0].size.processors = millicores(2);
    report("a", {}, {{wide, true}});
    std::size_t answered = 0;
    for (int round = 0; round < 100 && answered < tasks; ++round)
    {
        loop.advance(milliseconds(50));
        const std::vector<start_command> started = sent_starts();
        agent_report accepted;
        for (; answered < started.size(); ++answered)
        {
            command_result& result = accepted.results.emplace_back();
            result.worker = worker_id("w");
            result.run = started[answered].run;
            result.position = {latest_assignment(), 2 + answered};
        }
        report("a", accepted);
    }
    EXPECT_EQ(sent_starts().size(), tasks);
    const std::size_t max_bytes = wire::tcp_peer_network::options().max_frame_bytes;
    std::size_t largest = 0;
    for (const auto& [agent, message] : sent)
        largest = std::max(largest, wire::encode(wire::request(message)).size());
    EXPECT_LT(largest, max_bytes);
}

/// An owner of a queue with advice, whose agents take up to four requests each.
class advice_request_test : public owner_test
{
protected:
    advice_request_test()
    {
        queue_policy queue;
        queue.name = queue_name("q");
        queue.service = service_name("pool");
        queue.attempts = 3;
        queue.advice = advice_policy{milliseconds(300), milliseconds(10), seconds(5)};
        cell->configure({queue});
        cell->start();
        report("a");
        loop.advance(milliseconds(200));
        poll_worker("a");
        loop.advance(milliseconds(200));
    }
    void poll_worker(const std::string& agent)
    {
        report(agent, report_with(poll({latest_assignment(), ++polls})));
    }
    void advance_with_reports(const std::string& agent, duration time)
    {
        for (duration passed{}; passed < time; passed += milliseconds(100))
        {
            poll_worker(agent);
            loop.advance(milliseconds(100));
        }
    }
    /// Submits jobs until the agent takes no more requests.
    void fill_agent()
    {
        for (int job = 0; job < 6; ++job)
            submit("j" + std::to_string(job));
        ASSERT_EQ(requests("a"), 4U);
    }
    std::size_t requests(const std::string& agent) const
    {
        std::size_t count = 0;
        for (const auto& [to, message] : sent)
            count += to == endpoint(agent) ? message.commands.advice.size() : 0U;
        return count;
    }

    std::uint64_t polls = 0;
};

// Guards against an agent that gets no requests any more, since answers that cannot come
// count as in flight for ever.
TEST_F(advice_request_test, agent_gets_requests_after_answers_were_lost)
{
    fill_agent();
    advance_with_reports("a", milliseconds(4500));
    EXPECT_GT(requests("a"), 4U);
}

TEST_F(advice_request_test, requests_of_the_former_token_are_sent_again_at_once)
{
    fill_agent();
    current_token = fence_token(first_token + 1);
    cell->change_token(current_token);
    advance_with_reports("a", milliseconds(300));
    EXPECT_EQ(requests("a"), 8U);
}

TEST_F(advice_request_test, requests_that_an_agent_did_not_accept_are_sent_again_at_once)
{
    unreachable_agents = {endpoint("a")};
    for (int job = 0; job < 4; ++job)
        submit("j" + std::to_string(job));
    ASSERT_GT(requests("a"), 0U);
    unreachable_agents.clear();
    sent.clear();
    advance_with_reports("a", milliseconds(300));
    EXPECT_EQ(requests("a"), 4U);
}

// Guards against steps that wait 4 s for the answer to a request whose agent has died.
TEST_F(advice_request_test, requests_of_a_dead_agent_are_sent_to_another_one)
{
    fill_agent();
    advance_with_reports("b", milliseconds(2200));
    EXPECT_EQ(requests("b"), 4U);
}

// Guards against an agent that cannot reach the advice service and, as it fails at once,
// always has the shortest backlog and gets all requests.
TEST_F(advice_request_test, requests_avoid_an_agent_whose_requests_fail)
{
    std::size_t asked_failing_agent = 0;
    std::set<job_key> asked_other_agent;
    std::size_t first_unread = sent.size();
    poll_worker("b");
    for (int job = 0; job < 3; ++job)
        report("a", {}, {{fleet::job("j" + std::to_string(job), "q", 1, 1), true}});
    for (int step = 0; step < 200; ++step)
    {
        loop.advance(milliseconds(10));
        for (; first_unread < sent.size(); ++first_unread)
        {
            const endpoint agent = sent[first_unread].first;
            const std::vector<advice_command> requests =
                sent[first_unread].second.commands.advice;
            agent_report failed;
            for (const advice_command& request : requests)
            {
                if (agent != endpoint("a"))
                {
                    asked_other_agent.insert(request.job);
                    continue;
                }
                ++asked_failing_agent;
                failed.advice.push_back(
                    {request.job, request.step, false, request.workers, {}, 0});
            }
            report(agent.value(), failed);
        }
        if (step % 10 == 0)
            poll_worker("a");
    }
    EXPECT_EQ(asked_other_agent.size(), 3U);
    EXPECT_LE(asked_failing_agent, 3U);
}

} // namespace

} // namespace hawthornbeam::cell
