/// \file
/// In-process key-value service with faults. Clients of one store see each other's
/// writes; each client has its own faults.
#ifndef HAWTHORNBEAM_TEST_STANDINS_FAKE_KV_HPP
#define HAWTHORNBEAM_TEST_STANDINS_FAKE_KV_HPP

#include "hawthornbeam/support/event_loop.hpp"
#include "test/standins/kv_state.hpp"

#include <cstdint>
#include <memory>

namespace hawthornbeam::standins
{

/// What several clients share.
struct fake_kv_store
{
    kv_state state;
    bool is_down = false; ///< All clients get unavailable.
    /// Watches that wait for a change, in order of arrival.
    std::map<std::uint64_t, std::function<void()>> watches;
    std::uint64_t next_watch = 0;
};

/// Faults of one client.
struct fake_kv_faults
{
    bool is_cut = false;         ///< This client gets unavailable.
    duration latency{};          ///< Of each call; half before its effect, half after it.
    int lost_answers = 0;        ///< Next writes that take effect with a lost answer.
    int lost_writes = 0;         ///< Next writes lost before their effect.
    int delayed_writes = 0;      ///< Next writes: answer lost, effect in release_held().
    int rejected_removes = 0;    ///< Next deletes answered with unavailable.
    int broken_watches = 0;      ///< Next watches that fail at once.
    int skipped_watches = 0;     ///< Next watches answered with `skipped`.
    bool holds_requests = false; ///< Calls take effect only in release_held().
    bool holds_answers = false;  ///< Calls take effect; answers wait for release_held().
};

/// One client of the store. Destroying it drops its callbacks.
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
    /// Lets held requests take effect and held answers arrive, in order.
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
