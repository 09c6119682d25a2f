/// \file
/// Stores jobs and cancels, with retries and relays, and answers queries.
#include "hawthornbeam/cell/receiver.hpp"

#include "stored_form.hpp"
#include "token_bucket.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace hawthornbeam::cell
{

namespace
{

/// Entries of a transaction for each job: an expectation and a put.
constexpr std::size_t entries_per_job = 2;
constexpr std::size_t max_transactions_open = 4;
/// Time for which a write of unknown outcome is repeated. Callers wait 3 s, and one that
/// gets no verdict within half of that can still try another host.
constexpr duration unknown_outcome_limit = std::chrono::milliseconds(1400);
constexpr duration rewrite_pause = std::chrono::milliseconds(100);
/// Queries that arrive within this time are sent to the owner in one message.
constexpr duration query_delay = std::chrono::milliseconds(8);
/// Number of jobs with a write of unknown outcome that are remembered.
constexpr std::size_t max_unsettled_jobs = 10000;
/// Number of final states that are kept to answer queries; the oldest are dropped.
constexpr std::size_t max_final_states = 20000;
/// Cancels of jobs that are not stored are written, so their number is limited: this many
/// at once, and one more in each period. Others are refused.
constexpr double max_absent_cancels = 200;
constexpr duration absent_cancel_period = std::chrono::milliseconds(100);

} // namespace

class receiver::implementation : public std::enable_shared_from_this<implementation>
{
public:
    using verdict_callback = std::function<void(verdict)>;

    struct submission
    {
        job_spec job;
        boot_time received_at{};
        bool may_take_effect = false; ///< An earlier write may still take effect.
        /// Relayed to another instance, or received as a relay from one.
        bool relayed = false;
        std::vector<verdict_callback> callers;
    };
    using submissions = std::vector<std::shared_ptr<submission>>;

    explicit implementation(receiver_parts given) : parts(std::move(given)) {}

    void store_submissions();
    void handle_commit(const submissions& sent, const std::set<queue_name>& with_policy,
                       const result<store_commit>& answer);
    void finish(const std::shared_ptr<submission>& finished, verdict outcome);
    void add_submission(job_spec job, bool relayed, verdict_callback done);
    void relay(const std::shared_ptr<submission>& failed);
    void retry(const std::shared_ptr<submission>& unsettled);
    void remember_unsettled(const job_key& job);
    struct cancellation
    {
        job_key job;
        boot_time received_at{};
        bool may_take_effect = false;
        bool relayed = false;
    };
    /// Stores the cancel whether the job is stored or not: a write of the job that had no
    /// answer may be executed later, at this host or another.
    void cancel(const cancellation& request, verdict_callback done);
    void cancel_stored(const cancellation& request, const store_item& job,
                       verdict_callback done);
    void write_cancel_of_absent(const cancellation& request, verdict_callback done);
    /// With expectations, the job is not stored and the caller learns that.
    void write_cancel(const cancellation& request,
                      std::vector<store_expectation> expected, verdict_callback done);
    void handle_cancel_failure(cancellation request, bool nothing_written,
                               verdict_callback done);
    void send_queries();
    void read_state(const job_key& job, std::function<void(query_answer)> done);
    bool is_past_limit(boot_time received_at) const
    {
        return parts.loop.clock().now() - received_at > unknown_outcome_limit;
    }

    receiver_parts parts;
    /// Policies of all queues since the start of the process. A job may be stored after
    /// its queue was removed.
    std::map<queue_name, queue_policy> policies;
    std::set<queue_name> stored_policies; ///< Of queues that are configured now.
    std::map<job_key, std::shared_ptr<submission>> open_submissions;
    std::deque<std::shared_ptr<submission>> queued;
    /// Jobs that an earlier request may have stored. A later request for one of them must
    /// not be refused, since the job may run.
    std::set<job_key> unsettled_jobs;
    std::deque<job_key> unsettled_sequence; ///< Oldest first.
    submissions submissions_to_retry;       ///< To be written again after a pause.
    timer_handle retry_timer;
    std::size_t transactions_open = 0;
    token_bucket absent_cancels{max_absent_cancels, absent_cancel_period};
    std::vector<std::pair<cancellation, verdict_callback>> cancels_to_retry;
    timer_handle cancel_retry_timer;
    std::map<job_key, std::vector<std::function<void(query_answer)>>> queries;
    bool query_scheduled = false;
    timer_handle query_timer;
    std::map<job_key, job_state> final_states;
    std::deque<job_key> ended_sequence;
};

void receiver::implementation::store_submissions()
{
    while (!queued.empty() && transactions_open < max_transactions_open)
    {
        submissions sent;
        std::set<queue_name> with_policy;
        store_transaction change;
        const std::int64_t now_ms =
            parts.loop.clock().wall_now().time_since_epoch().count();
        while (!queued.empty())
        {
            const std::shared_ptr<submission> next = queued.front();
            const queue_name& queue = next->job.queue;
            const bool adds_policy = policies.contains(queue) &&
                                     !stored_policies.contains(queue) &&
                                     !with_policy.contains(queue);
            if (change.expect.size() + change.puts.size() + entries_per_job +
                    (adds_policy ? 1U : 0U) >
                max_transaction_entries)
                break;
            queued.pop_front();
            if (adds_policy)
            {
                with_policy.insert(queue);
                change.puts.push_back({queue_store_key(queue),
                                       encode(std::vector{policies.at(queue)}),
                                       lease_id()});
            }
            const std::string key = job_store_key(next->job.id);
            change.expect.push_back({key, kv_revision()});
            change.puts.push_back(
                {key, encode(job_record{job_state::queued, next->job, now_ms}),
                 lease_id()});
            sent.push_back(next);
        }
        ++transactions_open;
        parts.store.commit(
            std::move(change),
            [weak = weak_from_this(), sent,
             with_policy = std::move(with_policy)](const result<store_commit>& answer)
            {
                const std::shared_ptr<implementation> self = weak.lock();
                if (self)
                    self->handle_commit(sent, with_policy, answer);
            });
    }
}

void receiver::implementation::handle_commit(const submissions& sent,
                                             const std::set<queue_name>& with_policy,
                                             const result<store_commit>& answer)
{
    --transactions_open;
    if (answer && answer.value().committed)
        stored_policies.insert(with_policy.begin(), with_policy.end());
    if (!answer)
    {
        const bool nothing_written = answer.error().code != error_code::outcome_unknown;
        for (const std::shared_ptr<submission>& each : sent)
        {
            each->may_take_effect = each->may_take_effect || !nothing_written;
            if (each->relayed)
                retry(each);
            else
                relay(each);
        }
        return store_submissions();
    }
    for (const std::shared_ptr<submission>& each : sent)
    {
        if (answer.value().committed)
        {
            parts.on_accepted(each->job, answer.value().revision);
            finish(each, verdict::done);
            continue;
        }
        // One job that is already stored fails the whole transaction; the others are
        // written again without it.
        const std::string key = job_store_key(each->job.id);
        const bool exists = std::ranges::any_of(
            answer.value().conflicts, [&key](const store_item& item)
            { return item.key == key && item.revision != kv_revision(); });
        if (exists)
            finish(each, verdict::done);
        else
            queued.push_back(each);
    }
    store_submissions();
}

void receiver::implementation::relay(const std::shared_ptr<submission>& failed)
{
    failed->relayed = true;
    parts.relay(relayed_change{failed->job, false},
                [weak = weak_from_this(), failed](const result<verdict>& answer)
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (!self)
                        return;
                    if (answer && answer.value() == verdict::done)
                        return self->finish(failed, verdict::done);
                    const bool nothing_written =
                        answer ? answer.value() == verdict::refused
                               : answer.error().code != error_code::outcome_unknown;
                    failed->may_take_effect = failed->may_take_effect || !nothing_written;
                    self->retry(failed);
                });
}

void receiver::implementation::retry(const std::shared_ptr<submission>& unsettled)
{
    if (!unsettled->may_take_effect)
        return finish(unsettled, unsettled_jobs.contains(unsettled->job.id)
                                     ? verdict::unknown
                                     : verdict::refused);
    if (is_past_limit(unsettled->received_at))
        return finish(unsettled, verdict::unknown);
    submissions_to_retry.push_back(unsettled);
    retry_timer = parts.loop.after(rewrite_pause,
                                   [this]
                                   {
                                       for (const std::shared_ptr<submission>& each :
                                            std::exchange(submissions_to_retry, {}))
                                           queued.push_back(each);
                                       store_submissions();
                                   });
}

void receiver::implementation::finish(const std::shared_ptr<submission>& finished,
                                      verdict outcome)
{
    open_submissions.erase(finished->job.id);
    if (outcome == verdict::unknown)
        remember_unsettled(finished->job.id);
    for (const verdict_callback& done : finished->callers)
        done(outcome);
}

void receiver::implementation::remember_unsettled(const job_key& job)
{
    if (!unsettled_jobs.insert(job).second)
        return;
    unsettled_sequence.push_back(job);
    if (unsettled_sequence.size() <= max_unsettled_jobs)
        return;
    unsettled_jobs.erase(unsettled_sequence.front());
    unsettled_sequence.pop_front();
}

void receiver::implementation::cancel(const cancellation& request, verdict_callback done)
{
    parts.store.read(job_store_key(request.job),
                     [weak = weak_from_this(), request, done = std::move(done)](
                         const result<std::optional<store_item>>& answer)
                     {
                         const std::shared_ptr<implementation> self = weak.lock();
                         if (!self)
                             return;
                         if (!answer)
                             return self->handle_cancel_failure(request, true, done);
                         if (!answer.value())
                             return self->write_cancel_of_absent(request, done);
                         self->cancel_stored(request, *answer.value(), done);
                     });
}

void receiver::implementation::cancel_stored(const cancellation& request,
                                             const store_item& job, verdict_callback done)
{
    const result<job_record> record = decode_job(job.value);
    if (record && is_final(record.value().state))
        return done(verdict::done);
    write_cancel(request, {}, std::move(done));
}

void receiver::implementation::write_cancel_of_absent(const cancellation& request,
                                                      verdict_callback done)
{
    // A write of the job may still be executed, and an owner then finds this record.
    if (!absent_cancels.take(parts.loop.clock().now()))
    {
        parts.log.info("receiver", "cancel of an unknown job refused",
                       {{"job", request.job.value()}});
        return handle_cancel_failure(request, true, std::move(done));
    }
    write_cancel(request, {{job_store_key(request.job), kv_revision()}}, std::move(done));
}

void receiver::implementation::write_cancel(const cancellation& request,
                                            std::vector<store_expectation> expected,
                                            verdict_callback done)
{
    const verdict outcome = expected.empty() ? verdict::done : verdict::not_found;
    store_transaction change;
    change.expect = std::move(expected);
    change.puts.push_back({cancel_store_key(request.job), "", lease_id()});
    parts.store.commit(std::move(change),
                       [weak = weak_from_this(), request, outcome,
                        done = std::move(done)](const result<store_commit>& answer)
                       {
                           const std::shared_ptr<implementation> self = weak.lock();
                           if (!self)
                               return;
                           if (answer && answer.value().committed)
                           {
                               self->parts.on_cancelled(request.job);
                               return done(outcome);
                           }
                           if (answer && !answer.value().conflicts.empty())
                               return self->cancel_stored(
                                   request, answer.value().conflicts.front(), done);
                           const bool nothing_written =
                               answer ||
                               answer.error().code != error_code::outcome_unknown;
                           self->handle_cancel_failure(request, nothing_written, done);
                       });
}

void receiver::implementation::handle_cancel_failure(cancellation request,
                                                     bool nothing_written,
                                                     verdict_callback done)
{
    request.may_take_effect = request.may_take_effect || !nothing_written;
    if (request.relayed)
    {
        if (!request.may_take_effect)
            return done(verdict::refused);
        if (is_past_limit(request.received_at))
            return done(verdict::unknown);
        cancels_to_retry.emplace_back(request, std::move(done));
        cancel_retry_timer = parts.loop.after(
            rewrite_pause,
            [this]
            {
                for (const auto& [each, callback] : std::exchange(cancels_to_retry, {}))
                    cancel(each, callback);
            });
        return;
    }
    request.relayed = true;
    relayed_change change;
    change.job.id = request.job;
    change.cancel = true;
    parts.relay(change,
                [weak = weak_from_this(), request,
                 done = std::move(done)](const result<verdict>& answer)
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (!self)
                        return;
                    const bool is_certain =
                        answer && (answer.value() == verdict::done ||
                                   answer.value() == verdict::not_found);
                    if (is_certain)
                        return done(answer.value());
                    const bool refused =
                        answer ? answer.value() == verdict::refused
                               : answer.error().code != error_code::outcome_unknown;
                    self->handle_cancel_failure(request, refused, done);
                });
}

void receiver::implementation::send_queries()
{
    std::map<job_key, std::vector<std::function<void(query_answer)>>> sent_queries;
    sent_queries.swap(queries);
    std::vector<job_key> jobs;
    jobs.reserve(sent_queries.size());
    for (const auto& [job, callers] : sent_queries)
        jobs.push_back(job);
    parts.query_owner(
        std::move(jobs),
        [weak = weak_from_this(), sent_queries = std::move(sent_queries)](
            const result<std::vector<std::pair<job_key, job_state>>>& answer)
        {
            const std::shared_ptr<implementation> self = weak.lock();
            if (!self)
                return;
            std::map<job_key, job_state> found;
            if (answer)
                found.insert(answer.value().begin(), answer.value().end());
            for (const auto& [job, callers] : sent_queries)
            {
                const auto state = found.find(job);
                for (const std::function<void(query_answer)>& done : callers)
                    if (state != found.end())
                        done({verdict::done, state->second});
                    else
                        self->read_state(job, done);
            }
        });
}

void receiver::implementation::read_state(const job_key& job,
                                          std::function<void(query_answer)> done)
{
    parts.store.read(
        job_store_key(job),
        [done = std::move(done)](const result<std::optional<store_item>>& answer)
        {
            if (!answer)
                return done({verdict::refused, job_state::queued});
            if (!answer.value())
                return done({verdict::not_found, job_state::queued});
            const result<job_record> record = decode_job(answer.value()->value);
            if (!record)
                return done({verdict::unknown, job_state::queued});
            done({verdict::done, record.value().state});
        });
}

receiver::receiver(receiver_parts parts)
    : implementation_(std::make_shared<implementation>(std::move(parts)))
{
}

receiver::~receiver() = default;

void receiver::implementation::add_submission(job_spec job, bool relayed,
                                              verdict_callback done)
{
    const auto existing = open_submissions.find(job.id);
    if (existing != open_submissions.end())
        return existing->second->callers.push_back(std::move(done));
    const std::shared_ptr<submission> added = std::make_shared<submission>();
    added->job = std::move(job);
    added->received_at = parts.loop.clock().now();
    added->relayed = relayed;
    added->callers.push_back(std::move(done));
    open_submissions[added->job.id] = added;
    if (parts.is_store_failing())
    {
        // Nothing is written here, so a refusal is certain and can be given at once.
        if (relayed)
            return retry(added);
        return relay(added);
    }
    queued.push_back(added);
    store_submissions();
}

void receiver::configure(const std::vector<queue_policy>& queues)
{
    implementation& self = *implementation_;
    std::set<queue_name> configured;
    for (const queue_policy& queue : queues)
    {
        configured.insert(queue.name);
        self.policies.insert_or_assign(queue.name, queue);
    }
    std::erase_if(self.stored_policies, [&configured](const queue_name& name)
                  { return !configured.contains(name); });
}

void receiver::submit(job_spec job, std::function<void(verdict)> done)
{
    implementation_->add_submission(std::move(job), false, std::move(done));
}

void receiver::store_relayed(relayed_change change, std::function<void(verdict)> done)
{
    if (change.cancel)
        return implementation_->cancel(
            {change.job.id, implementation_->parts.loop.clock().now(), false, true},
            std::move(done));
    if (!implementation_->policies.contains(change.job.queue))
        return done(verdict::refused);
    implementation_->add_submission(std::move(change.job), true, std::move(done));
}

void receiver::cancel(const job_key& job, std::function<void(verdict)> done)
{
    implementation_->cancel(
        {job, implementation_->parts.loop.clock().now(), false, false}, std::move(done));
}

void receiver::query(const job_key& job, std::function<void(query_answer)> done)
{
    implementation& self = *implementation_;
    const auto final_state = self.final_states.find(job);
    if (final_state != self.final_states.end())
        return done({verdict::done, final_state->second});
    self.queries[job].push_back(std::move(done));
    if (self.query_scheduled)
        return;
    self.query_scheduled = true;
    self.query_timer = self.parts.loop.after(query_delay,
                                             [&self]
                                             {
                                                 self.query_scheduled = false;
                                                 self.send_queries();
                                             });
}

void receiver::record_ended(const job_key& job, job_state state)
{
    implementation& self = *implementation_;
    if (!self.final_states.emplace(job, state).second)
        return;
    self.ended_sequence.push_back(job);
    if (self.ended_sequence.size() <= max_final_states)
        return;
    self.final_states.erase(self.ended_sequence.front());
    self.ended_sequence.pop_front();
}

} // namespace hawthornbeam::cell
