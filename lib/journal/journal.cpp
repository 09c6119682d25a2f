/// \file
/// Claim, release and fencing of a partition, and the public class partition_journal.
#include "journal_core.hpp"

#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// The service normally answers within milliseconds, so a call that takes this long
/// indicates a fault.
constexpr duration slow_call_threshold = std::chrono::seconds(2);

/// Returns a number that is unique in this process. Without it, two journals created in
/// the same millisecond with the same seed would have equal change ids and mistake each
/// other's writes for their own.
std::uint64_t next_change_number()
{
    static std::uint64_t number = 0;
    return ++number;
}

error not_owner_error(const char* reason)
{
    return make_error(error_code::conflict, reason);
}

} // namespace

partition_journal::implementation::implementation(kv_service& service,
                                                  event_loop& event_loop,
                                                  const logger& logging, options chosen)
    : kv(service), loop(event_loop), log(logging), settings(std::move(chosen)),
      random(settings.seed)
{
}

head_write::call_context partition_journal::implementation::make_call_context()
{
    const std::weak_ptr<implementation> self = weak_from_this();
    return head_write::call_context{
        kv,
        loop,
        random,
        settings.partition,
        settings.min_back_off,
        settings.max_back_off,
        [self](bool success)
        {
            const std::shared_ptr<implementation> journal = self.lock();
            if (!journal)
                return;
            --journal->open_calls;
            journal->last_call_failed = !success;
            if (journal->is_write_stalled())
                journal->fail_waiting(
                    make_error(error_code::unavailable, "the key-value service is away"));
        },
        [self]
        {
            const std::shared_ptr<implementation> journal = self.lock();
            if (journal && journal->open_calls++ == 0)
                journal->open_calls_since = journal->loop.clock().now();
        }};
}

bool partition_journal::implementation::is_degraded() const
{
    return last_call_failed || (open_calls > 0 && loop.clock().now() - open_calls_since >=
                                                      slow_call_threshold);
}

std::string partition_journal::implementation::next_change()
{
    return fmt::format("{}:{}:{:x}:{}", settings.self.value(),
                       loop.clock().wall_now().time_since_epoch().count(), settings.seed,
                       next_change_number());
}

std::string partition_journal::implementation::key(const std::string& name) const
{
    return journal_form::journal_prefix(settings.partition) + name;
}

void partition_journal::implementation::claim(
    std::function<void(result<claimed_partition>)> done)
{
    if (is_owner || current_claim || is_operation_running)
        return loop.post(
            [done = std::move(done)]
            { done(not_owner_error("this instance already owns or claims it")); });
    current_claim = std::make_shared<claim_run>(
        make_call_context(), settings.self, next_change(),
        [self = weak_from_this(), done = std::move(done)](result<claimed_journal> outcome)
        {
            const std::shared_ptr<implementation> journal = self.lock();
            if (!journal)
                return;
            const std::shared_ptr<claim_run> finished = std::move(journal->current_claim);
            journal->current_claim = nullptr;
            if (!outcome)
                return done(outcome.error());
            journal->handle_claim(std::move(outcome).value(), done);
        });
    current_claim->start();
}

void partition_journal::implementation::handle_claim(
    claimed_journal journal, const std::function<void(result<claimed_partition>)>& done)
{
    head = std::move(journal.head);
    head_revision = journal.revision;
    state = std::move(journal.state);
    values = std::move(journal.values);
    unreferenced_values.assign(journal.unreferenced_values.begin(),
                               journal.unreferenced_values.end());
    pending_segment.clear();
    is_owner = true;
    compaction_threshold = settings.max_segments;
    drop_ended();
    log.info("journal", "partition claimed",
             {{"partition", static_cast<int>(settings.partition.value())},
              {"epoch", head.epoch},
              {"leftovers", static_cast<std::uint64_t>(unreferenced_values.size())}});
    done(claimed_partition{epoch(head.epoch), state.jobs()});
    remove_unreferenced_values();
    run_next();
}

void partition_journal::implementation::release(std::function<void(result<bool>)> done)
{
    if (!is_owner || release_done)
        return loop.post([done = std::move(done)]
                         { done(not_owner_error("this instance does not own it")); });
    release_done = std::move(done);
    run_next();
}

void partition_journal::implementation::release_when_idle()
{
    is_operation_running = true;
    journal_form::stored_head next = head;
    next.owner.clear();
    write_head(
        std::move(next),
        [self = weak_from_this()](const head_result& outcome)
        {
            const std::shared_ptr<implementation> journal = self.lock();
            if (!journal)
                return;
            const std::function<void(result<bool>)> done =
                std::move(journal->release_done);
            journal->release_done = nullptr;
            journal->is_operation_running = false;
            if (outcome.status == head_outcome::not_written)
                return done(make_error(error_code::unavailable, outcome.message));
            journal->is_owner = false;
            if (outcome.status == head_outcome::unknown)
                return done(make_error(error_code::outcome_unknown, outcome.message));
            done(true); // Also if another instance has already claimed the partition.
        });
}

void partition_journal::implementation::confirm(std::function<void(result<bool>)> done)
{
    if (!is_owner)
        return loop.post([done = std::move(done)]
                         { done(not_owner_error("this instance does not own it")); });
    const head_write::call_context context = make_call_context();
    context.on_call_started();
    read_partition_owner(kv, settings.partition,
                         [self = weak_from_this(), context,
                          done = std::move(done)](const result<partition_owner>& answer)
                         {
                             const std::shared_ptr<implementation> journal = self.lock();
                             if (!journal)
                                 return;
                             context.on_call_finished(answer.has_value());
                             if (!answer)
                                 return done(answer.error());
                             if (journal->is_owner &&
                                 answer.value().owner_epoch == epoch(journal->head.epoch))
                                 return done(true);
                             const error cause = not_owner_error(
                                 "another instance has claimed the partition");
                             journal->fence(cause);
                             done(cause);
                         });
}

void partition_journal::implementation::fence(const error& cause)
{
    if (!is_owner)
        return;
    is_owner = false;
    log.warning("journal", "partition lost",
                {{"partition", static_cast<int>(settings.partition.value())},
                 {"reason", cause.message}});
    fail_waiting(cause);
    if (const std::function<void(result<bool>)> done = std::move(release_done))
    {
        release_done = nullptr;
        done(cause);
    }
    if (fenced_handler)
        fenced_handler();
}

void partition_journal::implementation::write_head(journal_form::stored_head next,
                                                   std::function<void(head_result)> done)
{
    next.change = next_change();
    current_write = std::make_shared<head_write>(
        make_call_context(), std::move(next), head_revision,
        [self = weak_from_this(), done = std::move(done)](const head_result& outcome)
        {
            const std::shared_ptr<implementation> journal = self.lock();
            if (!journal)
                return;
            const std::shared_ptr<head_write> finished =
                std::move(journal->current_write);
            journal->current_write = nullptr;
            if (outcome.status == head_outcome::written)
            {
                journal->head = finished->next();
                journal->head_revision = outcome.revision;
            }
            done(outcome);
        });
    current_write->start();
}

partition_journal::partition_journal(kv_service& kv, event_loop& loop, const logger& log,
                                     options settings)
    : implementation_(
          std::make_shared<implementation>(kv, loop, log, std::move(settings)))
{
}

partition_journal::~partition_journal() = default;

void partition_journal::claim(std::function<void(result<claimed_partition>)> done)
{
    implementation_->claim(std::move(done));
}

void partition_journal::append(journal_record record,
                               std::function<void(result<bool>)> done)
{
    implementation_->append(std::move(record), std::move(done));
}

void partition_journal::confirm(std::function<void(result<bool>)> done)
{
    implementation_->confirm(std::move(done));
}

void partition_journal::release(std::function<void(result<bool>)> done)
{
    implementation_->release(std::move(done));
}

void partition_journal::on_fenced(std::function<void()> handler)
{
    implementation_->fenced_handler = std::move(handler);
}

bool partition_journal::is_owner() const
{
    return implementation_->is_owner;
}

epoch partition_journal::owner_epoch() const
{
    return epoch(implementation_->head.epoch);
}

std::size_t partition_journal::waiting_records() const
{
    return implementation_->waiting.size() + implementation_->batch.size();
}

bool partition_journal::is_degraded() const
{
    return implementation_->is_degraded();
}

void read_partition_owner(kv_service& kv, partition_id partition,
                          std::function<void(result<partition_owner>)> done)
{
    kv.read(kv_cause::claim, journal_form::head_key(partition),
            [done = std::move(done)](const result<std::optional<kv_entry>>& answer)
            {
                if (!answer)
                    return done(
                        make_error(error_code::unavailable, answer.error().message));
                if (!answer.value())
                    return done(partition_owner());
                const result<journal_form::stored_head> head =
                    journal_form::decode_head(*answer.value());
                if (!head)
                    return done(head.error());
                done(partition_owner{epoch(head.value().epoch),
                                     instance_id(head.value().owner)});
            });
}

} // namespace hawthornbeam
