/// \file
/// Tests what observations of a worker prove about its runs.
#include "lib/cell/run_evidence.hpp"

#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

constexpr event_position before_answer{1, 5};
constexpr event_position at_answer{1, 10};
constexpr event_position after_answer{1, 11};

run_record record(run_phase phase, bool answered)
{
    run_record run;
    run.run = run_number(1);
    run.phase = phase;
    run.answered = answered;
    if (answered)
        run.position = at_answer;
    return run;
}

run_record answered_run()
{
    return record(run_phase::running, true);
}

run_record unanswered_start()
{
    return record(run_phase::starting, false);
}

run_record stopping(bool stop_answered)
{
    run_record run = record(run_phase::stopping, false);
    run.stop_answered = stop_answered;
    run.position = at_answer;
    return run;
}

struct evidence_case
{
    const char* name;
    run_record run;
    run_evidence evidence;
    run_fate fate;
};

void PrintTo(const evidence_case& value, std::ostream* out)
{
    *out << value.name;
}

class run_evidence_test : public testing::TestWithParam<evidence_case>
{
};

// Guards against taking a run for ended on evidence that does not prove it.
TEST_P(run_evidence_test, gives_up_only_runs_that_are_proven_to_have_ended)
{
    EXPECT_EQ(judge_run(GetParam().run, GetParam().evidence), GetParam().fate);
}

constexpr evidence_kind refused = evidence_kind::refused;
constexpr evidence_kind other_worker = evidence_kind::other_worker;
constexpr evidence_kind unlisted = evidence_kind::unlisted;
constexpr evidence_kind lease_expired = evidence_kind::lease_expired;

INSTANTIATE_TEST_SUITE_P(
    evidence, run_evidence_test,
    testing::Values(
        evidence_case{"refused", answered_run(), {refused, after_answer}, run_fate::open},
        evidence_case{"refused_unanswered",
                      unanswered_start(),
                      {refused, after_answer, true},
                      run_fate::open},
        evidence_case{
            "replaced", answered_run(), {other_worker, after_answer}, run_fate::lost},
        evidence_case{
            "lease_expired", answered_run(), {lease_expired, {}}, run_fate::lost},
        evidence_case{
            "unlisted", answered_run(), {unlisted, after_answer}, run_fate::lost},
        evidence_case{"unlisted_by_an_older_poll",
                      answered_run(),
                      {unlisted, before_answer},
                      run_fate::open},
        evidence_case{"unlisted_unanswered",
                      unanswered_start(),
                      {unlisted, after_answer},
                      run_fate::open},
        evidence_case{"unlisted_overdue",
                      unanswered_start(),
                      {unlisted, after_answer, true},
                      run_fate::uncertain},
        evidence_case{
            "stop_unanswered", stopping(false), {unlisted, after_answer}, run_fate::open},
        evidence_case{
            "stop_answered", stopping(true), {unlisted, after_answer}, run_fate::lost}),
    [](const testing::TestParamInfo<evidence_case>& each)
    { return std::string(each.param.name); });

} // namespace

} // namespace hawthornbeam::cell
