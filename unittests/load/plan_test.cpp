#include "hawthornbeam/load/plan.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace hawthornbeam
{

namespace
{

/// Guards against example plans that hawthornload rejects.
TEST(LoadPlan, ParsesTheExamplePlans)
{
    for (const char* name : {"load-mixed.toml", "load-flood.toml"})
    {
        std::ifstream input(std::string(HAWTHORNBEAM_SOURCE "/examples/") + name);
        const std::string text{std::istreambuf_iterator<char>(input),
                               std::istreambuf_iterator<char>()};
        const parsed_load_plan parsed = parse_load_plan(text, name);
        for (const finding& fault : parsed.faults)
            ADD_FAILURE() << fault.text();
        ASSERT_TRUE(parsed.plan);
        EXPECT_FALSE(parsed.plan->streams.empty());
    }
}

/// Guards against a parser that stops at the first fault.
TEST(LoadPlan, ReportsAllFaultsOfAPlan)
{
    const parsed_load_plan parsed = parse_load_plan(R"(
surprise = 1
[[streams]]
name = "a"
partner = "p"
kind = "k"
count = 1
rate = 1.0
processors = 1
memory = 1
synchronous = true
tasks = 2
[[streams]]
name = "a"
partner = "p"
kind = "k"
count = 1
start = "2 s"
end = "1 s"
processors = 1
memory = 0
)",
                                                    "p.toml");
    EXPECT_FALSE(parsed.plan);
    std::vector<std::string> places;
    for (const finding& fault : parsed.faults)
        places.push_back(fault.place);
    const std::vector<std::string> expected{
        "streams[0].count", "streams[0].tasks",  "streams[0].deadline",
        "streams[1].end",   "streams[1].memory", "streams[1].name",
        "surprise"};
    EXPECT_EQ(places, expected);
}

/// Guards against streams whose jobs are submitted in one burst or after the end time.
TEST(LoadPlan, SpreadsJobsEvenlyBetweenStartAndEnd)
{
    load_stream stream;
    stream.count = 4;
    stream.start = std::chrono::seconds(10);
    stream.end = std::chrono::seconds(12);
    stream.payload = "{number} of 4, {number}";
    EXPECT_EQ(due_time(stream, 0), std::chrono::seconds(10));
    EXPECT_EQ(due_time(stream, 3), std::chrono::milliseconds(11500));
    EXPECT_EQ(payload_of(stream, 3), "3 of 4, 3");
}

} // namespace

} // namespace hawthornbeam
