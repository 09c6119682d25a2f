/// \file
/// Tests that docs/OPERATIONS.md lists exactly the events that the platform logs.
#include "cell_simulation.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>

namespace hawthornbeam::cell
{

namespace
{

/// Component and message of a log line.
using event_name = std::pair<std::string, std::string>;

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string trimmed(const std::string& text)
{
    const std::size_t first = text.find_first_not_of(' ');
    return first == std::string::npos
               ? ""
               : text.substr(first, text.find_last_not_of(' ') - first + 1);
}

/// The documented events with the names of their fields.
std::map<event_name, std::set<std::string>> documented_events()
{
    std::map<event_name, std::set<std::string>> events;
    std::istringstream page(
        read_file(std::filesystem::path(HAWTHORNBEAM_SOURCE) / "docs/OPERATIONS.md"));
    const std::string header = "| component | message | fields | says |";
    bool in_table = false;
    for (std::string line; std::getline(page, line);)
    {
        if (line == header || (in_table && !line.starts_with('|')))
            in_table = line == header;
        else if (in_table && !line.starts_with("|---"))
        {
            std::vector<std::string> cells;
            std::istringstream row(line.substr(1));
            for (std::string cell; std::getline(row, cell, '|');)
                cells.push_back(trimmed(cell));
            std::istringstream fields(cells.at(2));
            std::set<std::string>& names = events[{cells.at(0), cells.at(1)}];
            for (std::string field; fields >> field;)
                names.insert(field);
        }
    }
    return events;
}

/// Events that the sources log with literal component and message.
std::set<event_name> events_in_sources()
{
    std::set<event_name> events;
    const std::regex call(
        R"re(log_?(?:\(\))?\.(?:debug|info|warning|error)\(\s*"([a-z]+)",\s*"([^"]+)")re");
    for (const char* directory :
         {"lib/cell", "lib/server", "platform", "tools/hawthornbeamd"})
        for (const std::filesystem::directory_entry& file :
             std::filesystem::directory_iterator(
                 std::filesystem::path(HAWTHORNBEAM_SOURCE) / directory))
        {
            const std::string text = read_file(file.path());
            for (auto found = std::sregex_iterator(text.begin(), text.end(), call);
                 found != std::sregex_iterator(); ++found)
                events.insert({(*found)[1], (*found)[2]});
        }
    return events;
}

// Engineers on call search the logs for the events that the page lists.
TEST(log_schema_test, the_page_lists_exactly_the_events_of_the_sources)
{
    std::set<event_name> documented;
    for (const auto& [event, fields] : documented_events())
        if (event.first != "log") // Written by the log itself.
            documented.insert(event);
    const std::set<event_name> present = events_in_sources();
    EXPECT_GT(present.size(), 30U);
    for (const event_name& event : present)
        EXPECT_TRUE(documented.contains(event)) << event.first << ", " << event.second;
    for (const event_name& event : documented)
        EXPECT_TRUE(present.contains(event)) << event.first << ", " << event.second;
}

class logged_fields_test : public testing::TestWithParam<std::size_t>
{
};

TEST_P(logged_fields_test, logged_fields_match_the_page)
{
    const std::map<event_name, std::set<std::string>> documented = documented_events();
    std::size_t lines = 0;
    cell_simulation simulation(
        GetParam() + 1,
        [&documented, &lines](const std::string& line)
        {
            ++lines;
            const nlohmann::json event = nlohmann::json::parse(line);
            const auto row = documented.find({event.at("component").get<std::string>(),
                                              event.at("message").get<std::string>()});
            ASSERT_NE(row, documented.end()) << line;
            std::set<std::string> expected = row->second;
            expected.insert({"time", "level", "component", "instance", "message"});
            std::set<std::string> present;
            for (const auto& [key, value] : event.items())
                present.insert(key);
            EXPECT_EQ(present, expected) << line;
        });
    simulation.run(std::chrono::seconds(10), {static_cast<cell_failure>(GetParam())});
    EXPECT_GT(lines, 50U);
}

INSTANTIATE_TEST_SUITE_P(failures, logged_fields_test,
                         testing::Range(std::size_t{0}, cell_failures));

} // namespace

} // namespace hawthornbeam::cell
