/// \file
/// Tests that steps that cannot start do not keep others from starting or from requesting
/// advice.
#include "fleet.hpp"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>

namespace hawthornbeam::cell
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// More steps than one decision considers.
constexpr int many = 400;
/// More steps than may request advice at the same time.
constexpr int waiting = 100;
constexpr duration tick = milliseconds(100);
/// A step that fits starts, or requests advice, within this time.
constexpr duration max_wait = seconds(1);

/// The queues are sorted by their names; "advised" and "admitted" have advice.
void add_queues(fleet& workers)
{
    queue_policy plain;
    plain.name = queue_name("plain");
    plain.service = service_name("pool");
    plain.priority = 1;
    plain.objective = seconds(600);
    queue_policy advised = plain;
    advised.name = queue_name("advised");
    advised.advice =
        advice_policy{milliseconds(400), milliseconds(5), milliseconds(1500)};
    queue_policy first = plain;
    first.name = queue_name("first");
    first.priority = 0;
    workers.cell.configure({plain, advised, first});
}

/// Answers a request. The job "fits" is admitted on all workers, others on \p admitted.
void answer(fleet& workers, const advice_command& request,
            const std::string& admitted = "")
{
    advice_result result;
    result.job = request.job;
    result.step = request.step;
    result.answered = true;
    result.asked = request.workers;
    result.valid_ms = 1500;
    for (const worker_id& id : request.workers)
        if (request.job.value() == "fits" || id.value() == admitted)
            result.tickets.emplace_back(id, ticket("t"));
    workers.cell.observe(result, workers.clock.now());
}

/// Answers the requests of the fleet's steps after \p delay; other steps than "fits" are
/// admitted on \p admitted.
class advice_service
{
public:
    advice_service(fleet& workers, duration delay, std::string admitted = "")
        : workers_(workers), delay_(delay), admitted_(std::move(admitted))
    {
    }

    /// Polls, decides and answers for \p length or until the job "fits" starts or, with
    /// \p until_request, requests advice. Returns the time that has passed.
    duration run(duration length, bool until_request = false)
    {
        const boot_time begin = workers_.clock.now();
        for (; workers_.clock.now() - begin <= length; workers_.advance(tick))
        {
            while (!open_.empty() && workers_.clock.now() - open_.front().first >= delay_)
            {
                answer(workers_, open_.front().second, admitted_);
                open_.pop_front();
            }
            workers_.poll_all();
            const decisions decided = workers_.decide();
            bool found =
                std::ranges::any_of(decided.starts, [](const start_command& command)
                                    { return command.run.task.job.value() == "fits"; });
            for (const advice_command& request : decided.advice)
            {
                open_.emplace_back(workers_.clock.now(), request);
                found = found || (until_request && request.job.value() == "fits");
            }
            if (found)
                break;
        }
        return workers_.clock.now() - begin;
    }

private:
    fleet& workers_;
    duration delay_;
    std::string admitted_;
    std::deque<std::pair<boot_time, advice_command>> open_;
};

std::string numbered(const std::string& name, int number)
{
    return name + std::to_string(number);
}

/// How the step differs from one that fits.
enum class blocked_by
{
    label,
    own_label, ///< Each step has another label.
    size,
    room,
    gang_room
};

class blocked_steps_test : public testing::TestWithParam<blocked_by>
{
};

TEST_P(blocked_steps_test, step_that_fits_starts_behind_steps_that_no_worker_takes)
{
    fleet workers(2);
    add_queues(workers);
    workers.submit(fleet::job("long0", "first", 1, 5, seconds(60)));
    workers.submit(fleet::job("long1", "first", 1, 5, seconds(60)));
    workers.decide();
    for (int number = 0; number < many; ++number)
    {
        job_spec blocked = fleet::job(numbered("b", number), "first", 1, 1);
        step_spec& step = blocked.steps[0];
        switch (GetParam())
        {
        case blocked_by::label:
            step.label = "none";
            break;
        case blocked_by::own_label:
            step.label = numbered("none", number);
            break;
        case blocked_by::size:
            step.size.processors = millicores(9000 + number);
            break;
        case blocked_by::room:
            step.size.processors = millicores(4000 + number);
            break;
        case blocked_by::gang_room:
            step.size.processors = millicores(3000);
            step.count = 4;
            step.gang = true;
            break;
        }
        workers.submit(blocked);
    }
    workers.submit(fleet::job("fits", "plain", 1, 1, milliseconds(100)));
    EXPECT_LE(advice_service(workers, duration::zero()).run(max_wait), max_wait);
}

INSTANTIATE_TEST_SUITE_P(kinds, blocked_steps_test,
                         testing::Values(blocked_by::label, blocked_by::own_label,
                                         blocked_by::size, blocked_by::room,
                                         blocked_by::gang_room));

/// Gangs also ask about full workers.
struct advised_case
{
    bool gang = false;
    duration delay{}; ///< Of the answers.
};

class blocked_advice_test : public testing::TestWithParam<advised_case>
{
};

TEST_P(blocked_advice_test, step_asks_behind_steps_that_asked_and_were_admitted_nowhere)
{
    fleet workers(10);
    add_queues(workers);
    for (int number = 0; number < waiting; ++number)
    {
        job_spec blocked = fleet::job(numbered("b", number), "advised", 2, 1);
        blocked.steps[0].gang = GetParam().gang;
        workers.submit(blocked);
    }
    advice_service service(workers, GetParam().delay);
    service.run(seconds(20));
    workers.submit(fleet::job("fits", "advised", 1, 1));
    EXPECT_LE(service.run(max_wait, true), max_wait);
    EXPECT_LE(service.run(max_wait), max_wait);
}

TEST_P(blocked_advice_test, step_asks_behind_steps_admitted_only_on_a_full_worker)
{
    fleet workers(10);
    add_queues(workers);
    workers.submit(fleet::job("long", "first", 1, 8, seconds(60)));
    const decisions filled = workers.decide();
    ASSERT_EQ(filled.starts.size(), 1U);
    for (int number = 0; number < waiting; ++number)
    {
        job_spec blocked = fleet::job(numbered("b", number), "advised", 2, 1);
        blocked.steps[0].gang = GetParam().gang;
        workers.submit(blocked);
    }
    advice_service service(workers, GetParam().delay, filled.starts[0].worker.value());
    service.run(seconds(20));
    workers.submit(fleet::job("fits", "advised", 1, 1));
    EXPECT_LE(service.run(max_wait, true), max_wait);
    EXPECT_LE(service.run(max_wait), max_wait);
}

TEST_P(blocked_advice_test, step_starts_behind_many_steps_admitted_nowhere)
{
    fleet workers(10);
    add_queues(workers);
    for (int number = 0; number < many; ++number)
    {
        job_spec blocked = fleet::job(numbered("b", number), "advised", 2, 1);
        blocked.steps[0].gang = GetParam().gang;
        workers.submit(blocked);
    }
    advice_service service(workers, GetParam().delay);
    service.run(seconds(20));
    workers.submit(fleet::job("fits", "plain", 1, 1));
    EXPECT_LE(service.run(max_wait), max_wait);
}

// Guards against gangs that renew their tickets again and again.
TEST_P(blocked_advice_test, step_asks_behind_gangs_that_are_admitted_on_too_few_workers)
{
    fleet workers(10);
    add_queues(workers);
    for (int number = 0; number < waiting; ++number)
    {
        job_spec blocked = fleet::job(numbered("b", number), "advised", 2, 5);
        blocked.steps[0].gang = GetParam().gang;
        workers.submit(blocked);
    }
    advice_service service(workers, GetParam().delay, "w0");
    service.run(seconds(20));
    workers.submit(fleet::job("fits", "advised", 1, 1));
    EXPECT_LE(service.run(max_wait, true), max_wait);
    EXPECT_LE(service.run(max_wait), max_wait);
}

TEST_P(blocked_advice_test, step_asks_behind_steps_that_go_on_asking_about_other_workers)
{
    fleet workers(400);
    add_queues(workers);
    for (int number = 0; number < waiting; ++number)
    {
        job_spec blocked = fleet::job(numbered("b", number), "advised", 2, 1);
        blocked.steps[0].gang = GetParam().gang;
        workers.submit(blocked);
    }
    advice_service service(workers, GetParam().delay);
    service.run(seconds(20));
    workers.submit(fleet::job("fits", "advised", 1, 1));
    EXPECT_LE(service.run(max_wait, true), max_wait);
    EXPECT_LE(service.run(max_wait), max_wait);
}

INSTANTIATE_TEST_SUITE_P(delays, blocked_advice_test,
                         testing::Values(advised_case{false, milliseconds(0)},
                                         advised_case{true, milliseconds(0)},
                                         advised_case{false, milliseconds(600)},
                                         advised_case{true, milliseconds(600)}));

} // namespace

TEST(blocked_queue_test, step_starts_behind_steps_of_an_unknown_queue)
{
    fleet workers(2);
    workers.add_queue("late", 0);
    // Steps that can end in time come first.
    workers.submit(fleet::job("fits", "late", 1, 1, milliseconds(10)));
    workers.advance(seconds(5));
    for (int number = 0; number < many; ++number)
        workers.submit(fleet::job(numbered("b", number), "removed", 1, 1));
    EXPECT_LE(advice_service(workers, duration::zero()).run(max_wait), max_wait);
}

TEST(blocked_queue_test, new_step_starts_behind_inherited_steps_that_wait_for_a_worker)
{
    fleet workers(2);
    add_queues(workers);
    workers.cell.expect_workers({worker_id("unseen")}, workers.clock.now());
    for (int number = 0; number < many; ++number)
        workers.submit(fleet::job(numbered("b", number), "first", 1, 1), true);
    workers.submit(fleet::job("fits", "plain", 1, 1));
    EXPECT_LE(advice_service(workers, duration::zero()).run(max_wait), max_wait);
}

// Guards against a step that starts before one that sorts before it and fits too.
TEST(blocked_queue_test, steps_that_fit_start_in_their_order_behind_blocked_ones)
{
    fleet workers(1);
    add_queues(workers);
    for (int number = 0; number < many; ++number)
        workers.submit(fleet::job(numbered("b", number), "first", 1, 9));
    for (int number = 0; number < many; ++number)
    {
        workers.submit(fleet::job(numbered("f", number), "plain", 1, 8));
        workers.advance(milliseconds(1));
    }
    for (int number = 0; number < 20; ++number)
    {
        const decisions decided = workers.decide();
        ASSERT_EQ(decided.starts.size(), 1U);
        EXPECT_EQ(decided.starts[0].run.task.job.value(), numbered("f", number));
        workers.end_all(run_end::done);
        workers.poll_all();
        workers.advance(milliseconds(10));
    }
}

} // namespace hawthornbeam::cell
