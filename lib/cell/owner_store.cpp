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
/// The cancel of a job that is not stored is kept for this long: many times as long as
/// the store may delay the write of the job.
constexpr duration early_cancel_retention = std::chrono::seconds(60);

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
    // Jobs that were stored after a later claim may run under that owner already.
    for (const store_item& item : listing.items)
        if (handle_claim(item))
            return;
    for (const store_item& item : listing.items)
        if (item.key == term_key)
            handle_term(item);
        else if (item.key == queues_key)
            handle_queues(item);
    // The pages of the listing are not one snapshot: a cancel may have been stored after
    // its page was read. Jobs are held until the cancels since then are read, also new
    // jobs: a cancel may have been reported to the former owner only.
    cell.hold_added_jobs();
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
    if (first)
        loaded_at = parts.loop.clock().now();
    loaded = true;
    loading = false;
    follow();
    for (const auto& [from, report] : std::exchange(early_calls, {}))
        cell.observe(from, report.second, report.first);
    for (wire::accepted_job& accepted : std::exchange(early_jobs, {}))
        add_job(std::move(accepted.job), !accepted.is_new);
    if (first && early_workers)
        handle_workers(*early_workers);
    early_workers.reset();
    // Each agent reports its calls for former owners once it is commanded.
    if (first)
        broadcast();
    schedule_store();
    schedule_decision();
}

bool owner::implementation::is_later_claim(const store_item& item) const
{
    if ((item.key != owner_key && item.key != last_claim_key) ||
        item.revision <= kv_revision(token.value()))
        return false;
    // This instance may have continued its claim without having learned of it.
    const result<owner_record> record = decode_owner(item.value);
    return !record || record.value().instance != parts.self;
}

bool owner::implementation::handle_claim(const store_item& item)
{
    const bool is_later = is_later_claim(item);
    if (is_later)
        parts.superseded(fence_token(item.revision.value()));
    return is_later;
}

void owner::implementation::handle_term(const store_item& item)
{
    const result<owner_term> term = decode_term(item.value);
    if (!term)
        return parts.log.error("owner", "term cannot be read",
                               {{"reason", term.error().message}});
    cell.set_term(term.value());
}

void owner::implementation::handle_queues(const store_item& item)
{
    const result<std::vector<queue_policy>> known = decode_queues(item.value);
    if (!known)
        return parts.log.error("owner", "stored queues cannot be read",
                               {{"reason", known.error().message}});
    queues_revision = item.revision;
    cell.restore_queues(known.value());
}

void owner::implementation::handle_receiver_policy(const store_item& item)
{
    const result<std::vector<queue_policy>> known = decode_queues(item.value);
    if (!known)
        return parts.log.error("owner", "stored queues cannot be read",
                               {{"reason", known.error().message}});
    queues_changed = cell.restore_queues(known.value()) || queues_changed;
    receiver_policies.insert(item.key);
    schedule_store();
}

void owner::implementation::remove_receiver_policies()
{
    if (queues_changed || writing_records)
        return;
    for (const std::string& key : std::exchange(receiver_policies, {}))
        writer.remove(key);
}

void owner::implementation::handle_instances(const store_item& item)
{
    instances_revision = item.revision;
    const result<std::vector<known_instance>> known = decode_instances(item.value);
    if (!known)
        return parts.log.error("owner", "stored instances cannot be read",
                               {{"reason", known.error().message}});
    const std::vector<known_instance> heard = evidence.instances();
    for (const known_instance& each : known.value())
    {
        const bool is_replaced =
            each.id == parts.self ||
            std::ranges::find(heard, each.address, &known_instance::address) !=
                heard.end();
        if (!is_replaced)
            evidence.add_instance(each, parts.loop.clock().now());
    }
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
    if (key.starts_with(queue_prefix))
        return handle_receiver_policy(item);
    if (key == instances_key)
        return handle_instances(item);
    if (key == agents_key)
        return handle_stored_agents(item);
    if (key == workers_key)
        handle_stored_workers(item);
}

void owner::implementation::handle_stored_workers(const store_item& item)
{
    const result<std::vector<worker_id>> known = decode_workers(item.value);
    if (!known)
        return parts.log.error("owner", "stored workers cannot be read",
                               {{"reason", known.error().message}});
    workers_revision = item.revision;
    const boot_time now = parts.loop.clock().now();
    cell.expect_workers(known.value(), now);
    // Keys are listed in their order, so the record of agents was read before.
    if (!loaded)
        cell.restore_calls(calls_to_store, now);
    for (const worker_id& id : known.value())
    {
        stored_workers.insert(id);
        workers_to_store.insert(id);
    }
}

void owner::implementation::handle_stored_agents(const store_item& item)
{
    agents_revision = item.revision;
    const result<agents_record> known = decode_agents(item.value);
    if (!known)
        return parts.log.error("owner", "stored agents cannot be read",
                               {{"reason", known.error().message}});
    // When this owner reads its records again, they name its own agents.
    if (loaded)
        return;
    former_agents.insert(known.value().agents.begin(), known.value().agents.end());
    stored_agents = former_agents;
    agents_to_store = former_agents;
    calls_to_store = known.value().calls;
    former_agents_known = known.value().complete;
    parts.log.info("owner", "former agents read",
                   {{"agents", std::uint64_t{former_agents.size()}},
                    {"complete", former_agents_known ? 1 : 0},
                    {"workers", std::uint64_t{calls_to_store.size()}}});
    if (former_agents_known)
        cell.expect_agents(former_agents);
}

void owner::implementation::handle_former_calls(const instance_id& from,
                                                const former_calls& calls, boot_time now)
{
    if (loaded)
        cell.observe(from, calls, now);
    else
        early_calls.insert_or_assign(from, std::pair(now, calls));
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
        writer.remove(record->first);
        record = jobs_by_ends_key.erase(record);
    }
}

void owner::implementation::follow()
{
    if (loading || following || reading_cancels)
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
        // link it takes longer with each failure, and may never arrive in time.
        const bool keeps_failing = follow_transfer == max_follow_transfer;
        follow_transfer = std::min(2 * follow_transfer, max_follow_transfer);
        if (keeps_failing || cell.holds_added_jobs())
            read_cancels();
        return;
    }
    follow_transfer = watch_times().transfer;
    // The next watch reports the lost history again.
    if (answer.value().history_lost && cell.holds_added_jobs())
        return read_cancels();
    if (answer.value().history_lost)
        return load();
    for (const store_event& event : answer.value().events)
    {
        const std::string_view key = event.item.key;
        if (event.removed)
            continue;
        if (handle_claim(event.item))
            return;
        std::vector<stored_end> ends;
        std::vector<job_key> cancels;
        // Final states and run ends are written by this owner only and need no handling.
        if (key.starts_with(cancel_prefix) || key.starts_with(job_prefix) ||
            key.starts_with(queue_prefix))
            handle_item(event.item, ends, cancels);
        for (const job_key& job : cancels)
            cancel(job, "change");
    }
    cell.release_added_jobs();
    advance_position(answer.value());
    schedule_decision();
}

void owner::implementation::read_cancels()
{
    reading_cancels = true;
    parts.store.list(std::string(cancel_prefix),
                     [weak = weak_from_this()](const result<store_listing>& answer)
                     {
                         const std::shared_ptr<implementation> self = weak.lock();
                         if (self)
                             self->handle_cancels(answer);
                     });
}

void owner::implementation::handle_cancels(const result<store_listing>& answer)
{
    reading_cancels = false;
    if (!answer)
        return;
    std::vector<stored_end> ends;
    std::vector<job_key> cancels;
    for (const store_item& item : answer.value().items)
        handle_item(item, ends, cancels);
    for (const job_key& job : cancels)
        cancel(job, "stored");
    cell.release_added_jobs();
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
    if (store_due || !loaded)
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
    remove_expired_jobs();
    remove_receiver_policies();
    // Changes that cannot be sent yet stay in the scheduler, which drops run ends that a
    // final state replaces.
    if (writer.has_capacity())
        writer.add(cell.take_changes());
    writer.write();
    write_records();
}

void owner::implementation::remove_expired_jobs()
{
    const boot_time now = parts.loop.clock().now();
    while (!stored_final_jobs.empty() &&
           now - stored_final_jobs.front().first > parts.ended_retention)
    {
        const job_key& job = stored_final_jobs.front().second;
        writer.remove(job_store_key(job));
        writer.remove(cancel_store_key(job));
        cell.forget(job);
        stored_final_jobs.pop_front();
    }
}

void owner::implementation::remove_expired_cancels()
{
    const boot_time now = parts.loop.clock().now();
    const std::size_t removed =
        std::erase_if(early_cancels,
                      [this, now](const std::pair<const job_key, boot_time>& each)
                      {
                          if (now - each.second <= early_cancel_retention)
                              return false;
                          writer.remove(cancel_store_key(each.first));
                          return true;
                      });
    if (removed > 0)
        schedule_store();
}

void owner::implementation::handle_stored(const change_batch& batch)
{
    const boot_time now = parts.loop.clock().now();
    const duration waited = now - batch.added_at;
    parts.metrics.observe("hawthornbeam_store_wait_seconds", {}, waited);
    for (const auto& [job, state] : batch.changes.final_jobs)
    {
        parts.log.info(
            "owner", "final state stored",
            {{"job", job.value()},
             {"state", to_string(state)},
             {"wait_ms", std::int64_t{waited / std::chrono::milliseconds(1)}}});
        stored_final_jobs.emplace_back(now, job);
        newly_ended.push_back({job, state});
        for (const std::string& record : ends_keys_by_job[job])
        {
            std::set<job_key>& jobs = jobs_by_ends_key[record];
            jobs.erase(job);
            if (!jobs.empty())
                continue;
            jobs_by_ends_key.erase(record);
            writer.remove(record);
        }
        ends_keys_by_job.erase(job);
    }
    record_stored_ends(batch);
    cell.stored(batch.changes, now);
    schedule_store();
}

void owner::implementation::record_stored_ends(const change_batch& batch)
{
    if (batch.ends_key.empty())
        return;
    bool needed = false;
    for (const stored_end& end : batch.changes.ends)
    {
        const job_key& job = end.run.task.job;
        // The final state of the job may have been stored first.
        const std::optional<job_state> state = cell.state(job);
        if (state && is_final(*state))
            continue;
        jobs_by_ends_key[batch.ends_key].insert(job);
        ends_keys_by_job[job].insert(batch.ends_key);
        needed = true;
    }
    if (!needed)
        writer.remove(batch.ends_key);
}

std::vector<known_instance> owner::implementation::instances_to_store() const
{
    std::vector<known_instance> listed = evidence.instances();
    if (own_address != endpoint())
        listed.push_back({parts.self, own_address});
    return listed;
}

void owner::implementation::write_records()
{
    if (writing_records || records_retry_due ||
        !(workers_changed || agents_changed || queues_changed || instances_changed))
        return;
    // A successor must not find workers without a record of agents.
    agents_changed = agents_changed || agents_revision == kv_revision();
    // A transaction without an answer may be executed after a later one. Its expectation
    // of the records' revisions fails then.
    store_transaction change;
    change.expect.push_back({std::string(owner_key), kv_revision(token.value())});
    if (workers_changed)
    {
        change.expect.push_back({std::string(workers_key), workers_revision});
        change.puts.push_back({std::string(workers_key),
                               encode(std::vector<worker_id>(workers_to_store.begin(),
                                                             workers_to_store.end())),
                               lease_id()});
    }
    if (agents_changed)
    {
        change.expect.push_back({std::string(agents_key), agents_revision});
        change.puts.push_back(
            {std::string(agents_key),
             encode(agents_record{former_agents_known,
                                  {agents_to_store.begin(), agents_to_store.end()},
                                  calls_to_store}),
             lease_id()});
    }
    if (queues_changed)
    {
        change.expect.push_back({std::string(queues_key), queues_revision});
        change.puts.push_back(
            {std::string(queues_key), encode(cell.queues()), lease_id()});
    }
    if (instances_changed)
    {
        change.expect.push_back({std::string(instances_key), instances_revision});
        change.puts.push_back(
            {std::string(instances_key), encode(instances_to_store()), lease_id()});
    }
    written_records written;
    if (std::exchange(workers_changed, false))
        written.workers = workers_to_store;
    if (std::exchange(agents_changed, false))
        written.agents = agents_to_store;
    written.queues = std::exchange(queues_changed, false);
    written.instances = std::exchange(instances_changed, false);
    writing_records = true;
    parts.store.commit(std::move(change),
                       [weak = weak_from_this(),
                        written = std::move(written)](const result<store_commit>& answer)
                       {
                           const std::shared_ptr<implementation> self = weak.lock();
                           if (self)
                               self->handle_records_commit(written, answer);
                       });
}

void owner::implementation::handle_records_conflict(
    const std::vector<store_item>& current)
{
    for (const store_item& item : current)
    {
        if (item.key == workers_key)
            workers_revision = item.revision;
        else if (item.key == agents_key)
            agents_revision = item.revision;
        else if (item.key == queues_key)
            queues_revision = item.revision;
        else if (item.key == instances_key)
            instances_revision = item.revision;
        else
            handle_claim(item);
    }
}

void owner::implementation::handle_records_commit(const written_records& written,
                                                  const result<store_commit>& answer)
{
    writing_records = false;
    if (!answer || !answer.value().committed)
    {
        workers_changed = workers_changed || written.workers.has_value();
        agents_changed = agents_changed || written.agents.has_value();
        queues_changed = queues_changed || written.queues;
        instances_changed = instances_changed || written.instances;
        if (answer)
            handle_records_conflict(answer.value().conflicts);
        parts.log.warning("owner", "records not stored",
                          {{"reason", answer ? "the records or the claim have changed"
                                             : answer.error().message}});
        records_retry_due = true;
        records_timer = parts.loop.after(store_retry,
                                         [this]
                                         {
                                             records_retry_due = false;
                                             write_records();
                                         });
        return;
    }
    if (written.queues)
    {
        queues_revision = answer.value().revision;
        schedule_store();
    }
    if (written.instances)
        instances_revision = answer.value().revision;
    if (!written.workers && !written.agents)
        return;
    // What was added during the write is included in the next one.
    if (written.workers)
    {
        workers_revision = answer.value().revision;
        stored_workers.clear();
        std::ranges::set_intersection(
            *written.workers, workers_to_store,
            std::inserter(stored_workers, stored_workers.end()));
    }
    if (written.agents)
    {
        agents_revision = answer.value().revision;
        stored_agents.clear();
        std::ranges::set_intersection(*written.agents, agents_to_store,
                                      std::inserter(stored_agents, stored_agents.end()));
    }
    allow_workers();
    assign_workers();
    schedule_store();
    schedule_decision();
}

} // namespace hawthornbeam::cell
