#include "test/standins/fake_kv.hpp"

#include <utility>

namespace hawthornbeam::standins
{

namespace
{

using action = std::function<void()>;

error lost_answer_error()
{
    return make_error(error_code::outcome_unknown, "the answer was lost");
}

} // namespace

class fake_kv_service::implementation
    : public std::enable_shared_from_this<fake_kv_service::implementation>
{
public:
    implementation(event_loop& event_loop, std::shared_ptr<fake_kv_store> shared)
        : loop(event_loop), store(std::move(shared))
    {
    }

    bool is_down() const { return store->is_down || faults.is_cut; }

    void run_after(duration delay, action run)
    {
        const std::uint64_t id = next_timer++;
        timers.emplace(id, loop.after(delay,
                                      [this, id, run = std::move(run)]
                                      {
                                          const action due = run;
                                          timers.erase(id);
                                          due();
                                      }));
    }

    /// Runs \p effect after half of the latency and passes its result to \p done after
    /// the other half.
    template <class T>
    void call(kv_cause cause, std::function<result<T>()> effect, callback<T> done)
    {
        ++calls[cause];
        const bool holds = faults.holds_requests;
        const action run = [this, effect = std::move(effect), done = std::move(done)]
        {
            if (is_down())
                return answer<T>(make_error(error_code::unavailable, "down"), done);
            answer<T>(effect(), done);
        };
        if (holds)
            held.push_back(run);
        else
            run_after(faults.latency / 2, run);
    }

    template <class T>
    void answer(result<T> value, const callback<T>& done)
    {
        const action deliver = [value = std::move(value), done] { done(value); };
        if (faults.holds_answers)
            held.push_back(deliver);
        else
            run_after(faults.latency / 2, deliver);
    }

    template <class T>
    result<T> change(const std::function<result<T>()>& effect)
    {
        if (faults.lost_writes > 0)
        {
            --faults.lost_writes;
            return lost_answer_error();
        }
        if (faults.delayed_writes > 0)
        {
            --faults.delayed_writes;
            held.push_back(
                [this, effect]
                {
                    if (effect())
                        notify();
                });
            return lost_answer_error();
        }
        const result<T> changed = effect();
        if (changed)
            notify();
        if (faults.lost_answers > 0)
        {
            --faults.lost_answers;
            return lost_answer_error();
        }
        return changed;
    }

    void notify()
    {
        const std::map<std::uint64_t, action> waiting = std::exchange(store->watches, {});
        for (const std::pair<const std::uint64_t, action>& watch : waiting)
            watch.second();
    }

    void watch(const std::string& prefix, kv_revision after, boot_time end,
               const callback<kv_changes>& done)
    {
        if (is_down())
            return answer<kv_changes>(make_error(error_code::unavailable, "down"), done);
        const kv_changes found = store->state.changes(prefix, after);
        const boot_time now = loop.clock().now();
        if (!found.changed.empty() || found.skipped || now >= end)
            return answer<kv_changes>(found, done);
        const std::uint64_t id = store->next_watch++;
        const std::weak_ptr<implementation> self = weak_from_this();
        const action retry_watch = [self, id, prefix, after, end, done]
        {
            const std::shared_ptr<implementation> client = self.lock();
            if (!client)
                return;
            client->store->watches.erase(id);
            client->watch_timers.erase(id);
            client->run_after(duration::zero(),
                              [client = client.get(), prefix, after, end, done]
                              { client->watch(prefix, after, end, done); });
        };
        store->watches.emplace(id, retry_watch);
        watch_timers.emplace(id, loop.after(end - now,
                                            [retry_watch]
                                            {
                                                const action run = retry_watch;
                                                run();
                                            }));
    }

    event_loop& loop;
    std::shared_ptr<fake_kv_store> store;
    fake_kv_faults faults;
    std::map<kv_cause, std::uint64_t> calls;
    std::uint64_t bytes_written = 0;
    std::vector<action> held;
    std::uint64_t next_timer = 0;
    std::map<std::uint64_t, timer_handle> timers;
    std::map<std::uint64_t, timer_handle> watch_timers;
};

fake_kv_service::fake_kv_service(event_loop& loop, std::shared_ptr<fake_kv_store> store)
    : implementation_(std::make_shared<implementation>(loop, std::move(store)))
{
}

fake_kv_service::~fake_kv_service() = default;

void fake_kv_service::read(kv_cause cause, const std::string& key,
                           callback<std::optional<kv_entry>> done)
{
    implementation_->call<std::optional<kv_entry>>(
        cause,
        [state = &store().state, key]() -> result<std::optional<kv_entry>>
        { return state->read(key); },
        std::move(done));
}

void fake_kv_service::list(kv_cause cause, const std::string& prefix,
                           callback<std::vector<kv_entry>> done)
{
    implementation_->call<std::vector<kv_entry>>(
        cause,
        [state = &store().state, prefix]() -> result<std::vector<kv_entry>>
        { return state->list(prefix); },
        std::move(done));
}

void fake_kv_service::write(kv_cause cause, const std::string& key, std::string value,
                            kv_revision expected, callback<kv_revision> done)
{
    implementation* const client = implementation_.get();
    client->bytes_written += value.size();
    client->call<kv_revision>(
        cause,
        [client, key, value = std::move(value), expected]
        {
            return client->change<kv_revision>(
                [client, key, value, expected]
                { return client->store->state.write(key, value, expected); });
        },
        std::move(done));
}

void fake_kv_service::remove(kv_cause cause, const std::string& key, kv_revision expected,
                             callback<bool> done)
{
    implementation* const client = implementation_.get();
    client->call<bool>(
        cause,
        [client, key, expected]() -> result<bool>
        {
            if (client->faults.rejected_removes > 0)
            {
                --client->faults.rejected_removes;
                return make_error(error_code::unavailable, "rejected");
            }
            return client->change<bool>(
                [client, key, expected]
                { return client->store->state.remove(key, expected); });
        },
        std::move(done));
}

void fake_kv_service::watch(kv_cause cause, const std::string& prefix, kv_revision after,
                            duration wait, callback<kv_changes> done)
{
    implementation* const client = implementation_.get();
    ++client->calls[cause];
    if (client->faults.broken_watches > 0)
    {
        --client->faults.broken_watches;
        return client->answer<kv_changes>(
            make_error(error_code::unavailable, "the watch broke"), done);
    }
    if (client->faults.skipped_watches > 0)
    {
        --client->faults.skipped_watches;
        kv_changes skipped;
        skipped.seen = client->store->state.newest();
        skipped.skipped = true;
        return client->answer<kv_changes>(skipped, done);
    }
    client->watch(prefix, after, client->loop.clock().now() + wait, done);
}

fake_kv_faults& fake_kv_service::faults()
{
    return implementation_->faults;
}

fake_kv_store& fake_kv_service::store()
{
    return *implementation_->store;
}

void fake_kv_service::release_held()
{
    const std::vector<action> held = std::exchange(implementation_->held, {});
    implementation_->faults.holds_requests = false;
    implementation_->faults.holds_answers = false;
    for (const action& run : held)
        run();
}

std::uint64_t fake_kv_service::calls(kv_cause cause) const
{
    const auto found = implementation_->calls.find(cause);
    return found == implementation_->calls.end() ? 0 : found->second;
}

std::uint64_t fake_kv_service::total_calls() const
{
    std::uint64_t total = 0;
    for (const std::pair<const kv_cause, std::uint64_t>& counted : implementation_->calls)
        total += counted.second;
    return total;
}

std::uint64_t fake_kv_service::bytes_written() const
{
    return implementation_->bytes_written;
}

} // namespace hawthornbeam::standins
