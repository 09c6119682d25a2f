/// \file
/// Sets up the in-process cells of the capacity benchmark and adds up their costs.
#ifndef HAWTHORNBEAM_BENCHMARKS_CAPACITY_CELL_HPP
#define HAWTHORNBEAM_BENCHMARKS_CAPACITY_CELL_HPP

#include "benchmarks/linear_fit.hpp"
#include "unittests/instance/cell.hpp"

#include <ctime>

namespace hawthornbeam
{

constexpr int measured_seconds = 20;
constexpr std::size_t status_request_index = 10;
constexpr std::size_t status_reply_index = 11;

/// Totals of a cell since its start.
struct cell_totals
{
    double processor = 0; ///< Processor seconds of this process.
    double messages = 0;  ///< Requests and replies between instances.
    double bytes = 0;     ///< Size of these messages.
    double status_bytes = 0;
    double gossip_bytes = 0;
    std::map<kv_cause, double> kv;
};

/// Returns the totals of all messages, and the gossip bytes and KV calls of \p instances.
inline cell_totals totals_of(test_cluster& measured,
                             const std::vector<std::size_t>& instances)
{
    cell_totals sum;
    sum.processor = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    const auto add = [&](const std::map<std::size_t, standins::message_traffic>& kinds,
                         std::size_t status)
    {
        for (const auto& [kind, traffic] : kinds)
        {
            sum.messages += static_cast<double>(traffic.messages);
            sum.bytes += static_cast<double>(traffic.bytes);
            if (kind == status)
                sum.status_bytes += static_cast<double>(traffic.bytes);
        }
    };
    add(measured.network().requests(), status_request_index);
    add(measured.network().replies(), status_reply_index);
    for (const std::size_t index : instances)
    {
        sum.gossip_bytes += static_cast<double>(
            measured.network().datagram_bytes(test_cluster::name(index)));
        for (const kv_cause cause :
             {kv_cause::table, kv_cause::journal, kv_cause::claim, kv_cause::recovery})
            sum.kv[cause] += static_cast<double>(measured.kv(index).calls(cause));
    }
    return sum;
}

inline cell_totals difference(const cell_totals& end, const cell_totals& begin)
{
    cell_totals change = end;
    change.processor -= begin.processor;
    change.messages -= begin.messages;
    change.bytes -= begin.bytes;
    change.status_bytes -= begin.status_bytes;
    change.gossip_bytes -= begin.gossip_bytes;
    for (auto& [cause, calls] : change.kv)
        calls -= begin.kv.at(cause);
    return change;
}

inline double kv_calls(const cell_totals& totals)
{
    double sum = 0;
    for (const auto& [cause, calls] : totals.kv)
        sum += calls;
    return sum;
}

/// Returns the indices from 0 to \p count - 1.
inline std::vector<std::size_t> first_instances(std::size_t count)
{
    std::vector<std::size_t> all(count);
    for (std::size_t index = 0; index < count; ++index)
        all[index] = index;
    return all;
}

inline cell_options sizes(std::size_t instances, std::size_t workers)
{
    cell_options options;
    options.instances = instances;
    options.workers = workers;
    options.workers_per_rack = 8;
    options.worker_capacity = resources{
        millicores(64000), byte_count(std::int64_t{256} << 30), accelerator_count(2)};
    return options;
}

/// Advances the cell and returns the totals of this period.
inline cell_totals run(test_cluster& measured, std::size_t instances,
                       int duration_seconds)
{
    const std::vector<std::size_t> all = first_instances(instances);
    const cell_totals begin = totals_of(measured, all);
    measured.advance(std::chrono::seconds(duration_seconds));
    return difference(totals_of(measured, all), begin);
}

/// Returns processor seconds per second. Takes the minimum of three runs, since other
/// programs on the machine disturb the measurement.
inline double min_processor(test_cluster& measured, std::size_t instances)
{
    double min_seconds = run(measured, instances, measured_seconds).processor;
    for (int repeat = 0; repeat < 2; ++repeat)
        min_seconds =
            std::min(min_seconds, run(measured, instances, measured_seconds).processor);
    return min_seconds / measured_seconds;
}

/// Extends the operators' table to \p count rows and changes one weight, so that each
/// call makes a new version. With \p wait, advances by 10 s for the table to spread.
inline void install_rows(test_cluster& measured, std::size_t count, bool wait)
{
    std::vector<table_row> rows = measured.table(0).current().rows;
    for (std::size_t index = rows.size(); index < count; ++index)
    {
        table_row row = rows[1];
        row.id = row_id(fmt::format("team-{}/kind-{}", index / 4, index % 4));
        rows.push_back(row);
    }
    rows[1].weight += 1;
    measured.table(0).replace(rows, measured.table(0).current().version, "operator",
                              [](const edit_outcome&) {});
    if (wait)
        measured.advance(std::chrono::seconds(10));
}

inline void print_header(const std::string& title)
{
    fmt::print("\n{}\n\n| cost | size:cost | slope | intercept | largest residual |\n"
               "|---|---|---|---|---|\n",
               title);
}

} // namespace hawthornbeam

#endif
