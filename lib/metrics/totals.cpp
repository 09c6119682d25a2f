/// \file
/// Implements counters of followed totals and reads the usage of this process.
#include "hawthornbeam/metrics/totals.hpp"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace hawthornbeam
{

namespace
{

double seconds_of(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

std::uint64_t read_resident_bytes()
{
    std::ifstream stream("/proc/self/statm");
    std::uint64_t whole_pages = 0;
    std::uint64_t resident_pages = 0;
    const long page_bytes = sysconf(_SC_PAGESIZE);
    if (!(stream >> whole_pages >> resident_pages) || page_bytes <= 0)
        return 0;
    return resident_pages * static_cast<std::uint64_t>(page_bytes);
}

} // namespace

void total_counters::follow(std::string name, metric_labels labels,
                            std::function<double()> total)
{
    metrics_.add(name, labels, 0);
    all_.push_back(followed{std::move(name), std::move(labels), std::move(total)});
}

void total_counters::update()
{
    for (followed& one : all_)
    {
        const double total = one.total();
        if (total <= one.written)
            continue;
        metrics_.add(one.name, one.labels, total - one.written);
        one.written = total;
    }
}

process_usage read_process_usage()
{
    process_usage usage;
    rusage times{};
    if (getrusage(RUSAGE_SELF, &times) == 0)
        usage.cpu_seconds = seconds_of(times.ru_utime) + seconds_of(times.ru_stime);
    usage.resident_bytes = read_resident_bytes();
    return usage;
}

} // namespace hawthornbeam
