#include "memory_store.hpp"

namespace hawthornbeam::cell
{

namespace
{
constexpr duration call_duration = std::chrono::milliseconds(4);
constexpr duration lost_answer_time = std::chrono::milliseconds(1000);
/// A delayed write is executed between these times after its call.
constexpr duration min_write_delay = std::chrono::milliseconds(1000);
constexpr duration max_write_delay = std::chrono::milliseconds(6000);
constexpr duration write_delay_step = std::chrono::milliseconds(1700);
constexpr std::size_t writes_per_late_write = 3;
constexpr duration watch_check_period = std::chrono::milliseconds(10);
/// Time for which changes stay available; `retention-s` in the users' documentation.
constexpr duration retention = std::chrono::seconds(20);
/// Time-out for one page of a listing.
constexpr duration page_timeout = std::chrono::milliseconds(1200);
} // namespace

void memory_store_state::expire()
{
    const boot_time now = loop.clock().now();
    for (auto lease = leases.begin(); lease != leases.end();)
    {
        if (lease->second.first > now)
        {
            ++lease;
            continue;
        }
        std::vector<std::string> expired_keys;
        for (const auto& [key, lease_of_key] : key_leases)
            if (lease_of_key == lease->first)
                expired_keys.push_back(key);
        for (const std::string& key : expired_keys)
            remove(key);
        lease = leases.erase(lease);
    }
}

void memory_store_state::put(const std::string& key, std::string value, lease_id lease)
{
    items[key] = store_item{key, std::move(value), kv_revision(revision), lease};
    key_leases[key] = lease;
    history.push_back({items[key], false});
    change_times.push_back(loop.clock().now());
}

void memory_store_state::remove(const std::string& key)
{
    if (items.erase(key) == 0)
        return;
    key_leases.erase(key);
    history.push_back({store_item{key, "", kv_revision(++revision)}, true});
    change_times.push_back(loop.clock().now());
}

void memory_store_state::drop_old_history()
{
    const boot_time oldest = loop.clock().now() - retention;
    for (; expired_changes < history.size() && change_times[expired_changes] < oldest;
         ++expired_changes)
        compacted_revision =
            std::max(compacted_revision, history[expired_changes].item.revision.value());
}

void memory_store::schedule(duration delay, std::function<void()> action)
{
    const std::uint64_t number = ++last_timer_;
    timers_[number] = loop_.after(delay,
                                  [this, number, action = std::move(action)]
                                  {
                                      action();
                                      timers_.erase(number);
                                  });
}

template <class T>
void memory_store::execute(const callback<T>& done, std::function<T()> operation)
{
    const store_condition condition_at_call = condition;
    schedule(condition_at_call == store_condition::losing_answers ? lost_answer_time
                                                                  : call_duration,
             [this, done, operation, condition_at_call]
             {
                 state_.expire();
                 if (condition_at_call == store_condition::refusing)
                     return done(make_error(error_code::unavailable, "refused"));
                 T outcome = operation();
                 if (condition_at_call == store_condition::losing_answers)
                     return done(make_error(error_code::outcome_unknown, "answer lost"));
                 done(std::move(outcome));
             });
}

void memory_store::read(const std::string& key, callback<std::optional<store_item>> done)
{
    execute<std::optional<store_item>>(
        done,
        [this, key]
        {
            const auto found = state_.items.find(key);
            return found == state_.items.end() ? std::optional<store_item>()
                                               : std::optional<store_item>(found->second);
        });
}

void memory_store::list(const std::string& prefix, callback<store_listing> done)
{
    ++state_.lists;
    list_page(prefix, "", std::make_shared<store_listing>(), std::move(done));
}

void memory_store::list_page(const std::string& prefix, const std::string& after,
                             std::shared_ptr<store_listing> listed,
                             callback<store_listing> done)
{
    if (page_time > page_timeout)
        return schedule(page_timeout, [done]
                        { done(make_error(error_code::outcome_unknown, "no answer")); });
    const std::function<bool()> read_page = [this, prefix, after, listed]
    {
        if (listed->at == kv_revision())
            listed->at = kv_revision(state_.revision);
        std::size_t items_read = 0;
        for (auto item = after.empty() ? state_.items.lower_bound(prefix)
                                       : state_.items.upper_bound(after);
             item != state_.items.end() && item->first.starts_with(prefix); ++item)
        {
            if (items_read++ == state_.page_items)
                return false;
            listed->items.push_back(item->second);
        }
        return true;
    };
    const callback<bool> handle_page =
        [this, prefix, listed, done = std::move(done)](const result<bool>& is_last)
    {
        if (!is_last)
            return done(is_last.error());
        const std::function<void()> deliver_page =
            [this, prefix, listed, done, last = is_last.value()]
        {
            if (last)
                return done(*listed);
            list_page(prefix, listed->items.back().key, listed, done);
        };
        schedule(page_time - call_duration, deliver_page);
    };
    execute<bool>(handle_page, read_page);
}

void memory_store::watch(const std::string& prefix, kv_revision after, watch_times times,
                         callback<store_changes> done)
{
    check_watch(prefix, after, state_.loop.clock().now() + times.wait, times.transfer,
                false, done);
}

void memory_store::check_watch(const std::string& prefix, kv_revision after,
                               boot_time until, duration transfer_limit, bool waiting,
                               const callback<store_changes>& done)
{
    schedule(
        watch_check_period,
        [this, prefix, after, until, transfer_limit, waiting, done]
        {
            if (condition != store_condition::well &&
                condition != store_condition::cutting_watches &&
                condition != store_condition::deaf_watches)
                return done(make_error(error_code::unavailable, "refused"));
            state_.expire();
            state_.drop_old_history();
            store_changes changes;
            changes.history_lost = after.value() < state_.compacted_revision;
            if (changes.history_lost)
                return done(std::move(changes));
            for (const store_event& event : state_.history)
                if (event.item.revision > after && event.item.key.starts_with(prefix))
                    changes.events.push_back(event);
            changes.at = kv_revision(state_.revision);
            if (condition == store_condition::deaf_watches ||
                (waiting && condition == store_condition::cutting_watches))
                changes.events.clear();
            if (changes.events.empty() && state_.loop.clock().now() < until)
                return check_watch(prefix, after, until, transfer_limit, true, done);
            const duration transfer = page_time * changes.events.size() /
                                      static_cast<std::int64_t>(state_.page_items);
            const duration time_left = until + transfer_limit - state_.loop.clock().now();
            if (transfer > time_left)
                return schedule(time_left,
                                [done] {
                                    done(make_error(error_code::outcome_unknown,
                                                    "no answer in time"));
                                });
            if (transfer <= call_duration)
                return done(std::move(changes));
            schedule(transfer, [done, changes] { done(changes); });
        });
}

void memory_store::commit_late(const store_transaction& change)
{
    ++state_.commits;
    const std::uint64_t number = ++state_.last_late_commit;
    const duration delay = min_write_delay + write_delay_step * static_cast<int>(number) %
                                                 (max_write_delay - min_write_delay);
    state_.late_commits[number] = state_.loop.after(delay,
                                                    [&state = state_, number, change]
                                                    {
                                                        const store_transaction due =
                                                            change;
                                                        state.late_commits.erase(number);
                                                        state.expire();
                                                        apply(state, due);
                                                    });
}

store_commit memory_store::apply(memory_store_state& state,
                                 const store_transaction& change)
{
    ++state.commits;
    store_commit outcome;
    if (change.size() > max_transaction_entries)
        return outcome;
    for (const store_expectation& each : change.expect)
    {
        const auto found = state.items.find(each.key);
        const kv_revision current_revision =
            found == state.items.end() ? kv_revision() : found->second.revision;
        if (current_revision == each.revision)
            continue;
        for (const store_expectation& expected : change.expect)
        {
            const auto item = state.items.find(expected.key);
            outcome.conflicts.push_back(item == state.items.end()
                                            ? store_item{expected.key, "", kv_revision()}
                                            : item->second);
        }
        return outcome;
    }
    for (const store_put& each : change.puts)
        if (each.lease != lease_id() && !state.leases.contains(each.lease))
        {
            outcome.lease_ended = true;
            return outcome;
        }
    ++state.revision;
    for (const store_put& each : change.puts)
        state.put(each.key, each.value, each.lease);
    for (const std::string& key : change.removals)
        state.remove(key);
    outcome.committed = true;
    outcome.revision = kv_revision(state.revision);
    return outcome;
}

void memory_store::commit(store_transaction change, callback<store_commit> done)
{
    if (condition == store_condition::delaying_writes &&
        state_.commits % writes_per_late_write == 0)
    {
        commit_late(change);
        return schedule(lost_answer_time, [done = std::move(done)]
                        { done(make_error(error_code::outcome_unknown, "no answer")); });
    }
    execute<store_commit>(done, [this, change = std::move(change)]
                          { return apply(state_, change); });
}

void memory_store::grant(duration ttl, callback<lease_id> done)
{
    execute<lease_id>(done,
                      [this, ttl]
                      {
                          const lease_id granted(++state_.last_lease);
                          state_.leases[granted] = {state_.loop.clock().now() + ttl, ttl};
                          return granted;
                      });
}

void memory_store::renew(lease_id lease, callback<bool> done)
{
    execute<bool>(done,
                  [this, lease]
                  {
                      const auto found = state_.leases.find(lease);
                      if (found == state_.leases.end())
                          return false;
                      found->second.first =
                          state_.loop.clock().now() + found->second.second;
                      return true;
                  });
}

} // namespace hawthornbeam::cell
