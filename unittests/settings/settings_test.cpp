/// \file
/// Tests of the parsing and validation of the settings file.
#include "hawthornbeam/settings/settings.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace hawthornbeam
{
namespace
{

const std::string minimal = R"(id = "entry-1"
region = "andes"
failure_domain = "a"
listen_ip = "127.0.0.1"
http_port = 8080
peer_port = 7400
gossip_port = 7401
kv_url = "http://127.0.0.1:2379"
host_list_url = "http://[::1]:2380"
)";

std::string joined(const findings& faults)
{
    std::string text;
    for (const finding& fault : faults)
        text += fault.text() + "\n";
    return text;
}

// Guards against an example file that is rejected by the parser or lacks keys.
TEST(settings_test, example_file_is_valid)
{
    const parsed_settings parsed =
        load_settings(HAWTHORNBEAM_SOURCE "/examples/hawthornd.toml");
    ASSERT_TRUE(parsed.settings.has_value()) << joined(parsed.faults);
    EXPECT_EQ(parsed.settings->seeds.size(), 2U);
    ASSERT_EQ(parsed.settings->tokens.size(), 2U);
    EXPECT_EQ(parsed.settings->tokens[0].role, access_role::operator_);
    EXPECT_EQ(parsed.settings->tokens[1].partner, partner_id("partner-a"));
}

// Guards against defaults that differ from those in the header.
TEST(settings_test, absent_keys_keep_defaults)
{
    const parsed_settings parsed = parse_settings(minimal, "s.toml");
    ASSERT_TRUE(parsed.settings.has_value()) << joined(parsed.faults);
    EXPECT_EQ(parsed.settings->partitions, 64);
    EXPECT_EQ(parsed.settings->drain_limit, std::chrono::seconds(30));
    EXPECT_TRUE(parsed.settings->tokens.empty());
}

// Guards against limits on clients that are ignored.
TEST(settings_test, limits_on_clients_are_read)
{
    const parsed_settings parsed = parse_settings(
        minimal + "most_connections = 7\nmost_request_memory_bytes = 65536\n", "s.toml");
    ASSERT_TRUE(parsed.settings.has_value()) << joined(parsed.faults);
    EXPECT_EQ(parsed.settings->max_connections, 7U);
    EXPECT_EQ(parsed.settings->request_memory_bytes, 65536U);
}

// Guards against validation that stops at the first finding.
TEST(settings_test, reports_all_findings_together)
{
    const parsed_settings parsed =
        parse_settings("id = 3\nhttp_port = 70000\n", "s.toml");
    EXPECT_FALSE(parsed.settings.has_value());
    EXPECT_EQ(parsed.faults.size(), 9U) << joined(parsed.faults);
}

// Guards against tokens that leak into logs through findings.
TEST(settings_test, findings_do_not_contain_tokens)
{
    const parsed_settings parsed = parse_settings(
        minimal + "[[tokens]]\nname=\"a\"\ntoken=\"hidden\"\nrole=\"operator\"\n", "s");
    EXPECT_FALSE(parsed.settings.has_value());
    EXPECT_EQ(joined(parsed.faults).find("hidden"), std::string::npos);
}

// Guards against treating a missing file as an empty file.
TEST(settings_test, unreadable_file_is_a_finding)
{
    EXPECT_EQ(load_settings("/nonexistent/s.toml").faults.size(), 1U);
}

struct fault_case
{
    const char* name;
    const char* key;  ///< Key of the line in `minimal` that is replaced.
    const char* text; ///< Replacement line, or added text if `key` is empty.
    const char* expected;
};

class settings_fault_test : public testing::TestWithParam<fault_case>
{
};

std::string with_line(const fault_case& fault)
{
    std::string text = minimal;
    if (*fault.key == '\0')
        return text + fault.text + "\n";
    const std::size_t begin = text.find(std::string(fault.key) + " =");
    text.replace(begin, text.find('\n', begin) - begin, fault.text);
    return text;
}

// Guards against invalid values that are accepted or reported at the wrong location.
TEST_P(settings_fault_test, invalid_value_is_reported_at_its_location)
{
    const parsed_settings parsed = parse_settings(with_line(GetParam()), "s.toml");
    EXPECT_FALSE(parsed.settings.has_value());
    ASSERT_EQ(parsed.faults.size(), 1U) << joined(parsed.faults);
    EXPECT_EQ(parsed.faults[0].text(), GetParam().expected);
}

#define TOKEN(NAME, REST) "[[tokens]]\nname=\"" NAME "\"\n" REST
#define SECRET "token=\"0123456789abcdef\"\n"

INSTANTIATE_TEST_SUITE_P(
    faults, settings_fault_test,
    testing::Values(
        fault_case{"syntax", "id", "id = ",
                   "s.toml:1: Error while parsing key-value pair: expected value, saw "
                   "'\\n' (expected a TOML document)"},
        fault_case{"missing", "region", "",
                   "s.toml:1: region: is missing (expected a string)"},
        fault_case{"type", "http_port", "http_port = \"x\"",
                   "s.toml:5: http_port: is a string (expected an integer)"},
        fault_case{"port", "gossip_port", "gossip_port = 0",
                   "s.toml:7: gossip_port: is 0 (expected 1 to 65535)"},
        fault_case{"same_port", "peer_port", "peer_port = 8080",
                   "s.toml:6: peer_port: is also the http_port (expected a TCP port of "
                   "its own)"},
        fault_case{"host_name", "listen_ip", "listen_ip = \"localhost\"",
                   "s.toml:4: listen_ip: is \"localhost\" (expected a literal IPv4 or "
                   "IPv6 address)"},
        fault_case{
            "url", "kv_url", "kv_url = \"http://127.0.0.1:2379/x\"",
            "s.toml:8: kv_url: is \"http://127.0.0.1:2379/x\" (expected http://IP:PORT)"},
        fault_case{"seed", "", "seeds = [\"::1:7\"]",
                   "s.toml:10: seeds: item 0 is \"::1:7\" (expected IP:PORT, an IPv6 "
                   "address in brackets)"},
        fault_case{
            "duration", "", "drain_limit = \"30\"",
            "s.toml:10: drain_limit: \"30\" is not a time (expected a time with its "
            "unit, such as \"30 s\")"},
        fault_case{"duration_range", "", "drain_limit = \"5 h\"",
                   "s.toml:10: drain_limit: is \"5 h\" (expected 1 s to 3600 s)"},
        fault_case{"connections", "", "most_connections = 0",
                   "s.toml:10: most_connections: is 0 (expected 1 to 1000000)"},
        fault_case{"request_memory", "", "most_request_memory_bytes = 65535",
                   "s.toml:10: most_request_memory_bytes: is 65535 (expected 65536 to "
                   "1000000000000)"},
        fault_case{
            "nan", "", "most_requests_per_second = nan",
            "s.toml:10: most_requests_per_second: is nan (expected 0.1 to 1000000)"},
        fault_case{"short_token", "", TOKEN("a", "token=\"short\"\nrole=\"operator\""),
                   "s.toml:12: tokens[0].token: has 5 characters (expected at least 16 "
                   "printable ASCII characters, no spaces)"},
        fault_case{"role", "", TOKEN("a", SECRET "role=\"x\""),
                   "s.toml:13: tokens[0].role: is \"x\" (expected partner or operator)"},
        fault_case{"no_partner", "", TOKEN("a", SECRET "role=\"partner\""),
                   "s.toml:10: tokens[0].partner: is missing (expected the partner whose "
                   "work the token may act on)"},
        fault_case{"same_token", "",
                   TOKEN("a", SECRET "role=\"operator\"\n")
                       TOKEN("b", SECRET "role=\"operator\""),
                   "s.toml:16: tokens[1].token: repeats that of line 10 (expected a "
                   "different token for each token)"},
        fault_case{"same_name", "",
                   TOKEN("a", SECRET "role=\"operator\"\n")
                       TOKEN("a", "token=\"fedcba9876543210\"\nrole=\"operator\""),
                   "s.toml:15: tokens[1].name: repeats that of line 10 (expected a "
                   "different name for each token)"}),
    [](const testing::TestParamInfo<fault_case>& info) { return info.param.name; });

// Guards against misspelled keys and tables that are silently ignored.
TEST(settings_test, unknown_keys_and_tables_are_reported)
{
    const parsed_settings parsed =
        parse_settings(minimal + "partition = 3\n[limits]\nx = 1\n", "s.toml");
    ASSERT_EQ(parsed.faults.size(), 2U) << joined(parsed.faults);
    EXPECT_EQ(parsed.faults[0].message, "is an unknown key");
    EXPECT_EQ(parsed.faults[0].place, "partition");
    EXPECT_EQ(parsed.faults[1].message, "is an unknown table");
    EXPECT_EQ(parsed.faults[1].line, 11);
}

} // namespace
} // namespace hawthornbeam
