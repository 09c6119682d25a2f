/// \file
/// Polls and watches the operators' table in the key-value service and starts edits.
#include "hawthornbeam/table/table_store.hpp"

#include "table_edit_run.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace hawthornbeam
{

namespace
{

/// Relative jitter of the poll period and the back-off. It prevents instances that were
/// affected by the same outage from all sending their next call at the same time.
constexpr double poll_jitter = 0.5;
/// A watch that returns without a change in less than this time is repeated only after a
/// pause.
constexpr duration min_watch_time = std::chrono::seconds(1);

/// Returns a number that is unique among the edits of this process. Without it, two
/// stores with the same seed could create the same change id within one millisecond and
/// mistake each other's edits for their own.
std::uint64_t next_edit_number()
{
    static std::uint64_t number = 0;
    return ++number;
}

/// Returns true if \p failure was reported by the service, as opposed to a call without a
/// response.
bool is_service_error(const error& failure)
{
    return failure.code != error_code::unavailable &&
           failure.code != error_code::outcome_unknown;
}

} // namespace

class table_store::implementation
    : public std::enable_shared_from_this<table_store::implementation>
{
public:
    implementation(kv_service& service, event_loop& event_loop, const logger& log,
                   options settings)
        : kv(service), loop(event_loop), log_(log), settings_(std::move(settings)),
          random(settings_.seed), poll_back_off(settings_.min_back_off),
          watch_back_off(settings_.min_back_off)
    {
    }

    /// Creates the context shared with edits. It refers to the store by weak pointers,
    /// because an edit may outlive it.
    void make_context()
    {
        const std::weak_ptr<implementation> self = weak_from_this();
        context = std::shared_ptr<edit_context>(new edit_context{
            kv, loop, log_, settings_, random_source(random.next()),
            [self](const operators_table& table)
            {
                if (const std::shared_ptr<implementation> store = self.lock())
                    store->install(table);
            },
            [self](bool success)
            {
                if (const std::shared_ptr<implementation> store = self.lock(); success)
                    store->record_answer();
            },
            table_version()});
    }

    void record_answer() { last_answer = loop.clock().now(); }

    bool install(const operators_table& table)
    {
        if (table.version <= current.version)
            return false;
        current = table;
        log_.info("table", "table installed",
                  {{"version", table.version.value()},
                   {"rows", static_cast<std::uint64_t>(table.rows.size())}});
        const std::vector<std::function<void(const operators_table&)>> called_handlers =
            handlers;
        for (const std::function<void(const operators_table&)>& handler : called_handlers)
            handler(current);
        return true;
    }

    void install_stored(const std::optional<kv_entry>& entry)
    {
        const result<stored_table> stored = decode_stored_table(entry);
        if (stored)
        {
            install(stored.value().table);
            return;
        }
        if (stored.error().message != last_logged_fault)
            log_.error("table", "the stored table is damaged and was not installed",
                       {{"reason", stored.error().message}});
        last_logged_fault = stored.error().message;
    }

    void poll()
    {
        kv.read(kv_cause::table, table_key,
                [self = weak_from_this()](result<std::optional<kv_entry>> answer)
                {
                    if (const std::shared_ptr<implementation> store = self.lock())
                        store->handle_poll(answer);
                });
    }

    void handle_poll(const result<std::optional<kv_entry>>& answer)
    {
        if (answer)
        {
            record_answer();
            install_stored(answer.value());
            poll_back_off = settings_.min_back_off;
            return schedule_poll(settings_.poll_period);
        }
        schedule_poll(std::min(poll_back_off, settings_.poll_period));
        poll_back_off = std::min(poll_back_off * 2, settings_.max_back_off);
    }

    void schedule_poll(duration delay)
    {
        poll_timer =
            loop.after(random.jitter(delay, poll_jitter),
                       [self = weak_from_this()]
                       {
                           if (const std::shared_ptr<implementation> store = self.lock())
                               store->poll();
                       });
    }

    void watch()
    {
        if (!has_read_table)
            return read_before_watch(kv_revision());
        const std::uint64_t generation = watch_generation;
        watch_started = loop.clock().now();
        kv.watch(kv_cause::table, table_key, watched_revision, settings_.watch_wait,
                 [self = weak_from_this(), generation](result<kv_changes> answer)
                 {
                     const std::shared_ptr<implementation> store = self.lock();
                     if (store && store->watch_generation == generation)
                         store->handle_watch(answer);
                 });
    }

    void handle_watch(const result<kv_changes>& answer)
    {
        if (!answer)
        {
            if (is_service_error(answer.error()))
                record_answer();
            return handle_watch_failure();
        }
        record_answer();
        const kv_changes& changes = answer.value();
        if (changes.skipped)
            return read_before_watch(changes.seen);
        watch_back_off = settings_.min_back_off;
        const bool is_idle = changes.changed.empty() &&
                             loop.clock().now() - watch_started < min_watch_time;
        watched_revision = changes.seen;
        for (const kv_entry& entry : changes.changed)
            if (entry.key == table_key) // The watched prefix also matches history keys.
                install_stored(entry);
        schedule_watch(is_idle ? random.jitter(min_watch_time, poll_jitter)
                               : duration::zero());
    }

    void handle_watch_failure()
    {
        schedule_watch(random.jitter(watch_back_off, poll_jitter));
        watch_back_off = std::min(watch_back_off * 2, settings_.max_back_off);
    }

    /// Reads the table and then watches from its revision or from \p seen, whichever is
    /// newer. A watch from revision zero would return the whole history.
    void read_before_watch(kv_revision seen)
    {
        kv.read(kv_cause::table, table_key,
                [self = weak_from_this(), generation = watch_generation,
                 seen](const result<std::optional<kv_entry>>& answer)
                {
                    const std::shared_ptr<implementation> store = self.lock();
                    if (!store || store->watch_generation != generation)
                        return;
                    if (!answer)
                        return store->handle_watch_failure();
                    store->record_answer();
                    store->install_stored(answer.value());
                    store->watched_revision = seen;
                    if (answer.value() && answer.value()->revision > seen)
                        store->watched_revision = answer.value()->revision;
                    store->has_read_table = true;
                    store->watch();
                });
    }

    void schedule_watch(duration delay)
    {
        watch_timer =
            loop.after(delay,
                       [self = weak_from_this()]
                       {
                           if (const std::shared_ptr<implementation> store = self.lock())
                               store->watch();
                       });
    }

    void set_watching(bool watching)
    {
        if (watching == is_watching)
            return;
        is_watching = watching;
        ++watch_generation; // Causes the response to an open watch to be ignored.
        watch_timer.reset();
        has_read_table = false;
        if (watching)
            watch();
    }

    change_id next_change_id()
    {
        return change_id(fmt::format("{}:{}:{:x}:{}", settings_.self.value(),
                                     loop.clock().wall_now().time_since_epoch().count(),
                                     settings_.seed, next_edit_number()));
    }

    /// Appends up to \p max_entries history entries to \p entries, from \p version down
    /// to older versions.
    void read_history(table_version version, std::size_t max_entries,
                      std::vector<operators_table> entries,
                      std::function<void(result<std::vector<operators_table>>)> done)
    {
        if (max_entries == 0 || version == table_version())
            return done(std::move(entries));
        kv.read(
            kv_cause::table, history_key(version),
            [self = weak_from_this(), version, max_entries, entries = std::move(entries),
             done = std::move(done)](result<std::optional<kv_entry>> answer) mutable
            {
                const std::shared_ptr<implementation> store = self.lock();
                if (!store)
                    return;
                if (!answer)
                    return done(answer.error());
                const result<stored_table> entry = decode_stored_table(answer.value());
                if (!entry)
                    return done(entry.error());
                // The entry of the current version may not have been written yet.
                if (answer.value())
                    entries.push_back(entry.value().table);
                else if (version == store->current.version)
                    entries.push_back(store->current);
                else
                    return done(std::move(entries));
                store->read_history(table_version(version.value() - 1), max_entries - 1,
                                    std::move(entries), std::move(done));
            });
    }

    kv_service& kv;
    event_loop& loop;
    const logger& log_;
    options settings_;
    random_source random;
    std::shared_ptr<edit_context> context;
    operators_table current;
    std::vector<std::function<void(const operators_table&)>> handlers;
    boot_time last_answer = boot_time::min();
    std::string last_logged_fault;
    duration poll_back_off;
    duration watch_back_off;
    timer_handle poll_timer;
    timer_handle watch_timer;
    bool is_watching = false;
    std::uint64_t watch_generation = 0;
    bool has_read_table = false; ///< The table has been read since the watch was enabled.
    kv_revision watched_revision;
    boot_time watch_started{};
};

table_store::table_store(kv_service& kv, event_loop& loop, const logger& log,
                         options settings)
    : implementation_(
          std::make_shared<implementation>(kv, loop, log, std::move(settings)))
{
    implementation_->make_context();
}

table_store::~table_store() = default;

void table_store::start()
{
    implementation_->poll();
}

void table_store::set_watching(bool watching)
{
    implementation_->set_watching(watching);
}

bool table_store::install(const operators_table& table)
{
    return implementation_->install(table);
}

void table_store::replace(std::vector<table_row> rows, table_version if_match,
                          std::string author, std::function<void(edit_outcome)> done)
{
    findings faults = check_rows(rows);
    if (!faults.empty())
        return implementation_->loop.post(
            [done = std::move(done), faults = std::move(faults),
             current = implementation_->current] {
                done(edit_outcome{edit_outcome::kind::faulty, current, faults, ""});
            });
    operators_table new_table;
    new_table.change = implementation_->next_change_id();
    new_table.author = std::move(author);
    new_table.accepted = implementation_->loop.clock().wall_now();
    new_table.rows = std::move(rows);
    run_edit(implementation_->context, std::move(new_table), if_match, std::move(done));
}

void table_store::history(std::size_t max_entries,
                          std::function<void(result<std::vector<operators_table>>)> done)
{
    const std::size_t bounded =
        std::min<std::size_t>(max_entries, implementation_->settings_.history_length);
    implementation_->read_history(implementation_->current.version, bounded, {},
                                  std::move(done));
}

const operators_table& table_store::current() const
{
    return implementation_->current;
}

void table_store::on_installed(std::function<void(const operators_table&)> handler)
{
    implementation_->handlers.push_back(std::move(handler));
}

boot_time table_store::last_answer() const
{
    return implementation_->last_answer;
}

} // namespace hawthornbeam
