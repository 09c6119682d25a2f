/// \file
/// Compares three ways to start gangs that span several slice owners on the same
/// contended cases: ordered acquisition, all-or-nothing with a time limit and seeded
/// back-off, and probe-based deadlock detection (Chandy, Misra and Haas, 1983).
#include "hawthornbeam/support/random_source.hpp"

#include <algorithm>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <queue>
#include <set>
#include <vector>

namespace hawthornbeam::policy
{
namespace
{

constexpr double latency_seconds = 0.0014; // One way, between failure domains.
constexpr double run_seconds = 0.5;
constexpr double think_seconds = 0.2;
constexpr double simulated_seconds = 30;
constexpr std::size_t owners = 8;
constexpr int slots_per_owner = 8;
constexpr double probe_delay_seconds = 0.05;
constexpr double back_off_base_seconds = 0.02;
constexpr double max_back_off_seconds = 1.0;

enum class protocol
{
    ordered,
    time_limit,
    probes
};

struct figures
{
    std::uint64_t messages = 0;
    std::uint64_t starts = 0;
    std::uint64_t aborts = 0;
    double wasted_slot_seconds = 0; ///< Granted to a gang that is not running.
};

/// A discrete-event simulation of slice owners and of coordinators, one for each gang.
class simulation
{
public:
    simulation(protocol kind, std::size_t gangs, double time_limit)
        : kind_(kind), time_limit_(time_limit), gangs_(gangs)
    {
        for (std::size_t gang = 0; gang < gangs; ++gang)
            after(think_seconds * random_.unit(), [this, gang] { begin(gang); });
    }

    figures run()
    {
        while (!events_.empty() && now_ < simulated_seconds)
        {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.action();
        }
        return figures_;
    }

private:
    struct event
    {
        double at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };
    struct gang_part
    {
        std::size_t owner;
        int slots;
        bool granted = false;
        double granted_at = 0;
    };
    struct gang_state
    {
        std::vector<gang_part> parts;
        /// Number of the attempt; messages of earlier attempts are ignored.
        std::uint64_t round = 0;
        std::size_t next = 0; ///< The part requested last, in ordered acquisition.
        int attempts = 0;
        bool blocked = false;
        std::set<std::pair<std::size_t, std::uint64_t>> seen_probes;
    };
    struct request
    {
        std::size_t gang;
        std::uint64_t round;
        int slots;
    };
    struct owner_state
    {
        int free = slots_per_owner;
        std::vector<request> queue;
        std::vector<request> grants;
    };

    void after(double delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++sequence_, std::move(action)});
    }
    void send(std::function<void()> action)
    {
        ++figures_.messages;
        // The delay is random: requests that reached all owners in the same order would
        // never deadlock.
        after(latency_seconds * (0.5 + random_.unit()), std::move(action));
    }

    void begin(std::size_t gang)
    {
        gang_state& state = gangs_[gang];
        state.parts.clear();
        state.attempts = 0;
        std::set<std::size_t> chosen;
        const std::size_t count = 2 + random_.below(3);
        while (chosen.size() < count)
            chosen.insert(random_.below(owners));
        for (const std::size_t owner : chosen)
            state.parts.push_back({owner, static_cast<int>(1 + random_.below(4))});
        attempt(gang);
    }

    void attempt(std::size_t gang)
    {
        gang_state& state = gangs_[gang];
        ++state.round;
        state.blocked = true;
        state.next = 0;
        state.seen_probes.clear();
        if (kind_ == protocol::ordered)
        {
            request_part(gang, 0);
            return;
        }
        for (std::size_t i = 0; i < state.parts.size(); ++i)
            request_part(gang, i);
        const std::uint64_t round = state.round;
        if (kind_ == protocol::time_limit)
            after(time_limit_,
                  [this, gang, round]
                  {
                      if (is_current(gang, round))
                          abort(gang);
                  });
        else
            after(probe_delay_seconds, [this, gang, round] { probe(gang, round); });
    }

    bool is_current(std::size_t gang, std::uint64_t round) const
    {
        return gangs_[gang].blocked && gangs_[gang].round == round;
    }

    void request_part(std::size_t gang, std::size_t position)
    {
        const gang_part& requested = gangs_[gang].parts[position];
        const request entry{gang, gangs_[gang].round, requested.slots};
        const std::size_t owner = requested.owner;
        send(
            [this, owner, entry]
            {
                owners_[owner].queue.push_back(entry);
                grant(owner);
            });
    }

    /// Grants requests first come, first served, so that no gang starves at an owner.
    void grant(std::size_t owner)
    {
        owner_state& state = owners_[owner];
        while (!state.queue.empty() && state.queue.front().slots <= state.free)
        {
            const request entry = state.queue.front();
            state.queue.erase(state.queue.begin());
            state.free -= entry.slots;
            state.grants.push_back(entry);
            const double at = now_;
            send([this, owner, entry, at] { handle_grant(owner, entry, at); });
        }
    }

    void handle_grant(std::size_t owner, const request& entry, double at)
    {
        gang_state& state = gangs_[entry.gang];
        if (!is_current(entry.gang, entry.round))
            return; // The release of this attempt has been sent.
        for (gang_part& part : state.parts)
        {
            if (part.owner != owner)
                continue;
            part.granted = true;
            part.granted_at = at;
        }
        if (kind_ == protocol::ordered && ++state.next < state.parts.size())
        {
            request_part(entry.gang, state.next);
            return;
        }
        const bool all = std::all_of(state.parts.begin(), state.parts.end(),
                                     [](const gang_part& part) { return part.granted; });
        if (all)
            start(entry.gang);
    }

    void start(std::size_t gang)
    {
        gang_state& state = gangs_[gang];
        state.blocked = false;
        ++figures_.starts;
        for (const gang_part& part : state.parts)
            figures_.wasted_slot_seconds += (now_ - part.granted_at) * part.slots;
        after(run_seconds,
              [this, gang]
              {
                  release(gang);
                  after(think_seconds * 2 * random_.unit(),
                        [this, gang] { begin(gang); });
              });
    }

    void release(std::size_t gang)
    {
        gang_state& state = gangs_[gang];
        const std::uint64_t round = state.round;
        for (gang_part& part : state.parts)
        {
            part.granted = false;
            const std::size_t owner = part.owner;
            send([this, owner, gang, round] { handle_release(owner, gang, round); });
        }
    }

    void handle_release(std::size_t owner, std::size_t gang, std::uint64_t round)
    {
        owner_state& state = owners_[owner];
        const auto is_released = [&](const request& entry)
        { return entry.gang == gang && entry.round == round; };
        std::erase_if(state.queue, is_released);
        for (const request& entry : state.grants)
            state.free += is_released(entry) ? entry.slots : 0;
        std::erase_if(state.grants, is_released);
        grant(owner);
    }

    void abort(std::size_t gang)
    {
        gang_state& state = gangs_[gang];
        ++figures_.aborts;
        for (const gang_part& part : state.parts)
        {
            if (part.granted)
                figures_.wasted_slot_seconds += (now_ - part.granted_at) * part.slots;
        }
        state.blocked = false;
        release(gang);
        const double max_delay =
            std::min(max_back_off_seconds,
                     back_off_base_seconds *
                         static_cast<double>(1 << std::min(state.attempts, 10)));
        ++state.attempts;
        after(max_delay * (0.5 + random_.unit()), [this, gang] { attempt(gang); });
    }

    /// Starts a probe and repeats it while the gang stays blocked.
    void probe(std::size_t gang, std::uint64_t round)
    {
        if (!is_current(gang, round))
            return;
        ++probe_number_;
        send_probe(gang, gang, round, probe_number_, gang);
        after(probe_delay_seconds, [this, gang, round] { probe(gang, round); });
    }

    /// Sends the probe to all owners whose grant \p gang waits for.
    void send_probe(std::size_t gang, std::size_t initiator, std::uint64_t round,
                    std::uint64_t number, std::size_t largest)
    {
        for (const gang_part& part : gangs_[gang].parts)
        {
            if (part.granted)
                continue;
            const std::size_t owner = part.owner;
            const std::uint64_t own_round = gangs_[gang].round;
            send(
                [this, owner, gang, own_round, initiator, round, number, largest] {
                    handle_probe_at_owner(owner, gang, own_round, initiator, round,
                                          number, largest);
                });
        }
    }

    void handle_probe_at_owner(std::size_t owner, std::size_t gang,
                               std::uint64_t own_round, std::size_t initiator,
                               std::uint64_t round, std::uint64_t number,
                               std::size_t largest)
    {
        const owner_state& state = owners_[owner];
        std::vector<std::size_t> next;
        for (const request& entry : state.grants)
            next.push_back(entry.gang);
        bool waits = false;
        for (const request& entry : state.queue)
        {
            waits = entry.gang == gang && entry.round == own_round;
            if (waits)
                break;
            next.push_back(entry.gang);
        }
        if (!waits)
            return;
        for (const std::size_t target : next)
            send([this, target, initiator, round, number, largest]
                 { handle_probe(target, initiator, round, number, largest); });
    }

    void handle_probe(std::size_t gang, std::size_t initiator, std::uint64_t round,
                      std::uint64_t number, std::size_t largest)
    {
        if (gang == initiator)
        {
            // In a cycle, only the gang with the largest number aborts.
            if (is_current(gang, round) && largest == initiator)
                abort(gang);
            return;
        }
        gang_state& state = gangs_[gang];
        if (!state.blocked || !state.seen_probes.insert({initiator, number}).second)
            return;
        send_probe(gang, initiator, round, number, std::max(largest, gang));
    }

    protocol kind_;
    double time_limit_;
    random_source random_{41};
    double now_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t probe_number_ = 0;
    std::priority_queue<event> events_;
    std::vector<gang_state> gangs_;
    std::vector<owner_state> owners_ = std::vector<owner_state>(owners);
    figures figures_;
};

struct protocol_case
{
    const char* name;
    protocol kind;
    double time_limit;
};

constexpr protocol_case cases[] = {
    {"ordered acquisition", protocol::ordered, 0},
    {"all or nothing, 10 ms", protocol::time_limit, 0.01},
    {"all or nothing, 50 ms", protocol::time_limit, 0.05},
    {"all or nothing, 500 ms", protocol::time_limit, 0.5},
    {"probes", protocol::probes, 0},
};

void compare()
{
    fmt::print("{:<24} {:>6} {:>10} {:>14} {:>24} {:>8}\n", "protocol", "gangs",
               "starts/s", "messages/start", "wasted slot s per start", "aborts");
    for (const std::size_t gangs : {4U, 12U, 32U})
    {
        for (const protocol_case& entry : cases)
        {
            const figures result = simulation(entry.kind, gangs, entry.time_limit).run();
            const double starts =
                static_cast<double>(std::max<std::uint64_t>(1, result.starts));
            fmt::print("{:<24} {:>6} {:>10.2f} {:>14.1f} {:>24.3f} {:>8}\n", entry.name,
                       gangs, static_cast<double>(result.starts) / simulated_seconds,
                       static_cast<double>(result.messages) / starts,
                       result.wasted_slot_seconds / starts, result.aborts);
        }
    }
}

} // namespace
} // namespace hawthornbeam::policy

int main()
{
    hawthornbeam::policy::compare();
    return 0;
}
