/// \file
/// Implements the part of the owner that reads and writes the store.
#include "owner_state.hpp"

#include <algorithm>

namespace hawthornbeam::cell
{

namespace
{

/// Changes that arise within this time are stored together.
constexpr duration store_delay = std::chrono::milliseconds(30);
/// Pause after a write that failed.
constexpr duration store_retry = std::chrono::milliseconds(250);
/// Longest time for an answer with changes to arrive. Nothing else is read meanwhile, and
/// cancels must be known within 4 s.
constexpr duration max_follow_transfer = std::chrono::milliseconds(2800);
/// Answers without changes move the position of the read only after this time: while the
/// store compacts, watches may hear nothing for a second.
constexpr duration quiet_confirmation = std::chrono::milliseconds(3000);
/// Final states and removals of a transaction; the rest of the entries is for the claim,
/// the ends and the workers.
constexpr std::size_t max_final_states = 20;
constexpr std::size_t max_removals = 8;

} // namespace

void owner::implementation::load()
{
    loading = true;
    load_began = parts.loop.clock().now();
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
    followed = std::max(followed, listing.at);
    remove_ends_of_ended_jobs();
    const duration took = parts.loop.clock().now() - load_began;
    parts.log.info("owner", "stored jobs read",
                   {{"open", std::uint64_t{cell.open_jobs()}},
                    {"items", std::uint64_t{listing.items.size()}},
                    {"took_ms", std::int64_t{took / std::chrono::milliseconds(1)}},
                    {"first", loaded ? 0 : 1}});
    // Workers are looked at only now: ends and runs of jobs that are not known yet could
    // not be told from foreign ones.
    const bool first = !loaded;
    loaded = true;
    loading = false;
    // The pages are no snapshot: a cancel may have come after the page that would show
    // it.
    cell.set_inherited_held(true);
    follow();
    for (wire::accepted_job& accepted : std::exchange(early_accepted, {}))
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
            ended.emplace_back(parts.loop.clock().now(), id);
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
            ends_records[item.key].insert(end.run.task.job);
            records_of[end.run.task.job].insert(item.key);
            ends.push_back(end);
        }
        return;
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
    for (auto record = ends_records.begin(); record != ends_records.end();)
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
        outdated.push_back(record->first);
        record = ends_records.erase(record);
    }
}

void owner::implementation::follow()
{
    if (loading || following)
        return;
    following = true;
    parts.store.watch(std::string(cell_prefix), followed,
                      watch_times{duration::zero(), follow_transfer},
                      [weak = weak_from_this()](const result<store_changes>& answer)
                      {
                          const std::shared_ptr<implementation> self = weak.lock();
                          if (self)
                              self->take_changes(answer);
                      });
}

void owner::implementation::take_changes(const result<store_changes>& answer)
{
    following = false;
    if (!answer)
    {
        // The answer holds all changes since the last one that arrived, so on a slow link
        // it takes longer each time.
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
        // Final states and ends are this owner's own writes.
        if (key.starts_with(cancel_prefix) || key.starts_with(job_prefix))
            handle_item(event.item, ends, cancels);
        for (const job_key& job : cancels)
            cancel(job, "change");
    }
    cell.set_inherited_held(false);
    move_position(answer.value());
    schedule_decision();
}

void owner::implementation::move_position(const store_changes& answer)
{
    const boot_time now = parts.loop.clock().now();
    if (!answer.events.empty())
    {
        followed = std::max(followed, answer.at);
        unchanged_since.reset();
        return;
    }
    // Changes that the store leaves out come with a later answer, or their loss is told,
    // as long as the position stays before them.
    if (unchanged_since && now - unchanged_since->second < quiet_confirmation)
        return;
    if (unchanged_since)
        followed = std::max(followed, unchanged_since->first);
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
            batch_key = ends_store_key(token, ++last_batch);
    }
    store_transaction change;
    change.expect.push_back({std::string(owner_key), kv_revision(token.value())});
    if (!batch.ends.empty())
        change.puts.push_back({batch_key, encode(batch.ends), lease_id()});
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
    remove_outdated(change);
    if (change.puts.empty() && change.removals.empty())
    {
        // Ends that need no record are acknowledged without a write.
        if (!batch.empty())
            finish_batch();
        return;
    }
    commit(std::move(change));
}

void owner::implementation::remove_outdated(store_transaction& change)
{
    const boot_time now = parts.loop.clock().now();
    while (!ended.empty() && now - ended.front().first > parts.ended_retention)
    {
        outdated.push_back(job_store_key(ended.front().second));
        outdated.push_back(cancel_store_key(ended.front().second));
        cell.forget(ended.front().second);
        ended.pop_front();
    }
    while (!outdated.empty() && change.removals.size() < max_removals)
    {
        change.removals.push_back(std::move(outdated.back()));
        outdated.pop_back();
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
        for (const std::string& key : change.removals)
            outdated.push_back(key);
        if (answer)
            for (const store_item& item : answer.value().conflicts)
                if (item.key == owner_key && item.revision > kv_revision(token.value()))
                    return parts.superseded(fence_token(item.revision.value()));
        parts.log.warning("owner", "changes not stored",
                          {{"reason", answer ? "the claim is not in the store"
                                             : answer.error().message}});
        // The same values are written again, so a write that did take effect is harmless.
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
        // Workers that have come since then wait for the next write.
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
        ends_records[batch_key].insert(end.run.task.job);
        records_of[end.run.task.job].insert(batch_key);
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
        ended.emplace_back(now, job);
        newly_ended.push_back({job, state});
        for (const std::string& record : records_of[job])
        {
            std::set<job_key>& jobs = ends_records[record];
            jobs.erase(job);
            if (!jobs.empty())
                continue;
            ends_records.erase(record);
            outdated.push_back(record);
        }
        records_of.erase(job);
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
