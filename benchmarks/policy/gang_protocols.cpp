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

constexpr double latency = 0.0014; // s one way between failure domains
constexpr double run_seconds = 0.5;
constexpr double think_seconds = 0.2;
constexpr double simulated_seconds = 30;
constexpr std::size_t owners = 8;
constexpr int slots_per_owner = 8;
constexpr double probe_after = 0.05;
constexpr double back_off_base = 0.02;
constexpr double back_off_most = 1.0;

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
    double wasted_slot_seconds = 0; ///< Held without running.
};

/// Discrete-event simulation of coordinators (one per gang) and owners.
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
    struct part
    {
        std::size_t owner;
        int slots;
        bool granted = false;
        double granted_at = 0;
    };
    struct gang_state
    {
        std::vector<part> parts;
        std::uint64_t round = 0; ///< Counts attempts; late messages are ignored.
        std::size_t next = 0;    ///< Part asked for, in ordered acquisition.
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
        std::vector<request> holders;
    };

    void after(double delay, std::function<void()> action)
    {
        events_.push({now_ + delay, ++sequence_, std::move(action)});
    }
    void send(std::function<void()> action)
    {
        ++figures_.messages;
        // Requests that reach all owners in the same order would never deadlock.
        after(latency * (0.5 + random_.unit()), std::move(action));
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
            ask(gang, 0);
            return;
        }
        for (std::size_t i = 0; i < state.parts.size(); ++i)
            ask(gang, i);
        const std::uint64_t round = state.round;
        if (kind_ == protocol::time_limit)
            after(time_limit_,
                  [this, gang, round]
                  {
                      if (is_current(gang, round))
                          abort(gang);
                  });
        else
            after(probe_after, [this, gang, round] { probe(gang, round); });
    }

    bool is_current(std::size_t gang, std::uint64_t round) const
    {
        return gangs_[gang].blocked && gangs_[gang].round == round;
    }

    void ask(std::size_t gang, std::size_t position)
    {
        const part& wanted = gangs_[gang].parts[position];
        const request entry{gang, gangs_[gang].round, wanted.slots};
        const std::size_t owner = wanted.owner;
        send(
            [this, owner, entry]
            {
                owners_[owner].queue.push_back(entry);
                grant(owner);
            });
    }

    /// First come, first served, so that no gang starves at an owner.
    void grant(std::size_t owner)
    {
        owner_state& state = owners_[owner];
        while (!state.queue.empty() && state.queue.front().slots <= state.free)
        {
            const request entry = state.queue.front();
            state.queue.erase(state.queue.begin());
            state.free -= entry.slots;
            state.holders.push_back(entry);
            const double at = now_;
            send([this, owner, entry, at] { granted(owner, entry, at); });
        }
    }

    void granted(std::size_t owner, const request& entry, double at)
    {
        gang_state& state = gangs_[entry.gang];
        if (!is_current(entry.gang, entry.round))
            return; // Its release is on the way.
        for (part& mine : state.parts)
        {
            if (mine.owner != owner)
                continue;
            mine.granted = true;
            mine.granted_at = at;
        }
        if (kind_ == protocol::ordered && ++state.next < state.parts.size())
        {
            ask(entry.gang, state.next);
            return;
        }
        const bool all = std::all_of(state.parts.begin(), state.parts.end(),
                                     [](const part& mine) { return mine.granted; });
        if (all)
            start(entry.gang);
    }

    void start(std::size_t gang)
    {
        gang_state& state = gangs_[gang];
        state.blocked = false;
        ++figures_.starts;
        for (const part& mine : state.parts)
            figures_.wasted_slot_seconds += (now_ - mine.granted_at) * mine.slots;
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
        for (part& mine : state.parts)
        {
            mine.granted = false;
            const std::size_t owner = mine.owner;
            send([this, owner, gang, round] { released(owner, gang, round); });
        }
    }

    void released(std::size_t owner, std::size_t gang, std::uint64_t round)
    {
        owner_state& state = owners_[owner];
        const auto mine = [&](const request& entry)
        { return entry.gang == gang && entry.round == round; };
        std::erase_if(state.queue, mine);
        for (const request& entry : state.holders)
            state.free += mine(entry) ? entry.slots : 0;
        std::erase_if(state.holders, mine);
        grant(owner);
    }

    void abort(std::size_t gang)
    {
        gang_state& state = gangs_[gang];
        ++figures_.aborts;
        for (const part& mine : state.parts)
        {
            if (mine.granted)
                figures_.wasted_slot_seconds += (now_ - mine.granted_at) * mine.slots;
        }
        state.blocked = false;
        release(gang);
        const double most = std::min(
            back_off_most,
            back_off_base * static_cast<double>(1 << std::min(state.attempts, 10)));
        ++state.attempts;
        after(most * (0.5 + random_.unit()), [this, gang] { attempt(gang); });
    }

    /// Starts a probe and repeats it while the gang stays blocked.
    void probe(std::size_t gang, std::uint64_t round)
    {
        if (!is_current(gang, round))
            return;
        ++probe_number_;
        forward(gang, gang, round, probe_number_, gang);
        after(probe_after, [this, gang, round] { probe(gang, round); });
    }

    /// \p gang waits; the probe follows its edges to those it waits for.
    void forward(std::size_t gang, std::size_t initiator, std::uint64_t round,
                 std::uint64_t number, std::size_t largest)
    {
        for (const part& mine : gangs_[gang].parts)
        {
            if (mine.granted)
                continue;
            const std::size_t owner = mine.owner;
            const std::uint64_t own_round = gangs_[gang].round;
            send([this, owner, gang, own_round, initiator, round, number, largest]
                 { pass(owner, gang, own_round, initiator, round, number, largest); });
        }
    }

    void pass(std::size_t owner, std::size_t gang, std::uint64_t own_round,
              std::size_t initiator, std::uint64_t round, std::uint64_t number,
              std::size_t largest)
    {
        const owner_state& state = owners_[owner];
        std::vector<std::size_t> next;
        for (const request& entry : state.holders)
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
                 { receive(target, initiator, round, number, largest); });
    }

    void receive(std::size_t gang, std::size_t initiator, std::uint64_t round,
                 std::uint64_t number, std::size_t largest)
    {
        if (gang == initiator)
        {
            // Of a cycle, only the gang with the largest number gives way.
            if (is_current(gang, round) && largest == initiator)
                abort(gang);
            return;
        }
        gang_state& state = gangs_[gang];
        if (!state.blocked || !state.seen_probes.insert({initiator, number}).second)
            return;
        forward(gang, initiator, round, number, std::max(largest, gang));
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
