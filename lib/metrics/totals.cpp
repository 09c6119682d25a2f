#include "hawthornbeam/metrics/totals.hpp"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace hawthornbeam
{

namespace
{

double to_seconds(const timeval& time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

std::uint64_t read_resident_bytes()
{
    std::ifstream stream("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    const long page_bytes = sysconf(_SC_PAGESIZE);
    if (!(stream >> total_pages >> resident_pages) || page_bytes <= 0)
        return 0;
    return resident_pages * static_cast<std::uint64_t>(page_bytes);
}

} // namespace

void total_counters::follow(std::string name, metric_labels labels,
                            std::function<double()> total)
{
    metrics_.add(name, labels, 0);
    totals_.push_back(
        followed_total{std::move(name), std::move(labels), std::move(total)});
}

void total_counters::update()
{
    for (followed_total& entry : totals_)
    {
        const double total = entry.total();
        if (total <= entry.exported)
            continue;
        metrics_.add(entry.name, entry.labels, total - entry.exported);
        entry.exported = total;
    }
}

process_usage read_process_usage()
{
    process_usage usage;
    rusage times{};
    if (getrusage(RUSAGE_SELF, &times) == 0)
        usage.cpu_seconds = to_seconds(times.ru_utime) + to_seconds(times.ru_stime);
    usage.resident_bytes = read_resident_bytes();
    return usage;
}

} // namespace hawthornbeam
