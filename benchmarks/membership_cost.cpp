/// \file
/// Measures the cost of membership and the time until all instances have detected a
/// death, in simulated time.
///
/// usage: membership_cost [SEEDS]
#include "unittests/membership/cluster.hpp"

#include <algorithm>
#include <cstdlib>
#include <ctime>

namespace
{

using namespace hawthornbeam;
using std::chrono::seconds;

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::uint64_t bytes_sent(const cluster& instances)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < instances.instances.size(); ++i)
        sum += instances.network.datagram_bytes(cluster::id(i));
    return sum;
}

double to_seconds(duration time)
{
    return time == duration::max() ? -1 : std::chrono::duration<double>(time).count();
}

void measure_cost(std::size_t count)
{
    constexpr int simulated_seconds = 60;
    cluster instances(count);
    const duration joined =
        instances.time_until([&] { return instances.all_alive(); }, seconds(60));
    instances.loop.advance(seconds(simulated_seconds));
    const std::uint64_t bytes = bytes_sent(instances);
    const double start = processor_seconds();
    instances.loop.advance(seconds(simulated_seconds));
    const double per_instance = 1.0 / static_cast<double>(count) / simulated_seconds;
    const double processor = (processor_seconds() - start) * per_instance;
    const double sent = static_cast<double>(bytes_sent(instances) - bytes) * per_instance;
    instances.network.kill(cluster::id(1));
    const duration detected = instances.time_until(
        [&] { return instances.all_see(1, member_state::dead); }, seconds(60));
    fmt::print("{:9} {:9.2f} {:14.0f} {:20.1f} {:15.2f}\n", count, to_seconds(joined),
               sent, processor * 1e6, to_seconds(detected));
}

/// Counts live instances declared dead while 20% of all datagrams are lost, and measures
/// the time until all instances have detected a death, over several seeds.
void measure_faults(std::size_t count, std::uint64_t seeds)
{
    std::vector<double> detected;
    std::size_t false_deaths = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        cluster instances(count, seed);
        instances.time_until([&] { return instances.all_alive(); }, seconds(60));
        instances.network.set_datagram_loss(0.2);
        for (std::size_t i = 0; i < count; ++i)
            instances.at(i).on_change(
                [&, i]
                {
                    for (std::size_t k = 0; k < count; ++k)
                    {
                        false_deaths += instances.sees(i, k, member_state::dead) ? 1 : 0;
                    }
                });
        instances.loop.advance(std::chrono::minutes(3));
        for (std::size_t i = 0; i < count; ++i)
            instances.at(i).on_change(nullptr);
        instances.network.set_datagram_loss(0);
        instances.loop.advance(seconds(10));
        instances.network.kill(cluster::id(1));
        detected.push_back(to_seconds(instances.time_until(
            [&] { return instances.all_see(1, member_state::dead); }, seconds(60))));
    }
    std::sort(detected.begin(), detected.end());
    fmt::print("{:9} {:6} {:12} {:11.2f} {:11.2f}\n", count, seeds, false_deaths,
               detected[detected.size() / 2], detected.back());
}

} // namespace

int main(int argc, char** argv)
{
    fmt::print("{:>9} {:>9} {:>14} {:>20} {:>15}\n", "instances", "joined s",
               "sent bytes/s", "processor us/s each", "death known s");
    for (const std::size_t count : {3, 9, 27, 100, 300})
        measure_cost(count);
    const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 0;
    if (seeds == 0)
        return 0;
    fmt::print("\n{:>9} {:>6} {:>12} {:>11} {:>11}\n", "instances", "seeds",
               "false deaths", "median s", "most s");
    for (const std::size_t count : {3, 9, 27})
        measure_faults(count, seeds);
    return 0;
}
