/// \file
/// Batches, retries and the order of acknowledgements.
#include "change_writer.hpp"

#include "stored_form.hpp"

#include <algorithm>
#include <deque>

namespace hawthornbeam::cell
{

namespace
{

/// Limits for the final states and removals in one transaction. The remaining entries are
/// reserved for the claim and the run ends.
constexpr std::size_t max_final_states = 20;
constexpr std::size_t max_removals = 8;
/// Maximum number of transactions in flight or waiting for a retry.
constexpr std::size_t max_open_batches = 8;
constexpr duration retry_pause = std::chrono::milliseconds(250);

template <class T>
void append(std::vector<T>& target, std::vector<T>& source)
{
    target.insert(target.end(), std::make_move_iterator(source.begin()),
                  std::make_move_iterator(source.end()));
    source.clear();
}

} // namespace

class change_writer::implementation : public std::enable_shared_from_this<implementation>
{
public:
    struct open_batch
    {
        change_batch content;
        bool in_flight = false;
        bool stored = false;
    };
    using open_batch_ptr = std::shared_ptr<open_batch>;

    implementation(event_loop& given_loop, cell_store& given_store,
                   const logger& given_log, fence_token given_token,
                   events given_handlers)
        : loop(given_loop), store(given_store), log(given_log), token(given_token),
          handlers(std::move(given_handlers))
    {
    }

    bool has_capacity() const { return !failing && open.size() < max_open_batches; }
    void write();
    open_batch_ptr next_batch();
    void send(const open_batch_ptr& batch);
    store_transaction transaction(const change_batch& content) const;
    void handle_commit(const open_batch_ptr& batch, const result<store_commit>& answer);
    void handle_failure(const result<store_commit>& answer);
    /// Sends open batches that are not in flight; only the first while the store fails.
    void resend();
    void finish(const open_batch_ptr& batch);
    void release_covered();

    event_loop& loop;
    cell_store& store;
    const logger& log;
    fence_token token;
    events handlers;
    pending_changes unsent;
    boot_time unsent_since{};
    std::vector<std::string> removals;
    std::deque<open_batch_ptr> open; ///< Oldest first.
    std::uint64_t last_ends_record = 0;
    bool failing = false; ///< No transaction was committed since the last failure.
    timer_handle retry_timer;
};

void change_writer::implementation::write()
{
    while (has_capacity())
    {
        const open_batch_ptr batch = next_batch();
        if (!batch)
            return;
        open.push_back(batch);
        send(batch);
    }
}

change_writer::implementation::open_batch_ptr change_writer::implementation::next_batch()
{
    if (unsent.empty() && removals.empty())
        return nullptr;
    const open_batch_ptr batch = std::make_shared<open_batch>();
    change_batch& content = batch->content;
    content.added_at = unsent.empty() ? loop.clock().now() : unsent_since;
    content.changes.ends = std::exchange(unsent.ends, {});
    if (!content.changes.ends.empty())
        content.ends_key = ends_store_key(token, ++last_ends_record);
    const std::ptrdiff_t states =
        static_cast<std::ptrdiff_t>(std::min(unsent.final_jobs.size(), max_final_states));
    content.changes.final_jobs.assign(unsent.final_jobs.begin(),
                                      unsent.final_jobs.begin() + states);
    unsent.final_jobs.erase(unsent.final_jobs.begin(),
                            unsent.final_jobs.begin() + states);
    // The ends of the remaining jobs are covered by a later batch.
    if (unsent.final_jobs.empty())
        content.changes.covered = std::exchange(unsent.covered, {});
    const std::size_t removed = std::min(removals.size(), max_removals);
    content.removals.assign(removals.end() - static_cast<std::ptrdiff_t>(removed),
                            removals.end());
    removals.resize(removals.size() - removed);
    return batch;
}

store_transaction
change_writer::implementation::transaction(const change_batch& content) const
{
    store_transaction change;
    change.expect.push_back({std::string(owner_key), kv_revision(token.value())});
    if (!content.ends_key.empty())
        change.puts.push_back(
            {content.ends_key, encode(content.changes.ends), lease_id()});
    const std::int64_t now_ms = loop.clock().wall_now().time_since_epoch().count();
    for (const auto& [job, state] : content.changes.final_jobs)
        change.puts.push_back({job_store_key(job),
                               encode(job_record{state, std::nullopt, now_ms}),
                               lease_id()});
    change.removals = content.removals;
    return change;
}

void change_writer::implementation::send(const open_batch_ptr& batch)
{
    store_transaction change = transaction(batch->content);
    // Run ends that need no record are acknowledged without a write.
    if (change.puts.empty() && change.removals.empty())
        return finish(batch);
    batch->in_flight = true;
    store.commit(std::move(change),
                 [weak = weak_from_this(), batch](const result<store_commit>& answer)
                 {
                     const std::shared_ptr<implementation> self = weak.lock();
                     if (self)
                         self->handle_commit(batch, answer);
                 });
}

void change_writer::implementation::handle_commit(const open_batch_ptr& batch,
                                                  const result<store_commit>& answer)
{
    batch->in_flight = false;
    if (!answer || !answer.value().committed)
        return handle_failure(answer);
    const bool recovered = std::exchange(failing, false);
    finish(batch);
    if (recovered)
        resend();
}

void change_writer::implementation::handle_failure(const result<store_commit>& answer)
{
    if (answer)
        for (const store_item& item : answer.value().conflicts)
            if (item.key == owner_key && item.revision > kv_revision(token.value()) &&
                handlers.later_claim(item))
                return;
    log.warning(
        "owner", "changes not stored",
        {{"reason", answer ? "the claim is not in the store" : answer.error().message}});
    failing = true;
    retry_timer = loop.after(retry_pause, [this] { resend(); });
}

void change_writer::implementation::resend()
{
    for (const open_batch_ptr& batch : open)
    {
        if (batch->in_flight || batch->stored)
            continue;
        send(batch);
        if (failing)
            return;
    }
}

void change_writer::implementation::finish(const open_batch_ptr& batch)
{
    batch->stored = true;
    handlers.stored(batch->content);
    release_covered();
}

void change_writer::implementation::release_covered()
{
    std::vector<acknowledge_command> covered;
    while (!open.empty() && open.front()->stored)
    {
        append(covered, open.front()->content.changes.covered);
        open.pop_front();
    }
    if (!covered.empty())
        handlers.covered(covered);
}

change_writer::change_writer(event_loop& loop, cell_store& store, const logger& log,
                             fence_token token, events handlers)
    : implementation_(
          std::make_shared<implementation>(loop, store, log, token, std::move(handlers)))
{
}

change_writer::~change_writer() = default;

void change_writer::set_token(fence_token token)
{
    implementation_->token = token;
}

void change_writer::add(pending_changes changes)
{
    implementation& self = *implementation_;
    if (changes.empty())
        return;
    if (self.unsent.empty())
        self.unsent_since = self.loop.clock().now();
    append(self.unsent.ends, changes.ends);
    append(self.unsent.final_jobs, changes.final_jobs);
    append(self.unsent.covered, changes.covered);
}

void change_writer::remove(std::string key)
{
    implementation_->removals.push_back(std::move(key));
}

bool change_writer::has_capacity() const
{
    return implementation_->has_capacity();
}

void change_writer::write()
{
    implementation_->write();
}

} // namespace hawthornbeam::cell
