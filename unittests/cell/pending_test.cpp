/// \file
/// Tests the reasons that are reported for steps that wait.
#include "fleet.hpp"
#include "lib/cell/pending.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

barrier_counts
counts_of(const std::vector<std::pair<worker_barrier, std::uint64_t>>& workers,
          std::uint64_t places = 0)
{
    barrier_counts counts;
    for (const auto& [barrier, number] : workers)
        counts.workers[static_cast<std::size_t>(barrier)] = number;
    counts.places = places;
    return counts;
}

struct explained_case
{
    barrier_counts counts;
    pending_step step;
    pending_reason expected = pending_reason::not_placed;
};

class pending_reason_test : public testing::TestWithParam<explained_case>
{
};

TEST_P(pending_reason_test, names_what_keeps_most_workers_from_the_step)
{
    EXPECT_STREQ(to_string(explain(GetParam().counts, GetParam().step)),
                 to_string(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
    reasons, pending_reason_test,
    testing::Values(
        explained_case{counts_of({{worker_barrier::unsuitable, 9}}),
                       {},
                       pending_reason::no_suitable_worker},
        explained_case{
            counts_of({{worker_barrier::quarantined, 5}, {worker_barrier::full, 4}}),
            {},
            pending_reason::workers_quarantined},
        explained_case{counts_of({{worker_barrier::away, 8}, {worker_barrier::full, 2}}),
                       {},
                       pending_reason::workers_away},
        explained_case{
            counts_of({{worker_barrier::full, 1}, {worker_barrier::quarantined, 1}}, 0),
            {},
            pending_reason::workers_quarantined},
        explained_case{
            counts_of({{worker_barrier::not_admitted, 30}, {worker_barrier::full, 4}}),
            {},
            pending_reason::no_room},
        explained_case{
            counts_of({{worker_barrier::not_admitted, 30}, {worker_barrier::held, 4}}),
            {},
            pending_reason::room_held},
        explained_case{counts_of({{worker_barrier::not_admitted, 30}}),
                       {},
                       pending_reason::not_admitted},
        explained_case{counts_of({{worker_barrier::not_asked, 30}}),
                       {1, true, false},
                       pending_reason::advice_requested},
        explained_case{counts_of({{worker_barrier::not_asked, 30}}),
                       {1, false, true},
                       pending_reason::advice_limit},
        explained_case{counts_of({{worker_barrier::none, 4}}, 8),
                       {8, false, false},
                       pending_reason::not_placed},
        explained_case{
            counts_of({{worker_barrier::none, 4}, {worker_barrier::expired, 3}}, 8),
            {9, false, false},
            pending_reason::tickets_expired}));

} // namespace

// Guards against logs that name an accepted job only when it was accepted.
TEST(pending_report_test, waiting_step_is_reported_with_its_reason_at_growing_intervals)
{
    fleet workers(1);
    std::vector<nlohmann::json> lines;
    workers.log_sink = [&lines](const std::string& line)
    {
        nlohmann::json event = nlohmann::json::parse(line);
        if (event.at("message") == "step waits")
            lines.push_back(std::move(event));
    };
    workers.add_queue("q", 0);
    workers.submit(fleet::job("busy", "q", 1, 8, seconds(60)));
    workers.decide();
    workers.submit(fleet::job("a", "q", 3, 8));
    for (int tick = 0; tick < 190; ++tick)
    {
        workers.advance(milliseconds(100));
        workers.poll_all();
        workers.decide();
    }
    ASSERT_EQ(lines.size(), 4U);
    for (const nlohmann::json& line : lines)
    {
        EXPECT_EQ(line.at("job"), "a");
        EXPECT_EQ(line.at("tasks"), 3);
        EXPECT_EQ(line.at("reason"), "no_room");
        EXPECT_EQ(line.at("full"), 1);
    }
    EXPECT_EQ(
        workers.metrics.gauge("hawthornbeam_pending_steps", {{"reason", "no_room"}}), 1);
    EXPECT_EQ(workers.metrics.counter("hawthornbeam_pending_steps_total",
                                      {{"reason", "no_room"}}),
              1);
}

} // namespace hawthornbeam::cell
