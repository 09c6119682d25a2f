/// \file
/// Test cluster of instances that run the membership protocol on the in-memory network.
#ifndef HAWTHORNBEAM_UNITTESTS_MEMBERSHIP_CLUSTER_HPP
#define HAWTHORNBEAM_UNITTESTS_MEMBERSHIP_CLUSTER_HPP

#include "hawthornbeam/membership/membership.hpp"
#include "test/standins/memory_network.hpp"

#include <fmt/format.h>

namespace hawthornbeam
{

struct cluster_member
{
    std::unique_ptr<standins::memory_channel> channel;
    std::unique_ptr<membership> members;
};

class cluster
{
public:
    explicit cluster(std::size_t count, std::uint64_t seed = 1) : network(loop, seed)
    {
        for (std::size_t i = 0; i < count; ++i)
            start(i);
    }

    static instance_id id(std::size_t index)
    {
        return instance_id(fmt::format("entry-{}", index));
    }
    static gossip_address address(std::size_t index)
    {
        return gossip_address(fmt::format("10.0.{}.{}:7001", index / 250, index % 250));
    }
    /// Starts or restarts an instance; the first three are the seeds.
    void start(std::size_t index)
    {
        if (instances.size() <= index)
            instances.resize(index + 1);
        cluster_member& entry = instances[index];
        entry.members.reset();
        entry.channel = network.make_channel(id(index), address(index));
        membership::options settings;
        settings.self.id = id(index);
        settings.self.gossip = address(index);
        settings.self.peer = wire::peer_address(address(index).value());
        settings.self.http = address(index).value();
        settings.self.failure_domain =
            failure_domain_id(fmt::format("domain-{}", index % 3));
        settings.seeds = {address(0), address(1), address(2)};
        entry.members = std::make_unique<membership>(network.loop_of(id(index)),
                                                     *entry.channel, log, settings);
        entry.members->start();
    }
    membership& at(std::size_t index) { return *instances[index].members; }
    /// True if the member list of \p observer has \p subject in \p state.
    bool sees(std::size_t observer, std::size_t subject, member_state state)
    {
        const member* found = at(observer).find(id(subject));
        return found != nullptr && found->state == state;
    }
    /// True if all other instances list \p subject in \p state.
    bool all_see(std::size_t subject, member_state state)
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
            if (i != subject && !sees(i, subject, state))
                return false;
        return true;
    }
    bool all_alive()
    {
        for (std::size_t i = 0; i < instances.size(); ++i)
            if (!sees(i, i, member_state::alive) || !all_see(i, member_state::alive))
                return false;
        return true;
    }
    /// Advances the clock until \p reached returns true and returns the elapsed time, or
    /// max() if \p limit passes first.
    duration time_until(const std::function<bool()>& reached, duration limit)
    {
        const boot_time start = loop.clock().now();
        while (!reached())
        {
            if (loop.clock().now() - start >= limit)
                return duration::max();
            loop.advance(std::chrono::milliseconds(10));
        }
        return loop.clock().now() - start;
    }

    manual_event_loop loop;
    std::string log_lines;
    logger log{loop.clock(), "test", log_level::warning,
               [this](const std::string& line) { log_lines += line; }};
    standins::memory_network network;
    std::vector<cluster_member> instances;
};

} // namespace hawthornbeam

#endif
