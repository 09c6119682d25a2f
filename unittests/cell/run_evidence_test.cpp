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

/// Listed by a poll before its answer.
run_record listed_start()
{
    run_record run = record(run_phase::running, false);
    run.started_here = true;
    run.listed = true;
    run.position = at_answer;
    return run;
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
constexpr evidence_kind restarted = evidence_kind::other_incarnation;
constexpr evidence_kind unlisted = evidence_kind::unlisted;
constexpr evidence_kind lease_expired = evidence_kind::lease_expired;

INSTANTIATE_TEST_SUITE_P(
    evidence, run_evidence_test,
    testing::Values(
        evidence_case{"refused", answered_run(), {refused, after_answer}, run_fate::open},
        evidence_case{"refused_unanswered",
                      unanswered_start(),
                      {refused, after_answer, true, true},
                      run_fate::open},
        evidence_case{"replaced_before_the_answer",
                      answered_run(),
                      {other_worker, before_answer},
                      run_fate::open},
        evidence_case{"replaced_unanswered",
                      unanswered_start(),
                      {other_worker, after_answer},
                      run_fate::lost},
        evidence_case{
            "replaced", answered_run(), {other_worker, after_answer}, run_fate::lost},
        evidence_case{
            "restarted", answered_run(), {restarted, after_answer}, run_fate::lost},
        evidence_case{"restarted_before_the_answer",
                      answered_run(),
                      {restarted, before_answer},
                      run_fate::open},
        evidence_case{"restarted_unanswered",
                      unanswered_start(),
                      {restarted, after_answer, true, true},
                      run_fate::uncertain},
        evidence_case{"restarted_unanswered_listed",
                      listed_start(),
                      {restarted, after_answer},
                      run_fate::lost},
        evidence_case{
            "lease_expired_listed", listed_start(), {lease_expired, {}}, run_fate::lost},
        evidence_case{
            "lease_expired", answered_run(), {lease_expired, {}}, run_fate::open},
        evidence_case{"later_leases_expired",
                      answered_run(),
                      {lease_expired, {}, true, false, true},
                      run_fate::lost},
        evidence_case{
            "unlisted", answered_run(), {unlisted, after_answer}, run_fate::lost},
        evidence_case{"unlisted_with_ends_missing",
                      answered_run(),
                      {unlisted, after_answer, false},
                      run_fate::open},
        evidence_case{"restarted_with_ends_missing",
                      answered_run(),
                      {restarted, after_answer, false},
                      run_fate::open},
        evidence_case{"stop_answered_with_ends_missing",
                      stopping(true),
                      {unlisted, after_answer, false},
                      run_fate::open},
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
                      {unlisted, after_answer, true, true},
                      run_fate::uncertain},
        evidence_case{
            "stop_unanswered", stopping(false), {unlisted, after_answer}, run_fate::open},
        evidence_case{
            "stop_answered", stopping(true), {unlisted, after_answer}, run_fate::lost}),
    [](const testing::TestParamInfo<evidence_case>& each)
    { return std::string(each.param.name); });

/// Answer to a start, and what it proves about the run.
class start_answer_test
    : public testing::TestWithParam<std::pair<command_outcome, run_fate>>
{
};

// Guards against starting a task elsewhere whose run may have begun.
TEST_P(start_answer_test, gives_up_only_runs_that_never_begin)
{
    EXPECT_EQ(judge_start_answer(GetParam().first), GetParam().second);
}

INSTANTIATE_TEST_SUITE_P(
    answers, start_answer_test,
    testing::Values(std::pair(command_outcome::unanswered, run_fate::open),
                    std::pair(command_outcome::superseded, run_fate::uncertain),
                    std::pair(command_outcome::late, run_fate::lost),
                    std::pair(command_outcome::no_listener, run_fate::lost),
                    std::pair(command_outcome::not_sent, run_fate::lost)));

} // namespace

} // namespace hawthornbeam::cell
