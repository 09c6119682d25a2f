/// \file
/// Owner of a cell: reads and writes of the store.
#include "owner_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Batches changes before a write.
constexpr duration store_delay = std::chrono::milliseconds(30);
/// Delay before a failed read or write is tried again.
constexpr duration store_retry = std::chrono::milliseconds(250);
/// Upper limit for the transfer timeout of a watch. No other changes are read during the
/// transfer, and cancels must take effect within 4 s.
constexpr duration max_follow_transfer = std::chrono::milliseconds(2800);
/// Answers without changes advance the followed revision only after this time: during a
/// compaction of the store, watches may return no changes for a second.
constexpr duration unchanged_confirmation = std::chrono::milliseconds(3000);
/// Limits for the final states and removals in one transaction. The remaining entries are
/// reserved for the claim, the run ends and the list of workers.
constexpr std::size_t max_final_states = 20;
constexpr std::size_t max_removals = 8;

} // namespace

void owner::implementation::load()
{
    loading = true;
    load_started_at = parts.loop.clock().now();
    read_stored_jobs();
}

void owner::implementation::read_stored_jobs()
{
    parts.store.list(std::string(cell_prefix),
                     [weak = weak_from_this()](const result<store_listing>& answer)
                     {
                         const std::shared_ptr<implementation> self = weak.lock();
                         if (!self)
                             return;
                         if (answer)
                             return self->handle_listing(answer.value());
                         self->parts.log.warning("owner", "stored jobs not read",
                                                 {{"reason", answer.error().message}});
                         self->read_timer = self->parts.loop.after(
                             store_retry, [implementation = self.get()]
                             { implementation->read_stored_jobs(); });
                     });
}

void owner::implementation::handle_listing(const store_listing& listing)
{
    std::vector<stored_end> ends;
    std::vector<job_key> cancels;
    for (const store_item& item : listing.items)
        handle_item(item, ends, cancels);
    for (const stored_end& end : ends)
        cell.restore_end(end);
    for (const job_key& job : cancels)
        cancel(job, "stored");
    followed_revision = std::max(followed_revision, listing.at);
    remove_ends_of_ended_jobs();
    const duration took = parts.loop.clock().now() - load_started_at;
    parts.log.info("owner", "stored jobs read",
                   {{"open", std::uint64_t{cell.open_jobs()}},
                    {"items", std::uint64_t{listing.items.size()}},
                    {"took_ms", std::int64_t{took / std::chrono::milliseconds(1)}},
                    {"first", loaded ? 0 : 1}});
    // The worker list is processed only after the stored jobs: runs and run ends of jobs
    // that are not loaded yet would be treated as those of unknown jobs.
    const bool first = !loaded;
    loaded = true;
    loading = false;
    // The pages of the listing are not one snapshot: a cancel may have been stored after
    // its page was read. Inherited jobs are held until the changes since then are read.
    cell.set_inherited_held(true);
    follow();
    for (wire::accepted_job& accepted : std::exchange(early_jobs, {}))
        add_job(std::move(accepted.job), !accepted.is_new);
    if (first && early_workers)
        handle_workers(*early_workers);
    early_workers.reset();
    schedule_store();
    schedule_decision();
}

void owner::implementation::handle_item(const store_item& item,
                                        std::vector<stored_end>& ends,
                                        std::vector<job_key>& cancels)
{
    const std::string_view key = item.key;
    if (key.starts_with(job_prefix))
    {
        result<job_record> record = decode_job(item.value);
        if (!record)
            return parts.log.error(
                "owner", "stored job cannot be read",
                {{"key", item.key}, {"reason", record.error().message}});
        const job_key id{std::string(key.substr(job_prefix.size()))};
        if (record.value().job)
            add_job(std::move(*record.value().job), true);
        else if (!cell.state(id))
        {
            cell.restore_final(id, record.value().state);
            stored_final_jobs.emplace_back(parts.loop.clock().now(), id);
        }
        return;
    }
    if (key.starts_with(cancel_prefix))
        return cancels.emplace_back(std::string(key.substr(cancel_prefix.size()))),
               void();
    if (key.starts_with(ends_prefix))
    {
        result<std::vector<stored_end>> stored = decode_ends(item.value);
        if (!stored)
            return parts.log.error(
                "owner", "stored ends cannot be read",
                {{"key", item.key}, {"reason", stored.error().message}});
        for (const stored_end& end : stored.value())
        {
            jobs_by_ends_key[item.key].insert(end.run.task.job);
            ends_keys_by_job[end.run.task.job].insert(item.key);
            ends.push_back(end);
        }
        return;
    }
    if (key == queues_key)
    {
        result<std::vector<queue_policy>> known = decode_queues(item.value);
        if (!known)
            return parts.log.error("owner", "stored queues cannot be read",
                                   {{"reason", known.error().message}});
        return cell.restore_queues(known.value());
    }
    if (key == workers_key)
    {
        result<std::vector<worker_id>> known = decode_workers(item.value);
        if (!known)
            return parts.log.error("owner", "stored workers cannot be read",
                                   {{"reason", known.error().message}});
        cell.expect_workers(known.value(), parts.loop.clock().now());
        for (const worker_id& id : known.value())
        {
            stored_workers.insert(id);
            workers_to_store.insert(id);
            cell.allow_worker(id);
        }
    }
}

void owner::implementation::remove_ends_of_ended_jobs()
{
    for (auto record = jobs_by_ends_key.begin(); record != jobs_by_ends_key.end();)
    {
        std::erase_if(record->second,
                      [this](const job_key& job)
                      {
                          const std::optional<job_state> state = cell.state(job);
                          return !state || is_final(*state);
                      });
        if (!record->second.empty())
        {
            ++record;
            continue;
        }
        keys_to_remove.push_back(record->first);
        record = jobs_by_ends_key.erase(record);
    }
}

void owner::implementation::follow()
{
    if (loading || following)
        return;
    following = true;
    parts.store.watch(std::string(cell_prefix), followed_revision,
                      watch_times{duration::zero(), follow_transfer},
                      [weak = weak_from_this()](const result<store_changes>& answer)
                      {
                          const std::shared_ptr<implementation> self = weak.lock();
                          if (self)
                              self->handle_changes(answer);
                      });
}

void owner::implementation::handle_changes(const result<store_changes>& answer)
{
    following = false;
    if (!answer)
    {
        // The next answer contains all changes since the last one received, so on a slow
        // link it takes longer with each failure.
        follow_transfer = std::min(2 * follow_transfer, max_follow_transfer);
        return;
    }
    follow_transfer = watch_times().transfer;
    if (answer.value().history_lost)
        return load();
    for (const store_event& event : answer.value().events)
    {
        const std::string_view key = event.item.key;
        if (event.removed)
            continue;
        if (key == owner_key && event.item.revision > kv_revision(token.value()))
            return parts.superseded(fence_token(event.item.revision.value()));
        std::vector<stored_end> ends;
        std::vector<job_key> cancels;
        // Final states and run ends are written by this owner only and need no handling.
        if (key.starts_with(cancel_prefix) || key.starts_with(job_prefix))
            handle_item(event.item, ends, cancels);
        for (const job_key& job : cancels)
            cancel(job, "change");
    }
    cell.set_inherited_held(false);
    advance_position(answer.value());
    schedule_decision();
}

void owner::implementation::advance_position(const store_changes& answer)
{
    const boot_time now = parts.loop.clock().now();
    if (!answer.events.empty())
    {
        followed_revision = std::max(followed_revision, answer.at);
        unchanged_since.reset();
        return;
    }
    // An answer may omit changes. While the followed revision is before them, a later
    // answer contains them or reports that the history was lost.
    if (unchanged_since && now - unchanged_since->second < unchanged_confirmation)
        return;
    if (unchanged_since)
        followed_revision = std::max(followed_revision, unchanged_since->first);
    unchanged_since = {answer.at, now};
}

void owner::implementation::schedule_store()
{
    if (store_due || storing || !loaded)
        return;
    store_due = true;
    store_timer = parts.loop.after(store_delay,
                                   [this]
                                   {
                                       store_due = false;
                                       store_now();
                                   });
}

void owner::implementation::store_now()
{
    if (storing)
        return;
    if (batch.empty())
    {
        batch = cell.take_changes();
        if (!batch.ends.empty())
            batch_ends_key = ends_store_key(token, ++last_batch_number);
    }
    store_transaction change;
    change.expect.push_back({std::string(owner_key), kv_revision(token.value())});
    if (!batch.ends.empty())
        change.puts.push_back({batch_ends_key, encode(batch.ends), lease_id()});
    const std::int64_t now_ms = parts.loop.clock().wall_now().time_since_epoch().count();
    std::size_t states = 0;
    for (const auto& [job, state] : batch.final_jobs)
    {
        if (++states > max_final_states)
            break;
        change.puts.push_back({job_store_key(job),
                               encode(job_record{state, std::nullopt, now_ms}),
                               lease_id()});
    }
    workers_in_batch.reset();
    if (workers_changed)
    {
        workers_in_batch = workers_to_store;
        change.puts.push_back({std::string(workers_key),
                               encode(std::vector<worker_id>(workers_to_store.begin(),
                                                             workers_to_store.end())),
                               lease_id()});
        workers_changed = false;
    }
    queues_in_batch = std::exchange(queues_changed, false);
    if (queues_in_batch)
        change.puts.push_back(
            {std::string(queues_key), encode(cell.queues()), lease_id()});
    add_removals(change);
    if (change.puts.empty() && change.removals.empty())
    {
        // Run ends that need no record are acknowledged without a write.
        if (!batch.empty())
            finish_batch();
        return;
    }
    commit(std::move(change));
}

void owner::implementation::add_removals(store_transaction& change)
{
    const boot_time now = parts.loop.clock().now();
    while (!stored_final_jobs.empty() &&
           now - stored_final_jobs.front().first > parts.ended_retention)
    {
        keys_to_remove.push_back(job_store_key(stored_final_jobs.front().second));
        keys_to_remove.push_back(cancel_store_key(stored_final_jobs.front().second));
        cell.forget(stored_final_jobs.front().second);
        stored_final_jobs.pop_front();
    }
    while (!keys_to_remove.empty() && change.removals.size() < max_removals)
    {
        change.removals.push_back(std::move(keys_to_remove.back()));
        keys_to_remove.pop_back();
    }
}

void owner::implementation::commit(store_transaction change)
{
    storing = true;
    store_transaction sent = change;
    parts.store.commit(std::move(sent),
                       [weak = weak_from_this(),
                        change = std::move(change)](const result<store_commit>& answer)
                       {
                           const std::shared_ptr<implementation> self = weak.lock();
                           if (self)
                               self->handle_commit(change, answer);
                       });
}

void owner::implementation::handle_commit(const store_transaction& change,
                                          const result<store_commit>& answer)
{
    storing = false;
    if (!answer || !answer.value().committed)
    {
        workers_changed = workers_changed || workers_in_batch.has_value();
        queues_changed = queues_changed || queues_in_batch;
        for (const std::string& key : change.removals)
            keys_to_remove.push_back(key);
        if (answer)
            for (const store_item& item : answer.value().conflicts)
                if (item.key == owner_key && item.revision > kv_revision(token.value()))
                    return parts.superseded(fence_token(item.revision.value()));
        parts.log.warning("owner", "changes not stored",
                          {{"reason", answer ? "the claim is not in the store"
                                             : answer.error().message}});
        // The retry writes the same values, so it is safe even if this write took effect.
        store_due = true;
        store_timer = parts.loop.after(store_retry,
                                       [this]
                                       {
                                           store_due = false;
                                           store_now();
                                       });
        return;
    }
    if (workers_in_batch)
    {
        // Workers that were added during the write are included in the next one.
        stored_workers.clear();
        std::ranges::set_intersection(
            *workers_in_batch, workers_to_store,
            std::inserter(stored_workers, stored_workers.end()));
        for (const worker_id& id : stored_workers)
            cell.allow_worker(id);
    }
    finish_batch();
}

void owner::implementation::finish_batch()
{
    pending_changes stored;
    stored.ends = std::exchange(batch.ends, {});
    for (const stored_end& end : stored.ends)
    {
        jobs_by_ends_key[batch_ends_key].insert(end.run.task.job);
        ends_keys_by_job[end.run.task.job].insert(batch_ends_key);
    }
    const std::size_t states = std::min(batch.final_jobs.size(), max_final_states);
    stored.final_jobs.assign(batch.final_jobs.begin(),
                             batch.final_jobs.begin() +
                                 static_cast<std::ptrdiff_t>(states));
    batch.final_jobs.erase(batch.final_jobs.begin(),
                           batch.final_jobs.begin() +
                               static_cast<std::ptrdiff_t>(states));
    const boot_time now = parts.loop.clock().now();
    for (const auto& [job, state] : stored.final_jobs)
    {
        stored_final_jobs.emplace_back(now, job);
        newly_ended.push_back({job, state});
        for (const std::string& record : ends_keys_by_job[job])
        {
            std::set<job_key>& jobs = jobs_by_ends_key[record];
            jobs.erase(job);
            if (!jobs.empty())
                continue;
            jobs_by_ends_key.erase(record);
            keys_to_remove.push_back(record);
        }
        ends_keys_by_job.erase(job);
    }
    cell.stored(stored, now);
    if (batch.final_jobs.empty())
    {
        for (const acknowledge_command& command : batch.covered)
        {
            agent_commands* const commands = commands_for(command.worker);
            if (commands != nullptr)
                commands->acknowledgements.push_back(command);
        }
        batch = pending_changes();
    }
    send_commands();
    schedule_store();
}

} // namespace hawthornbeam::cell
