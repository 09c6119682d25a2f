/// \file
/// Tests that the invariant checker accepts a valid history and reports each kind of
/// violation.
#include "test/standins/invariant_checker.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::standins
{

namespace
{

const job_id batch(1, 1);
const job_id single(2, 2);
const resources half{millicores(2000), byte_count(100), accelerator_count(0)};

/// An idempotent job with two tasks and a non-idempotent request, all done.
recorded_history valid_history()
{
    recorded_history history;
    history.capacities["w0"] = half + half;
    history.capacities["w1"] = half + half;
    history.events = {{1.0, "w0", "start", {batch, 0, 0}, half},
                      {1.0, "w0", "start", {batch, 1, 0}, half},
                      {2.0, "w0", "end", {batch, 0, 0}, half},
                      {2.0, "w0", "start", {single, 0, 0}, half},
                      {3.0, "w0", "end", {batch, 1, 0}, half},
                      {3.0, "w0", "end", {single, 0, 0}, half}};
    history.callers = {
        {batch,
         true,
         2,
         "b",
         wire::job_verdict::done,
         true,
         {{0, task_state::finished, true, "b"}, {1, task_state::finished, true, "b"}}},
        {single,
         false,
         1,
         "s",
         wire::job_verdict::done,
         true,
         {{0, task_state::finished, true, "s"}}}};
    history.leaving = {{"w1", 4.0}};
    history.tables = {{1.0, "i0", 1}, {5.0, "i0", 2}, {12.0, "i0", 2}};
    history.acceptances = {{4.5, 2}};
    history.open_at_planned_stop = {single};
    return history;
}

struct forgery
{
    const char* name;
    int invariant;
    void (*forge)(recorded_history&);
};

class InvariantChecker : public testing::TestWithParam<forgery>
{
};

/// Guards against a checker that misses a violated invariant.
TEST_P(InvariantChecker, ReportsForgedViolation)
{
    recorded_history history = valid_history();
    GetParam().forge(history);
    const std::vector<violation> found = check_invariants(history);
    ASSERT_FALSE(found.empty());
    for (const violation& one : found)
        EXPECT_EQ(one.invariant, GetParam().invariant) << one.text;
}

INSTANTIATE_TEST_SUITE_P(
    Forged, InvariantChecker,
    testing::Values(
        forgery{"Overload", 1,
                [](recorded_history& h) {
                    h.events.push_back({1.5, "w0", "start", {job_id(9, 9), 0, 0}, half});
                }},
        forgery{"TwoPlaces", 2,
                [](recorded_history& h) {
                    h.events.push_back({1.5, "w1", "start", {batch, 0, 1}, half});
                }},
        forgery{"CrossedAnswer", 3,
                [](recorded_history& h) { h.callers[1].results[0].output = "b"; }},
        forgery{"PartOfAnswer", 3,
                [](recorded_history& h) { h.callers[0].results.pop_back(); }},
        forgery{"RanAfterNotRun", 4,
                [](recorded_history& h)
                { h.callers[1].verdict = wire::job_verdict::not_run; }},
        forgery{"RanTwice", 5,
                [](recorded_history& h) {
                    h.events.push_back({3.5, "w0", "start", {single, 0, 1}, half});
                }},
        forgery{"StartOnLeaving", 6,
                [](recorded_history& h) {
                    h.events.push_back({7.1, "w1", "start", {job_id(9, 9), 0, 0}, half});
                }},
        forgery{"CutOff", 7, [](recorded_history& h) { h.callers[1].answered = false; }},
        forgery{"LateTable", 8,
                [](recorded_history& h) {
                    h.tables.push_back({10.6, "i1", 1});
                }},
        forgery{"RevertedTable", 8,
                [](recorded_history& h) {
                    h.tables.push_back({5.5, "i0", 1});
                }}),
    [](const testing::TestParamInfo<forgery>& info) { return info.param.name; });

/// Guards against false positives, which would make the process tests useless.
TEST(InvariantCheckerValidHistory, ReportsNoViolation)
{
    for (const violation& one : check_invariants(valid_history()))
        ADD_FAILURE() << one.invariant << ": " << one.text;
}

} // namespace

} // namespace hawthornbeam::standins
