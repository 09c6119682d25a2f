#include "lib/instance/router.hpp"

#include "lib/instance/partition_set.hpp"

#include <algorithm>

namespace hawthornbeam
{

namespace
{

constexpr duration retry_delay = std::chrono::milliseconds(100);
constexpr double retry_spread = 0.5;
/// Time limit for the retries of a request whose partition has no owner; slightly longer
/// than a takeover takes.
constexpr duration routing_timeout = std::chrono::seconds(8);
/// Time limit for queries of the outcome of a submission that got no reply.
constexpr duration outcome_query_timeout = std::chrono::seconds(8);
constexpr duration call_deadline = std::chrono::seconds(3);
/// Deadline of a submission call, which includes the journal write of a durable job.
constexpr duration accept_deadline = std::chrono::seconds(5);
/// Time that a synchronous task may run beyond its declared run time.
constexpr duration synchronous_margin = std::chrono::seconds(30);

error no_owner_error()
{
    return make_error(error_code::unavailable,
                      "no instance owns the job's partition yet");
}

} // namespace

/// A submission in progress.
struct router::submission
{
    wire::job_spec job;
    callback<wire::job_status> done;
    boot_time retry_deadline{};
    boot_time start_by = boot_time::max();
    /// True once an owner may have accepted the job without a reply.
    bool uncertain = false;
};

router::router(context& shared) : shared_(shared) {}

void router::run_after(duration delay, std::function<void()> action)
{
    const std::uint64_t number = next_timer_++;
    timers_[number] = shared_.parts.loop.after(delay,
                                               [this, number, action = std::move(action)]
                                               {
                                                   const timer_handle keep =
                                                       std::move(timers_[number]);
                                                   timers_.erase(number);
                                                   action();
                                               });
}

void router::submit(wire::job_spec job, callback<wire::job_status> done)
{
    ++open_submissions_;
    const std::shared_ptr<submission> attempt = std::make_shared<submission>();
    attempt->retry_deadline = shared_.now() + routing_timeout;
    if (job.deadline_ms > 0)
    {
        attempt->start_by = shared_.now() + std::chrono::milliseconds(job.deadline_ms);
        attempt->retry_deadline = std::min(attempt->retry_deadline, attempt->start_by);
    }
    attempt->job = std::move(job);
    attempt->done = std::move(done);
    try_submit(attempt);
}

void router::try_submit(const std::shared_ptr<submission>& attempt)
{
    const partition_id partition = attempt->job.id.partition(shared_.options.partitions);
    const member* target =
        shared_.parts.members.find(partition_owner_of(shared_.parts.members, partition));
    if (target == nullptr)
        return retry_submit(attempt, no_owner_error());
    duration deadline = accept_deadline;
    if (attempt->job.synchronous)
    {
        const duration to_start = attempt->start_by == boot_time::max()
                                      ? duration::zero()
                                      : attempt->start_by - shared_.now();
        attempt->job.deadline_ms = std::max<std::int64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(to_start).count(), 1);
        deadline = to_start + std::chrono::milliseconds(attempt->job.run_time_ms) * 2 +
                   synchronous_margin;
    }
    shared_.parts.peers.call(
        target->peer, wire::submit_request{attempt->job}, deadline,
        shared_.guarded([this, attempt](result<wire::reply> answer)
                        { handle_submit_reply(attempt, std::move(answer)); }));
}

void router::handle_submit_reply(const std::shared_ptr<submission>& attempt,
                                 result<wire::reply> answer)
{
    if (answer)
    {
        const wire::submit_reply* reply =
            std::get_if<wire::submit_reply>(&answer.value());
        if (reply == nullptr)
            return finish_submit(
                attempt, make_error(error_code::internal, "unexpected kind of reply"));
        const bool has_moved = attempt->job.synchronous &&
                               reply->status.verdict == wire::job_verdict::accepted;
        if (!has_moved)
            return finish_submit(attempt, reply->status);
        // The previous owner starts no more tasks, and the inventory of its successor
        // shows the tasks that it has started. Until the successor replies, the job may
        // have been run.
        record_uncertain(*attempt);
        return retry_submit(attempt, no_owner_error());
    }
    const error& cause = answer.error();
    if (cause.code == error_code::outcome_unknown)
    {
        record_uncertain(*attempt);
        if (attempt->job.synchronous && !attempt->job.idempotent)
            return query_outcome(attempt);
        return retry_submit(attempt, cause);
    }
    if (cause.code == error_code::unavailable)
        return retry_submit(attempt, cause);
    if (attempt->uncertain)
        return finish_submit(attempt,
                             make_error(error_code::outcome_unknown, cause.message));
    finish_submit(attempt, cause);
}

void router::record_uncertain(submission& attempt)
{
    if (!attempt.uncertain)
        attempt.retry_deadline = shared_.now() + outcome_query_timeout;
    attempt.uncertain = true;
}

void router::query_outcome(const std::shared_ptr<submission>& attempt)
{
    try_query(wire::job_query{attempt->job.id, false}, attempt->retry_deadline,
              [this, attempt](const result<wire::job_status>& found)
              { handle_outcome_reply(attempt, found); });
}

void router::handle_outcome_reply(const std::shared_ptr<submission>& attempt,
                                  const result<wire::job_status>& found)
{
    const bool is_final = found && found.value().verdict != wire::job_verdict::accepted;
    if (is_final)
        return finish_submit(attempt, found.value());
    if (found)
    {
        // The job is running, so the wait for its outcome is extended.
        attempt->retry_deadline =
            std::max(attempt->retry_deadline, shared_.now() + outcome_query_timeout);
        return run_after(shared_.random.jitter(retry_delay, retry_spread),
                         [this, attempt] { query_outcome(attempt); });
    }
    // A previous owner behind a network partition may still start the job, so not_found
    // does not prove that it was not run.
    finish_submit(attempt,
                  make_error(error_code::outcome_unknown,
                             "the owner of the request was lost before it answered"));
}

void router::retry_submit(const std::shared_ptr<submission>& attempt, const error& cause)
{
    if (shared_.now() >= attempt->retry_deadline)
    {
        const error_code code =
            attempt->uncertain ? error_code::outcome_unknown : error_code::unavailable;
        return finish_submit(attempt, make_error(code, cause.message));
    }
    run_after(shared_.random.jitter(retry_delay, retry_spread),
              [this, attempt] { try_submit(attempt); });
}

void router::finish_submit(const std::shared_ptr<submission>& attempt,
                           result<wire::job_status> outcome)
{
    --open_submissions_;
    attempt->done(std::move(outcome));
}

void router::query(const wire::job_query& request, callback<wire::job_status> done)
{
    try_query(request, shared_.now() + routing_timeout, std::move(done));
}

void router::try_query(const wire::job_query& request, boot_time retry_deadline,
                       callback<wire::job_status> done)
{
    const partition_id partition = request.id.partition(shared_.options.partitions);
    const member* target =
        shared_.parts.members.find(partition_owner_of(shared_.parts.members, partition));
    const std::function<void(const error&)> again =
        [this, request, retry_deadline, done](const error& cause)
    {
        if (shared_.now() >= retry_deadline)
            return done(cause);
        run_after(shared_.random.jitter(retry_delay, retry_spread),
                  [this, request, retry_deadline, done]
                  { try_query(request, retry_deadline, done); });
    };
    if (target == nullptr)
        return again(no_owner_error());
    shared_.parts.peers.call(
        target->peer, request, call_deadline,
        shared_.guarded(
            [done, again](result<wire::reply> answer)
            {
                if (!answer)
                {
                    const bool may_recover =
                        answer.error().code == error_code::unavailable ||
                        answer.error().code == error_code::outcome_unknown;
                    return may_recover ? again(answer.error()) : done(answer.error());
                }
                const wire::job_reply* reply =
                    std::get_if<wire::job_reply>(&answer.value());
                if (reply == nullptr || !reply->found)
                    return done(make_error(error_code::not_found, "no such job"));
                done(reply->status);
            }));
}

void router::call_all(const wire::request& message, const reply_handler& each,
                      const std::function<void()>& finally)
{
    const std::vector<member> all = shared_.parts.members.members();
    const std::shared_ptr<std::size_t> open = std::make_shared<std::size_t>(all.size());
    if (all.empty())
        return finally();
    for (const member& one : all)
        shared_.parts.peers.call(
            one.peer, message, call_deadline,
            shared_.guarded(
                [open, each, finally, id = one.id](result<wire::reply> answer)
                {
                    each(id, std::move(answer));
                    if (--*open == 0)
                        finally();
                }));
}

void router::list(const wire::job_list_request& selector,
                  callback<std::vector<wire::job_status>> done)
{
    using jobs = std::vector<wire::job_status>;
    const std::shared_ptr<jobs> found = std::make_shared<jobs>();
    call_all(
        selector,
        [found](const instance_id&, result<wire::reply> answer)
        {
            wire::job_list_reply* reply =
                answer ? std::get_if<wire::job_list_reply>(&answer.value()) : nullptr;
            if (reply != nullptr)
                found->insert(found->end(), reply->jobs.begin(), reply->jobs.end());
        },
        [found, limit = selector.most, done]
        {
            std::sort(found->begin(), found->end(),
                      [](const wire::job_status& a, const wire::job_status& b)
                      { return a.id < b.id; });
            if (found->size() > limit)
                found->resize(limit);
            done(std::move(*found));
        });
}

void router::cancel(const wire::cancel_request& selector,
                    callback<wire::cancel_reply> done)
{
    const std::shared_ptr<wire::cancel_reply> sum =
        std::make_shared<wire::cancel_reply>();
    call_all(
        selector,
        [sum](const instance_id&, result<wire::reply> answer)
        {
            const wire::cancel_reply* reply =
                answer ? std::get_if<wire::cancel_reply>(&answer.value()) : nullptr;
            if (reply == nullptr)
                return;
            sum->found = sum->found || reply->found;
            sum->jobs += reply->jobs;
            sum->tasks += reply->tasks;
        },
        [sum, done] { done(*sum); });
}

void router::statuses(const wire::status_request& request,
                      callback<std::vector<wire::status_reply>> done)
{
    using replies = std::vector<wire::status_reply>;
    const std::shared_ptr<replies> found = std::make_shared<replies>();
    call_all(
        request,
        [found](const instance_id&, result<wire::reply> answer)
        {
            wire::status_reply* reply =
                answer ? std::get_if<wire::status_reply>(&answer.value()) : nullptr;
            if (reply != nullptr)
                found->push_back(std::move(*reply));
        },
        [found, done]
        {
            std::sort(found->begin(), found->end(),
                      [](const wire::status_reply& a, const wire::status_reply& b)
                      { return a.id < b.id; });
            done(std::move(*found));
        });
}

void router::drain(const wire::drain_request& message, callback<bool> done)
{
    const std::shared_ptr<bool> owned = std::make_shared<bool>(false);
    call_all(
        message,
        [owned](const instance_id&, result<wire::reply> answer)
        {
            const wire::drain_reply* reply =
                answer ? std::get_if<wire::drain_reply>(&answer.value()) : nullptr;
            *owned = *owned || (reply != nullptr && reply->owned);
        },
        [owned, done]
        {
            if (*owned)
                return done(true);
            done(make_error(error_code::not_found, "no instance owns this worker"));
        });
}

} // namespace hawthornbeam
