/// \file
/// Acquisition, renewal and release of the owner lease of one worker.
#include "lib/instance/worker_session.hpp"

namespace hawthornbeam
{

namespace
{

/// Fraction of the lease length that is used; the rest allows for clock drift.
constexpr double usable_lease_fraction = 0.9;
/// Task lease assumed for a worker that has never replied.
constexpr duration assumed_task_lease = std::chrono::seconds(66);
/// Added to a task lease to allow for drift between two clocks and for the transit time
/// of the last renewal.
constexpr duration lease_drift_allowance = std::chrono::seconds(6);
constexpr duration retry_base = std::chrono::milliseconds(500);
constexpr double retry_spread = 0.5;
constexpr duration events_retry = std::chrono::milliseconds(100);

} // namespace

class worker_session::implementation
    : public std::enable_shared_from_this<worker_session::implementation>
{
public:
    enum class phase
    {
        idle,
        acquiring,
        reading,
        reconciled,
        closed
    };

    implementation(context& shared_context, host_entry entry, observer& watcher_ref,
                   worker_session& session)
        : shared(shared_context), host(std::move(entry)), watcher(watcher_ref),
          self(session)
    {
    }

    worker_gateway& gateway() { return shared.parts.workers; }
    bool may_start() const
    {
        return current_phase == phase::reconciled && shared.now() < deadline;
    }

    void acquire();
    void read_tasks();
    void wait_for_events();
    void handle_events_failure(const error& failure);
    void handle_lease_loss(const error& failure);
    void retry_acquire();
    void record_renewal(const lease_grant& grant, boot_time sent_at);
    void finish_start(const std::vector<task_id>& sent,
                      result<std::vector<start_outcome>> outcome,
                      const std::function<void(std::vector<start_outcome>)>& done);
    void release_when_idle();

    context& shared;
    host_entry host;
    observer& watcher;
    worker_session& self;
    phase current_phase = phase::idle;
    generation lease_generation;
    boot_time deadline = boot_time::min();
    boot_time last_renewal{};
    boot_time last_renewal_attempt{};
    duration task_lease = assumed_task_lease;
    std::uint64_t seen = 0;
    std::size_t starts_in_flight = 0;
    /// Incremented by each acquisition; callbacks of earlier acquisitions are ignored.
    std::uint64_t round = 0;
    std::function<void()> close_callback;
    timer_handle retry;
};

void worker_session::implementation::record_renewal(const lease_grant& grant,
                                                    boot_time sent_at)
{
    lease_generation = grant.granted;
    last_renewal = sent_at;
    task_lease = grant.task_lease + lease_drift_allowance;
    deadline =
        sent_at + duration(static_cast<duration::rep>(
                      static_cast<double>(grant.length.count()) * usable_lease_fraction));
}

void worker_session::implementation::acquire()
{
    current_phase = phase::acquiring;
    const std::uint64_t request_round = ++round;
    const boot_time sent_at = shared.now();
    const std::weak_ptr<implementation> weak = weak_from_this();
    gateway().acquire(host.address, shared.options.self,
                      [weak, request_round, sent_at](result<lease_grant> grant)
                      {
                          const std::shared_ptr<implementation> state = weak.lock();
                          if (!state || state->round != request_round)
                              return;
                          if (!grant)
                              return state->retry_acquire();
                          state->record_renewal(grant.value(), sent_at);
                          state->read_tasks();
                      });
}

void worker_session::implementation::retry_acquire()
{
    if (current_phase == phase::closed)
        return;
    current_phase = phase::idle;
    ++round;
    const duration delay = shared.random.jitter(retry_base, retry_spread);
    retry = shared.parts.loop.after(delay, [this] { acquire(); });
}

void worker_session::implementation::read_tasks()
{
    current_phase = phase::reading;
    const std::uint64_t request_round = round;
    const std::weak_ptr<implementation> weak = weak_from_this();
    gateway().list(host.address,
                   [weak, request_round](result<std::vector<task_report>> tasks)
                   {
                       const std::shared_ptr<implementation> state = weak.lock();
                       if (!state || state->round != request_round)
                           return;
                       // A list that arrives after the lease has expired may lack
                       // tasks that the next owner has started since.
                       if (!tasks || state->shared.now() >= state->deadline)
                           return state->retry_acquire();
                       state->current_phase = phase::reconciled;
                       state->seen = 0;
                       state->watcher.on_reconciled(state->self,
                                                    std::move(tasks).value());
                       if (state->current_phase == phase::reconciled &&
                           state->round == request_round)
                           state->wait_for_events();
                   });
}

void worker_session::implementation::wait_for_events()
{
    const std::uint64_t request_round = round;
    const boot_time sent_at = shared.now();
    last_renewal_attempt = sent_at;
    const std::weak_ptr<implementation> weak = weak_from_this();
    gateway().events(host.address, lease_generation, seen, shared.options.events_wait,
                     [weak, request_round, sent_at](result<worker_events> events)
                     {
                         const std::shared_ptr<implementation> state = weak.lock();
                         if (!state || state->round != request_round)
                             return;
                         if (!events)
                             return state->handle_events_failure(events.error());
                         state->record_renewal(events.value().lease, sent_at);
                         state->seen = events.value().seen;
                         if (!events.value().tasks.empty())
                             state->watcher.on_reports(state->self,
                                                       std::move(events.value().tasks));
                         if (state->current_phase == phase::reconciled &&
                             state->round == request_round)
                             state->wait_for_events();
                     });
}

void worker_session::implementation::handle_events_failure(const error& failure)
{
    // A failed call does not end the lease before its deadline, so the call is retried.
    if (failure.code == error_code::conflict || shared.now() >= deadline)
        return handle_lease_loss(failure);
    const std::uint64_t request_round = round;
    retry = shared.parts.loop.after(events_retry,
                                    [this, request_round]
                                    {
                                        if (round == request_round &&
                                            current_phase == phase::reconciled)
                                            wait_for_events();
                                    });
}

void worker_session::implementation::handle_lease_loss(const error& failure)
{
    shared.parts.log.warning("worker", "the owner lease of a worker was lost",
                             {{"worker", host.id.value()}, {"error", failure.message}});
    current_phase = phase::idle;
    deadline = boot_time::min();
    watcher.on_lost(self);
    retry_acquire();
}

void worker_session::implementation::finish_start(
    const std::vector<task_id>& sent, result<std::vector<start_outcome>> outcome,
    const std::function<void(std::vector<start_outcome>)>& done)
{
    --starts_in_flight;
    if (outcome)
        done(std::move(outcome).value());
    else
    {
        // Unless the outcome is unknown, the request was not sent or was refused as a
        // whole, and none of the tasks was started.
        std::vector<start_outcome> rejected;
        if (outcome.error().code != error_code::outcome_unknown)
            for (const task_id& id : sent)
                rejected.push_back(start_outcome{id, false, outcome.error().message});
        done(std::move(rejected));
        if (current_phase == phase::reconciled)
        {
            current_phase = phase::idle;
            deadline = boot_time::min();
            watcher.on_lost(self);
            acquire();
        }
    }
    release_when_idle();
}

void worker_session::implementation::release_when_idle()
{
    if (current_phase != phase::closed || starts_in_flight > 0 || !close_callback)
        return;
    const std::function<void()> done = std::move(close_callback);
    close_callback = nullptr;
    if (lease_generation == generation())
        return done();
    gateway().release(host.address, lease_generation, [done](result<bool>) { done(); });
}

worker_session::worker_session(context& shared, host_entry host, observer& watcher)
    : implementation_(
          std::make_shared<implementation>(shared, std::move(host), watcher, *this))
{
}

worker_session::~worker_session()
{
    ++implementation_->round;
    implementation_->current_phase = implementation::phase::closed;
    implementation_->retry.reset();
}

void worker_session::open()
{
    if (implementation_->current_phase == implementation::phase::idle)
        implementation_->acquire();
}

void worker_session::close(std::function<void()> done)
{
    ++implementation_->round;
    implementation_->retry.reset();
    implementation_->current_phase = implementation::phase::closed;
    implementation_->deadline = boot_time::min();
    implementation_->close_callback = std::move(done);
    implementation_->release_when_idle();
}

const host_entry& worker_session::host() const
{
    return implementation_->host;
}

void worker_session::set_leaving(bool leaving)
{
    implementation_->host.leaving = leaving;
}

bool worker_session::may_start() const
{
    return implementation_->may_start();
}

bool worker_session::is_reconciled() const
{
    return implementation_->current_phase == implementation::phase::reconciled;
}

boot_time worker_session::tasks_end_by() const
{
    // The worker may have applied a renewal whose response was lost.
    return std::max(implementation_->last_renewal_attempt,
                    implementation_->last_renewal) +
           implementation_->task_lease;
}

void worker_session::start(std::vector<task_start> tasks,
                           std::function<void(std::vector<start_outcome>)> done)
{
    implementation& state = *implementation_;
    std::vector<task_id> sent;
    for (const task_start& task : tasks)
        sent.push_back(task.id);
    if (!state.may_start())
    {
        std::vector<start_outcome> rejected;
        for (const task_id& id : sent)
            rejected.push_back(start_outcome{id, false, "the owner lease is not held"});
        return done(std::move(rejected));
    }
    ++state.starts_in_flight;
    const std::shared_ptr<implementation> self_reference = implementation_;
    state.gateway().start(
        state.host.address, state.lease_generation, std::move(tasks),
        [self_reference, sent,
         done = std::move(done)](result<std::vector<start_outcome>> outcome)
        { self_reference->finish_start(sent, std::move(outcome), done); });
}

void worker_session::control(const task_id& task, task_action action)
{
    implementation& state = *implementation_;
    const logger& log = state.shared.parts.log;
    state.gateway().control(
        state.host.address, state.lease_generation, task, action,
        [&log, task](result<bool> applied)
        {
            if (!applied)
                log.debug("worker", "a control call failed",
                          {{"task", task.text()}, {"error", applied.error().message}});
        });
}

void worker_session::acknowledge(std::vector<task_id> tasks)
{
    // Errors are ignored: a lost acknowledgement is repeated after the next
    // reconciliation.
    implementation_->gateway().acknowledge(implementation_->host.address,
                                           implementation_->lease_generation,
                                           std::move(tasks), [](result<bool>) {});
}

} // namespace hawthornbeam
