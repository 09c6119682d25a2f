/// \file
/// Counts failed calls in a row and records when the store answered last.
#include "hawthornbeam/cell/observed_store.hpp"

namespace hawthornbeam::cell
{

namespace
{

/// The store counts as failing after this many failed calls in a row and this time
/// without an answer. After a single lost answer the next answer arrives sooner, since an
/// instance repeats a failed watch after 150 ms.
constexpr std::uint32_t min_failures_in_a_row = 2;
constexpr duration unanswered_limit = std::chrono::milliseconds(400);

} // namespace

struct observed_store::answer_record
{
    boot_time answered_at{};
    std::uint32_t failures = 0; ///< Failed calls since the last answer.
};

observed_store::observed_store(event_loop& loop, cell_store& store)
    : loop_(loop), store_(store), record_(std::make_shared<answer_record>())
{
    record_->answered_at = loop.clock().now();
}

observed_store::~observed_store() = default;

template <class T>
cell_store::callback<T> observed_store::recording(callback<T> done)
{
    return [&clock = loop_.clock(), record = record_,
            done = std::move(done)](result<T> answer)
    {
        if (answer)
        {
            record->answered_at = clock.now();
            record->failures = 0;
        }
        else
            ++record->failures;
        done(std::move(answer));
    };
}

void observed_store::read(const std::string& key,
                          callback<std::optional<store_item>> done)
{
    store_.read(key, recording(std::move(done)));
}

void observed_store::list(const std::string& prefix, callback<store_listing> done)
{
    store_.list(prefix, recording(std::move(done)));
}

void observed_store::watch(const std::string& prefix, kv_revision after,
                           watch_times times, callback<store_changes> done)
{
    store_.watch(prefix, after, times, recording(std::move(done)));
}

void observed_store::commit(store_transaction change, callback<store_commit> done)
{
    store_.commit(std::move(change), recording(std::move(done)));
}

void observed_store::grant(duration ttl, callback<lease_id> done)
{
    store_.grant(ttl, recording(std::move(done)));
}

void observed_store::renew(lease_id lease, callback<bool> done)
{
    store_.renew(lease, recording(std::move(done)));
}

duration observed_store::silence() const
{
    return loop_.clock().now() - record_->answered_at;
}

bool observed_store::is_failing() const
{
    return record_->failures >= min_failures_in_a_row && silence() >= unanswered_limit;
}

} // namespace hawthornbeam::cell
