/// \file
/// Tests the HTTP platform bindings against the stand-in servers on the loopback
/// interface.
#include "hawthornbeam/platform/http_host_list.hpp"
#include "hawthornbeam/platform/http_kv_service.hpp"
#include "hawthornbeam/platform/http_worker_gateway.hpp"
#include "lib/platform/http_client.hpp"
#include "test/standins/platform_server.hpp"
#include "unittests/platform/loopback.hpp"

#include <cmath>
#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

using standins::platform_options;
using standins::platform_server;
using std::chrono::milliseconds;

platform_options small_platform()
{
    platform_options options;
    options.workers = 4;
    options.failure_domains = 2;
    options.workers_per_rack = 1;
    options.host_list_lag = duration::zero();
    options.usage_lag = duration::zero();
    return options;
}

/// Long enough that only a call without a response times out.
constexpr std::chrono::seconds long_timeout(60);

http_kv_options kv_options(duration timeout)
{
    http_kv_options options;
    options.timeout = timeout;
    return options;
}

http_worker_options gateway_options(duration timeout)
{
    http_worker_options options;
    options.timeout = timeout;
    return options;
}

class bindings_test : public loopback, public testing::Test
{
protected:
    using entry = std::optional<kv_entry>;

    result<entry> read(const std::string& key)
    {
        return wait<entry>([&](kv_service::callback<entry> done)
                           { kv.read(kv_cause::table, key, std::move(done)); });
    }
    result<kv_revision> write(const std::string& key, const std::string& value,
                              std::uint64_t expected)
    {
        return wait<kv_revision>(
            [&](kv_service::callback<kv_revision> done) {
                kv.write(kv_cause::journal, key, value, kv_revision(expected),
                         std::move(done));
            });
    }
    result<bool> remove(const std::string& key, std::uint64_t expected)
    {
        return wait<bool>(
            [&](kv_service::callback<bool> done)
            { kv.remove(kv_cause::claim, key, kv_revision(expected), std::move(done)); });
    }
    result<kv_changes> watch(const std::string& prefix, std::uint64_t after,
                             duration wait_time)
    {
        return wait<kv_changes>(
            [&](kv_service::callback<kv_changes> done) {
                kv.watch(kv_cause::table, prefix, kv_revision(after), wait_time,
                         std::move(done));
            });
    }
    result<lease_grant> acquire(const char* owner)
    {
        return wait<lease_grant>([&](worker_gateway::callback<lease_grant> done)
                                 { gateway.acquire(worker, instance_id(owner), done); });
    }
    result<std::vector<start_outcome>> start(generation lease_generation,
                                             const task_start& task)
    {
        return wait<std::vector<start_outcome>>(
            [&](worker_gateway::callback<std::vector<start_outcome>> done)
            { gateway.start(worker, lease_generation, {task}, std::move(done)); });
    }
    result<std::optional<task_report>> task(const task_id& id)
    {
        return wait<std::optional<task_report>>(
            [&](worker_gateway::callback<std::optional<task_report>> done)
            { gateway.task(worker, id, std::move(done)); });
    }
    result<worker_events> events(generation lease_generation, std::uint64_t after,
                                 duration wait_time)
    {
        return wait<worker_events>(
            [&](worker_gateway::callback<worker_events> done) {
                gateway.events(worker, lease_generation, after, wait_time,
                               std::move(done));
            });
    }
    /// Posts \p body to the control port of the stand-ins and returns the status.
    unsigned change_faults(const std::string& body)
    {
        http_client client(loop, log, {1});
        const result<http_reply> reply = wait<http_reply>(
            [&](http_client::callback done)
            {
                client.send({"POST", server.control_url() + "/faults", body,
                             std::chrono::seconds(5)},
                            std::move(done));
            });
        return reply ? reply.value().status : 0;
    }
    static task_start make_task(std::uint32_t index, std::string payload)
    {
        task_start new_task;
        new_task.id = task_id{job_id(1, 2), index, 0};
        new_task.row = row_id("partner/kind");
        new_task.size = resources{millicores(1000), byte_count(1 << 20), {}};
        new_task.job_owner = instance_id("entry-1");
        new_task.payload = std::move(payload);
        return new_task;
    }
    std::size_t count_start_events()
    {
        std::size_t starts = 0;
        for (const standins::history_entry& event : server.worker(0).state().history())
            starts += event.event == "start" ? 1U : 0U;
        return starts;
    }

    platform_server server{loop, small_platform()};
    http_kv_service kv{loop, log, server.kv_url(), kv_options(long_timeout)};
    http_worker_gateway gateway{loop, log, gateway_options(long_timeout)};
    http_host_list hosts{loop, log, server.hosts_url()};
    worker_address worker = server.address_of(0);
};

// Guards against keys and values corrupted by the encoding, and against writes that
// ignore the expected revision.
TEST_F(bindings_test, kv_preserves_bytes_and_compares_revisions)
{
    const std::string key = "table/a b%2F?&#+\xC3\xA9";
    const std::string value("\0\xFF{\"x\"\r\n", 8);
    ASSERT_EQ(write(key, value, 0).value(), kv_revision(1));
    const result<entry> found = read(key);
    ASSERT_TRUE(found && found.value());
    EXPECT_EQ(found.value()->key, key);
    EXPECT_EQ(found.value()->value, value);
    EXPECT_EQ(code_of(write(key, "other", 0)), error_code::conflict);
    ASSERT_EQ(write(key, "", 1).value(), kv_revision(2));
    EXPECT_EQ(read(key).value()->value, "");
    EXPECT_EQ(code_of(remove(key, 1)), error_code::conflict);
    EXPECT_TRUE(remove(key, 2).value());
    EXPECT_FALSE(read(key).value().has_value());
}

// Guards against a list that omits matching keys or includes others.
TEST_F(bindings_test, kv_lists_by_prefix_in_order)
{
    for (const char* key : {"b/2", "b/1", "a/1", "c"})
        ASSERT_TRUE(write(key, key, 0));
    const result<std::vector<kv_entry>> found = wait<std::vector<kv_entry>>(
        [&](kv_service::callback<std::vector<kv_entry>> done)
        { kv.list(kv_cause::recovery, "b/", std::move(done)); });
    ASSERT_TRUE(found);
    ASSERT_EQ(found.value().size(), 2U);
    EXPECT_EQ(found.value()[0].key, "b/1");
    EXPECT_EQ(found.value()[1].value, "b/2");
}

// Guards against a value above the size limit that is stored, or whose rejection is
// reported as an unknown outcome.
TEST_F(bindings_test, kv_rejects_value_above_one_mebibyte)
{
    const std::size_t limit = std::size_t{1} << 20U;
    EXPECT_TRUE(write("large", std::string(limit, 'x'), 0));
    EXPECT_EQ(code_of(write("larger", std::string(limit + 1, 'x'), 0)),
              error_code::limit_exceeded);
}

// Guards against a watch that ends at the timeout of ordinary calls, and against one that
// misses a change.
TEST_F(bindings_test, kv_watch_outlasts_call_timeout_and_returns_on_change)
{
    http_kv_options options = kv_options(milliseconds(1));
    options.wait_margin = long_timeout;
    http_kv_service short_timeout_client(loop, log, server.kv_url(), options);
    const result<kv_changes> without_change = wait<kv_changes>(
        [&](kv_service::callback<kv_changes> done)
        {
            short_timeout_client.watch(kv_cause::table, "table", kv_revision(),
                                       milliseconds(20), std::move(done));
        });
    ASSERT_TRUE(without_change);
    EXPECT_TRUE(without_change.value().changed.empty());
    const result<kv_changes> with_change = wait<kv_changes>(
        [&](const kv_service::callback<kv_changes>& done)
        {
            kv.watch(kv_cause::table, "table", kv_revision(), std::chrono::minutes(1),
                     done);
            kv.write(kv_cause::table, "table", "v", kv_revision(), [](const auto&) {});
        });
    ASSERT_TRUE(with_change);
    ASSERT_EQ(with_change.value().changed.size(), 1U);
    EXPECT_EQ(with_change.value().seen, kv_revision(1));
    EXPECT_TRUE(watch("table", 7, milliseconds(0)).value().skipped);
}

// Guards against calls that are counted for the wrong cause or not counted.
TEST_F(bindings_test, kv_counts_calls_and_bytes_by_cause)
{
    ASSERT_TRUE(write("k", "12345", 0));
    EXPECT_FALSE(write("k", "123", 0));
    ASSERT_TRUE(read("k"));
    server.kv_endpoint().faults().unreachable = true;
    EXPECT_EQ(code_of(read("k")), error_code::unavailable);
    EXPECT_EQ(kv.traffic(kv_cause::journal).calls, 2U);
    EXPECT_EQ(kv.traffic(kv_cause::journal).bytes_sent, 8U);
    EXPECT_EQ(kv.traffic(kv_cause::journal).failures, 0U);
    EXPECT_EQ(kv.traffic(kv_cause::journal).ended, 2U);
    EXPECT_EQ(kv.traffic(kv_cause::table).calls, 2U);
    EXPECT_EQ(kv.traffic(kv_cause::table).failures, 1U);
    EXPECT_EQ(kv.traffic(kv_cause::table).ended, 2U);
    EXPECT_GT(kv.traffic(kv_cause::table).bytes_received, 5U);
    EXPECT_EQ(kv.traffic(kv_cause::claim).calls, 0U);
}

// Guards against a write that was applied but is reported as not applied because its
// response was lost.
TEST_F(bindings_test, kv_write_with_lost_response_is_outcome_unknown_and_applied)
{
    ASSERT_EQ(change_faults(R"({"target":"kv","lose_answers":1})"), 200U);
    EXPECT_EQ(code_of(write("k", "v", 0)), error_code::outcome_unknown);
    EXPECT_EQ(read("k").value()->value, "v");
}

// Guards against calls that keep using connections that have stopped responding although
// new connections work.
TEST_F(bindings_test, unresponsive_connections_are_replaced_after_one_timeout)
{
    http_kv_service short_timeout_client(loop, log, server.kv_url(),
                                         kv_options(std::chrono::seconds(1)));
    // Three concurrent calls leave three kept connections.
    int completed_reads = 0;
    const result<entry> warm_up = wait<entry>(
        [&](const kv_service::callback<entry>& done)
        {
            for (int i = 0; i < 3; ++i)
                short_timeout_client.read(
                    kv_cause::table, "k",
                    [&completed_reads, done](const result<entry>& found)
                    {
                        if (++completed_reads == 3)
                            done(found);
                    });
        });
    ASSERT_TRUE(warm_up);
    ASSERT_EQ(change_faults(R"({"target":"kv","silence_open":true})"), 200U);
    std::vector<bool> call_succeeded;
    for (int i = 0; i < 3; ++i)
        call_succeeded.push_back(
            wait<entry>(
                [&](kv_service::callback<entry> done)
                { short_timeout_client.read(kv_cause::table, "k", std::move(done)); })
                .has_value());
    EXPECT_EQ(call_succeeded, (std::vector<bool>{false, true, true}));
}

// Guards against a start that waits for its whole timeout on a kept connection that has
// stopped responding.
TEST_F(bindings_test, start_avoids_unresponsive_kept_connections)
{
    const generation lease_generation = acquire("entry-1").value().granted;
    ASSERT_TRUE(task(task_id()));
    server.worker_endpoint(0).silence_open_connections();
    EXPECT_TRUE(start(lease_generation, make_task(1, "sleep=60000;")));
}

// Guards against a start at an unresponsive worker that is reported as not run, although
// only the worker knows whether the task was started.
TEST_F(bindings_test, start_at_unresponsive_worker_is_outcome_unknown_and_can_be_queried)
{
    const generation lease_generation = acquire("entry-1").value().granted;
    const task_start unanswered_task = make_task(1, "sleep=60000;");
    server.worker_endpoint(0).faults().silent = true;
    http_worker_gateway short_timeout_client(loop, log,
                                             gateway_options(milliseconds(500)));
    const result<std::vector<start_outcome>> outcome = wait<std::vector<start_outcome>>(
        [&](worker_gateway::callback<std::vector<start_outcome>> done)
        {
            short_timeout_client.start(worker, lease_generation, {unanswered_task},
                                       std::move(done));
        });
    EXPECT_EQ(code_of(outcome), error_code::outcome_unknown);
    server.worker_endpoint(0).faults().silent = false;
    const result<std::optional<task_report>> found = task(unanswered_task.id);
    ASSERT_TRUE(found);
    EXPECT_FALSE(found.value().has_value());
}

// Guards against a second run of a task whose start response was late or lost.
TEST_F(bindings_test, task_runs_once_when_start_response_is_lost)
{
    const generation lease_generation = acquire("entry-1").value().granted;
    server.worker_endpoint(0).faults().lose_answers = 1;
    const task_start task = make_task(1, "sleep=60000;");
    EXPECT_EQ(code_of(start(lease_generation, task)), error_code::outcome_unknown);
    ASSERT_TRUE(this->task(task.id).value());
    EXPECT_TRUE(start(lease_generation, task).value().front().accepted);
    EXPECT_EQ(count_start_events(), 1U);
}

// Guards against two concurrent owners of one worker, and against starts by a former
// owner.
TEST_F(bindings_test, lease_is_exclusive_and_fences_former_owner)
{
    const generation first = acquire("entry-1").value().granted;
    const result<lease_grant> refused = acquire("entry-2");
    ASSERT_EQ(code_of(refused), error_code::conflict);
    EXPECT_NE(refused.error().message.find("entry-1"), std::string::npos);
    const result<bool> released =
        wait<bool>([&](worker_gateway::callback<bool> done)
                   { gateway.release(worker, first, std::move(done)); });
    EXPECT_TRUE(released.value());
    const result<lease_grant> second = acquire("entry-2");
    ASSERT_TRUE(second);
    EXPECT_GT(second.value().granted, first);
    EXPECT_EQ(second.value().length, std::chrono::seconds(4));
    EXPECT_EQ(second.value().task_lease, std::chrono::seconds(60));
    EXPECT_EQ(code_of(start(first, make_task(1, "x"))), error_code::conflict);
    EXPECT_EQ(code_of(events(first, 0, milliseconds(0))), error_code::conflict);
    EXPECT_EQ(count_start_events(), 0U);
}

// Guards against task outcomes that are lost or altered between the worker and its owner.
TEST_F(bindings_test, task_outcome_is_reported_until_acknowledged)
{
    const generation lease_generation = acquire("entry-1").value().granted;
    const std::string payload("sleep=1;\0\xFE", 10);
    const task_start task = make_task(7, payload);
    ASSERT_TRUE(start(lease_generation, task));
    const result<worker_events> ended =
        events(lease_generation, 0, std::chrono::minutes(1));
    ASSERT_TRUE(ended);
    ASSERT_EQ(ended.value().tasks.size(), 1U);
    const task_report& report = ended.value().tasks.front();
    EXPECT_EQ(report.id, task.id);
    EXPECT_EQ(report.row, task.row);
    EXPECT_EQ(report.size, task.size);
    EXPECT_EQ(report.job_owner, task.job_owner);
    EXPECT_EQ(report.state, task_state::finished);
    EXPECT_EQ(report.output, payload);
    const result<bool> acknowledged = wait<bool>(
        [&](worker_gateway::callback<bool> done)
        { gateway.acknowledge(worker, lease_generation, {task.id}, std::move(done)); });
    EXPECT_TRUE(acknowledged.value());
    const result<std::vector<task_report>> unacknowledged =
        wait<std::vector<task_report>>(
            [&](worker_gateway::callback<std::vector<task_report>> done)
            { gateway.list(worker, std::move(done)); });
    EXPECT_TRUE(unacknowledged.value().empty());
}

// Guards against the loss of usage values that JSON numbers cannot represent.
TEST_F(bindings_test, non_finite_usage_is_preserved)
{
    const generation lease_generation = acquire("entry-1").value().granted;
    ASSERT_TRUE(start(lease_generation, make_task(1, "service;use=nan;")));
    ASSERT_TRUE(start(lease_generation, make_task(2, "service;use=-inf;")));
    const result<worker_events> reported = events(lease_generation, 0, milliseconds(0));
    ASSERT_TRUE(reported);
    ASSERT_EQ(reported.value().tasks.size(), 2U);
    EXPECT_TRUE(std::isnan(reported.value().tasks[0].used_cores));
    EXPECT_EQ(reported.value().tasks[1].used_memory,
              -std::numeric_limits<double>::infinity());
}

// Guards against a control action that is applied to the wrong task or to none.
TEST_F(bindings_test, control_stops_only_the_named_task)
{
    const generation lease_generation = acquire("entry-1").value().granted;
    const task_start kept = make_task(1, "service;");
    const task_start stopped = make_task(2, "service;");
    ASSERT_TRUE(start(lease_generation, kept));
    ASSERT_TRUE(start(lease_generation, stopped));
    const result<bool> applied = wait<bool>(
        [&](worker_gateway::callback<bool> done)
        {
            gateway.control(worker, lease_generation, stopped.id, task_action::stop,
                            std::move(done));
        });
    EXPECT_TRUE(applied.value());
    EXPECT_EQ(task(kept.id).value()->state, task_state::running);
    EXPECT_EQ(task(stopped.id).value()->state, task_state::stopped);
}

// Guards against host entries with a wrong failure domain, rack or leaving flag, and
// against a dead host whose port still accepts connections.
TEST_F(bindings_test, host_list_marks_leaving_and_omits_dead_hosts)
{
    ASSERT_EQ(change_faults(R"({"target":"worker-1","leaving":true})"), 200U);
    ASSERT_EQ(change_faults(R"({"target":"worker-0","dead":true})"), 200U);
    const result<std::vector<host_entry>> listed = wait<std::vector<host_entry>>(
        [&](host_list::callback done) { hosts.list(std::move(done)); });
    ASSERT_TRUE(listed);
    ASSERT_EQ(listed.value().size(), 3U);
    const host_entry& leaving = listed.value()[0];
    EXPECT_EQ(leaving.id, worker_id("worker-1"));
    EXPECT_TRUE(leaving.leaving);
    EXPECT_EQ(leaving.address, server.address_of(1));
    EXPECT_EQ(leaving.failure_domain, failure_domain_id("domain-1"));
    EXPECT_EQ(leaving.rack, rack_id("rack-0"));
    EXPECT_EQ(leaving.capacity, small_platform().capacity);
    EXPECT_FALSE(listed.value()[1].leaving);
    EXPECT_EQ(listed.value()[1].rack, rack_id("rack-1"));
    EXPECT_EQ(code_of(acquire("entry-1")), error_code::unavailable);
    ASSERT_EQ(change_faults(R"({"target":"worker-0","dead":false})"), 200U);
    EXPECT_TRUE(acquire("entry-1"));
    EXPECT_EQ(change_faults(R"({"target":"nobody"})"), 400U);
}

} // namespace
} // namespace hawthornbeam
