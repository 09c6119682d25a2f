/// \file
/// Tests that entries of other writers among those of the runners harm nothing.
#include "hawthornbeam/support/log.hpp"
#include "platform/runner_registry.hpp"
#include "unittests/cell/memory_store.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hawthornbeam::adapter
{

namespace
{

/// Builds an entry with these JSON texts for its address, cores and start time.
std::string entry(const std::string& address, const std::string& processors = "16000",
                  const std::string& born = "1790000000000")
{
    return fmt::format(
        R"({{"service":"s1","address":{},"zone":"z","state":"ready","born":{},)"
        R"("room":{{"cpu":{},"mem-mb":1024,"gpu":0}},"labels":["a","r1-3"]}})",
        address, born, processors);
}

std::string nested(std::size_t levels, bool closed)
{
    return std::string(levels, '[') + (closed ? std::string(levels, ']') : "");
}

/// An entry with its key.
struct odd_entry
{
    const char* name;
    std::string key;
    std::string value;
};

void PrintTo(const odd_entry& value, std::ostream* out)
{
    *out << value.name;
}

constexpr const char* usual_key = "servers/odd";
const std::string usual_address = R"("10.0.0.1:80")";

class odd_entry_test : public testing::TestWithParam<odd_entry>
{
protected:
    odd_entry_test()
    {
        registry.start([this](const auto& listed) { last = listed; });
    }

    /// Returns the ids of the listed runners.
    std::vector<std::string> listed_ids()
    {
        loop.advance(std::chrono::seconds(2));
        std::vector<std::string> ids;
        for (const cell::worker_info& each : last)
            ids.push_back(each.id.value());
        return ids;
    }
    void put(const std::string& key, const std::string& value)
    {
        ++state.revision;
        state.put(key, value, cell::lease_id());
    }

    manual_event_loop loop;
    logger log{loop.clock(), "test", log_level::error, [](const std::string&) {}};
    cell::memory_store_state state{loop};
    cell::memory_store store{state, loop};
    runner_registry registry{loop, store, log};
    std::vector<cell::worker_info> last;
};

// Guards against hosts that end, or stop following the list, when another writer leaves
// an odd entry there.
TEST_P(odd_entry_test, names_no_runner_and_the_others_are_followed)
{
    const std::vector<std::string> first{"i-1"};
    const std::vector<std::string> both{"i-1", "i-2"};
    put("servers/i-1", entry(usual_address));
    EXPECT_EQ(listed_ids(), first);
    put(GetParam().key, GetParam().value);
    EXPECT_EQ(listed_ids(), first);
    put("servers/i-2", entry(R"("10.0.0.2:80")"));
    EXPECT_EQ(listed_ids(), both);
    // A host that starts now reads the whole list.
    registry.stop();
    runner_registry next(loop, store, log);
    next.start([this](const auto& listed) { last = listed; });
    EXPECT_EQ(listed_ids(), both);
}

INSTANTIATE_TEST_SUITE_P(
    entries, odd_entry_test,
    testing::Values(
        odd_entry{"nested", usual_key, nested(200000, true)},
        odd_entry{"nested_unclosed", usual_key, nested(200000, false)},
        odd_entry{"nested_in_a_field", usual_key, entry(nested(200000, true))},
        odd_entry{"nested_objects", usual_key,
                  []
                  {
                      std::string text;
                      for (int level = 0; level < 100000; ++level)
                          text += R"({"a":)";
                      return text;
                  }()},
        odd_entry{"largest_size", usual_key, nested(524288, true)},
        odd_entry{"number_beyond_double", usual_key, entry(usual_address, "1e999")},
        odd_entry{"number_beyond_64_bits", usual_key,
                  entry(usual_address, "99999999999999999999")},
        odd_entry{"number_beyond_63_bits", usual_key,
                  entry(usual_address, "18446744073709551615")},
        odd_entry{"number_beyond_a_machine", usual_key,
                  entry(usual_address, "9223372036854775807")},
        odd_entry{"negative_number", usual_key, entry(usual_address, "-1")},
        odd_entry{"start_time_beyond_63_bits", usual_key,
                  entry(usual_address, "1", "18446744073709551615")},
        odd_entry{"port_zero", usual_key, entry(R"("10.0.0.1:0")")},
        odd_entry{"port_too_large", usual_key, entry(R"("10.0.0.1:65536")")},
        odd_entry{"port_beyond_64_bits", usual_key,
                  entry(R"("10.0.0.1:99999999999999999999")")},
        odd_entry{"port_negative", usual_key, entry(R"("10.0.0.1:-1")")},
        odd_entry{"port_missing", usual_key, entry(R"("10.0.0.1")")},
        odd_entry{"address_with_a_path", usual_key, entry(R"("10.0.0.1:80/x?y=")")},
        odd_entry{"address_without_an_ip", usual_key, entry(R"("x@10.0.0.1:80")")},
        odd_entry{"address_empty", usual_key, entry(R"("")")},
        odd_entry{"unreadable_bytes", usual_key, "\xff\xfe\x00\x80"},
        odd_entry{"unreadable_text", usual_key, entry("\"\xff\xfe:80\"")},
        odd_entry{"id_empty", "servers/", entry(usual_address)},
        odd_entry{"id_with_a_line_break", "servers/a\r\nX: y", entry(usual_address)},
        odd_entry{"id_with_a_nul", std::string("servers/a\0b", 11),
                  entry(usual_address)}),
    [](const testing::TestParamInfo<odd_entry>& each) { return each.param.name; });

} // namespace

} // namespace hawthornbeam::adapter
