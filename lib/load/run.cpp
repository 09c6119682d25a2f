#include "hawthornbeam/load/run.hpp"

#include "lib/load/answer.hpp"

#include <algorithm>
#include <cassert>
#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornbeam
{

namespace
{

using nlohmann::json;

constexpr duration resend_delay = std::chrono::milliseconds(200);
constexpr duration min_poll_period = std::chrono::milliseconds(100);
constexpr duration max_poll_period = std::chrono::seconds(1);
constexpr duration min_timeout = std::chrono::seconds(5);
/// Within this time a failed partition owner is replaced and the new owner has read the
/// partitions. Until then "not found" does not prove that a job is unknown.
constexpr duration max_ownership_change_time = std::chrono::seconds(15);

double cores_of(const resources& size)
{
    return static_cast<double>(size.processors.value()) / 1000;
}

std::int64_t milliseconds_of(duration length)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(length).count();
}

std::string submission_body(const load_stream& stream, const load_job& job)
{
    return json{{"partner", stream.partner},
                {"kind", stream.kind},
                {"request_id", job.request},
                {"tasks", stream.tasks},
                {"processors", cores_of(stream.size)},
                {"memory", stream.size.memory.value()},
                {"accelerators", stream.size.accelerators.value()},
                {"idempotent", stream.idempotent},
                {"synchronous", stream.synchronous},
                {"run_time_ms", milliseconds_of(stream.run_time)},
                {"deadline_ms", milliseconds_of(stream.deadline)},
                {"spread_failure_domains", stream.spread_failure_domains},
                {"payload", job.payload}}
        .dump();
}

} // namespace

class load_run::implementation
{
public:
    implementation(event_loop& loop, load_transport& transport, options settings)
        : loop_(loop), transport_(transport), options_(std::move(settings))
    {
        assert(!options_.instances.empty() && "load_run requires at least one instance");
    }

    void start(std::function<void()> done);

    const options& run_options() const { return options_; }
    const std::vector<load_job>& jobs() const { return jobs_; }

private:
    /// Tracking state of a job that is not part of its record.
    struct progress
    {
        timer_handle timer;
        duration poll = min_poll_period;
        std::optional<boot_time> first_not_found;
        std::uint32_t retries_left = 0;
    };

    void create_jobs();
    void schedule_cancellations();
    void send_due();
    void finish();
    void schedule(std::size_t index, duration delay,
                  void (implementation::*step)(std::size_t));
    void enqueue(std::function<void()> send);
    void send_request(load_request request, load_transport::callback done);
    std::string next_instance();
    const load_stream& stream_of(std::size_t index) const
    {
        return options_.plan.streams[jobs_[index].stream];
    }

    void submit(std::size_t index);
    void handle_submission_reply(std::size_t index, const result<load_reply>& reply);
    void handle_refusal(std::size_t index, const load_answer& answer);
    void query_job(std::size_t index);
    void handle_query_reply(std::size_t index, const result<load_reply>& reply);
    void handle_status(std::size_t index, load_answer answer);
    void handle_not_found(std::size_t index);
    void schedule_poll(std::size_t index);
    void cancel(std::size_t index);
    void end_job(std::size_t index, job_fate fate);

    event_loop& loop_;
    load_transport& transport_;
    options options_;
    std::vector<load_job> jobs_;
    std::vector<progress> progress_;
    std::vector<duration> due_times_;
    std::size_t next_due_ = 0;
    std::size_t unfinished_ = 0;
    std::uint32_t open_requests_ = 0;
    std::size_t next_instance_index_ = 0;
    bool finished_ = false;
    boot_time start_time_{};
    std::deque<std::function<void()>> queue_;
    std::vector<timer_handle> timers_;
    timer_handle next_send_;
    std::function<void()> done_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

void load_run::implementation::start(std::function<void()> done)
{
    done_ = std::move(done);
    start_time_ = loop_.clock().now();
    create_jobs();
    schedule_cancellations();
    duration last{};
    for (const load_stream& stream : options_.plan.streams)
        last = std::max(last, stream.end);
    timers_.push_back(loop_.after(last + options_.plan.drain, [this] { finish(); }));
    send_due();
}

void load_run::implementation::create_jobs()
{
    std::vector<std::pair<duration, load_job>> planned;
    for (std::size_t s = 0; s < options_.plan.streams.size(); ++s)
    {
        const load_stream& stream = options_.plan.streams[s];
        for (std::uint64_t n = 0; n < stream.count; ++n)
        {
            load_job job;
            job.stream = s;
            job.number = n;
            job.request = fmt::format("{}-{}-{}", options_.name, stream.name, n);
            job.id = job_id::derive(partner_id(stream.partner), request_id(job.request));
            job.payload = payload_of(stream, n);
            planned.emplace_back(due_time(stream, n), std::move(job));
        }
    }
    std::stable_sort(
        planned.begin(), planned.end(),
        [](const std::pair<duration, load_job>& a, const std::pair<duration, load_job>& b)
        { return a.first < b.first; });
    progress_.resize(planned.size());
    for (std::pair<duration, load_job>& entry : planned)
    {
        progress_[jobs_.size()].retries_left =
            options_.plan.streams[entry.second.stream].retries;
        due_times_.push_back(entry.first);
        jobs_.push_back(std::move(entry.second));
    }
    unfinished_ = jobs_.size();
}

void load_run::implementation::schedule_cancellations()
{
    for (std::size_t s = 0; s < options_.plan.streams.size(); ++s)
    {
        if (!options_.plan.streams[s].cancel_at_end)
            continue;
        timers_.push_back(loop_.after(options_.plan.streams[s].end,
                                      [this, s]
                                      {
                                          for (std::size_t i = 0; i < jobs_.size(); ++i)
                                              if (jobs_[i].stream == s &&
                                                  jobs_[i].accepted &&
                                                  jobs_[i].fate == job_fate::open)
                                                  cancel(i);
                                      }));
    }
}

void load_run::implementation::send_due()
{
    const duration elapsed = loop_.clock().now() - start_time_;
    while (next_due_ < jobs_.size() && due_times_[next_due_] <= elapsed)
        submit(next_due_++);
    if (next_due_ < jobs_.size())
        next_send_ = loop_.after(due_times_[next_due_] - elapsed, [this] { send_due(); });
    if (unfinished_ == 0)
        finish();
}

void load_run::implementation::finish()
{
    if (finished_)
        return;
    finished_ = true;
    queue_.clear();
    for (std::size_t i = 0; i < jobs_.size(); ++i)
    {
        progress_[i].timer.reset();
        if (jobs_[i].fate != job_fate::open)
            continue;
        if (jobs_[i].accepted && progress_[i].first_not_found)
            jobs_[i].fate = job_fate::lost;
        else if (!jobs_[i].accepted && jobs_[i].unknown_outcomes > 0)
            jobs_[i].fate = job_fate::unknown;
        else if (!jobs_[i].accepted && jobs_[i].refusals > 0)
            jobs_[i].fate = job_fate::refused;
    }
    const std::function<void()> done = std::move(done_);
    done();
}

void load_run::implementation::schedule(std::size_t index, duration delay,
                                        void (implementation::*step)(std::size_t))
{
    progress_[index].timer =
        loop_.after(delay, [this, index, step] { (this->*step)(index); });
}

void load_run::implementation::enqueue(std::function<void()> send)
{
    if (open_requests_ >= options_.plan.max_open)
        return queue_.push_back(std::move(send));
    send();
}

void load_run::implementation::send_request(load_request request,
                                            load_transport::callback done)
{
    ++open_requests_;
    const std::weak_ptr<int> alive = alive_;
    transport_.send(std::move(request),
                    [this, alive, done = std::move(done)](result<load_reply> reply)
                    {
                        if (alive.expired() || finished_)
                            return;
                        --open_requests_;
                        done(std::move(reply));
                        if (queue_.empty() || open_requests_ >= options_.plan.max_open)
                            return;
                        const std::function<void()> next = std::move(queue_.front());
                        queue_.pop_front();
                        next();
                    });
}

std::string load_run::implementation::next_instance()
{
    return options_.instances[next_instance_index_++ % options_.instances.size()];
}

void load_run::implementation::submit(std::size_t index)
{
    enqueue(
        [this, index]
        {
            load_job& job = jobs_[index];
            const load_stream& stream = stream_of(index);
            load_request request;
            request.address = next_instance();
            if (job.submitted == boot_time())
            {
                job.submitted = loop_.clock().now();
                job.first_instance = request.address;
            }
            request.method = "POST";
            request.path = "/v1/jobs";
            request.body = submission_body(stream, job);
            request.timeout = min_timeout + stream.deadline;
            if (stream.synchronous)
                request.timeout += stream.run_time;
            send_request(std::move(request),
                         [this, index](const result<load_reply>& reply)
                         { handle_submission_reply(index, reply); });
        });
}

void load_run::implementation::handle_submission_reply(std::size_t index,
                                                       const result<load_reply>& reply)
{
    load_job& job = jobs_[index];
    if (!reply && reply.error().code == error_code::unavailable)
        return schedule(index, resend_delay, &implementation::submit);
    if (!reply)
    {
        ++job.unknown_outcomes;
        job.reason = reply.error().message;
        return schedule(index, resend_delay, &implementation::query_job);
    }
    load_answer answer = read_answer(reply.value().status, reply.value().body);
    if (answer.not_run)
        return handle_refusal(index, answer);
    if (answer.has_status)
        return handle_status(index, std::move(answer));
    ++job.unknown_outcomes;
    job.reason = answer.title;
    schedule(index, resend_delay, &implementation::query_job);
}

void load_run::implementation::handle_refusal(std::size_t index,
                                              const load_answer& answer)
{
    load_job& job = jobs_[index];
    job.answered = true;
    job.verdict = wire::job_verdict::not_run;
    job.results.clear();
    job.reason = answer.title;
    ++job.refusals;
    if (answer.retry_after == duration::zero() || progress_[index].retries_left == 0)
        return end_job(index, job_fate::refused);
    --progress_[index].retries_left;
    schedule(index, answer.retry_after, &implementation::submit);
}

void load_run::implementation::query_job(std::size_t index)
{
    enqueue(
        [this, index]
        {
            send_request(load_request{next_instance(), "GET",
                                      "/v1/jobs/" + jobs_[index].id.text(), "",
                                      min_timeout},
                         [this, index](const result<load_reply>& reply)
                         { handle_query_reply(index, reply); });
        });
}

void load_run::implementation::handle_query_reply(std::size_t index,
                                                  const result<load_reply>& reply)
{
    if (jobs_[index].fate != job_fate::open)
        return;
    if (!reply)
        return schedule_poll(index);
    if (reply.value().status == 404)
        return handle_not_found(index);
    load_answer answer = read_answer(reply.value().status, reply.value().body);
    if (reply.value().status != 200 || !answer.has_status)
        return schedule_poll(index);
    progress_[index].first_not_found.reset();
    handle_status(index, std::move(answer));
}

void load_run::implementation::handle_status(std::size_t index, load_answer answer)
{
    load_job& job = jobs_[index];
    job.answered = true;
    job.verdict = answer.verdict;
    job.results = std::move(answer.results);
    switch (answer.verdict)
    {
    case wire::job_verdict::accepted:
        // Synchronous requests are not stored durably, so only a queued job can count as
        // lost.
        job.accepted = job.accepted || !stream_of(index).synchronous;
        return schedule_poll(index);
    case wire::job_verdict::done:
        return end_job(index, job_fate::done);
    case wire::job_verdict::cancelled:
        return end_job(index, job_fate::cancelled);
    case wire::job_verdict::not_run:
        return end_job(index, job_fate::refused);
    case wire::job_verdict::unknown:
        return end_job(index, job_fate::unknown);
    }
}

void load_run::implementation::handle_not_found(std::size_t index)
{
    load_job& job = jobs_[index];
    std::optional<boot_time>& first = progress_[index].first_not_found;
    if (!first)
        first = loop_.clock().now();
    // Resubmitting under the same id is safe for a queued job, because an accepted one is
    // found by its id, and for an idempotent job, because it may run twice.
    const load_stream& stream = stream_of(index);
    if (!job.accepted && (!stream.synchronous || stream.idempotent))
        return submit(index);
    if (!job.accepted && loop_.clock().now() - *first > max_ownership_change_time)
        return end_job(index, job_fate::unknown);
    schedule_poll(index);
}

void load_run::implementation::schedule_poll(std::size_t index)
{
    duration& poll = progress_[index].poll;
    schedule(index, poll, &implementation::query_job);
    poll = std::min(poll + poll / 2, max_poll_period);
}

void load_run::implementation::cancel(std::size_t index)
{
    enqueue(
        [this, index]
        {
            send_request(load_request{next_instance(), "DELETE",
                                      "/v1/jobs/" + jobs_[index].id.text(), "",
                                      min_timeout},
                         [this, index](const result<load_reply>& reply)
                         {
                             // Cancellation is idempotent, so it is safe to retry.
                             if (!reply || reply.value().status == 503)
                                 timers_.push_back(loop_.after(resend_delay, [this, index]
                                                               { cancel(index); }));
                         });
        });
}

void load_run::implementation::end_job(std::size_t index, job_fate fate)
{
    load_job& job = jobs_[index];
    if (job.fate != job_fate::open)
        return;
    job.fate = fate;
    job.ended = loop_.clock().now();
    progress_[index].timer.reset();
    if (--unfinished_ == 0)
        finish();
}

load_run::load_run(event_loop& loop, load_transport& transport, options settings)
    : implementation_(
          std::make_unique<implementation>(loop, transport, std::move(settings)))
{
}

load_run::~load_run() = default;

void load_run::start(std::function<void()> done)
{
    implementation_->start(std::move(done));
}

const load_plan& load_run::plan() const
{
    return implementation_->run_options().plan;
}

const std::vector<load_job>& load_run::jobs() const
{
    return implementation_->jobs();
}

} // namespace hawthornbeam
