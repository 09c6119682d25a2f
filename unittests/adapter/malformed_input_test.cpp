/// \file
/// Tests that malformed documents are rejected or read with defaults, and never end the
/// process. Mutations of valid documents are drawn from a seed.
#include "hawthornbeam/support/random_source.hpp"
#include "platform/configuration.hpp"
#include "platform/job_document.hpp"
#include "platform/runner_registry.hpp"
#include "platform/units.hpp"

#include <gtest/gtest.h>
#include <limits>

namespace hawthornbeam::adapter
{

namespace
{

constexpr int mutations_per_document = 3000;

/// A reader of documents from outside, with a valid document.
struct document_reader
{
    const char* name;
    std::string valid;
    std::function<void(const std::string&)> read;
};

void PrintTo(const document_reader& reader, std::ostream* out)
{
    *out << reader.name;
}

std::string mutated(std::string text, random_source& random)
{
    static const std::vector<std::string> fragments{"\"",
                                                    "{",
                                                    "[",
                                                    "]",
                                                    "}",
                                                    ",",
                                                    ":",
                                                    "null",
                                                    "-1",
                                                    "1e999",
                                                    "18446744073709551616",
                                                    "1e300",
                                                    "true",
                                                    "\\u0000",
                                                    "\xff\xfe",
                                                    std::string(1, '\0'),
                                                    "[[[[[[[[",
                                                    "\"\""};
    for (std::uint64_t change = 0; change <= random.below(4); ++change)
    {
        const std::size_t at = random.below(text.size() + 1);
        switch (random.below(3))
        {
        case 0:
            text.insert(at, fragments[random.below(fragments.size())]);
            break;
        case 1:
            text.erase(at, random.below(12));
            break;
        default:
            text.replace(at, random.below(6), fragments[random.below(fragments.size())]);
        }
    }
    return text;
}

class malformed_document_test : public testing::TestWithParam<document_reader>
{
};

TEST_P(malformed_document_test, does_not_throw)
{
    random_source random(20261204);
    EXPECT_NO_THROW(GetParam().read(GetParam().valid));
    for (int number = 0; number < mutations_per_document; ++number)
    {
        const std::string document = mutated(GetParam().valid, random);
        EXPECT_NO_THROW(GetParam().read(document)) << document;
    }
    EXPECT_NO_THROW(GetParam().read(std::string(100000, '[')));
    EXPECT_NO_THROW(GetParam().read(""));
}

INSTANTIATE_TEST_SUITE_P(
    documents, malformed_document_test,
    testing::Values(
        document_reader{
            "job",
            R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem-mb":256,"estimate-ms":900,)"
            R"("affinity":"r1-3"},{"count":2,"cpu":2,"after":[0],"gang":true}]})",
            [](const std::string& text)
            {
                findings faults;
                read_job(text, faults);
                for (const finding& each : faults)
                    static_cast<void>(each.text());
            }},
        document_reader{
            "configuration",
            R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/p/","service":"s",)"
            R"("priority":1,"attempts":2,"stretch":1.5,"slo-ms":250,)"
            R"("advice":{"decide-ms":9.3,"each-ms":0.13,"valid-ms":2500}}],)"
            R"("limits":{"body-bytes":1000}})",
            [](const std::string& text) { static_cast<void>(read_configuration(text)); }},
        document_reader{
            "worker",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
            R"("born":1700000000000,"room":{"cpu":32000,"mem-mb":65536,"gpu":0},)"
            R"("labels":["a","r1-3"]})",
            [](const std::string& text)
            { static_cast<void>(read_runner(worker_id("w"), text)); }}));

TEST(units_test, numbers_out_of_range_are_clamped)
{
    EXPECT_GT(from_ms(1e300), std::chrono::hours(24 * 365));
    EXPECT_LT(from_ms(-1e300), std::chrono::hours(0));
    EXPECT_GT(from_mebibytes(std::numeric_limits<std::uint64_t>::max()), byte_count(0));
}

} // namespace

} // namespace hawthornbeam::adapter
