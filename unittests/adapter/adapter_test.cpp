/// \file
/// Tests of the platform adapter: settings, configuration, runner entries and jobs.
#include "platform/configuration.hpp"
#include "platform/job_document.hpp"
#include "platform/runner_registry.hpp"
#include "platform/settings.hpp"
#include "unittests/cell/memory_store.hpp"

#include <gtest/gtest.h>
#include <set>

namespace hawthornbeam::adapter
{

namespace
{

constexpr const char* complete_settings = R"(
node-name = "front-a-1"
ip = "10.1.0.13"
zone = "a"
port-range = [7720, 7735]
advice = "10.200.1.9:8169"
surprise = { key = 1 }
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
[limits]
cpu-share = 0.25
[parameters]
hold-max-ms = 10000
kill-grace-ms = 900
grace-s = 6
drain-ms = 2000
[platform]
address = "10.200.1.7:8169"
)";

constexpr const char* complete_configuration = R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","prefix":"/p/","service":"s1","priority":1,
   "attempts":2,"stretch":2.2,"slo-ms":1000,
   "advice":{"decide-ms":410.0,"each-ms":5.9,"valid-ms":1500}},
  {"name":"r-2","host":"a.example","prefix":"/p/longer/","service":"s1"}],
  "services":[],"limits":{"body-bytes":1000}})";

constexpr const char* complete_entry =
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"a","version":"v1",
    "capacity":8,"state":"ready","warmup-ms":0,"room":{"cpu":16000,"mem-mb":32768,
    "gpu":0},"labels":["a","r1-3"],"clock-ms":4,"seq":4,"born":1790000000000})";

} // namespace

TEST(settings_test, reads_a_complete_file_and_ignores_unknown_keys)
{
    const read_settings_result read = read_settings(complete_settings, "node.toml");
    ASSERT_TRUE(read.settings) << read.faults.front().text();
    EXPECT_EQ(read.settings->host_name, "front-a-1");
    EXPECT_EQ(read.settings->first_peer_port, 7720);
    EXPECT_EQ(read.settings->store_address.value(), "10.200.1.7:8169");
    EXPECT_EQ(read.settings->max_lease, std::chrono::seconds(10));
    EXPECT_DOUBLE_EQ(read.settings->processor_share, 0.25);
}

TEST(settings_test, reports_every_fault_with_its_key)
{
    std::string text(complete_settings);
    text.replace(text.find("[7720, 7735]"), 12, "[7735, 7720]");
    text.replace(text.find("\"10.200.1.7:8169\""), 17, "5");
    text.replace(text.find("cpu-share = 0.25"), 16, "cores = 1");
    const read_settings_result read = read_settings(text, "node.toml");
    EXPECT_FALSE(read.settings);
    std::string all;
    for (const finding& fault : read.faults)
        all += fault.text() + "\n";
    EXPECT_NE(all.find("port-range"), std::string::npos) << all;
    EXPECT_NE(all.find("platform.address"), std::string::npos) << all;
    EXPECT_NE(all.find("limits.cpu-share"), std::string::npos) << all;
}

/// Lines of the table `limits`, and what they mean for clients.
struct client_limits_case
{
    const char* name;
    const char* lines;
    std::int64_t memory_bytes;
    std::size_t descriptors;
    std::optional<std::size_t> request_memory_bytes;
    std::optional<std::size_t> client_connections;
};

read_settings_result read_with_limits(const std::string& lines)
{
    std::string text(complete_settings);
    text.replace(text.find("cpu-share = 0.25"), 0, lines + "\n");
    return read_settings(text, "node.toml");
}

class client_limits_test : public testing::TestWithParam<client_limits_case>
{
};

// Guards against limits on clients that are ignored, or that differ from the documents.
TEST_P(client_limits_test, are_read_or_have_defaults)
{
    const read_settings_result given = read_with_limits(GetParam().lines);
    ASSERT_TRUE(given.settings) << given.faults.front().text();
    EXPECT_EQ(given.settings->memory.value(), GetParam().memory_bytes);
    EXPECT_EQ(given.settings->max_descriptors, GetParam().descriptors);
    EXPECT_EQ(given.settings->request_memory_bytes, GetParam().request_memory_bytes);
    EXPECT_EQ(given.settings->max_client_connections, GetParam().client_connections);
}

INSTANTIATE_TEST_SUITE_P(
    settings, client_limits_test,
    testing::Values(client_limits_case{"absent", "", 256 << 20, 1000000, {}, {}},
                    client_limits_case{"all",
                                       "memory-mb = 260\nmax-fds = 4100\n"
                                       "request-memory-bytes = 65536\n"
                                       "client-connections = 7",
                                       260 << 20, 4100, 65536, 7}),
    [](const testing::TestParamInfo<client_limits_case>& info)
    { return info.param.name; });

class client_limits_fault_test : public testing::TestWithParam<const char*>
{
};

// Guards against limits that leave the process nothing.
TEST_P(client_limits_fault_test, is_reported_with_its_key)
{
    const std::string line = GetParam();
    const read_settings_result given = read_with_limits(line);
    ASSERT_FALSE(given.settings);
    ASSERT_EQ(given.faults.size(), 1U);
    EXPECT_NE(given.faults[0].text().find("limits." + line.substr(0, line.find(' '))),
              std::string::npos)
        << given.faults[0].text();
}

INSTANTIATE_TEST_SUITE_P(settings, client_limits_fault_test,
                         testing::Values("memory-mb = 0", "max-fds = 31",
                                         "request-memory-bytes = 65535",
                                         "client-connections = 0"));

TEST(configuration_test, reads_queues_and_routes_by_the_longest_prefix)
{
    const result<configuration> read = read_configuration(complete_configuration);
    ASSERT_TRUE(read);
    const configuration& version = read.value();
    EXPECT_EQ(version.version, 7U);
    EXPECT_EQ(version.queues[0].attempts, 2U);
    EXPECT_EQ(version.queues[0].objective, std::chrono::seconds(1));
    ASSERT_TRUE(version.queues[0].advice);
    EXPECT_EQ(version.queues[0].advice->decide, std::chrono::milliseconds(410));
    EXPECT_FALSE(version.queues[1].advice);
    EXPECT_EQ(version.find_route("a.example", "/p/longer/x")->queue.value(), "r-2");
    EXPECT_EQ(version.find_route("a.example", "/p/x")->queue.value(), "r-1");
    EXPECT_EQ(version.find_route("b.example", "/p/x"), nullptr);
    EXPECT_EQ(version.find_route("a.example", "/q/x"), nullptr);
}

class malformed_configuration_test : public testing::TestWithParam<const char*>
{
};

TEST_P(malformed_configuration_test, document_is_rejected)
{
    EXPECT_FALSE(read_configuration(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(documents, malformed_configuration_test,
                         testing::Values("", "[]", "{", R"({"version":1})",
                                         R"({"version":-1,"routes":[]})",
                                         R"({"version":1,"routes":[{"name":"r"}]})"));

/// Follows the configuration in a simulated store whose condition is the test parameter.
class configuration_follower_test : public testing::TestWithParam<cell::store_condition>
{
protected:
    void write(int version, const std::string& prefix)
    {
        ++state.revision;
        state.put("op/config",
                  R"({"version":)" + std::to_string(version) +
                      R"(,"routes":[{"name":"r","host":"h","prefix":")" + prefix +
                      R"(","service":"s"}]})",
                  cell::lease_id());
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    cell::memory_store_state state{loop};
    cell::memory_store store{state};
    std::vector<std::uint64_t> versions;
    configuration_follower follower{loop, store, log,
                                    [this](const configuration& version)
                                    { versions.push_back(version.version); }};
};

// A new version must be applied within 2 s, even if watches are cut, requests refused or
// responses lost for the first 300 ms.
TEST_P(configuration_follower_test, applies_a_new_version_within_two_seconds)
{
    write(5, "/old/");
    follower.start();
    loop.advance(std::chrono::milliseconds(300));
    ASSERT_NE(follower.current(), nullptr);
    store.condition = GetParam();
    write(9, "/new/");
    loop.advance(std::chrono::milliseconds(300));
    store.condition = cell::store_condition::well;
    loop.advance(std::chrono::milliseconds(1700));
    EXPECT_EQ(follower.current()->version, 9U);
    EXPECT_NE(follower.current()->find_route("h", "/new/1"), nullptr);
    EXPECT_EQ(follower.current()->find_route("h", "/old/1"), nullptr);
}

INSTANTIATE_TEST_SUITE_P(conditions, configuration_follower_test,
                         testing::Values(cell::store_condition::well,
                                         cell::store_condition::cutting_watches,
                                         cell::store_condition::refusing,
                                         cell::store_condition::losing_answers));

TEST_F(configuration_follower_test, never_applies_an_older_version)
{
    write(5, "/a/");
    follower.start();
    loop.advance(std::chrono::milliseconds(300));
    write(9, "/b/");
    loop.advance(std::chrono::seconds(1));
    write(7, "/c/");
    loop.advance(std::chrono::seconds(1));
    state.forget_history();
    write(8, "/d/");
    loop.advance(std::chrono::seconds(3));
    EXPECT_EQ(versions, (std::vector<std::uint64_t>{5, 9}));
}

// A malformed version must neither replace the current one nor block later ones.
TEST_F(configuration_follower_test, keeps_the_current_version_when_a_new_one_is_malformed)
{
    write(5, "/a/");
    follower.start();
    loop.advance(std::chrono::milliseconds(300));
    ++state.revision;
    state.put("op/config", R"({"version":"nine"})", cell::lease_id());
    loop.advance(std::chrono::seconds(2));
    EXPECT_EQ(follower.current()->version, 5U);
    write(10, "/b/");
    loop.advance(std::chrono::seconds(2));
    EXPECT_EQ(follower.current()->version, 10U);
}

TEST(runner_entry_test, reads_rack_incarnation_and_capacity)
{
    const std::optional<cell::worker_info> read =
        read_runner(worker_id("i-1"), complete_entry);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->rack.value(), "r1-3");
    EXPECT_EQ(read->incarnation.value(), 1790000000000);
    EXPECT_EQ(read->capacity.processors.value(), 16000);
    EXPECT_FALSE(read->draining);
}

/// Entries that are malformed or written by other software must not be listed as workers.
class malformed_runner_entry_test : public testing::TestWithParam<const char*>
{
};

TEST_P(malformed_runner_entry_test, entry_is_not_listed_as_a_worker)
{
    EXPECT_FALSE(read_runner(worker_id("i-1"), GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
    entries, malformed_runner_entry_test,
    testing::Values("", "\xff\xfe", "null", "7", "{}",
                    R"({"service":"s1","address":"1.1.1.1:1","state":"resting",
                        "room":{"cpu":1,"mem-mb":1},"labels":[]})",
                    R"({"service":"s1","address":"1.1.1.1:1","state":"ready",
                        "room":{"cpu":"1","mem-mb":1},"labels":[]})",
                    R"({"service":5,"address":"1.1.1.1:1","state":"ready",
                        "room":{"cpu":1,"mem-mb":1},"labels":[]})",
                    R"({"service":"s1","address":"1.1.1.1:1","state":"ready",
                        "room":{"cpu":1,"mem-mb":1},"labels":[3]})"));

TEST(job_document_test, reads_steps)
{
    findings faults;
    const cell::job_spec job = read_job(
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,
        "affinity":"r1-3","gang":true},{"cpu":2000,"after":[0],"checkpoint":true,
        "anti-affinity":2}]})",
        faults);
    ASSERT_TRUE(faults.empty()) << faults.front().text();
    ASSERT_EQ(job.steps.size(), 2U);
    EXPECT_EQ(job.payload, "text");
    EXPECT_EQ(job.steps[0].count, 4U);
    EXPECT_TRUE(job.steps[0].gang);
    EXPECT_EQ(job.steps[0].data_rack.value(), "r1-3");
    EXPECT_EQ(job.steps[1].count, 1U);
    EXPECT_EQ(job.steps[1].after, std::vector<std::uint32_t>{0});
    EXPECT_EQ(job.steps[1].per_worker, 2U);
}

TEST(job_document_test, reports_all_faults_of_a_job_together)
{
    findings faults;
    read_job(R"({"spec":5,"times":3,"steps":[{"count":0},{"cpu":-1,"after":[1]},
        {"fills":true}]})",
             faults);
    std::set<std::string> places;
    for (const finding& fault : faults)
        places.insert(fault.place);
    const std::set<std::string> expected{"/spec",          "/times",
                                         "/steps/0/count", "/steps/1/cpu",
                                         "/steps/1/after", "/steps/2/fills"};
    EXPECT_EQ(places, expected);
}

TEST(job_document_test, accepts_only_16_hexadecimal_digits_as_a_job_id)
{
    EXPECT_TRUE(is_job_id("5c0e7a21d94b36f8"));
    EXPECT_FALSE(is_job_id("5c0e7a21d94b36f"));
    EXPECT_FALSE(is_job_id("5c0e7a21d94b36fg"));
    EXPECT_FALSE(is_job_id(""));
}

} // namespace hawthornbeam::adapter
