/// \file
/// Tests of the owner: agents, assignments and the store.
#include "hawthornbeam/cell/owner.hpp"

#include "fleet.hpp"
#include "lib/cell/stored_form.hpp"
#include "memory_store.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t first_token = 2;

class listed_workers final : public worker_directory
{
public:
    void start(std::function<void(const std::vector<worker_info>&)> handler) override
    {
        changed = std::move(handler);
        changed(workers);
    }
    void stop() override { changed = nullptr; }

    std::vector<worker_info> workers;
    std::function<void(const std::vector<worker_info>&)> changed;
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
        message.token = fence_token(first_token);
        message.address = endpoint(agent);
        message.share = 250;
        message.report = std::move(observed);
        message.accepted = std::move(accepted);
        cell->handle_report(instance_id(agent), std::move(message));
    }
    poll_result poll(event_position sent_position) const
    {
        poll_result seen;
        seen.worker = worker_id("w");
        seen.sent_position = sent_position;
        seen.incarnation = worker_incarnation(7);
        return seen;
    }
    static agent_report with(poll_result poll)
    {
        agent_report observed;
        observed.polls.push_back(std::move(poll));
        return observed;
    }
    /// The latest assignment that the owner sent for the worker.
    std::uint64_t assignment() const
    {
        std::uint64_t latest = 0;
        for (const auto& [agent, message] : sent)
            for (const assign_command& command : message.commands.assignments)
                if (command.assigned)
                    latest = std::max(latest, command.assignment);
        return latest;
    }
    std::vector<start_command> starts() const
    {
        std::vector<start_command> all;
        for (const auto& [agent, message] : sent)
            all.insert(all.end(), message.commands.starts.begin(),
                       message.commands.starts.end());
        return all;
    }
    end_number acknowledged() const
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

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    metrics_registry metrics;
    memory_store_state state{loop};
    memory_store store{state};
    listed_workers directory;
    std::vector<std::pair<endpoint, wire::cell_commands>> sent;
    std::vector<fence_token> superseded;
    std::unique_ptr<owner> cell = std::make_unique<owner>(
        owner_parts{loop, store, directory, log, metrics, scheduler_limits(),
                    instance_id("self"), std::chrono::minutes(5),
                    [this](const endpoint& agent, wire::cell_commands message,
                           const std::function<void(result<fence_token>)>& done)
                    {
                        sent.emplace_back(agent, std::move(message));
                        done(fence_token(first_token));
                    },
                    [this](fence_token higher) { superseded.push_back(higher); }},
        fence_token(first_token));
};

TEST_F(owner_test, starts_a_job_on_a_worker_that_was_looked_at_and_stored)
{
    start();
    submit("a");
    EXPECT_TRUE(starts().empty());
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(200));
    EXPECT_TRUE(state.items.contains("cell/workers"));
    ASSERT_EQ(starts().size(), 1U);
    EXPECT_EQ(starts()[0].worker.value(), "w");
}

// A run that only a former agent's late look shows must not count as gone when the
// present agent's look, which had begun before the run, does not show it.
TEST_F(owner_test, does_not_compare_looks_of_two_agents)
{
    start();
    submit("a");
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(starts().size(), 1U);
    const std::uint64_t former = assignment();
    // Agent "a" falls silent; "b" gets the worker and looks at it.
    for (int round = 0; round < 6; ++round)
    {
        report("b");
        loop.advance(milliseconds(400));
    }
    const std::uint64_t present = assignment();
    ASSERT_GT(present, former);
    poll_result late = poll({former, 5});
    late.running.push_back({starts()[0].run, checkpoint(), 1});
    report("a", with(late));
    report("b", with(poll({present, 1})));
    loop.advance(milliseconds(50));
    EXPECT_EQ(starts().size(), 1U);
}

TEST_F(owner_test, acknowledges_an_end_only_after_it_is_stored)
{
    start();
    submit("a");
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(starts().size(), 1U);
    store.condition = store_condition::refusing;
    poll_result ended = poll({assignment(), 2});
    ended.ended.push_back({end_number(1), starts()[0].run, run_end::done, checkpoint()});
    report("a", with(ended));
    loop.advance(milliseconds(700));
    EXPECT_EQ(acknowledged(), end_number());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::running);
    store.condition = store_condition::well;
    loop.advance(milliseconds(700));
    EXPECT_EQ(acknowledged(), end_number(1));
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::done);
}

TEST_F(owner_test, writes_nothing_once_another_instance_holds_the_claim)
{
    start();
    submit("a");
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(200));
    ++state.revision;
    state.put("cell/owner", "another", lease_id());
    poll_result ended = poll({assignment(), 2});
    ended.ended.push_back({end_number(1), starts()[0].run, run_end::done, checkpoint()});
    report("a", with(ended));
    loop.advance(milliseconds(500));
    EXPECT_FALSE(superseded.empty());
    EXPECT_FALSE(state.items.contains("cell/job/a"));
    EXPECT_EQ(acknowledged(), end_number());
}

// A receiver that could not report a job for a while may report it to a new owner before
// that has read that a former owner ended the job.
TEST_F(owner_test, does_not_run_an_ended_job_that_is_reported_before_the_store_was_read)
{
    job_record ended;
    ended.state = job_state::done;
    state.put("cell/job/a", encode(ended), lease_id());
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    cell->start();
    report("a", {}, {{fleet::job("a", "q", 1, 1), false}});
    loop.advance(milliseconds(200));
    report("a", with(poll({assignment(), 1})));
    loop.advance(seconds(1));
    EXPECT_TRUE(starts().empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::done);
}

// A listing reads cancels before jobs, so it can miss the cancel of a job that it shows.
TEST_F(owner_test, starts_no_job_whose_cancel_was_reported_before_the_job_was_read)
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
    report("a", with(poll({assignment(), 1})));
    loop.advance(seconds(1));
    EXPECT_TRUE(starts().empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// A successor waits for the longest lease of each stored worker that it cannot look at,
// 8 s, also when the worker left long ago.
TEST_F(owner_test, drops_an_idle_worker_from_the_store_when_it_leaves)
{
    start();
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(500));
    ASSERT_EQ(stored_workers().size(), 1U);
    directory.changed({});
    loop.advance(seconds(1));
    EXPECT_TRUE(stored_workers().empty());
    // It returns, and is used once it is stored again.
    directory.changed(directory.workers);
    loop.advance(milliseconds(500));
    EXPECT_EQ(stored_workers().size(), 1U);
}

// The entry of a worker that is cut off ends too, and what it runs goes on.
TEST_F(owner_test, keeps_a_worker_with_a_run_stored_until_its_lease_has_ended)
{
    start();
    submit("a");
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(starts().size(), 1U);
    poll_result running = poll({assignment(), 2});
    running.running.push_back({starts()[0].run, checkpoint(), 1});
    report("a", with(running));
    directory.changed({});
    loop.advance(seconds(5));
    EXPECT_EQ(stored_workers().size(), 1U);
    loop.advance(seconds(5));
    EXPECT_TRUE(stored_workers().empty());
}

// A start on a worker of which no successor knows would be repeated by it.
TEST_F(owner_test, uses_no_worker_that_came_while_the_list_was_being_written)
{
    start();
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(500));
    std::vector<worker_info> listed = directory.workers;
    listed.push_back(listed[0]);
    listed.back().id = worker_id("w2");
    directory.changed(listed);
    // The write of "w2" is sent after 30 ms and answered 4 ms later.
    loop.advance(milliseconds(31));
    listed.push_back(listed[0]);
    listed.back().id = worker_id("w3");
    listed.back().capacity = resources{millicores(16000), byte_count(0), {}};
    directory.changed(listed);
    report("a", {}, {{fleet::job("a", "q", 1, 12), true}});
    for (int step = 0; step < 300 && starts().empty(); ++step)
    {
        poll_result seen = poll({assignment(), 1});
        seen.worker = worker_id("w3");
        report("a", with(seen));
        loop.advance(milliseconds(1));
    }
    ASSERT_EQ(starts().size(), 1U);
    EXPECT_EQ(starts()[0].worker, worker_id("w3"));
    EXPECT_TRUE(stored_workers().contains(worker_id("w3")));
}

TEST_F(owner_test, knows_when_the_store_answered_others)
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

TEST_F(owner_test, tells_its_agents_that_it_has_resigned)
{
    start();
    sent.clear();
    cell->resign();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].first, endpoint("a"));
    EXPECT_TRUE(sent[0].second.resigned);
}

// A receiver that dies after it has stored a job cannot report it, and the owner's next
// read of changes may find that the store has dropped them.
TEST_F(owner_test, finds_a_job_of_a_dead_receiver_after_the_store_dropped_its_changes)
{
    start();
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(200));
    ++state.revision;
    job_record record;
    record.job = fleet::job("orphan", "q", 1, 1);
    state.put("cell/job/orphan", encode(record), lease_id());
    state.forget_history();
    report("a", with(poll({assignment(), 2})));
    loop.advance(milliseconds(700));
    report("a", with(poll({assignment(), 3})));
    loop.advance(milliseconds(700));
    ASSERT_EQ(starts().size(), 1U);
    EXPECT_EQ(starts()[0].run.task.job, job_key("orphan"));
}

// The pause before the next attempt to read must not end the one before a write.
TEST_F(owner_test, stores_an_end_that_came_before_a_second_read_of_the_jobs_failed)
{
    start();
    submit("a");
    report("a", with(poll({assignment(), 1})));
    loop.advance(milliseconds(200));
    ASSERT_EQ(starts().size(), 1U);
    drop_history();
    store.page_time = seconds(2);
    advance_to_next_read();
    loop.advance(milliseconds(1190));
    poll_result ended = poll({assignment(), 2});
    ended.ended.push_back({end_number(1), starts()[0].run, run_end::done, checkpoint()});
    report("a", with(ended));
    loop.advance(milliseconds(20));
    store.page_time = milliseconds(4);
    loop.advance(seconds(2));
    EXPECT_EQ(acknowledged(), end_number(1));
}

// Reads that run side by side share a slow link, and none of them ends in time.
TEST_F(owner_test, reads_the_stored_jobs_once_at_a_time)
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

// A store that is about to drop its history may hide changes from watches for a second.
TEST_F(owner_test, finds_a_cancel_that_an_answer_of_the_store_left_out)
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

// Without changes to read, the position has to move on before the store drops it.
TEST_F(owner_test, reads_the_stored_jobs_no_second_time_in_a_quiet_cell)
{
    start();
    loop.advance(seconds(50));
    EXPECT_EQ(state.lists, 1U);
}

// The receiver of the cancel may have died or reported it to the former owner.
TEST_F(owner_test, starts_no_job_whose_cancel_was_stored_while_the_jobs_were_read)
{
    job_record record;
    record.job = fleet::job("a", "q", 1, 1);
    state.put("cell/job/a", encode(record), lease_id());
    state.put("cell/workers", encode(std::vector<worker_id>{worker_id("w")}), lease_id());
    state.page_items = 1;
    store.page_time = milliseconds(150);
    configure();
    cell->start();
    // The key sorts before those of the second page.
    loop.advance(milliseconds(200));
    ++state.revision;
    state.put("cell/cancel/a", "", lease_id());
    for (int step = 0; step < 300; ++step)
    {
        report("a", with(poll({assignment(), 1})));
        loop.advance(milliseconds(10));
    }
    EXPECT_TRUE(starts().empty());
    EXPECT_EQ((*cell->states({job_key("a")}))[0].state, job_state::cancelled);
}

// On a slow link the answer to a read of many changes comes after the usual time-out.
TEST_F(owner_test, learns_changes_that_take_long_to_arrive)
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

TEST_F(owner_test, steps_down_when_a_worker_refuses_its_token)
{
    start();
    agent_report refused;
    command_result result;
    result.worker = worker_id("w");
    result.outcome = command_outcome::fenced;
    result.token = first_token;
    refused.results.push_back(result);
    report("a", refused);
    EXPECT_EQ(superseded.size(), 1U);
}

} // namespace

} // namespace hawthornbeam::cell
