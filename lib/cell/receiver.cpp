/// \file
/// Stores jobs and cancels, with retries and relays, and answers queries.
#include "hawthornbeam/cell/receiver.hpp"

#include "stored_form.hpp"

#include <algorithm>
#include <deque>
#include <map>

namespace hawthornbeam::cell
{

namespace
{

/// Each job takes two entries of a transaction, an expectation and a put.
constexpr std::size_t max_jobs_in_transaction = max_transaction_entries / 2;
constexpr std::size_t max_transactions_open = 4;
/// Time for which a write of unknown outcome is repeated. Callers wait 3 s, and one that
/// gets no verdict within half of that can still try another host.
constexpr duration settle_limit = std::chrono::milliseconds(1400);
constexpr duration settle_pause = std::chrono::milliseconds(100);
/// Queries that arrive within this time are sent to the owner in one message.
constexpr duration query_delay = std::chrono::milliseconds(8);
/// Number of final states that are kept to answer queries; the oldest are dropped.
constexpr std::size_t max_ended = 20000;

} // namespace

class receiver::implementation : public std::enable_shared_from_this<implementation>
{
public:
    using submit_done = std::function<void(verdict)>;

    struct submission
    {
        job_spec job;
        boot_time since{};
        bool uncertain = false; ///< An earlier write may still take effect.
        bool relayed =
            false; ///< Relayed to another instance, or received as a relay from one.
        std::vector<submit_done> waiting;
    };
    using submissions = std::vector<std::shared_ptr<submission>>;

    explicit implementation(receiver_parts given) : parts(std::move(given)) {}

    void store_submissions();
    void handle_commit(const submissions& sent, const result<store_commit>& answer);
    void finish(const std::shared_ptr<submission>& ended, verdict outcome);
    void add(job_spec job, bool relayed, submit_done done);
    void relay(const std::shared_ptr<submission>& failed);
    void retry(const std::shared_ptr<submission>& unsettled);
    struct cancellation
    {
        job_key job;
        boot_time since{};
        bool uncertain = false;
        bool relayed = false;
    };
    void read_before_cancel(const cancellation& wanted, submit_done done);
    void write_cancel(const cancellation& wanted, submit_done done);
    void cancel_failed(cancellation wanted, bool nothing_done, submit_done done);
    void send_queries();
    void read_state(const job_key& job, std::function<void(query_answer)> done);
    bool is_late(boot_time since) const
    {
        return parts.loop.clock().now() - since > settle_limit;
    }

    receiver_parts parts;
    std::map<job_key, std::shared_ptr<submission>> open;
    std::deque<std::shared_ptr<submission>> queued;
    submissions unsettled_submissions; ///< To be written again after a pause.
    timer_handle retry_timer;
    std::size_t transactions_open = 0;
    std::map<job_key, std::vector<std::function<void(query_answer)>>> queries;
    bool query_due = false;
    timer_handle query_timer;
    std::map<job_key, job_state> ended;
    std::deque<job_key> ended_sequence;
};

void receiver::implementation::store_submissions()
{
    while (!queued.empty() && transactions_open < max_transactions_open)
    {
        submissions sent;
        store_transaction change;
        const std::int64_t now_ms =
            parts.loop.clock().wall_now().time_since_epoch().count();
        while (!queued.empty() && sent.size() < max_jobs_in_transaction)
        {
            const std::shared_ptr<submission> next = queued.front();
            queued.pop_front();
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
            [weak = weak_from_this(), sent](const result<store_commit>& answer)
            {
                const std::shared_ptr<implementation> self = weak.lock();
                if (self)
                    self->handle_commit(sent, answer);
            });
    }
}

void receiver::implementation::handle_commit(const submissions& sent,
                                             const result<store_commit>& answer)
{
    --transactions_open;
    if (!answer)
    {
        const bool nothing_done = answer.error().code != error_code::outcome_unknown;
        for (const std::shared_ptr<submission>& each : sent)
        {
            each->uncertain = each->uncertain || !nothing_done;
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
            parts.accepted(each->job, answer.value().revision);
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
                    const bool nothing_done =
                        answer ? answer.value() == verdict::refused
                               : answer.error().code != error_code::outcome_unknown;
                    failed->uncertain = failed->uncertain || !nothing_done;
                    self->retry(failed);
                });
}

void receiver::implementation::retry(const std::shared_ptr<submission>& unsettled)
{
    if (!unsettled->uncertain)
        return finish(unsettled, verdict::refused);
    if (is_late(unsettled->since))
        return finish(unsettled, verdict::unknown);
    unsettled_submissions.push_back(unsettled);
    retry_timer = parts.loop.after(settle_pause,
                                   [this]
                                   {
                                       for (const std::shared_ptr<submission>& each :
                                            std::exchange(unsettled_submissions, {}))
                                           queued.push_back(each);
                                       store_submissions();
                                   });
}

void receiver::implementation::finish(const std::shared_ptr<submission>& ended_submission,
                                      verdict outcome)
{
    open.erase(ended_submission->job.id);
    for (const submit_done& done : ended_submission->waiting)
        done(outcome);
}

void receiver::implementation::read_before_cancel(const cancellation& wanted,
                                                  submit_done done)
{
    parts.store.read(job_store_key(wanted.job),
                     [weak = weak_from_this(), wanted, done = std::move(done)](
                         const result<std::optional<store_item>>& answer)
                     {
                         const std::shared_ptr<implementation> self = weak.lock();
                         if (!self)
                             return;
                         if (!answer)
                             return self->cancel_failed(wanted, true, done);
                         if (!answer.value())
                             return done(verdict::not_found);
                         const result<job_record> record =
                             decode_job(answer.value()->value);
                         if (record && is_final(record.value().state))
                             return done(verdict::done);
                         self->write_cancel(wanted, done);
                     });
}

void receiver::implementation::write_cancel(const cancellation& wanted, submit_done done)
{
    store_transaction change;
    change.puts.push_back({cancel_store_key(wanted.job), "", lease_id()});
    parts.store.commit(std::move(change),
                       [weak = weak_from_this(), wanted,
                        done = std::move(done)](const result<store_commit>& answer)
                       {
                           const std::shared_ptr<implementation> self = weak.lock();
                           if (!self)
                               return;
                           if (answer && answer.value().committed)
                           {
                               self->parts.cancelled(wanted.job);
                               return done(verdict::done);
                           }
                           const bool nothing_done =
                               answer ||
                               answer.error().code != error_code::outcome_unknown;
                           self->cancel_failed(wanted, nothing_done, done);
                       });
}

void receiver::implementation::cancel_failed(cancellation wanted, bool nothing_done,
                                             submit_done done)
{
    wanted.uncertain = wanted.uncertain || !nothing_done;
    if (wanted.relayed)
    {
        if (!wanted.uncertain)
            return done(verdict::refused);
        return is_late(wanted.since) ? done(verdict::unknown)
                                     : write_cancel(wanted, std::move(done));
    }
    wanted.relayed = true;
    relayed_change change;
    change.job.id = wanted.job;
    change.cancel = true;
    parts.relay(change,
                [weak = weak_from_this(), wanted,
                 done = std::move(done)](const result<verdict>& answer)
                {
                    const std::shared_ptr<implementation> self = weak.lock();
                    if (!self)
                        return;
                    if (answer && answer.value() == verdict::done)
                        return done(verdict::done);
                    const bool refused =
                        answer ? answer.value() == verdict::refused
                               : answer.error().code != error_code::outcome_unknown;
                    self->cancel_failed(wanted, refused, done);
                });
}

void receiver::implementation::send_queries()
{
    std::map<job_key, std::vector<std::function<void(query_answer)>>> asking;
    asking.swap(queries);
    std::vector<job_key> jobs;
    jobs.reserve(asking.size());
    for (const auto& [job, waiting] : asking)
        jobs.push_back(job);
    parts.query_owner(
        std::move(jobs),
        [weak = weak_from_this(), asking = std::move(asking)](
            const result<std::vector<std::pair<job_key, job_state>>>& answer)
        {
            const std::shared_ptr<implementation> self = weak.lock();
            if (!self)
                return;
            std::map<job_key, job_state> found;
            if (answer)
                found.insert(answer.value().begin(), answer.value().end());
            for (const auto& [job, waiting] : asking)
            {
                const auto state = found.find(job);
                for (const std::function<void(query_answer)>& done : waiting)
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

void receiver::implementation::add(job_spec job, bool relayed, submit_done done)
{
    const auto same = open.find(job.id);
    if (same != open.end())
        return same->second->waiting.push_back(std::move(done));
    const std::shared_ptr<submission> added = std::make_shared<submission>();
    added->job = std::move(job);
    added->since = parts.loop.clock().now();
    added->relayed = relayed;
    added->waiting.push_back(std::move(done));
    open[added->job.id] = added;
    if (parts.store_fails())
    {
        // Nothing is written here, so a refusal is certain and can be given at once.
        if (relayed)
            return finish(added, verdict::refused);
        return relay(added);
    }
    queued.push_back(added);
    store_submissions();
}

void receiver::submit(job_spec job, std::function<void(verdict)> done)
{
    implementation_->add(std::move(job), false, std::move(done));
}

void receiver::store_relayed(relayed_change change, std::function<void(verdict)> done)
{
    if (change.cancel)
        return implementation_->write_cancel(
            {change.job.id, implementation_->parts.loop.clock().now(), false, true},
            std::move(done));
    implementation_->add(std::move(change.job), true, std::move(done));
}

void receiver::cancel(const job_key& job, std::function<void(verdict)> done)
{
    implementation_->read_before_cancel(
        {job, implementation_->parts.loop.clock().now(), false, false}, std::move(done));
}

void receiver::query(const job_key& job, std::function<void(query_answer)> done)
{
    implementation& self = *implementation_;
    const auto known = self.ended.find(job);
    if (known != self.ended.end())
        return done({verdict::done, known->second});
    self.queries[job].push_back(std::move(done));
    if (self.query_due)
        return;
    self.query_due = true;
    self.query_timer = self.parts.loop.after(query_delay,
                                             [&self]
                                             {
                                                 self.query_due = false;
                                                 self.send_queries();
                                             });
}

void receiver::record_ended(const job_key& job, job_state state)
{
    implementation& self = *implementation_;
    if (!self.ended.emplace(job, state).second)
        return;
    self.ended_sequence.push_back(job);
    if (self.ended_sequence.size() <= max_ended)
        return;
    self.ended.erase(self.ended_sequence.front());
    self.ended_sequence.pop_front();
}

} // namespace hawthornbeam::cell
