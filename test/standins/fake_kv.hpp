/// \file
/// In-process key-value service with fault injection. Clients of one store see each
/// other's writes; faults are set per client.
#ifndef HAWTHORNBEAM_TEST_STANDINS_FAKE_KV_HPP
#define HAWTHORNBEAM_TEST_STANDINS_FAKE_KV_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "test/standins/kv_state.hpp"

#include <cstdint>
#include <memory>

namespace hawthornbeam::standins
{

/// Stored data and pending watches, shared by several clients.
struct fake_kv_store
{
    kv_state state;
    bool is_down = false; ///< All calls of all clients fail as unavailable.
    /// Pending watches by id, in order of arrival.
    std::map<std::uint64_t, std::function<void()>> watches;
    std::uint64_t next_watch = 0;
};

/// Faults injected into the calls of one client. Counters apply to that many of the
/// next calls.
struct fake_kv_faults
{
    bool is_cut = false;         ///< Calls of this client fail as unavailable.
    duration latency{};          ///< Round trip; half before the effect, half after.
    int lost_answers = 0;        ///< Writes that take effect without an answer.
    int lost_writes = 0;         ///< Writes that are dropped without effect.
    int delayed_writes = 0;      ///< Unanswered writes; applied by release_held().
    int rejected_removes = 0;    ///< Deletes that fail as unavailable.
    int broken_watches = 0;      ///< Watches that fail at once.
    int skipped_watches = 0;     ///< Watches answered with `skipped`.
    bool holds_requests = false; ///< Calls are queued until release_held().
    bool holds_answers = false;  ///< Answers are queued until release_held().
};

/// One client of the store. Its destructor drops pending callbacks without calling them.
class fake_kv_service final : public kv_service
{
public:
    fake_kv_service(event_loop& loop, std::shared_ptr<fake_kv_store> store);
    ~fake_kv_service() override;

    void read(kv_cause cause, const std::string& key,
              callback<std::optional<kv_entry>> done) override;
    void list(kv_cause cause, const std::string& prefix,
              callback<std::vector<kv_entry>> done) override;
    void write(kv_cause cause, const std::string& key, std::string value,
               kv_revision expected, callback<kv_revision> done) override;
    void remove(kv_cause cause, const std::string& key, kv_revision expected,
                callback<bool> done) override;
    void watch(kv_cause cause, const std::string& prefix, kv_revision after,
               duration wait, callback<kv_changes> done) override;

    fake_kv_faults& faults();
    fake_kv_store& store();
    /// Runs the queued requests and delivers the queued answers, in order.
    void release_held();
    std::uint64_t calls(kv_cause cause) const;
    std::uint64_t total_calls() const;
    std::uint64_t bytes_written() const;

private:
    class implementation;
    std::shared_ptr<implementation> implementation_;
};

} // namespace hawthornbeam::standins

#endif
